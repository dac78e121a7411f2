//! Malformed and excessive input from callers: it must yield a result code within bounded memory
//! and time, without a panic.

#[path = "support/calls.rs"]
mod support;

use std::io::{Read, Write};
use support::*;

/// Checks that `raw` is rejected with this status and code, and that the node still serves.
fn assert_rejected(raw: &str, status: u16, code: u16) {
    let (target, node) = single_node("{}");
    let response = call(node.entry, raw);
    let found = (response.status, response.code(), response.outcome());
    assert_eq!(found, (status, Some(code), "not-run"), "{raw:.100}: {response:?}");
    assert_eq!(call(node.entry, &get("/idem")).status, 200);
    assert_eq!(target.log().len(), 1);
}

#[test]
fn input_rubbish() {
    assert_rejected("\x01\x02 rubbish\r\n\r\n", 400, 403);
}

#[test]
fn input_header_malformed() {
    assert_rejected("GET /idem HTTP/1.1\r\nhost test\r\n\r\n", 400, 403);
}

#[test]
fn input_head_oversize() {
    let long = "x".repeat(70_000);
    assert_rejected(&format!("GET /idem HTTP/1.1\r\nhost: t\r\nx-long: {long}\r\n\r\n"), 431, 404);
}

#[test]
fn input_headers_too_many() {
    let many: String = (0..200).map(|n| format!("x-{n}: 1\r\n")).collect();
    assert_rejected(&format!("GET /idem HTTP/1.1\r\nhost: t\r\n{many}\r\n"), 431, 404);
}

#[test]
fn input_body_oversize() {
    let head = "POST /idem HTTP/1.1\r\nhost: t\r\ncontent-length: 200001\r\n\r\n";
    assert_rejected(head, 413, 404);
}

#[test]
fn input_body_oversize_chunked() {
    // The size is known only while the body is streamed, so the connection is closed.
    let (target, node) = single_node("{}");
    let head = "POST /idem HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = open(node.entry, head);
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    for _ in 0..20 {
        if stream.write_all(chunk.as_bytes()).is_err() {
            break;
        }
    }
    assert_ne!(read(&stream).outcome(), "answered");
    assert_eq!(target.run_count(&"x".repeat(200_001)), 0);
    assert_eq!(call(node.entry, &get("/idem")).status, 200);
}

#[test]
fn input_signing_oversize() {
    let (target, node) = single_node("{}");
    let response = call(node.entry, &keyed_post("/once", &new_key(), &"x".repeat(70_000)));
    assert_eq!((response.status, response.code()), (413, Some(404)));
    assert_eq!(target.log().len(), 0);
}

#[test]
fn input_length_twice() {
    // Guards against request smuggling through two different lengths.
    assert_rejected(
        "POST /idem HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
        400,
        403,
    );
}

#[test]
fn input_length_twice_alike() {
    assert_rejected(
        "POST /idem HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx",
        400,
        403,
    );
}

