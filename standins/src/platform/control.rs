//! Faults of the platform stand-in, its counts, and the control port that a test drives it by.

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

/// Faults that the stand-in shows now; all off at first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Closes every connection at once.
    pub down: bool,
    /// Takes requests and answers none while it lasts.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Answers what is no value.
    #[serde(rename = "rubbish")]
    pub malformed: bool,
    /// Callers cut off: by their own address, or by the address that they connect to.
    #[serde(rename = "cut")]
    pub blocked: Vec<IpAddr>,
    /// Answers as of this index: the present one for a stale replica, an earlier one for a
    /// restored backup.
    pub as_of: Option<u64>,
}

impl Faults {
    /// Whether a connection between these addresses can't be.
    fn blocks(&self, endpoints: &[IpAddr]) -> bool {
        self.down || endpoints.iter().any(|ip| self.blocked.contains(ip))
    }
}

/// A connection of a reader; it ends when this is dropped.
#[derive(Debug)]
struct Connection {
    endpoints: [IpAddr; 2],
    shutdown: Sender<()>,
}

/// What the stand-in has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls; a waiting one counts once.
    pub calls: u64,
    /// Calls answered 429.
    pub refused: u64,
    /// Most calls in one second.
    pub peak_calls_per_second: u64,
    /// Index of the last change.
    pub index: u64,
}

/// Everything that the stand-in holds.
#[derive(Debug)]
pub struct State {
    /// Faults shown now.
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
    /// A stand-in without faults.
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

    /// Takes a new connection, unless its ends are cut off. It ends when the result does.
    pub fn admit(&mut self, endpoints: [IpAddr; 2]) -> Option<Receiver<()>> {
        if self.faults.blocks(&endpoints) {
            return None;
        }
        let (shutdown, closed) = async_channel::bounded(1);
        self.connections.retain(|connection| !connection.shutdown.is_closed());
        self.connections.push(Connection { endpoints, shutdown });
        Some(closed)
    }

    /// Counts a call. Returns false if there were too many in this second.
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

    /// The value of a key, and what ends when anything changes.
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

    /// Sets the faults, also for callers that wait. Connections of others stay as they are.
    fn set_faults(&mut self, faults: Faults) {
        self.connections.retain(|connection| !faults.blocks(&connection.endpoints));
        self.faults = faults;
        self.watchers.clear();
    }

    fn counts(&self) -> Counts {
        Counts { index: self.store.index(), ..self.counts }
    }
}

/// Answers the control port: `PUT /v1/kv/<key>`, `PUT /faults`, `GET /counts`.
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
