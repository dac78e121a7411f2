//! Draining over real sockets: running requests complete, and new ones are rejected.

#[path = "support/calls.rs"]
mod support;

use std::io::Write;
use support::*;

#[test]
fn drain_in_flight() {
    // Guards against a drain that truncates a response in flight, or that does not reject a new
    // request as not run.
    let (target, node) = single_node("{}");
    let stream = open(node.entry, &get("/idem/stream/20000000"));
    let held = open(node.entry, &get("/idem/hold"));
    eventually("both requests run", || target.log().len() == 2);
    node.shared.start_draining();
    let rejected = call(node.entry, &get("/idem/new"));
    assert_eq!((rejected.outcome(), rejected.code()), ("not-run", Some(453)));
    assert_eq!(rejected.header("connection"), Some("close"));
    target.release();
    let response = read(&stream);
    assert!(response.complete && response.body.len() == 20_000_000);
    assert_eq!(read(&held).outcome(), "answered");
    eventually("no call is open", || node.shared.calls_open() == 0);
    assert_eq!(target.run_count("new"), 0);
}

#[test]
fn drain_last_bytes() {
    // Guards against a drain that counts a call as closed while the last bytes of its response are
    // still buffered in the node.
    let (target, node) = single_node("{}");
    let stream = open(node.entry, &get("/idem/stream/30000000"));
    eventually("the target runs the request", || target.log().len() == 1);
    node.shared.start_draining();
    // The response exceeds the socket buffers, and nothing has been read yet.
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(node.shared.calls_open() > 0);
    let response = read(&stream);
    assert!(response.complete, "{} bytes of {:?}", response.body.len(), response.headers);
    eventually("no call is open", || node.shared.calls_open() == 0);
}

#[test]
fn drain_gate() {
    // Guards against requests that fail because the entry node does not yet know that a target is
    // draining: the gatekeeper must reject them and the entry node must use another target.
    let (leaving, staying) = (Target::new(), Target::new());
    let a = Node::new("a", Some(leaving.address));
    let b = Node::new("b", Some(staying.address));
    let preset = preset("{}", &[("a", a.gate), ("b", b.gate)]);
    let entry = Node::new("c", None);
    [&a, &b, &entry].iter().for_each(|node| node.configure(1, &preset));
    eventually("both targets get requests", || {
        call(entry.entry, &get("/idem"));
        leaving.log().len() > 2 && staying.log().len() > 2
    });
    a.shared.start_draining();
    let before = leaving.log().len();
    for _ in 0..50 {
        assert_eq!(call(entry.entry, &get("/idem")).outcome(), "answered");
    }
    assert_eq!(leaving.log().len(), before);
}

#[test]
fn drain_idle_connection() {
    // Guards against a request lost on an idle connection to a draining node: it must receive a
    // response.
    let (_target, node) = single_node("{}");
    let mut stream = open(node.entry, &get("/idem"));
    assert_eq!(read(&stream).outcome(), "answered");
    node.shared.start_draining();
    std::thread::sleep(std::time::Duration::from_millis(500));
    stream.write_all(get("/idem").as_bytes()).unwrap();
    let response = read(&stream);
    assert_eq!((response.outcome(), response.code()), ("not-run", Some(453)));
    assert_eq!(response.header("connection"), Some("close"));
}
