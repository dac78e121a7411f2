//! The path of a call: routing, balance, admission, retries and outcomes.

pub mod note;

pub use note::Note;
