//! Targets in trouble whose responses are no valid HTTP/1.1 messages.

#[path = "support/calls.rs"]
mod support;

use hyper::header::HeaderName;
use rustix::net::sockopt;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::*;
use sycamore_node::calls::dialect::Dialect;

/// Time for what a target has sent to be forwarded.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Requests after which one of two targets must have had one.
const MAX_TRIES: usize = 100;

/// The end of a response, which a target sends at once and which a node receives in a single read.
const LAST_BYTES: usize = 2_000;

/// A target that sends the same bytes in place of each response.
struct RawTarget {
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl RawTarget {
    /// A target that leaves its connections open.
    fn new(response: &str) -> RawTarget {
        RawTarget::start(response, |stream| {
            let _ = stream.read(&mut [0]);
        })
    }

    /// A target that closes the connection after the response.
    fn closing(response: &str) -> RawTarget {
        RawTarget::start(response, |_| {})
    }

    /// A target that resets the connection after the response has arrived.
    fn resetting(response: &str) -> RawTarget {
        RawTarget::start(response, |stream| {
            std::thread::sleep(ARRIVAL_TIME);
            sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
        })
    }

    fn start(response: &str, end: fn(&mut TcpStream)) -> RawTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (runs, closed): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
        let target = RawTarget { address, runs: runs.clone(), closed: closed.clone() };
        let response = response.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (runs, closed, response) = (runs.clone(), closed.clone(), response.clone());
                std::thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    if read_request(&stream).is_some() {
                        runs.fetch_add(1, Ordering::SeqCst);
                        let split = response.len().saturating_sub(LAST_BYTES);
                        if split > 0 {
                            let _ = stream.write_all(&response.as_bytes()[..split]);
                            std::thread::sleep(ARRIVAL_TIME);
                        }
                        let _ = stream.write_all(&response.as_bytes()[split..]);
                        end(&mut stream);
                        closed.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        });
        target
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst) == self.runs()
    }
}

/// Reads a head without a body. Returns `None` if the connection was closed without one.
fn read_request(stream: &TcpStream) -> Option<()> {
    let mut lines = BufReader::new(stream).lines();
    while !lines.next()?.ok()?.is_empty() {}
    Some(())
}

