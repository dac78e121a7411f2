//! Targets that requests bound to regions share with requests that may run anywhere.

#[path = "support/balance.rs"]
mod requests;
#[path = "support/snapshot.rs"]
mod support;

use requests::{START, picks_in_other_region};
use std::time::Duration;
use support::name;
use sycamore_core::call::balance::Balancer;
use sycamore_core::call::policy::{Mechanism, Policy};
use sycamore_core::call::{Load, Members, Pace};
use sycamore_core::config::Class;
use sycamore_core::place::Place;

const UNBOUND: &str = r#"{"free":{"path_prefix":"/free","service":"s","idempotent":true}}"#;

/// One of the two routes is bound to the region `here`.
const BOUND: &str = r#"{"free":{"path_prefix":"/free","service":"s","idempotent":true},
    "bound":{"path_prefix":"/bound","service":"s","idempotent":true,"regions":["here"]}}"#;

/// An entry node in the region `here`, where a run takes 100 ms. Another region is 40 ms away.
fn balancer(routes: &str) -> Balancer {
    let targets = support::targets(&["a/here/z", "b/here/z", "c/there/y", "d/there/y"]);
    let services = format!(r#"{{"s":{{"targets":{targets}}}}}"#);
    let place = Place { region: name("here"), zone: name("z") };
    let mut balancer = Balancer::new(place, 3);
    balancer.configure(&support::version(1, &services, routes), &Members::new());
    for (vm, took) in [("a", 100), ("b", 100), ("c", 140), ("d", 140)] {
        let took = Duration::from_millis(took);
        balancer.record_response(START, &name(vm), Class::Interactive, took);
    }
    balancer
}

fn report(balancer: &mut Balancer, vms: [&str; 2], in_flight: u32, wait_ms: u32) {
    for vm in vms {
        let load = Load {
            in_flight,
            slots: 8,
            queued: 0,
            wait_ms,
            run_ms: [0; 3],
            pace: Pace::USUAL,
            bulk_wait_ms: None,
        };
        balancer.record_load(START, &name(vm), load);
    }
}

/// Guards against unbound requests that occupy the only targets that bound ones may use, while
/// targets that these may not use are idle.
#[test]
fn shared_targets_left_to_bound_requests() {
    let mut balancer = balancer(BOUND);
    report(&mut balancer, ["a", "b"], 8, 50);
    report(&mut balancer, ["c", "d"], 1, 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 100);
}

#[test]
fn shared_targets_used_while_they_have_slots() {
    let mut balancer = balancer(BOUND);
    report(&mut balancer, ["a", "b"], 7, 0);
    report(&mut balancer, ["c", "d"], 0, 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 0);
}

/// Guards against requests that wait longer elsewhere than at the shared targets.
#[test]
fn shared_targets_used_when_others_are_busier() {
    let mut balancer = balancer(BOUND);
    report(&mut balancer, ["a", "b"], 8, 50);
    report(&mut balancer, ["c", "d"], 8, 60);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 0);
}

/// Guards against traffic between regions that frees no room for anyone.
#[test]
fn shared_targets_absent_without_bound_routes() {
    let mut balancer = balancer(UNBOUND);
    report(&mut balancer, ["a", "b"], 8, 50);
    report(&mut balancer, ["c", "d"], 1, 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 0);
}

#[test]
fn shared_targets_keep_bulk_requests() {
    let mut balancer = balancer(BOUND);
    report(&mut balancer, ["a", "b"], 8, 50);
    report(&mut balancer, ["c", "d"], 1, 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Bulk), 0);
}

#[test]
fn shared_targets_without_mechanism() {
    let policy = Policy::new().without(Mechanism::SharedRoom);
    let mut balancer = balancer(BOUND).with_policy(policy);
    report(&mut balancer, ["a", "b"], 8, 50);
    report(&mut balancer, ["c", "d"], 1, 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 0);
}
