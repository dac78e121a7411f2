//! The nodes attached to this one.

use super::Spread;
use super::limits::{CHILD_LEASE, CHILD_LEASE_CROSS_REGION, MAX_CHILDREN};
use super::message::{Base, Delta, PeerMsg};
use super::port::{Output, Peer};
use super::store::Store;
use crate::config::Scope;
use crate::member::VmState;
use crate::place::Link;
use crate::{Name, Time};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// An attached node, which receives notices until its lease expires.
#[derive(Debug)]
struct Child {
    peer: Peer,
    lease_until: Time,
    /// The last content sent to the child, used as the base of the next delta; `None` if unknown.
    held: Option<Held>,
}

/// The content a child is assumed to hold.
#[derive(Clone, Debug)]
struct Held {
    base: Base,
    scope: Scope,
}

/// All attached nodes.
#[derive(Debug, Default)]
pub struct Children {
    children: IndexMap<Name, Child>,
}

impl Children {
    /// Adds a child or renews its lease. Returns false if [`MAX_CHILDREN`] is reached.
    fn renew(&mut self, lease_until: Time, now: Time, peer: &Peer) -> bool {
        self.expire(now);
        if let Some(child) = self.children.get_mut(&peer.vm) {
            child.lease_until = lease_until;
            child.peer = peer.clone();
            return true;
        }
        let room = self.children.len() < MAX_CHILDREN;
        if room {
            let child = Child { peer: peer.clone(), lease_until, held: None };
            self.children.insert(peer.vm.clone(), child);
        }
        room
    }
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Removes children whose leases have expired.
    pub(super) fn expire(&mut self, now: Time) {
        self.children.retain(|_, child| child.lease_until > now);
    }

    pub(super) fn has(&self, vm: &Name) -> bool {
        self.children.contains_key(vm)
    }

    /// Records the content sent to a child.
    pub fn record_delivered(&mut self, vm: &Name, delta: &Delta, scope: &Scope) {
        if let Some(child) = self.children.get_mut(vm) {
            let version = delta.summary.in_force.version;
            let base = Base { version, digest: delta.digest };
            child.held = Some(Held { base, scope: scope.clone() });
        }
    }

    /// Children whose leases have not expired.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.children.values().filter(move |child| child.lease_until > now).map(|child| &child.peer)
    }
    pub fn clear(&mut self) {
        self.children.clear();
    }

    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.children.retain(|_, child| child.peer.address != address);
    }
}

impl Spread {
    /// Attaches a peer as a child or renews its lease. Returns whether the peer is attached.
    pub(super) fn accept_child(&mut self, now: Time, from: &Peer) -> bool {
        let open = self.own_report.state == VmState::Live && !self.is_rejoining();
        let lease = match self.cfg.place.link_to(&from.place) {
            Link::Zone | Link::Region => CHILD_LEASE,
            Link::CrossRegion => CHILD_LEASE_CROSS_REGION,
        };
        open && self.children.renew(now + lease, now, from)
    }

    /// Sends the version in force to all children and a notice to the parent, skipping the peer
    /// that the version came from. Children whose content is known get the delta immediately, which
    /// saves the notice and pull round trip.
    pub(super) fn notify(&mut self, now: Time, from: Option<&Peer>, out: &mut Vec<Output>) {
        let Some(store) = &mut self.in_force else { return };
        let notice = PeerMsg::Notice(Box::new(store.summary().clone()));
        let should_notify = |peer: &Peer| from.is_none_or(|from| from.vm != peer.vm);
        let mut messages = Vec::new();
        for child in self.children.children.values_mut() {
            if child.lease_until <= now || !should_notify(&child.peer) {
                continue;
            }
            let delta = child.held.as_mut().and_then(|held| push_delta(store, held));
            let msg = delta.map_or_else(|| notice.clone(), PeerMsg::Delta);
            messages.push((child.peer.clone(), msg));
        }
        let children = &self.children;
        let parent = self.attach.parent().filter(|p| should_notify(p) && !children.has(&p.vm));
        messages.extend(parent.map(|parent| (parent.clone(), notice)));
        for (peer, msg) in messages {
            self.send(&peer, msg, out);
        }
    }
}

/// Returns the delta for a child that holds `held`; `None` if the child needs its full scope.
fn push_delta(store: &mut Store, held: &mut Held) -> Option<Arc<Delta>> {
    let delta = store.delta(Some(&held.base), &held.scope)?;
    delta.base.as_ref()?;
    held.base = Base { version: store.version(), digest: delta.digest };
    Some(delta)
}
