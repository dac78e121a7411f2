//! Adapter of the entry node: accepts requests from callers and forwards them to gatekeepers.

mod attempt;
mod hedge;
mod recall;
mod report;

pub use recall::RECALL_PATH;

use super::body::{self, Body, Guard, Lease};
use super::conn_state::{ConnectionState, Phase};
use super::headers::{self, CallHead, ReportedOutcome};
use super::pool::{Connection, Pool};
use super::trace::{self, Fields, Step};
use super::unsent::Unsent;
use crate::metrics::Metrics;
use crate::shared::Shared;
use async_executor::Executor;
use attempt::{AttemptResult, Failure, RequestBody, classify_response};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri, Version};
use parking_lot::Mutex;
use report::LastAttempt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Forward, Input, Output};
use sycamore_core::call::{CallKey, Entry, Members, Outcome, StopPlan};
use sycamore_core::config::Snapshot;
use sycamore_core::{Code, Time};

/// Maximum size of a request body that is buffered so that it can be sent again.
pub const MAX_BUFFERED_BODY_BYTES: u64 = 65_536;

/// Adapter of the entry node's state machine.
#[derive(Debug)]
pub struct EntryAdapter {
    shared: Arc<Shared>,
    shards: Vec<Shard>,
    next_call: AtomicU64,
    id_prefix: String,
}

/// A subset of the calls with its own lock and connection pool.
#[derive(Debug)]
struct Shard {
    entry: Mutex<Entry>,
    pool: Arc<Pool>,
}

/// A request that is forwarded, possibly more than once.
#[derive(Debug)]
struct Call {
    guard: CallGuard,
    started: Time,
    conn: Arc<ConnectionState>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    id: HeaderValue,
    depth: u8,
    body: RequestBody,
}

/// A call whose body has not been read yet.
#[derive(Debug)]
struct NewCall {
    guard: CallGuard,
    started: Time,
    conn: Arc<ConnectionState>,
    id: HeaderValue,
    depth: u8,
}

/// A response that is being sent to the caller.
#[derive(Debug)]
pub struct ActiveResponse {
    guard: CallGuard,
    lease: Lease,
    conn: Arc<ConnectionState>,
}

/// A call that is open in the state machine. Closed on drop, including when the caller disconnects.
#[derive(Debug)]
struct CallGuard {
    adapter: Arc<EntryAdapter>,
    shard: usize,
    call: CallKey,
}

impl EntryAdapter {
    /// Creates an adapter with one shard per thread.
    pub fn new(shared: Arc<Shared>, executor: &Arc<Executor<'static>>, seed: u64) -> EntryAdapter {
        let place = shared.settings.place();
        let policy = shared.settings.scheduling.policy();
        let threads = shared.settings.limits.threads;
        let shard = |index: usize| {
            let entry = Entry::new(place.clone(), seed.wrapping_add(index as u64));
            Shard {
                entry: Mutex::new(entry.with_policy(policy.clone()).with_shards(threads)),
                pool: Pool::new(&shared, executor.clone()),
            }
        };
        let shards = (0..threads).map(shard).collect();
        let id_prefix = format!("{}-{:x}", shared.settings.vm, shared.clock.now().0);
        EntryAdapter { shards, next_call: AtomicU64::new(1), id_prefix, shared }
    }

    pub fn shards(&self) -> usize {
        self.shards.len()
    }

    /// Applies a version that came into force.
    pub fn configure(&self, snapshot: &Arc<Snapshot>) {
        self.broadcast(|| Input::Configure(snapshot.clone()));
    }

    /// Applies a change of VM states.
    pub fn set_members(&self, members: &Arc<Members>) {
        self.broadcast(|| Input::View(members.clone()));
    }

    /// Applies the times of the graceful shutdown.
    pub fn stop(&self, plan: StopPlan) {
        self.broadcast(|| Input::Stop(plan));
    }

    /// Closes connections that exceeded their idle timeout.
    pub fn sweep(&self) {
        for shard in &self.shards {
            shard.pool.sweep();
        }
    }

