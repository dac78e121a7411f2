//! Simulated platform configuration service and targets, for tests and demonstrations only.

pub mod closed_port;
pub mod command;
pub mod example;
pub mod http;
pub mod platform;
pub mod target;
