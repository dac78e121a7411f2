//! Target selection across regions.

#[path = "support/balance.rs"]
mod requests;
#[path = "support/snapshot.rs"]
mod support;

use requests::{START, picks_in_other_region, terms};
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::balance::{Balancer, PickRequest};
use sycamore_core::call::{Load, Members, Pace};
use sycamore_core::config::{Class, ServiceKey, Snapshot};
use sycamore_core::place::Place;

/// Two targets in the local region, two in another.
fn snapshot() -> Arc<Snapshot> {
    let targets = ["a/here/here-z", "b/here/here-z", "c/there/there-z", "d/there/there-z"];
    support::snapshot(1, &targets, "{}", "{}")
}

fn balancer() -> Balancer {
    let place = Place { region: name("here"), zone: name("here-z") };
    let mut balancer = Balancer::new(place, 3);
    balancer.configure(&snapshot(), &Members::new());
    balancer
}

/// Makes the targets reject because of load, with `wait_ms` as the expected wait.
fn mark_overloaded(balancer: &mut Balancer, vms: [&str; 2], wait_ms: u32) {
    for vm in vms {
        let load = Load {
            in_flight: 8,
            slots: 8,
            queued: 4,
            wait_ms,
            run_ms: [0; 3],
            pace: Pace::USUAL,
            bulk_wait_ms: None,
        };
        balancer.record_load(START, &name(vm), load);
        for class in [Class::Bulk, Class::Interactive] {
            let wait = Duration::from_millis(wait_ms.into());
            balancer.record_overload(START, &name(vm), &terms(class), wait);
        }
    }
}

#[test]
fn large_answers_stay_in_region() {
    // Guards against bulk requests being sent to another region when the local targets are
    // overloaded, which adds billed traffic without any additional responses.
    let mut balancer = balancer();
    mark_overloaded(&mut balancer, ["a", "b"], 300);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Bulk), 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 100);
}

#[test]
fn wait_saved_is_weighed_against_the_way() {
    // Guards against sending requests to another region for a shorter queue when the distance
    // cancels out the gain. A run takes 100 ms, the way to the other region adds 40 ms.
    let mut balancer = balancer();
    for (vm, took, wait_ms) in [("a", 100, 80), ("b", 100, 80), ("c", 140, 20), ("d", 140, 20)] {
        let vm = name(vm);
        balancer.record_response(START, &vm, Class::Interactive, Duration::from_millis(took));
        balancer.record_load(
            START,
            &vm,
            Load {
                in_flight: 8,
                slots: 8,
                queued: 4,
                wait_ms,
                run_ms: [0; 3],
                pace: Pace::USUAL,
                bulk_wait_ms: None,
            },
        );
    }
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 0);
    // Leaving the region pays off once it saves more than a run.
    for vm in ["a", "b"] {
        let load = Load {
            in_flight: 8,
            slots: 8,
            queued: 20,
            wait_ms: 300,
            run_ms: [0; 3],
            pace: Pace::USUAL,
            bulk_wait_ms: None,
        };
        balancer.record_load(START, &name(vm), load);
    }
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 100);
}

#[test]
fn large_responses_leave_region_without_targets() {
    let mut balancer = balancer();
    for vm in ["a", "b"] {
        balancer.record_unreachable(START, &name(vm));
    }
    assert_eq!(picks_in_other_region(&mut balancer, Class::Bulk), 100);
}

/// Guards against a target that is used like the others although its VM is slow for the moment, or
/// avoided for ever because it was.
#[test]
fn pick_by_stated_pace() {
    let mut balancer = balancer();
    let pace = |percent| Pace { percent };
    let report = |run_ms, pace| Load {
        in_flight: 1,
        slots: 8,
        queued: 0,
        wait_ms: 0,
        run_ms: [0, run_ms, 0],
        pace,
        bulk_wait_ms: None,
    };
    for (vm, percent) in [("a", 100), ("b", 250)] {
        let vm = name(vm);
        balancer.record_response(START, &vm, Class::Interactive, Duration::from_millis(100));
        balancer.record_load(START, &vm, report(100, pace(percent)));
    }
    let mut picks_of_slow = |after: Duration| {
        let request = PickRequest::new(START + after, ServiceKey(0), &terms(Class::Interactive));
        (0..100).filter(|_| balancer.pick(request).unwrap() == name("b")).count()
    };
    assert_eq!(picks_of_slow(Duration::from_millis(100)), 0);
    assert!(picks_of_slow(Duration::from_millis(1_500)) > 20);
}

/// Guards against bulk requests that wait for the link of a target while another of the region has
/// room on its link: the wait for a slot says nothing of it.
#[test]
fn pick_bulk_by_wait_for_link() {
    let targets = ["a/here/here-z", "b/here/next-z"];
    let place = Place { region: name("here"), zone: name("here-z") };
    let picks_next_zone = |bulk_wait_ms: Option<u32>, class: Class| {
        let mut balancer = Balancer::new(place.clone(), 3);
        balancer.configure(&support::snapshot(1, &targets, "{}", "{}"), &Members::new());
        for (vm, bulk_wait_ms) in [("a", bulk_wait_ms), ("b", Some(0))] {
            let vm = name(vm);
            for class in [Class::Bulk, Class::Interactive] {
                balancer.record_response(START, &vm, class, Duration::from_millis(180));
            }
            let load = Load {
                in_flight: 2,
                slots: 9,
                queued: 0,
                wait_ms: 0,
                run_ms: [0; 3],
                pace: Pace::USUAL,
                bulk_wait_ms,
            };
            balancer.record_load(START, &vm, load);
        }
        let terms = terms(class);
        let request = PickRequest::new(START, ServiceKey(0), &terms);
        (0..100).filter(|_| balancer.pick(request) == Some(name("b"))).count()
    };
    assert_eq!(picks_next_zone(Some(2_000), Class::Bulk), 100);
    assert_eq!(picks_next_zone(Some(2_000), Class::Interactive), 0);
    // Below the cost of the bytes, and from a node without the report.
    assert_eq!(picks_next_zone(Some(100), Class::Bulk), 0);
    assert_eq!(picks_next_zone(None, Class::Bulk), 0);
}
