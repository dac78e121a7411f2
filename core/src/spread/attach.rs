//! Selection and monitoring of the parent.

use super::backoff::{jitter, with_jitter};
use super::limits::{
    COMPARE_INTERVAL, CROSS_ZONE_COMPARE_EVERY, CROSS_ZONE_PARENT_HOPS, FALLBACK_PARENT_HOPS,
    HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_CROSS_REGION, HEARTBEAT_INTERVAL_WITHOUT_LIST,
    MAX_BLOCKED_PEERS, NO_PATH, PARENT_UPGRADE_INTERVAL, RELAY_PARENT_HOPS, RELAYS_PER_ZONE,
    SEARCH_PAUSE, SEARCH_RANDOM_PEERS, SEARCH_WIDTH,
};
use super::message::{PingKind, Pong};
use super::port::{Output, Peer};
use super::{Spread, topology};
use crate::event::{Event, EventKind};
use crate::place::{Link, Place};
use crate::{Code, Name, Time};
use indexmap::IndexMap;
use rand::RngExt;
use std::time::Duration;

/// The current parent, or the state of the search for one.
#[derive(Debug, Default)]
pub struct Attach {
    parent: Option<Peer>,
    hops: u8,
    /// Time of the next ping to the parent or of the next search round.
    next_at: Time,
    /// Search rounds since the last parent was lost.
    search_rounds: usize,
    upgrade_at: Time,
    compare_at: Time,
    /// Peers that must not become the parent, with the time at which the block ends.
    blocked: IndexMap<Name, Time>,
}

impl Attach {
    pub fn parent(&self) -> Option<&Peer> {
        self.parent.as_ref()
    }

    /// Hops from the parent to a reader; [`NO_PATH`] without a parent.
    pub fn hops(&self) -> u8 {
        if self.parent.is_some() { self.hops } else { NO_PATH }
    }

    /// Drops the parent and restarts the search.
    pub fn forget(&mut self, now: Time) {
        *self = Attach { next_at: now, ..Attach::default() };
    }

    fn allows(&self, now: Time, peer: &Peer) -> bool {
        self.blocked.get(&peer.vm).is_none_or(|until| *until <= now)
    }

    /// Schedules an attempt to attach to the best candidate.
    pub fn candidates_changed(&mut self, now: Time) {
        self.upgrade_at = now;
        if self.parent.is_none() {
            self.search_rounds = 0;
            self.next_at = now;
        }
    }
}

impl Spread {
    /// Whether the search has run for several rounds without finding a parent.
    pub(super) fn is_orphan(&self) -> bool {
        let candidate_count = self.topology.parent_candidates.len();
        if candidate_count == 0 {
            return self.members.list(&self.cfg.place.zone).is_some();
        }
        let rounds = 1 + candidate_count.div_ceil(SEARCH_WIDTH);
        self.attach.parent.is_none() && self.attach.search_rounds > rounds.min(3)
    }

    /// Distance to a reader, as reported to children.
    pub(super) fn own_hops(&self) -> u8 {
        match self.topology.reader {
            Some(_) => 0,
            None if self.is_orphan() && self.source.is_watching() => 1,
            None => self.attach.hops().saturating_add(1),
        }
    }

    /// Whether any peer with a path to a reader is acceptable as the parent. False for a node that
    /// reads the platform itself: peers that attach to it would otherwise become its parent and
    /// form a loop.
    fn accepts_any_parent(&self) -> bool {
        self.is_orphan() && !self.source.is_watching()
    }

    /// Interval between pings to the parent.
    fn heartbeat(&self, parent: &Peer) -> Duration {
        if self.topology.zone_vms == 0 {
            return HEARTBEAT_INTERVAL_WITHOUT_LIST;
        }
        match self.cfg.place.link_to(&parent.place) {
            Link::Zone | Link::Region => HEARTBEAT_INTERVAL,
            Link::CrossRegion => HEARTBEAT_INTERVAL_CROSS_REGION,
        }
    }

