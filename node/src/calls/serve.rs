//! Accepts connections on a listener and serves their requests.

use super::body::Body;
use super::conn_state::{ConnectionState, ConnectionTable, HeldBytes, Timeouts};
use super::entry::EntryAdapter;
use super::gate::GateAdapter;
use super::headers;
use super::socket::Socket;
use crate::shared::{DRAIN_NOTICE_PERIOD, Shared};
use async_executor::Executor;
use async_io::Async;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::Future;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;

/// Minimum of the buffer limit of a connection. hyper accepts 8,192 bytes and more, and collects a
/// response up to this limit before it writes.
const MIN_BUFFER_BYTES: usize = 16_384;

/// Maximum number of headers of a request.
const MAX_HEADER_COUNT: usize = 100;

/// Idle timeouts of connections from callers and from nodes. Nodes close their connections earlier.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
const NODE_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which a draining node checks whether its target may still make nested calls.
const NESTED_CALL_POLL: Duration = Duration::from_millis(20);

/// Pause after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Adapter that handles the requests of a listener.
#[derive(Clone, Debug)]
pub enum Adapter {
    /// Requests from callers.
    Entry(Arc<EntryAdapter>),
    /// Requests forwarded by nodes.
    Gate(Arc<GateAdapter>),
}

/// A listener and its connections.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    adapter: Adapter,
    connections: ConnectionTable,
}

