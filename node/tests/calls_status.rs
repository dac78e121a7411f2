//! Responses whose status line has no status of HTTP, 000 above all: from targets, to health requests,
//! and from gatekeepers.

#[path = "support/calls.rs"]
mod support;

use hyper::StatusCode;
use hyper::header::HeaderName;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use support::*;
use sycamore_node::calls::dialect::Dialect;
use sycamore_node::clock::Clock;

/// Status lines without a final status of HTTP.
const STATUS_LINES: [&str; 16] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 000 ",
    "HTTP/1.1 000",
    "HTTP/1.0 000 X",
    "HTTP/1.1 001 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.0 999",
    "HTTP/1.1 1000 X",
    "HTTP/1.1 0 X",
    "HTTP/1.1 00 X",
    "HTTP/1.1 -01 X",
    "HTTP/1.1 2 0 X",
    "HTTP/1.1  X",
    "HTTP/1.1 ",
];

/// Interim responses before the final one.
const INTERIM: [&str; 2] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nnot-executed: 1\r\nlink: </a>\r\n\r\n",
];

const LENGTH: &str = "content-length: 5\r\n";
const SIGNED: &str = "response-signature: 1.1\r\n";
const NOT_EXECUTED: &str = "not-executed: 1\r\nretry-after: 0.1\r\n";
const LARGE_BODY_BYTES: usize = 300_000;

/// Requests after which one of two targets must have had one.
const MAX_TRIES: usize = 200;

const REQUEST_ID: &str = "x-sycamore-request-id";

/// A request as it arrives at a [`ScriptedTarget`].
struct Arrived {
    path: String,
    id: String,
    /// Number of the request on its connection, from 0.
    index: usize,
}

/// A target that responds with bytes chosen for each request, and leaves its connections open.
struct ScriptedTarget {
    address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl ScriptedTarget {
    fn new(respond: impl Fn(&Arrived) -> String + Send + Sync + 'static) -> ScriptedTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let log = Arc::<Mutex<Vec<String>>>::default();
        let target = ScriptedTarget { address, log: log.clone() };
        let respond = Arc::new(respond);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, log, respond) = (stream.unwrap(), log.clone(), respond.clone());
                std::thread::spawn(move || serve(&stream, &log, &*respond));
            }
        });
        target
    }

    /// A target with the same response to each request.
    fn repeating(response: String) -> ScriptedTarget {
        ScriptedTarget::new(move |_| response.clone())
    }

    /// Number of requests that reached it with this part in their path.
    fn run_count(&self, part: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|path| path.contains(part)).count()
    }
}

/// Serves requests, with a body if they have a length, until the connection is closed.
fn serve(
    mut stream: &TcpStream,
    log: &Mutex<Vec<String>>,
    respond: &dyn Fn(&Arrived) -> String,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    for index in 0.. {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end() {
                "" => break,
                line => head.push(line.to_ascii_lowercase()),
            }
        }
        let field = |name: &str| {
            let prefix = format!("{name}: ");
            head.iter().find_map(|line| line.strip_prefix(&prefix))
        };
        let size = field("content-length").map_or(0, |size| size.parse().unwrap());
        let id = field(REQUEST_ID).or(field("attempt-id")).unwrap_or_default().to_owned();
        let path = head[0].split(' ').nth(1)?.to_owned();
        log.lock().unwrap().push(path.clone());
        let mut body = vec![0; size];
        reader.read_exact(&mut body).ok()?;
        let response = respond(&Arrived { path, id, index });
        stream.write_all(response.as_bytes()).ok()?;
    }
    None
}

/// Header names like those of a platform whose targets sign successes and state what they did not run.
fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    let promising = [408, 421, 429, 503].map(|status| StatusCode::from_u16(status).unwrap());
    Dialect::new()
        .with_request(name("attempt-id"), name("deadline-ms"))
        .with_not_run(name("not-executed"), promising.to_vec())
        .with_signature(name("response-signature"))
        .with_statements(name("server-limit"), name("server-leaving"))
        .with_fractional_retry_after()
}