    pub(super) fn attach_wake(&self, now: Time) -> Option<Time> {
        let searching = self.attach.parent.is_none();
        let has_candidates = !self.topology.parent_candidates.is_empty();
        let waits = searching && self.pending_pings.has_pending(PingKind::Attach);
        let next = (has_candidates && !waits).then_some(self.attach.next_at);
        let upgrade = self.better_parent(now).map(|_| self.attach.upgrade_at);
        next.into_iter().chain(upgrade).chain([self.attach.compare_at]).min()
    }

    /// The best candidate, if it is not the current parent.
    fn better_parent(&self, now: Time) -> Option<&Peer> {
        let held = self.attach.parent.as_ref()?;
        let best = self
            .topology
            .parent_candidates
            .iter()
            .find(|candidate| self.attach.allows(now, candidate))?;
        (best != held).then_some(best)
    }

    /// Excludes a peer from becoming the parent for `span`.
    ///
    /// Guards against a parent that answers pings but sends invalid content or none.
    pub(super) fn block_parent(
        &mut self,
        now: Time,
        peer: &Peer,
        span: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.attach.blocked.len() >= MAX_BLOCKED_PEERS {
            self.attach.blocked.swap_remove_index(0);
        }
        self.attach.blocked.insert(peer.vm.clone(), now + span);
        if self.attach.parent.as_ref() == Some(peer) {
            self.lose_parent(now, out);
        }
    }

    pub(super) fn tick_attach(&mut self, now: Time, out: &mut Vec<Output>) {
        self.children.expire(now);
        match self.attach.parent.clone() {
            Some(parent) if now >= self.attach.next_at => {
                self.attach.next_at = now + with_jitter(self.heartbeat(&parent), &mut self.rng);
                self.ping_peer(now, &parent, PingKind::Attach, out);
            }
            Some(_) => {}
            None => self.search_parent(now, out),
        }
        let best = self.better_parent(now).cloned();
        if let Some(best) = best.filter(|_| now >= self.attach.upgrade_at) {
            self.attach.upgrade_at = now + with_jitter(PARENT_UPGRADE_INTERVAL, &mut self.rng);
            self.ping_peer(now, &best, PingKind::Attach, out);
        }
        if now >= self.attach.compare_at {
            self.compare(now, out);
        }
    }

    /// Runs one search round: the best candidate alone in the first round, several at once in later
    /// ones.
    ///
    /// Each ping times out after [`ANSWER_TIMEOUT`](super::limits::ANSWER_TIMEOUT), because a hung
    /// relay may accept connections without ever answering.
    fn search_parent(&mut self, now: Time, out: &mut Vec<Output>) {
        let candidate_count = self.topology.parent_candidates.len();
        if candidate_count == 0
            || now < self.attach.next_at
            || self.pending_pings.has_pending(PingKind::Attach)
        {
            return;
        }
        let round = self.attach.search_rounds;
        self.attach.search_rounds += 1;
        let pause = if round < 2 { Duration::ZERO } else { SEARCH_PAUSE };
        self.attach.next_at = now + jitter(pause, &mut self.rng);
        let (first, count) = match round {
            0 => (0, 1),
            _ => ((round - 1) * SEARCH_WIDTH, SEARCH_WIDTH.min(candidate_count)),
        };
        for index in first..first + count {
            let candidate = self.topology.parent_candidates[index % candidate_count].clone();
            if self.attach.allows(now, &candidate) {
                self.ping_peer(now, &candidate, PingKind::Attach, out);
            }
        }
        if self.topology.rank >= RELAYS_PER_ZONE && self.accepts_any_parent() {
            self.ask_random_peers(now, out);
        }
    }

    /// Asks random peers of the zone to become the parent.
    ///
    /// When all relays of a region are lost, nodes attach to the first ones that have read the
    /// platform instead of waiting for their own turn in the call budget.
    fn ask_random_peers(&mut self, now: Time, out: &mut Vec<Output>) {
        let (own, zone) = (self.cfg.vm.clone(), self.cfg.place.zone.clone());
        for _ in 0..SEARCH_RANDOM_PEERS {
            let member = self.members.random_live(now, &zone, &own, &mut self.rng);
            let peer = member.map(topology::peer).filter(|peer| self.attach.allows(now, peer));
            if let Some(peer) = peer {
                self.ping_peer(now, &peer, PingKind::Attach, out);
            }
        }
    }

