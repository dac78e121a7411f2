//! The gatekeepers' side of calls in a fleet in memory, and the targets beside them.

use super::{BROKEN_PER_MILLE, Back, COME_BACK, CRASH_SEEN, Gated, Step, TARGET_RESTART};
use crate::fleet::slot::{Given, node_at};
use crate::fleet::{Fleet, FleetEvent};
use crate::history::calls::CallRecord;
use bytes::Bytes;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::call::entry::{AttemptEnd, Forward};
use sycamore_core::call::gatekeeper::{self, End};
use sycamore_core::call::once::CachedResponse;
use sycamore_core::call::{CallKey, Outcome};

impl Fleet {
    pub(super) fn at_gate(&mut self, submission: usize, entry_life: u32, forward: Forward) {
        let node = node_at(forward.gate);
        let attempt = forward.attempt;
        if !self.slots[node].is_running() {
            let end = AttemptEnd::NotSent;
            let back = Back { submission, entry_life, attempt, end, body: None };
            return self.send_back(node, back);
        }
        let life = self.slots[node].life;
        let Some(calls) = &mut self.call_load else { return };
        let request = calls.submissions[submission].request.clone();
        calls.next_gate += 1;
        let gate = CallKey(calls.next_gate);
        let gated =
            Gated { node, life, submission, attempt, entry_life, running: false, once: false };
        calls.gated.insert(gate, gated);
        let given = Given::GateArrive {
            call: gate,
            path: request.path.clone(),
            key: request.key,
            digest: request.digest(),
            fingerprint: request.fingerprint(),
            crashes: forward.crashes,
            deadline: forward.deadline,
        };
        self.handle_input(node, given);
    }

    pub(in crate::fleet) fn apply_gatekeeper_output(
        &mut self,
        node: usize,
        output: gatekeeper::Output,
    ) {
        match output {
            gatekeeper::Output::Run { call, once } => self.run(node, call, once),
            gatekeeper::Output::Queue(gate, until) => {
                self.links.at(until, FleetEvent::CallStep(Step::QueueEnd { gate }));
            }
            gatekeeper::Output::Replay(gate, answer) => {
                let body = answer.body.as_ref().try_into().map_or(0, u64::from_be_bytes);
                self.answer(
                    gate,
                    AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO },
                    Some(body),
                );
            }
            gatekeeper::Output::Refuse { call, outcome, crashes } => {
                let end = match outcome {
                    Outcome::NotRun { code, retry_after } => {
                        AttemptEnd::Refused { code, retry_after, load: None, crashes }
                    }
                    Outcome::Unknown { code } => AttemptEnd::Failed { code, crashes },
                    Outcome::Answered => AttemptEnd::Failed { code: Code::AnswerLost, crashes },
                };
                self.answer(call, end, None);
            }
            gatekeeper::Output::Send(_) | gatekeeper::Output::Record(_) => {}
        }
    }

    /// The target takes the request, if it runs at all.
    pub(super) fn run(&mut self, node: usize, gate: CallKey, once: bool) {
        let at = self.now();
        let Some(calls) = &mut self.call_load else { return };
        let Some(gated) = calls.gated.get_mut(&gate) else { return };
        gated.running = true;
        gated.once = once;
        let submission = gated.submission;
        if calls.targets_down[node] > at {
            let done = Step::Done { gate, end: End::NotSent };
            return self.links.after(Duration::ZERO, FleetEvent::CallStep(done));
        }
        let request = calls.submissions[submission].request.clone();
        calls.history.push(CallRecord::Ran { at, node, submission, request: request.number });
        if request.deadly {
            return self.crash_target(node);
        }
        if calls.rng.random_range(0..1_000) < BROKEN_PER_MILLE {
            let end = End::Broken { target_gone: false };
            return self.links.after(CRASH_SEEN, FleetEvent::CallStep(Step::Done { gate, end }));
        }
        let body = Bytes::copy_from_slice(&request.number.to_be_bytes());
        let kept = CachedResponse { status: 200, headers: Vec::new(), body };
        let end = End::Answered { cached: once.then(|| Arc::new(kept)) };
        self.links.after(request.work, FleetEvent::CallStep(Step::Done { gate, end }));
    }

    pub(super) fn crash_target(&mut self, node: usize) {
        let now = self.now();
        let Some(calls) = &mut self.call_load else { return };
        calls.targets_down[node] = now + TARGET_RESTART;
        let running = |(_, g): &(&CallKey, &Gated)| g.node == node && g.running;
        let gates: Vec<CallKey> =
            calls.gated.iter().filter(running).map(|(gate, _)| *gate).collect();
        for gate in gates {
            let end = End::Broken { target_gone: true };
            self.links.after(CRASH_SEEN, FleetEvent::CallStep(Step::Done { gate, end }));
        }
    }

    /// A run has ended; the gatekeeper's process may have been replaced meanwhile.
    pub(super) fn done(&mut self, gate: CallKey, end: End) {
        let Some(calls) = &self.call_load else { return };
        let Some(gated) = calls.gated.get(&gate) else { return };
        let (node, life, submission) = (gated.node, gated.life, gated.submission);
        if self.slots[node].life != life {
            return;
        }
        let back = match &end {
            End::Answered { .. } | End::ResponseRead { .. } => {
                AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO }
            }
            End::NotSent | End::Rejected(_) => AttemptEnd::Refused {
                code: Code::TargetUnreachable,
                retry_after: COME_BACK,
                load: None,
                crashes: 0,
            },
            End::Broken { .. } | End::Cancelled => {
                AttemptEnd::Failed { code: Code::TargetFailed, crashes: 0 }
            }
        };
        let answered = matches!(end, End::Answered { .. } | End::ResponseRead { .. });
        let number = calls.submissions[submission].request.number;
        self.handle_input(node, Given::End { call: gate, end });
        self.answer(gate, back, answered.then_some(number));
    }

    /// The gatekeeper sees that the entry node has gone away.
    pub(super) fn closed(&mut self, submission: usize, attempt: u32) {
        let Some(calls) = &mut self.call_load else { return };
        let Some(gate) = calls.gate_of(submission, attempt) else { return };
        let gated = &calls.gated[&gate];
        let (node, life, running, once) = (gated.node, gated.life, gated.running, gated.once);
        if self.slots[node].life != life || (running && once) {
            return;
        }
        calls.gated.swap_remove(&gate);
        let given = match running {
            true => Given::End { call: gate, end: End::Cancelled },
            false => Given::Withdraw(gate),
        };
        self.handle_input(node, given);
    }

    pub(super) fn queue_end(&mut self, gate: CallKey) {
        let Some(calls) = &self.call_load else { return };
        let Some(gated) = calls.gated.get(&gate) else { return };
        if self.slots[gated.node].life == gated.life && !gated.running {
            self.handle_input(gated.node, Given::QueueEnd(gate));
        }
    }
}
