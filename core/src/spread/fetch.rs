//! Fetching versions from peers and putting them into force.

use super::limits::{
    ANSWER_TIMEOUT, BLOCK_DURATION, BLOCK_DURATION_MISSING, FULL_PULL_TIMEOUT, MAX_HOLDERS,
    SCOPE_RETRY_INTERVAL,
};
use super::message::{Delta, PeerMsg, Pull, Summary};
use super::port::{Output, Peer};
use super::store::{self, Store};
use super::{Spread, VerifiedVersion};
use crate::config::{Decision, InForce, Scope, Snapshot};
use crate::event::{Event, EventKind};
use crate::{Code, Fault, Name, Time};
use std::net::SocketAddr;

/// A version being fetched from a peer.
#[derive(Debug)]
pub struct Fetch {
    wanted: InForce,
    scope: Scope,
    from: Peer,
    /// Time at which the request to the current peer times out.
    pub deadline: Time,
    /// Other peers known to hold the version.
    others: Vec<Peer>,
}

impl Spread {
    /// Processes the summary of a version that a peer has in force, and fetches the version if it
    /// is newer.
    pub(super) fn handle_summary(
        &mut self,
        now: Time,
        from: &Peer,
        seen: &Summary,
        out: &mut Vec<Output>,
    ) {
        self.observe_version(now, seen.in_force.version, Some(from), out);
        self.check_same_manifest(now, from, seen, out);
        if !self.needs_version(now, from, &seen.in_force, out) {
            return;
        }
        match &mut self.fetch {
            Some(fetch) if fetch.wanted == seen.in_force => {
                let known = fetch.from == *from || fetch.others.contains(from);
                if !known && fetch.others.len() < MAX_HOLDERS {
                    fetch.others.push(from.clone());
                }
            }
            Some(fetch) if !seen.in_force.replaces(&fetch.wanted) => {}
            _ => self.begin_fetch(now, from.clone(), seen.in_force.clone(), Vec::new(), out),
        }
    }

    /// Whether the version a peer has in force is newer than the one held here.
    fn needs_version(
        &mut self,
        now: Time,
        from: &Peer,
        seen: &InForce,
        out: &mut Vec<Output>,
    ) -> bool {
        if let Decision::Reject(code) = self.floor.evaluate_accepted(seen) {
            // A peer that lags behind announces older versions. Only two bodies under the same
            // version number are an error.
            if code == Code::VersionConflict {
                self.report_rejected_once(now, seen, Some(from), Fault::new(code), out);
            }
            return false;
        }
        self.newest_checked().is_none_or(|held| seen.replaces(held))
    }

    /// The newest version that has been fully validated here.
    pub(super) fn newest_checked(&self) -> Option<&InForce> {
        self.newest_store().map(|store| &store.summary().in_force)
    }

    fn newest_store(&self) -> Option<&Store> {
        self.staged.as_ref().map(|staged| &staged.store).or(self.in_force.as_ref())
    }

    /// Reports a peer that holds the same publication with a different manifest: a relay has
    /// altered the content.
    fn check_same_manifest(
        &mut self,
        now: Time,
        from: &Peer,
        seen: &Summary,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.in_force.as_ref().map(|store| store.summary()) else { return };
        if held.in_force == seen.in_force && held.manifest_digest != seen.manifest_digest {
            let publication = seen.in_force.clone();
            let fault = Fault::new(Code::PeerHashMismatch).with_location(&from.vm);
            self.report_rejected_once(now, &publication, Some(from), fault, out);
        }
    }

    fn begin_fetch(
        &mut self,
        now: Time,
        from: Peer,
        wanted: InForce,
        others: Vec<Peer>,
        out: &mut Vec<Output>,
    ) {
        let scope = self.wanted_scope();
        let base = self.newest_store().filter(|store| *store.scope() == scope).map(Store::base);
        // Full content takes longer to transfer than a delta.
        let wait = if base.is_some() { ANSWER_TIMEOUT } else { FULL_PULL_TIMEOUT };
        let pull = Pull { version: wanted.version, base, scope: scope.services() };
        self.send(&from, PeerMsg::Pull(Box::new(pull)), out);
        self.fetch = Some(Fetch { wanted, scope, from, deadline: now + wait, others });
    }

    pub(super) fn tick_fetch(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(fetch) = self.fetch.as_ref().filter(|fetch| fetch.deadline <= now) {
            let from = fetch.from.clone();
            self.block_parent(now, &from, BLOCK_DURATION, out);
            self.fetch_next(now, out);
        }
        self.widen_scope(now, out);
    }

    /// Fetches resources outside the held scope, for example after a leaf has become a relay.
    fn widen_scope(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(held) = &self.in_force else { return };
        let wide = held.scope().includes(&self.wanted_scope());
        if wide || self.fetch.is_some() || now < self.scope_retry_at {
            return;
        }
        self.scope_retry_at = now + SCOPE_RETRY_INTERVAL;
        let wanted = held.summary().in_force.clone();
        match self.attach.parent().cloned() {
            Some(parent) => self.begin_fetch(now, parent, wanted, Vec::new(), out),
            None => self.reread_body(now, wanted),
        }
    }

