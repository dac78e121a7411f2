//! A fleet in memory: many nodes' decisions in one thread, over in-memory links.

pub mod measure;
pub mod platform;
pub mod publication;
pub mod workload;
