//! What goes to the local target and what comes back.

use super::slot::{Answer, Running, Slot};
use super::{Decision, GateSide, refusal};
use crate::calls::body::{self, Body, Guard, Lease};
use crate::calls::headers;
use crate::calls::pace::Pace;
use crate::calls::pool::{Connection, SendError};
use crate::calls::watch::{Phase, Watch};
use crate::metrics::Metrics;
use futures_lite::future;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use sycamore_core::call::gatekeeper::End;
use sycamore_core::call::once::CachedResponse;
use sycamore_core::call::{CallKey, Outcome};
use sycamore_core::config::Class;
use sycamore_core::{Code, Time};

/// Largest answer to a request that runs only once; it is read whole before it goes out, so that
/// it can be given again.
const MAX_KEPT_BODY_BYTES: u64 = 1_048_576;

/// How long a broken target is given to show that it still takes connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time for which a connection may have been unused that a request goes out on which may
/// run only once. Opening one takes about a millisecond; targets close idle ones after seconds.
const FRESH: Duration = Duration::from_millis(500);

/// How often a free connection to the target is looked for when all it takes are in use.
const CONNECTION_POLL: Duration = Duration::from_millis(2);

/// A request as the target will get it.
#[derive(Debug)]
pub struct Call {
    /// The call.
    pub key: CallKey,
    /// Request id.
    pub id: HeaderValue,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Class of its route.
    pub class: Class,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// How long it has waited for a slot.
    pub waited: Duration,
    /// The request.
    pub req: Request<Body>,
}

impl Call {
    /// For how long a connection may have been unused that the request goes out on.
    ///
    /// A request sent on an idle connection that the target has dropped is reset, and may have run,
    /// so one that may run only once needs a fresh connection.
    fn freshness(&self) -> Duration {
        match self.idempotent {
            true => Duration::MAX,
            false => FRESH,
        }
    }
}

/// An answer of the target, its body still to come.
#[derive(Debug)]
struct Answering {
    response: Response<Incoming>,
    connection: Connection,
    running: Running,
}

/// A request that got no answer.
#[derive(Debug)]
struct Ended {
    outcome: Outcome,
    crashes: u32,
}

impl Ended {
    fn unknown(code: Code) -> Ended {
        Ended { outcome: Outcome::Unknown { code }, crashes: 0 }
    }
}

impl GateSide {
    /// Runs a request whose answer is passed on as it comes.
    pub async fn run(self: &Arc<GateSide>, watch: &Arc<Watch>, call: Call) -> Response<Body> {
        let (id, key, waited) = (call.id.clone(), call.key, call.waited);
        let answering = match self.send(call).await {
            Ok(answering) => answering,
            Err(ended) => return self.refuse(watch, &id, ended.outcome, ended.crashes),
        };
        let (mut head, incoming) = answering.response.into_parts();
        self.finish_head(&mut head.headers, &id, self.load());
        let waited = HeaderValue::from(waited.as_millis() as u64);
        head.headers.insert(headers::WAITED, waited);
        watch.set_phase(Phase::Answer);
        let lease = Lease::new(answering.connection);
        let answer = Answer::new(answering.running, lease, watch.clone());
        let mut body = Body::relay(incoming, u64::MAX, self.idle()).with_guard(Guard::Gate(answer));
        // An answer to a caller on this VM does not use the link.
        if !watch.is_local() {
            body = body.with_pace(Pace::new(self.clone(), key));
        }
        Response::from_parts(head, body)
    }

