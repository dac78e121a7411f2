//! Placement between zones by their waits, demand and room.

#[path = "support/balance.rs"]
mod requests;
#[path = "support/snapshot.rs"]
mod support;

use requests::{START, terms};
use std::time::Duration;
use support::name;
use sycamore_core::Time;
use sycamore_core::call::balance::{Balancer, PickRequest};
use sycamore_core::call::policy::Mechanism;
use sycamore_core::call::{Load, Members, Pace, Policy};
use sycamore_core::config::{Class, ServiceKey};
use sycamore_core::place::Place;

/// Two targets in the own zone, four in another zone of the region.
const TARGETS: [&str; 6] = ["a/e/z", "b/e/z", "c/e/y", "d/e/y", "f/e/y", "g/e/y"];

fn balancer(policy: Policy) -> Balancer {
    let place = Place { region: name("e"), zone: name("z") };
    let mut balancer = Balancer::new(place, 3).with_policy(policy);
    balancer.configure(&support::snapshot(1, &TARGETS, "{}", "{}"), &Members::new());
    balancer
}

fn load(in_flight: u32, wait_ms: u32, run_ms: u32) -> Load {
    let queued = in_flight.saturating_sub(8);
    let (in_flight, run_ms) = (in_flight.min(8), [0, run_ms, 0]);
    Load { in_flight, slots: 8, queued, wait_ms, run_ms, pace: Pace::USUAL, bulk_wait_ms: None }
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Number of 100 requests that leave the own zone.
fn leaving(balancer: &mut Balancer, now: Time, objective_ms: u64) -> usize {
    let mut terms = terms(Class::Interactive);
    terms.objective = now + Duration::from_millis(objective_ms);
    let mut pick = || balancer.pick(PickRequest::new(now, ServiceKey(0), &terms)).unwrap();
    (0..100).filter(|_| !matches!(pick().as_str(), "a" | "b")).count()
}

fn respond(balancer: &mut Balancer, vms: &[&str], ms: u64) {
    for vm in vms {
        let took = Duration::from_millis(ms);
        balancer.record_response(START, &name(vm), Class::Interactive, took);
    }
}

/// Guards against a target without a recent report that counts as one without a queue while the
/// other targets of its zone report the same wait as the own zone.
#[test]
fn pick_unreported_target_takes_mean_of_zone() {
    for (policy, expected) in
        [(Policy::new(), 0..1), (Policy::new().without(Mechanism::ZoneFlows), 50..101)]
    {
        let mut balancer = balancer(policy);
        respond(&mut balancer, &["a", "b", "c", "d", "f", "g"], 100);
        for vm in ["a", "b", "c"] {
            balancer.record_load(START, &name(vm), load(12, 140, 100));
        }
        let left = leaving(&mut balancer, START, 600);
        assert!(expected.contains(&left), "{left} of 100 leave, {expected:?} expected");
    }
}

/// Guards against requests that leave for a zone of which nothing is known while waits have been the
/// same for long, and against requests that stay when waits have just risen.
#[test]
fn pick_unknown_zone_counts_like_own() {
    let mut balancer = balancer(Policy::new());
    respond(&mut balancer, &["a", "b"], 100);
    for vm in ["a", "b"] {
        balancer.record_load(START, &name(vm), load(12, 200, 100));
    }
    assert_eq!(leaving(&mut balancer, START, 600), 100);
    for _ in 0..100 {
        for vm in ["a", "b"] {
            balancer.record_load(START, &name(vm), load(12, 200, 100));
        }
    }
    assert_eq!(leaving(&mut balancer, START, 600), 0);
}

/// Guards against requests that leave their zone because its targets are slower for good, and
/// against requests that stay although the run itself would miss the objective or its targets are
/// unusually slow.
#[test]
fn pick_slower_zone() {
    let cases = [(145, 600, 0..1), (145, 130, 90..101), (400, 600, 90..101)];
    for (own_ms, objective_ms, expected) in cases {
        let mut balancer = balancer(Policy::new());
        for _ in 0..40 {
            respond(&mut balancer, &["a", "b"], own_ms);
            respond(&mut balancer, &["c", "d"], 60);
        }
        for (vms, wait_ms) in [(["a", "b"], 40), (["c", "d"], 0)] {
            for vm in vms {
                balancer.record_load(START, &name(vm), load(8, wait_ms, 0));
            }
        }
        let left = leaving(&mut balancer, after(50), objective_ms);
        assert!(expected.contains(&left), "{left} of 100 leave, {expected:?} expected");
    }
}

/// Guards against a view that is used for ever, which sends requests to a zone that was free once.
#[test]
fn pick_stale_view_expires() {
    for (age_ms, expected) in [(1_100, 100), (3_100, 0)] {
        let mut balancer = balancer(Policy::new());
        respond(&mut balancer, &["a", "b", "c", "d", "f", "g"], 100);
        for vm in ["c", "d", "f", "g"] {
            balancer.record_load(START, &name(vm), load(2, 0, 0));
        }
        for vm in ["a", "b"].repeat(50) {
            balancer.record_load(after(age_ms), &name(vm), load(12, 200, 0));
        }
        assert_eq!(leaving(&mut balancer, after(age_ms), 600), expected, "{age_ms} ms");
    }
}

/// Guards against requests that leave their region while all targets of the service reject half of
/// what they get, for targets that have not been tried lately.
#[test]
fn pick_while_all_targets_reject() {
    for (failing, expected) in [(&["a", "b", "c", "d"][..], 0..10), (&["a", "b"][..], 90..101)] {
        let mut balancer = balancer(Policy::new());
        respond(&mut balancer, &["a", "b", "c", "d", "f", "g"], 100);
        for _ in 0..40 {
            respond(&mut balancer, &["a", "b", "c", "d"], 100);
            for vm in failing {
                balancer.record_rejection(START, &name(vm));
            }
            if failing.len() == 2 {
                respond(&mut balancer, &["c", "d"].repeat(8), 100);
            }
        }
        let left = leaving(&mut balancer, START, 600);
        assert!(expected.contains(&left), "{left} of 100 leave, {failing:?} reject");
    }
}