    pub(super) fn fetch_failed(&mut self, now: Time, to: SocketAddr, out: &mut Vec<Output>) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.from.address == to) {
            self.fetch_next(now, out);
        }
    }

    /// Fetches from the next known holder. Without one, the version is announced again by the
    /// parent's next answer, and a reader reads it from the platform.
    fn fetch_next(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(mut fetch) = self.fetch.take() else { return };
        if let Some(next) = fetch.others.pop() {
            self.begin_fetch(now, next, fetch.wanted, fetch.others, out);
        }
    }

    pub(super) fn handle_missing(&mut self, now: Time, from: &Peer, out: &mut Vec<Output>) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.from.vm == from.vm) {
            if self.attach.parent() == Some(from) {
                self.block_parent(now, from, BLOCK_DURATION_MISSING, out);
            }
            self.fetch_next(now, out);
        }
    }

    /// Processes requested content. An unrequested delta is handled as a push.
    pub(super) fn handle_delta(
        &mut self,
        now: Time,
        from: &Peer,
        delta: &Delta,
        out: &mut Vec<Output>,
    ) {
        let base = self.newest_store().map(Store::base);
        let usable = delta.base.is_none() || delta.base == base;
        let asked = self.fetch.as_ref().filter(|fetch| usable && fetch.from.vm == from.vm);
        let Some(fetch) = asked else { return self.handle_pushed_delta(now, from, delta, out) };
        let seen = &delta.summary.in_force;
        let older = *seen != fetch.wanted && !seen.replaces(&fetch.wanted);
        let scope = fetch.scope.clone();
        let result = if older {
            Err(Fault::new(Code::VersionOlder).with_location(&from.vm))
        } else {
            self.check(delta, scope, from)
        };
        match result {
            Ok(checked) => {
                self.fetch = None;
                self.accept_version(now, checked, out);
            }
            Err(fault) => {
                self.report_rejected(now, seen.version, Some(from), fault, out);
                self.block_parent(now, from, BLOCK_DURATION, out);
                self.fetch_next(now, out);
            }
        }
    }

    /// Applies a delta that the parent pushed, if it matches the held content. Otherwise the
    /// version is treated as announced and is fetched.
    fn handle_pushed_delta(
        &mut self,
        now: Time,
        from: &Peer,
        delta: &Delta,
        out: &mut Vec<Output>,
    ) {
        let seen = &delta.summary.in_force;
        let base = self.newest_store().map(|store| (store.base(), store.scope().clone()));
        let wanted = self.wanted_scope();
        let fits =
            base.filter(|(base, scope)| delta.base.as_ref() == Some(base) && *scope == wanted);
        let Some((_, scope)) = fits.filter(|_| self.attach.parent() == Some(from)) else {
            return self.handle_summary(now, from, &delta.summary, out);
        };
        self.observe_version(now, seen.version, Some(from), out);
        if !self.needs_version(now, from, seen, out) {
            return;
        }
        match self.check(delta, scope, from) {
            Ok(checked) => {
                if self.fetch.as_ref().is_some_and(|fetch| !fetch.wanted.replaces(seen)) {
                    self.fetch = None;
                }
                self.accept_version(now, checked, out);
            }
            Err(fault) => {
                self.report_rejected(now, seen.version, Some(from), fault, out);
                self.block_parent(now, from, BLOCK_DURATION, out);
            }
        }
    }

    /// Builds and validates the new version without changing the one in force.
    fn check(&self, delta: &Delta, scope: Scope, from: &Peer) -> crate::Result<VerifiedVersion> {
        let content = store::apply(delta, self.newest_store(), &scope)?;
        let resources = content.in_scope(&self.scope);
        let snapshot = Snapshot::from_resources(delta.summary.in_force.clone(), &resources)?;
        let store = Store::new(delta.summary.clone(), scope, content);
        Ok(VerifiedVersion { store, snapshot, from: Some(from.clone()) })
    }

    /// Puts a validated version into force, or stages it while a join is in progress.
    pub(super) fn accept_version(
        &mut self,
        now: Time,
        checked: VerifiedVersion,
        out: &mut Vec<Output>,
    ) {
        let publication = &checked.store.summary().in_force;
        if matches!(self.floor.evaluate_accepted(publication), Decision::Reject(_)) {
            return;
        }
        self.cancel_body_read(publication.clone(), out);
        if self.join.is_some() {
            self.staged = Some(checked);
        } else {
            self.put_in_force(now, checked, out);
        }
    }

    /// Replaces the version in force. This is the only place that changes it.
    pub(super) fn put_in_force(
        &mut self,
        now: Time,
        checked: VerifiedVersion,
        out: &mut Vec<Output>,
    ) {
        let publication = checked.store.summary().in_force.clone();
        self.floor.accept(publication.clone());
        let known = self.in_force() == Some(&publication);
        self.in_force = Some(checked.store.with_history_of(self.in_force.take()));
        if known {
            return;
        }
        let origin = checked.from.as_ref().map(|peer| peer.vm.clone());
        self.version_origin = origin.or_else(|| Name::new("platform"));
        let mut event =
            Event::new(now, EventKind::VersionInForce).with_version(publication.version);
        if let Some(from) = &checked.from {
            event = event.with_peer(&from.vm);
        }
        self.record_removed_targets(&checked.snapshot);
        self.snapshot = Some(checked.snapshot.clone());
        out.push(Output::InForce(checked.snapshot));
        out.push(Output::Event(event));
        self.notify(now, checked.from.as_ref(), out);
    }
}
