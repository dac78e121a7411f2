//! Adapter of the gatekeeper, the only component that opens connections to the local target.

mod connect;
mod probe;
mod recall;
mod slot;
mod state;
mod target;

pub use slot::{ActiveResponse, Slot};

use super::body::{self, Body, Guard};
use super::conn_state::{ConnectionState, Phase};
use super::dialect::Dialect;
use super::entry::MAX_BUFFERED_BODY_BYTES;
use super::headers::{self, CallHead};
use super::pool::Pool;
use super::trace::{self, Fields, Step};
use super::unknown_headers::UnknownHeaders;
use super::unsent::Unsent;
use crate::metrics::Metrics;
use crate::shared::Shared;
use async_channel::Receiver;
use async_executor::Executor;
use bytes::Bytes;
use futures_lite::future;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use slot::QueuedCall;
use state::{Decision, State, TargetState};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use sycamore_core::call::admit::ColdChange;
use sycamore_core::call::gatekeeper::{Arrival, Input, Output};
use sycamore_core::call::once::CachedResponse;
use sycamore_core::call::{
    CallKey, Fingerprint, Gatekeeper, Members, Note, Outcome, RateLimit, RequestKey, StopPlan,
    TargetStatements,
};
use sycamore_core::config::{Class, Snapshot, without_port};
use sycamore_core::event::{Event, EventKind};
use sycamore_core::hash::Hash;
use sycamore_core::{Code, Name, Time};
use target::{Call, NoResponse};

/// Adapter of the gatekeeper's state machine.
#[derive(Debug)]
pub struct GateAdapter {
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    pool: Arc<Pool>,
    state: Mutex<State>,
    next_call: AtomicU64,
    drain_sent: AtomicBool,
    probe_due: AtomicBool,
    // Whether the target states a limit or that it is leaving. Responses without a statement need
    // not be reported otherwise.
    has_statements: AtomicBool,
    unknown_headers: UnknownHeaders,
}

impl GateAdapter {
    pub fn new(shared: Arc<Shared>, executor: &Arc<Executor<'static>>, seed: u64) -> GateAdapter {
        let settings = &shared.settings;
        let link = settings.limits.link_mbps.map(|rate| rate.kbps);
        let mut gatekeeper = Gatekeeper::new(settings.vm.clone(), shared.clock.now(), seed)
            .with_policy(settings.scheduling.policy())
            .with_link(link)
            .with_region(settings.region.clone());
        if let Some(service) = &settings.service {
            gatekeeper = gatekeeper.with_discovered_target(settings.listen.gate, service.clone());
        }
        GateAdapter {
            pool: Pool::new(&shared, executor.clone()),
            executor: executor.clone(),
            state: Mutex::new(State::new(gatekeeper)),
            next_call: AtomicU64::new(1),
            drain_sent: AtomicBool::new(false),
            probe_due: AtomicBool::new(false),
            has_statements: AtomicBool::new(false),
            unknown_headers: UnknownHeaders::default(),
            shared,
        }
    }

    /// Applies a version that came into force.
    pub fn configure(self: &Arc<GateAdapter>, snapshot: &Arc<Snapshot>) {
        self.handle_input(Input::Configure(snapshot.clone()));
        self.pool.notify_limit_changed();
        self.probe_if_due();
    }

    /// Applies a change of VM states.
    pub fn set_members(&self, members: &Arc<Members>) {
        self.handle_input(Input::View(members.clone()));
    }

    /// Applies the times of the graceful shutdown.
    pub fn stop(&self, plan: StopPlan) {
        self.handle_input(Input::Stop(plan));
    }

    /// Reports that the version in force is confirmed to be the newest.
    pub fn confirm(&self) {
        self.handle_input(Input::Confirm);
    }

    /// Handles a note from another gatekeeper.
    pub fn take_note(&self, from: &Name, note: &Note) {
        self.handle_input(Input::Note { from, note });
    }

