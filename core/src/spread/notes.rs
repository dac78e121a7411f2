//! Notes between the call paths of two nodes: where the node of a VM is found.
//!
//! A note goes to a target of the same service, so that the version in force names its address.
//! A target that a newer version dropped is found by the address that it had before.

use super::limits::{MAX_DROPPED, MAX_EXTRA_ZONES};
use super::message::PeerMsg;
use super::port::{Output, Peer};
use super::{Spread, topology};
use crate::Name;
use crate::call::note::OutgoingNote;
use crate::config::Snapshot;
use crate::config::document::Target;
use crate::place::Place;
use indexmap::IndexMap;

/// Where targets are found that newer versions dropped. Bounded: the oldest go first.
#[derive(Debug, Default)]
pub struct RemovedTargets {
    peers: IndexMap<Name, Peer>,
}

impl RemovedTargets {
    /// Remembers the targets of `before` that `after` lacks.
    fn record(&mut self, before: &Snapshot, after: &Snapshot) {
        for entry in before.targets() {
            let vm = &entry.target.vm;
            if after.target_on(vm).is_none() {
                self.peers.shift_remove(vm);
                self.peers.insert(vm.clone(), peer_of(&entry.target));
            }
        }
        while self.peers.len() > MAX_DROPPED {
            self.peers.shift_remove_index(0);
        }
    }
}

impl Spread {
    /// Remembers what a new version drops.
    pub(super) fn record_removed_targets(&mut self, after: &Snapshot) {
        if let Some(before) = &self.snapshot {
            self.removed_targets.record(before, after);
        }
    }

    /// Sends a note of the call path. One that finds no address is dropped: whoever waits for its
    /// effect asks again.
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

    /// A VM that a version dropped answers no note; only the list of its zone can say that it is
    /// gone.
    fn request_zone_list(&mut self, place: &Place) {
        if !self.extra_zones.contains(place) && self.extra_zones.len() < MAX_EXTRA_ZONES {
            self.extra_zones.push(place.clone());
        }
    }
}

fn peer_of(target: &Target) -> Peer {
    Peer { vm: target.vm.clone(), place: target.place(), address: target.peers }
}
