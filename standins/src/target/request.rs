//! What a request asks of the stand-in: its headers, and the query that says how long to work and
//! how much to answer.

use bytes::Bytes;
use hyper::Request;
use hyper::header::{HeaderMap, HeaderValue};
use std::time::{Duration, Instant};

/// Time that a request gets that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Marks calls of a chain that may run only once.
const AT_MOST_ONCE: char = '!';

/// A request as the stand-in understands it.
#[derive(Clone, Debug)]
pub struct Call {
    /// `x-sycamore-request-id`; decides the content of the answer.
    pub id: Bytes,
    /// `idempotency-key`.
    pub key: Option<Bytes>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// `x-sycamore-depth`, passed on as it came.
    pub depth: Option<HeaderValue>,
    /// `work_us`: how long it runs.
    pub work: Duration,
    /// `bytes`: size of the answer.
    pub answer_bytes: usize,
    /// `chain`: paths of the calls that it makes, each one deeper than the one before. One that
    /// starts with `!` may run only once: it is a POST with a key.
    pub chain: Vec<String>,
    /// `crash`: the target dies of it.
    pub crash: bool,
}

impl Call {
    /// Reads a request's head.
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

    /// The call that this one makes, if it makes one.
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

    /// Whether the call at the front of the chain may run only once.
    pub fn at_most_once(&self) -> bool {
        self.chain[0].starts_with(AT_MOST_ONCE)
    }

    /// Path and query of a call taken from the front of the chain.
    pub fn path(&self) -> String {
        let rest = self.chain[1..].join(",");
        let chain = if rest.is_empty() { String::new() } else { format!("&chain={rest}") };
        let work = self.work.as_micros();
        let path = self.chain[0].trim_start_matches(AT_MOST_ONCE);
        format!("{path}?work_us={work}&bytes={}{chain}", self.answer_bytes)
    }
}

/// A key for a call made on behalf of one that has a key: the same on each run, with the same time
/// stamp, so that the call runs once however often its parent is sent.
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
    // The last eight bytes are random but for the two bits of the variant.
    raw[8..].copy_from_slice(&hash.as_bytes()[..8]);
    raw[8] = raw[8] & 0x3f | 0x80;
    *uuid = uuid::Uuid::from_bytes(raw);
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
