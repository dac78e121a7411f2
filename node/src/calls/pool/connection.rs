//! A pooled connection.

use super::{IdleConnection, MAX_IDLE_PER_ADDRESS, Pool};
use crate::calls::body::Body;
use crate::calls::carried::CarriedRequests;
use crate::calls::gate::Slot;
use crate::calls::headers;
use crate::calls::readiness::HeadLimit;
use crate::calls::response_end::ResponseEnd;
use crate::calls::response_head;
use async_io::Async;
use futures_lite::AsyncReadExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderValue;
use hyper::{Request, Response, Version};
use parking_lot::Mutex;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Idle timeout of pooled connections. Shorter than that of the listeners, so that the remote side
/// does not close a connection while a request is being sent.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Fraction of the remote side's keep-alive timeout after which a connection is no longer reused, so
/// that it is not closed there while a request is in transit.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Bytes read from a target after a cancelled request before the connection is closed on it: a
/// response of usual size that was on its way.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// A request without a response.
#[derive(Debug)]
pub enum SendError {
    /// No byte was sent; contains the request.
    NotSent(Box<Request<Body>>),
    /// Part of the request may have been sent; no valid response was received.
    Broken {
        /// Whether part of a response was received.
        response_begun: bool,
    },
}

/// A slot of the target that is freed only when the connection has ended.
pub type DeferredSlot = Mutex<Option<Slot>>;

/// An open connection with at most one request in flight.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<Body>,
    // Idle timeout, derived from the remote side's keep-alive timeout.
    pub(super) idle_timeout: Duration,
    pub(super) address: SocketAddr,
    pub(super) pool: Arc<Pool>,
    pub(super) deferred_slot: Arc<DeferredSlot>,
    pub(super) head_limit: Arc<HeadLimit>,
    pub(super) response_end: Arc<ResponseEnd>,
    pub(super) used: ConnectionUse,
    pub(super) carried_requests: Box<CarriedRequests>,
}

/// Identifies one use of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of the connection in its pool, from 1.
    pub number: u64,
    /// Requests that it carried before.
    pub carried: u32,
}

impl Connection {
    /// Records that the connection is about to carry an attempt of this request.
    pub fn record_request(&mut self, id: &HeaderValue) {
        self.carried_requests.record(id);
    }

    /// Whether the last response was the first one on this connection.
    pub fn is_first_response(&self) -> bool {
        self.used.carried == 1
    }

    /// The next use of the connection.
    pub fn next_use(&self) -> ConnectionUse {
        self.used
    }

    /// The slot that is held until the connection ends.
    pub fn deferred_slot(&self) -> Arc<DeferredSlot> {
        self.deferred_slot.clone()
    }

    /// What followed the last response.
    pub fn response_end(&self) -> Arc<ResponseEnd> {
        self.response_end.clone()
    }

    /// Returns the connection to the pool.
    pub fn release(self) {
        if self.sender.is_closed() || self.carried_requests.is_full() {
            return;
        }
        let pool = self.pool.clone();
        let since = pool.clock.now();
        let mut idle = pool.idle.lock();
        let unused = idle.entry(self.address).or_default();
        if unused.len() < MAX_IDLE_PER_ADDRESS {
            unused.push(IdleConnection { connection: self, since });
        }
        drop(idle);
        pool.changed.notify(usize::MAX);
    }

    /// Sends a request and waits for the head of its response. A response that is not valid, as far as
    /// its head tells, counts as a broken connection.
    pub async fn send(
        mut self,
        req: Request<Body>,
        sent: &AtomicBool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let method = req.method().clone();
        sent.store(true, Ordering::Release);
        self.head_limit.begin();
        match self.sender.try_send_request(req).await {
            Ok(mut response) => {
                let ended = response.body().is_end_stream();
                let is_valid = response_head::is_valid(&method, &response);
                if !is_valid || ended && self.response_end.has_rest() {
                    return Err(SendError::Broken { response_begun: true });
                }
                self.head_limit.end();
                // The version concerns this connection only. Forwarded as HTTP/1.0, a body without a
                // length would look complete wherever it is cut.
                *response.version_mut() = Version::HTTP_11;
                self.used.carried += 1;
                if let Some(timeout) = headers::keep_alive_timeout(response.headers()) {
                    self.idle_timeout = timeout.mul_f64(KEEP_ALIVE_FRACTION).min(IDLE_TIMEOUT);
                }
                Ok((response, self))
            }
            // hyper returns the request only if it has written no byte of it.
            Err(mut error) => Err(match error.take_message() {
                Some(req) => {
                    sent.store(false, Ordering::Release);
                    SendError::NotSent(Box::new(req))
                }
                None => SendError::Broken { response_begun: self.head_limit.has_begun() },
            }),
        }
    }
}

/// Shuts down the write side and waits until the target has closed the connection. By then the
/// target has noticed the cancellation, so its slot is free. A target that goes on sending has not
/// noticed, and the connection is closed on it.
pub(super) async fn wait_for_close(mut stream: Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut buf = [0; 4_096];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => discarded += count,
            _ => return,
        }
    }
}
