//! Choice between the distances to the targets of a service.
//!
//! Load pattern: a zone receives more than its slots can run while others have slots to spare. A
//! request leaves its zone only if it saves more waiting time than the distance costs.

use super::peer::{TargetFilter, assumed_network_latency};
use super::{Balancer, PickRequest};
use crate::Name;
use crate::call::policy::Mechanism;
use crate::config::{Class, allows_region};
use crate::place::Link;
use std::time::Duration;

/// Distance cost factor by class (gating, interactive, bulk). Bulk responses fill up links.
const DISTANCE_FACTOR: [u32; 3] = [1, 1, 10];

/// Largest response time, in percent of the typical one, that counts as a usual difference between
/// targets. With 200, targets that drop responses keep requests of their zone.
const USUAL_RUN_PERCENT: u32 = 150;

impl Balancer {
    /// Selects a target that is not known to be overloaded, from the nearest tier or from a farther
    /// one if that saves more time than the distance costs.
    pub fn pick_available(&mut self, request: PickRequest<'_>) -> Option<Name> {
        if let Some((_, known)) = self.statistics.get_index_mut(request.service.0 as usize) {
            known.request_interval.record(request.now);
        }
        let nearest = self.nearest_tier(request)?;
        let keep_in_region =
            request.class == Class::Bulk && self.policy.is_enabled(Mechanism::BulkStays);
        let mut best: Option<(usize, Duration)> = None;
        for link in Link::ALL
            .into_iter()
            .filter(|link| !keep_in_region || *link <= nearest.max(Link::Region))
        {
            let Some(index) = self.draw_available(request, link) else {
                continue;
            };
            let cost = self.tier_cost(request, index) + self.distance_cost(request, nearest, link);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        let (index, _) = best?;
        let index = self.pick_unshared(request, index).unwrap_or(index);
        self.name_of(index)
    }

    /// Returns the nearest tier with a reachable target that is not draining, regardless of load.
    ///
    /// Leaving this tier has a cost even if all targets are overloaded. Otherwise zones would send
    /// requests to each other in both directions.
    fn nearest_tier(&self, request: PickRequest<'_>) -> Option<Link> {
        let tiers = self.services.get(request.service.0 as usize)?;
        let usable = |index: &usize| {
            let peer = &self.peers[*index];
            allows_region(request.regions, &peer.region)
                && peer.is_usable(request.now, TargetFilter::NotDraining, false)
                && peer.ejected_until <= request.now
        };
        let has_usable = |link: &Link| tiers.by_link[*link as usize].iter().any(usable);
        Link::ALL.into_iter().find(has_usable).or(Some(Link::CrossRegion))
    }

    /// Cost of leaving the nearest tier.
    fn distance_cost(&self, request: PickRequest<'_>, nearest: Link, link: Link) -> Duration {
        if link <= nearest || !self.policy.is_enabled(Mechanism::Distance) {
            return Duration::ZERO;
        }
        let percent = self.policy.distance_percent[link as usize - 1];
        let factor = DISTANCE_FACTOR[request.class as usize];
        self.typical_latency(request) * percent * factor / 100
    }

    /// Expected response time of a target compared with those of other tiers.
    ///
    /// Run times of single targets differ for long, and few runs give a noisy mean. Neither is a
    /// reason to leave the zone unless the run alone would miss the objective or takes unusually
    /// long. Nested calls are compared with their run times: a late one delays a run that holds a
    /// slot. Failures count only beyond those of the whole service.
    fn tier_cost(&self, request: PickRequest<'_>, index: usize) -> Duration {
        if !self.policy.is_enabled(Mechanism::ZoneFlows) {
            return self.waiting_cost(request, index);
        }
        let peer = &self.peers[index];
        let typical = self.typical_latency(request) + assumed_network_latency(peer.link);
        let known = self.statistics.get_index(peer.service);
        let service_rate = known.map_or(0, |(_, known)| known.failure_rate.decayed(request.now));
        let latency = self.typical_latency(request);
        let expected = peer.cost_beyond(request.now, request.class, latency, service_rate);
        let misses = typical <= request.time_left && request.time_left < expected;
        let is_nested = request.class == Class::Gating;
        let is_slow = expected > typical * USUAL_RUN_PERCENT / 100;
        let response_time = if misses || is_slow || is_nested { expected } else { typical };
        response_time + self.expected_wait(request, index)
    }
}
