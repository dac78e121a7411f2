//! Messages to and from peers.

use super::pace::MAX_CHECK_JITTER_PERCENT;
use super::port::TargetEntry;
use super::rejoin::FullState;
use super::relay::{self, Outgoing};
use super::{Discovery, Output, rejoin};
use crate::event::{Event, EventKind};
use crate::spread::message::{Delta, Pull, StoreMark, Summary};
use crate::spread::{Peer, PeerMsg};
use crate::{Code, Name, Time};
use rand::RngExt;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl Discovery {
    pub(super) fn handle_message(
        &mut self,
        now: Time,
        from: &Peer,
        msg: PeerMsg,
        out: &mut Vec<Output>,
    ) {
        match msg {
            PeerMsg::Note(note) => out.push(Output::Note { from: from.vm.clone(), note }),
            PeerMsg::Pull(pull) => self.handle_pull(now, from, &pull, out),
            PeerMsg::Delta(delta) if delta.base.is_none() => {
                self.handle_full_state(now, from, &delta, out);
                if self.relay.is_upstream(from.address) {
                    self.relay.allow_resync(now);
                    self.resync_due = true;
                }
            }
            PeerMsg::Delta(delta) if self.relay.is_upstream(from.address) => {
                self.handle_delta(now, from, &delta, out);
            }
            // A reader that takes this process for its earlier follower, before a restart, announces
            // itself by nothing else while targets change.
            PeerMsg::Delta(delta) => {
                let sender = (from.address, self.cfg.place.link_to(&from.place));
                if self.relay.accept_notice(now, &self.cfg, sender, &delta.summary) {
                    self.handle_notice(now, from, &delta.summary, out);
                }
            }
            PeerMsg::Notice(summary) => {
                let link = self.cfg.place.link_to(&from.place);
                let sender = (from.address, link);
                match self.relay.accept_notice(now, &self.cfg, sender, &summary) {
                    true => self.handle_notice(now, from, &summary, out),
                    false => self.handle_offer(now, from, &summary, out),
                }
            }
            PeerMsg::Missing(_) if self.relay.is_upstream(from.address) => {
                self.abandon_reader(now, None, out);
            }
            // The other messages distribute versions and members between peers; here both come from
            // the store.
            _ => {}
        }
    }

    fn handle_pull(&mut self, now: Time, from: &Peer, pull: &Pull, out: &mut Vec<Output>) {
        let link = self.cfg.place.link_to(&from.place);
        let msg = match &pull.base {
            None => {
                self.offers.on_state_sent(from.address);
                self.full_state_for(now, pull)
            }
            Some(base) => {
                let view = Some(&self.view).filter(|_| self.watcher.has_listed());
                match self.relay.handle_pull(now, &self.cfg, (from.address, link), base, view) {
                    // A follower that has fallen behind the versions kept as bases.
                    PeerMsg::Missing(version) if version > 0 => self.full_state_to_send(now, pull),
                    msg => msg,
                }
            }
        };
        out.push(Output::Send { to: from.address, link, msg });
    }

    /// Returns the full state, or `Missing` if it is too large to be sent to every follower.
    fn full_state_to_send(&mut self, now: Time, pull: &Pull) -> PeerMsg {
        let msg = self.full_state_for(now, pull);
        let too_large = |state: &Delta| state.size() > self.relay.max_delta_size(&self.cfg);
        match &msg {
            PeerMsg::Delta(state) if too_large(state) => PeerMsg::Missing(pull.version),
            _ => msg,
        }
    }

    /// Returns the full state, or `Missing` if it is older than the version that the requester
    /// holds. The message is built once and cached, except for its age, and encoded once for the
    /// nodes that request it together.
    fn full_state_for(&mut self, now: Time, pull: &Pull) -> PeerMsg {
        let Some(snapshot) = self.snapshot.as_ref().filter(|held| held.version() >= pull.version)
        else {
            return PeerMsg::Missing(self.snapshot.as_ref().map_or(0, |held| held.version()));
        };
        let confirmed_at = self.confirmed_at.filter(|_| !self.registry.in_outage(now));
        let age = confirmed_at.map(|at| now.since(at));
        let mark = StoreMark { age, revision: self.registry.revision() };
        let cached = self.full_state.get_or_insert_with(|| FullState::new(snapshot));
        PeerMsg::Delta(cached.message(now, mark))
    }

    /// Records the loss of a peer: its process may have lost its state when it returns.
    pub(super) fn handle_peer_lost(&mut self, now: Time, gate: SocketAddr) {
        let address = SocketAddr::new(gate.ip(), self.cfg.peers_port);
        if address != self.cfg.address {
            self.offers.peer_lost(now, address);
        }
    }

    /// Offers the current state to peers that may have lost it.
    pub(super) fn send_offers(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.published.is_none() {
            return;
        }
        let store_unavailable = self.store_reachable == Some(false) && !self.relay.is_follower();
        self.offers.set_random_offers(store_unavailable || !self.watcher.has_listed());
        for (to, link) in self.offers.next_round(now, &self.cfg, &self.view, &mut self.rng) {
            let msg = PeerMsg::Notice(Box::new(self.view.summary(StoreMark::default())));
            out.push(Output::Send { to, link, msg });
        }
    }

    /// Requests offered state that this node lacks.
    ///
    /// Offers are accepted only until this process has read the store, and never for an older
    /// version, since the peer may be disconnected from the store.
    fn handle_offer(&mut self, now: Time, from: &Peer, summary: &Summary, out: &mut Vec<Output>) {
        if self.watcher.has_listed() {
            return;
        }
        let known = self.published.as_ref().map_or(0, |held| held.version);
        let same = self.view.digest == summary.manifest_digest;
        let should_pull = match summary.in_force.version.cmp(&known) {
            Ordering::Greater => self.offers.may_pull(now, summary.manifest_digest),
            Ordering::Equal => {
                !same && self.offers.may_pull_same_version(now, summary.manifest_digest)
            }
            Ordering::Less => false,
        };
        if should_pull {
            let link = self.cfg.place.link_to(&from.place);
            let msg = rejoin::full_state_request(self.published.as_ref().map(|held| held.version));
            out.push(Output::Send { to: from.address, link, msg });
        }
    }

    /// Sends updates and announcements as a reader, or resync requests and lease renewals as a
    /// follower.
    pub(super) fn send_relay_messages(&mut self, now: Time, out: &mut Vec<Output>) {
        let view = self.view.clone();
        if std::mem::take(&mut self.broadcast_due) {
            out.extend(
                self.relay.update_followers(now, &self.cfg, &view).into_iter().map(send_output),
            );
        }
        if std::mem::take(&mut self.resync_due) {
            out.extend(self.relay.resync(now, relay::delta_request(&view)).map(send_output));
        }
        out.extend(self.relay.renew_lease(now, &view).map(send_output));
        let is_listing = self.watcher.is_listing();
        let announcements = self.relay.announce(now, &self.cfg, &view, is_listing);
        out.extend(announcements.into_iter().map(send_output));
    }

    /// Handles a notice from the reader or the candidate reader.
    fn handle_notice(&mut self, now: Time, from: &Peer, summary: &Summary, out: &mut Vec<Output>) {
        if self.view.digest == summary.manifest_digest {
            return self.mark_in_sync(now, from, summary, out);
        }
        if self.is_reader_behind(summary) {
            return;
        }
        // The first version is requested whole: a difference of that size may exceed the limit.
        let first_version = self.view.published.version == 0 && summary.in_force.version > 0;
        let msg = match first_version {
            true => rejoin::full_state_request(None),
            false => relay::delta_request(&self.view),
        };
        out.extend(self.relay.resync(now, msg).map(send_output));
    }

    fn handle_delta(&mut self, now: Time, from: &Peer, delta: &Delta, out: &mut Vec<Output>) {
        let view = self.view.clone();
        // A delta that was requested before this node reached the same state through another one no
        // longer applies.
        if delta.digest == view.digest {
            return self.mark_in_sync(now, from, &delta.summary, out);
        }
        if self.is_reader_behind(&delta.summary) {
            return;
        }
        match view.apply_delta(delta) {
            // The next notice of this candidate repeats the request.
            Ok(after) if self.is_older(&delta.summary) && view.is_reverted_by(&after) => {}
            Ok(after) => {
                self.progress.on_targets(Some(&from.vm));
                self.adopt_view(now, Arc::new(after), &delta.summary, out);
                self.mark_in_sync(now, from, &delta.summary, out);
            }
            // The delta was made against a different base, for example because a message was lost.
            Err(_) if delta.base.as_ref().is_none_or(|base| base.digest != view.digest) => {
                out.extend(self.relay.resync(now, relay::delta_request(&view)).map(send_output));
            }
            Err(fault) => {
                let code = fault.code;
                out.push(Output::Rejected(fault));
                self.abandon_reader(now, Some(code), out);
            }
        }
    }

    /// Whether this node has asked the store itself and knows later changes than its reader. The next
    /// message of the reader holds them.
    fn is_reader_behind(&self, summary: &Summary) -> bool {
        let is_older = (1..self.registry.revision()).contains(&summary.store_revision);
        is_older && self.relay.is_follower()
    }

    /// Whether the state of a candidate reader is older than this node's.
    fn is_older(&self, summary: &Summary) -> bool {
        let is_older = (1..self.registry.revision()).contains(&summary.store_revision);
        is_older && !self.relay.is_follower()
    }

    fn mark_in_sync(&mut self, now: Time, from: &Peer, summary: &Summary, out: &mut Vec<Output>) {
        let check_jitter = self.rng.random_range(100..=MAX_CHECK_JITTER_PERCENT);
        let begins_to_follow = self.relay.mark_in_sync(now, summary, check_jitter);
        if self.relay.is_follower() {
            self.relay.set_known_revision(summary.store_revision);
            self.registry.set_revision(summary.store_revision.max(self.registry.revision()));
        }
        if begins_to_follow {
            if self.provisional {
                self.progress.on_targets(Some(&from.vm));
                self.adopt_view(now, self.view.clone(), summary, out);
            }
            self.watcher.follow_reader();
            self.progress.end_list();
            out.extend(self.relay.dismiss_followers().into_iter().map(send_output));
            out.push(Output::Event(Event::new(now, EventKind::ParentChosen).with_peer(&from.vm)));
        }
    }

    /// Stops following the reader, if there is one, and schedules a list of the store. `code` tells
    /// why, unless the reader itself no longer serves this node.
    pub(super) fn abandon_reader(&mut self, now: Time, code: Option<Code>, out: &mut Vec<Output>) {
        // The changes since do not tell whether such a zone is still evacuated, but a list does.
        let must_list = self.registry.has_empty_evacuated_zone();
        let known = self.relay.known_revision().zip(self.confirmed_at).filter(|_| !must_list);
        if self.relay.drop_reader() {
            self.watcher.resume(now, known, &mut self.rng);
            self.resync_due = self.relay.switch_to_standby(now);
            let event = Event::new(now, EventKind::ParentLost);
            out.push(Output::Event(match code {
                Some(code) => event.with_code(code),
                None => event,
            }));
        }
    }

    /// Merges the full state of a peer. Targets are taken only until the store has been read; the
    /// version is taken if it is newer.
    fn handle_full_state(&mut self, now: Time, from: &Peer, delta: &Delta, out: &mut Vec<Output>) {
        match rejoin::parse_full_state(delta) {
            Ok((published, entries)) => {
                let version = published.version;
                self.accept_version(now, Arc::new(published), out);
                // A state lacks the targets of services that its version lacks.
                let is_complete = self.status().newest <= version;
                if !self.watcher.knows_targets() {
                    self.merge_targets(now, from, &delta.summary, entries, is_complete);
                }
                self.snapshot_stale |= self.published.is_some();
            }
            Err(fault) => out.push(Output::Rejected(fault)),
        }
    }

    fn merge_targets(
        &mut self,
        now: Time,
        from: &Peer,
        summary: &Summary,
        entries: Vec<(Name, TargetEntry)>,
        is_complete: bool,
    ) {
        if (1..self.registry.revision()).contains(&summary.store_revision) {
            return;
        }
        let age = summary.store_age_ms.map(|age| Duration::from_millis(age.into()));
        let confirmed_at =
            age.filter(|age| *age < self.pace.max_call_interval).map(|age| now - age);
        // The merged state is as old as the oldest part of it.
        self.confirmed_at = match self.watcher.is_informed() {
            true => self.confirmed_at.min(confirmed_at),
            false => confirmed_at,
        };
        self.progress.on_targets(Some(&from.vm));
        let confirmed = confirmed_at.is_some();
        let revision = if is_complete { summary.store_revision } else { 0 };
        self.snapshot_stale |= self.registry.merge_from_peer(now, entries, confirmed, revision);
        self.watcher.on_peer_state(now, self.confirmed_at, &mut self.rng);
        self.rejoin.postpone(now);
    }
}

pub(super) fn send_output(Outgoing { to, link, msg }: Outgoing) -> Output {
    Output::Send { to, link, msg }
}
