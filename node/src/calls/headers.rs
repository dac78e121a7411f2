//! Headers of a call: names, reading them with every check, and what is passed on.

use super::dialect::Dialect;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use sycamore_core::call::{Load, Outcome, RequestKey, Terms};
use sycamore_core::config::{AtMostOnceMode, Class};
use sycamore_core::{Code, Name, Time};

/// Time left for the call in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-sycamore-deadline-ms");
/// Names the request over all its attempts and nodes.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-sycamore-request-id");
/// Attempt of this forward, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-sycamore-attempt");
/// Nodes passed as entry node so far.
pub const DEPTH: HeaderName = HeaderName::from_static("x-sycamore-depth");
/// Names a request that may run only once.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How the call ended.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-sycamore-outcome");
/// Number of the result code if it was not answered.
pub const CODE: HeaderName = HeaderName::from_static("x-sycamore-code");
/// When to come back, in ms.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-sycamore-retry-after-ms");
/// Load of the gatekeeper's target.
pub const LOAD: HeaderName = HeaderName::from_static("x-sycamore-load");
/// How long the request waited for a slot of the target, in ms; between nodes only.
pub const WAITED: HeaderName = HeaderName::from_static("x-sycamore-waited-ms");
/// Crashes of targets that the request is suspected of; between nodes only.
pub const CRASHES: HeaderName = HeaderName::from_static("x-sycamore-crashes");
/// What the entry node's route says of the request; between nodes only.
pub const TERMS: HeaderName = HeaderName::from_static("x-sycamore-terms");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Headers that a request may carry only once. Guards against a header smuggled in twice: two
/// nodes could read different ones and so disagree on what the request is.
const SINGLE: [HeaderName; 9] =
    [CONTENT_LENGTH, HOST, DEADLINE, REQUEST_ID, ATTEMPT, DEPTH, KEY, CRASHES, TERMS];

/// Headers between nodes that mean nothing to a target with names of its own.
pub const BETWEEN_NODES: [HeaderName; 6] = [DEADLINE, REQUEST_ID, ATTEMPT, DEPTH, CRASHES, TERMS];

/// Headers that concern one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 8] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// The headers of a call, read and checked.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Time left.
    pub time_left: Option<Duration>,
    /// Request id, if there is one.
    pub request_id: Option<HeaderValue>,
    /// Nodes passed as entry node.
    pub depth: u8,
    /// The `Idempotency-Key`.
    pub key: Option<RequestKey>,
    /// Crashes that the entry node knows of.
    pub crashes: u32,
    /// Stated size of the body.
    pub body_bytes: Option<u64>,
}

impl CallHead {
    /// Reads the headers of a request. Refuses what is malformed or stands twice.
    pub fn read<B>(req: &Request<B>, dialect: &Dialect) -> Result<CallHead, Code> {
        let headers = req.headers();
        for name in SINGLE.iter().chain([&dialect.deadline, &dialect.request_id]) {
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
        let depth = number(headers, &DEPTH)?.unwrap_or(0);
        Ok(CallHead {
            time_left: number(headers, &dialect.deadline)?.map(Duration::from_millis),
            request_id: request_id.cloned(),
            depth: depth.min(u8::MAX.into()) as u8,
            key: key(headers)?,
            crashes: number(headers, &CRASHES)?.unwrap_or(0).min(u32::MAX.into()) as u32,
            body_bytes: number(headers, &CONTENT_LENGTH)?,
        })
    }
}

/// How a gatekeeper's answer is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the target's answer.
    Answered,
    /// The request did not reach the target.
    NotRun(Code, Duration),
    /// The target may have run it.
    Unknown(Code),
    /// It is not an answer to this request.
    Foreign,
}

/// Reads a gatekeeper's answer to the request with this id.
///
/// An answer with another id than the request's is not given to its caller.
pub fn verdict<B>(response: &Response<B>, id: &HeaderValue) -> Verdict {
    let headers = response.headers();
    let outcome = headers.get(OUTCOME).map(HeaderValue::as_bytes);
    let code = number(headers, &CODE).ok().flatten();
    let code = code.and_then(|code| Code::from_number(code.try_into().ok()?));
    // A listener that is full refuses before it has read the request, so it can't name it.
    let early = outcome == Some(b"not-run") && code == Some(Code::TooManyConnections);
    if headers.get(REQUEST_ID) != Some(id) && !early {
        return Verdict::Foreign;
    }
    match (outcome, code) {
        (Some(b"answered"), None) => Verdict::Answered,
        (Some(b"not-run"), Some(code)) => {
            let ms = number(headers, &RETRY_AFTER_MS).ok().flatten().unwrap_or(0);
            Verdict::NotRun(code, Duration::from_millis(ms))
        }
        (Some(b"unknown"), Some(code)) => Verdict::Unknown(code),
        _ => Verdict::Foreign,
    }
}

