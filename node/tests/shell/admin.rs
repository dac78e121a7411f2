//! Admin endpoints of a real process.

use crate::process::{NodeProcess, settings};
use std::io::Write;

/// Exceeds the connection limit of the admin server.
const CLIENTS_OVER_LIMIT: usize = 40;

#[test]
fn status_before_configuration() {
    let node = NodeProcess::start(&settings());
    let status = node.json("/status");
    assert_eq!(status["vm"], "vm-1");
    assert!(status["in_force"].is_null(), "{status}");
    assert_eq!(status["ready"], false);
    let (head, _) = node.request("GET", "/ready");
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
}

#[test]
fn events_from_the_start() {
    let node = NodeProcess::start(&settings());
    let events = node.json("/events");
    assert_eq!(events["events"][0]["kind"], "started");
    assert_eq!(events["events"][0]["at"], events["started"]);
}

#[test]
fn metrics_in_prometheus_text() {
    let node = NodeProcess::start(&settings());
    let (head, body) = node.request("GET", "/metrics");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert!(body.contains("\nsycamore_version_in_force 0\n"), "{body}");
    assert!(body.contains("sycamore_events_total{kind=\"started\"} 1\n"), "{body}");
    // Event kinds start at zero, so that alerts on an increase detect the first event.
    assert!(body.contains("sycamore_events_total{kind=\"clock-gap\"} 0\n"), "{body}");
}

#[test]
fn path_unknown() {
    let node = NodeProcess::start(&settings());
    let (head, body) = node.request("GET", "/nothing");
    assert!(head.starts_with("HTTP/1.1 404"), "{head}");
    assert!(body.contains("/status"), "response does not list the supported paths: {body}");
}

#[test]
fn method_wrong() {
    let node = NodeProcess::start(&settings());
    for (method, path) in [("GET", "/drain"), ("POST", "/status")] {
        let (head, _) = node.request(method, path);
        assert!(head.starts_with("HTTP/1.1 405"), "{method} {path}: {head}");
    }
    assert_eq!(node.json("/status")["draining"], false);
}

#[test]
fn invalid_request_rejected() {
    let node = NodeProcess::start(&settings());
    let response = node.send(b"\x16\x03\x01\x00\xff rubbish\r\n\r\n");
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 400"), "{response}");
    assert_eq!(node.json("/status")["vm"], "vm-1");
}

#[test]
fn head_too_large() {
    let node = NodeProcess::start(&settings());
    let mut request = b"GET /status HTTP/1.1\r\nx-large: ".to_vec();
    request.resize(64 * 1024, b'a');
    request.extend(b"\r\n\r\n");
    let response = node.send(&request);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
    assert_eq!(node.json("/status")["vm"], "vm-1");
}

#[test]
fn body_ignored() {
    // Guards against an endpoint that reads an unbounded body into memory.
    let node = NodeProcess::start(&settings());
    let head = "GET /status HTTP/1.1\r\nhost: node\r\ncontent-length: 999999999\r\n\r\nbegin";
    let response = node.send(head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[test]
fn idle_clients_over_the_connection_limit() {
    // Guards against idle or incomplete requests occupying all connections of the admin server.
    let node = NodeProcess::start(&settings());
    let mut idle_clients: Vec<_> = (0..CLIENTS_OVER_LIMIT).map(|_| node.connect()).collect();
    for stream in idle_clients.iter_mut().step_by(2) {
        stream.write_all(b"GET /status HTTP/1.1\r\nhost:").unwrap();
    }
    assert_eq!(node.json("/status")["vm"], "vm-1");
    drop(idle_clients);
}

#[test]
fn connection_closed_after_one_request() {
    // Guards against idle keep-alive connections occupying all connections of the admin server.
    let node = NodeProcess::start(&settings());
    let response = node.send(b"GET /ready HTTP/1.1\r\nhost: node\r\n\r\n");
    assert!(response.to_ascii_lowercase().contains("connection: close"), "{response}");
}