    /// Sends a tick to the state machine, preceded by a drain input if draining has started.
    pub fn tick(self: &Arc<GateAdapter>) {
        if !self.shared.accepts_forwards() && !self.drain_sent.swap(true, Ordering::AcqRel) {
            self.handle_input(Input::Drain);
        }
        self.handle_input(Input::Tick);
        self.probe_if_due();
        self.pool.sweep();
    }

    fn probe_if_due(self: &Arc<GateAdapter>) {
        if self.probe_due.swap(false, Ordering::AcqRel) {
            self.executor.spawn(self.clone().probe()).detach();
        }
    }

    /// Passes an input to the state machine that does not belong to a call of the current task.
    fn handle_input(&self, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.shared.clock.now();
        let mut state = self.state.lock();
        state.gatekeeper.handle(now, input, &mut out);
        let target = state.publish(now, &self.shared);
        let (_, effects) = state.dispatch(now, None, out);
        drop(state);
        self.publish(target);
        self.execute(effects);
    }

    /// Passes an input about `call` to the state machine and returns the decision for that call.
    fn decide(&self, call: CallKey, input: Input<'_>) -> Option<Decision> {
        let mut out = Vec::with_capacity(2);
        let now = self.shared.clock.now();
        let mut state = self.state.lock();
        state.gatekeeper.handle(now, input, &mut out);
        let target = state.publish(now, &self.shared);
        let (own, effects) = state.dispatch(now, Some(call), out);
        drop(state);
        self.publish(target);
        self.execute(effects);
        own
    }

    fn publish(&self, target: TargetState) {
        let TargetState { load, runs, statements, cold } = target;
        self.shared.set_own_runs(runs);
        let metrics = &self.shared.metrics;
        metrics.in_flight.set(load.in_flight.into());
        metrics.queued.set(load.queued.into());
        metrics.target_limited.set(statements.limit.is_some().into());
        metrics.target_rate_limit.set(statements.limit.map_or(0.0, RateLimit::per_second));
        metrics.target_leaving.set(statements.leaving.into());
        metrics.target_cold.set(cold.into());
        let is_stated = statements != TargetStatements::default();
        self.has_statements.store(is_stated, Ordering::Release);
    }

    fn execute(&self, effects: Vec<Output>) {
        for output in effects {
            match output {
                Output::Send(note) => {
                    self.shared.notes.send(note);
                }
                Output::Probe => self.probe_due.store(true, Ordering::Release),
                Output::Record(kind) => {
                    let event = Event::new(self.shared.clock.now(), kind);
                    self.shared.record(event.with_default_code());
                }
                Output::RecordCold(change) => self.record_cold_change(change),
                _ => {}
            }
        }
    }

    fn record_cold_change(&self, change: ColdChange) {
        let now = self.shared.clock.now();
        self.shared.record(match change {
            ColdChange::Cold { evidence, left } => {
                Event::new(now, EventKind::TargetCold).with_cold_time(evidence, left)
            }
            ColdChange::Warm => Event::new(now, EventKind::TargetWarm),
        });
    }

    /// Delay before the next `bytes` of the response to `call` may be sent over the link.
    pub(super) fn link_delay(&self, call: CallKey, bytes: u64) -> Duration {
        let now = self.shared.clock.now();
        let written = self.shared.link_use.take();
        let mut state = self.state.lock();
        state.gatekeeper.record_written(now, written);
        state.gatekeeper.schedule_chunk(now, call, bytes).since(now)
    }

