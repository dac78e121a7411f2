//! Concurrent queries of all nodes of a fleet.

use crate::client::{Client, Reply};
use crate::fleet::Node;
use futures_util::stream::{self, StreamExt};
use serde::de::DeserializeOwned;
use sycamore_core::Result;

/// Result of querying one node.
#[derive(Debug)]
pub struct NodeResponse<T> {
    pub node: Node,
    pub reply: Result<Reply<T>>,
}

/// Requests `path` from every node with at most `concurrency` requests in flight. Responses are in
/// the order of `nodes`.
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
    // `buffered` would let one unresponsive node delay the requests queued behind it.
    let mut responses: Vec<_> =
        stream::iter(requests).buffer_unordered(concurrency).collect().await;
    responses.sort_by_key(|(index, _)| *index);
    responses.into_iter().map(|(_, response)| response).collect()
}
