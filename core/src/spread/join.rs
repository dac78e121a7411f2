//! What a node asks its peers before it relies on what it holds: after a start, since it knows
//! nothing, and after a pause, since what it knows may be stale.
//!
//! A node that has just started puts nothing into force before it has asked. It starts at the
//! highest version heard, and never below the one that a neighbour remembers of its VM. When a
//! version heard of can't be had, or nobody can be asked, it waits a bounded time and then serves
//! the best it has; only the remembered version still holds.

use super::limits::{ANSWER_TIMEOUT, JOIN_EXTENSIONS, JOIN_PARENTS, JOIN_RANDOM, JOIN_SEEDS};
use super::message::{Ask, Pong};
use super::port::{Output, Peer};
use super::{Spread, topology};
use crate::Time;
use rand::RngExt;
use std::net::SocketAddr;

/// A round of questions before the node relies on what it holds.
#[derive(Debug)]
pub struct Join {
    /// The node gives up waiting at this time.
    limit: Time,
    /// Next round not before this time.
    at: Time,
    waiting: Vec<SocketAddr>,
    answered: bool,
    asked_listed: bool,
    /// When the first round was over, answered or not.
    asked_at: Option<Time>,
    /// The highest version that an answer named.
    heard: u64,
    /// How often the limit has been put off.
    extended: u32,
}

impl Join {
    /// Whether the node still waits for peers and should not turn to the platform yet.
    pub fn is_asking(&self, now: Time) -> bool {
        !self.waiting.is_empty() && now < self.at
    }

    /// Until when it waits for the peers asked.
    pub fn asks_until(&self) -> Option<Time> {
        (!self.waiting.is_empty()).then_some(self.at)
    }
}

impl Spread {
    pub(super) fn begin_join(&mut self, now: Time) {
        self.join = Some(Join {
            limit: now + self.cfg.first_configuration,
            at: now,
            waiting: Vec::new(),
            answered: false,
            asked_listed: false,
            asked_at: None,
            heard: 0,
            extended: 0,
        });
    }

    /// Another round after one that ended with nothing, with a pause before it: peers that hold
    /// nothing either answer at once, and the rounds would follow on each other as fast.
    fn join_again(&mut self, now: Time) {
        self.begin_join(now);
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        if let Some(join) = &mut self.join {
            join.at = now + ANSWER_TIMEOUT;
            join.asked_listed = listed;
        }
    }

    /// Whether the node has a version in force but must ask again before it acts as a relay.
    pub(super) fn rejoins(&self) -> bool {
        self.join.is_some() && self.in_force.is_some()
    }

    pub(super) fn join_wake(&self, now: Time) -> Option<Time> {
        let join = self.join.as_ref()?;
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        let done = join.answered && listed && now >= join.at;
        Some(if done || !join.waiting.is_empty() { join.limit } else { join.at.min(join.limit) })
    }

    pub(super) fn tick_join(&mut self, now: Time, out: &mut Vec<Output>) {
        self.extend_join(now);
        let Some(join) = &self.join else { return };
        let idle = join.waiting.is_empty();
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        let new_peers = listed && !join.asked_listed;
        let again = now >= join.at && !(join.answered && listed);
        if idle && (new_peers || again) {
            self.ask_round(now, listed, out);
        }
        if self.may_end(now) {
            self.end_join(now, out);
        }
    }

    /// The node may have held, before its restart, a newer version that a peer names but could not
    /// send in time. It asks again before it serves less, for a bounded time.
    fn extend_join(&mut self, now: Time) {
        let held = self.newest_checked().map_or(0, |held| held.version);
        let Some(join) = &mut self.join else { return };
        if now >= join.limit && held < join.heard && join.extended < JOIN_EXTENSIONS {
            join.extended += 1;
            join.answered = false;
            join.limit = now + self.cfg.first_configuration;
        }
    }

    fn ask_round(&mut self, now: Time, listed: bool, out: &mut Vec<Output>) {
        let mut asked = Vec::new();
        for peer in self.join_peers(now) {
            self.ping_peer(now, &peer, Ask::Join, out);
            asked.push(peer.address);
        }
        for seed in self.join_seeds() {
            if !asked.contains(&seed) {
                self.ping_address(now, seed, Ask::Join, out);
                asked.push(seed);
            }
        }
        if let Some(join) = &mut self.join {
            join.waiting = asked;
            join.at = now + ANSWER_TIMEOUT;
            join.asked_at.get_or_insert(join.at);
            join.asked_listed = listed;
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
        join.waiting.retain(|address| *address != to);
        join.heard = join.heard.max(pong.have.as_ref().map_or(0, |have| have.in_force.version));
    }

    pub(super) fn join_unanswered(&mut self, to: SocketAddr) {
        if let Some(join) = &mut self.join {
            join.waiting.retain(|address| *address != to);
        }
    }

    fn may_end(&self, now: Time) -> bool {
        let Some(join) = &self.join else { return false };
        if now >= join.limit {
            return true;
        }
        if !join.waiting.is_empty() {
            return false;
        }
        if !join.answered {
            return self.is_alone();
        }
        let held = self.newest_checked().map_or(0, |held| held.version);
        let asked_enough = join.asked_listed || join.asked_at.is_some_and(|at| now >= at);
        asked_enough && held >= join.heard.max(self.floor.version())
    }

    /// Whether there is nobody to ask: no seed, and no other VM in any list.
    fn is_alone(&self) -> bool {
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        let others = self.members.lists().flat_map(|list| &list.vms);
        listed && self.cfg.seeds.is_empty() && others.into_iter().all(|m| m.vm == self.cfg.vm)
    }

    fn end_join(&mut self, now: Time, out: &mut Vec<Output>) {
        self.join = None;
        if self.is_alone() {
            out.push(Output::Confirmed);
        }
        let staged = self.staged.take();
        if let Some(staged) = staged.filter(|held| held.store.version() >= self.floor.version()) {
            self.put_in_force(now, staged, out);
        }
        // The platform shows a bad version and no peer could be reached: ask again.
        if self.in_force.is_none() && !self.is_alone() {
            self.join_again(now);
        }
    }
}
