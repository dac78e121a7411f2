//! Planned stops through real sockets: nothing that has begun is cut, and nothing new is taken.

#[path = "support/calls.rs"]
mod support;

use std::io::Write;
use support::*;

#[test]
fn drain_in_flight() {
    // Story: a target is stopped as planned while it sends a ledger and answers a lookup. Both
    // must end whole; a new request is refused truthfully.
    let (target, node) = single("{}");
    let stream = open(node.entry, &get("/idem/stream/20000000"));
    let held = open(node.entry, &get("/idem/hold"));
    eventually("both run", || target.log().len() == 2);
    node.shared.start_draining();
    let refused = call(node.entry, &get("/idem/new"));
    assert_eq!((refused.outcome(), refused.code()), ("not-run", Some(453)));
    assert_eq!(refused.header("connection"), Some("close"));
    target.release();
    let answer = read(&stream);
    assert!(answer.whole && answer.body.len() == 20_000_000);
    assert_eq!(read(&held).outcome(), "answered");
    eventually("no call is open", || node.shared.calls_open() == 0);
    assert_eq!(target.ran("new"), 0);
}

#[test]
fn drain_last_bytes() {
    // Story: the ledger's last bytes are still in the node when its last call counts as ended;
    // the process stops, and a slow reader gets a cut ledger.
    let (target, node) = single("{}");
    let stream = open(node.entry, &get("/idem/stream/30000000"));
    eventually("the target runs it", || target.log().len() == 1);
    node.shared.start_draining();
    // Nothing is read yet: far more than the sockets hold is on its way.
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(node.shared.calls_open() > 0);
    let answer = read(&stream);
    assert!(answer.whole, "{} bytes of {:?}", answer.body.len(), answer.headers);
    eventually("no call is open", || node.shared.calls_open() == 0);
}

#[test]
fn drain_gate() {
    // Story: the VM list lags, so an entry node still sends work to a leaving target. Its
    // gatekeeper refuses, and the entry node sends the request and all later ones elsewhere.
    let (leaving, staying) = (Target::new(), Target::new());
    let a = Node::new("a", Some(leaving.address));
    let b = Node::new("b", Some(staying.address));
    let preset = preset("{}", &[("a", a.gate), ("b", b.gate)]);
    let entry = Node::new("c", None);
    [&a, &b, &entry].iter().for_each(|node| node.configure(1, &preset));
    eventually("both get work", || {
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
    // Story: a caller holds an idle connection to a leaving node and sends a request just then.
    // It must get an answer, not a broken connection.
    let (_target, node) = single("{}");
    let mut stream = open(node.entry, &get("/idem"));
    assert_eq!(read(&stream).outcome(), "answered");
    node.shared.start_draining();
    std::thread::sleep(std::time::Duration::from_millis(500));
    stream.write_all(get("/idem").as_bytes()).unwrap();
    let answer = read(&stream);
    assert_eq!((answer.outcome(), answer.code()), ("not-run", Some(453)));
    assert_eq!(answer.header("connection"), Some("close"));
}
