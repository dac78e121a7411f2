//! Hedged requests over loopback sockets: a second attempt in parallel with a slow one.

#[path = "support/calls.rs"]
mod support;

use support::*;

/// Nodes for these targets; the first node has collected response times.
fn nodes_with_response_times(targets: &[Target]) -> Vec<Node> {
    let vms = ["a", "b", "c"];
    let node = |(vm, target): (&&str, &Target)| Node::new(vm, Some(target.address));
    let nodes: Vec<Node> = vms.iter().zip(targets).map(node).collect();
    let listed: Vec<_> = vms.iter().copied().zip(nodes.iter().map(|node| node.gate)).collect();
    let preset = preset(r#"{"retry_budget_percent":100}"#, &listed);
    nodes.iter().for_each(|node| node.configure(1, &preset));
    for _ in 0..100 {
        assert_eq!(call(nodes[0].entry, &get("/idem")).outcome(), "answered");
    }
    nodes
}

/// Guards against callers that wait for a target which accepted a request and never responds.
#[test]
fn hedge_past_silent_target() {
    let targets = [Target::new(), Target::new(), Target::new()];
    let nodes = nodes_with_response_times(&targets);
    targets[1..].iter().for_each(Target::release);
    for _ in 0..10 {
        assert_eq!(call(nodes[0].entry, &get("/idem/hold")).outcome(), "answered");
    }
    let cancelled = targets[0].run_count("/idem/hold");
    eventually("the slower attempts are cancelled", || targets[0].cancelled() == cancelled);
}

/// Guards against an error response that is replaced by a timeout because the other attempt passes
/// the deadline.
#[test]
fn hedge_failure_beside_silence() {
    let targets = [Target::new(), Target::new()];
    let nodes = nodes_with_response_times(&targets);
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| call(nodes[0].entry, &get("/idem/hold/fail")));
        eventually("both targets run the request", || {
            targets.iter().all(|target| target.run_count("/hold/fail") == 1)
        });
        targets[0].release();
        caller.join().unwrap()
    });
    assert_eq!((response.status, response.text().as_str()), (500, "failed"));
    targets[1].release();
}
