//! Parses requests to the stand-in: the headers, and the query that sets the simulated work and the
//! response size.

use bytes::Bytes;
use hyper::Request;
use hyper::header::{HeaderMap, HeaderValue};
use std::time::{Duration, Instant};

/// Timeout for requests without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Prefix of nested calls that must be executed at most once.
const AT_MOST_ONCE: char = '!';

/// A parsed request.
#[derive(Clone, Debug)]
pub struct Call {
    /// `x-sycamore-request-id`, which determines the content of the response.
    pub id: Bytes,
    /// `idempotency-key`.
    pub key: Option<Bytes>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// `x-sycamore-depth`, forwarded unchanged.
    pub depth: Option<HeaderValue>,
    /// `work_us`: duration of the simulated work.
    pub work: Duration,
    /// `bytes`: size of the response body.
    pub answer_bytes: usize,
    /// `chain`: paths of nested calls, each made by the one before it. A path that starts with `!`
    /// is executed at most once: it is a POST with an idempotency key.
    pub chain: Vec<String>,
    /// `crash`: the request crashes the target.
    pub crash: bool,
}

impl Call {
    /// Parses the headers and the query of a request.
    pub fn new<B>(req: &Request<B>) -> Call {
        let headers = req.headers();
        let remaining_ms =
            header_text(headers, "x-sycamore-deadline-ms").and_then(|text| text.parse().ok());
        let timeout = remaining_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let bytes = |name| headers.get(name).map(|value| Bytes::copy_from_slice(value.as_bytes()));
        let mut call = Call {
            id: bytes("x-sycamore-request-id").unwrap_or_default(),
            key: bytes("idempotency-key"),
            deadline: Instant::now() + timeout,
            depth: headers.get("x-sycamore-depth").cloned(),
            work: Duration::ZERO,
            answer_bytes: 0,
            chain: Vec::new(),
            crash: false,
        };
        call.read_query(req.uri().query().unwrap_or_default());
        call
    }

    fn read_query(&mut self, query: &str) {
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "work_us" => self.work = Duration::from_micros(value.parse().unwrap_or(0)),
                "bytes" => self.answer_bytes = value.parse().unwrap_or(0),
                "chain" => self.chain = value.split(',').map(str::to_string).collect(),
                "crash" => self.crash = value == "1",
                _ => {}
            }
        }
    }

    /// The nested call that this call makes, if any.
    pub fn nested_call(&self) -> Option<Call> {
        let mut nested = self.clone();
        if nested.chain.is_empty() {
            return None;
        }
        nested.id = Bytes::from([&self.id[..], b".1"].concat());
        nested.key = self.key.as_ref().map(derive_key).filter(|_| nested.at_most_once());
        nested.crash = false;
        Some(nested)
    }

    /// Whether the first call of the chain must be executed at most once.
    pub fn at_most_once(&self) -> bool {
        self.chain[0].starts_with(AT_MOST_ONCE)
    }

    /// Path and query of the first call of the chain.
    pub fn path(&self) -> String {
        let rest = self.chain[1..].join(",");
        let chain = if rest.is_empty() { String::new() } else { format!("&chain={rest}") };
        let work = self.work.as_micros();
        let path = self.chain[0].trim_start_matches(AT_MOST_ONCE);
        format!("{path}?work_us={work}&bytes={}{chain}", self.answer_bytes)
    }
}

/// Derives the idempotency key of a nested call from the key of its parent. It is deterministic and
/// keeps the timestamp, so that retries of the parent don't execute the nested call twice.
fn derive_key(key: &Bytes) -> Bytes {
    let Some(mut uuid) = std::str::from_utf8(key).ok().and_then(|text| text.parse().ok()) else {
        return key.clone();
    };
    derive_uuid(&mut uuid);
    Bytes::from(uuid.to_string())
}

fn derive_uuid(uuid: &mut uuid::Uuid) {
    let hash = blake3::hash(uuid.as_bytes());
    let mut raw = *uuid.as_bytes();
    // The last eight bytes of a UUIDv7 are random except for the two variant bits.
    raw[8..].copy_from_slice(&hash.as_bytes()[..8]);
    raw[8] = raw[8] & 0x3f | 0x80;
    *uuid = uuid::Uuid::from_bytes(raw);
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
