//! What a node tells its peers, and takes from them.

use super::relay::{self, Outgoing};
use super::{Discovery, Output, rejoin};
use crate::Time;
use crate::event::{Event, EventKind};
use crate::spread::message::{Delta, Pull, Summary};
use crate::spread::{Peer, PeerMsg};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

impl Discovery {
    pub(super) fn take_message(
        &mut self,
        now: Time,
        from: &Peer,
        msg: PeerMsg,
        out: &mut Vec<Output>,
    ) {
        match msg {
            PeerMsg::Note(note) => out.push(Output::Note { from: from.vm.clone(), note }),
            PeerMsg::Pull(pull) => self.answer(now, from, &pull, out),
            PeerMsg::Delta(delta) if delta.base.is_none() => {
                self.take_delta(now, &delta, out);
                self.confirm |= self.relay.listens_to(from.address);
            }
            PeerMsg::Delta(delta) if self.relay.listens_to(from.address) => {
                self.take_difference(now, from, &delta, out);
            }
            PeerMsg::Notice(summary) => {
                let link = self.cfg.place.link_to(&from.place);
                let informed = self.held.is_some() || self.follow.has_listed();
                let sender = (from.address, link);
                match informed && self.relay.hears(now, &self.cfg, sender, &summary) {
                    true => self.take_notice(now, from, &summary, out),
                    false => self.take_offer(now, from, &summary, out),
                }
            }
            PeerMsg::Missing(_) if self.relay.listens_to(from.address) => {
                self.leave_reader(now, out);
            }
            // Peers that spread versions themselves say more; here the store does.
            _ => {}
        }
    }

    fn answer(&mut self, now: Time, from: &Peer, pull: &Pull, out: &mut Vec<Output>) {
        let link = self.cfg.place.link_to(&from.place);
        let msg = match &pull.base {
            None => {
                self.offers.given_to(from.address);
                self.whole_for(pull)
            }
            Some(base) => {
                let held = self.held.as_ref().filter(|_| self.follow.has_listed());
                self.relay.answer(now, &self.cfg, (from.address, link), base, held)
            }
        };
        out.push(Output::Send { to: from.address, link, msg });
    }

    /// Everything in force, unless nothing is held that the asker lacks. Made once for all askers.
    fn whole_for(&mut self, pull: &Pull) -> PeerMsg {
        let Some(snapshot) = self.snapshot.as_ref().filter(|held| held.version() >= pull.version)
        else {
            return PeerMsg::Missing(self.snapshot.as_ref().map_or(0, |held| held.version()));
        };
        self.whole.get_or_insert_with(|| rejoin::whole(snapshot)).clone()
    }

    /// The process beside a gatekeeper could not be reached: when it is back, it may know nothing.
    pub(super) fn lose_peer(&mut self, now: Time, gate: SocketAddr) {
        let address = SocketAddr::new(gate.ip(), self.cfg.peers_port);
        if address != self.cfg.address {
            self.offers.peer_lost(now, address);
        }
    }

    /// Names what is held to peers that may have lost it.
    pub(super) fn make_offers(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(held) = self.held.clone() else {
            return;
        };
        let silent = self.store_answers == Some(false) && !self.relay.is_follower();
        self.offers.set_wide(silent || !self.follow.has_listed());
        for (to, link) in self.offers.round(now, &self.cfg, &held, &mut self.rng) {
            let msg = PeerMsg::Notice(Box::new(held.summary(None)));
            out.push(Output::Send { to, link, msg });
        }
    }

    /// Asks a peer that offers what this node lacks.
    ///
    /// Only a process that has not read the store since its start accepts an offer, and never an
    /// older version: the peer may be cut off from the store.
    fn take_offer(&mut self, now: Time, from: &Peer, summary: &Summary, out: &mut Vec<Output>) {
        if self.follow.has_listed() {
            return;
        }
        let known = self.published.as_ref().map_or(0, |held| held.version);
        let same = self.held.as_ref().is_some_and(|held| held.digest == summary.manifest_digest);
        let ask = match summary.in_force.version.cmp(&known) {
            Ordering::Greater => self.offers.may_ask(now, summary.manifest_digest),
            Ordering::Equal => !same && self.offers.may_merge(now, summary.manifest_digest),
            Ordering::Less => false,
        };
        if ask {
            let link = self.cfg.place.link_to(&from.place);
            let msg = rejoin::question(self.published.as_ref().map(|held| held.version));
            out.push(Output::Send { to: from.address, link, msg });
        }
    }