    /// Runs a request that may run only once, to its end even if its caller goes away: the caller
    /// may ask again with the same key, through another node.
    pub async fn run_once(self: &Arc<GateSide>, watch: &Arc<Watch>, call: Call) -> Response<Body> {
        let (tx, rx) = async_channel::bounded(1);
        let id = call.id.clone();
        let side = self.clone();
        let open = self.shared.track_call();
        let task = async move {
            // The caller may be gone, which is no concern of the run.
            let _ = tx.try_send(side.answer_once(call).await);
            drop(open);
        };
        self.executor.spawn(task).detach();
        match rx.recv().await.unwrap_or(Err(Ended::unknown(Code::AnswerLost))) {
            Ok(answer) => self.replay(watch, &id, &answer, &self.load()),
            Err(ended) => self.refuse(watch, &id, ended.outcome, ended.crashes),
        }
    }

    async fn answer_once(self: &Arc<GateSide>, call: Call) -> Result<Arc<CachedResponse>, Ended> {
        let deadline = call.deadline;
        let Answering { response, connection, mut running } = self.send(call).await?;
        let (mut head, incoming) = response.into_parts();
        let collect = body::collect(incoming, MAX_KEPT_BODY_BYTES, self.idle());
        match self.before(deadline, collect).await {
            Some(Ok(buf)) => {
                headers::strip(&mut head.headers);
                let kept = Arc::new(keep(head.status, &head.headers, buf));
                connection.give_back();
                if let Some(slot) = running.take() {
                    slot.end(End::Answered { cached: Some(kept.clone()) });
                }
                Ok(kept)
            }
            Some(Err(Code::CallerGone)) => Err(self.broken(running).await),
            Some(Err(_)) => Err(Ended::unknown(Code::AnswerLost)),
            None => Err(Ended::unknown(Code::DeadlinePassed)),
        }
    }

    /// Sends a request to the target and waits for the head of its answer.
    async fn send(self: &Arc<GateSide>, call: Call) -> Result<Answering, Ended> {
        let mut slot = Slot::new(self, call.key);
        let Some(address) = self.shared.settings.target_address else {
            return Err(not_sent(slot));
        };
        let freshness = call.freshness();
        let mut req = call.req;
        self.finish_request(req.headers_mut(), &call.id, call.deadline);
        loop {
            let taken = self.pool.take(address, freshness).await;
            let used = taken.is_some();
            let connection = match taken {
                Some(connection) => Some(connection),
                None => self.connect(address, call.deadline).await,
            };
            let Some(connection) = connection else {
                return Err(not_sent(slot));
            };
            let linger = connection.linger();
            let sent = AtomicBool::new(false);
            let began = self.shared.clock.now();
            // Dropped after `running`, so that a connection that closes because this wait is
            // given up already holds the slot.
            let mut send = pin!(connection.send(req, &sent));
            let mut running = Running::new(slot, linger);
            match self.before(call.deadline, send.as_mut()).await {
                None => {
                    drop(running);
                    return Err(Ended::unknown(Code::DeadlinePassed));
                }
                Some(Ok((response, connection))) if self.is_own(&response, &call.id) => {
                    let took = self.shared.clock.now().since(began);
                    Metrics::observe_duration(&self.shared.metrics.run_seconds, call.class, took);
                    return match self.rejected(&response) {
                        None => Ok(Answering { response, connection, running }),
                        Some(code) => Err(rejected(running, response, connection, code)),
                    };
                }
                Some(Ok(_) | Err(SendError::Broken)) => return Err(self.broken(running).await),
                Some(Err(SendError::NotSent(unsent))) => {
                    let Some(kept) = running.take() else {
                        return Err(Ended::unknown(Code::TargetFailed));
                    };
                    // A new connection that can't take a request is as good as none.
                    if !used {
                        return Err(not_sent(kept));
                    }
                    slot = kept;
                    req = *unsent;
                }
            }
        }
    }

    /// Opens a connection to the target, within the connections that it takes.
    async fn connect(&self, address: SocketAddr, deadline: Time) -> Option<Connection> {
        let limits = self.shared.own_limits();
        let most = limits.map_or(1, |limits| limits.connections as usize);
        while self.pool.open() >= most {
            if self.shared.clock.now() >= deadline {
                return None;
            }
            self.shared.clock.sleep(CONNECTION_POLL).await;
        }
        self.pool.connect(address).await.ok()
    }

