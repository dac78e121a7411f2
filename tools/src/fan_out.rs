//! One question to every node of a fleet.

use crate::client::{Client, Reply};
use crate::fleet::Node;
use futures_util::stream::{self, StreamExt};
use serde::de::DeserializeOwned;
use sycamore_core::Result;

/// One node's answer.
#[derive(Debug)]
pub struct NodeResponse<T> {
    /// The node asked.
    pub node: Node,
    /// What it said, or why it didn't.
    pub reply: Result<Reply<T>>,
}

/// Asks every node for `path`, `concurrency` of them at once. Answers are in the nodes' order.
pub async fn query_nodes<T: DeserializeOwned>(
    client: &Client,
    nodes: &[Node],
    path: &str,
    concurrency: usize,
) -> Vec<NodeResponse<T>> {
    let requests = nodes.iter().enumerate().map(|(index, node)| async move {
        let reply = client.get(node.admin, path).await;
        (index, NodeResponse { node: node.clone(), reply })
    });
    // Not `buffered`: one silent node would hold back the questions behind it.
    let mut responses: Vec<_> =
        stream::iter(requests).buffer_unordered(concurrency).collect().await;
    responses.sort_by_key(|(index, _)| *index);
    responses.into_iter().map(|(_, answer)| answer).collect()
}
