//! Target selection as the number of targets per entry node grows.

#[path = "support/balance.rs"]
mod requests;
#[path = "support/snapshot.rs"]
mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests::{START, terms};
use std::time::Duration;
use support::name;
use sycamore_core::call::balance::{Balancer, PickRequest};
use sycamore_core::call::{Load, Members, Pace};
use sycamore_core::config::{Class, ServiceKey};
use sycamore_core::place::Place;

/// Targets of the entry node's zone.
const SIZES: [usize; 3] = [6, 36, 108];

/// Every third target is slow.
const SLOW_EVERY: usize = 3;
const FAST_RUN_MS: u32 = 190;
const SLOW_RUN_MS: u32 = 430;

/// Interval between the requests of an entry node, whatever the size of the fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Share of the requests that may go to slow targets once each target could have been tried, in
/// percent. A random target is slow one time in three.
const MAX_SLOW_PERCENT: usize = 10;

fn run_time_of(target: usize) -> u32 {
    if target % SLOW_EVERY == 0 { SLOW_RUN_MS } else { FAST_RUN_MS }
}

/// Share of slow targets among the picks of the second half of the run, in percent. Runs take
/// between half and three halves of the target's mean.
fn slow_percent(targets: usize) -> usize {
    let names: Vec<String> = (0..targets).map(|target| format!("t{target}")).collect();
    let specs: Vec<&str> = names.iter().map(String::as_str).collect();
    let place = Place { region: name("r"), zone: name("z") };
    let mut balancer = Balancer::new(place, 7);
    balancer.configure(&support::snapshot(1, &specs, "{}", "{}"), &Members::new());
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let (requests, mut slow) = (targets * 6, 0);
    for request in 0..requests {
        let now = START + REQUEST_INTERVAL * request as u32;
        let pick = PickRequest::new(now, ServiceKey(0), &terms(Class::Interactive));
        let vm = balancer.pick(pick).unwrap();
        let target: usize = vm.as_str()[1..].parse().unwrap();
        let run_ms = run_time_of(target);
        let took = Duration::from_millis((run_ms * rng.random_range(50..150) / 100).into());
        balancer.record_response(now + took, &vm, Class::Interactive, took);
        let run_ms = [0, run_ms, 0];
        let load = Load {
            in_flight: 1,
            slots: 9,
            queued: 0,
            wait_ms: 0,
            run_ms,
            pace: Pace::USUAL,
            bulk_wait_ms: None,
        };
        balancer.record_load(now + took, &vm, load);
        slow += usize::from(request >= requests / 2 && target % SLOW_EVERY == 0);
    }
    slow * 100 / (requests / 2)
}

/// Guards against slow targets that are forgotten before the node sends to them again, which gets
/// more likely the more targets share its requests.
#[test]
fn pick_slow_targets_by_size() {
    for targets in SIZES {
        let slow = slow_percent(targets);
        assert!(slow <= MAX_SLOW_PERCENT, "{slow} in 100 to slow ones of {targets} targets");
    }
}
