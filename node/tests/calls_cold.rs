//! Cold targets over loopback sockets.

#[path = "support/calls.rs"]
mod support;

use std::net::TcpListener;
use support::*;
use sycamore_core::event::{ColdEvidence, EventKind};

/// A node whose target is presumed cold for a minute and asked for its state at this path.
fn node_with_health_path(path: &str) -> (Target, Node) {
    single_node(&format!(
        r#"{{"cold_ms":60000,"cold_starts":2,"queue_wait_ms":500,"health_path":"{path}"}}"#
    ))
}

/// Guards against a restarted node that limits a warm target for the whole cold time.
#[test]
fn probe_warm_target() {
    let (target, node) = node_with_health_path("/health");
    eventually("the target is asked", || target.run_count("/health") == 1);
    eventually("requests are not limited", || {
        (0..5).all(|_| call(node.entry, &get("/idem")).outcome() == "answered")
    });
    assert_eq!(target.run_count("/health"), 1);
}

#[test]
fn probe_cold_target() {
    let (target, node) = node_with_health_path("/health-cold");
    eventually("the target is asked", || target.run_count("/health-cold") == 1);
    eventually("a request is rejected", || {
        let response = call(node.entry, &get("/idem"));
        assert!(response.outcome() == "answered" || response.code() == Some(473));
        response.code() == Some(473)
    });
    assert_eq!(target.run_count("/health-cold"), 1);
}

/// Guards against a limit that the events and metrics of a node don't show.
#[test]
fn cold_target_recorded() {
    let (target, node) = node_with_health_path("/health-cold");
    let seen = || {
        let events = node.shared.events().0;
        let cold = events.iter().filter(|event| event.kind == EventKind::TargetCold);
        cold.map(|event| (event.evidence, event.left_ms.is_some())).collect::<Vec<_>>()
    };
    eventually("the target is asked", || target.run_count("/health-cold") == 1);
    let expected = [ColdEvidence::GatekeeperStarted, ColdEvidence::Health];
    eventually("both reasons are recorded", || seen() == expected.map(|why| (Some(why), true)));
    call(node.entry, &get("/idem"));
    assert_eq!(node.shared.metrics.target_cold.get(), 1);
    assert_eq!(node.shared.metrics.cold_starts.get(), 1);
}

/// Guards against a node that holds requests to a target which is not there: it starts later than the
/// node, and an earlier process of the node has sent it nothing.
#[test]
fn probe_refused() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let node = Node::new("a", Some(closed));
    let limits = r#"{"cold_ms":60000,"cold_starts":2,"health_path":"/health"}"#;
    node.configure(1, &preset(limits, &[("a", node.gate)]));
    eventually("the target counts as lost", || {
        node.shared.events().0.iter().any(|event| event.kind == EventKind::TargetLost)
    });
}
