//! Requests to the local target and its responses.

use super::connect::ConnectResult;
use super::slot::{ActiveResponse, RunningSlot, Slot};
use super::{Decision, GateAdapter};
use crate::calls::body::{self, Body, Guard, Lease};
use crate::calls::conn_state::{ConnectionState, Phase};
use crate::calls::headers;
use crate::calls::pacer::Pacer;
use crate::calls::pool::{Connection, ConnectionUse, IdleTerms, SendError};
use crate::calls::trace::{self, Fields, Step};
use crate::calls::unsent::{RETRY_AFTER_SHORT, Unsent};
use crate::metrics::Metrics;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use sycamore_core::call::gatekeeper::{Input, RunEnd};
use sycamore_core::call::once::CachedResponse;
use sycamore_core::call::{CallKey, Outcome, StatedLimit};
use sycamore_core::config::Class;
use sycamore_core::{Code, Time};

/// Maximum size of the response to a request that may run only once. The response is buffered so
/// that it can be replayed.
const MAX_CACHED_BODY_BYTES: u64 = 1_048_576;

/// Size up to which a response is received whole before its head is forwarded.
const MAX_READ_AHEAD_BYTES: u64 = 16_384;

/// Maximum time between the count of a request's start and its sending. A process that was not running
/// counts it anew, since the limits on starts hold for when requests are sent.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);

/// Maximum idle time of a connection used for a request that may run only once. Targets
/// usually close idle connections after seconds, so such a connection is still open.
const MAX_IDLE_BEFORE_SINGLE_RUN: Duration = Duration::from_millis(500);

/// A request to the target.
#[derive(Debug)]
pub struct Call {
    pub key: CallKey,
    pub id: HeaderValue,
    /// Number of the attempt, if the entry node has sent one.
    pub attempt: Option<u32>,
    /// When the entry node stops waiting.
    pub deadline: Time,
    /// Until when the target may work on it.
    pub run_by: Time,
    /// Class of its route.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time spent waiting for a slot.
    pub waited: Duration,
    /// When its start was counted.
    pub counted_at: Time,
    pub req: Request<Body>,
}

impl Call {
    /// Maximum idle time of the connection used for this request.
    ///
    /// A request on an idle connection that the target has closed is reset and may have run, so a
    /// request that may run only once needs a recently used connection.
    fn max_idle(&self) -> Duration {
        match self.idempotent {
            true => Duration::MAX,
            false => MAX_IDLE_BEFORE_SINGLE_RUN,
        }
    }
}

/// Head of a target's response; the body follows.
#[derive(Debug)]
struct TargetResponse {
    response: Response<Incoming>,
    connection: Connection,
    running: RunningSlot,
}

/// A target's response that can be forwarded.
#[derive(Debug)]
struct StartedResponse {
    running: RunningSlot,
    body: Body,
    connection: Connection,
    head: Parts,
}

/// A request without a response.
#[derive(Debug)]
pub(super) struct NoResponse {
    pub(super) outcome: Outcome,
    pub(super) crashes: u32,
    // The connection to the target that it was handed to.
    pub(super) connection: Option<ConnectionUse>,
}

impl NoResponse {
    /// A request that its sender has given up without sending it.
    pub(super) fn unsent(unsent: Unsent, code: Code) -> NoResponse {
        NoResponse::new(unsent.rejection(code), 0)
    }

    /// The same, with the decision of the state machine if it has rejected the request.
    fn rejected(decision: Option<Decision>, unsent: Unsent, code: Code) -> NoResponse {
        match decision {
            Some(Decision::Reject(outcome, crashes)) => NoResponse::new(outcome, crashes),
            _ => NoResponse::unsent(unsent, code),
        }
    }

    pub(super) fn new(outcome: Outcome, crashes: u32) -> NoResponse {
        NoResponse { outcome, crashes, connection: None }
    }

    fn unknown(code: Code) -> NoResponse {
        NoResponse::new(Outcome::Unknown { code }, 0)
    }

    fn with_connection(self, connection: ConnectionUse) -> NoResponse {
        NoResponse { connection: Some(connection), ..self }
    }
}

impl GateAdapter {
    /// Runs a request and streams its response.
    pub async fn run(
        self: &Arc<GateAdapter>,
        conn: &Arc<ConnectionState>,
        call: Call,
    ) -> Response<Body> {
        let (id, attempt) = (call.id.clone(), call.attempt);
        let (key, waited) = (call.key, call.waited);
        let started = match self.start_response(conn, call).await {
            Ok(started) => started,
            Err(no_response) => return self.reject(conn, &id, attempt, no_response),
        };
        let StartedResponse { mut head, mut body, connection, running } = started;
        self.set_response_headers(&mut head.headers, &id);
        let waited = HeaderValue::from(waited.as_millis() as u64);
        head.headers.insert(headers::WAITED, waited);
        conn.set_phase(Phase::Response);
        let active = ActiveResponse::new(running, Lease::new(connection), conn.clone());
        body = body.with_guard(Guard::Gate(active));
        // Traffic on the same VM does not use the link.
        if !conn.is_local() {
            body = body.with_pacer(Pacer::new(self.clone(), key));
        }
        Response::from_parts(head, body)
    }

