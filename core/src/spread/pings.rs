//! Pings to peers and handling of their answers.

use super::Spread;
use super::limits::{ANSWER_TIMEOUT, LIST_COMPARE_EVERY, MAX_PENDING_PINGS, RELAYS_PER_ZONE};
use super::message::{PeerMsg, Ping, PingKind, Pong, Summary};
use super::port::{Output, Peer};
use super::topology;
use crate::Time;
use crate::place::Place;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// A ping that has not been answered yet.
#[derive(Debug)]
struct PendingPing {
    to: SocketAddr,
    kind: PingKind,
    deadline: Time,
}

#[derive(Debug, Default)]
pub struct PendingPings {
    next_seq: u32,
    pings: IndexMap<u32, PendingPing>,
}

impl PendingPings {
    /// Registers a ping and returns its sequence number, or `None` if too many are pending.
    fn open(&mut self, to: SocketAddr, kind: PingKind, deadline: Time) -> Option<u32> {
        if self.pings.len() >= MAX_PENDING_PINGS {
            return None;
        }
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        self.pings.insert(seq, PendingPing { to, kind, deadline });
        Some(seq)
    }

    /// Whether a ping of this kind is pending.
    pub fn has_pending(&self, kind: PingKind) -> bool {
        self.pings.values().any(|ping| ping.kind == kind)
    }

    fn has_pending_to(&self, to: SocketAddr, kind: PingKind) -> bool {
        self.pings.values().any(|ping| ping.to == to && ping.kind == kind)
    }

    /// The earliest deadline of all pending pings.
    pub fn next_deadline(&self) -> Option<Time> {
        self.pings.values().map(|ping| ping.deadline).min()
    }

    pub fn clear(&mut self) {
        self.pings.clear();
    }

    fn remove_matching(&mut self, pick: impl Fn(&PendingPing) -> bool) -> Vec<PendingPing> {
        let picked = self.pings.iter().filter(|(_, ping)| pick(ping));
        let seqs: Vec<u32> = picked.map(|(seq, _)| *seq).collect();
        seqs.iter().filter_map(|seq| self.pings.swap_remove(seq)).collect()
    }
}

impl Spread {
    pub(super) fn ping_peer(
        &mut self,
        now: Time,
        to: &Peer,
        kind: PingKind,
        out: &mut Vec<Output>,
    ) {
        if let Some(ping) = self.new_ping(now, to.address, kind) {
            self.send(to, ping, out);
        }
    }

    /// Pings an address whose VM is not known.
    pub(super) fn ping_address(
        &mut self,
        now: Time,
        to: SocketAddr,
        kind: PingKind,
        out: &mut Vec<Output>,
    ) {
        if let Some(ping) = self.new_ping(now, to, kind) {
            self.send_to_address(to, ping, out);
        }
    }

    fn new_ping(&mut self, now: Time, to: SocketAddr, kind: PingKind) -> Option<PeerMsg> {
        if self.pending_pings.has_pending_to(to, kind) {
            return None;
        }
        let seq = self.pending_pings.open(to, kind, now + ANSWER_TIMEOUT)?;
        let is_parent = self.attach.parent().is_some_and(|parent| parent.address == to);
        let steady = is_parent && kind == PingKind::Attach && self.topology.zone_vms > 0;
        let with_lists = !steady || seq % LIST_COMPARE_EVERY == 0;
        Some(PeerMsg::Ping(Box::new(Ping {
            seq,
            kind,
            report: self.own_report.clone(),
            have: self.held_summary(),
            zones: self.members.zones().map_or(0, |zones| zones.index),
            lists: with_lists.then(|| self.members.marks(&self.wanted_list_zones())),
        })))
    }

    /// Summary of the version in force on this node.
    pub(super) fn held_summary(&self) -> Option<Summary> {
        self.in_force.as_ref().map(|store| store.summary().clone())
    }

    /// Zones whose VM lists this node needs: its own zone and, for zone relays and readers, all
    /// zones of its own region and of the platform's region.
    pub(super) fn wanted_list_zones(&self) -> Vec<Place> {
        let mut wanted = vec![self.cfg.place.clone()];
        if self.topology.rank < RELAYS_PER_ZONE || self.topology.reader.is_some() {
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

    pub(super) fn expire_pings(&mut self, now: Time, out: &mut Vec<Output>) {
        for ping in self.pending_pings.remove_matching(|ping| ping.deadline <= now) {
            self.ping_failed(now, &ping, out);
        }
    }

    pub(super) fn peer_failed(&mut self, now: Time, to: SocketAddr, out: &mut Vec<Output>) {
        for ping in self.pending_pings.remove_matching(|ping| ping.to == to) {
            self.ping_failed(now, &ping, out);
        }
        if self.attach.parent().is_some_and(|parent| parent.address == to) {
            self.lose_parent(now, out);
        }
        self.children.remove(to);
        self.fetch_failed(now, to, out);
    }

    fn ping_failed(&mut self, now: Time, ping: &PendingPing, out: &mut Vec<Output>) {
        match ping.kind {
            PingKind::Attach => {
                let parent = self.attach.parent();
                if parent.is_some_and(|parent| parent.address == ping.to) {
                    self.lose_parent(now, out);
                }
            }
            PingKind::Join => self.join_unanswered(ping.to),
            PingKind::Compare => {}
        }
    }

    /// Handles the answer to a ping. Unsolicited answers are discarded.
    pub(super) fn handle_pong(
        &mut self,
        now: Time,
        from: &Peer,
        pong: &Pong,
        out: &mut Vec<Output>,
    ) {
        let Some(ping) = self.pending_pings.pings.swap_remove(&pong.seq) else { return };
        // A late answer may have been queued while the process was suspended and may be stale.
        if ping.deadline < now {
            return self.ping_failed(now, &ping, out);
        }
        self.handle_state_report(now, &pong.report, true);
        for report in &pong.reports {
            self.handle_state_report(now, report, false);
        }
        self.confirmed = true;
        match ping.kind {
            PingKind::Attach => self.handle_attach_answer(now, from, pong, out),
            PingKind::Join => self.join_answered(from, ping.to, pong),
            PingKind::Compare => {}
        }
        if let Some(have) = &pong.have {
            self.members.record_floor(&from.vm, have);
            self.handle_summary(now, from, have, out);
        }
        let theirs = pong.have.as_ref().map_or(0, |have| have.in_force.version);
        if self.in_force().is_some_and(|own| own.version >= theirs) {
            out.push(Output::Confirmed);
        }
    }
}
