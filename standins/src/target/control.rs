//! State of a target, and the control port of the target stand-ins.

use super::load::ReportedLoad;
use super::{RESTART_DELAY, Target};
use crate::http::{self, Body, ShutdownSignal};
use async_channel::Receiver;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Simulated behaviour of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Factor by which work takes longer.
    #[serde(rename = "slow")]
    pub work_factor: f64,
    /// Further factor while the target warms up.
    #[serde(rename = "cold")]
    pub warm_up_work_factor: f64,
    /// Duration of the warm-up after a start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: u64,
    /// Reports zero load regardless of the requests in flight.
    #[serde(rename = "lies")]
    pub reports_idle: bool,
    /// Requests per second that it states to accept, in every response. It runs more all the same,
    /// and the run log shows how many.
    #[serde(rename = "limit")]
    pub rate_limit: Option<f64>,
    /// States in every response that it is leaving. It runs on all the same.
    pub leaving: bool,
}

/// Counters of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub runs: u64,
    /// Requests rejected because all slots were taken. A correct gatekeeper causes none.
    pub beyond_slots: u64,
    /// Connections rejected because of the limit. A correct gatekeeper causes none.
    pub beyond_connections: u64,
    /// Highest number of concurrent runs.
    pub peak_in_flight: u32,
    /// Highest number of concurrent connections.
    pub peak_connections: u32,
    pub crashes: u64,
}

#[derive(Debug)]
pub struct State {
    behaviour: Behaviour,
    counts: Counts,
    in_flight: u32,
    connections: u32,
    reported_load: ReportedLoad,
    started: Instant,
    shutdown: ShutdownSignal,
    downtime: Option<Duration>,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            work_factor: 1.0,
            warm_up_work_factor: 1.0,
            warm_up_ms: 0,
            reports_idle: false,
            rate_limit: None,
            leaving: false,
        }
    }
}

impl Default for State {
    fn default() -> State {
        State {
            behaviour: Behaviour::default(),
            counts: Counts::default(),
            in_flight: 0,
            connections: 0,
            reported_load: ReportedLoad::default(),
            started: Instant::now(),
            shutdown: ShutdownSignal::new(),
            downtime: None,
        }
    }
}

impl Behaviour {
    /// Adds the headers by which the target states its limit and that it is leaving.
    pub fn write_statements(&self, headers: &mut HeaderMap) {
        let limit = self.rate_limit.and_then(|limit| limit.to_string().parse().ok());
        if let Some(limit) = limit {
            headers.insert("x-sycamore-rate-limit", limit);
        }
        if self.leaving {
            headers.insert("x-sycamore-leaving", HeaderValue::from_static("1"));
        }
    }
}

impl State {
    /// Simulated behaviour.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// Registers a connection. Returns false if the limit is reached.
    pub fn open_connection(&mut self, limit: u32) -> bool {
        if self.connections >= limit {
            self.counts.beyond_connections += 1;
            return false;
        }
        self.connections += 1;
        self.counts.peak_connections = self.counts.peak_connections.max(self.connections);
        true
    }

    /// Takes a slot for a run. Returns false if no slot is free.
    pub fn take_slot(&mut self, limit: u32) -> bool {
        if self.in_flight >= limit {
            self.counts.beyond_slots += 1;
            return false;
        }
        self.in_flight += 1;
        self.counts.runs += 1;
        self.counts.peak_in_flight = self.counts.peak_in_flight.max(self.in_flight);
        true
    }

    pub fn free_slot(&mut self) {
        self.in_flight -= 1;
    }

    /// Factor by which work takes longer at `now`.
    pub fn work_factor(&self, now: Instant) -> f64 {
        let warming_up = now - self.started < Duration::from_millis(self.behaviour.warm_up_ms);
        if warming_up {
            self.behaviour.work_factor * self.behaviour.warm_up_work_factor
        } else {
            self.behaviour.work_factor
        }
    }

    /// Value of the header `x-load`.
    pub fn load(&mut self, slots: u32) -> String {
        let in_flight = self.reported_load.get(self.in_flight, Instant::now());
        let in_flight = if self.behaviour.reports_idle { 0 } else { in_flight };
        format!("{in_flight}/{slots}")
    }

    /// Returns a receiver that is closed when the target crashes.
    pub fn crashed(&self) -> Receiver<()> {
        self.shutdown.subscribe()
    }

    /// Aborts all connections and runs. The target restarts after `downtime`.
    pub fn crash(&mut self, downtime: Duration) {
        self.counts.crashes += 1;
        self.downtime = Some(downtime);
        self.shutdown = ShutdownSignal::new();
    }

    /// Downtime of a crashed target; `None` while it runs.
    pub fn downtime(&self) -> Option<Duration> {
        self.downtime
    }

    /// Marks the target as running again, at the start of its warm-up.
    pub fn restart(&mut self) {
        self.downtime = None;
        self.started = Instant::now();
    }
}

/// Unregisters a connection when it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(pub(super) Rc<Target>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.state.borrow_mut().connections -= 1;
    }
}

/// Handles requests to the control port: `GET /counts`, `PUT /habits/<vm>` and `PUT /crash/<vm>`,
/// whose body is the downtime in milliseconds.
pub async fn handle(
    targets: Rc<Vec<Rc<Target>>>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    if head.method == Method::GET && head.uri.path() == "/counts" {
        return Some(counts(&targets));
    }
    let mut path = head.uri.path().trim_start_matches('/').split('/');
    let (Some(action), Some(vm)) = (path.next(), path.next()) else { return Some(not_found()) };
    let Some(target) = targets.iter().find(|target| target.cfg.vm == vm) else {
        return Some(not_found());
    };
    let mut state = target.state.borrow_mut();
    match action {
        "habits" => match serde_json::from_slice(&body) {
            Ok(behaviour) => state.behaviour = behaviour,
            Err(e) => return Some(http::response(StatusCode::BAD_REQUEST, e.to_string())),
        },
        "crash" => {
            let downtime = std::str::from_utf8(&body).ok().and_then(|text| text.parse().ok());
            state.crash(downtime.map_or(RESTART_DELAY, Duration::from_millis));
        }
        _ => return Some(not_found()),
    }
    Some(http::response(StatusCode::OK, ""))
}

fn counts(targets: &[Rc<Target>]) -> Response<Body> {
    let counts: IndexMap<&str, Counts> =
        targets.iter().map(|target| (&target.cfg.vm[..], target.state.borrow().counts)).collect();
    http::response(StatusCode::OK, serde_json::to_vec(&counts).unwrap_or_default())
}

fn not_found() -> Response<Body> {
    http::response(StatusCode::NOT_FOUND, "")
}
