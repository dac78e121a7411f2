//! Selects the service for requests to a route with a traffic split.

use crate::Name;
use crate::config::ServiceKey;
use crate::config::snapshot::RouteEntry;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Traffic splits of one entry node.
///
/// Uses smooth weighted round robin, which matches the weights even over a few requests. Each node
/// starts at a random position, so that nodes with little traffic do not all begin with the same
/// service.
#[derive(Debug)]
pub struct TrafficSplits {
    rng: Pcg64Mcg,
    routes: IndexMap<Name, WeightedRoundRobin>,
}

#[derive(Debug)]
struct WeightedRoundRobin {
    weights: Vec<u32>,
    current: Vec<i64>,
}

impl TrafficSplits {
    /// `seed` determines the starting positions.
    pub fn new(seed: u64) -> TrafficSplits {
        TrafficSplits { rng: Pcg64Mcg::seed_from_u64(seed), routes: IndexMap::new() }
    }

    /// Drops routes that a new configuration version has removed.
    pub fn retain(&mut self, routes: &[RouteEntry]) {
        self.routes.retain(|name, _| routes.iter().any(|entry| entry.name == *name));
    }

    /// Returns the service for the next request.
    pub fn choose(&mut self, entry: &RouteEntry) -> ServiceKey {
        if entry.split.is_empty() {
            return entry.service;
        }
        let weights: Vec<u32> = entry.split.iter().map(|(_, weight)| *weight).collect();
        let up_to_date =
            self.routes.get(&entry.name).is_some_and(|rotation| rotation.weights == weights);
        if !up_to_date {
            let rotation = WeightedRoundRobin::new(weights, &mut self.rng);
            self.routes.insert(entry.name.clone(), rotation);
        }
        let index = self.routes.get_mut(&entry.name).map_or(0, WeightedRoundRobin::next);
        entry.split[index].0
    }
}

impl WeightedRoundRobin {
    fn new(weights: Vec<u32>, rng: &mut Pcg64Mcg) -> WeightedRoundRobin {
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        let current = weights.iter().map(|_| rng.random_range(0..sum.max(1))).collect();
        WeightedRoundRobin { weights, current }
    }

    fn next(&mut self) -> usize {
        let sum: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        for (current, weight) in self.current.iter_mut().zip(&self.weights) {
            *current += i64::from(*weight);
        }
        let next = self.current.iter().enumerate().max_by_key(|(_, current)| **current);
        let index = next.map_or(0, |(index, _)| index);
        self.current[index] -= sum;
        index
    }
}
