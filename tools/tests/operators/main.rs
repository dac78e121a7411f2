//! The operators' tools, run as real processes.

mod check;
mod check_agrees;
mod examples;
mod fake_nodes;
mod request;
mod status;
mod timeline;
mod tool;