    /// Compares versions with a random peer. Recovers lost notices and reconnects parts of the
    /// fleet after a network partition.
    fn compare(&mut self, now: Time, out: &mut Vec<Output>) {
        self.attach.compare_at = now + with_jitter(COMPARE_INTERVAL, &mut self.rng);
        let own = self.cfg.vm.clone();
        let mut zone = self.cfg.place.zone.clone();
        if self.rng.random_range(0..CROSS_ZONE_COMPARE_EVERY) == 0 {
            zone = self.random_zone().unwrap_or(zone);
        }
        let member = self.members.random_live(now, &zone, &own, &mut self.rng);
        if let Some(peer) = member.map(topology::peer) {
            self.ping_peer(now, &peer, PingKind::Compare, out);
        }
    }

    /// Picks another zone at random, preferring zones of the same region.
    pub(super) fn random_zone(&mut self) -> Option<Name> {
        let own = &self.cfg.place;
        let others = self.members.lists().map(|list| &list.place).filter(|p| p.zone != own.zone);
        let (near, far): (Vec<&Place>, Vec<&Place>) = others.partition(|p| p.region == own.region);
        let zones: Vec<&Name> =
            if near.is_empty() { far } else { near }.iter().map(|place| &place.zone).collect();
        if zones.is_empty() {
            return None;
        }
        Some(zones[self.rng.random_range(0..zones.len())].clone())
    }

    pub(super) fn lose_parent(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(parent) = self.attach.parent.take() else { return };
        self.attach.search_rounds = 1;
        self.attach.next_at = now;
        let event = Event::new(now, EventKind::ParentLost).with_peer(&parent.vm);
        out.push(Output::Event(event.with_code(Code::PeerUnreachable)));
    }

    pub(super) fn handle_attach_answer(
        &mut self,
        now: Time,
        from: &Peer,
        pong: &Pong,
        out: &mut Vec<Output>,
    ) {
        let fits = pong.attached
            && self.is_acceptable_parent(from, pong.hops)
            && self.attach.allows(now, from);
        let is_parent = self.attach.parent.as_ref().is_some_and(|parent| parent.vm == from.vm);
        if is_parent {
            self.attach.hops = pong.hops;
            if !fits {
                self.lose_parent(now, out);
            }
            return;
        }
        if !fits || !self.is_preferred(from) {
            return;
        }
        self.attach.parent = Some(from.clone());
        self.attach.hops = pong.hops;
        self.attach.search_rounds = 0;
        self.attach.next_at = now + with_jitter(self.heartbeat(from), &mut self.rng);
        out.push(Output::Event(Event::new(now, EventKind::ParentChosen).with_peer(&from.vm)));
    }

    fn is_acceptable_parent(&self, from: &Peer, hops: u8) -> bool {
        if self.topology.reader.is_some() || self.topology.zone_vms == 0 {
            return true;
        }
        if !self.topology.parent_candidates.contains(from) {
            return self.accepts_any_parent()
                && hops <= FALLBACK_PARENT_HOPS
                && !self.children.has(&from.vm);
        }
        if self.topology.rank < RELAYS_PER_ZONE {
            return hops <= RELAY_PARENT_HOPS;
        }
        from.place.zone == self.cfg.place.zone || hops <= CROSS_ZONE_PARENT_HOPS
    }

    fn is_preferred(&self, from: &Peer) -> bool {
        let place = |peer: &Peer| {
            self.topology.parent_candidates.iter().position(|candidate| candidate == peer)
        };
        let held = self.attach.parent.as_ref();
        let Some(new) = place(from) else { return held.is_none() };
        held.is_none_or(|held| place(held).is_none_or(|held| new < held))
    }
}
