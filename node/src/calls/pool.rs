//! Pool of outgoing connections: to gatekeepers and to the local target.

mod connection;

pub use connection::{Connection, ConnectionUse, DeferredSlot, SendError};

use super::body::Body;
use super::link_use::LinkUse;
use super::readiness::{HeadLimit, ReadinessStream};
use super::response_end::ResponseEnd;
use crate::clock::Clock;
use crate::shared::Shared;
use async_executor::Executor;
use async_io::Async;
use connection::{IDLE_TIMEOUT, wait_for_close};
use event_listener::Event;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use sycamore_core::Time;

/// Timeout for opening a connection. Well above the 40 ms round trip between regions and below the
/// one-second SYN retransmission, so that a retry on another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 128;

/// Maximum wait for a returned connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum wait for the target to close its side after a cancelled request.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    // Counts what is written to other VMs.
    link_use: Option<Arc<LinkUse>>,
    executor: Arc<Executor<'static>>,
    connect_timeout: Duration,
    idle: Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>,
    open_count: AtomicUsize,
    next_number: AtomicU64,
    // A connection was released or has ended, or a limit has changed.
    changed: Event,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Time,
}

/// What a request needs of an idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleTerms<'a> {
    pub address: SocketAddr,
    pub max_idle: Duration,
    /// The connection must not have carried another attempt of this request.
    pub request_id: Option<&'a HeaderValue>,
}

impl Pool {
    /// Creates an empty pool whose connection tasks run on `executor`.
    pub fn new(shared: &Shared, executor: Arc<Executor<'static>>) -> Arc<Pool> {
        let link_use = Some(shared.link_use.clone());
        Pool::build(shared.clock.clone(), executor, CONNECT_TIMEOUT, link_use)
    }

    /// Creates an empty pool with a different connect timeout, for callers without an alternative
    /// address.
    pub fn with_connect_timeout(
        clock: Clock,
        executor: Arc<Executor<'static>>,
        connect_timeout: Duration,
    ) -> Arc<Pool> {
        Pool::build(clock, executor, connect_timeout, None)
    }

    fn build(
        clock: Clock,
        executor: Arc<Executor<'static>>,
        connect_timeout: Duration,
        link_use: Option<Arc<LinkUse>>,
    ) -> Arc<Pool> {
        Arc::new(Pool {
            clock,
            link_use,
            executor,
            connect_timeout,
            idle: Mutex::new(IndexMap::new()),
            open_count: AtomicUsize::new(0),
            next_number: AtomicU64::new(1),
            changed: Event::new(),
        })
    }

    /// Makes requests that wait in [`Pool::connect_within`] read their limit again.
    pub fn notify_limit_changed(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Returns an idle connection that meets the terms, and whether it was in use before. Opens one
    /// if there is none, while fewer than `max_open` are open; else waits until a connection is
    /// released or ends. `on_wait` is called before each wait for another request.
    ///
    /// An idle connection that does not meet the terms is closed to make room, since nothing else
    /// would end it while requests wait.
    pub async fn connect_within(
        self: &Arc<Pool>,
        terms: IdleTerms<'_>,
        max_open: impl Fn() -> usize,
        mut on_wait: impl FnMut(),
    ) -> io::Result<(Connection, bool)> {
        loop {
            // Registered before the checks, so that no change is missed.
            let changed = self.changed.listen();
            if let Some(idle) = self.take_idle(terms).await {
                return Ok((idle, true));
            }
            if let Some(open) = OpenConnection::reserve(self, max_open()) {
                return Box::pin(self.open(terms.address, open)).await.map(|new| (new, false));
            }
            if !self.close_unsuitable_idle(terms) {
                on_wait();
            }
            changed.await;
        }
    }

    /// Closes the open connection that has been idle for longest of those that do not meet the
    /// terms. Returns false if there is none.
    fn close_unsuitable_idle(&self, terms: IdleTerms<'_>) -> bool {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let Some(unused) = idle.get_mut(&terms.address) else {
            return false;
        };
        // A connection that the target has closed no longer counts as open.
        let is_evictable =
            |entry: &IdleConnection| !entry.is_closed() && !entry.is_suitable(now, terms);
        let index = unused.iter().position(is_evictable);
        let evicted = index.map(|index| unused.remove(index));
        // Closed after the lock is released.
        drop(idle);
        evicted.is_some()
    }

    /// Sends a request over an idle connection or a new one. `sent` is set while any byte of the
    /// request may have been sent, and stays valid if this future is dropped.
    ///
    /// Boxed because a call contains several of these futures, of which it rarely uses more than one.
    pub async fn send(
        self: &Arc<Pool>,
        address: SocketAddr,
        req: Request<Body>,
        sent: &AtomicBool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        Box::pin(self.send_on_any(address, req, sent)).await
    }

    async fn send_on_any(
        self: &Arc<Pool>,
        address: SocketAddr,
        mut req: Request<Body>,
        sent: &AtomicBool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        // Nodes respond once to each request.
        let terms = IdleTerms { address, max_idle: Duration::MAX, request_id: None };
        while let Some(connection) = self.take_idle(terms).await {
            match connection.send(req, sent).await {
                Err(SendError::NotSent(unsent)) => req = *unsent,
                result => return result,
            }
        }
        match self.connect(address).await {
            Ok(connection) => connection.send(req, sent).await,
            Err(_) => Err(SendError::NotSent(Box::new(req))),
        }
    }

    /// Opens a connection. Boxed because every waiting request would otherwise reserve the size of
    /// the handshake, which only those without an idle connection need.
    pub async fn connect(self: &Arc<Pool>, address: SocketAddr) -> io::Result<Connection> {
        Box::pin(self.open(address, OpenConnection::new(self))).await
    }

