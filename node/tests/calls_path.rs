//! Calls over real sockets: caller, entry node, gatekeeper, target.

#[path = "support/calls.rs"]
mod support;

use hyper::Response;
use hyper::header::HeaderValue;
use std::io::Write;
use std::time::Duration;
use support::*;
use sycamore_node::calls::headers::{self, ReportedOutcome};

#[test]
fn path_whole() {
    let (target, node) = single_node("{}");
    let response = call(node.entry, &get("/idem/a?b=c"));
    assert_eq!((response.status, response.outcome()), (200, "answered"), "{response:?}");
    assert!(response.text().starts_with("GET /idem/a?b=c HTTP/1.1"), "{}", response.text());
    assert!(response.text().contains("x-sycamore-depth: 1"), "{}", response.text());
    assert!(response.header("x-sycamore-request-id").is_some());
    assert_eq!(target.log().len(), 1);
}

#[test]
fn path_kept_alive() {
    let (target, node) = single_node("{}");
    let mut stream = open(node.entry, "");
    for n in 0..50 {
        stream.write_all(get(&format!("/idem/{n}")).as_bytes()).unwrap();
        assert!(read(&stream).text().starts_with(&format!("GET /idem/{n} ")));
    }
    assert!(target.connections() <= 2, "{} connections", target.connections());
}

#[test]
fn path_streamed() {
    let (_target, node) = single_node("{}");
    let response = call(node.entry, &get("/idem/stream/5000000"));
    assert!(response.complete);
    assert_eq!(response.body.len(), 5_000_000);
}

