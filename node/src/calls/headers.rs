//! Names, validation and forwarding rules of the headers of a call.

use super::dialect::{Dialect, ListedFigure};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use sycamore_core::call::{
    Load, Outcome, RateLimit, RecallAnswer, RequestKey, StatedLimit, Statement, Terms, WorkPace,
};
use sycamore_core::config::{AtMostOnceMode, Class};
use sycamore_core::{Code, Name, Time};

/// Remaining time of the call in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-sycamore-deadline-ms");
/// Time for which the target may work on the request, in ms, if that is less than the remaining time
/// of the call; between nodes only.
pub const TARGET_TIME: HeaderName = HeaderName::from_static("x-sycamore-target-time-ms");
/// Identifies the request across all attempts and nodes.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-sycamore-request-id");
/// Number of the attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-sycamore-attempt");
/// Number of entry nodes that the call has passed.
pub const DEPTH: HeaderName = HeaderName::from_static("x-sycamore-depth");
/// Identifies a request that may run only once.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How the call ended.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-sycamore-outcome");
/// Result code, if there is no response from the target.
pub const CODE: HeaderName = HeaderName::from_static("x-sycamore-code");
/// Milliseconds after which to retry.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-sycamore-retry-after-ms");
/// Load of the gatekeeper's target.
pub const LOAD: HeaderName = HeaderName::from_static("x-sycamore-load");
/// Time that the request waited for a slot of the target, in ms; between nodes only.
pub const WAITED: HeaderName = HeaderName::from_static("x-sycamore-waited-ms");
/// Number of target crashes that the request may have caused; between nodes only.
pub const CRASHES: HeaderName = HeaderName::from_static("x-sycamore-crashes");
/// Remaining time for which a target is cold, in ms; in responses to health requests.
pub const COLD_TIME: HeaderName = HeaderName::from_static("x-sycamore-cold-ms");
/// Rate limit of a target in requests per second, a decimal number; in responses of the target and
/// between nodes.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("x-sycamore-rate-limit");
/// 1 if a target is leaving; in responses of the target and between nodes.
pub const LEAVING: HeaderName = HeaderName::from_static("x-sycamore-leaving");
/// How long work takes at a target at the moment, in percent of the usual time; in responses of the
/// target.
pub const WORK_PACE: HeaderName = HeaderName::from_static("x-sycamore-work-pace");
/// Terms of the request according to the entry node's route; between nodes only.
pub const TERMS: HeaderName = HeaderName::from_static("x-sycamore-terms");
/// `ask` in a recall, and the answer to it; between nodes only.
pub const RECALL: HeaderName = HeaderName::from_static("x-sycamore-recall");
pub const RECALL_ASK: &str = "ask";
/// Whether a request that has not started had arrived when it was recalled, 0 or 1; in the answer to
/// a recall.
pub const RECALL_ARRIVED: HeaderName = HeaderName::from_static("x-sycamore-recall-arrived");
/// Time since the attempt was sent, in ms; in a recall.
pub const ATTEMPT_AGE: HeaderName = HeaderName::from_static("x-sycamore-attempt-age-ms");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const MAX_REQUEST_ID_BYTES: usize = 128;

/// Headers that may occur only once in a request. Prevents smuggling: two nodes could use different
/// values of a repeated header.
const SINGLE_VALUED: [HeaderName; 12] = [
    CONTENT_LENGTH,
    HOST,
    DEADLINE,
    TARGET_TIME,
    REQUEST_ID,
    ATTEMPT,
    DEPTH,
    KEY,
    CRASHES,
    TERMS,
    RECALL,
    ATTEMPT_AGE,
];

/// Headers between nodes, removed before a request is sent to a target with its own header names.
pub const INTERNAL: [HeaderName; 7] =
    [DEADLINE, TARGET_TIME, REQUEST_ID, ATTEMPT, DEPTH, CRASHES, TERMS];

