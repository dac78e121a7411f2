//! All decisions of one node behind one entry point.

/// The deciders of one node.
#[derive(Debug, Default)]
pub struct Node;