    fn broadcast<'a>(&self, input: impl Fn() -> Input<'a>) {
        for shard in &self.shards {
            let mut out = Vec::new();
            shard.entry.lock().handle(self.shared.clock.now(), input(), &mut out);
        }
    }

    /// Records what a target states in all shards, so that the node acts on it as a whole.
    fn record_statement<B>(
        &self,
        id: &HeaderValue,
        forward: &Forward,
        response: &Response<B>,
        connection: &Connection,
    ) {
        let statement = headers::node_statement(response.headers());
        if statement.is_empty() && forward.estimate.known_limit.is_none() {
            return;
        }
        let outcome = headers::reported_outcome(response, id, connection.is_first_response());
        if outcome == ReportedOutcome::Foreign {
            return;
        }
        let answered = outcome == ReportedOutcome::Answered;
        let (vm, process) = (&forward.vm, &forward.process);
        self.broadcast(|| Input::Stated { vm, process, answered, statement });
    }

    /// Passes an input for a single call to the state machine and returns its output.
    fn decide(&self, shard: usize, input: Input<'_>) -> Option<Output> {
        let now = self.shared.clock.now();
        let mut out = Vec::with_capacity(1);
        self.shards[shard].entry.lock().handle(now, input, &mut out);
        out.pop()
    }

    /// Serves a request from a caller.
    pub async fn serve(
        self: Arc<EntryAdapter>,
        shard: usize,
        conn: Arc<ConnectionState>,
        req: Request<Incoming>,
    ) -> Response<Body> {
        conn.begin_request(self.shared.track_call());
        let started = self.shared.clock.now();
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let read = self.read_head(&conn, &req);
        let id = self.request_id(number, read.as_ref().ok());
        let head = match read {
            Ok(head) => head,
            Err(code) => return self.reject(&conn, &id, Unsent::drop_request(req), code),
        };
        if !self.shared.accepts_calls() || !conn.is_local() && self.shared.is_notice_over() {
            return self.reject(&conn, &id, Unsent::drop_request(req), Code::Draining);
        }
        let call = CallKey(number);
        let host = headers::host(&req);
        let arrival = Arrival {
            call,
            host: &host,
            path: req.uri().path(),
            key: head.key,
            timeout: head.time_left,
            depth: head.depth,
            body_bytes: head.body_bytes,
            own_runs: self.shared.own_runs(),
        };
        match self.decide(shard, Input::Arrive(arrival)) {
            Some(Output::Forward(forward)) => {
                self.shared.limit_connection(&conn, forward.deadline);
                let guard = CallGuard { adapter: self.clone(), shard, call };
                let new = NewCall { guard, started, conn, id, depth: head.depth };
                self.start_forwarding(new, req, forward).await
            }
            Some(Output::Finish { outcome, .. }) => self.end(&conn, &id, outcome, None),
            None => self.reject(&conn, &id, Unsent::drop_request(req), Code::NoTarget),
        }
    }

    /// Parses the request head. An HTTP/1.1 request without a `host` header is malformed.
    fn read_head(&self, conn: &ConnectionState, req: &Request<Incoming>) -> Result<CallHead, Code> {
        let without_host = req.version() == Version::HTTP_11 && !req.headers().contains_key(HOST);
        if conn.has_ambiguous_length() || without_host {
            return Err(Code::RequestInvalid);
        }
        CallHead::read(req, &self.shared.dialect)
    }

    async fn start_forwarding(
        &self,
        new: NewCall,
        req: Request<Incoming>,
        forward: Forward,
    ) -> Response<Body> {
        let NewCall { guard, started, conn, id, depth } = new;
        let (head, incoming) = req.into_parts();
        let body = match self.buffer_body(incoming, &forward).await {
            Ok(body) => body,
            Err(code) => {
                let unsent = Unsent::drop_request(Request::from_parts(head, ()));
                return self.reject(&conn, &id, unsent, code);
            }
        };
        let mut headers = head.headers;
        headers::strip_hop_by_hop(&mut headers);
        let uri = origin_form(head.uri);
        let depth = depth.saturating_add(1);
        let method = head.method;
        let call = Call { guard, started, conn, method, uri, headers, id, depth, body };
        self.forward(call, forward).await
    }

    /// Forwards a request until it receives a response or the state machine ends the call.
    async fn forward(&self, mut call: Call, mut forward: Forward) -> Response<Body> {
        loop {
            let attempt = self.attempt(&mut call, &mut forward).await;
            let (key, replayable) = (call.guard.call, call.body.is_replayable());
            let input = match attempt {
                AttemptResult::Response(response, connection) => {
                    let end = classify_response(&response);
                    let input = Input::Attempt { call: key, end, replayable };
                    match self.decide(call.guard.shard, input) {
                        Some(Output::Forward(next)) => forward = next,
                        _ if self.shared.dialect.is_promise(response.status()) => {
                            return self.replace_unconfirmed(&call, &forward, response, connection);
                        }
                        _ => {
                            let elapsed = self.shared.clock.now().since(call.started);
                            let times = &self.shared.metrics.call_seconds;
                            Metrics::observe_duration(times, forward.terms.class, elapsed);
                            return self.forward_response(call, response, connection);
                        }
                    }
                    continue;
                }
                AttemptResult::Ended(AttemptEnd::ConnectionLost) => {
                    let (shard, id) = (call.guard.shard, &call.id);
                    let end = self.end_of_lost_attempt(shard, id, &forward).await;
                    Input::Attempt { call: key, end, replayable }
                }
                AttemptResult::Ended(end) => Input::Attempt { call: key, end, replayable },
                AttemptResult::DeadlinePassed { sent } => Input::Expire { call: key, sent },
            };
            let failure = Failure::of_input(&input);
            self.record_failed_attempt(&call.id, &forward, failure);
            let expired = matches!(input, Input::Expire { .. });
            match self.decide(call.guard.shard, input) {
                Some(Output::Forward(next)) => forward = next,
                Some(Output::Finish { outcome, .. }) => {
                    // The gatekeeper of this VM leaves the count of local calls to the entry node.
                    let own = expired || forward.vm == self.shared.settings.vm;
                    if own && outcome == (Outcome::Unknown { code: Code::DrainCutCalls }) {
                        self.shared.count_cut_call();
                    }
                    let last = LastAttempt { number: forward.attempt, failure };
                    return self.end(&call.conn, &call.id, outcome, Some(last));
                }
                None => {
                    let outcome = Outcome::Unknown { code: Code::AnswerLost };
                    let last = LastAttempt { number: forward.attempt, failure };
                    return self.end(&call.conn, &call.id, outcome, Some(last));
                }
            }
        }
    }

    /// Builds the request to the gatekeeper. Returns `None` if the body is already consumed.
    fn request(&self, call: &mut Call, forward: &Forward) -> Option<Request<Body>> {
        let mut req = Request::new(call.body.take()?);
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        let headers = req.headers_mut();
        *headers = call.headers.clone();
        // A caller's request must not be taken for a recall.
        headers.remove(headers::RECALL);
        headers.remove(headers::TARGET_TIME);
        let now = self.shared.clock.now();
        let remaining = |until: Time| HeaderValue::from(until.since(now).as_millis().max(1) as u64);
        self.write_party_headers(headers, forward);
        headers.insert(headers::DEADLINE, remaining(forward.deadline));
        let run_by = self.shared.run_by(forward.deadline);
        if run_by < forward.deadline {
            headers.insert(headers::TARGET_TIME, remaining(run_by));
        }
        if let Some(terms) = headers::write_terms(&forward.terms, now) {
            headers.insert(headers::TERMS, terms);
        }
        headers.insert(headers::REQUEST_ID, call.id.clone());
        headers.insert(headers::ATTEMPT, HeaderValue::from(forward.attempt));
        headers.insert(headers::DEPTH, HeaderValue::from(u16::from(call.depth)));
        headers.insert(headers::CRASHES, HeaderValue::from(forward.crashes));
        headers::write_statements(headers, forward.estimate.known_limit, false);
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_static("sycamore"));
        }
        Some(req)
    }

    /// Sets the headers for the calling service and the target's incarnation. Values sent by the
    /// caller are discarded.
    fn write_party_headers(&self, headers: &mut HeaderMap, forward: &Forward) {
        let dialect = &self.shared.dialect;
        headers.remove(&dialect.deadline);
        let incarnation = forward.process.incarnation.as_ref();
        let settings = self.shared.current_settings();
        let parties =
            [(&dialect.caller, settings.service.as_ref()), (&dialect.incarnation, incarnation)];
        for (header, name) in parties {
            let Some(header) = header else { continue };
            headers.remove(header);
            // A name is printable ASCII, so the conversion succeeds.
            let value = name.and_then(|name| HeaderValue::from_bytes(name.as_bytes()).ok());
            if let Some(value) = value {
                headers.insert(header.clone(), value);
            }
        }
    }

    /// Buffers a small body; a larger one is streamed.
    async fn buffer_body(
        &self,
        incoming: Incoming,
        forward: &Forward,
    ) -> Result<RequestBody, Code> {
        if incoming.is_end_stream() {
            return Ok(RequestBody::Buffered(bytes::Bytes::new()));
        }
        let idle_timeout = Duration::from_millis(self.shared.settings.limits.idle_body_timeout_ms);
        let declared_bytes = incoming.size_hint().upper();
        let small = declared_bytes.is_some_and(|bytes| bytes <= MAX_BUFFERED_BODY_BYTES);
        // Keyed requests are always buffered, because a key must identify one body.
        if !forward.terms.is_keyed() && !small {
            let body = Body::stream(incoming, forward.max_body_bytes, idle_timeout);
            return Ok(RequestBody::Stream(Some(Box::new(body))));
        }
        let max_bytes = forward.max_body_bytes.min(MAX_BUFFERED_BODY_BYTES);
        let read = body::collect(incoming, max_bytes, idle_timeout);
        let read = self.shared.with_deadline(forward.deadline, read).await;
        let expired = || Err(self.shared.expiry_code(forward.deadline, Code::Draining));
        read.unwrap_or_else(expired).map(RequestBody::Buffered)
    }

    fn forward_response(
        &self,
        call: Call,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Response<Body> {
        let (mut head, incoming) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        head.headers.remove(headers::LOAD);
        head.headers.remove(headers::WAITED);
        head.headers.remove(headers::CRASHES);
        if !self.shared.dialect.is_native() {
            head.headers.remove(headers::OUTCOME);
            head.headers.remove(headers::RATE_LIMIT);
            head.headers.remove(headers::LEAVING);
            head.headers.remove(headers::REQUEST_ID);
        }
        if self.shared.draining() {
            head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let fields = Fields { status: Some(head.status.as_u16()), ..Fields::default() };
        trace::log_step(&self.shared, &call.id, Step::Answered, fields);
        call.conn.set_phase(Phase::Response);
        let response_end = connection.response_end();
        let lease = Lease::new(connection);
        let reader = call.conn.clone();
        let active = ActiveResponse { guard: call.guard, lease, conn: call.conn };
        let idle_timeout = Duration::from_millis(self.shared.settings.limits.idle_body_timeout_ms);
        let body = Body::stream(incoming, u64::MAX, idle_timeout)
            .with_response_end(response_end)
            .with_reader(reader)
            .with_guard(Guard::Entry(active));
        Response::from_parts(head, body)
    }

    /// Returns the request id sent by the caller, or generates one.
    fn request_id(&self, number: u64, head: Option<&CallHead>) -> HeaderValue {
        let given = head.and_then(|head| head.request_id.clone());
        given.unwrap_or_else(|| {
            let text = format!("{}-{number:x}", self.id_prefix);
            HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from(number))
        })
    }
}

impl ActiveResponse {
    /// Ends the response; `complete` is false if the body was truncated.
    pub fn finish(mut self, complete: bool) {
        self.lease.finish(complete);
        let outcome =
            if complete { Outcome::Answered } else { Outcome::Unknown { code: Code::AnswerLost } };
        self.guard.adapter.count_outcome(outcome);
        self.conn.set_phase(Phase::Flush);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.adapter.decide(self.shard, Input::Close(self.call));
    }
}

/// Converts to origin form: path and query only.
fn origin_form(uri: Uri) -> Uri {
    if uri.authority().is_none() {
        return uri;
    }
    uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()))
}