/// A node on a VM with a link of `mbps` Mbit/s and a target with this many slots. `/idem` is a bulk
/// route.
fn narrow_link_node(target: &Target, mbps: u32, slots: u32) -> Node {
    let limits = format!(r#"{{"link_mbps":{mbps}}}"#);
    let node = Node::with_gate_ip("a", Some(target.address), &limits, "127.0.0.2");
    let limits = format!(r#"{{"slots":{slots},"bulk_share_percent":100}}"#);
    let plain = preset(&limits, &[("a", node.gate)]);
    let bulk = "\"idempotent\":true,\"class\":\"bulk\"";
    let plain = plain.replace("\"idempotent\":true", bulk);
    let quick = r#""quick":{"path_prefix":"/quick","service":"s","idempotent":true},"once""#;
    node.configure(1, &plain.replace("\"once\"", quick));
    node
}

#[test]
fn path_paced_slot_free_before_the_end() {
    // Guards against a slot that stays occupied while a response, already read from the target, is
    // sent over a narrow link.
    let target = Target::new();
    let node = narrow_link_node(&target, 1, 1);
    let large = open(node.entry, &get("/idem/stream/200000"));
    eventually("the target runs the large request", || target.run_count("/idem/stream") == 1);
    let short = call(node.entry, &get("/quick/short"));
    assert_eq!((short.status, short.complete), (200, true), "{}", short.text());
    let mut first = [0; 1];
    let waits = node.shared.calls_open() > 0;
    assert!(waits, "the large response was sent before the short one arrived");
    assert!(large.peek(&mut first).is_ok());
    let response = read(&large);
    assert!(response.complete);
    assert_eq!(response.body.len(), 200_000);
}

#[test]
fn path_paced_trailers_end() {
    // Guards against a paced response with trailers whose end is never detected, so that the caller
    // waits until its deadline.
    let target = Target::new();
    let node = narrow_link_node(&target, 40, 1);
    for _ in 0..2 {
        let response = call(node.entry, &get("/idem/chunks-trailers"));
        assert!(response.complete);
        assert_eq!(response.text(), "whole");
    }
}

#[test]
fn path_chunked_keeps_connection() {
    // Guards against responses without a length that count as incomplete, so that each one closes
    // its connection to the target.
    let (target, node) = single_node("{}");
    for _ in 0..5 {
        let response = call(node.entry, &get("/idem/chunks-whole"));
        assert_eq!((response.complete, response.text()), (true, "whole".to_owned()));
        eventually("the slot is free", || node.shared.metrics.in_flight.get() == 0);
    }
    assert_eq!(target.connections(), 1);
}

#[test]
fn path_paced_whole() {
    // Guards against a paced response that loses or reorders data, or that leaves its connection
    // unusable.
    let target = Target::new();
    let limits = r#"{"link_mbps":40}"#;
    let node = Node::with_gate_ip("a", Some(target.address), limits, "127.0.0.2");
    let plain = preset("{}", &[("a", node.gate)]);
    node.configure(
        1,
        &plain.replace("\"idempotent\":true", "\"idempotent\":true,\"class\":\"bulk\""),
    );
    let (_other, unpaced) = single_node("{}");
    let expected = call(unpaced.entry, &get("/idem/stream/300000"));
    let mut stream = open(node.entry, "");
    for _ in 0..2 {
        stream.write_all(get("/idem/stream/300000").as_bytes()).unwrap();
        let response = read(&stream);
        assert!(response.complete);
        assert!(response.body == expected.body, "{} bytes", response.body.len());
    }
    eventually("the slot is free", || node.shared.metrics.in_flight.get() == 0);
}

#[test]
fn path_not_configured() {
    let node = Node::new("a", None);
    let response = call(node.entry, &get("/idem"));
    assert_eq!((response.status, response.outcome(), response.code()), (503, "not-run", Some(401)));
    assert!(response.header("retry-after").is_some());
}

#[test]
fn path_no_route() {
    let (_target, node) = single_node("{}");
    let response = call(node.entry, &get("/other"));
    assert_eq!((response.status, response.code()), (404, Some(402)));
}

#[test]
fn once_key_resent() {
    // Guards against a signing that runs again when it is resent with the same key after its
    // response was lost; the grower would be billed twice.
    let (target, node) = single_node("{}");
    let key = new_accepted_key(&node);
    let first = call(node.entry, &keyed_post("/once", &key, "ten bales"));
    assert_eq!(first.outcome(), "answered", "{first:?}");
    let second = call(node.entry, &keyed_post("/once", &key, "ten bales"));
    assert_eq!((second.outcome(), second.text()), ("answered", first.text()));
    let other = call(node.entry, &keyed_post("/once", &key, "twelve bales"));
    assert_eq!((other.outcome(), other.code()), ("not-run", Some(466)));
    assert_eq!(target.run_count("bales"), 1);
}

/// A key that the node accepts, created after the node has run for longer than the clock skew.
fn new_accepted_key(node: &Node) -> String {
    let mut key = new_key();
    eventually("the node accepts a key", || {
        key = support::new_key();
        call(node.entry, &keyed_post("/once/probe", &key, "probe")).outcome() == "answered"
    });
    support::new_key()
}

#[test]
fn once_without_key() {
    let (target, node) = single_node("{}");
    let response = call(node.entry, "POST /once HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\n\r\n");
    assert_eq!((response.status, response.code()), (400, Some(405)));
    let response =
        call(node.entry, &keyed_post("/once", "0190b5c0-0000-4000-8000-000000000000", ""));
    assert_eq!(response.code(), Some(405));
    assert_eq!(target.log().len(), 0);
}

#[test]
fn once_caller_gone() {
    // Guards against a second run of a signing whose caller disconnected and asks again with the
    // same key.
    let (target, node) = single_node("{}");
    let key = new_accepted_key(&node);
    let stream = open(node.entry, &keyed_post("/once/hold", &key, "x"));
    eventually("the signing runs", || target.run_count("/once/hold") == 1);
    drop(stream);
    let again = call(node.entry, &keyed_post("/once/hold", &key, "x"));
    assert_eq!((again.outcome(), again.code()), ("unknown", Some(459)));
    target.release();
    eventually("the response is cached", || {
        call(node.entry, &keyed_post("/once/hold", &key, "x")).outcome() == "answered"
    });
    assert_eq!(target.run_count("/once/hold"), 1);
}

#[test]
fn once_target_broke() {
    let (target, node) = single_node("{}");
    let key = new_accepted_key(&node);
    for code in [461, 460, 460] {
        let response = call(node.entry, &keyed_post("/once/break", &key, "x"));
        assert_eq!((response.outcome(), response.code()), ("unknown", Some(code)));
    }
    assert_eq!(target.run_count("/once/break"), 1);
}

/// Guards against a part of a response that is cached, and given to each caller that asks with its key.
#[test]
fn once_response_with_rest() {
    let (target, node) = single_node("{}");
    let key = new_accepted_key(&node);
    for code in [461, 460, 460] {
        let response = call(node.entry, &keyed_post("/once/rest", &key, "x"));
        assert_eq!((response.outcome(), response.code()), ("unknown", Some(code)));
    }
    assert_eq!(target.run_count("/once/rest"), 1);
}

#[test]
fn answer_cut() {
    // Guards against a truncated ledger that is delivered as complete when its target dies.
    let (_target, node) = single_node("{}");
    for _ in 0..20 {
        // Small, with a length: received to its end before its head is sent.
        let response = call(node.entry, &get("/idem/cut"));
        assert_eq!((response.outcome(), response.code()), ("unknown", Some(461)), "{response:?}");
        // If the failure is detected before the head is sent, the caller gets an error instead.
        let response = call(node.entry, &get("/idem/chunks-cut"));
        let reported = (response.outcome(), response.code()) == ("unknown", Some(464));
        assert!(!response.complete || reported, "{response:?}");
    }
}

/// Guards against a success with a short body, and against a request that is turned away because its
/// target, which lives, ends some answers inside their heads.
#[test]
fn answer_head_cut() {
    let (_target, node) = single_node("{}");
    let mut answered = 0;
    for _ in 0..40 {
        let response = call(node.entry, &get("/idem/head-cut"));
        if response.status == 200 {
            assert!(response.complete && response.text().contains("/idem/head-cut"));
            answered += 1;
        } else {
            assert_eq!((response.outcome(), response.code()), ("unknown", Some(461)));
        }
    }
    assert_eq!(answered, 20);
}

#[test]
fn answer_foreign() {
    // Guards against a target's response to another request that reaches this caller.
    let (_target, node) = single_node("{}");
    let response = call(node.entry, &get("/idem/foreign"));
    assert_eq!(
        (response.outcome(), response.code()),
        ("unknown", Some(461)),
        "{}",
        response.text()
    );
}

#[test]
fn verdict_crossed() {
    // The same check at the entry node.
    let id = HeaderValue::from_static("mine");
    let mut response = Response::new(());
    response.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static("answered"));
    assert_eq!(headers::reported_outcome(&response, &id, true), ReportedOutcome::Foreign);
    response.headers_mut().insert(headers::REQUEST_ID, HeaderValue::from_static("other"));
    assert_eq!(headers::reported_outcome(&response, &id, true), ReportedOutcome::Foreign);
    response.headers_mut().insert(headers::REQUEST_ID, id.clone());
    assert_eq!(headers::reported_outcome(&response, &id, true), ReportedOutcome::Answered);
}

#[test]
fn cancel_caller_gone() {
    let (target, node) = single_node("{}");
    let stream = open(node.entry, &get("/idem/hold"));
    eventually("the request runs", || target.run_count("/idem/hold") == 1);
    drop(stream);
    eventually("the target sees the cancellation", || target.cancelled() == 1);
    eventually("the call is closed", || node.shared.calls_open() == 0);
}

#[test]
fn cancel_deadline() {
    let (target, node) = single_node("{}");
    let raw = "GET /idem/hold HTTP/1.1\r\nhost: t\r\nx-sycamore-deadline-ms: 100\r\n\r\n";
    let response = call(node.entry, raw);
    assert_eq!((response.outcome(), response.code()), ("unknown", Some(406)), "{response:?}");
    eventually("the target sees the cancellation", || target.cancelled() == 1);
}

#[test]
fn queue_cancelled() {
    // Guards against running a queued request whose caller has disconnected.
    let (target, node) = single_node(r#"{"slots":1,"queue_wait_ms":20000}"#);
    let first = open(node.entry, &get("/idem/hold/first"));
    eventually("the slot is taken", || target.run_count("first") == 1);
    let second = open(node.entry, &get("/idem/second"));
    eventually("the second request is queued", || node.shared.metrics.queued.get() == 1);
    drop(second);
    eventually("the second request is withdrawn", || node.shared.metrics.queued.get() == 0);
    target.release();
    assert_eq!(read(&first).outcome(), "answered");
    assert_eq!(call(node.entry, &get("/idem/third")).outcome(), "answered");
    assert_eq!(target.run_count("second"), 0);
}

#[test]
fn queue_full() {
    let (target, node) = single_node(r#"{"slots":1,"queue":0}"#);
    let first = open(node.entry, &get("/idem/hold/first"));
    eventually("the slot is taken", || target.run_count("first") == 1);
    let response = call(node.entry, &get("/idem/second"));
    assert_eq!((response.status, response.outcome(), response.code()), (503, "not-run", Some(451)));
    assert!(response.header("x-sycamore-retry-after-ms").is_some());
    target.release();
    assert_eq!(read(&first).outcome(), "answered");
    assert_eq!(target.run_count("second"), 0);
}

#[test]
fn slots_exact() {
    // Guards against slots that are freed before the target has noticed a cancellation: the target
    // would run more requests than it has slots.
    let (target, node) = single_node(r#"{"slots":2,"connections":8,"queue_wait_ms":20000}"#);
    let entry = node.entry;
    let callers: Vec<_> = (0..8)
        .map(|n| {
            std::thread::spawn(move || {
                for round in 0..10 {
                    let raw = get(&format!("/idem/hold/{n}/{round}"));
                    let stream = open(entry, &raw);
                    std::thread::sleep(Duration::from_millis(20));
                    drop(stream);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    eventually("all calls are closed", || node.shared.calls_open() == 0);
    assert!(target.cancelled() > 0);
    assert!(target.max_running() <= 2, "{} concurrent requests", target.max_running());
}
