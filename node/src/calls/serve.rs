//! Accepts connections on one listener and serves the requests on them.

use super::body::Body;
use super::entry::EntrySide;
use super::gate::GateSide;
use super::headers;
use super::socket::Socket;
use super::watch::{Times, Watch, Watches};
use crate::shared::Shared;
use async_executor::Executor;
use async_io::Async;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;

/// Smallest buffer that hyper takes for a connection.
const MIN_BUFFER_BYTES: usize = 65_536;

/// Headers of a request at most.
const MAX_HEADERS: usize = 100;

/// Longest time that a connection stays open without a request: from callers, and from nodes,
/// which close theirs earlier.
const CALLER_IDLE: Duration = Duration::from_secs(75);
const NODE_IDLE: Duration = Duration::from_secs(120);

/// How long a leaving node keeps a connection open on which no request comes, so that a request
/// already on its way is still answered.
const DRAIN_NOTICE: Duration = Duration::from_millis(1_500);

/// Pause after a failure to accept, as when the process has no descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Whom the requests of a listener are for.
#[derive(Clone, Debug)]
pub enum Side {
    /// Callers' requests.
    Entry(Arc<EntrySide>),
    /// Requests that nodes forward.
    Gate(Arc<GateSide>),
}

/// One listener and its connections.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    side: Side,
    watches: Watches,
}

impl Server {
    /// A server without connections.
    pub fn new(shared: Arc<Shared>, executor: Arc<Executor<'static>>, side: Side) -> Arc<Server> {
        let limits = &shared.settings.limits;
        let idle = match side {
            Side::Entry(_) => CALLER_IDLE,
            Side::Gate(_) => NODE_IDLE,
        };
        let times = Times {
            idle,
            head: Duration::from_millis(limits.head_timeout_ms),
            still: Duration::from_millis(limits.idle_body_timeout_ms),
        };
        Arc::new(Server { watches: Watches::new(times), shared, executor, side })
    }

    /// Closes connections that have used up a limit.
    pub fn sweep(&self) {
        self.watches.sweep(self.shared.clock.now());
    }

    /// Accepts connections until the node has been leaving for a while.
    ///
    /// Closes the listener before the process ends: a connection made during the end would be
    /// reset, and its caller could not tell whether the request ran.
    pub async fn accept(self: Arc<Server>, listener: Async<TcpListener>) {
        future::or(self.clone().accept_all(&listener), self.wait_for_drain()).await;
        // Those that the system has already taken on this node's behalf.
        while let Ok((stream, _)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.clone().start(stream, 0);
            }
        }
    }

    async fn accept_all(self: Arc<Server>, listener: &Async<TcpListener>) {
        let mut number = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().start(stream, number),
                Err(_) => self.shared.clock.sleep(ACCEPT_PAUSE).await,
            }
            number += 1;
        }
    }

    fn start(self: Arc<Server>, stream: Async<TcpStream>, number: usize) {
        let open = self.shared.track_connection();
        let watch = Watch::new(self.shared.clock.clone(), is_local(&stream));
        if !self.watches.add(&watch, self.shared.settings.limits.max_connections) {
            self.shared.metrics.connections_refused.inc();
            return refuse_connection(&stream);
        }
        // Without it small answers wait for the acknowledgement of earlier ones.
        let _ = stream.get_ref().set_nodelay(true);
        let executor = self.executor.clone();
        let task = async move {
            self.serve(stream, &watch, number).await;
            watch.ended();
            self.watches.remove(&watch);
            drop(open);
        };
        executor.spawn(task).detach();
    }

    async fn serve(&self, stream: Async<TcpStream>, watch: &Arc<Watch>, number: usize) {
        let max_head = self.shared.settings.limits.max_head_bytes;
        let socket = FuturesIo::new(Socket::new(stream, watch.clone()));
        let service = hyper::service::service_fn(|req| {
            let answer = self.answer(number, watch.clone(), req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
            .max_header_size(max_head)
            .max_headers(MAX_HEADERS)
            .serve_connection(socket, service);
        let mut connection = pin!(connection);
        let leaving = async {
            self.wait_for_drain().await;
            true
        };
        let serve = async {
            // How a connection ended concerns whoever opened it; calls on it end by their guards.
            let _ = connection.as_mut().await;
            false
        };
        let closed = async {
            watch.closed().await;
            false
        };
        if future::or(future::or(serve, closed), leaving).await {
            connection.as_mut().graceful_shutdown();
            let serve = async {
                let _ = connection.await;
            };
            future::or(serve, watch.closed()).await;
        }
    }

    async fn answer(
        &self,
        number: usize,
        watch: Arc<Watch>,
        req: Request<Incoming>,
    ) -> Response<Body> {
        match &self.side {
            Side::Entry(side) => side.clone().serve(number % side.shards(), watch, req).await,
            Side::Gate(side) => side.clone().serve(watch, req).await,
        }
    }

    /// Waits until the node has been leaving for a while.
    ///
    /// Idle connections are answered with `connection: close` for a while before they are closed,
    /// since a request may be on its way.
    async fn wait_for_drain(&self) {
        self.shared.drain_started().await;
        self.shared.clock.sleep(DRAIN_NOTICE).await;
    }
}

/// Whether the other side has this side's address.
fn is_local(stream: &Async<TcpStream>) -> bool {
    let ends = (stream.get_ref().peer_addr(), stream.get_ref().local_addr());
    matches!(ends, (Ok(peer), Ok(own)) if peer.ip() == own.ip())
}

/// Tells whoever opened one connection too many so, in one write, and closes it.
fn refuse_connection(stream: &Async<TcpStream>) {
    let (outcome, name, number) =
        (headers::OUTCOME, headers::CODE, Code::TooManyConnections.number());
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{outcome}: not-run\r\n{name}: {number}\r\n\
         retry-after: 1\r\n{}: 1000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        headers::RETRY_AFTER_MS,
    );
    // The socket does not block; whoever can't take the answer sees the close alone.
    let _ = stream.get_ref().write_all(answer.as_bytes());
}
