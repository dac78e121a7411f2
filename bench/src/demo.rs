//! The demonstration: a whole deployment in separate processes, with load and faults, and the
//! check of what came of it.

pub mod observer;
pub mod plan;
pub mod report;
pub mod rules;
