//! Which target a request goes to, over several regions.

#[path = "support/snapshot.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::Time;
use sycamore_core::call::balance::{Balancer, PickRequest};
use sycamore_core::call::{Load, Members, Terms};
use sycamore_core::config::{Class, OnceBy, ServiceKey, Snapshot};
use sycamore_core::place::Place;

const START: Time = Time(1_700_000_000_000_000);

/// Two targets here, two in another region.
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

fn terms(class: Class) -> Terms {
    Terms {
        service: name("s"),
        idempotent: true,
        once: OnceBy::Attempt,
        class,
        rank: 0,
        objective: START + Duration::from_millis(600),
        may_exceed_objective: false,
        repeat: false,
    }
}

/// These targets refuse for load and say how long a newcomer would wait.
fn mark_overloaded(balancer: &mut Balancer, vms: [&str; 2], wait_ms: u32) {
    for vm in vms {
        let load = Load { in_flight: 8, slots: 8, queued: 4, wait_ms };
        balancer.record_load(START, &name(vm), load);
        for class in [Class::Bulk, Class::Interactive] {
            let wait = Duration::from_millis(wait_ms.into());
            balancer.record_overload(START, &name(vm), &terms(class), wait);
        }
    }
}

/// How many of a hundred requests go to the other region.
fn picks_in_other_region(balancer: &mut Balancer, class: Class) -> usize {
    let mut pick = || balancer.pick(PickRequest::new(START, ServiceKey(0), &terms(class)));
    (0..100).filter(|_| matches!(pick().unwrap().as_str(), "c" | "d")).count()
}

#[test]
fn large_answers_stay_in_region() {
    // Story: every link in front of the ledgers is full. Requests that a full target turns away
    // are sent to another region, whose targets are as full, and traffic that is paid by volume
    // grows by a quarter of a gigabyte in half a minute without one answer more.
    let mut balancer = balancer();
    mark_overloaded(&mut balancer, ["a", "b"], 300);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Bulk), 0);
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 100);
}

#[test]
fn wait_saved_is_weighed_against_the_way() {
    // Story: the queues of one region are a little longer than those of another. Requests that are
    // sent there for it are answered no sooner to speak of, and every byte of them is paid for.
    // A run takes 100 ms, and the way to the other region 40 ms more.
    let mut balancer = balancer();
    for (vm, took, wait_ms) in [("a", 100, 80), ("b", 100, 80), ("c", 140, 20), ("d", 140, 20)] {
        let vm = name(vm);
        balancer.record_response(START, &vm, Class::Interactive, Duration::from_millis(took));
        balancer.record_load(START, &vm, Load { in_flight: 8, slots: 8, queued: 4, wait_ms });
    }
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 0);
    // It is worth the way when a run and more is saved.
    for vm in ["a", "b"] {
        let load = Load { in_flight: 8, slots: 8, queued: 20, wait_ms: 300 };
        balancer.record_load(START, &name(vm), load);
    }
    assert_eq!(picks_in_other_region(&mut balancer, Class::Interactive), 100);
}

#[test]
fn large_answers_leave_region_without_targets() {
    let mut balancer = balancer();
    for vm in ["a", "b"] {
        balancer.record_unreachable(START, &name(vm));
    }
    assert_eq!(picks_in_other_region(&mut balancer, Class::Bulk), 100);
}
