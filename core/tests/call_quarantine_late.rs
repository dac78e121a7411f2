//! A request of death that is faster than what gatekeepers tell each other.

#[path = "support/snapshot.rs"]
mod support;

use support::name;
use sycamore_core::Time;
use sycamore_core::call::gatekeeper::{Arrival, End, Input, Output};
use sycamore_core::call::quarantine::MAX_CRASHES;
use sycamore_core::call::{CallKey, Fingerprint, Gatekeeper};

const START: Time = Time(1_700_000_000_000_000);
#[test]
fn crashes_of_one_call_add_up() {
    // Story: a request crashes the first target, and its entry node sends it to a second within
    // two milliseconds, before the note of the first crash is there. The second target crashes
    // too. If its gatekeeper counts only what it has heard, the entry node is told of one crash,
    // and takes a third target down. Found by history_process, seed 29.
    let routes = r#"{"i":{"path_prefix":"/i","service":"s","idempotent":true}}"#;
    let snapshot = support::snapshot(1, &["a"], "{}", routes);
    let mut gatekeeper = Gatekeeper::new(name("a"), START, 1);
    let mut out = Vec::new();
    gatekeeper.handle(START, Input::Configure(snapshot), &mut out);
    let call = CallKey(1);
    let arrival = Arrival {
        host: "",
        terms: None,
        call,
        path: "/i/1",
        key: None,
        digest: None,
        fingerprint: Fingerprint(666),
        crashes: 1,
        depth: 0,
        deadline: Time(START.0 + 1_000_000),
    };
    gatekeeper.handle(START, Input::Arrive(arrival), &mut out);
    let end = End::Broken { target_gone: true };
    gatekeeper.handle(START, Input::End { call, end }, &mut out);
    let reported = out.iter().find_map(|output| match output {
        Output::Refuse { crashes, .. } => Some(*crashes as usize),
        _ => None,
    });
    assert_eq!(reported, Some(MAX_CRASHES));
}
