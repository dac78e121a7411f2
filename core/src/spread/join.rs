//! What a node asks its peers before it relies on what it holds: after a start, since it knows
//! nothing, and after a pause, since what it knows may be stale.
//!
//! A node that has just started puts nothing into force before it has asked. It starts at the
//! highest version heard, and never below the one that a neighbour remembers of its VM. When a
//! version heard of can't be had, or nobody can be asked, it waits a bounded time and then serves
//! the best it has; only the remembered version still holds.

use super::limits::{ANSWER_TIMEOUT, JOIN_EXTENSIONS, JOIN_PARENTS, JOIN_RANDOM, JOIN_SEEDS};
use super::message::{PingKind, Pong};
use super::port::{Output, Peer};
use super::{Spread, topology};
use crate::Time;
use rand::RngExt;
use std::net::SocketAddr;

/// A round of questions before the node relies on what it holds.
#[derive(Debug)]
pub struct Join {
    /// The node gives up waiting at this time.
    deadline: Time,
    /// Next round not before this time.
    next_round_at: Time,
    pending: Vec<SocketAddr>,
    answered: bool,
    asked_with_list: bool,
    /// When the first round was over, answered or not.
    first_round_until: Option<Time>,
    /// The highest version that an answer named.
    highest_version: u64,
    /// How often the limit has been put off.
    extensions: u32,
}

impl Join {
    /// Whether the node still waits for peers and should not turn to the platform yet.
    pub fn is_waiting(&self, now: Time) -> bool {
        !self.pending.is_empty() && now < self.next_round_at
    }

    /// Until when it waits for the peers asked.
    pub fn waits_until(&self) -> Option<Time> {
        (!self.pending.is_empty()).then_some(self.next_round_at)
    }
}

impl Spread {
    pub(super) fn start_join(&mut self, now: Time) {
        self.join = Some(Join {
            deadline: now + self.cfg.first_configuration,
            next_round_at: now,
            pending: Vec::new(),
            answered: false,
            asked_with_list: false,
            first_round_until: None,
            highest_version: 0,
            extensions: 0,
        });
    }

    /// Another round after one that ended with nothing, with a pause before it: peers that hold
    /// nothing either answer at once, and the rounds would follow on each other as fast.
    fn restart_join(&mut self, now: Time) {
        self.start_join(now);
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        if let Some(join) = &mut self.join {
            join.next_round_at = now + ANSWER_TIMEOUT;
            join.asked_with_list = listed;
        }
    }

    /// Whether the node has a version in force but must ask again before it acts as a relay.
    pub(super) fn is_rejoining(&self) -> bool {
        self.join.is_some() && self.in_force.is_some()
    }

    pub(super) fn join_wake(&self, now: Time) -> Option<Time> {
        let join = self.join.as_ref()?;
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        let done = join.answered && listed && now >= join.next_round_at;
        Some(if done || !join.pending.is_empty() {
            join.deadline
        } else {
            join.next_round_at.min(join.deadline)
        })
    }

    pub(super) fn tick_join(&mut self, now: Time, out: &mut Vec<Output>) {
        self.extend_join_deadline(now);
        let Some(join) = &self.join else { return };
        let idle = join.pending.is_empty();
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        let new_peers = listed && !join.asked_with_list;
        let again = now >= join.next_round_at && !(join.answered && listed);
        if idle && (new_peers || again) {
            self.start_join_round(now, listed, out);
        }
        if self.can_finish_join(now) {
            self.finish_join(now, out);
        }
    }

    /// The node may have held, before its restart, a newer version that a peer names but could not
    /// send in time. It asks again before it serves less, for a bounded time.
    fn extend_join_deadline(&mut self, now: Time) {
        let held = self.newest_checked().map_or(0, |held| held.version);
        let Some(join) = &mut self.join else { return };
        if now >= join.deadline && held < join.highest_version && join.extensions < JOIN_EXTENSIONS
        {
            join.extensions += 1;
            join.answered = false;
            join.deadline = now + self.cfg.first_configuration;
        }
    }