    async fn open(
        self: &Arc<Pool>,
        address: SocketAddr,
        open: OpenConnection,
    ) -> io::Result<Connection> {
        let timeout = async {
            self.clock.sleep(self.connect_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = future::or(Async::<TcpStream>::connect(address), timeout).await?;
        stream.get_ref().set_nodelay(true)?;
        let written = self.link_use.as_ref().and_then(|link_use| link_use.counter(address.ip()));
        let head_limit = Arc::new(HeadLimit::new());
        let stream =
            ReadinessStream::new(stream).with_counter(written).with_head_limit(head_limit.clone());
        let (sender, driver) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
        let deferred_slot = Arc::new(DeferredSlot::default());
        let held_slot = deferred_slot.clone();
        let response_end = Arc::new(ResponseEnd::default());
        let end = response_end.clone();
        let task = async move {
            if let Some(socket) = end.run(driver).await {
                let cancelled = held_slot.lock().is_some();
                if cancelled {
                    let stream = socket.into_inner().into_inner();
                    let timeout = async {
                        open.pool.clock.sleep(CLOSE_TIMEOUT).await;
                    };
                    future::or(wait_for_close(stream), timeout).await;
                }
            }
            drop(open);
            // Dropped after the lock is released, because freeing the slot may start another
            // request.
            let slot = held_slot.lock().take();
            drop(slot);
        };
        self.executor.spawn(task).detach();
        Ok(Connection {
            sender,
            idle_timeout: IDLE_TIMEOUT,
            address,
            pool: self.clone(),
            deferred_slot,
            head_limit,
            response_end,
            used: ConnectionUse {
                number: self.next_number.fetch_add(1, Ordering::Relaxed),
                carried: 0,
            },
            carried_requests: Box::default(),
        })
    }

    /// Returns an idle connection that is ready and meets the terms.
    pub async fn take_idle(&self, terms: IdleTerms<'_>) -> Option<Connection> {
        loop {
            let mut connection = self.pop_idle(terms)?;
            if connection.sender.is_ready() {
                return Some(connection);
            }
            let ready = async { connection.sender.ready().await.is_ok() };
            let timeout = async {
                self.clock.sleep(READY_TIMEOUT).await;
                false
            };
            if future::or(ready, timeout).await {
                return Some(connection);
            }
        }
    }

    fn pop_idle(&self, terms: IdleTerms<'_>) -> Option<Connection> {
        let now = self.clock.now();
        let mut stale = Vec::new();
        let mut idle = self.idle.lock();
        let unused = idle.get_mut(&terms.address)?;
        if unused.first().is_some_and(|oldest| oldest.is_stale(now)) {
            stale.push(unused.remove(0));
        }
        let newest = unused.iter().rposition(|entry| entry.is_suitable(now, terms));
        let newest = newest.map(|index| unused.remove(index));
        if unused.is_empty() {
            idle.swap_remove(&terms.address);
        }
        // Connections are closed after the lock is released.
        drop(idle);
        let newest = newest.filter(|newest| !newest.is_stale(now));
        newest.map(|newest| newest.connection)
    }

    /// Closes the connections to `address` that have been idle since `asked_at` or earlier.
    pub fn close_idle(&self, address: SocketAddr, asked_at: Time) {
        let mut idle = self.idle.lock();
        let Some(unused) = idle.get_mut(&address) else {
            return;
        };
        let (older, kept): (Vec<IdleConnection>, Vec<IdleConnection>) =
            unused.drain(..).partition(|entry| entry.since <= asked_at);
        *unused = kept;
        if unused.is_empty() {
            idle.swap_remove(&address);
        }
        // Connections are closed after the lock is released.
        drop(idle);
        drop(older);
    }

    /// Closes connections that exceeded their idle timeout.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut stale = Vec::new();
        let mut idle = self.idle.lock();
        idle.retain(|_, unused| {
            let (old, kept): (Vec<IdleConnection>, Vec<IdleConnection>) =
                unused.drain(..).partition(|entry| entry.is_stale(now));
            stale.extend(old);
            *unused = kept;
            !unused.is_empty()
        });
    }
}

/// Counts a connection as open, from before it is established until it has ended.
#[derive(Debug)]
struct OpenConnection {
    pool: Arc<Pool>,
}

impl OpenConnection {
    fn new(pool: &Arc<Pool>) -> OpenConnection {
        pool.open_count.fetch_add(1, Ordering::AcqRel);
        OpenConnection { pool: pool.clone() }
    }

    /// Returns `None` if `max_open` connections are open.
    fn reserve(pool: &Arc<Pool>, max_open: usize) -> Option<OpenConnection> {
        let add = |open: usize| (open < max_open).then_some(open + 1);
        pool.open_count.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(OpenConnection { pool: pool.clone() })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.pool.open_count.fetch_sub(1, Ordering::AcqRel);
        self.pool.changed.notify(usize::MAX);
    }
}

impl IdleConnection {
    /// Whether the remote side has closed it.
    fn is_closed(&self) -> bool {
        self.connection.sender.is_closed()
    }

    fn is_suitable(&self, now: Time, terms: IdleTerms<'_>) -> bool {
        let carried = &self.connection.carried_requests;
        now.since(self.since) <= terms.max_idle
            && !terms.request_id.is_some_and(|id| carried.may_contain(id))
    }

    fn is_stale(&self, now: Time) -> bool {
        now.since(self.since) > self.connection.idle_timeout
    }
}
