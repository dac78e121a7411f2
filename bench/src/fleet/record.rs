//! Recording of version changes in the history of a fleet.

use super::Fleet;
use super::publication::Publication;
use super::slot::Start;
use crate::history::{self, Content, Record};
use crate::links::Site;
use std::sync::Arc;
use sycamore_core::Time;
use sycamore_core::config::Snapshot;

impl Fleet {
    pub(super) fn handle_in_force(&mut self, node: usize, snapshot: &Arc<Snapshot>) {
        let now = self.links.now();
        let in_force = &snapshot.in_force;
        if self.setup.record_history {
            self.record_in_force(node, snapshot);
        }
        self.convergence.record_in_force(node, in_force.version, now);
        self.slots[node].set_in_force(in_force.clone(), now);
    }

    pub(super) fn record_in_force(&mut self, node: usize, snapshot: &Arc<Snapshot>) {
        let at = self.links.now();
        if self.slots[node].in_force.is_none() && self.setup.profile.loss_ppm == 0 {
            let version = self.newest_neighbour_version(node);
            self.history.push(Record::NeighbourVersion { at, node, version });
        }
        let scope = self.slots[node].scope.as_deref();
        let content = match self.published_presets.get(&snapshot.in_force) {
            Some(preset) => history::compare_content(snapshot, preset, scope),
            None => Content::Unpublished,
        };
        let publication = history::Publication {
            version: snapshot.in_force.version,
            digest: snapshot.in_force.digest,
        };
        self.history.push(Record::InForce { at, node, publication, content });
    }

    /// Newest version that any neighbour held when the node started, considering only neighbours
    /// that have been reachable ever since.
    pub(super) fn newest_neighbour_version(&self, node: usize) -> u64 {
        let Some(start) = &self.slots[node].start else { return 0 };
        let stayed_reachable = |other: usize, incarnation: u32| {
            let slot = &self.slots[other];
            slot.incarnation == incarnation
                && slot.last_impaired < start.at
                && self.connected_since(node, other, start.at)
        };
        let versions = start.neighbours.iter().filter(|n| stayed_reachable(n.node, n.incarnation));
        versions.map(|neighbour| neighbour.version).max().unwrap_or(0)
    }

    pub(super) fn connected_since(&self, a: usize, b: usize, since: Time) -> bool {
        let sites = (self.site(a), self.site(b));
        let cut_before = |site: Site| self.last_cut[site.zone as usize] < since;
        let uncut = !self.links.is_cut(sites.0, sites.1);
        uncut && (sites.0.zone == sites.1.zone || cut_before(sites.0) && cut_before(sites.1))
    }

    pub(super) fn capture_start(&self, node: usize) -> Start {
        let zone = self.site(node).zone;
        let is_neighbour = |other: &usize| {
            *other != node
                && (self.site(*other).zone == zone || self.slots[node].seeds.contains(other))
        };
        let is_reachable = |other: &usize| {
            let slot = &self.slots[*other];
            slot.is_running()
                && !slot.is_impaired()
                && !self.links.is_cut(self.site(node), self.site(*other))
        };
        let others = (0..self.slots.len()).filter(is_neighbour).filter(is_reachable);
        let neighbours = others.map(|other| self.slots[other].as_neighbour(other)).collect();
        Start { at: self.links.now(), neighbours }
    }

    pub(super) fn record_published(&mut self, publication: &Publication, valid: bool) {
        let in_force = publication.in_force.clone();
        let (version, digest) = (in_force.version, in_force.digest);
        let at = self.links.now();
        let record = history::Publication { version, digest };
        self.history.push(Record::Published { at, publication: record, valid });
        if valid {
            self.published_presets.insert(in_force, publication.preset.clone());
        }
    }
}
