//! `sycamore-load`: callers of a deployment, at a constant rate whatever the answers do.

pub mod client;
pub mod pattern;
