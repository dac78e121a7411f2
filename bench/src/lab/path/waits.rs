//! Waits of requests while slots that they may use are free.

use crate::lab::mesh::TargetState;
use crate::lab::world::{Event, World};
use std::time::Duration;
use sycamore_core::call::CallKey;
use sycamore_core::config::Class;

/// Interval between samples of the free slots. A slot that is free at two successive samples is
/// free for longer than a message takes within a region.
pub(in crate::lab) const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

impl World<'_> {
    /// Counts a request that is queued at its gatekeeper.
    pub(super) fn record_queued(&mut self, attempt_key: CallKey) {
        let now = self.links.now();
        let measured = self.is_measured(now);
        let Some(attempt) = self.attempts.get_mut(&attempt_key) else { return };
        if attempt.queued_at.replace(now).is_none() {
            let name = self.kinds[attempt.kind].name.clone();
            self.tally.waits.entry(name).or_default().0 += u64::from(measured);
        }
    }

    /// Counts the waits during which a slot in the region of the entry node stands free.
    pub(in crate::lab) fn sample_slots(&mut self) {
        let now = self.links.now();
        let is_free = |node: &usize| {
            let state = &self.nodes[*node];
            let ready = state.up && self.mesh.target_states[*node] == TargetState::Ready;
            ready && state.target.has_free_slot(now)
        };
        let free: Vec<usize> = (0..self.nodes.len()).filter(is_free).collect();
        let before = std::mem::replace(&mut self.free_nodes, free);
        let still_free: Vec<usize> =
            before.into_iter().filter(|node| self.free_nodes.contains(node)).collect();
        let waiting = self.attempts.iter().filter(|(_, attempt)| {
            let since = attempt.queued_at.filter(|_| !attempt.running && !attempt.free_seen);
            since.is_some_and(|since| now.since(since) >= SAMPLE_INTERVAL)
        });
        let beside: Vec<CallKey> = waiting
            .filter(|(_, attempt)| {
                let entry = self.calls.get(&attempt.call).map(|call| call.node);
                still_free.iter().any(|node| self.may_use(entry, attempt.kind, *node))
            })
            .map(|(key, _)| *key)
            .collect();
        for key in beside {
            if let Some(attempt) = self.attempts.get_mut(&key) {
                attempt.free_seen = true;
                let measured = attempt.queued_at.is_some_and(|at| at >= self.warm_up_end);
                let name = self.kinds[attempt.kind].name.clone();
                self.tally.waits.entry(name).or_default().1 += u64::from(measured);
            }
        }
        if self.callers_active() {
            self.links.after(SAMPLE_INTERVAL, Event::SlotsSampled);
        }
    }

    /// Whether a request of a kind that entered at a node may use the target of another node in its
    /// region now. A bulk response also needs the link of the target's VM.
    fn may_use(&self, entry: Option<usize>, kind: usize, node: usize) -> bool {
        let Some(entry) = entry else { return false };
        let (from, to) = (&self.mesh.sites[entry].place, &self.mesh.sites[node].place);
        let cfg = &self.kinds[kind].cfg;
        let bulk = cfg.class == Class::Bulk && node != entry;
        self.kinds[kind].service == self.mesh.sites[node].service
            && from.region == to.region
            && (cfg.regions.is_empty() || cfg.regions.contains(&to.region))
            && !self.conditions.is_cut(entry, node)
            && !(bulk && self.nodes[node].link_until > self.links.now())
    }
}
