//! Finding a parent and keeping it; the children that hang below this node.

use super::backoff::{around, jitter};
use super::limits::{
    ANSWER_WAIT, AWAY_PARENT_HOPS, CHILD_LEASE, CHILD_LEASE_ACROSS, COMPARE, COMPARE_AWAY,
    HEARTBEAT, HEARTBEAT_ACROSS, HEARTBEAT_UNLISTED, LISTS_EVERY, MAX_ASKED, MAX_CHILDREN,
    MAX_DISTRUSTED, NO_PATH, RELAY_PARENT_HOPS, SEEK_AT_ONCE, SEEK_PAUSE, SEEK_RANDOM,
    STRANGER_HOPS, TOP, UPGRADE,
};
use super::message::{Ask, Base, Delta, PeerMsg, Ping, Pong, Summary};
use super::port::{Output, Peer};
use super::store::Store;
use super::{Spread, topology};
use crate::config::Scope;
use crate::event::{Event, EventKind};
use crate::member::VmState;
use crate::place::{Link, Place};
use crate::{Code, Name, Time};
use indexmap::IndexMap;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The parent, or the search for one.
#[derive(Debug, Default)]
pub struct Attach {
    parent: Option<Peer>,
    hops: u8,
    /// Next question to the parent, or next round of the search.
    at: Time,
    /// Rounds of the search since there was a parent.
    rounds: usize,
    upgrade_at: Time,
    compare_at: Time,
    /// Peers that are not taken as parents, and until when.
    distrusted: IndexMap<Name, Time>,
}

/// A question that waits for its answer.
#[derive(Debug)]
struct Question {
    to: SocketAddr,
    ask: Ask,
    until: Time,
}

/// Questions that wait for their answers.
#[derive(Debug, Default)]
pub struct Asked {
    next_seq: u32,
    questions: IndexMap<u32, Question>,
}

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

impl Asked {
    /// Opens a question and numbers it. `None` if too many wait already.
    fn open(&mut self, to: SocketAddr, ask: Ask, until: Time) -> Option<u32> {
        if self.questions.len() >= MAX_ASKED {
            return None;
        }
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        self.questions.insert(seq, Question { to, ask, until });
        Some(seq)
    }

    /// Whether a question of this kind waits for an answer.
    pub fn waits(&self, ask: Ask) -> bool {
        self.questions.values().any(|question| question.ask == ask)
    }

    fn waits_for(&self, to: SocketAddr, ask: Ask) -> bool {
        self.questions.values().any(|question| question.to == to && question.ask == ask)
    }

    /// When the first question is given up.
    pub fn next(&self) -> Option<Time> {
        self.questions.values().map(|question| question.until).min()
    }

    /// Forgets every question.
    pub fn clear(&mut self) {
        self.questions.clear();
    }

    fn take(&mut self, pick: impl Fn(&Question) -> bool) -> Vec<Question> {
        let picked = self.questions.iter().filter(|(_, question)| pick(question));
        let seqs: Vec<u32> = picked.map(|(seq, _)| *seq).collect();
        seqs.iter().filter_map(|seq| self.questions.swap_remove(seq)).collect()
    }
}

