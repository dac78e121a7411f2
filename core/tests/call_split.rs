//! Traffic splits whose weights move from version to version, down to 0.

#[path = "support/snapshot.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Input, Output};
use sycamore_core::call::{CallKey, Entry, Outcome};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);

/// A version whose route splits requests between the services s and t.
fn version(number: u64, weights: (u32, u32)) -> Arc<Snapshot> {
    let service = |vms: &[&str]| format!(r#"{{"targets":{}}}"#, support::targets(vms));
    let services =
        format!(r#"{{"s":{},"t":{}}}"#, service(&["a", "b", "c"]), service(&["d", "e", "f"]));
    let (s, t) = weights;
    let routes = format!(
        r#"{{"part":{{"path_prefix":"/part/","service":"s","idempotent":true,"max_attempts":3,
            "split":[{{"service":"s","weight":{s}}},{{"service":"t","weight":{t}}}]}}}}"#
    );
    support::version(number, &services, &routes)
}

struct Node {
    entry: Entry,
    calls: u64,
}

impl Node {
    fn new(seed: u64) -> Node {
        let place = Place { region: name("r"), zone: name("z") };
        Node { entry: Entry::new(place, seed), calls: 0 }
    }

    fn input(&mut self, input: Input<'_>) -> Option<Output> {
        let mut out = Vec::new();
        self.entry.handle(START, input, &mut out);
        out.pop()
    }

    fn configure(&mut self, number: u64, weights: (u32, u32)) {
        self.input(Input::Configure(version(number, weights)));
    }

    fn arrive(&mut self) -> Output {
        self.calls += 1;
        let timeout = Some(Duration::from_secs(4));
        let arrival = Arrival { timeout, ..Arrival::new(CallKey(self.calls), "h", "/part/1") };
        self.input(Input::Arrive(arrival)).unwrap()
    }

    /// Sends one request and returns whether the service t got it.
    fn chooses_t(&mut self) -> bool {
        let Output::Forward(forward) = self.arrive() else { panic!("not forwarded") };
        self.input(Input::Close(forward.call));
        forward.terms.service == name("t")
    }
}

/// Guards against requests that reach a part whose weight has become 0: as a first pick, when they
/// are retried, and whichever part is listed first.
#[test]
fn choose_never_part_without_weight() {
    for (weights, expected) in [((0, 100), "t"), ((100, 0), "s")] {
        for seed in 0..20 {
            let mut node = Node::new(seed);
            node.configure(1, (90, 10));
            for _ in 0..seed {
                node.chooses_t();
            }
            node.configure(2, weights);
            for _ in 0..50 {
                let Output::Forward(first) = node.arrive() else { panic!("not forwarded") };
                assert_eq!(first.terms.service, name(expected));
                let end = AttemptEnd::Failed { code: Code::TargetFailed, crashes: 0 };
                let again = node.input(Input::Attempt { call: first.call, end, replayable: true });
                if let Some(Output::Forward(again)) = again {
                    assert_eq!(again.terms.service, name(expected));
                }
                node.input(Input::Close(first.call));
            }
        }
    }
}

/// Guards against a route whose weights are all 0 that costs the version, or that runs requests.
#[test]
fn choose_all_weights_zero() {
    let mut node = Node::new(1);
    node.configure(1, (0, 0));
    let Output::Finish { outcome: Outcome::NotRun { code, .. }, .. } = node.arrive() else {
        panic!("not rejected");
    };
    assert_eq!(code, Code::RouteClosed);
    node.configure(2, (0, 1));
    assert!(node.chooses_t());
}

/// Guards against shares that are off while weights move in quick succession, since each version
/// starts the rotation anew.
#[test]
fn choose_share_while_weights_move() {
    const NODES: u64 = 60;
    const REQUESTS: u32 = 3;
    const MAX_ERROR: f64 = 0.1;
    let mut nodes: Vec<Node> = (0..NODES).map(Node::new).collect();
    for (version, t) in [10, 20, 30, 40, 60, 75, 90, 100, 70, 25].into_iter().enumerate() {
        let mut chosen = 0;
        for node in &mut nodes {
            node.configure(version as u64 + 1, (100 - t, t));
            chosen += (0..REQUESTS).filter(|_| node.chooses_t()).count();
        }
        let share = chosen as f64 / f64::from(NODES as u32 * REQUESTS);
        let expected = f64::from(t) / 100.0;
        assert!((share - expected).abs() < MAX_ERROR, "{share:.2} for {expected:.2}");
    }
}