    /// Sends a request and waits for its response: for the whole body if it is small, so that a
    /// response that breaks off can be repeated elsewhere.
    async fn start_response(
        self: &Arc<GateAdapter>,
        conn: &Arc<ConnectionState>,
        call: Call,
    ) -> Result<StartedResponse, NoResponse> {
        let (deadline, run_by) = (call.deadline, call.run_by);
        let TargetResponse { response, connection, running } = self.send(call).await?;
        let (head, incoming) = response.into_parts();
        let body = Body::stream(incoming, u64::MAX, self.idle_body_timeout())
            .with_response_end(connection.response_end())
            .with_reader(conn.clone());
        // Dropped in this order if the wait is cancelled: the slot is attached to the connection
        // before the connection closes.
        let mut started = StartedResponse { running, body, connection, head };
        let read_ahead = started.body.read_ahead(MAX_READ_AHEAD_BYTES);
        match self.shared.with_deadline(deadline, read_ahead).await {
            Some(Ok(())) => Ok(started),
            Some(Err(error)) if error.kind() == io::ErrorKind::TimedOut => {
                Err(NoResponse::unknown(Code::AnswerLost))
            }
            Some(Err(_)) => Err(self.report_broken_response(started.running).await),
            None => Err(self.without_response(deadline, run_by)),
        }
    }

    /// Runs a request that may run only once, to completion even if the caller disconnects: the
    /// caller may repeat it with the same key through another node.
    pub async fn run_once(
        self: &Arc<GateAdapter>,
        conn: &Arc<ConnectionState>,
        call: Call,
    ) -> Response<Body> {
        let (tx, rx) = async_channel::bounded(1);
        let (id, attempt) = (call.id.clone(), call.attempt);
        let adapter = self.clone();
        let open_call = self.shared.track_call();
        let task = async move {
            // Fails if the caller has disconnected.
            let _ = tx.try_send(adapter.execute_once(call).await);
            drop(open_call);
        };
        self.executor.spawn(task).detach();
        match rx.recv().await.unwrap_or(Err(NoResponse::unknown(Code::AnswerLost))) {
            Ok(cached) => self.replay(conn, &id, &cached),
            Err(no_response) => self.reject(conn, &id, attempt, no_response),
        }
    }

    async fn execute_once(
        self: &Arc<GateAdapter>,
        call: Call,
    ) -> Result<Arc<CachedResponse>, NoResponse> {
        let (deadline, run_by) = (call.deadline, call.run_by);
        let TargetResponse { response, connection, mut running } = self.send(call).await?;
        let (mut head, incoming) = response.into_parts();
        let collect = body::collect(incoming, MAX_CACHED_BODY_BYTES, self.idle_body_timeout());
        match self.shared.with_deadline(deadline, collect).await {
            Some(Ok(_)) if connection.response_end().has_rest() => {
                Err(self.report_broken_response(running).await)
            }
            Some(Ok(buf)) => {
                headers::strip_hop_by_hop(&mut head.headers);
                let cached = Arc::new(cached_response(head.status, &head.headers, buf));
                connection.release();
                if let Some(slot) = running.take() {
                    slot.end(RunEnd::Answered { cached: Some(cached.clone()) });
                }
                Ok(cached)
            }
            Some(Err(Code::CallerGone)) => Err(self.report_broken_response(running).await),
            Some(Err(_)) => Err(NoResponse::unknown(Code::AnswerLost)),
            None => Err(self.without_response(deadline, run_by)),
        }
    }

    /// The end of a request that the target may have run. If the target had less time than its
    /// caller, the entry node stops.
    fn without_response(&self, deadline: Time, run_by: Time) -> NoResponse {
        NoResponse::unknown(match run_by < deadline {
            true => Code::DrainCutCalls,
            false => self.shared.expiry_code(deadline, Code::DrainCutCalls),
        })
    }