    /// Tells followers what the store has said and others that it is read here, or renews with the
    /// node that is followed.
    pub(super) fn relay_news(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(held) = self.held.clone() else {
            return;
        };
        if std::mem::take(&mut self.proven) {
            out.extend(self.relay.tell(now, &self.cfg, &held).into_iter().map(send));
        }
        if std::mem::take(&mut self.confirm) {
            out.extend(self.relay.resync(now, relay::question(&held)).map(send));
        }
        out.extend(self.relay.renew(now, &held).map(send));
        out.extend(self.relay.announce(now, &self.cfg, &held).into_iter().map(send));
    }

    /// The reader, or whoever is asked to be it, names what it holds.
    fn take_notice(&mut self, now: Time, from: &Peer, summary: &Summary, out: &mut Vec<Output>) {
        let msg = match &self.held {
            Some(held) if held.digest == summary.manifest_digest => {
                return self.in_step(now, from, summary, out);
            }
            Some(held) => relay::question(held),
            None => rejoin::question(None),
        };
        out.extend(self.relay.resync(now, msg).map(send));
    }

    fn take_difference(&mut self, now: Time, from: &Peer, delta: &Delta, out: &mut Vec<Output>) {
        let Some(held) = self.held.clone() else {
            return;
        };
        match held.after(delta) {
            Ok(after) => {
                let targets = after.targets.iter();
                let entries = targets.flat_map(|(service, listed)| {
                    listed.iter().map(|target| (target.vm.clone(), rejoin::entry(service, target)))
                });
                self.registry.take_from_reader(entries.collect());
                self.take_version(now, after.published, out);
                self.stale = true;
                self.in_step(now, from, &delta.summary, out);
            }
            // Made for another state than this node's, as after a message that was lost.
            Err(_) if delta.base.as_ref().is_none_or(|base| base.digest != held.digest) => {
                out.extend(self.relay.resync(now, relay::question(&held)).map(send));
            }
            Err(fault) => {
                out.push(Output::Refused(fault));
                self.leave_reader(now, out);
            }
        }
    }

    fn in_step(&mut self, now: Time, from: &Peer, summary: &Summary, out: &mut Vec<Output>) {
        if self.relay.in_step(now, summary) {
            self.follow.rely_on_reader();
            out.extend(self.relay.dismiss_followers().into_iter().map(send));
            out.push(Output::Event(Event::new(now, EventKind::ParentChosen).with_peer(&from.vm)));
        }
    }

    /// Reads the store again, if another node was followed.
    pub(super) fn leave_reader(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.relay.let_go() {
            self.follow.resume(now, &mut self.rng);
            self.confirm = self.relay.ask_other(now);
            out.push(Output::Event(Event::new(now, EventKind::ParentLost)));
        }
    }

    /// Takes what a peer holds until the store answers: its version if it is newer, and its
    /// targets if none are known.
    fn take_delta(&mut self, now: Time, delta: &Delta, out: &mut Vec<Output>) {
        match rejoin::read(delta) {
            Ok((published, entries)) => {
                if !self.follow.has_listed() {
                    self.stale |= self.registry.take_from_peer(now, entries);
                    self.follow.told_by_peer(now, &mut self.rng);
                    self.rejoin.told_by_peer(now);
                }
                self.take_version(now, Arc::new(published), out);
                self.stale |= self.published.is_some();
            }
            Err(fault) => out.push(Output::Refused(fault)),
        }
    }
}

pub(super) fn send(Outgoing { to, link, msg }: Outgoing) -> Output {
    Output::Send { to, link, msg }
}
