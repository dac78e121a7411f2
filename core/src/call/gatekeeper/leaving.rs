//! Remembers across restarts that a target is leaving.
//!
//! A target that is leaving gets no new work, but a restarted gatekeeper does not know that it is.
//! Entry nodes that know send nothing, so that only the callers on its own VM would be misdirected.
//! Each gatekeeper of a leaving target therefore tells a few gatekeepers of its service, its
//! witnesses, and asks them after its start before the target gets a request.

use super::{Gatekeeper, Output};
use crate::call::TargetProcess;
use crate::call::note::{HomeList, ListedProcess, Note, OutgoingNote};
use crate::event::EventKind;
use crate::{Code, Name, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of witnesses of a target.
const WITNESSES: usize = 3;

/// Interval at which witnesses are told, since they may have restarted.
const WITNESS_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which requests wait for the witnesses after a start: more than two round trips
/// between regions.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of leaving targets that a node is a witness of.
const MAX_WITNESSED: usize = 256;

/// What this gatekeeper has asked its witnesses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Question {
    /// The target's process is not listed yet.
    #[default]
    NotAsked,
    /// This number of witnesses has not responded.
    Asked(usize),
    Answered,
}

/// Leaving targets of other gatekeepers, and the question about the own one.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingTargets {
    witnessed: IndexMap<Name, TargetProcess>,
    question: Question,
    next_told_at: Time,
}

impl LeavingTargets {
    fn witness(&mut self, listed: &ListedProcess) {
        if self.witnessed.len() >= MAX_WITNESSED && !self.witnessed.contains_key(&listed.vm) {
            self.witnessed.shift_remove_index(0);
        }
        self.witnessed.insert(listed.vm.clone(), listed.process.clone());
    }

    fn knows(&self, listed: &ListedProcess) -> bool {
        self.witnessed.get(&listed.vm) == Some(&listed.process)
    }
}

impl Gatekeeper {
    /// Asks the witnesses once the target's process is listed, and holds requests until they have
    /// responded.
    pub(super) fn ask_witnesses(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.leaving.question != Question::NotAsked {
            return;
        }
        let Some(listed) = self.listed_process() else {
            return;
        };
        let note = Note::AskTargetLeaving(Box::new(listed));
        let asked = self.send_to_witnesses(&note, out);
        self.leaving.question = Question::Asked(asked);
        if asked > 0 {
            self.slots.start_limits_mut().hold_until(now + ASK_TIMEOUT);
        }
    }

    /// Tells the witnesses of a leaving target, at intervals.
    pub(super) fn tell_witnesses(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.statements().leaving || now < self.leaving.next_told_at {
            return;
        }
        self.leaving.next_told_at = now + WITNESS_INTERVAL;
        if let Some(listed) = self.listed_process() {
            self.send_to_witnesses(&Note::TargetLeaving(Box::new(listed)), out);
        }
    }

    pub(super) fn witness_leaving(&mut self, listed: &ListedProcess) {
        self.leaving.witness(listed);
    }

    pub(super) fn answer_question(&self, listed: &ListedProcess, out: &mut Vec<Output>) {
        let note = Note::KnownTargetLeaving { leaving: self.leaving.knows(listed) };
        out.push(Output::Send(OutgoingNote { to: listed.vm.clone(), note }));
    }

    /// Handles the response of a witness. Requests are held until one knows that the target is
    /// leaving, or all have responded.
    pub(super) fn record_answer(&mut self, now: Time, leaving: bool, out: &mut Vec<Output>) {
        let Question::Asked(waiting) = self.leaving.question else {
            return;
        };
        let waiting = if leaving { 0 } else { waiting.saturating_sub(1) };
        self.leaving.question = match waiting {
            0 => Question::Answered,
            _ => Question::Asked(waiting),
        };
        if leaving {
            self.statements.set_leaving();
            out.push(Output::Record(EventKind::TargetLeaving));
            self.reject_waiting_requests(now, Code::Draining, out);
        }
        if waiting == 0 {
            self.slots.start_limits_mut().hold_until(now);
        }
    }

    fn listed_process(&self) -> Option<ListedProcess> {
        let snapshot = self.snapshot.as_ref()?;
        let target = &snapshot.target(self.own_target(snapshot)?).target;
        let process = TargetProcess::listed(target);
        process.is_known().then(|| ListedProcess { vm: target.vm.clone(), process })
    }

    /// Sends a note to the witnesses. Returns their number.
    fn send_to_witnesses(&self, note: &Note, out: &mut Vec<Output>) -> usize {
        let (Some(snapshot), Some(service)) = (&self.snapshot, self.service) else {
            return 0;
        };
        let Some(own) = self.own_target(snapshot) else {
            return 0;
        };
        let targets = snapshot.service(service).targets.iter().filter(|target| **target != own);
        let vms: Vec<&Name> = targets.map(|target| &snapshot.target(*target).target.vm).collect();
        let own_vm = &snapshot.target(own).target.vm;
        let witnesses = HomeList::order(own_vm.as_bytes(), &vms, WITNESSES);
        let to_note = |to: &Name| Output::Send(OutgoingNote { to: to.clone(), note: note.clone() });
        out.extend(witnesses.iter().map(|vm| to_note(vm)));
        witnesses.len()
    }
}
