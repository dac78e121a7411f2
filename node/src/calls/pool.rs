//! Connections that this node opens: to gatekeepers, and to the local target.

use super::body::Body;
use super::gate::Slot;
use super::headers;
use super::quiet::Quiet;
use crate::clock::Clock;
use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use sycamore_core::Time;

/// Longest wait for a connection to be opened. Regions are 40 ms apart there and back; an
/// opening packet that was lost is sent again only after a second, and another target answers
/// sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an unused connection is kept; shorter than a listener keeps it, so that it is not
/// closed on the other side just as a request goes out on it.
const IDLE_LIFE: Duration = Duration::from_secs(30);

/// Share of the time that the other side states for idle connections after which one is no longer
/// used, so that it is not closed there while a request is on its way.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Unused connections kept to one address.
const MAX_IDLE: usize = 128;

/// Longest wait for a connection that was given back to be usable again.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Longest wait for the target to close its side after a request was cancelled.
const LINGER: Duration = Duration::from_millis(500);

/// A request that did not get an answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it left this node; here it is again.
    NotSent(Box<Request<Body>>),
    /// A byte of it may have left.
    Broken,
}

/// Unused connections by address.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    executor: Arc<Executor<'static>>,
    connect_timeout: Duration,
    idle: Mutex<IndexMap<SocketAddr, Vec<Idle>>>,
    open: AtomicUsize,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
}

/// A slot of the target that is not free before the connection has ended.
pub type Linger = Mutex<Option<Slot>>;

/// An open connection, on which one request at a time is under way.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    // How long the other side says that it keeps the connection without a request.
    idle_life: Duration,
    address: SocketAddr,
    pool: Arc<Pool>,
    linger: Arc<Linger>,
}

impl Pool {
    /// No connections yet; their tasks will run on `executor`.
    pub fn new(clock: Clock, executor: Arc<Executor<'static>>) -> Arc<Pool> {
        Pool::with_connect_timeout(clock, executor, CONNECT_TIMEOUT)
    }

    /// The same with another longest wait for a connection to be opened, where there is no other
    /// side to turn to.
    pub fn with_connect_timeout(
        clock: Clock,
        executor: Arc<Executor<'static>>,
        connect_timeout: Duration,
    ) -> Arc<Pool> {
        let (idle, open) = (Mutex::new(IndexMap::new()), AtomicUsize::new(0));
        Arc::new(Pool { clock, executor, connect_timeout, idle, open })
    }

    /// Connections that are open, used or not.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Sends a request over an unused connection, or a new one. `sent` tells, also to whoever
    /// gives the wait up, whether a byte of the request may have left.
    pub async fn send(
        self: &Arc<Pool>,
        address: SocketAddr,
        mut req: Request<Body>,
        sent: &AtomicBool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(connection) = self.take(address, Duration::MAX).await {
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

    /// Opens a connection.
    pub async fn connect(self: &Arc<Pool>, address: SocketAddr) -> io::Result<Connection> {
        let timeout = async {
            self.clock.sleep(self.connect_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = future::or(Async::<TcpStream>::connect(address), timeout).await?;
        stream.get_ref().set_nodelay(true)?;
        let (sender, driver) =
            http1::handshake(FuturesIo::new(Quiet::new(stream))).await.map_err(io::Error::other)?;
        let linger = Arc::new(Linger::default());
        let pool = self.clone();
        pool.open.fetch_add(1, Ordering::AcqRel);
        let held = linger.clone();
        let task = async move {
            if let Ok(parts) = driver.without_shutdown().await {
                let cancelled = held.lock().is_some();
                if cancelled {
                    let stream = parts.io.into_inner().into_inner();
                    let timeout = async {
                        pool.clock.sleep(LINGER).await;
                    };
                    future::or(wait_for_close(stream), timeout).await;
                }
            }
            pool.open.fetch_sub(1, Ordering::AcqRel);
            // Dropped outside the lock: its end may start another request.
            let slot = held.lock().take();
            drop(slot);
        };
        self.executor.spawn(task).detach();
        Ok(Connection { sender, idle_life: IDLE_LIFE, address, pool: self.clone(), linger })
    }

    /// An unused connection that can take a request, unused for `freshness` at most.
    pub async fn take(&self, address: SocketAddr, freshness: Duration) -> Option<Connection> {
        loop {
            let mut connection = self.pop(address, freshness)?;
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

    fn pop(&self, address: SocketAddr, freshness: Duration) -> Option<Connection> {
        let now = self.clock.now();
        let mut stale = Vec::new();
        let mut idle = self.idle.lock();
        let unused = idle.get_mut(&address)?;
        if unused.first().is_some_and(|oldest| oldest.is_stale(now)) {
            stale.push(unused.remove(0));
        }
        if unused.last().is_some_and(|newest| now.since(newest.since) > freshness) {
            return None;
        }
        let newest = unused.pop().filter(|newest| !newest.is_stale(now));
        if unused.is_empty() {
            idle.swap_remove(&address);
        }
        drop(idle);
        newest.map(|newest| newest.connection)
    }

    /// Closes connections that were not used for long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut stale = Vec::new();
        let mut idle = self.idle.lock();
        idle.retain(|_, unused| {
            let (old, kept): (Vec<Idle>, Vec<Idle>) =
                unused.drain(..).partition(|entry| entry.is_stale(now));
            stale.extend(old);
            *unused = kept;
            !unused.is_empty()
        });
    }
}

impl Idle {
    fn is_stale(&self, now: Time) -> bool {
        now.since(self.since) > self.connection.idle_life
    }
}

impl Connection {
    /// What is held until the connection has ended.
    pub fn linger(&self) -> Arc<Linger> {
        self.linger.clone()
    }

    /// Lets the next request have the connection.
    pub fn give_back(self) {
        if self.sender.is_closed() {
            return;
        }
        let pool = self.pool.clone();
        let since = pool.clock.now();
        let mut idle = pool.idle.lock();
        let unused = idle.entry(self.address).or_default();
        if unused.len() < MAX_IDLE {
            unused.push(Idle { connection: self, since });
        }
    }

    /// Sends a request.
    pub async fn send(
        mut self,
        req: Request<Body>,
        sent: &AtomicBool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        sent.store(true, Ordering::Release);
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                if let Some(life) = headers::keep_alive(response.headers()) {
                    self.idle_life = life.mul_f64(KEEP_ALIVE_SHARE).min(IDLE_LIFE);
                }
                Ok((response, self))
            }
            // hyper gives the request back only if it has written no byte of it.
            Err(mut error) => Err(match error.take_message() {
                Some(req) => {
                    sent.store(false, Ordering::Release);
                    SendError::NotSent(Box::new(req))
                }
                None => SendError::Broken,
            }),
        }
    }
}

/// Tells the other side that nothing more comes, and waits until it has closed too: a target has
/// noticed a cancellation by then, so that its slot is free in truth.
async fn wait_for_close(mut stream: Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {}
}