    /// Reports a connection that broke after a byte of the request may have left.
    async fn broken(&self, mut running: Running) -> Ended {
        let target_gone = self.target_gone().await;
        let decision = running.take().and_then(|slot| slot.end(End::Broken { target_gone }));
        match decision {
            Some(Decision::Refuse(outcome, crashes)) => Ended { outcome, crashes },
            _ => Ended::unknown(Code::TargetFailed),
        }
    }

    /// Whether the target's process has ended: its address refuses connections.
    async fn target_gone(&self) -> bool {
        let Some(address) = self.shared.settings.target_address else {
            return true;
        };
        let probe = async { Some(self.pool.connect(address).await) };
        let timeout = async {
            self.shared.clock.sleep(PROBE_TIMEOUT).await;
            None
        };
        match future::or(probe, timeout).await {
            Some(Ok(connection)) => {
                connection.give_back();
                false
            }
            Some(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            None => false,
        }
    }

    /// Writes the headers that the target gets.
    fn finish_request(&self, headers: &mut HeaderMap, id: &HeaderValue, deadline: Time) {
        let dialect = &self.shared.dialect;
        headers::strip(headers);
        headers.remove(headers::CRASHES);
        headers.remove(headers::TERMS);
        if !dialect.is_own() {
            for name in &headers::BETWEEN_NODES {
                headers.remove(name);
            }
        }
        let left = deadline.since(self.shared.clock.now()).as_millis() as u64;
        headers.insert(dialect.deadline.clone(), HeaderValue::from(left.max(1)));
        headers.insert(dialect.request_id.clone(), id.clone());
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_static("target"));
        }
    }

    /// Whether an answer is to this request, if the target says to which it is.
    fn is_own(&self, response: &Response<Incoming>, id: &HeaderValue) -> bool {
        let named = response.headers().get(&self.shared.dialect.request_id);
        named.is_none_or(|other| other == id) && (named.is_some() || self.shared.dialect.is_own())
    }

    /// Why the target has not run the request, if it says so.
    fn rejected(&self, response: &Response<Incoming>) -> Option<Code> {
        let marker = self.shared.dialect.not_run.as_ref()?;
        response.headers().get(marker)?;
        Some(match response.status() {
            StatusCode::MISDIRECTED_REQUEST => Code::TargetReplaced,
            _ => Code::TargetRefused,
        })
    }
}

/// A refusal by the target, which says that it has not run the request.
fn rejected(
    mut running: Running,
    response: Response<Incoming>,
    connection: Connection,
    code: Code,
) -> Ended {
    let refused = running.take().and_then(|slot| slot.end(End::Rejected(code)));
    if response.body().is_end_stream() {
        connection.give_back();
    }
    match refused {
        Some(Decision::Refuse(outcome, crashes)) => Ended { outcome, crashes },
        _ => Ended { outcome: refusal(code), crashes: 0 },
    }
}

/// A refusal that is true: the slot's request has not left this node.
fn not_sent(slot: Slot) -> Ended {
    match slot.end(End::NotSent) {
        Some(Decision::Refuse(outcome, crashes)) => Ended { outcome, crashes },
        _ => Ended { outcome: refusal(Code::TargetUnreachable), crashes: 0 },
    }
}

fn keep(status: StatusCode, headers: &HeaderMap, body: bytes::Bytes) -> CachedResponse {
    let own = headers.iter().filter(|(name, _)| **name != CONTENT_LENGTH);
    let copy = |bytes: &[u8]| bytes::Bytes::copy_from_slice(bytes);
    let headers =
        own.map(|(name, value)| (copy(name.as_str().as_bytes()), copy(value.as_bytes()))).collect();
    CachedResponse { status: status.as_u16(), headers, body }
}
