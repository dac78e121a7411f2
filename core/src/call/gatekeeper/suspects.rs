//! Crash reports to the other gatekeepers of the service, and the state of the target.

use super::{Call, Gatekeeper, Output, RETRY_AFTER_QUARANTINED};
use crate::call::note::{Note, OutgoingNote};
use crate::call::quarantine::MAX_CRASHES;
use crate::call::{CallKey, Fingerprint, Outcome};
use crate::event::EventKind;
use crate::hash::rendezvous_score;
use crate::{Code, Time};

impl Gatekeeper {
    /// Records a crash: if the target is gone, all of its running requests become suspects,
    /// otherwise only the broken one, unless it got a response lately. Returns whether the broken one
    /// has become a suspect.
    pub(super) fn suspect(
        &mut self,
        now: Time,
        broken: &Call,
        target_gone: bool,
        out: &mut Vec<Output>,
    ) -> bool {
        if !target_gone && self.answered.contains(now, broken.fingerprint) {
            return false;
        }
        let mut fingerprints = vec![broken.fingerprint];
        let new_crash = rendezvous_score(self.vm.as_bytes(), &now.0.to_le_bytes());
        // Requests that break before the target responds again belong to the same crash.
        let crash = self.crash.filter(|_| target_gone).unwrap_or(new_crash);
        if target_gone {
            self.crash = Some(crash);
            let running = self.calls.values().filter(|call| call.running);
            fingerprints.extend(running.map(|call| call.fingerprint));
            fingerprints.sort();
            fingerprints.dedup();
            self.mark_target_down(now, out);
        }
        self.record_crash(now, crash, &fingerprints, out);
        self.broadcast(&Note::Suspect { crash, fingerprints }, out);
        true
    }

    pub(super) fn record_crash(
        &mut self,
        now: Time,
        crash: u64,
        fingerprints: &[Fingerprint],
        out: &mut Vec<Output>,
    ) {
        if self.suspects.record_crash(now, crash, fingerprints) {
            out.push(Output::Record(EventKind::Quarantined));
            self.reject_quarantined(now, out);
        }
    }

    /// Rejects the quarantined requests that wait for a slot or a connection: they were admitted
    /// before the last crash was reported.
    fn reject_quarantined(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_waiting = |call: &Call| {
            call.is_unstarted() && self.suspects.crashes(now, call.fingerprint) >= MAX_CRASHES
        };
        let waiting = self.calls.iter().filter(|(_, call)| is_waiting(call));
        let waiting: Vec<CallKey> = waiting.map(|(key, _)| *key).collect();
        for call in waiting {
            let Some(entry) = self.withdraw(call) else { continue };
            let outcome = Outcome::not_run(Code::Quarantined, RETRY_AFTER_QUARANTINED);
            let crashes = self.crashes_of(now, &entry);
            out.push(Output::Reject { call, outcome, crashes });
        }
    }

    /// Records a response to a request, which clears it.
    pub(super) fn clear(&mut self, now: Time, fingerprint: Fingerprint, out: &mut Vec<Output>) {
        self.answered.insert(now, fingerprint);
        if self.suspects.clear(fingerprint) {
            self.broadcast(&Note::Cleared { fingerprint }, out);
        }
    }

    pub(super) fn mark_target_down(&mut self, now: Time, out: &mut Vec<Output>) {
        self.is_probe_current = false;
        self.slots.start_limits_mut().target_down(now);
        if std::mem::replace(&mut self.target_up, false) {
            self.forget_statements(now, out);
            out.push(Output::Record(EventKind::TargetLost));
        }
    }

    pub(super) fn mark_target_up(&mut self, now: Time, out: &mut Vec<Output>) {
        self.last_response_at = now;
        self.slots.start_limits_mut().target_responded(now);
        if !std::mem::replace(&mut self.target_up, true) {
            self.slots.start_warm_up(now);
            self.crash = None;
            out.push(Output::Record(EventKind::TargetBack));
        }
    }

    fn broadcast(&self, note: &Note, out: &mut Vec<Output>) {
        let (Some(snapshot), Some(service)) = (&self.snapshot, self.service) else {
            return;
        };
        let own = self.own_target(snapshot);
        for target in &snapshot.service(service).targets {
            let vm = &snapshot.target(*target).target.vm;
            if Some(*target) != own {
                out.push(Output::Send(OutgoingNote { to: vm.clone(), note: note.clone() }));
            }
        }
    }
}
