//! The node: a process beside each target, acting as proxy, gatekeeper and configuration relay.
//!
//! The modules are adapters around the state machines of `sycamore_core`: they perform I/O, read
//! the clock and hold locks. [`app::App`] is the entry point.

pub mod admin;
pub mod app;
pub mod calls;
pub mod clock;
pub mod discovery;
pub mod metrics;
pub mod output;
pub mod reload;
pub mod settings;
pub mod shared;
pub mod spread;
pub mod store;
