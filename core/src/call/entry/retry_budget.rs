//! Retry accounting of an entry node.

use super::{Arrival, Call};
use crate::call::budget::WHOLE_BUDGET_PERCENT;
use crate::call::budget::{Budget, RetryLimits};
use crate::config::{Class, RouteKey, ServiceKey, Snapshot};
use crate::{Name, Time};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use std::time::Duration;

/// Share of the budget that is left to hedges, in percent. The rest is kept for requests that would
/// fail without a retry.
const HEDGE_PERCENT: u32 = 75;

/// Share of the budget that is left to a request, in percent, by the number of times that its caller
/// has come back.
const PERCENT_BY_RETURNS: [u32; 3] = [25, 50, 100];

const PERCENT: u64 = 100;

/// How long the reserve stays divided by the number of targets that were listed. Nodes whose targets
/// are gone go on retrying. Longer than a target takes to come back.
const NODES_RETENTION: Duration = Duration::from_secs(300);

/// Retry budgets of one entry node.
///
/// While a service rejects more requests than the budget allows to retry, it goes to those that
/// have no other way left: callers return a few times after a rejection, and a nested call fails the
/// request that made it.
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
    // Shards of the node, each of which has budgets of its own.
    shards: u32,
    nodes: NodeCount,
    services: IndexMap<Name, Budget>,
    // Only for services with a fleet-wide budget.
    routes: IndexMap<Name, Budget>,
}

/// Number of nodes that share the reserves.
#[derive(Clone, Copy, Debug, Default)]
struct NodeCount {
    count: u32,
    // When as many were last listed.
    listed_at: Time,
}

impl NodeCount {
    /// Returns the largest number of targets listed within [`NODES_RETENTION`], or the present one if
    /// it has been lower for longer.
    fn update(&mut self, now: Time, snapshot: &Snapshot) -> u32 {
        let listed = snapshot.targets().len() as u32;
        if listed >= self.count || now.since(self.listed_at) >= NODES_RETENTION {
            *self = NodeCount { count: listed, listed_at: now };
        }
        self.count
    }
}

impl RetryBudgets {
    pub(super) fn new(seed: u64) -> RetryBudgets {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = NodeCount::default();
        RetryBudgets { rng, shards: 1, nodes, services: IndexMap::new(), routes: IndexMap::new() }
    }

    pub(super) fn set_shards(&mut self, shards: u32) {
        self.shards = shards;
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
            nodes: self.nodes.update(now, snapshot) * self.shards,
        };
        let rng = &mut self.rng;
        let mut record = |budgets: &mut IndexMap<Name, Budget>, name: &Name| {
            let is_new = !budgets.contains_key(name);
            let budget = budgets.entry(name.clone()).or_default();
            budget.record(now, limits, repeat);
            if is_new {
                budget.set_rounding(rng.random_range(0..PERCENT));
            }
        };
        record(&mut self.services, &service.name);
        if limits.reserve.is_some() {
            record(&mut self.routes, route);
        }
    }

    /// Charges a retry of a request that would fail without it. Returns `false` if the budget of its
    /// service or of its route is exhausted.
    pub(super) fn try_take(&mut self, now: Time, call: &Call) -> bool {
        let is_nested = call.terms.class == Class::Gating || call.depth > 0;
        let percent = match is_nested {
            true => WHOLE_BUDGET_PERCENT,
            false => {
                PERCENT_BY_RETURNS[(call.returns() as usize).min(PERCENT_BY_RETURNS.len() - 1)]
            }
        };
        self.try_take_within(now, call, percent)
    }

    /// Charges a hedge, which may use a part of the budget only.
    pub(super) fn try_take_hedge(&mut self, now: Time, call: &Call) -> bool {
        self.try_take_within(now, call, HEDGE_PERCENT)
    }

    fn try_take_within(&mut self, now: Time, call: &Call, percent: u32) -> bool {
        let route = &call.snapshot.route(call.route).name;
        let service_budget = self.services.entry(call.service.clone()).or_default();
        let Some(route_budget) = self.routes.get_mut(route) else {
            return service_budget.try_take(now, percent);
        };
        let available =
            service_budget.is_available(now, percent) && route_budget.is_available(now, percent);
        available && service_budget.try_take(now, percent) && route_budget.try_take(now, percent)
    }
}