/// The load in an answer between nodes.
pub fn load(headers: &HeaderMap) -> Option<Load> {
    Load::parse(headers.get(LOAD)?.to_str().ok()?)
}

/// The wait for a slot in an answer between nodes; zero if it says nothing of it.
pub fn waited(headers: &HeaderMap) -> Duration {
    let ms = number(headers, &WAITED).ok().flatten().unwrap_or(0);
    Duration::from_millis(ms)
}

/// How long the other side keeps a connection without a request, if it says so.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// The number in a header; `None` if it is absent.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Code> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Code::RequestInvalid)?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = digits.then(|| text.parse().ok()).flatten();
    number.map(Some).ok_or(Code::RequestInvalid)
}

/// Drops the headers that concern one connection, also those that `connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        // A caller may not have the headers of the call dropped on the way.
        .filter(|name| !SINGLE.contains(name))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Host of a request in lower case, without a port; empty if there is none.
pub fn host<B>(req: &Request<B>) -> String {
    let header = req.headers().get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| req.uri().host()).unwrap_or_default();
    let end = host.rfind(':').filter(|colon| !host[*colon..].contains(']'));
    host[..end.unwrap_or(host.len())].to_ascii_lowercase()
}

/// The terms as text:
/// `service;idempotent;once;class;rank;may_exceed_objective;repeat;objective`, the last as
/// milliseconds left at `now`.
pub fn write_terms(terms: &Terms, now: Time) -> Option<HeaderValue> {
    let left = terms.objective.since(now).as_millis() as u64;
    let idempotent = u8::from(terms.idempotent);
    let text = format!(
        "{};{idempotent};{};{};{};{};{};{left}",
        terms.service,
        terms.once as u8,
        terms.class as u8,
        terms.rank,
        u8::from(terms.may_exceed_objective),
        u8::from(terms.repeat)
    );
    HeaderValue::try_from(text).ok()
}

/// Reads the terms that an entry node told at `now`; `None` if there are none.
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
    let left = Duration::from_millis(parts.next()?.parse().ok()?);
    let objective = now + left;
    Some(Terms { service, idempotent, once, class, rank, objective, may_exceed_objective, repeat })
}

/// Writes an outcome that is not an answer into the head of a response between nodes.
pub fn write_outcome(response: &mut Response<()>, outcome: Outcome) {
    let (status, name, code) = match outcome {
        Outcome::Answered => return,
        Outcome::NotRun { code, retry_after } => {
            let ms = retry_after.as_millis() as u64;
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms));
            headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
            (status_of(code), "not-run", code)
        }
        Outcome::Unknown { code } => (status_of_unknown(code), "unknown", code),
    };
    *response.status_mut() = status;
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static(name));
    response.headers_mut().insert(CODE, HeaderValue::from(code.number()));
}

/// Lets a caller who understands fractions of a second come back at the very time.
pub fn write_fractional_retry_after(headers: &mut HeaderMap) {
    let ms = number(headers, &RETRY_AFTER_MS).ok().flatten();
    let text = ms.map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
    if let Some(value) = text.and_then(|text| HeaderValue::try_from(text).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
}

fn status_of_unknown(code: Code) -> StatusCode {
    match code {
        Code::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Status of a refusal.
pub fn status_of(code: Code) -> StatusCode {
    match code {
        Code::NoRoute => StatusCode::NOT_FOUND,
        Code::RequestInvalid | Code::KeyMissing | Code::TooDeep | Code::KeyReused => {
            StatusCode::BAD_REQUEST
        }
        Code::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn key(headers: &HeaderMap) -> Result<Option<RequestKey>, Code> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    RequestKey::parse(value.as_bytes()).map(Some).ok_or(Code::KeyMissing)
}
