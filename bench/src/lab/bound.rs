//! Lower bound of traffic between zones and upper bound of goodput, based on capacity.
//!
//! Demand follows the wave, the bursts and the shifts of the scenario in steps of time. Other faults
//! are ignored, so that the bounds hold also when targets are slow or away.
//!
//! Work beyond the capacity of a zone's own targets must go to other zones. The order in which it
//! is distributed does not change the total; using zones of the same region first minimizes traffic
//! between regions.

use super::scenario::{Kind, Scenario};
use serde::Serialize;
use std::collections::BTreeMap;
use sycamore_core::Name;

/// Maximum slot utilization at which requests can still be answered in time.
const MAX_UTILIZATION: f64 = 0.95;

/// Amounts of work below this are treated as rounding errors, in slots.
const EPSILON: f64 = 1e-9;

/// Time step in which demand is taken as constant, in seconds.
const STEP_S: f64 = 0.25;

/// Demand and capacity of one service, averaged over the measured part of the run.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceBound {
    /// Slots needed by requests, including the time spent in nested calls.
    pub needed: f64,
    /// Available slots.
    pub slots: f64,
    /// Maximum share of requests that can be answered.
    pub served: f64,
    /// Minimum bytes per second between zones.
    pub crossing: f64,
    /// Minimum bytes per second between regions.
    pub across: f64,
}

/// Bounds of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// Bounds by service.
    pub services: BTreeMap<Name, ServiceBound>,
    /// Minimum megabytes between zones during the measured part of the run.
    pub crossed_mb: f64,
    /// Part of it between regions. Using the zones of a region first makes it the least.
    pub across_mb: f64,
}

/// Computes the bounds of a scenario.
pub fn bound(scenario: &Scenario) -> Bound {
    let seconds = scenario.seconds - scenario.warm_up_s;
    let mut services = BTreeMap::new();
    for name in scenario.services.keys() {
        let steps = (seconds / STEP_S).ceil().max(1.0);
        let step_s = seconds / steps;
        let at = |step: usize| scenario.warm_up_s + (step as f64 + 0.5) * step_s;
        let bounds: Vec<ServiceBound> = (0..steps as usize)
            .map(|step| bound_service(scenario, name, &scenario.zone_weights(at(step))))
            .collect();
        services.insert(name.clone(), average(&bounds));
    }
    let sum_mb = |bytes_per_s: fn(&ServiceBound) -> f64| {
        services.values().map(bytes_per_s).sum::<f64>() * seconds / 1e6
    };
    let (crossed_mb, across_mb) = (sum_mb(|of| of.crossing), sum_mb(|of| of.across));
    Bound { services, crossed_mb, across_mb }
}

fn average(bounds: &[ServiceBound]) -> ServiceBound {
    let mean = |value: fn(&ServiceBound) -> f64| {
        bounds.iter().map(value).sum::<f64>() / bounds.len().max(1) as f64
    };
    let needed = mean(|of| of.needed);
    ServiceBound {
        needed,
        slots: mean(|of| of.slots),
        served: mean(|of| of.served * of.needed) / needed.max(EPSILON),
        crossing: mean(|of| of.crossing),
        across: mean(|of| of.across),
    }
}