/// Puts a version into force in which these nodes' targets are of one service, and `/once` routes to
/// requests that run at most once without a key.
fn configure(nodes: &[&Node]) {
    let targets: Vec<_> =
        nodes.iter().map(|node| (node.shared.settings.vm.as_str(), node.gate)).collect();
    let preset = preset(r#"{"slots":4}"#, &targets);
    let once = r#""idempotent":false,"once":"attempt""#;
    let preset = preset.replace(r#""idempotent":false"#, once);
    nodes.iter().for_each(|node| node.configure(1, &preset));
}

/// Asserts that callers never get this response, and that their requests end as ones that a target
/// may have run: unknown if they may run only once, repeated elsewhere if they may be repeated.
fn assert_is_lost(response: &str) {
    let (broken, sound) = (RawTarget::new(response), Target::new());
    let broken_node = Node::new("a", Some(broken.address));
    configure(&[&broken_node]);
    let once = call(broken_node.entry, &get("/once"));
    let seen = (once.status, once.outcome(), once.code(), once.body.len());
    assert_eq!(seen, (502, "unknown", Some(461), 0), "{response:?}: {once:?}");
    assert_eq!(broken.runs(), 1, "{response:?}");
    eventually("the target's connection is closed", || broken.is_closed());
    let sound_node = Node::new("b", Some(sound.address));
    configure(&[&broken_node, &sound_node]);
    for _ in 0..MAX_TRIES {
        if broken.runs() > 1 {
            break;
        }
        let answer = call(sound_node.entry, &get("/idem/path"));
        assert_eq!((answer.status, answer.complete), (200, true), "{response:?}: {answer:?}");
        assert!(answer.text().contains("/idem/path"), "{response:?}: {answer:?}");
    }
    assert!(broken.runs() > 1, "{response:?}: no request that may be repeated reached the target");
    eventually("no call is open", || broken_node.shared.calls_open() == 0);
}

fn response(status_line: &str, fields: &str, body: &str) -> String {
    format!("{status_line}\r\n{fields}\r\n{body}")
}

fn ok(fields: &str, body: &str) -> String {
    response("HTTP/1.1 200 OK", fields, body)
}

/// Guards against a head whose length contradicts itself or is no length, and that is forwarded as a
/// complete response with another body than the target's.
#[test]
fn broken_length_is_lost() {
    let chunks = "5\r\nwhole\r\n0\r\n\r\n";
    for coding in ["chunkxd", "gzip, chunked", "chunked, chunked", "identity", "chunked;q=1", ""] {
        assert_is_lost(&ok(&format!("transfer-encoding: {coding}\r\n"), chunks));
    }
    let chunked = "transfer-encoding: chunked\r\n";
    assert_is_lost(&ok(&format!("{chunked}{chunked}"), chunks));
    assert_is_lost(&ok(&format!("{chunked}content-length: 2\r\n"), chunks));
    assert_is_lost(&response("HTTP/1.0 200 OK", chunked, chunks));
    let length = "content-length: 5\r\n";
    assert_is_lost(&ok("content-length: 5, 5\r\n", "whole"));
    assert_is_lost(&ok(&format!("{length}{length}"), "whole"));
    assert_is_lost(&response("HTTP/1.1 204 No Content", length, ""));
}

/// Guards against a head that is no HTTP and that is forwarded: lines that are no field, names with a blank
/// or a control byte, lengths that are no number.
#[test]
fn malformed_head_is_lost() {
    let lines = [
        "no field at all",
        "@@@@",
        ": empty",
        "X Y: 1",
        "X : 1",
        "X\t: 1",
        "X\0: 1",
        "\x01\x02: y",
        "X-\x7f: 1",
        "X-\u{e9}: 1",
        "X: a\0b",
        "X: a\x1bb",
        "X: a\rb",
        "content-length 5",
        "content-length : 5",
        "content-l\x01ngth: 5",
    ];
    for line in lines {
        assert_is_lost(&ok(&format!("{line}\r\ncontent-length: 5\r\n"), "whole"));
        assert_is_lost(&ok(&format!("content-length: 5\r\n{line}\r\n"), "whole"));
    }
    for length in
        ["5x", "+5", "-5", "", "0x5", "5 5", "5\0", "18446744073709551621", "4, 5", "\r\n 5"]
    {
        assert_is_lost(&ok(&format!("content-length: {length}\r\n"), "whole"));
    }
    assert_is_lost(&ok("content-length: 4\r\ncontent-length: 5\r\n", "whole"));
}

/// Guards against a status line that is none and that is forwarded, 000 among them.
#[test]
fn malformed_status_line_is_lost() {
    let lines = [
        "HTTP/1.1 000 X",
        "HTTP/1.1 000",
        "HTTP/1.1 099 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 199 X",
        "HTTP/1.1",
        "HTTP/1.1 OK",
        "HTTP/2.0 200 X",
        "HTTP/1.2 200 X",
        "ICY 200 X",
        "HTTP/1.1 200 \x01X",
    ];
    for line in lines {
        assert_is_lost(&response(line, "content-length: 5\r\n", "whole"));
    }
}

/// Guards against a response of another process at the address of a gatekeeper, and against a broken one
/// of the gatekeeper.
#[test]
fn broken_gatekeeper_response_is_lost() {
    let node = Node::new("a", None);
    let own = "x-sycamore-request-id: mine\r\nx-sycamore-outcome: answered\r\n";
    let length = "content-length: 5\r\n";
    for (status, fields) in [
        ("200 OK", "transfer-encoding: chunkxd\r\n".to_owned()),
        ("200 OK", "content-length: 4\r\n".to_owned()),
        ("200 OK", String::new()),
        ("101 X", length.to_owned()),
        ("999 X", length.to_owned()),
    ] {
        let gate = RawTarget::new(&response(
            &format!("HTTP/1.1 {status}"),
            &format!("{own}{fields}"),
            "whole",
        ));
        let preset = preset("{}", &[("b", gate.address)]);
        node.configure(
            1,
            &preset.replace(r#""idempotent":false"#, r#""idempotent":false,"once":"attempt""#),
        );
        let req = get("/once").replace("\r\n\r\n", "\r\nx-sycamore-request-id: mine\r\n\r\n");
        let answer = call(node.entry, &req);
        assert!(answer.status == 502 || !answer.complete, "{status} {fields}: {answer:?}");
        assert_eq!(gate.runs(), 1, "{status} {fields}");
    }
}

/// Guards against a final status that the protocol does not have, or that a node did not ask for,
/// and that is forwarded.
#[test]
fn broken_status_is_lost() {
    for status in [101, 600, 999] {
        let line = format!("HTTP/1.1 {status} X");
        assert_is_lost(&response(&line, "content-length: 5\r\n", "whole"));
    }
}

/// Guards against a body that is cut, or that holds what belongs to its coding, and that is forwarded as
/// complete because the field with its length was lost.
#[test]
fn broken_length_name_is_lost() {
    let fields = [
        "content-lexgth: 10\r\n",
        "transfer-encodxng: chunked\r\n",
        "",
        "connection: keep-alive\r\n",
        "keep-alive: timeout=10\r\n",
    ];
    for fields in fields {
        assert_is_lost(&ok(fields, "5\r\nwhole\r\n0\r\n\r\n"));
    }
    assert_is_lost(&response("HTTP/1.0 200 OK", "connection: keep-alive\r\n", "whole"));
}

/// Guards against a body that is reset, and that looks complete to its caller because the node forwards
/// it without a length as HTTP/1.0.
#[test]
fn reset_body_of_http_10_is_cut() {
    let target = RawTarget::resetting(&response("HTTP/1.0 200 OK", "", "half"));
    let node = Node::new("a", Some(target.address));
    configure(&[&node]);
    for _ in 0..5 {
        let answer = call(node.entry, &get("/idem"));
        assert!(answer.status == 502 || !answer.complete, "{answer:?}");
    }
}

/// Guards against a success without the header that makes it the target's, since the name of that header is
/// spoilt, and that is forwarded. A failure has none.
#[test]
fn unsigned_success_is_lost() {
    let length = "content-length: 5\r\n";
    for (status, signature, expected) in [
        ("200 OK", "x-signature: 7\r\n", 200),
        ("200 OK", "x-signaturf: 7\r\n", 502),
        ("500 X", "", 500),
    ] {
        let sent =
            response(&format!("HTTP/1.1 {status}"), &format!("{signature}{length}"), "whole");
        let target = RawTarget::new(&sent);
        let dialect = Dialect::new().with_signature(HeaderName::from_static("x-signature"));
        let node = Node::with_dialect("a", target.address, dialect);
        configure(&[&node]);
        let answer = call(node.entry, &get("/once"));
        assert_eq!((answer.status, answer.complete), (expected, true), "{sent:?}: {answer:?}");
    }
}

/// Guards against a request that is turned away as one that crashes its target because the target, which
/// lives, sent responses to it that are no HTTP, that are cut, or that have another id.
#[test]
fn broken_responses_blame_no_request() {
    let sent = [
        "ICY 200 OK\r\n\r\n",
        "HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 X\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\nx-sycamore-request-id: other\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole",
    ];
    for sent in sent {
        let target = RawTarget::closing(sent);
        let node = Node::new("a", Some(target.address));
        configure(&[&node]);
        for _ in 0..10 {
            let answer = call(node.entry, &get("/once"));
            assert_eq!((answer.status, answer.code()), (502, Some(461)), "{sent:?}: {answer:?}");
        }
        assert_eq!(target.runs(), 10);
    }
}

/// Guards against a body with too small a length that is forwarded as complete, although the rest of
/// it has arrived behind it.
#[test]
fn trailing_bytes_are_lost() {
    for (status, fields) in [
        ("200 OK", "content-length: 5\r\n"),
        ("200 OK", "content-length: 5\r\nconnection: close\r\n"),
        ("200 OK", "content-length: 0\r\n"),
        ("304 Not Modified", "content-length: 10\r\n"),
        ("204 No Content", ""),
    ] {
        assert_is_lost(&response(&format!("HTTP/1.1 {status}"), fields, "wholeother"));
    }
}

/// Guards against a body with too small a length that looks complete to its caller although its head
/// was forwarded before its end had arrived.
#[test]
fn trailing_bytes_cut_streamed_body() {
    let large = "x".repeat(100_000);
    let chunks = "5\r\nwhole\r\n0\r\n\r\nother";
    for sent in [
        ok("content-length: 99000\r\n", &large),
        ok("content-length: 99000\r\nconnection: close\r\n", &large),
        ok("transfer-encoding: chunked\r\n", chunks),
    ] {
        let target = RawTarget::new(&sent);
        let node = Node::new("a", Some(target.address));
        configure(&[&node]);
        for _ in 0..5 {
            let answer = call(node.entry, &get("/idem"));
            assert!(answer.status == 502 || !answer.complete, "{} bytes", answer.body.len());
        }
        eventually("no call is open", || node.shared.calls_open() == 0);
    }
}

/// Guards against responses of sound targets that are taken for broken ones.
#[test]
fn unusual_response_is_forwarded() {
    let length = "content-length: 5\r\n";
    let responses = [
        (response("HTTP/1.1 204 No Content", "", ""), 204, ""),
        (response("HTTP/1.1 204 No Content", "content-length: 0\r\n", ""), 204, ""),
        (response("HTTP/1.1 304 Not Modified", length, ""), 304, ""),
        (response("HTTP/1.0 200 OK", length, "whole"), 200, "whole"),
        (response("HTTP/1.1 599", length, "whole"), 599, "whole"),
        (ok("Transfer-Encoding: Chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"), 200, "whole"),
    ];
    for (sent, status, body) in responses {
        assert_is_forwarded(&RawTarget::new(&sent), status, body);
    }
    let whole = ok(length, "whole");
    for trailing in [&whole[..3], &whole, "\r\n", "\r\nHTTP/1.1 "] {
        assert_is_forwarded(&RawTarget::new(&format!("{whole}{trailing}")), 200, "whole");
    }
    for sent in [ok("connection: x, Close\r\n", "whole"), response("HTTP/1.0 200 OK", "", "whole")]
    {
        assert_is_forwarded(&RawTarget::closing(&sent), 200, "whole");
    }
}

/// Guards against a response to a HEAD request that counts as broken since it states no length.
#[test]
fn head_response_without_length_is_forwarded() {
    let target = RawTarget::new(&ok("etag: 7\r\n", ""));
    let node = Node::new("a", Some(target.address));
    configure(&[&node]);
    let answer = call(node.entry, "HEAD /once HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n");
    assert_eq!((answer.status, answer.header("etag")), (200, Some("7")), "{answer:?}");
}

fn assert_is_forwarded(target: &RawTarget, status: u16, body: &str) {
    let node = Node::new("a", Some(target.address));
    configure(&[&node]);
    let answer = call(node.entry, &get("/once"));
    let seen = (answer.status, answer.outcome(), answer.text(), answer.complete);
    assert_eq!(seen, (status, "answered", body.to_owned(), true), "{answer:?}");
}
