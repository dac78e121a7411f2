//! Tools for operators and developers of a fleet of nodes.
//!
//! Each tool is a module with a `Config` (its parsed command line) and a function `run`.

pub mod check;
pub mod client;
pub mod command_line;
pub mod fan_out;
pub mod fleet;
pub mod input;
pub mod load;
pub mod status;
pub mod text;
pub mod timeline;