/// Load that a target states itself; not used.
const TARGET_LOAD: HeaderName = HeaderName::from_static("x-load");

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// The validated headers of a call.
#[derive(Clone, Debug)]
pub struct CallHead {
    pub time_left: Option<Duration>,
    pub request_id: Option<HeaderValue>,
    /// Number of entry nodes that the call has passed.
    pub depth: u8,
    /// The `Idempotency-Key`.
    pub key: Option<RequestKey>,
    /// Number of target crashes that the request may have caused, as known to the entry node.
    pub crashes: u32,
    /// The `Content-Length`.
    pub body_bytes: Option<u64>,
}

impl CallHead {
    /// Parses the headers of a request. Rejects malformed and repeated headers.
    pub fn read<B>(req: &Request<B>, dialect: &Dialect) -> Result<CallHead, Code> {
        let headers = req.headers();
        for name in SINGLE_VALUED.iter().chain([&dialect.deadline, &dialect.request_id]) {
            let mut values = headers.get_all(name).iter();
            if values.next().is_some() && values.next().is_some() {
                return Err(Code::RequestInvalid);
            }
        }
        if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
            return Err(Code::RequestInvalid);
        }
        if !req.uri().path().starts_with('/') || headers.contains_key(UPGRADE) {
            return Err(Code::RequestInvalid);
        }
        let request_id = headers.get(&dialect.request_id);
        if request_id.is_some_and(|id| id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES) {
            return Err(Code::RequestInvalid);
        }
        let depth = parse_number(headers, &DEPTH)?.unwrap_or(0);
        Ok(CallHead {
            time_left: parse_number(headers, &dialect.deadline)?.map(Duration::from_millis),
            request_id: request_id.cloned(),
            depth: depth.min(u8::MAX.into()) as u8,
            key: parse_key(headers)?,
            crashes: parse_number(headers, &CRASHES)?.unwrap_or(0).min(u32::MAX.into()) as u32,
            body_bytes: parse_number(headers, &CONTENT_LENGTH)?,
        })
    }
}

/// Whether a header is one of the product's own or concerns only one connection.
pub fn is_own(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || *name == TARGET_LOAD || name.as_str().starts_with("x-sycamore-")
}

/// Reads what a target states about itself in a response.
pub fn statement(headers: &HeaderMap, dialect: &Dialect) -> Statement {
    let pace = work_pace(headers, &dialect.work_pace);
    Statement { pace, ..read_statement(headers, &dialect.rate_limit, &dialect.leaving) }
}

/// If several paces are stated, the slowest holds.
fn work_pace(headers: &HeaderMap, figure: &ListedFigure) -> Option<WorkPace> {
    let parse =
        |value: &HeaderValue| WorkPace::parse(value.to_str().ok()?.split(',').nth(figure.index)?);
    headers.get_all(&figure.header).iter().filter_map(parse).max()
}

/// Reads what a gatekeeper says that its target states.
pub fn node_statement(headers: &HeaderMap) -> Statement {
    read_statement(headers, &RATE_LIMIT, &LEAVING)
}

/// The rate limit of the target that the sender of a request knows.
pub fn known_limit(headers: &HeaderMap) -> Option<RateLimit> {
    node_statement(headers).limit.limit()
}

/// Sets the headers between nodes for the statements of a target.
pub fn write_statements(headers: &mut HeaderMap, limit: Option<RateLimit>, leaving: bool) {
    headers.remove(RATE_LIMIT);
    headers.remove(LEAVING);
    let limit = limit.and_then(|limit| HeaderValue::try_from(limit.to_string()).ok());
    if let Some(limit) = limit {
        headers.insert(RATE_LIMIT, limit);
    }
    if leaving {
        headers.insert(LEAVING, HeaderValue::from_static("1"));
    }
}

