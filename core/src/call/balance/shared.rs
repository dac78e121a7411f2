//! Leaves room to requests that are bound to regions.
//!
//! While the targets of these regions are full, each request that could have run elsewhere keeps a
//! bound one from running. Requests that may run anywhere then prefer targets outside these regions:
//! the wait that they save is weighed against the network latency only, not against the cost of the
//! traffic.

use super::{Balancer, PickRequest};
use crate::Time;
use crate::call::Load;
use crate::call::policy::Mechanism;
use crate::config::{Class, Snapshot};
use crate::place::Link;
use std::time::Duration;

/// The newest report is weighted by the reciprocal of this in the moving average of waits.
const WAIT_EWMA_DIVISOR: u32 = 16;

/// How long the average is used after the newest report.
const WAIT_TTL: Duration = Duration::from_secs(1);

/// Moving average of the waits that the targets shared with bound requests report.
///
/// The report of a single target doesn't suffice: the balancer prefers targets that were not full
/// when they last reported, which they may be by now.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SharedWait {
    mean: Duration,
    reported_at: Time,
}

impl SharedWait {
    pub(super) fn record(&mut self, now: Time, load: Load) {
        let newest = Duration::from_millis(load.wait_ms.into());
        self.mean = match now.since(self.reported_at) < WAIT_TTL {
            true => (self.mean * (WAIT_EWMA_DIVISOR - 1) + newest) / WAIT_EWMA_DIVISOR,
            false => newest,
        };
        self.reported_at = now;
    }

    fn mean(&self, now: Time) -> Duration {
        if now.since(self.reported_at) < WAIT_TTL { self.mean } else { Duration::ZERO }
    }
}

impl Balancer {
    /// Marks the targets that requests of routes bound to regions may use.
    pub(super) fn mark_shared(&mut self, snapshot: &Snapshot) {
        for peer in self.peers.values_mut() {
            peer.shared = false;
        }
        for entry in snapshot.routes().iter().filter(|entry| !entry.route.regions.is_empty()) {
            let parts = entry.split.iter().map(|(service, _)| *service);
            for service in parts.chain([entry.service]) {
                let targets = self.services[service.0 as usize].by_link.iter().flatten();
                for index in targets {
                    let peer = &mut self.peers[*index];
                    peer.shared |= entry.route.allows_region(&peer.region);
                }
            }
        }
    }

    /// Selects a target that bound requests may not use, if `best` is one that they may use and is
    /// expected to respond later.
    pub(super) fn pick_unshared(&mut self, request: PickRequest<'_>, best: usize) -> Option<usize> {
        let may_leave = request.regions.is_empty()
            && request.class != Class::Bulk
            && self.policy.is_enabled(Mechanism::SharedRoom);
        let wait = self.services[request.service.0 as usize].shared_wait.mean(request.now);
        if !may_leave || !self.peers[best].shared || wait.is_zero() {
            return None;
        }
        let cost = self.waiting_cost(request, best).max(self.unloaded_cost(request, best) + wait);
        let mut least = (best, cost);
        for link in Link::ALL {
            let unshared = self.draw_cheapest(request, link, |peer| {
                !peer.shared && !peer.is_overloaded(request.now, request.class, request.rank)
            });
            let Some(index) = unshared else { continue };
            let cost = self.waiting_cost(request, index);
            if cost < least.1 {
                least = (index, cost);
            }
        }
        (least.0 != best).then_some(least.0)
    }
}
