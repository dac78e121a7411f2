//! State of the platform stand-in, its injected faults, and its control port.

use super::store::{Store, Value};
use crate::http::{self, Body};
use async_channel::{Receiver, Sender};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

/// Faults that are currently injected; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Closes every connection immediately.
    pub down: bool,
    /// Accepts requests but does not answer them while the fault is set.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Responds with malformed values.
    #[serde(rename = "rubbish")]
    pub malformed: bool,
    /// Blocks connections from or to these addresses.
    #[serde(rename = "cut")]
    pub blocked: Vec<IpAddr>,
    /// Serves values as of this index: the current index simulates a stale replica, an earlier
    /// index a restored backup.
    pub as_of: Option<u64>,
}

impl Faults {
    /// Whether a connection between these addresses is blocked.
    fn blocks(&self, endpoints: &[IpAddr]) -> bool {
        self.down || endpoints.iter().any(|ip| self.blocked.contains(ip))
    }
}

/// An open read connection, which is closed when this is dropped.
#[derive(Debug)]
struct Connection {
    endpoints: [IpAddr; 2],
    shutdown: Sender<()>,
}

/// Call counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls received; a blocking query counts once.
    pub calls: u64,
    /// Calls answered with status 429.
    pub refused: u64,
    /// Highest number of calls within one second.
    pub peak_calls_per_second: u64,
    /// Index of the last change.
    pub index: u64,
}

/// State of the platform stand-in.
#[derive(Debug)]
pub struct State {
    /// Injected faults.
    pub faults: Faults,
    store: Store,
    connections: Vec<Connection>,
    watchers: Vec<Sender<()>>,
    counts: Counts,
    max_calls_per_second: u64,
    current_second: u64,
    calls_in_second: u64,
    started: Instant,
}

impl State {
    /// Creates the state without faults.
    pub fn new(store: Store, max_calls_per_second: u64) -> State {
        State {
            faults: Faults::default(),
            store,
            connections: Vec::new(),
            watchers: Vec::new(),
            counts: Counts::default(),
            max_calls_per_second,
            current_second: 0,
            calls_in_second: 0,
            started: Instant::now(),
        }
    }

    /// Registers a connection, unless it is blocked. The caller closes the connection when the
    /// returned receiver is closed.
    pub fn admit(&mut self, endpoints: [IpAddr; 2]) -> Option<Receiver<()>> {
        if self.faults.blocks(&endpoints) {
            return None;
        }
        let (shutdown, closed) = async_channel::bounded(1);
        self.connections.retain(|connection| !connection.shutdown.is_closed());
        self.connections.push(Connection { endpoints, shutdown });
        Some(closed)
    }

    /// Counts a call. Returns false if it exceeds the limit for the current second.
    pub fn count_call(&mut self) -> bool {
        let second = self.started.elapsed().as_secs();
        if second != self.current_second {
            self.current_second = second;
            self.calls_in_second = 0;
        }
        self.calls_in_second += 1;
        self.counts.calls += 1;
        let peak = self.counts.peak_calls_per_second.max(self.calls_in_second);
        self.counts.peak_calls_per_second = peak;
        let within_limit = self.calls_in_second <= self.max_calls_per_second;
        self.counts.refused += u64::from(!within_limit);
        within_limit
    }

    /// Returns the value of a key, and a receiver that is closed on the next change of any value or
    /// fault.
    pub fn look_up(&mut self, key: &str) -> (Option<Value>, Receiver<()>) {
        let (tx, rx) = async_channel::bounded(1);
        self.watchers.retain(|watcher| !watcher.is_closed());
        self.watchers.push(tx);
        let as_of = self.faults.as_of.unwrap_or(u64::MAX);
        (self.store.get(key, as_of), rx)
    }

    fn put(&mut self, key: &str, body: bytes::Bytes) -> u64 {
        let index = self.store.put(key, body);
        self.watchers.clear();
        index
    }

    /// Replaces the faults and wakes blocking queries. Closes only the connections that the new
    /// faults block.
    fn set_faults(&mut self, faults: Faults) {
        self.connections.retain(|connection| !faults.blocks(&connection.endpoints));
        self.faults = faults;
        self.watchers.clear();
    }

    fn counts(&self) -> Counts {
        Counts { index: self.store.index(), ..self.counts }
    }
}

/// Handles requests to the control port: `PUT /v1/kv/<key>`, `PUT /faults` and `GET /counts`.
pub async fn handle(state: Rc<RefCell<State>>, req: Request<Incoming>) -> Option<Response<Body>> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let key = head.uri.path().strip_prefix("/v1/kv/");
    Some(match (&head.method, key, head.uri.path()) {
        (&Method::PUT, Some(key), _) => {
            let index = state.borrow_mut().put(key, body);
            http::response(StatusCode::OK, index.to_string())
        }
        (&Method::PUT, None, "/faults") => match serde_json::from_slice(&body) {
            Ok(faults) => {
                state.borrow_mut().set_faults(faults);
                http::response(StatusCode::OK, "")
            }
            Err(e) => http::response(StatusCode::BAD_REQUEST, e.to_string()),
        },
        (&Method::GET, None, "/counts") => {
            let counts = state.borrow().counts();
            http::response(StatusCode::OK, serde_json::to_vec(&counts).unwrap_or_default())
        }
        _ => http::response(StatusCode::NOT_FOUND, ""),
    })
}