/// If several limits are stated, the lowest holds.
fn read_statement(headers: &HeaderMap, limit: &HeaderName, leaving: &HeaderName) -> Statement {
    let values = || headers.get_all(limit).iter();
    let parse = |value: &HeaderValue| RateLimit::parse(value.to_str().ok()?);
    let limit = match values().filter_map(parse).min() {
        Some(limit) => StatedLimit::Limit(limit),
        None if values().next().is_some() => StatedLimit::Unreadable,
        None => StatedLimit::Absent,
    };
    let leaving = headers.get_all(leaving).iter().any(|value| value.as_bytes() == b"1");
    Statement { limit, leaving, pace: None }
}

/// Classification of a gatekeeper's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// A response from the target.
    Answered,
    /// The request did not reach the target.
    NotRun(Code, Duration),
    /// The target may have run the request.
    Unknown(Code),
    /// Not a response to this request.
    Foreign,
}

/// Classifies a gatekeeper's response to the request with this id.
///
/// A response with a different request id is not forwarded to the caller. `is_first` tells whether it
/// is the first response on its connection.
pub fn reported_outcome<B>(
    response: &Response<B>,
    id: &HeaderValue,
    is_first: bool,
) -> ReportedOutcome {
    let headers = response.headers();
    let outcome = headers.get(OUTCOME).map(HeaderValue::as_bytes);
    let code = parse_number(headers, &CODE).ok().flatten();
    let code = code.and_then(|code| Code::from_number(code.try_into().ok()?));
    // A listener at its connection limit rejects before it reads the request, so the id is missing.
    let rejected_by_listener =
        is_first && outcome == Some(b"not-run") && code == Some(Code::TooManyConnections);
    if headers.get(REQUEST_ID) != Some(id) && !rejected_by_listener {
        return ReportedOutcome::Foreign;
    }
    match (outcome, code) {
        (Some(b"answered"), None) => ReportedOutcome::Answered,
        (Some(b"not-run"), Some(code)) => {
            let ms = parse_number(headers, &RETRY_AFTER_MS).ok().flatten().unwrap_or(0);
            ReportedOutcome::NotRun(code, Duration::from_millis(ms))
        }
        (Some(b"unknown"), Some(code)) => ReportedOutcome::Unknown(code),
        _ => ReportedOutcome::Foreign,
    }
}

/// The target's load in a response between nodes.
pub fn load(headers: &HeaderMap) -> Option<Load> {
    Load::parse(headers.get(LOAD)?.to_str().ok()?)
}

/// The answer to a recall.
pub fn recall_answer(headers: &HeaderMap) -> Option<RecallAnswer> {
    match headers.get(RECALL)?.as_bytes() {
        b"not-started" => {
            let arrived = headers.get(RECALL_ARRIVED).is_some_and(|value| value == "1");
            Some(RecallAnswer::NotStarted { arrived })
        }
        b"running" => Some(RecallAnswer::Running),
        b"ended" => Some(RecallAnswer::Ended),
        _ => None,
    }
}

pub fn write_recall_answer(headers: &mut HeaderMap, answer: RecallAnswer) {
    headers.insert(RECALL, HeaderValue::from_static(answer.label()));
    if let RecallAnswer::NotStarted { arrived } = answer {
        headers.insert(RECALL_ARRIVED, HeaderValue::from(u16::from(arrived)));
    }
}

/// The time spent waiting for a slot in a response between nodes; zero if absent.
pub fn waited(headers: &HeaderMap) -> Duration {
    let ms = parse_number(headers, &WAITED).ok().flatten().unwrap_or(0);
    Duration::from_millis(ms)
}

/// The `timeout` parameter of the `keep-alive` header.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Parses a numeric header; `None` if it is absent.
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Code> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Code::RequestInvalid)?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = digits.then(|| text.parse().ok()).flatten();
    number.map(Some).ok_or(Code::RequestInvalid)
}

/// Removes hop-by-hop headers, including those listed in `connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        // A caller cannot remove the headers of the call by listing them in `connection`.
        .filter(|name| !SINGLE_VALUED.contains(name))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Host of a request in lower case, with the port if the request names one; empty if there is none.