/// A preset of these gatekeepers, whose `/once` requests run once per attempt without a key.
fn preset_of(gates: &[(&str, SocketAddr)]) -> String {
    preset(r#"{"slots":8}"#, gates)
        .replace(r#""idempotent":false"#, r#""idempotent":false,"once":"attempt""#)
}

/// A node with this target, if it has other header names than the product's.
fn node_of(target: SocketAddr, dialect: Option<Dialect>) -> Node {
    let node = match dialect {
        Some(dialect) => Node::with_dialect("a", target, dialect),
        None => Node::new("a", Some(target)),
    };
    node.configure(1, &preset_of(&[("a", node.gate)]));
    node
}

/// Head fields and bodies that a response may have, without those that identify it.
fn messages() -> Vec<(String, String)> {
    let large = "x".repeat(LARGE_BODY_BYTES);
    let chunked = "transfer-encoding: chunked\r\n".to_owned();
    vec![
        (String::new(), String::new()),
        ("content-length: 0\r\n".into(), String::new()),
        (LENGTH.into(), "whole".into()),
        (chunked.clone(), "5\r\nwhole\r\n0\r\n\r\n".into()),
        ("connection: close\r\n".into(), "whole".into()),
        (format!("content-length: {LARGE_BODY_BYTES}\r\n"), large.clone()),
        (chunked, format!("{LARGE_BODY_BYTES:x}\r\n{large}\r\n0\r\n\r\n")),
    ]
}

/// Requests that may run only once: without and with a body, and with one that nodes stream.
fn once_requests() -> Vec<String> {
    let post = |size: usize| {
        let body = "b".repeat(size);
        format!("POST /once HTTP/1.1\r\nhost: t\r\ncontent-length: {size}\r\n\r\n{body}")
    };
    let head = "HEAD /once HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n".to_owned();
    vec![get("/once"), head, post(10), post(100_000)]
}

/// Asserts that the request ends as one that a target may have run, with nothing of its response.
fn assert_is_unknown(answer: &ClientResponse, context: &str) {
    let seen = (answer.status, answer.outcome(), answer.code(), answer.body.len());
    assert_eq!(seen, (502, "unknown", Some(461), 0), "{context}: {answer:?}");
    assert_eq!(answer.header("x-own"), None, "{context}: {answer:?}");
    assert_eq!(answer.header("response-signature"), None, "{context}: {answer:?}");
}

fn assert_once_is_unknown(line: &str, fields: &str, body: &str, dialect: Option<Dialect>) {
    for interim in ["", INTERIM[0], INTERIM[1]] {
        let (line, fields, body) = (line.to_owned(), fields.to_owned(), body.to_owned());
        let context = format!("{interim:?} {line:?} {fields:?}");
        let target = ScriptedTarget::new(move |arrived| {
            let id = &arrived.id;
            let own = format!("x-own: 1\r\n{REQUEST_ID}: {id}\r\nattempt-id: {id}\r\n");
            format!("{interim}{line}\r\n{own}{fields}\r\n{body}")
        });
        let node = node_of(target.address, dialect.clone());
        for (sent, req) in once_requests().iter().enumerate() {
            assert_is_unknown(&call(node.entry, req), &context);
            assert_eq!(target.run_count("/once"), sent + 1, "{context}");
        }
        let metrics = &node.shared.metrics;
        let stated = (metrics.target_limited.get(), metrics.target_leaving.get());
        assert_eq!(stated, (0, 0), "{context}");
        eventually("no call is open", || node.shared.calls_open() == 0);
    }
}

/// Guards against a status like 000 that reaches the caller of a request that may run only once, that
/// counts as a statement that it has not run, or after which it runs again.
#[test]
fn status_000_of_request_that_runs_once() {
    for line in STATUS_LINES {
        assert_once_is_unknown(line, LENGTH, "whole", None);
    }
    for (fields, body) in messages() {
        assert_once_is_unknown("HTTP/1.1 000 X", &fields, &body, None);
    }
    let stated = "x-sycamore-rate-limit: 0\r\nx-sycamore-leaving: 1\r\n";
    assert_once_is_unknown("HTTP/1.1 000 X", &format!("{stated}{LENGTH}"), "whole", None);
}

/// Guards against a status like 000 that counts as a promise because the target adds the header by
/// which it states that it did not run a request, or as its answer because it is signed.
#[test]
fn status_000_with_headers_of_targets() {
    let stated = "server-limit: 0\r\nserver-leaving: 1\r\n";
    for line in STATUS_LINES {
        for marks in [NOT_EXECUTED, SIGNED, ""] {
            let fields = format!("{marks}{stated}{LENGTH}");
            assert_once_is_unknown(line, &fields, "whole", Some(dialect()));
        }
    }
    for (fields, body) in messages() {
        let fields = format!("{NOT_EXECUTED}{SIGNED}{fields}");
        assert_once_is_unknown("HTTP/1.1 000 X", &fields, &body, Some(dialect()));
    }
}

/// Guards against a second run of a keyed request whose first one ended with status 000, and against a
/// statement that it has not run.
#[test]
fn status_000_of_keyed_request() {
    let target = ScriptedTarget::repeating(format!("HTTP/1.1 000 X\r\n{LENGTH}\r\nwhole"));
    let node = Node::new("a", Some(target.address));
    node.configure(1, &preset("{}", &[("a", node.gate)]));
    let mut key = new_key();
    // A node that has just started knows nothing of keys from before.
    eventually("a request reaches the target", || {
        key = new_key();
        let answer = call(node.entry, &keyed_post("/once", &key, "b"));
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"), "{answer:?}");
        target.run_count("/once") == 1
    });
    for _ in 0..3 {
        let answer = call(node.entry, &keyed_post("/once", &key, "b"));
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"), "{answer:?}");
        assert_eq!(target.run_count("/once"), 1, "{answer:?}");
    }
}

/// Guards against a status like 000 that reaches the caller of a request that may be repeated, although
/// another target could serve it.
#[test]
fn status_000_of_repeatable_request() {
    let mut cases: Vec<(&str, String, String)> =
        STATUS_LINES.iter().map(|line| (*line, LENGTH.to_owned(), "whole".to_owned())).collect();
    cases.extend(messages().into_iter().map(|(fields, body)| ("HTTP/1.1 000 X", fields, body)));
    for (line, fields, body) in cases {
        let context = format!("{line:?} {fields:?}");
        let broken = ScriptedTarget::repeating(format!("{line}\r\n{fields}\r\n{body}"));
        let sound = Target::new();
        let (first, second) = (node_of(broken.address, None), Node::new("b", Some(sound.address)));
        let alone = call(first.entry, &get("/idem"));
        assert_eq!((alone.status, alone.outcome()), (502, "unknown"), "{context}: {alone:?}");
        let gates = preset_of(&[("a", first.gate), ("b", second.gate)]);
        [&first, &second].iter().for_each(|node| node.configure(2, &gates));
        let before = broken.run_count("/idem");
        for _ in 0..MAX_TRIES {
            if broken.run_count("/idem") > before {
                break;
            }
            let answer = call(second.entry, &get("/idem/path"));
            assert_eq!((answer.status, answer.complete), (200, true), "{context}: {answer:?}");
            assert!(answer.text().contains("/idem/path"), "{context}: {answer:?}");
        }
        assert!(broken.run_count("/idem") > before, "{context}: no request reached the target");
    }
}

/// Guards against a status like 000 that reaches the second caller on a connection to a target, and
/// against a first answer, small or streamed, that is lost since such a response follows it.
#[test]
fn status_000_as_second_response() {
    for line in STATUS_LINES {
        let second = format!("{line}\r\n{LENGTH}\r\nother");
        let sent = second.clone();
        let target = ScriptedTarget::new(move |arrived| match arrived.index {
            0 => format!("HTTP/1.1 200 OK\r\n{LENGTH}\r\nwhole"),
            _ => sent.clone(),
        });
        let node = node_of(target.address, None);
        let answer = call(node.entry, &get("/once/first"));
        assert_eq!((answer.status, answer.text().as_str()), (200, "whole"), "{line:?}");
        assert_is_unknown(&call(node.entry, &get("/once/second")), line);
        assert_eq!(target.run_count("/once/second"), 1, "{line:?}");

        // Here it follows the response to the first request at once.
        let target = ScriptedTarget::new(move |arrived| {
            let large = "x".repeat(LARGE_BODY_BYTES);
            let body = if arrived.path.contains("large") { &large } else { &arrived.path };
            let size = body.len();
            let own = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{body}");
            format!("{own}{second}")
        });
        let node = node_of(target.address, None);
        for number in 0..10 {
            let path = format!("/once/{number}");
            let answer = call(node.entry, &get(&path));
            match answer.status {
                200 => assert_eq!((answer.text(), answer.complete), (path, true), "{line:?}"),
                // It crossed the next request on the connection.
                _ => assert_is_unknown(&answer, line),
            }
        }
        let answer = call(node.entry, &get("/idem/last"));
        assert_eq!((answer.status, answer.text().as_str()), (200, "/idem/last"), "{line:?}");
        let answer = call(node.entry, &get("/idem/large"));
        let seen = (answer.status, answer.body.len(), answer.complete);
        assert_eq!(seen, (200, LARGE_BODY_BYTES, true), "{line:?}");
    }
}

/// Guards against a health response with a status like 000 that makes a target warm, cold, limited or
/// leaving.
#[test]
fn status_000_of_health_response() {
    // At the same time, since a health request is repeated only after a while.
    std::thread::scope(|scope| {
        for line in STATUS_LINES {
            scope.spawn(move || assert_health_states_nothing(line));
        }
    });
}

fn assert_health_states_nothing(line: &'static str) {
    let states = "x-sycamore-leaving: 1\r\nx-sycamore-rate-limit: 0\r\n";
    for fields in ["", "x-sycamore-cold-ms: 0\r\n", states] {
        let context = format!("{line:?} {fields:?}");
        let health = format!("{line}\r\n{fields}content-length: 0\r\n\r\n");
        let target = ScriptedTarget::new(move |arrived| match arrived.path.as_str() {
            "/health" => health.clone(),
            _ => format!("HTTP/1.1 200 OK\r\n{LENGTH}\r\nwhole"),
        });
        let node = Node::new("a", Some(target.address));
        // The target is presumed cold until it says otherwise.
        let limits = r#"{"cold_ms":60000,"cold_starts":2,"queue_wait_ms":500,
            "health_path":"/health"}"#;
        node.configure(1, &preset(limits, &[("a", node.gate)]));
        // Each one is asked for after the one before it has failed.
        eventually("the target is asked again", || target.run_count("/health") >= 2);
        let metrics = &node.shared.metrics;
        let stated = (metrics.target_limited.get(), metrics.target_leaving.get());
        assert_eq!(stated, (0, 0), "{context}");
        eventually("a request is rejected as for a cold target", || {
            let answer = call(node.entry, &get("/idem"));
            assert!(answer.outcome() == "answered" || answer.code() == Some(473), "{answer:?}");
            answer.code() == Some(473)
        });
    }
}

/// Guards against a response with a status like 000 at the address of a gatekeeper that reaches a
/// caller, or whose headers are believed.
#[test]
fn status_000_of_gatekeeper() {
    let outcomes = [
        ("answered", ""),
        ("not-run", "x-sycamore-code: 468\r\nx-sycamore-retry-after-ms: 1\r\n"),
        // A listener that has too many connections rejects requests unread.
        ("not-run", "x-sycamore-code: 465\r\nx-sycamore-retry-after-ms: 1\r\n"),
    ];
    for line in STATUS_LINES {
        for (outcome, code) in outcomes {
            let context = format!("{line:?} {outcome} {code:?}");
            let own = format!("x-sycamore-outcome: {outcome}\r\n{code}{LENGTH}");
            let gate = ScriptedTarget::new(move |arrived| {
                let states = "x-sycamore-leaving: 1\r\nx-sycamore-rate-limit: 0\r\n";
                format!("{line}\r\n{REQUEST_ID}: {}\r\n{states}{own}\r\nwhole", arrived.id)
            });
            let node = Node::new("e", None);
            node.configure(1, &preset_of(&[("a", gate.address)]));
            for number in 1..=2 {
                let answer = call(node.entry, &get("/once"));
                let seen = (answer.status, answer.outcome(), answer.body.len());
                assert_eq!(seen, (502, "unknown", 0), "{context}: {answer:?}");
                assert_eq!(gate.run_count("/once"), number, "{context}");
            }
        }
    }
}

/// The outcome of a request that may run only once, whose gatekeeper sends status 000, and a recall of
/// it with this status line; and the number of recalls without an answer.
fn recall_with_status(line: &'static str) -> (String, usize, u64) {
    let not_started = "x-sycamore-recall: not-started\r\nx-sycamore-recall-arrived: 1\r\n";
    let gate = ScriptedTarget::new(move |arrived| match arrived.path.as_str() {
        "/recall" => {
            let id = &arrived.id;
            format!("{line}\r\n{REQUEST_ID}: {id}\r\n{not_started}content-length: 0\r\n\r\n")
        }
        _ => format!("HTTP/1.1 000 X\r\n{LENGTH}\r\nwhole"),
    });
    let entry = Node::with_scheduling("e", None, r#"{"recall":true}"#, Clock::new());
    entry.configure(1, &preset_of(&[("a", gate.address)]));
    let answer = call(entry.entry, &get("/once"));
    assert!([502, 503].contains(&answer.status), "{line:?}: {answer:?}");
    let unanswered = entry.shared.metrics.recalls.with_label_values(&["no-answer"]).get();
    (answer.outcome().to_owned(), gate.run_count("/recall"), unanswered)
}

/// Guards against an answer to a recall with a status like 000 that counts as the statement that a
/// request has not started.
#[test]
fn status_000_of_recall_answer() {
    let (outcome, asked, unanswered) = recall_with_status("HTTP/1.1 200 OK");
    assert_eq!((outcome.as_str(), unanswered), ("not-run", 0), "a valid answer is believed");
    assert!(asked > 0);
    for line in STATUS_LINES {
        let (outcome, asked, unanswered) = recall_with_status(line);
        assert_eq!(outcome, "unknown", "{line:?}");
        assert!(asked > 0 && unanswered > 0, "{line:?}");
    }
}
