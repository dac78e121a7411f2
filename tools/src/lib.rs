//! The operators' and developers' tools around a fleet of nodes.
//!
//! Each tool is a module with a `Config` that its command line is parsed into once, and a `run`
//! that reads as the story of one run.

pub mod check;
pub mod client;
pub mod command_line;
pub mod fleet;
pub mod input;
pub mod load;
pub mod status;
pub mod survey;
pub mod text;
pub mod timeline;