pub fn host<B>(req: &Request<B>) -> String {
    let header = req.headers().get(HOST).and_then(|value| value.to_str().ok());
    header.or_else(|| req.uri().host()).unwrap_or_default().to_ascii_lowercase()
}

/// Formats the terms as `service;idempotent;once;class;rank;may_exceed_objective;repeat;objective`,
/// where the objective is in milliseconds from `now`, followed by `;region` for each region to which
/// the request is bound.
pub fn write_terms(terms: &Terms, now: Time) -> Option<HeaderValue> {
    let remaining = terms.objective.since(now).as_millis() as u64;
    let idempotent = u8::from(terms.idempotent);
    let mut text = format!(
        "{};{idempotent};{};{};{};{};{};{remaining}",
        terms.service,
        terms.once as u8,
        terms.class as u8,
        terms.rank,
        u8::from(terms.may_exceed_objective),
        u8::from(terms.repeat)
    );
    for region in &terms.regions {
        text.push(';');
        text.push_str(region.as_str());
    }
    HeaderValue::try_from(text).ok()
}

/// Parses the terms sent by an entry node, relative to `now`; `None` if absent.
pub fn read_terms(headers: &HeaderMap, now: Time) -> Result<Option<Terms>, Code> {
    let Some(value) = headers.get(TERMS) else {
        return Ok(None);
    };
    parse_terms(value, now).map(Some).ok_or(Code::RequestInvalid)
}

fn parse_terms(value: &HeaderValue, now: Time) -> Option<Terms> {
    let mut parts = value.to_str().ok()?.split(';');
    let service = Name::new(parts.next()?.to_owned())?;
    let idempotent = parts.next()? == "1";
    let once = match parts.next()? {
        "0" => AtMostOnceMode::Key,
        "1" => AtMostOnceMode::Attempt,
        _ => return None,
    };
    let class = match parts.next()? {
        "0" => Class::Gating,
        "1" => Class::Interactive,
        "2" => Class::Bulk,
        _ => return None,
    };
    let rank = parts.next()?.parse().ok()?;
    let may_exceed_objective = parts.next()? == "1";
    let repeat = parts.next()? == "1";
    let remaining = Duration::from_millis(parts.next()?.parse().ok()?);
    let objective = now + remaining;
    let regions = parts.map(|region| Name::new(region.to_owned())).collect::<Option<_>>()?;
    Some(Terms {
        service,
        idempotent,
        once,
        class,
        rank,
        objective,
        may_exceed_objective,
        repeat,
        regions,
    })
}

/// Sets the status and headers of a response for an outcome other than `Answered`.
pub fn write_outcome(response: &mut Response<()>, outcome: Outcome) {
    let (status, name, code) = match outcome {
        Outcome::Answered => return,
        Outcome::NotRun { code, retry_after } => {
            let ms = retry_after.as_millis() as u64;
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms));
            headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
            (rejection_status(code), "not-run", code)
        }
        Outcome::Unknown { code } => (unknown_status(code), "unknown", code),
    };
    *response.status_mut() = status;
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static(name));
    response.headers_mut().insert(CODE, HeaderValue::from(code.number()));
}

/// Sets `retry-after` with millisecond precision.
pub fn write_fractional_retry_after(headers: &mut HeaderMap) {
    let ms = parse_number(headers, &RETRY_AFTER_MS).ok().flatten();
    let text = ms.map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
    if let Some(value) = text.and_then(|text| HeaderValue::try_from(text).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
}

fn unknown_status(code: Code) -> StatusCode {
    match code {
        Code::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// HTTP status of a rejection.
pub fn rejection_status(code: Code) -> StatusCode {
    match code {
        Code::NoRoute => StatusCode::NOT_FOUND,
        Code::RequestInvalid | Code::KeyMissing | Code::TooDeep | Code::KeyReused => {
            StatusCode::BAD_REQUEST
        }
        Code::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn parse_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Code> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    RequestKey::parse(value.as_bytes()).map(Some).ok_or(Code::KeyMissing)
}