impl Server {
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor<'static>>,
        adapter: Adapter,
    ) -> Arc<Server> {
        let limits = &shared.settings.limits;
        let idle = match adapter {
            Adapter::Entry(_) => CALLER_IDLE_TIMEOUT,
            Adapter::Gate(_) => NODE_IDLE_TIMEOUT,
        };
        let timeouts = Timeouts {
            idle,
            head: Duration::from_millis(limits.head_timeout_ms),
            stalled: Duration::from_millis(limits.idle_body_timeout_ms),
        };
        Arc::new(Server { connections: ConnectionTable::new(timeouts), shared, executor, adapter })
    }

    /// Closes connections that exceeded a timeout.
    pub fn sweep(&self) {
        self.connections.sweep(self.shared.clock.now());
    }

    /// Accepts connections from callers until the drain notice period has passed and the local target
    /// makes no more nested calls, and from nodes until the process exits: they learn from answers
    /// that it stops, and may ask about requests on connections that it has closed.
    ///
    /// Closes the listener before the process exits: a connection accepted during the exit would be
    /// reset, and its caller could not tell whether the request ran.
    pub async fn accept(self: Arc<Server>, listener: Async<TcpListener>) {
        future::or(self.clone().accept_loop(&listener), self.wait_until_refusing()).await;
        // Connections that the kernel had already accepted.
        while let Ok((stream, _)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.clone().spawn_connection(stream, 0);
            }
        }
    }

    async fn accept_loop(self: Arc<Server>, listener: &Async<TcpListener>) {
        let mut index = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().spawn_connection(stream, index),
                Err(_) => self.shared.clock.sleep(ACCEPT_PAUSE).await,
            }
            index += 1;
        }
    }

    fn spawn_connection(self: Arc<Server>, stream: Async<TcpStream>, index: usize) {
        // Nodes that connect to a draining one close the connection after its answer.
        let awaited = matches!(self.adapter, Adapter::Entry(_)) || !self.shared.draining();
        let open = awaited.then(|| self.shared.track_connection());
        let limits = &self.shared.settings.limits;
        let buffered = self.shared.metrics.reader_buffered_bytes.clone();
        let held = HeldBytes::new(limits.reader_buffer_bytes(), buffered);
        let conn = ConnectionState::new(self.shared.clock.clone(), is_local(&stream), held);
        if !self.connections.add(&conn, limits.max_connections) {
            self.shared.metrics.connections_refused.inc();
            return reject_connection(&stream);
        }
        // Without it, Nagle's algorithm delays small responses.
        let _ = stream.get_ref().set_nodelay(true);
        let executor = self.executor.clone();
        let task = async move {
            self.serve(stream, &conn, index).await;
            conn.mark_ended();
            self.connections.remove(&conn);
            drop(open);
        };
        executor.spawn(task).detach();
    }

    async fn serve(&self, stream: Async<TcpStream>, conn: &Arc<ConnectionState>, index: usize) {
        let max_head = self.shared.settings.limits.max_head_bytes;
        let peer = stream.get_ref().peer_addr();
        let written = peer.ok().and_then(|peer| self.shared.link_use.counter(peer.ip()));
        let socket = FuturesIo::new(Socket::new(stream, conn.clone(), written));
        let service = hyper::service::service_fn(|req| {
            let response = self.handle_request(index, conn.clone(), req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
            // hyper otherwise copies bodies into a buffer that grows and that it keeps.
            .writev(true)
            .max_header_size(max_head)
            .max_headers(MAX_HEADER_COUNT)
            .serve_connection(socket, service);
        let mut connection = pin!(connection);
        let draining = async {
            self.wait_for_drain().await;
            true
        };
        let serve = async {
            // Errors of a connection concern only its peer; its calls end through their guards.
            let _ = connection.as_mut().await;
            false
        };
        let closed = async {
            conn.close_requested().await;
            false
        };
        if future::or(future::or(serve, closed), draining).await {
            connection.as_mut().graceful_shutdown();
            let serve = async {
                let _ = connection.await;
            };
            future::or(serve, conn.close_requested()).await;
        }
    }

    /// The future is boxed because hyper reserves its size for the whole life of a connection, and
    /// it holds several kilobytes that only an open request needs.
    fn handle_request(
        &self,
        index: usize,
        conn: Arc<ConnectionState>,
        req: Request<Incoming>,
    ) -> ResponseFuture {
        match &self.adapter {
            Adapter::Entry(adapter) => {
                let shard = index % adapter.shards();
                Box::pin(adapter.clone().serve(shard, conn, req))
            }
            Adapter::Gate(adapter) => Box::pin(adapter.clone().serve(conn, req)),
        }
    }

    /// Waits until the node is draining and no further connection is needed.
    async fn wait_until_refusing(&self) {
        let nested_calls_over = async {
            self.wait_for_drain().await;
            while self.shared.accepts_nested_calls() {
                self.shared.clock.sleep(NESTED_CALL_POLL).await;
            }
        };
        match self.adapter {
            Adapter::Entry(_) => future::or(nested_calls_over, self.shared.exit_started()).await,
            Adapter::Gate(_) => self.shared.exit_started().await,
        }
    }

    /// Waits until the node has been draining for the notice period, or can accept no more requests.
    ///
    /// During this period idle connections stay open and responses on them carry
    /// `connection: close`, since a request may be in transit.
    async fn wait_for_drain(&self) {
        self.shared.drain_started().await;
        let notice_ends_at = self.shared.clock.now() + DRAIN_NOTICE_PERIOD;
        self.shared.sleep_while_waiting(notice_ends_at).await;
    }
}

/// Whether the peer has the same IP address as this socket.
fn is_local(stream: &Async<TcpStream>) -> bool {
    let addresses = (stream.get_ref().peer_addr(), stream.get_ref().local_addr());
    matches!(addresses, (Ok(peer), Ok(local)) if peer.ip() == local.ip())
}

/// Responds to a connection over the limit with a 503 and closes it.
fn reject_connection(stream: &Async<TcpStream>) {
    let (outcome, name, number) =
        (headers::OUTCOME, headers::CODE, Code::TooManyConnections.number());
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{outcome}: not-run\r\n{name}: {number}\r\n\
         retry-after: 1\r\n{}: 1000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        headers::RETRY_AFTER_MS,
    );
    // The socket is non-blocking; a peer that cannot receive the response only sees the close.
    let _ = stream.get_ref().write_all(response.as_bytes());
}