    /// Serves a request forwarded by another node.
    pub async fn serve(
        self: Arc<GateAdapter>,
        conn: Arc<ConnectionState>,
        req: Request<Incoming>,
    ) -> Response<Body> {
        conn.begin_request(self.shared.track_call());
        if recall::is_recall(&req) {
            return self.answer_recall(&conn, req);
        }
        let read = CallHead::read(&req, &Dialect::new());
        let id = req.headers().get(headers::REQUEST_ID).cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static("none"));
        let number = recall::attempt_number(&req);
        let reject =
            |unsent, code| self.reject(&conn, &id, number, NoResponse::unsent(unsent, code));
        let head = match read {
            Ok(head) if head.request_id.is_some() && !conn.has_ambiguous_length() => head,
            Ok(_) => return reject(Unsent::drop_request(req), Code::RequestInvalid),
            Err(code) => return reject(Unsent::drop_request(req), code),
        };
        let key = CallKey(self.next_call.fetch_add(1, Ordering::Relaxed));
        let deadline = self.shared.clock.now() + head.time_left.unwrap_or_default();
        let Ok(target_time) = headers::parse_number(req.headers(), &headers::TARGET_TIME) else {
            return reject(Unsent::drop_request(req), Code::RequestInvalid);
        };
        let target_time = target_time.map(Duration::from_millis);
        let run_by = target_time.map(|time| self.shared.clock.now() + time);
        self.shared.limit_connection(&conn, deadline);
        let terms = match headers::read_terms(req.headers(), self.shared.clock.now()) {
            Ok(terms) => terms,
            Err(code) => return reject(Unsent::drop_request(req), code),
        };
        let idempotent = terms.as_ref().is_none_or(|terms| terms.idempotent);
        let class = terms.as_ref().map_or(Class::Interactive, |terms| terms.class);
        let arrived = self.shared.clock.now();
        let host = headers::host(&req);
        let recalls = self.shared.settings.scheduling.recall;
        let attempt = recalls.then(|| recall::attempt_id(&req)).flatten();
        let (req, buffered_body) = match self.buffer_body(req, deadline).await {
            Ok(buffered) => buffered,
            Err((unsent, code)) => return reject(unsent, code),
        };
        if !self.shared.accepts_forwards() && !self.drain_sent.swap(true, Ordering::AcqRel) {
            self.handle_input(Input::Drain);
        }
        let digest =
            buffered_body.as_ref().filter(|_| head.key.is_some()).map(|buf| digest(&req, buf));
        let arrival = Arrival {
            call: key,
            host: &host,
            path: req.uri().path(),
            terms,
            key: head.key,
            digest,
            fingerprint: self.fingerprint(&req, &host, &head, buffered_body.as_ref()),
            crashes: head.crashes,
            // The entry node has already counted itself.
            depth: head.depth.saturating_sub(1),
            deadline,
            run_by,
            known_limit: headers::known_limit(req.headers()),
        };
        let arrive = match attempt {
            Some(attempt) => Input::ArriveAttempt { attempt, arrival },
            None => Input::Arrive(arrival),
        };
        let decision = match self.decide(key, arrive) {
            Some(Decision::Queue(until, granted)) => {
                self.trace(&id, Step::GateQueued);
                self.wait_for_slot(key, until, granted).await.ok_or(Code::QueueTimeout)
            }
            Some(decision @ Decision::Reject(Outcome::NotRun { code: Code::Recalled, .. }, _)) => {
                self.shared.metrics.late_attempts.inc();
                Ok(decision)
            }
            decision => decision.ok_or(Code::NoTarget),
        };
        let decision = match decision {
            Ok(decision) => decision,
            Err(code) => return reject(Unsent::drop_request(req), code),
        };
        let waited = self.shared.clock.now().since(arrived);
        if matches!(decision, Decision::Run { .. }) {
            self.trace(&id, Step::GateRun);
            Metrics::observe_duration(&self.shared.metrics.wait_seconds, class, waited);
        }
        let run_by = run_by.map_or(deadline, |run_by| run_by.min(deadline));
        match decision {
            Decision::Run { once, counted_at } => {
                let attempt = number;
                let call = Call {
                    key,
                    id,
                    attempt,
                    deadline,
                    run_by,
                    class,
                    idempotent,
                    waited,
                    counted_at,
                    req,
                };
                match once {
                    true => self.run_once(&conn, call).await,
                    false => self.run(&conn, call).await,
                }
            }
            Decision::Replay(cached) => self.replay(&conn, &id, &cached),
            Decision::Reject(outcome, crashes) => {
                self.reject(&conn, &id, number, NoResponse::new(outcome, crashes))
            }
            Decision::Queue(..) => reject(Unsent::drop_request(req), Code::QueueTimeout),
        }
    }

    fn trace(&self, id: &HeaderValue, step: Step) {
        trace::log_step(&self.shared, id, step, self.state_fields(Fields::default()));
    }

    /// Adds the state of the target on which decisions are based.
    pub(super) fn state_fields<'a>(&self, fields: Fields<'a>) -> Fields<'a> {
        let now = self.shared.clock.now();
        let gatekeeper = &self.state.lock().gatekeeper;
        let starts = gatekeeper.is_target_cold(now).then(|| gatekeeper.recent_starts(now));
        fields.with_load(gatekeeper.load(now)).with_cold_starts(starts)
    }

    /// Waits for a slot of the target. Returns `None` if there is no decision in time.
    async fn wait_for_slot(
        self: &Arc<GateAdapter>,
        call: CallKey,
        until: Time,
        granted: Receiver<Decision>,
    ) -> Option<Decision> {
        let queued_call = QueuedCall::new(self, call);
        let decision = self.await_decision(call, until, &granted).await;
        if decision.is_some() {
            queued_call.disarm();
        }
        decision
    }

    /// Waits for the decision about a waiting call, which expires at `until`.
    async fn await_decision(
        &self,
        call: CallKey,
        until: Time,
        decided: &Receiver<Decision>,
    ) -> Option<Decision> {
        let timeout = async {
            self.shared.sleep_while_waiting(until).await;
            None
        };
        let decision = future::or(async { decided.recv().await.ok() }, timeout).await;
        decision.or_else(|| {
            // It may have been decided at the moment of the timeout.
            let rejected = self.decide(call, Input::Expire(call));
            decided.try_recv().ok().or(rejected)
        })
    }

    /// Buffers a small body for the fingerprint and digest of the request.
    async fn buffer_body(
        &self,
        req: Request<Incoming>,
        deadline: Time,
    ) -> Result<(Request<Body>, Option<Bytes>), (Unsent, Code)> {
        let (head, incoming) = req.into_parts();
        if incoming.is_end_stream() {
            return Ok((Request::from_parts(head, Body::empty()), Some(Bytes::new())));
        }
        let small =
            incoming.size_hint().upper().is_some_and(|size| size <= MAX_BUFFERED_BODY_BYTES);
        if !small {
            let body = Body::stream(incoming, u64::MAX, self.idle_body_timeout());
            return Ok((Request::from_parts(head, body), None));
        }
        let collect = body::collect(incoming, MAX_BUFFERED_BODY_BYTES, self.idle_body_timeout());
        let collected = self.shared.with_deadline(deadline, collect).await;
        let buf =
            collected.unwrap_or_else(|| Err(self.shared.expiry_code(deadline, Code::Draining)));
        match buf {
            Ok(buf) => Ok((Request::from_parts(head, Body::buffered(buf.clone())), Some(buf))),
            Err(code) => Err((Unsent::drop_request(Request::from_parts(head, ())), code)),
        }
    }

    /// Builds a response from a buffered one.
    fn replay(
        &self,
        conn: &Arc<ConnectionState>,
        id: &HeaderValue,
        cached: &CachedResponse,
    ) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::from_u16(cached.status).unwrap_or_default();
        let headers = response.headers_mut();
        for (name, value) in &cached.headers {
            let name = HeaderName::from_bytes(name);
            let value = HeaderValue::from_maybe_shared(value.clone());
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        self.set_response_headers(headers, id);
        conn.set_phase(Phase::Response);
        *response.body_mut() =
            Body::buffered(cached.body.clone()).with_guard(Guard::Connection(conn.clone()));
        response
    }

    fn reject(
        &self,
        conn: &Arc<ConnectionState>,
        id: &HeaderValue,
        attempt: Option<u32>,
        no_response: NoResponse,
    ) -> Response<Body> {
        let NoResponse { outcome, crashes, connection } = no_response;
        // The entry node of this VM counts its own calls.
        let cut = outcome == (Outcome::Unknown { code: Code::DrainCutCalls });
        if cut && !conn.is_local() && self.shared.must_answer() {
            self.shared.count_cut_call();
        }
        if let Outcome::NotRun { code, .. } | Outcome::Unknown { code } = outcome {
            let number = code.number().to_string();
            self.shared.metrics.refusals.with_label_values(&[&number]).inc();
        }
        let fields = self.state_fields(Fields::of_outcome(outcome));
        let fields = fields.with_attempt(attempt).with_connection(connection);
        trace::log_step(&self.shared, id, Step::GateRefused, fields);
        let mut head = Response::new(());
        headers::write_outcome(&mut head, outcome);
        let headers = head.headers_mut();
        headers.insert(headers::REQUEST_ID, id.clone());
        headers.insert(headers::CRASHES, HeaderValue::from(crashes));
        self.write_target_state(headers);
        if self.shared.draining() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        conn.set_phase(Phase::Response);
        head.map(|()| Body::empty().with_guard(Guard::Connection(conn.clone())))
    }

    /// Sets the headers of a response from the target.
    fn set_response_headers(&self, headers: &mut HeaderMap, id: &HeaderValue) {
        headers::strip_hop_by_hop(headers);
        headers.remove(headers::CODE);
        headers.insert(headers::OUTCOME, HeaderValue::from_static("answered"));
        headers.insert(headers::REQUEST_ID, id.clone());
        self.write_target_state(headers);
        if self.shared.draining() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Identifies a request across retries, independently of its request id. Includes the
    /// idempotency key or, without a key, the body if it is buffered.
    fn fingerprint(
        &self,
        req: &Request<Body>,
        host: &str,
        head: &CallHead,
        body: Option<&Bytes>,
    ) -> Fingerprint {
        let target = req.uri().path_and_query().map_or("", |path| path.as_str());
        let caller = self.shared.dialect.caller.as_ref();
        let caller = caller.and_then(|name| req.headers().get(name));
        let caller = caller.map_or(&[][..], HeaderValue::as_bytes);
        let key = head.key.map(RequestKey::to_bytes);
        let identity = match (&key, body) {
            (Some(key), _) => &key[..],
            (None, Some(body)) => body,
            (None, None) => &[],
        };
        let method = req.method().as_str().as_bytes();
        // Callers of different nodes may name different ports.
        let host = without_port(host).as_bytes();
        Fingerprint::of(&[method, host, target.as_bytes(), caller, identity])
    }

    /// Sets the headers by which entry nodes learn of the target's load and statements.
    fn write_target_state(&self, headers: &mut HeaderMap) {
        let state = TargetState::new(self.shared.clock.now(), &self.state.lock().gatekeeper);
        let load = HeaderValue::try_from(state.load.to_string());
        headers.insert(headers::LOAD, load.unwrap_or_else(|_| HeaderValue::from_static("0/0/0")));
        headers::write_statements(headers, state.statements.limit, state.statements.leaving);
    }

    fn idle_body_timeout(&self) -> Duration {
        Duration::from_millis(self.shared.settings.limits.idle_body_timeout_ms)
    }
}

/// Digest of method, target and body. Equal for equal requests from any caller.
fn digest(req: &Request<Body>, body: &Bytes) -> Hash {
    let target = req.uri().path_and_query().map_or("", |path| path.as_str());
    let parts = [req.method().as_str().as_bytes(), b" ", target.as_bytes(), b"\n", body];
    Hash::of(&parts.concat())
}
