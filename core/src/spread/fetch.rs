//! Taking a version from a peer, and putting it into force.

use super::limits::{
    ANSWER_TIMEOUT, BLOCK_DURATION, BLOCK_DURATION_MISSING, FULL_PULL_TIMEOUT, MAX_HOLDERS,
    SCOPE_RETRY,
};
use super::message::{Delta, PeerMsg, Pull, Summary};
use super::port::{Output, Peer};
use super::store::{self, Store};
use super::{Spread, VerifiedVersion};
use crate::config::{Decision, InForce, Scope, Snapshot};
use crate::event::{Event, EventKind};
use crate::{Code, Fault, Name, Time};
use std::net::SocketAddr;

/// A version on its way from a peer.
#[derive(Debug)]
pub struct Fetch {
    wanted: InForce,
    scope: Scope,
    from: Peer,
    /// When this peer is given up.
    pub until: Time,
    /// Other peers that hold the version.
    others: Vec<Peer>,
}

impl Spread {
    /// Takes notice of a version that a peer has in force, and fetches it if it is newer.
    pub(super) fn handle_summary(
        &mut self,
        now: Time,
        from: &Peer,
        seen: &Summary,
        out: &mut Vec<Output>,
    ) {
        self.observe_version(now, seen.in_force.version, Some(from), out);
        self.compare_content(now, from, seen, out);
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

    /// Whether a version accepted by a peer is newer than what is held here.
    fn needs_version(
        &mut self,
        now: Time,
        from: &Peer,
        seen: &InForce,
        out: &mut Vec<Output>,
    ) -> bool {
        if let Decision::Reject(code) = self.floor.evaluate_accepted(seen) {
            // An older version is what a peer that is behind has in force; only two bodies under
            // one version are worth a report.
            if code == Code::VersionConflict {
                self.report_refused_once(now, seen, Some(from), Fault::new(code), out);
            }
            return false;
        }
        self.newest_checked().is_none_or(|held| seen.replaces(held))
    }

    /// The newest version that has been checked whole here.
    pub(super) fn newest_checked(&self) -> Option<&InForce> {
        self.newest_store().map(|store| &store.summary().in_force)
    }

    fn newest_store(&self) -> Option<&Store> {
        self.staged.as_ref().map(|staged| &staged.store).or(self.in_force.as_ref())
    }

    /// Two nodes that hold one publication under two manifests show that a relay has changed
    /// content.
    fn compare_content(&mut self, now: Time, from: &Peer, seen: &Summary, out: &mut Vec<Output>) {
        let Some(held) = self.in_force.as_ref().map(|store| store.summary()) else { return };
        if held.in_force == seen.in_force && held.manifest_digest != seen.manifest_digest {
            let publication = seen.in_force.clone();
            let fault = Fault::new(Code::PeerHashMismatch).with_place(&from.vm);
            self.report_refused_once(now, &publication, Some(from), fault, out);
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
        // A whole scope takes longer on its way than a change.
        let wait = if base.is_some() { ANSWER_TIMEOUT } else { FULL_PULL_TIMEOUT };
        let pull = Pull { version: wanted.version, base, scope: scope.services() };
        self.send(&from, PeerMsg::Pull(Box::new(pull)), out);
        self.fetch = Some(Fetch { wanted, scope, from, until: now + wait, others });
    }

    pub(super) fn tick_fetch(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(fetch) = self.fetch.as_ref().filter(|fetch| fetch.until <= now) {
            let from = fetch.from.clone();
            self.block_parent(now, &from, BLOCK_DURATION, out);
            self.fetch_next(now, out);
        }
        self.widen_scope(now, out);
    }

    /// Fetches the rest of the version in force for a node that has become a relay.
    fn widen_scope(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(held) = &self.in_force else { return };
        let wide = held.scope().includes(&self.wanted_scope());
        if wide || self.fetch.is_some() || now < self.scope_retry_at {
            return;
        }
        self.scope_retry_at = now + SCOPE_RETRY;
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

    /// Goes on to the next peer that holds the version. If there is none, the parent's next answer
    /// names the version again, and a reader reads it from the platform.
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

    /// Takes the content that was asked for; anything else is dropped.
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
            Err(Fault::new(Code::VersionOlder).with_place(&from.vm))
        } else {
            self.check(delta, scope, from)
        };
        match result {
            Ok(checked) => {
                self.fetch = None;
                self.accept_version(now, checked, out);
            }
            Err(fault) => {
                self.report_refused(now, seen.version, Some(from), fault, out);
                self.block_parent(now, from, BLOCK_DURATION, out);
                self.fetch_next(now, out);
            }
        }
    }

    /// Takes a difference that the parent sent unasked, if it fits what is held here. If not, the
    /// version is fetched as if the parent had only told of it.
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
                self.report_refused(now, seen.version, Some(from), fault, out);
                self.block_parent(now, from, BLOCK_DURATION, out);
            }
        }
    }

    /// Builds a version whole from what a peer sent, beside the one in force.
    fn check(&self, delta: &Delta, scope: Scope, from: &Peer) -> crate::Result<VerifiedVersion> {
        let content = store::apply(delta, self.newest_store(), &scope)?;
        let resources = content.in_scope(&self.scope);
        let snapshot = Snapshot::from_resources(delta.summary.in_force.clone(), &resources)?;
        let store = Store::new(delta.summary.clone(), scope, content);
        Ok(VerifiedVersion { store, snapshot, from: Some(from.clone()) })
    }

    /// Puts a checked version into force, or holds it back while peers are being asked.
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

    /// Swaps the version in force. The one place where it changes.
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
