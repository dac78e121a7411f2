//! Demo: runs a deployment as separate processes under load and faults, and verifies the results.

pub mod observer;
pub mod plan;
pub mod report;
pub mod rules;