impl Children {
    /// Takes a child, or renews it. False if there is no room.
    fn keep(&mut self, until: Time, now: Time, peer: &Peer) -> bool {
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
    fn expire(&mut self, now: Time) {
        self.children.retain(|_, child| child.until > now);
    }

    fn has(&self, vm: &Name) -> bool {
        self.children.contains_key(vm)
    }

    /// Remembers what a child has been sent.
    pub fn delivered(&mut self, vm: &Name, delta: &Delta, scope: &Scope) {
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

    fn remove(&mut self, address: SocketAddr) {
        self.children.retain(|_, child| child.peer.address != address);
    }
}

impl Attach {
    /// The parent.
    pub fn parent(&self) -> Option<&Peer> {
        self.parent.as_ref()
    }

    /// Nodes between the parent and a reader.
    pub fn hops(&self) -> u8 {
        if self.parent.is_some() { self.hops } else { NO_PATH }
    }

    /// Lets the parent go without a word and searches anew.
    pub fn forget(&mut self, now: Time) {
        *self = Attach { at: now, ..Attach::default() };
    }

    fn trusts(&self, now: Time, peer: &Peer) -> bool {
        self.distrusted.get(&peer.vm).is_none_or(|until| *until <= now)
    }

    /// Tries the best parent soon.
    pub fn uppers_changed(&mut self, now: Time) {
        self.upgrade_at = now;
        if self.parent.is_none() {
            self.rounds = 0;
            self.at = now;
        }
    }
}

impl Spread {
    /// Whether every possible parent has been asked and none will do.
    pub(super) fn is_orphan(&self) -> bool {
        let uppers = self.topology.uppers.len();
        if uppers == 0 {
            return self.members.list(&self.cfg.place.zone).is_some();
        }
        let rounds = 1 + uppers.div_ceil(SEEK_AT_ONCE);
        self.attach.parent.is_none() && self.attach.rounds > rounds.min(3)
    }

    /// Hops to a reader, as told to children.
    pub(super) fn own_hops(&self) -> u8 {
        match self.topology.reader {
            Some(_) => 0,
            None if self.is_orphan() && self.source.is_watching() => 1,
            None => self.attach.hops().saturating_add(1),
        }
    }

    /// Whether any peer with a way to a reader will do as parent. Not for a node that has got
    /// through to the platform: others take it for their way, and would be its own.
    fn takes_strangers(&self) -> bool {
        self.is_orphan() && !self.source.is_watching()
    }

    /// How often a peer is asked as parent.
    fn heartbeat(&self, parent: &Peer) -> Duration {
        if self.topology.zone_vms == 0 {
            return HEARTBEAT_UNLISTED;
        }
        match self.cfg.place.link_to(&parent.place) {
            Link::Zone | Link::Region => HEARTBEAT,
            Link::Across => HEARTBEAT_ACROSS,
        }
    }

    pub(super) fn attach_wake(&self, now: Time) -> Option<Time> {
        let searching = self.attach.parent.is_none();
        let has_uppers = !self.topology.uppers.is_empty();
        let waits = searching && self.asked.waits(Ask::Attach);
        let next = (has_uppers && !waits).then_some(self.attach.at);
        let upgrade = self.wants_upgrade(now).map(|_| self.attach.upgrade_at);
        next.into_iter().chain(upgrade).chain([self.attach.compare_at]).min()
    }

    /// The best parent, if another one is held.
    fn wants_upgrade(&self, now: Time) -> Option<&Peer> {
        let held = self.attach.parent.as_ref()?;
        let best = self.topology.uppers.iter().find(|upper| self.attach.trusts(now, upper))?;
        (best != held).then_some(best)
    }

    /// Does not take a peer as parent for a while.
    ///
    /// Guards against a parent that answers questions but sends wrong content, or none: its
    /// children would ask it again and again and stay behind.
    pub(super) fn distrust(
        &mut self,
        now: Time,
        peer: &Peer,
        span: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.attach.distrusted.len() >= MAX_DISTRUSTED {
            self.attach.distrusted.swap_remove_index(0);
        }
        self.attach.distrusted.insert(peer.vm.clone(), now + span);
        if self.attach.parent.as_ref() == Some(peer) {
            self.lose_parent(now, out);
        }
    }

    pub(super) fn tick_attach(&mut self, now: Time, out: &mut Vec<Output>) {
        self.children.expire(now);
        match self.attach.parent.clone() {
            Some(parent) if now >= self.attach.at => {
                self.attach.at = now + around(self.heartbeat(&parent), &mut self.rng);
                self.ask(now, &parent, Ask::Attach, out);
            }
            Some(_) => {}
            None => self.seek(now, out),
        }
        let best = self.wants_upgrade(now).cloned();
        if let Some(best) = best.filter(|_| now >= self.attach.upgrade_at) {
            self.attach.upgrade_at = now + around(UPGRADE, &mut self.rng);
            self.ask(now, &best, Ask::Attach, out);
        }
        if now >= self.attach.compare_at {
            self.compare(now, out);
        }
    }

    /// One round of the search: the best parent alone, then several at once.
    ///
    /// Guards against a relay that takes connections and never answers: its children would wait
    /// for notices that don't come. Each question is given up after [`ANSWER_WAIT`].
    fn seek(&mut self, now: Time, out: &mut Vec<Output>) {
        let uppers = self.topology.uppers.len();
        if uppers == 0 || now < self.attach.at || self.asked.waits(Ask::Attach) {
            return;
        }
        let round = self.attach.rounds;
        self.attach.rounds += 1;
        let pause = if round < 2 { Duration::ZERO } else { SEEK_PAUSE };
        self.attach.at = now + jitter(pause, &mut self.rng);
        let (first, count) = match round {
            0 => (0, 1),
            _ => ((round - 1) * SEEK_AT_ONCE, SEEK_AT_ONCE.min(uppers)),
        };
        for number in first..first + count {
            let upper = self.topology.uppers[number % uppers].clone();
            if self.attach.trusts(now, &upper) {
                self.ask(now, &upper, Ask::Attach, out);
            }
        }
        if self.topology.rank >= TOP && self.takes_strangers() {
            self.seek_anyone(now, out);
        }
    }

    /// Asks random peers of the zone.
    ///
    /// Guards against the loss of every relay of a region at once: each of the many nodes below
    /// would read the platform, one after the other as the budget allows, which takes long in a
    /// large fleet. So the first that has got through takes others below it, and these take more.
    fn seek_anyone(&mut self, now: Time, out: &mut Vec<Output>) {
        let (own, zone) = (self.cfg.vm.clone(), self.cfg.place.zone.clone());
        for _ in 0..SEEK_RANDOM {
            let member = self.members.random(now, &zone, &own, &mut self.rng);
            let peer = member.map(topology::peer).filter(|peer| self.attach.trusts(now, peer));
            if let Some(peer) = peer {
                self.ask(now, &peer, Ask::Attach, out);
            }
        }
    }

    /// Compares versions with a random peer, so that what was lost on the way is found again and
    /// parts of the fleet that were cut off from each other become one.
    fn compare(&mut self, now: Time, out: &mut Vec<Output>) {
        self.attach.compare_at = now + around(COMPARE, &mut self.rng);
        let own = self.cfg.vm.clone();
        let mut zone = self.cfg.place.zone.clone();
        if self.rng.random_range(0..COMPARE_AWAY) == 0 {
            zone = self.random_zone().unwrap_or(zone);
        }
        let member = self.members.random(now, &zone, &own, &mut self.rng);
        if let Some(peer) = member.map(topology::peer) {
            self.ask(now, &peer, Ask::Compare, out);
        }
    }

    /// A random other zone of the region; of another region only if there is none.
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

    /// Asks a peer about its version.
    pub(super) fn ask(&mut self, now: Time, to: &Peer, ask: Ask, out: &mut Vec<Output>) {
        if let Some(ping) = self.ping(now, to.address, ask) {
            self.send(to, ping, out);
        }
    }

    /// Asks whoever is at an address.
    pub(super) fn ask_address(
        &mut self,
        now: Time,
        to: SocketAddr,
        ask: Ask,
        out: &mut Vec<Output>,
    ) {
        if let Some(ping) = self.ping(now, to, ask) {
            self.send_unknown(to, ping, out);
        }
    }

    fn ping(&mut self, now: Time, to: SocketAddr, ask: Ask) -> Option<PeerMsg> {
        if self.asked.waits_for(to, ask) {
            return None;
        }
        let seq = self.asked.open(to, ask, now + ANSWER_WAIT)?;
        let is_parent = self.attach.parent.as_ref().is_some_and(|parent| parent.address == to);
        let steady = is_parent && ask == Ask::Attach && self.topology.zone_vms > 0;
        let with_lists = !steady || seq % LISTS_EVERY == 0;
        Some(PeerMsg::Ping(Box::new(Ping {
            seq,
            ask,
            word: self.word.clone(),
            have: self.have(),
            zones: self.members.zones().map_or(0, |zones| zones.index),
            lists: with_lists.then(|| self.members.marks(&self.wanted_lists())),
        })))
    }

    /// The version in force here.
    pub(super) fn have(&self) -> Option<Summary> {
        self.in_force.as_ref().map(|store| store.summary().clone())
    }

    /// Zones whose lists this node needs: its own, and for those who look for readers all of the
    /// own region and of the platform's.
    pub(super) fn wanted_lists(&self) -> Vec<Place> {
        let mut wanted = vec![self.cfg.place.clone()];
        if self.topology.rank < TOP || self.topology.reader.is_some() {
            let home = topology::home_region(&self.cfg, &self.members);
            for region in [&self.cfg.place.region, &home] {
                for place in topology::zones_of(&self.members, region) {
                    if !wanted.contains(&place) {
                        wanted.push(place);
                    }
                }
            }
        }
        wanted
    }

    pub(super) fn expire_questions(&mut self, now: Time, out: &mut Vec<Output>) {
        for question in self.asked.take(|question| question.until <= now) {
            self.unanswered(now, &question, out);
        }
    }

    pub(super) fn peer_failed(&mut self, now: Time, to: SocketAddr, out: &mut Vec<Output>) {
        for question in self.asked.take(|question| question.to == to) {
            self.unanswered(now, &question, out);
        }
        if self.attach.parent.as_ref().is_some_and(|parent| parent.address == to) {
            self.lose_parent(now, out);
        }
        self.children.remove(to);
        self.fetch_failed(now, to, out);
    }

    fn unanswered(&mut self, now: Time, question: &Question, out: &mut Vec<Output>) {
        match question.ask {
            Ask::Attach => {
                let parent = self.attach.parent.as_ref();
                if parent.is_some_and(|parent| parent.address == question.to) {
                    self.lose_parent(now, out);
                }
            }
            Ask::Join => self.join_unanswered(question.to),
            Ask::Compare => {}
        }
    }

    fn lose_parent(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(parent) = self.attach.parent.take() else { return };
        self.attach.rounds = 1;
        self.attach.at = now;
        let event = Event::new(now, EventKind::ParentLost).with_peer(&parent.vm);
        out.push(Output::Event(event.with_code(Code::PeerUnreachable)));
    }

    /// Takes the answer to a question. Answers that were not asked for are dropped.
    pub(super) fn take_pong(&mut self, now: Time, from: &Peer, pong: &Pong, out: &mut Vec<Output>) {
        let Some(question) = self.asked.questions.swap_remove(&pong.seq) else { return };
        // Guards against an answer that lay in the socket while the process was paused: it tells
        // of a version that the fleet may have left behind since.
        if question.until < now {
            return self.unanswered(now, &question, out);
        }
        self.hear_word(now, &pong.word, true);
        for word in &pong.words {
            self.hear_word(now, word, false);
        }
        self.confirmed = true;
        match question.ask {
            Ask::Attach => self.take_attached(now, from, pong, out),
            Ask::Join => self.join_answered(from, question.to, pong),
            Ask::Compare => {}
        }
        if let Some(have) = &pong.have {
            self.members.confirm(&from.vm, have);
            self.hear(now, from, have, out);
        }
        let theirs = pong.have.as_ref().map_or(0, |have| have.in_force.version);
        if self.in_force().is_some_and(|own| own.version >= theirs) {
            out.push(Output::Confirmed);
        }
    }

    fn take_attached(&mut self, now: Time, from: &Peer, pong: &Pong, out: &mut Vec<Output>) {
        let fits =
            pong.attached && self.fits_as_parent(from, pong.hops) && self.attach.trusts(now, from);
        let is_parent = self.attach.parent.as_ref().is_some_and(|parent| parent.vm == from.vm);
        if is_parent {
            self.attach.hops = pong.hops;
            if !fits {
                self.lose_parent(now, out);
            }
            return;
        }
        if !fits || !self.is_better(from) {
            return;
        }
        self.attach.parent = Some(from.clone());
        self.attach.hops = pong.hops;
        self.attach.rounds = 0;
        self.attach.at = now + around(self.heartbeat(from), &mut self.rng);
        out.push(Output::Event(Event::new(now, EventKind::ParentChosen).with_peer(&from.vm)));
    }

    fn fits_as_parent(&self, from: &Peer, hops: u8) -> bool {
        if self.topology.reader.is_some() || self.topology.zone_vms == 0 {
            return true;
        }
        if !self.topology.uppers.contains(from) {
            return self.takes_strangers() && hops <= STRANGER_HOPS && !self.children.has(&from.vm);
        }
        if self.topology.rank < TOP {
            return hops <= RELAY_PARENT_HOPS;
        }
        from.place.zone == self.cfg.place.zone || hops <= AWAY_PARENT_HOPS
    }

    fn is_better(&self, from: &Peer) -> bool {
        let place = |peer: &Peer| self.topology.uppers.iter().position(|upper| upper == peer);
        let held = self.attach.parent.as_ref();
        let Some(new) = place(from) else { return held.is_none() };
        held.is_none_or(|held| place(held).is_none_or(|held| new < held))
    }

    /// Whether a peer may hang below this node.
    pub(super) fn take_child(&mut self, now: Time, from: &Peer) -> bool {
        let open = self.word.state == VmState::Live && !self.rejoins();
        let lease = match self.cfg.place.link_to(&from.place) {
            Link::Zone | Link::Region => CHILD_LEASE,
            Link::Across => CHILD_LEASE_ACROSS,
        };
        open && self.children.keep(now + lease, now, from)
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
            let delta = child.held.as_mut().and_then(|held| push(store, held));
            let msg = delta.map_or_else(|| notice.clone(), PeerMsg::Delta);
            messages.push((child.peer.clone(), msg));
        }
        let children = &self.children;
        let parent = self.attach.parent.as_ref().filter(|p| told(p) && !children.has(&p.vm));
        messages.extend(parent.map(|parent| (parent.clone(), notice)));
        for (peer, msg) in messages {
            self.send(&peer, msg, out);
        }
    }
}

/// The difference for a child that holds `held`; `None` if it needs its whole scope.
fn push(store: &mut Store, held: &mut Held) -> Option<Arc<Delta>> {
    let delta = store.delta(Some(&held.base), &held.scope)?;
    delta.base.as_ref()?;
    held.base = Base { version: store.version(), digest: delta.digest };
    Some(delta)
}
