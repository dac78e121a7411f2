//! Several nodes and targets over loopback sockets.

#[path = "support/calls.rs"]
mod support;

use support::*;
use sycamore_core::Name;
use sycamore_core::call::RequestKey;
use sycamore_core::call::note::HomeList;
use sycamore_standins::closed_port::ClosedPort;

/// Targets and their nodes, all on version 1 and exchanging notes.
struct Fleet {
    targets: Vec<Target>,
    nodes: Vec<Node>,
}

const VMS: [&str; 3] = ["a", "b", "c"];

impl Fleet {
    fn new(limits: &str) -> Fleet {
        let targets: Vec<Target> = VMS.iter().map(|_| Target::new()).collect();
        let node = |(vm, target): (&&str, &Target)| Node::new(vm, Some(target.address));
        let nodes: Vec<Node> = VMS.iter().zip(&targets).map(node).collect();
        let fleet = Fleet { targets, nodes };
        forward_notes(&fleet.nodes.iter().collect::<Vec<_>>());
        fleet.configure(1, limits, &[0, 1, 2]);
        fleet
    }

    fn configure(&self, version: u64, limits: &str, listed: &[usize]) {
        let targets: Vec<_> =
            listed.iter().map(|index| (VMS[*index], self.nodes[*index].gate)).collect();
        let preset = preset(limits, &targets);
        self.nodes.iter().for_each(|node| node.configure(version, &preset));
    }

    fn run_count(&self, part: &str) -> usize {
        self.targets.iter().map(|target| target.run_count(part)).sum()
    }

    /// Waits until every home accepts signings.
    fn wait_for_homes(&self) {
        for index in 0..VMS.len() {
            eventually("the home accepts signings", || {
                let probe = keyed_post("/once/probe", &new_key_with_home(&[0, 1, 2], index), "");
                call(self.nodes[0].entry, &probe).outcome() == "answered"
            });
        }
    }
}

/// A new key whose home is the VM at index `home`, given the listed VMs.
fn new_key_with_home(listed: &[usize], home: usize) -> String {
    let vms = listed.iter().map(|index| Name::new(VMS[*index]).unwrap()).collect();
    let list = HomeList { version: 1, vms };
    loop {
        let key = new_key();
        let parsed = RequestKey::parse(key.as_bytes()).unwrap();
        if list.home_of(parsed).unwrap().as_str() == VMS[home] {
            return key;
        }
    }
}

#[test]
fn retry_past_dead_node() {
    // Guards against lookups that fail because a node has died without notice.
    let (target, node) = single_node("{}");
    let dead = ClosedPort::new().unwrap();
    let gates = [("a", node.gate), ("b", dead.address().unwrap())];
    node.configure(2, &preset("{}", &gates));
    for _ in 0..30 {
        assert_eq!(call(node.entry, &get("/idem")).outcome(), "answered");
    }
    assert_eq!(target.log().len(), 30);
}

#[test]
fn retry_past_broken_target() {
    let fleet = Fleet::new("{}");
    let response = call(fleet.nodes[0].entry, &get("/idem/break"));
    assert_eq!((response.outcome(), response.code()), ("unknown", Some(461)));
    // Two targets broke; a third must not run it.
    assert_eq!(fleet.run_count("/idem/break"), 2);
    eventually("all gatekeepers quarantine the request", || {
        let response = call(fleet.nodes[1].entry, &get("/idem/break"));
        (response.outcome(), response.code()) == ("not-run", Some(456))
    });
    assert_eq!(fleet.run_count("/idem/break"), 2);
    assert_eq!(call(fleet.nodes[1].entry, &get("/idem/other")).outcome(), "answered");
}