    /// Sends a request to the target and waits for the head of the response.
    async fn send(self: &Arc<GateAdapter>, call: Call) -> Result<TargetResponse, NoResponse> {
        let mut slot = Slot::new(self, call.key);
        let max_idle = call.max_idle();
        let mut counted_at = call.counted_at;
        let mut req = call.req;
        let Some(address) = self.shared.settings.target_address else {
            return Err(report_not_sent(slot, Unsent::drop_request(req)));
        };
        self.set_request_headers(req.headers_mut(), &call.id);
        loop {
            let terms = IdleTerms { address, max_idle, request_id: Some(&call.id) };
            let (mut connection, reused) = match self.pool.take_idle(terms).await {
                Some(connection) => (connection, true),
                None => match self.connect(terms, &call.id, &slot).await {
                    ConnectResult::Connected { connection, reused, counted_at: at } => {
                        counted_at = at;
                        (connection, reused)
                    }
                    ConnectResult::Failed => {
                        return Err(report_not_sent(slot, Unsent::drop_request(req)));
                    }
                    ConnectResult::NotStarted(decision) => {
                        slot.disarm();
                        let unsent = Unsent::drop_request(req);
                        return Err(NoResponse::rejected(decision, unsent, Code::QueueTimeout));
                    }
                },
            };
            if self.shared.clock.now().since(counted_at) > MAX_SEND_DELAY {
                match self.decide(call.key, Input::Connected(call.key)) {
                    Some(Decision::Run { counted_at: at, .. }) => counted_at = at,
                    rejected => {
                        connection.release();
                        slot.disarm();
                        let unsent = Unsent::drop_request(req);
                        return Err(NoResponse::rejected(rejected, unsent, Code::QueueTimeout));
                    }
                }
            }
            let run_by = self.shared.run_by(call.run_by);
            if self.shared.clock.now() >= run_by {
                connection.release();
                let code =
                    if call.deadline <= run_by { Code::DeadlinePassed } else { Code::Draining };
                return Err(report_too_late(slot, Unsent::drop_request(req), code));
            }
            self.set_deadline(req.headers_mut(), run_by);
            let deferred_slot = connection.deferred_slot();
            let sent = AtomicBool::new(false);
            let sent_at = self.shared.clock.now();
            let used = connection.next_use();
            connection.record_request(&call.id);
            self.trace_sent(&call.id, call.attempt, used);
            // Dropped after `running`, so that the slot is attached before the connection closes
            // when this wait is cancelled.
            let mut send = pin!(connection.send(req, &sent));
            let mut running = RunningSlot::new(slot, deferred_slot);
            self.shared.metrics.target_requests.inc();
            match self.shared.with_deadline(call.deadline, send.as_mut()).await {
                None => {
                    drop(running);
                    let no_response = self.without_response(call.deadline, call.run_by);
                    return Err(no_response.with_connection(used));
                }
                Some(Ok((response, connection))) if self.is_own_response(&response, &call.id) => {
                    let elapsed = self.shared.clock.now().since(sent_at);
                    Metrics::observe_duration(
                        &self.shared.metrics.run_seconds,
                        call.class,
                        elapsed,
                    );
                    let rejected = self.rejection_code(&response);
                    if rejected != Some(Code::TargetReplaced) {
                        self.record_statement(call.key, rejected.is_none(), response.headers());
                    }
                    return match rejected {
                        None => Ok(TargetResponse { response, connection, running }),
                        Some(code) => Err(report_rejection(running, response, connection, code)
                            .with_connection(used)),
                    };
                }
                Some(Ok(_)) => {
                    self.shared.metrics.foreign_responses.inc();
                    let no_response = self.report_broken_response(running).await;
                    return Err(no_response.with_connection(used));
                }
                Some(Err(SendError::Broken { response_begun })) => {
                    let no_response = self.report_broken(running, response_begun).await;
                    return Err(no_response.with_connection(used));
                }
                Some(Err(SendError::NotSent(unsent))) => {
                    let Some(reclaimed) = running.take() else {
                        return Err(NoResponse::unknown(Code::TargetFailed));
                    };
                    // A new connection that cannot take a request counts as a failed connection.
                    if !reused {
                        return Err(report_not_sent(reclaimed, Unsent::drop_request(*unsent)));
                    }
                    slot = reclaimed;
                    req = *unsent;
                }
            }
        }
    }

    /// Reports what the target states about itself in a response.
    fn record_statement(&self, call: CallKey, ran: bool, headers: &HeaderMap) {
        self.unknown_headers.record(headers, &self.shared.dialect, &self.shared.metrics);
        let statement = headers::statement(headers, &self.shared.dialect);
        if statement.limit == StatedLimit::Unreadable {
            self.shared.metrics.unreadable_headers.inc();
        }
        if !statement.is_empty() || self.has_statements.load(Ordering::Acquire) {
            self.handle_input(Input::Stated { call, ran, statement });
        }
    }

