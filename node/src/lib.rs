//! The process beside each target: proxy, gatekeeper, and reader and relay of the configuration.
//!
//! The modules here are adapters around the deciders of `sycamore_core`: they do the I/O, read
//! the clock and hold the locks. [`app::App`] is the front.

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
