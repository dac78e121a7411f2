//! Spread of versions: messages to peers over Cap'n Proto RPC, and calls to the platform.

use crate::calls::{self, Calls};
use crate::settings::Listen;
use crate::shared::Shared;
use async_executor::LocalExecutor;
use async_io::Async;
use std::net::TcpListener;
use std::sync::Arc;
use sycamore_core::Result;

/// The socket that peers connect to.
#[derive(Debug)]
pub struct Listener {
    /// The bound socket.
    pub peers: Async<TcpListener>,
}

impl Listener {
    /// Binds the socket.
    pub fn bind(listen: &Listen) -> Result<Listener> {
        Ok(Listener { peers: calls::bind(listen.peers)? })
    }
}

/// A handle on the spread of this node.
#[derive(Debug)]
pub struct Control {}

/// Starts the spread on the thread of `local`.
pub fn start(
    _shared: Arc<Shared>,
    _listener: Listener,
    _calls: Calls,
    _local: &LocalExecutor<'_>,
) -> Control {
    Control {}
}

impl Control {
    /// Tells peers that this node is leaving.
    pub fn announce_leaving(&self) {}
}
