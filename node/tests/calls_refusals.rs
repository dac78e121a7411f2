//! Refusals: what a target, a listener or a gatekeeper says about one attempt of a request is not
//! believed about another one.

#[path = "support/calls.rs"]
mod support;

use hyper::StatusCode;
use hyper::header::HeaderName;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use support::*;
use sycamore_node::calls::dialect::Dialect;

/// Header of responses by which a target refuses a request.
const NOT_RUN: &str = "x-not-run";

const PROMISING_STATUSES: [StatusCode; 2] =
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];

const REFUSED: u16 = 468;
const UNCONFIRMED: u16 = 477;

/// A target that refuses requests to `/refuse`, and refuses one a second time when it arrives again
/// on the same connection. Runs it and responds then as on any other connection. Runs requests to
/// `/status-NNN` and responds with that status.
struct RefusingTarget {
    address: SocketAddr,
    state: Arc<Mutex<TargetState>>,
}

#[derive(Default)]
struct TargetState {
    connections: usize,
    refused: Vec<String>,
    runs: Vec<String>,
}

impl RefusingTarget {
    fn new() -> RefusingTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::<Mutex<TargetState>>::default();
        let target = RefusingTarget { address, state: state.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, state) = (stream.unwrap(), state.clone());
                state.lock().unwrap().connections += 1;
                std::thread::spawn(move || serve(&stream, &state));
            }
        });
        target
    }

    fn runs(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }
}

fn serve(mut stream: &TcpStream, state: &Mutex<TargetState>) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let mut refused_here = Vec::new();
    while let Some(Ok(line)) = lines.next() {
        let mut id = String::new();
        for header in lines.by_ref().map_while(Result::ok).take_while(|line| !line.is_empty()) {
            if let Some(value) = header.strip_prefix("x-sycamore-request-id: ") {
                id = value.to_owned();
            }
        }
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-sycamore-request-id: {id}\r\n{NOT_RUN}: 1\r\n\
             content-length: 0\r\n\r\n"
        );
        let refuses = line.contains("/refuse") && !state.lock().unwrap().refused.contains(&id);
        if refuses {
            state.lock().unwrap().refused.push(id.clone());
            refused_here.push(id);
            stream.write_all(refusal.as_bytes()).ok()?;
            continue;
        }
        let status = line.split_once("/status-").map_or("200", |(_, status)| &status[..3]);
        let status = status.to_owned();
        state.lock().unwrap().runs.push(line);
        if refused_here.contains(&id) {
            stream.write_all(refusal.as_bytes()).ok()?;
        }
        let response = format!(
            "HTTP/1.1 {status} Status\r\nx-sycamore-request-id: {id}\r\nx-own: 1\r\n\
             content-length: 0\r\n\r\n"
        );
        stream.write_all(response.as_bytes()).ok()?;
    }
    Some(())
}

fn dialect() -> Dialect {
    Dialect::new().with_not_run(HeaderName::from_static(NOT_RUN), PROMISING_STATUSES.to_vec())
}

/// A node with one target of this many connections, whose requests may run once per attempt.
fn node_of(target: SocketAddr, connections: u32) -> Node {
    let node = Node::with_dialect("a", target, dialect());
    let limits = format!(r#"{{"slots":4,"connections":{connections}}}"#);
    let preset = preset(&limits, &[("a", node.gate)])
        .replace(r#""idempotent":false"#, r#""idempotent":false,"once":"attempt""#);
    node.configure(1, &preset);
    node
}

/// A request as an entry node forwards it.
fn forwarded(path: &str, id: &str, attempt: u32) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: test\r\nx-sycamore-request-id: {id}\r\n\
         x-sycamore-attempt: {attempt}\r\nx-sycamore-deadline-ms: 20000\r\n\
         x-sycamore-terms: s;0;1;1;0;1;0;20000\r\n\r\n"
    )
}

/// Guards against a request that runs although its caller is told that it has not run: a late second
/// refusal of its first attempt was taken for the response to its second one.
#[test]
fn refusal_late_for_later_attempt() {
    let target = RefusingTarget::new();
    let node = node_of(target.address, 8);
    let first = call(node.gate, &forwarded("/once/refuse", "r", 1));
    assert_eq!((first.outcome(), first.code()), ("not-run", Some(REFUSED)));
    let second = call(node.gate, &forwarded("/once/refuse", "r", 2));
    assert_eq!((second.outcome(), target.runs()), ("answered", 1), "{:?}", second.code());
}

/// Guards against a request that waits for a connection although the idle one that it can't use could
/// be closed for it.
#[test]
fn refusal_later_attempt_at_connection_limit() {
    let target = RefusingTarget::new();
    let node = node_of(target.address, 1);
    let first = call(node.gate, &forwarded("/once/refuse", "r", 1));
    assert_eq!(first.code(), Some(REFUSED));
    let second = call(node.gate, &forwarded("/once/refuse", "r", 2));
    assert_eq!((second.outcome(), target.runs()), ("answered", 1), "{:?}", second.code());
    assert_eq!(target.connections(), 2);
}

