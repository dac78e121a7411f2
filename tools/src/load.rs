//! `sycamore-load`: callers of a deployment, at a constant rate whatever the answers do.

pub mod caller;
pub mod client;
pub mod history;
pub mod mix;
pub mod pattern;
pub mod run;
pub mod summary;