#[test]
fn input_length_and_coding() {
    for head in [
        "content-length: 1\r\ntransfer-encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 1",
    ] {
        assert_rejected(
            &format!("POST /idem HTTP/1.1\r\n{head}\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
            400,
            403,
        );
    }
}

#[test]
fn input_header_twice() {
    for header in ["idempotency-key", "x-sycamore-deadline-ms", "x-sycamore-request-id", "host"] {
        let value = if header == "idempotency-key" { new_key() } else { "7".into() };
        let twice = format!("{header}: {value}\r\n{header}: {value}\r\n");
        assert_rejected(&format!("GET /idem HTTP/1.1\r\n{twice}\r\n"), 400, 403);
    }
}

#[test]
fn input_deadline_not_a_number() {
    for value in ["-1", "+5", "1.5", "", "soon", "99999999999999999999999"] {
        let raw = format!("GET /idem HTTP/1.1\r\nx-sycamore-deadline-ms: {value}\r\n\r\n");
        assert_rejected(&raw, 400, 403);
    }
}

#[test]
fn input_without_host() {
    assert_rejected("GET /idem HTTP/1.1\r\n\r\n", 400, 403);
}

#[test]
fn input_too_deep() {
    assert_rejected("GET /idem HTTP/1.1\r\nhost: test\r\nx-sycamore-depth: 16\r\n\r\n", 400, 408);
}

#[test]
fn input_connect_and_upgrade() {
    assert_rejected("CONNECT host:1 HTTP/1.1\r\nhost: t\r\n\r\n", 400, 403);
    assert_rejected("GET /idem HTTP/1.1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n", 400, 403);
}

#[test]
fn input_headers_of_the_path_named_in_connection() {
    // Guards against a caller that lists the key in `connection` so that a proxy removes it; the
    // signing would then run without its key.
    let (target, node) = single_node("{}");
    let raw =
        "GET /idem HTTP/1.1\r\nhost: test\r\nconnection: idempotency-key, x-drop\r\nx-drop: 1\r\n";
    let raw = format!("{raw}idempotency-key: {}\r\n\r\n", new_key());
    let response = call(node.entry, &raw);
    assert!(response.text().contains("idempotency-key"), "{}", response.text());
    assert!(!response.text().contains("x-drop"), "{}", response.text());
    assert_eq!(target.log().len(), 1);
}

#[test]
fn input_outcome_not_from_target() {
    // Internal headers sent by a caller are ignored.
    let (_target, node) = single_node("{}");
    let raw = "GET /idem HTTP/1.1\r\nhost: test\r\nx-sycamore-crashes: 9\r\n\r\n";
    assert_eq!(call(node.entry, raw).outcome(), "answered");
}

#[test]
fn limits_head_timeout() {
    // Guards against clients that exhaust the connections by never completing a head.
    let node = Node::with_limits("a", None, r#"{"head_timeout_ms":100}"#);
    let mut stream = open(node.entry, "GET /idem HTT");
    let mut buf = [0; 10];
    assert_eq!(stream.read(&mut buf).unwrap(), 0);
}

#[test]
fn limits_body_timeout() {
    let limits = r#"{"idle_body_timeout_ms":100}"#;
    let target = Target::new();
    let node = Node::with_limits("a", Some(target.address), limits);
    node.configure(1, &preset("{}", &[("a", node.gate)]));
    let head = "POST /idem HTTP/1.1\r\nhost: t\r\ncontent-length: 10\r\n\r\nhalf";
    let response = call(node.entry, head);
    assert_eq!((response.outcome(), response.code()), ("not-run", Some(406)));
    assert_eq!(target.log().len(), 0);
}

#[test]
fn limits_slow_reader() {
    // Guards against a caller that stops reading a ledger and thereby holds a slot of the target.
    let limits = r#"{"idle_body_timeout_ms":200}"#;
    let target = Target::new();
    let node = Node::with_limits("a", Some(target.address), limits);
    node.configure(1, &preset(r#"{"slots":1}"#, &[("a", node.gate)]));
    let stream = open(node.entry, &get("/idem/stream/50000000"));
    eventually("the target runs the ledger request", || target.log().len() == 1);
    eventually("the slot is free again", || call(node.entry, &get("/idem")).status == 200);
    assert!(!read(&stream).complete);
}

#[test]
fn limits_connections() {
    let node = Node::with_limits("a", None, r#"{"max_connections":2}"#);
    let _first = open(node.entry, "");
    let _second = open(node.entry, "");
    eventually("a third connection is rejected", || {
        let response = read(&open(node.entry, ""));
        (response.outcome(), response.code()) == ("not-run", Some(465))
    });
    assert!(node.shared.metrics.connections_refused.get() > 0);
}

/// Guards against requests to a host with a port that take the route of another port.
#[test]
fn input_host_with_port() {
    for (stated, expected) in
        [("Read.example:8080", "read.example:8080"), ("read.example", "read.example")]
    {
        let req = hyper::Request::get("/").header("host", stated).body(()).unwrap();
        assert_eq!(sycamore_node::calls::headers::host(&req), expected);
    }
}
