//! The smallest traffic between zones that a load allows, by capacity alone.
//!
//! Work that a zone's own targets can't take must go to others. Only how much leaves is counted,
//! not how far within a region or between regions, so that any order of moving it gives the same
//! sum, and zones of one region that help each other first give the least between regions. The
//! share of slots that a scenario can fill at best bounds the goodput in the same way.

use super::scenario::{Kind, Scenario};
use serde::Serialize;
use std::collections::BTreeMap;
use sycamore_core::Name;

/// Slots that can be in use at most: with more, requests wait too long to be in time.
const USABLE: f64 = 0.95;

/// Smaller amounts of work than this are rounding errors, in slots.
const LEAST: f64 = 1e-9;

/// What a load asks of one service, and what its targets give.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceBound {
    /// Slots that requests need, the time of their calls included.
    pub needed: f64,
    /// Slots that there are.
    pub slots: f64,
    /// Part of the requests that can be answered at best.
    pub served: f64,
    /// Bytes a second that must leave their zone.
    pub crossing: f64,
    /// Those of them that must leave their region.
    pub across: f64,
}

/// What a scenario allows.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// By service.
    pub services: BTreeMap<Name, ServiceBound>,
    /// Megabytes that must leave their zone over the run's counted time.
    pub crossed_mb: f64,
}

/// Works out the bound of a scenario without its troubles.
pub fn bound(scenario: &Scenario) -> Bound {
    let seconds = scenario.seconds - scenario.warm_up_s;
    let mut services = BTreeMap::new();
    for name in scenario.services.keys() {
        services.insert(name.clone(), bound_service(scenario, name));
    }
    let crossing: f64 = services.values().map(|service: &ServiceBound| service.crossing).sum();
    Bound { services, crossed_mb: crossing * seconds / 1e6 }
}

/// Mean slots that one request holds, with the calls that it makes.
fn slot_seconds(scenario: &Scenario, kind: &Kind, speed: f64) -> f64 {
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

fn bound_service(scenario: &Scenario, name: &Name) -> ServiceBound {
    let model = &scenario.services[name];
    let speed = mean(&model.speeds);
    let zones: Vec<&Name> = scenario.zones.keys().collect();
    let callers: f64 = scenario.zones.values().map(|zone| zone.callers).sum();
    let part = |zone: &Name| scenario.zones[zone].callers / callers.max(LEAST);
    let own: Vec<(&Name, &Kind)> =
        scenario.kinds.iter().filter(|(_, kind)| kind.service == *name).collect();
    let nested = nested_rates(scenario);
    let rate =
        |(name, kind): &(&Name, &Kind)| kind.per_s + nested.get(*name).copied().unwrap_or(0.0);
    let needed: f64 = own.iter().map(|of| rate(of) * slot_seconds(scenario, of.1, speed)).sum();
    let slots_of =
        |zone: &Name| f64::from(model.slots) * *model.targets.get(zone).unwrap_or(&0) as f64;
    let slots: f64 = zones.iter().map(|zone| slots_of(zone)).sum();
    // When there is too little of it everywhere, what can't be served need not travel.
    let served = (USABLE * slots / needed.max(LEAST)).min(1.0);
    let need: Vec<f64> = zones.iter().map(|zone| part(zone) * needed * served).collect();
    let room: Vec<f64> = zones.iter().map(|zone| USABLE * slots_of(zone)).collect();
    let region = |zone: usize| &scenario.zones[zones[zone]].region;
    let (near, across) = surplus(&need, &room, |a, b| region(a) == region(b));
    let small = smallest_density(scenario, &own, speed, rate);
    ServiceBound {
        needed,
        slots,
        served,
        crossing: (near + across) * small,
        across: across * small,
    }
}

/// Rates of kinds that runs call.
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

/// Fewest bytes that travel with one slot's worth of work in a second: the kind with the smallest
/// answers for its work leaves first.
fn smallest_density(
    scenario: &Scenario,
    own: &[(&Name, &Kind)],
    speed: f64,
    rate: impl Fn(&(&Name, &Kind)) -> f64,
) -> f64 {
    let density = |(_, kind): &(&Name, &Kind)| {
        let bytes = kind.answer_bytes as f64 + 2.0 * super::path::HEAD_BYTES as f64;
        bytes / slot_seconds(scenario, kind, speed).max(LEAST)
    };
    let used = own.iter().filter(|of| rate(of) > 0.0);
    used.map(density).fold(f64::INFINITY, f64::min).clamp(0.0, f64::MAX)
}

/// Work that must leave its zone, within regions and between them: first each zone helps itself,
/// then zones of one region help each other, then all do.
fn surplus(need: &[f64], room: &[f64], together: impl Fn(usize, usize) -> bool) -> (f64, f64) {
    let mut left: Vec<f64> = need.iter().zip(room).map(|(need, room)| need - room).collect();
    let near = level(&mut left, &together);
    let across = level(&mut left, &|_, _| true);
    (near, across)
}

/// Moves work from those who have too much to those with room, among those that go together.
fn level(left: &mut [f64], together: &impl Fn(usize, usize) -> bool) -> f64 {
    let mut moved = 0.0;
    for from in 0..left.len() {
        for to in 0..left.len() {
            let amount = left[from].min(-left[to]);
            if from != to && together(from, to) && amount > LEAST {
                left[from] -= amount;
                left[to] += amount;
                moved += amount;
            }
        }
    }
    moved
}
