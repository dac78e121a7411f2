//! Retry accounting of an entry node.

use super::{Arrival, Call};
use crate::call::budget::{Budget, RetryLimits};
use crate::config::{Class, RouteKey, ServiceKey, Snapshot};
use crate::{Name, Time};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

/// Retry budgets of one entry node.
///
/// A retried run repeats its nested calls, which the downstream service receives in addition to its
/// own retries. Three rules keep the total within the budget of each service without coordination
/// between nodes:
///
/// - A nested call of a repeated run is charged to the budget of the service it calls.
/// - Retries of a route are limited to a share of that route's own first attempts, so the nested
///   calls that they cause stay within the same share downstream.
/// - A service retries its own failures with whatever remains of its budget.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    rng: Pcg64Mcg,
    services: IndexMap<Name, Budget>,
    // Only for services with a fleet-wide budget.
    routes: IndexMap<Name, Budget>,
}

impl RetryBudgets {
    pub(super) fn new(seed: u64) -> RetryBudgets {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        RetryBudgets { rng, services: IndexMap::new(), routes: IndexMap::new() }
    }

    /// Drops services and routes that a new configuration version has removed.
    pub(super) fn configure(&mut self, snapshot: &Snapshot) {
        self.services.retain(|name, _| snapshot.service_named(name).is_some());
        let names: HashSet<&Name> = snapshot.routes().iter().map(|entry| &entry.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }

    /// Whether to count a call as nested within a repeated run.
    ///
    /// A nested call does not identify its run. Repeated runs are assumed to make a proportional
    /// share of the target's calls, so each call is counted as theirs with that probability.
    pub(super) fn is_nested_repeat(&mut self, arrival: &Arrival<'_>, class: Class) -> bool {
        let runs = arrival.own_runs;
        let nested = class == Class::Gating || arrival.depth > 0;
        nested && runs.repeats > 0 && self.rng.random_range(0..runs.all) < runs.repeats
    }

    pub(super) fn record(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        (route, service): (RouteKey, ServiceKey),
        repeat: bool,
    ) {
        let service = snapshot.service(service);
        let route = &snapshot.route(route).name;
        let limits = RetryLimits {
            percent: service.limits.retry_budget_percent,
            reserve: service.limits.retry_reserve,
            nodes: snapshot.targets().len() as u32,
        };
        let service_budget = self.services.entry(service.name.clone()).or_default();
        service_budget.record(now, limits, repeat);
        if limits.reserve.is_some() {
            let route_budget = self.routes.entry(route.clone()).or_default();
            route_budget.record(now, limits, repeat);
        }
    }

    /// Charges a retry to the budgets of its service and route. Returns `false` if either is
    /// exhausted.
    pub(super) fn try_take(&mut self, now: Time, call: &Call) -> bool {
        let route = &call.snapshot.route(call.route).name;
        let service_budget = self.services.entry(call.service.clone()).or_default();
        let Some(route_budget) = self.routes.get_mut(route) else {
            return service_budget.try_take(now);
        };
        let available = service_budget.is_available(now) && route_budget.is_available(now);
        available && service_budget.try_take(now) && route_budget.try_take(now)
    }
}
