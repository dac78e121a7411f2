//! Which requests count as repeats, and how many an entry node may make.

use super::{Arrival, Call};
use crate::call::budget::{Budget, RetryLimits};
use crate::config::{Class, RouteKey, ServiceKey, Snapshot};
use crate::{Name, Time};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

/// The retry budgets of one entry node.
///
/// A run that is made again makes its nested calls again, which the service below sees beside its
/// own retries. Three rules keep the sum within each service's budget without messages:
///
/// - a call of a run that is a repeat uses up the budget of the service it goes to;
/// - retries of a route stay under the share of that route's own first attempts, so that the
///   calls which they make stay under the same share of first calls below;
/// - what is left of a service's budget after both is all that its own failures may use.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    rng: Pcg64Mcg,
    services: IndexMap<Name, Budget>,
    // Only of services whose budget holds over the fleet.
    routes: IndexMap<Name, Budget>,
}

impl RetryBudgets {
    pub(super) fn new(seed: u64) -> RetryBudgets {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        RetryBudgets { rng, services: IndexMap::new(), routes: IndexMap::new() }
    }

    /// Forgets services and routes that a version no longer has.
    pub(super) fn configure(&mut self, snapshot: &Snapshot) {
        self.services.retain(|name, _| snapshot.service_named(name).is_some());
        let names: HashSet<&Name> = snapshot.routes().iter().map(|entry| &entry.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }

    /// Whether a call is made by a run that is itself a repeat.
    ///
    /// A nested call does not say which run makes it. The target's runs that are repeats make
    /// their share of its calls, so that each call is taken for one of theirs with that chance.
    pub(super) fn is_nested_repeat(&mut self, arrival: &Arrival<'_>, class: Class) -> bool {
        let runs = arrival.own_runs;
        let nested = class == Class::Gating || arrival.depth > 0;
        nested && runs.repeats > 0 && self.rng.random_range(0..runs.all) < runs.repeats
    }

    /// Counts a request that has come, as a first attempt or as a repeat.
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

    /// Takes one retry of a request out of the budgets of its service and its route. Returns
    /// false if either has none left.
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
