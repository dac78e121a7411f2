//! Decisions of sycamorescale: which configuration is in force, which target gets a call, and
//! what a caller is told.
//!
//! Nothing here does I/O, reads a clock, starts a thread or draws randomness of its own. Time
//! and a seed come in as arguments, so that a test or an outside harness can drive many nodes in
//! one thread. Each decider has one entry point, `handle(now, Input, &mut Vec<Output>)`.

#[macro_use]
mod macros;

pub mod call;
pub mod code;
pub mod config;
pub mod discovery;
pub mod event;
pub mod hash;
pub mod member;
pub mod name;
pub mod node;
pub mod place;
pub mod spread;
pub mod status;
pub mod time;

pub use code::{Code, Fault, Result};
pub use name::Name;
pub use node::Node;
pub use time::Time;
