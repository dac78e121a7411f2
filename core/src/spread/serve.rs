//! Handling of messages from peers.

use super::Spread;
use super::limits::{CONTACT_INTERVAL, MAX_LIST_VMS, MAX_LISTS};
use super::message::{PeerMsg, Ping, PingKind, Pong, Pull, ZoneList, ZonesList};
use super::port::{Output, Peer};
use crate::Time;
use crate::config::Scope;
use std::sync::Arc;

impl Spread {
    pub(super) fn handle_message(
        &mut self,
        now: Time,
        from: &Peer,
        msg: PeerMsg,
        out: &mut Vec<Output>,
    ) {
        // A message that claims to be from this node is invalid; accepting it could make the node
        // its own parent.
        if from.vm == self.cfg.vm {
            return;
        }
        match msg {
            PeerMsg::Ping(ping) => self.handle_ping(now, from, &ping, out),
            PeerMsg::Pong(pong) => self.handle_pong(now, from, &pong, out),
            PeerMsg::Notice(summary) => self.handle_summary(now, from, &summary, out),
            PeerMsg::Pull(pull) => self.handle_pull(from, &pull, out),
            PeerMsg::Delta(delta) => self.handle_delta(now, from, &delta, out),
            PeerMsg::Missing(_) => self.handle_missing(now, from, out),
            PeerMsg::StateReports(reports) => self.handle_state_reports(now, &reports),
            PeerMsg::Lists(lists) => self.handle_lists(now, lists),
            PeerMsg::Zones(zones) => self.handle_zones(zones),
            PeerMsg::Note(note) => out.push(Output::Note { from: from.vm.clone(), note }),
        }
    }

    fn handle_ping(&mut self, now: Time, from: &Peer, ping: &Ping, out: &mut Vec<Output>) {
        // Nodes report only their own state in a ping.
        if ping.report.vm != from.vm {
            return;
        }
        self.handle_state_report(now, &ping.report, true);
        let floor = match ping.kind {
            PingKind::Join => self.members.floor_of(&from.vm).cloned(),
            PingKind::Attach | PingKind::Compare => None,
        };
        if let Some(have) = &ping.have {
            self.members.record_floor(&from.vm, have);
        }
        let attached = ping.kind == PingKind::Attach && self.accept_child(now, from);
        let pong = Pong {
            seq: ping.seq,
            attached,
            hops: self.own_hops(),
            report: self.own_report.clone(),
            have: self.held_summary(),
            floor,
            reports: self.members.reports_for(now, &ping.report),
        };
        self.send(from, PeerMsg::Pong(Box::new(pong)), out);
        self.send_lists(now, from, ping, out);
        self.contact_sender(now, from, out);
        if let Some(have) = &ping.have {
            self.handle_summary(now, from, have, out);
        }
    }

    /// Pings an unknown sender while the node has no VM list. Without this, a node that starts
    /// without seeds during a platform outage would stay isolated until the platform is back.
    ///
    /// The minimum interval prevents two such nodes from answering each other's pings with pings in
    /// a tight loop.
    fn contact_sender(&mut self, now: Time, from: &Peer, out: &mut Vec<Output>) {
        let alone = self.members.list(&self.cfg.place.zone).is_none();
        if alone && now >= self.contact_at {
            self.contact_at = now + CONTACT_INTERVAL;
            self.ping_peer(now, from, PingKind::Join, out);
        }
    }

    /// Sends lists that are newer than the peer's, and requests those that are newer on the peer.
    fn send_lists(&mut self, now: Time, from: &Peer, ping: &Ping, out: &mut Vec<Output>) {
        let Some(held) = &ping.lists else { return };
        if let Some(zones) = self.members.zones().filter(|zones| zones.index > ping.zones) {
            self.send(from, PeerMsg::Zones(zones.clone()), out);
        }
        let lists = self.members.newer_lists(held, &from.place.region);
        if !lists.is_empty() {
            self.send(from, PeerMsg::Lists(lists), out);
        }
        let newer = |version: &super::message::ListVersion| {
            self.members.list(&version.zone).is_some_and(|list| list.index < version.index)
        };
        if ping.kind != PingKind::Compare && held.iter().any(newer) {
            self.ping_peer(now, from, PingKind::Compare, out);
        }
    }

    fn handle_pull(&mut self, from: &Peer, pull: &Pull, out: &mut Vec<Output>) {
        let scope = Scope::new(pull.scope.as_deref());
        let open = !self.is_rejoining();
        let store = self.in_force.as_mut().filter(|store| open && store.version() >= pull.version);
        let delta = store.and_then(|store| store.delta(pull.base.as_ref(), &scope));
        let msg = match delta {
            Some(delta) => {
                self.children.record_delivered(&from.vm, &delta, &scope);
                PeerMsg::Delta(delta)
            }
            None => PeerMsg::Missing(self.in_force().map_or(0, |in_force| in_force.version)),
        };
        self.send(from, msg, out);
    }

    fn handle_lists(&mut self, now: Time, lists: Vec<Arc<ZoneList>>) {
        for list in lists.into_iter().take(MAX_LISTS) {
            let held = self.members.list(&list.place.zone).is_some();
            let room = held || self.members.lists().count() < MAX_LISTS;
            if room && list.vms.len() <= MAX_LIST_VMS && self.members.update_list(now, list) {
                self.invalidate_topology();
            }
        }
    }

    fn handle_zones(&mut self, zones: Arc<ZonesList>) {
        if zones.zones.len() <= MAX_LISTS && self.members.update_zones(zones) {
            self.invalidate_topology();
        }
    }
}
