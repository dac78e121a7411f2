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
pub struct Splits {
    rng: Pcg64Mcg,
    routes: IndexMap<Name, Turns>,
}

#[derive(Debug)]
struct Turns {
    weights: Vec<u32>,
    collected: Vec<i64>,
}

impl Splits {
    /// No route yet; `seed` feeds the starting points.
    pub fn new(seed: u64) -> Splits {
        Splits { rng: Pcg64Mcg::seed_from_u64(seed), routes: IndexMap::new() }
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
        let known = self.routes.get(&entry.name).is_some_and(|turns| turns.weights == weights);
        if !known {
            let turns = Turns::new(weights, &mut self.rng);
            self.routes.insert(entry.name.clone(), turns);
        }
        let index = self.routes.get_mut(&entry.name).map_or(0, Turns::next);
        entry.split[index].0
    }
}

impl Turns {
    fn new(weights: Vec<u32>, rng: &mut Pcg64Mcg) -> Turns {
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        let collected = weights.iter().map(|_| rng.random_range(0..sum.max(1))).collect();
        Turns { weights, collected }
    }

    fn next(&mut self) -> usize {
        let sum: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        for (collected, weight) in self.collected.iter_mut().zip(&self.weights) {
            *collected += i64::from(*weight);
        }
        let most = self.collected.iter().enumerate().max_by_key(|(_, collected)| **collected);
        let index = most.map_or(0, |(index, _)| index);
        self.collected[index] -= sum;
        index
    }
}
