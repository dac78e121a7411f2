//! Ejection of targets that can't be reached.

#[path = "support/balance.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod requests;
#[path = "support/snapshot.rs"]
mod support;

use requests::{START, terms};
use std::time::Duration;
use support::name;
use sycamore_core::Time;
use sycamore_core::call::Members;
use sycamore_core::call::balance::{Balancer, PickRequest};
use sycamore_core::config::{Class, ServiceKey};
use sycamore_core::place::Place;

fn balancer() -> Balancer {
    let place = Place { region: name("r"), zone: name("z") };
    let snapshot = support::snapshot(1, &["a/r/z", "b/r/z"], "{}", "{}");
    let mut balancer = Balancer::new(place, 3);
    balancer.configure(&snapshot, &Members::new());
    balancer
}

fn is_picked(balancer: &mut Balancer, now: Time, vm: &str) -> bool {
    let terms = terms(Class::Interactive);
    let mut pick = || balancer.pick_available(PickRequest::new(now, ServiceKey(0), &terms));
    (0..50).any(|_| pick() == Some(name(vm)))
}

#[test]
fn ejection_by_concurrent_failures() {
    // Guards against a target that stays ejected for seconds after a short partition, because each
    // of the attempts that were in progress when it began counts as another failure.
    let mut balancer = balancer();
    for ms in 0..20 {
        balancer.record_unreachable(START + Duration::from_millis(ms), &name("a"));
    }
    assert!(!is_picked(&mut balancer, START + Duration::from_millis(400), "a"));
    assert!(is_picked(&mut balancer, START + Duration::from_millis(600), "a"));
}

#[test]
fn ejection_grows_with_failures() {
    // Guards against a target that is gone being tried every half second.
    let mut balancer = balancer();
    let mut now = START;
    for _ in 0..3 {
        balancer.record_unreachable(now, &name("a"));
        now = now + Duration::from_millis(1_100);
    }
    let ejected_at = START + Duration::from_millis(2_200);
    assert!(!is_picked(&mut balancer, ejected_at + Duration::from_millis(1_900), "a"));
    assert!(is_picked(&mut balancer, ejected_at + Duration::from_millis(2_100), "a"));
}

/// Guards against a sound target that gets no requests since it failed once.
#[test]
fn ejection_not_by_one_failure() {
    let mut balancer = balancer();
    balancer.record_failure(START, &name("a"));
    assert!(is_picked(&mut balancer, START, "a"));
    balancer.record_failure(START, &name("a"));
    assert!(!is_picked(&mut balancer, START, "a"));
}
