//! Address resolution for notes between the call paths of two nodes.
//!
//! Notes are sent to targets of the same service, whose addresses are part of the version in force.
//! A target removed by a newer version is reached at its last known address.

use super::limits::{MAX_EXTRA_ZONES, MAX_REMOVED_TARGETS};
use super::message::PeerMsg;
use super::port::{Output, Peer};
use super::{Spread, topology};
use crate::Name;
use crate::call::note::OutgoingNote;
use crate::config::Snapshot;
use crate::config::document::Target;
use crate::place::Place;
use indexmap::IndexMap;

/// Last known addresses of targets removed by newer versions. Bounded; evicts the oldest first.
#[derive(Debug, Default)]
pub struct RemovedTargets {
    peers: IndexMap<Name, Peer>,
}

impl RemovedTargets {
    /// Records the targets that are in `before` but not in `after`.
    fn record(&mut self, before: &Snapshot, after: &Snapshot) {
        for entry in before.targets() {
            let vm = &entry.target.vm;
            if after.target_on(vm).is_none() {
                self.peers.shift_remove(vm);
                self.peers.insert(vm.clone(), peer_of(&entry.target));
            }
        }
        while self.peers.len() > MAX_REMOVED_TARGETS {
            self.peers.shift_remove_index(0);
        }
    }
}

impl Spread {
    /// Records the targets that a new version removes.
    pub(super) fn record_removed_targets(&mut self, after: &Snapshot) {
        if let Some(before) = &self.snapshot {
            self.removed_targets.record(before, after);
        }
    }

    /// Sends a note of the call path. A note without a known address is discarded; the call path
    /// retries if it needs an answer.
    pub(super) fn send_note(&mut self, note: OutgoingNote, out: &mut Vec<Output>) {
        let listed = self.members.find(&note.to).map(topology::peer);
        let Some(peer) = self.target_peer(&note.to).or(listed) else { return };
        self.send(&peer, PeerMsg::Note(note.note), out);
    }

    fn target_peer(&mut self, vm: &Name) -> Option<Peer> {
        let snapshot = self.snapshot.as_ref()?;
        if let Some(key) = snapshot.target_on(vm) {
            return Some(peer_of(&snapshot.target(key).target));
        }
        let peer = self.removed_targets.peers.get(vm)?.clone();
        self.request_zone_list(&peer.place);
        Some(peer)
    }

    /// Schedules a read of the VM list of `place`. A removed target may have stopped and never
    /// answer a note; only the list of its zone can confirm that.
    fn request_zone_list(&mut self, place: &Place) {
        if !self.extra_zones.contains(place) && self.extra_zones.len() < MAX_EXTRA_ZONES {
            self.extra_zones.push(place.clone());
        }
    }
}

fn peer_of(target: &Target) -> Peer {
    Peer { vm: target.vm.clone(), place: target.place(), address: target.peers }
}
