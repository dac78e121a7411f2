//! Queries to peers after a start, when the node holds no state, and after a clock gap, when its
//! state may be stale.
//!
//! A starting node puts no version into force until it has asked its peers. It then uses the
//! highest version reported, but never one below the floor that a peer has recorded for this VM. If
//! that version cannot be fetched or no peer answers, the node waits up to a deadline and uses the
//! best version it holds that is not below the floor.

use super::limits::{ANSWER_TIMEOUT, JOIN_PARENTS, JOIN_RANDOM, JOIN_SEEDS, MAX_JOIN_EXTENSIONS};
use super::message::{PingKind, Pong};
use super::port::{Output, Peer};
use super::{Spread, topology};
use crate::Time;
use rand::RngExt;
use std::net::SocketAddr;

/// State of a join in progress.
#[derive(Debug)]
pub struct Join {
    /// Time at which the node stops waiting for peers.
    deadline: Time,
    /// Earliest time of the next round.
    next_round_at: Time,
    pending: Vec<SocketAddr>,
    answered: bool,
    asked_with_list: bool,
    /// End of the first round, whether or not peers answered.
    first_round_until: Option<Time>,
    /// Highest version reported by a peer.
    highest_version: u64,
    /// Number of times the deadline has been extended.
    extensions: u32,
}

impl Join {
    /// Whether the node is still waiting for peers and should not call the platform yet.
    pub fn is_waiting(&self, now: Time) -> bool {
        !self.pending.is_empty() && now < self.next_round_at
    }

    /// End of the wait for the current round; `None` if no answers are pending.
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

    /// Starts another join after one that found no version. The delay prevents a busy loop when
    /// peers answer immediately but hold no version either.
    fn restart_join(&mut self, now: Time) {
        self.start_join(now);
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        if let Some(join) = &mut self.join {
            join.next_round_at = now + ANSWER_TIMEOUT;
            join.asked_with_list = listed;
        }
    }

    /// Whether the node has a version in force but must rejoin before it acts as a relay.
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

    /// Extends the deadline a limited number of times while a peer reports a version that has not
    /// been fetched yet: this VM may have served that version before the restart.
    fn extend_join_deadline(&mut self, now: Time) {
        let held = self.newest_checked().map_or(0, |held| held.version);
        let Some(join) = &mut self.join else { return };
        if now >= join.deadline
            && held < join.highest_version
            && join.extensions < MAX_JOIN_EXTENSIONS
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

    /// Parent candidates and random peers from this and another zone. Several zones are asked
    /// because an isolated zone may lag behind, or be the only one that holds the version this VM
    /// confirmed.
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
            self.invalidate_topology();
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

    /// Whether there are no peers to ask: no seeds and no other VMs in the lists.
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
        // Nothing could be put into force and there are peers to ask: join again.
        if self.in_force.is_none() && !self.has_no_peers() {
            self.restart_join(now);
        }
    }
}