#[test]
fn once_over_other_entry() {
    // Guards against a second run of a signing that the caller resends through another entry node
    // after the first one has failed.
    let fleet = Fleet::new("{}");
    fleet.wait_for_homes();
    let key = new_key();
    let responses: Vec<String> = fleet
        .nodes
        .iter()
        .map(|node| call(node.entry, &keyed_post("/once/sign", &key, "bales")))
        .map(|response| format!("{} {}", response.outcome(), response.text()))
        .collect();
    assert!(responses[0].starts_with("answered"), "{responses:?}");
    assert!(responses.iter().all(|response| *response == responses[0]), "{responses:?}");
    assert_eq!(fleet.run_count("/once/sign"), 1);
}

#[test]
fn once_home_moves() {
    // Guards against a signing that runs again after its home has moved, and against new signings
    // that stay rejected after the old home has released the key.
    let fleet = Fleet::new("{}");
    fleet.wait_for_homes();
    let key = new_key_with_home(&[0, 1, 2], 2);
    let first = call(fleet.nodes[0].entry, &keyed_post("/once/sign", &key, ""));
    assert_eq!(first.outcome(), "answered");
    fleet.configure(2, "{}", &[0, 1]);
    eventually("the new home knows the key", || {
        let again = call(fleet.nodes[0].entry, &keyed_post("/once/sign", &key, ""));
        match (again.outcome(), again.code()) {
            ("unknown", Some(460)) => true,
            ("not-run", Some(458)) => false,
            other => panic!("{other:?}"),
        }
    });
    assert_eq!(fleet.run_count("/once/sign"), 1);
    for _ in 0..5 {
        let key = new_key_with_home(&[0, 1, 2], 2);
        eventually("the new home accepts new signings", || {
            call(fleet.nodes[0].entry, &keyed_post("/once/fresh", &key, "")).outcome() == "answered"
        });
    }
    assert_eq!(fleet.run_count("/once/fresh"), 5);
}

#[test]
fn once_old_home_cut_off() {
    // Guards against a new home that runs a key while the old home, cut off, still uses the old
    // version. The rejection must say "not run" and when to retry.
    let fleet = Fleet::new("{}");
    fleet.wait_for_homes();
    let targets: Vec<_> =
        [0, 1].iter().map(|index| (VMS[*index], fleet.nodes[*index].gate)).collect();
    let preset = preset("{}", &targets);
    fleet.nodes[..2].iter().for_each(|node| node.configure(2, &preset));
    let key = new_key_with_home(&[0, 1, 2], 2);
    let response = call(fleet.nodes[0].entry, &keyed_post("/once/sign", &key, ""));
    assert_eq!((response.outcome(), response.code()), ("not-run", Some(458)));
    assert!(response.header("retry-after").is_some());
    assert_eq!(
        call(fleet.nodes[2].entry, &keyed_post("/once/sign", &key, "")).outcome(),
        "answered"
    );
    assert_eq!(fleet.run_count("/once/sign"), 1);
}

#[test]
fn overload_rejected_early() {
    // Guards against overload that exceeds the targets' slots or that is not rejected as not run.
    let fleet = Fleet::new(r#"{"slots":2,"connections":4,"queue":2,"queue_wait_ms":50}"#);
    let entries: Vec<_> = fleet.nodes.iter().map(|node| node.entry).collect();
    let callers: Vec<_> = (0..30)
        .map(|n| {
            let entry = entries[n % entries.len()];
            std::thread::spawn(move || call(entry, &get(&format!("/idem/hold/{n}"))))
        })
        .collect();
    eventually("all slots are in use", || fleet.run_count("/hold") == 6);
    std::thread::sleep(std::time::Duration::from_millis(300));
    fleet.targets.iter().for_each(Target::release);
    let responses: Vec<ClientResponse> =
        callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let count = |outcome| responses.iter().filter(|response| response.outcome() == outcome).count();
    assert_eq!((count("answered"), count("not-run")), (6, 24));
    assert!(fleet.targets.iter().all(|target| target.max_running() <= 2));
    assert!(fleet.targets.iter().all(|target| target.connections() <= 4));
    assert_eq!(fleet.run_count("/hold"), 6);
}
