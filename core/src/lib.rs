//! Core logic of sycamorescale: configuration distribution, target selection, admission and
//! caller-facing results.
//!
//! This crate is sans-I/O. It performs no I/O, reads no clock, starts no threads and has no
//! entropy source of its own: the current time and a random seed are passed in, so a test can
//! simulate many nodes deterministically in one thread. Each state machine has a single entry
//! point, `handle(now, Input, &mut Vec<Output>)`.

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
