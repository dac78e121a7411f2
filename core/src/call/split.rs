//! Which service of a split route gets a request.

use crate::Name;
use crate::config::ServiceKey;
use crate::config::snapshot::RouteEntry;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The turns of split routes at one entry node.
///
/// Each service of a split collects its weight with every request; the one that has collected most
/// gets the request and pays the sum of all weights. The parts are then exact over few requests
/// already, which drawing at random is not. Every node starts at a random point of the sequence,
/// so that many nodes with few requests each do not all begin with the same service.
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
    /// No route yet; `seed` feeds the starting points.
    pub fn new(seed: u64) -> TrafficSplits {
        TrafficSplits { rng: Pcg64Mcg::seed_from_u64(seed), routes: IndexMap::new() }
    }

    /// Forgets the routes that a version no longer has.
    pub fn retain(&mut self, routes: &[RouteEntry]) {
        self.routes.retain(|name, _| routes.iter().any(|entry| entry.name == *name));
    }

    /// The service for the next request of a route.
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
