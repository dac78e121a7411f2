//! The nodes that hang below this one.

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

/// A node that is sent notices.
#[derive(Debug)]
struct Child {
    peer: Peer,
    until: Time,
    /// What it was sent last, from which the next difference is made; `None` if not known.
    held: Option<Held>,
}

/// What a child holds, as far as its parent knows.
#[derive(Clone, Debug)]
struct Held {
    base: Base,
    scope: Scope,
}

/// The nodes that are sent notices.
#[derive(Debug, Default)]
pub struct Children {
    children: IndexMap<Name, Child>,
}

impl Children {
    /// Takes a child, or renews it. False if there is no room.
    fn renew(&mut self, until: Time, now: Time, peer: &Peer) -> bool {
        self.expire(now);
        if let Some(child) = self.children.get_mut(&peer.vm) {
            child.until = until;
            child.peer = peer.clone();
            return true;
        }
        let room = self.children.len() < MAX_CHILDREN;
        if room {
            let child = Child { peer: peer.clone(), until, held: None };
            self.children.insert(peer.vm.clone(), child);
        }
        room
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Lets those go whose lease has run out.
    pub(super) fn expire(&mut self, now: Time) {
        self.children.retain(|_, child| child.until > now);
    }

    pub(super) fn has(&self, vm: &Name) -> bool {
        self.children.contains_key(vm)
    }

    /// Remembers what a child has been sent.
    pub fn record_delivered(&mut self, vm: &Name, delta: &Delta, scope: &Scope) {
        if let Some(child) = self.children.get_mut(vm) {
            let version = delta.summary.in_force.version;
            let base = Base { version, digest: delta.digest };
            child.held = Some(Held { base, scope: scope.clone() });
        }
    }

    /// Every child whose lease runs.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.children.values().filter(move |child| child.until > now).map(|child| &child.peer)
    }

    /// Lets every child go.
    pub fn clear(&mut self) {
        self.children.clear();
    }

    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.children.retain(|_, child| child.peer.address != address);
    }
}

impl Spread {
    /// Whether a peer may hang below this node.
    pub(super) fn accept_child(&mut self, now: Time, from: &Peer) -> bool {
        let open = self.own_report.state == VmState::Live && !self.is_rejoining();
        let lease = match self.cfg.place.link_to(&from.place) {
            Link::Zone | Link::Region => CHILD_LEASE,
            Link::CrossRegion => CHILD_LEASE_CROSS_REGION,
        };
        open && self.children.renew(now + lease, now, from)
    }

    /// Sends children the version in force, and tells the parent of it, except whoever it came
    /// from. A child whose content is known is sent the difference at once; it would otherwise ask
    /// for it, and each version take three messages instead of one.
    pub(super) fn notify(&mut self, now: Time, from: Option<&Peer>, out: &mut Vec<Output>) {
        let Some(store) = &mut self.in_force else { return };
        let notice = PeerMsg::Notice(Box::new(store.summary().clone()));
        let told = |peer: &Peer| from.is_none_or(|from| from.vm != peer.vm);
        let mut messages = Vec::new();
        for child in self.children.children.values_mut() {
            if child.until <= now || !told(&child.peer) {
                continue;
            }
            let delta = child.held.as_mut().and_then(|held| push_delta(store, held));
            let msg = delta.map_or_else(|| notice.clone(), PeerMsg::Delta);
            messages.push((child.peer.clone(), msg));
        }
        let children = &self.children;
        let parent = self.attach.parent().filter(|p| told(p) && !children.has(&p.vm));
        messages.extend(parent.map(|parent| (parent.clone(), notice)));
        for (peer, msg) in messages {
            self.send(&peer, msg, out);
        }
    }
}

/// The difference for a child that holds `held`; `None` if it needs its whole scope.
fn push_delta(store: &mut Store, held: &mut Held) -> Option<Arc<Delta>> {
    let delta = store.delta(Some(&held.base), &held.scope)?;
    delta.base.as_ref()?;
    held.base = Base { version: store.version(), digest: delta.digest };
    Some(delta)
}
