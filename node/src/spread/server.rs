//! RPC server for connections from peers.

use super::link::{self, ByteCounter};
use super::spread_capnp as wire;
use super::{Context, codec};
use async_io::Async;
use capnp::capability::Rc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use sycamore_core::spread::Peer;

/// Maximum number of concurrent connections; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 1_024;

/// Timeout for the peer's `hello`. Frees the slot of a client that sends nothing or invalid data.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// RPC interface exposed to a peer.
struct Node {
    cx: Context,
    local_peer: Peer,
    sent_bytes: ByteCounter,
    hello_received: std::rc::Rc<Cell<bool>>,
}

impl wire::node::Server for Node {
    async fn hello(
        self: Rc<Self>,
        params: wire::node::HelloParams,
        mut results: wire::node::HelloResults,
    ) -> Result<(), capnp::Error> {
        let from = codec::read_peer(params.get()?.get_from()?)?;
        let link = self.local_peer.place.link_to(&from.place);
        let metrics = &self.cx.shared.metrics;
        self.sent_bytes.set(metrics.control_bytes.with_label_values(&[link.label()]));
        self.hello_received.set(true);
        let session = link::session(from, self.cx.inputs.clone());
        results.get().set_session(session);
        Ok(())
    }
}

/// Accepts connections until the future is dropped.
pub async fn serve(cx: Context, local_peer: Peer, listener: Async<TcpListener>) {
    let (permit_tx, permit_rx) = async_channel::bounded::<()>(MAX_CONNECTIONS);
    loop {
        if permit_tx.send(()).await.is_err() {
            return;
        }
        let Ok((stream, _)) = listener.accept().await else {
            let _ = permit_rx.try_recv();
            cx.shared.clock.sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (connection, permit_rx) =
            (serve_connection(cx.clone(), local_peer.clone(), stream), permit_rx.clone());
        let task = async move {
            connection.await;
            let _ = permit_rx.try_recv();
        };
        cx.executor.spawn(task).detach();
    }
}

async fn serve_connection(cx: Context, local_peer: Peer, stream: Async<TcpStream>) {
    let hello_received = std::rc::Rc::new(Cell::new(false));
    let sent_bytes = ByteCounter::default();
    let node = Node {
        cx: cx.clone(),
        local_peer,
        sent_bytes: sent_bytes.clone(),
        hello_received: hello_received.clone(),
    };
    let client: wire::node::Client = capnp_rpc::new_client(node);
    let system = link::rpc(stream, sent_bytes, Side::Server, Some(client.client));
    let hello_timeout = async {
        cx.shared.clock.sleep(HELLO_TIMEOUT).await;
        if hello_received.get() {
            futures_lite::future::pending::<()>().await;
        }
    };
    let run = async {
        // Connection errors are handled by the peer.
        let _ = system.await;
    };
    run.or(hello_timeout).await;
}