    /// Logs that a request is handed to a connection to the target.
    fn trace_sent(&self, id: &HeaderValue, attempt: Option<u32>, used: ConnectionUse) {
        let fields = Fields::default().with_attempt(attempt).with_connection(Some(used));
        let fields = self.state_fields(fields);
        if fields.cold_starts.is_some() {
            self.shared.metrics.cold_starts.inc();
        }
        trace::log_step(&self.shared, id, Step::GateSent, fields);
    }

    /// Reports a request to which the target has sent a response that can't be used.
    async fn report_broken_response(&self, running: RunningSlot) -> NoResponse {
        self.report_broken(running, true).await
    }

    /// Reports a request without a valid response, of which a byte may have been sent;
    /// `response_begun` if part of a response was received.
    async fn report_broken(&self, mut running: RunningSlot, response_begun: bool) -> NoResponse {
        let end = match self.target_gone().await {
            false if response_begun => RunEnd::BrokenResponse,
            target_gone => RunEnd::Broken { target_gone },
        };
        let decision = running.take().and_then(|slot| slot.end(end));
        match decision {
            Some(Decision::Reject(outcome, crashes)) => NoResponse::new(outcome, crashes),
            _ => NoResponse::unknown(Code::TargetFailed),
        }
    }

    /// Sets the headers of the request to the target.
    fn set_request_headers(&self, headers: &mut HeaderMap, id: &HeaderValue) {
        let dialect = &self.shared.dialect;
        headers::strip_hop_by_hop(headers);
        headers.remove(headers::CRASHES);
        headers.remove(headers::TARGET_TIME);
        headers.remove(headers::TERMS);
        headers.remove(headers::RATE_LIMIT);
        if !dialect.is_native() {
            for name in &headers::INTERNAL {
                headers.remove(name);
            }
        }
        headers.insert(dialect.request_id.clone(), id.clone());
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_static("target"));
        }
    }

    /// Sets the time that the target has left.
    fn set_deadline(&self, headers: &mut HeaderMap, deadline: Time) {
        let remaining_ms = deadline.since(self.shared.clock.now()).as_millis() as u64;
        headers.insert(self.shared.dialect.deadline.clone(), remaining_ms.max(1).into());
    }

    /// Whether the response is the target's to this request: according to its request id and, if it is
    /// a success, by its signature.
    fn is_own_response(&self, response: &Response<Incoming>, id: &HeaderValue) -> bool {
        let dialect = &self.shared.dialect;
        let response_id = response.headers().get(&dialect.request_id);
        let matches_id = match response_id {
            Some(other) => other == id,
            None => dialect.is_native(),
        };
        let lacks = |name: &HeaderName| !response.headers().contains_key(name);
        let unsigned =
            response.status().is_success() && dialect.signature.as_ref().is_some_and(lacks);
        matches_id && !unsigned
    }

    /// The code if the target reports that it did not run the request.
    fn rejection_code(&self, response: &Response<Incoming>) -> Option<Code> {
        let marker = self.shared.dialect.not_run.as_ref()?;
        response.headers().get(marker)?;
        Some(match response.status() {
            StatusCode::MISDIRECTED_REQUEST => Code::TargetReplaced,
            _ => Code::TargetRefused,
        })
    }
}

/// Reports a response by which the target rejected the request without running it.
fn report_rejection(
    mut running: RunningSlot,
    response: Response<Incoming>,
    connection: Connection,
    code: Code,
) -> NoResponse {
    let decision = running.take().and_then(|slot| slot.end(RunEnd::Rejected(code)));
    if response.body().is_end_stream() {
        connection.release();
    }
    match decision {
        Some(Decision::Reject(outcome, crashes)) => NoResponse::new(outcome, crashes),
        // The target's word holds, whatever has become of the call's state.
        _ => NoResponse::new(Outcome::not_run(code, RETRY_AFTER_SHORT), 0),
    }
}

/// Reports a request of which no byte was sent because its target has no time left: that of its
/// caller has passed, or a node on its way stops.
fn report_too_late(slot: Slot, unsent: Unsent, code: Code) -> NoResponse {
    NoResponse::rejected(slot.end(RunEnd::Rejected(code)), unsent, code)
}

/// Reports a request of which no byte was sent.
fn report_not_sent(slot: Slot, unsent: Unsent) -> NoResponse {
    NoResponse::rejected(slot.end(RunEnd::NotSent), unsent, Code::TargetUnreachable)
}

fn cached_response(status: StatusCode, headers: &HeaderMap, body: bytes::Bytes) -> CachedResponse {
    let forwarded = headers.iter().filter(|(name, _)| **name != CONTENT_LENGTH);
    let copy = |bytes: &[u8]| bytes::Bytes::copy_from_slice(bytes);
    let headers = forwarded
        .map(|(name, value)| (copy(name.as_str().as_bytes()), copy(value.as_bytes())))
        .collect();
    CachedResponse { status: status.as_u16(), headers, body }
}
