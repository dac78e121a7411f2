//! Parked requests over real sockets.

#[path = "support/calls.rs"]
mod support;

use support::*;

/// One slot, which a request holds, and a queue of one.
fn held(parked_requests: u32) -> (Target, Node, std::net::TcpStream) {
    let target = Target::new();
    let node = Node::with_parking("a", target.address, parked_requests);
    let preset = preset(r#"{"slots":1,"queue":1}"#, &[("a", node.gate)]);
    let preset = preset.replace("\"deadline_ms\":", "\"objective_ms\":55000,\"deadline_ms\":");
    node.configure(1, &preset.replace("5000,", "60000,").replace("5000}", "60000}"));
    for _ in 0..10 {
        assert_eq!(call(node.entry, &get("/idem/first")).outcome(), "answered");
    }
    let held = open(node.entry, &get("/idem/hold"));
    eventually("the slot is in use", || target.run_count("hold") == 1);
    (target, node, held)
}

#[test]
fn parked_run_once_and_leave_with_their_caller() {
    // Guards against requests that are refused although they have time to spare, against places that
    // stay after the caller has gone, and against metrics that do not show either.
    let (target, node, held) = held(100);
    let mut parked: Vec<_> = (0..10).map(|_| open(node.entry, &get("/idem/parked"))).collect();
    let metrics = &node.shared.metrics;
    eventually("all are parked", || metrics.parked.get() == 10);
    drop(parked.drain(..4));
    eventually("places of callers that have gone are removed", || metrics.parked.get() == 6);
    assert_eq!(target.run_count("parked"), 0);
    target.release();
    assert_eq!(read(&held).outcome(), "answered");
    for stream in &parked {
        assert_eq!(read(stream).outcome(), "answered");
    }
    assert_eq!(target.run_count("parked"), 6);
    eventually("none is parked", || metrics.parked.get() == 0);
    assert_eq!(metrics.parked_peak.get(), 10);
}

#[test]
fn parked_beyond_the_limit_refused_and_counted() {
    // Guards against a limit that is not kept, and against refusals that an operator can't see.
    let (target, node, held) = held(3);
    let parked: Vec<_> = (0..3).map(|_| open(node.entry, &get("/idem/parked"))).collect();
    let metrics = &node.shared.metrics;
    eventually("three are parked", || metrics.parked.get() == 3);
    let refused = call(node.entry, &get("/idem/refused"));
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.header("retry-after").is_some());
    let full = || metrics.parked_refusals.with_label_values(&["interactive", "full"]).get();
    assert!(full() > 0);
    target.release();
    assert!(parked.iter().chain([&held]).all(|stream| read(stream).outcome() == "answered"));
}