/// Mean time that one request holds a slot, including its nested calls, in seconds.
fn slot_seconds_per_request(scenario: &Scenario, kind: &Kind, speed: f64) -> f64 {
    let nested = |call: &super::scenario::NestedCall| {
        let way = 2.0 * scenario.links.zone_ms;
        let called = &scenario.kinds[&call.kind];
        f64::from(call.times) * call.share * (called.work_ms + way)
    };
    (kind.work_ms * speed + kind.calls.iter().map(nested).sum::<f64>()) / 1e3
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn bound_service(scenario: &Scenario, name: &Name, weights: &[f64]) -> ServiceBound {
    let model = &scenario.services[name];
    let (slow, long) = (model.slow_periods, model.long_runs);
    let speed = mean(&model.speeds)
        * (1.0 + slow.share * (slow.factor - 1.0))
        * (1.0 + long.share * (long.factor - 1.0));
    let zones: Vec<&Name> = scenario.zones.keys().collect();
    let callers: f64 = scenario.zones.values().map(|zone| zone.callers).sum();
    let caller_share: Vec<f64> =
        weights.iter().map(|weight| weight / callers.max(EPSILON)).collect();
    let service_kinds: Vec<(&Name, &Kind)> =
        scenario.kinds.iter().filter(|(_, kind)| kind.service == *name).collect();
    let nested = nested_rates(scenario);
    let rate =
        |(name, kind): &(&Name, &Kind)| kind.per_s + nested.get(*name).copied().unwrap_or(0.0);
    let needed: f64 = service_kinds
        .iter()
        .map(|of| rate(of) * slot_seconds_per_request(scenario, of.1, speed))
        .sum();
    let usual = needed;
    let needed = usual * caller_share.iter().sum::<f64>();
    let slots_of =
        |zone: &Name| f64::from(model.slots) * *model.targets.get(zone).unwrap_or(&0) as f64;
    let slots: f64 = zones.iter().map(|zone| slots_of(zone)).sum();
    // Excludes requests beyond the total capacity, which need not leave their zone.
    let served = (MAX_UTILIZATION * slots / needed.max(EPSILON)).min(1.0);
    let demand: Vec<f64> = caller_share.iter().map(|share| share * usual * served).collect();
    let capacity: Vec<f64> = zones.iter().map(|zone| MAX_UTILIZATION * slots_of(zone)).collect();
    let region = |zone: usize| &scenario.zones[zones[zone]].region;
    let (within_region, across) = work_moved(&demand, &capacity, |a, b| region(a) == region(b));
    let bytes_per_slot_second = min_bytes_per_slot_second(scenario, &service_kinds, speed, rate);
    ServiceBound {
        needed,
        slots,
        served,
        crossing: (within_region + across) * bytes_per_slot_second,
        across: across * bytes_per_slot_second,
    }
}

/// Rates of nested calls by kind.
fn nested_rates(scenario: &Scenario) -> BTreeMap<Name, f64> {
    let mut rates: BTreeMap<Name, f64> = BTreeMap::new();
    for kind in scenario.kinds.values() {
        for call in &kind.calls {
            let rate = kind.per_s * f64::from(call.times) * call.share;
            *rates.entry(call.kind.clone()).or_default() += rate;
        }
    }
    rates
}

/// Minimum bytes per second transferred for each slot of work moved, assuming that the kind with
/// the fewest bytes per unit of work is moved first.
fn min_bytes_per_slot_second(
    scenario: &Scenario,
    service_kinds: &[(&Name, &Kind)],
    speed: f64,
    rate: impl Fn(&(&Name, &Kind)) -> f64,
) -> f64 {
    let density = |(_, kind): &(&Name, &Kind)| {
        let bytes = kind.answer_bytes as f64 + 2.0 * super::path::HEAD_BYTES as f64;
        bytes / slot_seconds_per_request(scenario, kind, speed).max(EPSILON)
    };
    let used = service_kinds.iter().filter(|of| rate(of) > 0.0);
    used.map(density).fold(f64::INFINITY, f64::min).clamp(0.0, f64::MAX)
}

/// Work that must be moved within regions and between regions: capacity is used first in the own
/// zone, then in the own region, then anywhere.
fn work_moved(
    demand: &[f64],
    capacity: &[f64],
    together: impl Fn(usize, usize) -> bool,
) -> (f64, f64) {
    let mut excess: Vec<f64> =
        demand.iter().zip(capacity).map(|(demand, capacity)| demand - capacity).collect();
    let within_region = move_surplus(&mut excess, &together);
    let across = move_surplus(&mut excess, &|_, _| true);
    (within_region, across)
}

/// Moves surplus work to zones with spare capacity, between pairs accepted by `together`. Returns
/// the amount moved.
fn move_surplus(excess: &mut [f64], together: &impl Fn(usize, usize) -> bool) -> f64 {
    let mut moved = 0.0;
    for from in 0..excess.len() {
        for to in 0..excess.len() {
            let amount = excess[from].min(-excess[to]);
            if from != to && together(from, to) && amount > EPSILON {
                excess[from] -= amount;
                excess[to] += amount;
                moved += amount;
            }
        }
    }
    moved
}