    fn start_join_round(&mut self, now: Time, listed: bool, out: &mut Vec<Output>) {
        let mut asked = Vec::new();
        for peer in self.join_peers(now) {
            self.ping_peer(now, &peer, PingKind::Join, out);
            asked.push(peer.address);
        }
        for seed in self.join_seeds() {
            if !asked.contains(&seed) {
                self.ping_address(now, seed, PingKind::Join, out);
                asked.push(seed);
            }
        }
        if let Some(join) = &mut self.join {
            join.pending = asked;
            join.next_round_at = now + ANSWER_TIMEOUT;
            join.first_round_until.get_or_insert(join.next_round_at);
            join.asked_with_list = listed;
        }
    }

    fn join_seeds(&mut self) -> Vec<SocketAddr> {
        let mut seeds: Vec<SocketAddr> =
            self.cfg.seeds.iter().copied().filter(|seed| *seed != self.cfg.address).collect();
        while seeds.len() > JOIN_SEEDS {
            let drop = self.rng.random_range(0..seeds.len());
            seeds.swap_remove(drop);
        }
        seeds
    }

    /// Likely parents and random peers, here and in other zones: a zone that is cut off may know
    /// less than the others, and the others less than a zone that holds what this VM confirmed.
    fn join_peers(&mut self, now: Time) -> Vec<Peer> {
        let mut peers: Vec<Peer> =
            self.topology.parent_candidates.iter().take(JOIN_PARENTS).cloned().collect();
        let own = self.cfg.vm.clone();
        for _ in 0..JOIN_RANDOM {
            let zones = [Some(self.cfg.place.zone.clone()), self.random_zone()];
            for zone in zones.into_iter().flatten() {
                let member = self.members.random_live(now, &zone, &own, &mut self.rng);
                let peer = member.map(topology::peer);
                peers.extend(peer.filter(|peer| !peers.contains(peer)));
            }
        }
        peers
    }

    pub(super) fn join_answered(&mut self, from: &Peer, to: SocketAddr, pong: &Pong) {
        if self.join_contacts.len() < JOIN_SEEDS && !self.join_contacts.contains(from) {
            self.join_contacts.push(from.clone());
            self.lists_changed();
        }
        if let Some(floor) = &pong.floor {
            self.floor.accept(floor.clone());
        }
        let Some(join) = &mut self.join else { return };
        join.answered = true;
        join.pending.retain(|address| *address != to);
        join.highest_version =
            join.highest_version.max(pong.have.as_ref().map_or(0, |have| have.in_force.version));
    }

    pub(super) fn join_unanswered(&mut self, to: SocketAddr) {
        if let Some(join) = &mut self.join {
            join.pending.retain(|address| *address != to);
        }
    }

    fn can_finish_join(&self, now: Time) -> bool {
        let Some(join) = &self.join else { return false };
        if now >= join.deadline {
            return true;
        }
        if !join.pending.is_empty() {
            return false;
        }
        if !join.answered {
            return self.has_no_peers();
        }
        let held = self.newest_checked().map_or(0, |held| held.version);
        let asked_enough =
            join.asked_with_list || join.first_round_until.is_some_and(|at| now >= at);
        asked_enough && held >= join.highest_version.max(self.floor.version())
    }

    /// Whether there is nobody to ask: no seed, and no other VM in any list.
    fn has_no_peers(&self) -> bool {
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        let others = self.members.lists().flat_map(|list| &list.vms);
        listed && self.cfg.seeds.is_empty() && others.into_iter().all(|m| m.vm == self.cfg.vm)
    }

    fn finish_join(&mut self, now: Time, out: &mut Vec<Output>) {
        self.join = None;
        if self.has_no_peers() {
            out.push(Output::Confirmed);
        }
        let staged = self.staged.take();
        if let Some(staged) = staged.filter(|held| held.store.version() >= self.floor.version()) {
            self.put_in_force(now, staged, out);
        }
        // The platform shows a bad version and no peer could be reached: ask again.
        if self.in_force.is_none() && !self.has_no_peers() {
            self.restart_join(now);
        }
    }
}