/// Guards against a new connection for each request whose predecessor was refused.
#[test]
fn refusal_keeps_connection_for_other_requests() {
    let target = RefusingTarget::new();
    let node = node_of(target.address, 8);
    for number in 0..10 {
        let refused = call(node.gate, &forwarded("/once/refuse", &format!("r{number}"), 1));
        assert_eq!(refused.code(), Some(REFUSED));
        let other = call(node.gate, &forwarded("/once/run", &format!("o{number}"), 1));
        assert_eq!(other.outcome(), "answered");
    }
    assert_eq!(target.connections(), 1);
}

/// Guards against an unbounded record of the requests that a connection has carried.
#[test]
fn connection_closed_after_many_requests() {
    let target = RefusingTarget::new();
    let node = node_of(target.address, 8);
    for number in 0..=1_000 {
        let response = call(node.gate, &forwarded("/once/run", &format!("r{number}"), 1));
        assert_eq!(response.outcome(), "answered");
    }
    assert_eq!((target.runs(), target.connections()), (1_001, 2));
}

/// Guards against a caller that is told that its request has not run, because the target that ran it
/// responded with a status of its own that means this to callers.
#[test]
fn refusal_status_without_marker() {
    let target = RefusingTarget::new();
    let node = node_of(target.address, 8);
    for route in ["once", "idem"] {
        for status in [503, 429] {
            let response = call(node.entry, &get(&format!("/{route}/status-{status}")));
            assert_eq!((response.status, response.code()), (502, Some(UNCONFIRMED)), "{route}");
            assert_eq!((response.outcome(), response.header("x-own")), ("unknown", None));
        }
        let response = call(node.entry, &get(&format!("/{route}/status-500")));
        assert_eq!((response.status, response.outcome()), (500, "answered"));
        assert_eq!(response.header("x-own"), Some("1"));
    }
    assert!(target.runs() >= 6);
}

/// Guards against a target's responses that are replaced where statuses promise nothing.
#[test]
fn refusal_status_of_native_target() {
    let target = RefusingTarget::new();
    let node = Node::new("a", Some(target.address));
    node.configure(1, &preset("{}", &[("a", node.gate)]));
    let response = call(node.entry, &get("/idem/status-503"));
    assert_eq!((response.status, response.outcome()), (503, "answered"));
}

/// Guards against a refusal without a request's id that is taken for the response to a request on a
/// connection that has carried others, where no listener refuses anything.
#[test]
fn refusal_of_listener_on_used_connection() {
    let target = Target::new();
    let entry = Node::with_limits("e", None, r#"{"threads":1}"#);
    // The target responds in place of the gatekeeper of VM `a`.
    let preset = preset("{}", &[("a", target.address)])
        .replace(r#""idempotent":false"#, r#""idempotent":false,"once":"attempt""#);
    entry.configure(1, &preset);
    let refused = "x-sycamore-outcome=not-run&x-sycamore-code=465";
    let response = call(entry.entry, &get(&format!("/once/stated?{refused}")));
    assert_eq!((response.outcome(), response.code()), ("not-run", Some(465)));
    let answered = "x-sycamore-outcome=answered&x-sycamore-request-id=r";
    let req = get(&format!("/once/stated?{answered}"))
        .replace("host: test\r\n", "host: test\r\nx-sycamore-request-id: r\r\n");
    assert_eq!(call(entry.entry, &req).outcome(), "answered");
    assert_eq!(target.connections(), 1);
    let response = call(entry.entry, &get(&format!("/once/stated?{refused}")));
    assert_eq!((response.outcome(), response.code()), ("unknown", Some(464)));
}

/// Guards against a request that counts as unsent, and is sent again, although its target has read a
/// part of its head when the connection breaks.
#[test]
fn refusal_not_taken_from_break_within_head() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let starts = Arc::<Mutex<Vec<u8>>>::default();
    let seen = starts.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen) = (stream.unwrap(), seen.clone());
            // The rest of the request stays unread, so that the connection is reset.
            std::thread::spawn(move || {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                seen.lock().unwrap().push(byte[0]);
            });
        }
    });
    let node = node_of(address, 8);
    for size in [0, 1_000, 150_000] {
        let body = "x".repeat(size);
        let req = format!(
            "POST /once/broken HTTP/1.1\r\nhost: test\r\ncontent-length: {size}\r\n\r\n{body}"
        );
        let response = call(node.entry, &req);
        assert_eq!((response.outcome(), response.status), ("unknown", 502), "{size}");
    }
    assert_eq!(starts.lock().unwrap().iter().filter(|byte| **byte == b'P').count(), 3);
}
