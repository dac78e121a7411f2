//! Tools for operators and developers.

pub mod load;
