//! Gatekeeper side of simulated calls, and the targets.

use super::{
    AttemptReply, BROKEN_PER_MILLE, CRASH_DETECTION, GatekeeperCall, RETRY_DELAY, Step,
    TARGET_RESTART,
};
use crate::fleet::slot::{NodeInput, node_at};
use crate::fleet::{Fleet, FleetEvent};
use crate::history::calls::CallRecord;
use bytes::Bytes;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::call::entry::{AttemptEnd, Forward};
use sycamore_core::call::gatekeeper::{self, RunEnd};
use sycamore_core::call::once::CachedResponse;
use sycamore_core::call::{CallKey, Outcome};

impl Fleet {
    pub(super) fn reach_gatekeeper(
        &mut self,
        submission: usize,
        entry_incarnation: u32,
        forward: Forward,
    ) {
        let node = node_at(forward.gatekeeper);
        let attempt = forward.attempt;
        if !self.slots[node].is_running() {
            let end = AttemptEnd::NotSent;
            let reply = AttemptReply { submission, entry_incarnation, attempt, end, body: None };
            return self.send_attempt_reply(node, reply);
        }
        let incarnation = self.slots[node].incarnation;
        let Some(calls) = &mut self.call_load else { return };
        let request = calls.submissions[submission].request.clone();
        calls.next_gatekeeper_call += 1;
        let call_key = CallKey(calls.next_gatekeeper_call);
        let gatekeeper_call = GatekeeperCall {
            node,
            incarnation,
            submission,
            attempt,
            entry_incarnation,
            running: false,
            at_most_once: false,
        };
        calls.gatekeeper_calls.insert(call_key, gatekeeper_call);
        let input = NodeInput::GatekeeperRequest {
            call: call_key,
            path: request.path.clone(),
            key: request.key,
            digest: request.digest(),
            fingerprint: request.fingerprint(),
            crashes: forward.crashes,
            deadline: forward.deadline,
        };
        self.handle_input(node, input);
    }

    pub(in crate::fleet) fn apply_gatekeeper_output(
        &mut self,
        node: usize,
        output: gatekeeper::Output,
    ) {
        match output {
            gatekeeper::Output::Run { call, once: at_most_once } => {
                self.run(node, call, at_most_once)
            }
            gatekeeper::Output::Queue(call_key, until) => {
                self.links.at(until, FleetEvent::CallStep(Step::QueueTimeout { call_key }));
            }
            gatekeeper::Output::Replay(call_key, answer) => {
                let body = answer.body.as_ref().try_into().map_or(0, u64::from_be_bytes);
                self.reply_to_entry(
                    call_key,
                    AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO },
                    Some(body),
                );
            }
            gatekeeper::Output::Reject { call, outcome, crashes } => {
                let end = match outcome {
                    Outcome::NotRun { code, retry_after } => {
                        AttemptEnd::Rejected { code, retry_after, load: None, crashes }
                    }
                    Outcome::Unknown { code } => AttemptEnd::Failed { code, crashes },
                    Outcome::Answered => AttemptEnd::Failed { code: Code::AnswerLost, crashes },
                };
                self.reply_to_entry(call, end, None);
            }
            gatekeeper::Output::Send(_)
            | gatekeeper::Output::Probe
            | gatekeeper::Output::Record(_)
            | gatekeeper::Output::RecordCold(_) => {}
        }
    }

    /// Runs a request on the target, unless the target is down.
    pub(super) fn run(&mut self, node: usize, call_key: CallKey, at_most_once: bool) {
        let at = self.now();
        let Some(calls) = &mut self.call_load else { return };
        let Some(gatekeeper_call) = calls.gatekeeper_calls.get_mut(&call_key) else { return };
        gatekeeper_call.running = true;
        gatekeeper_call.at_most_once = at_most_once;
        let submission = gatekeeper_call.submission;
        if calls.targets_down[node] > at {
            let step = Step::RunEnded { call_key, end: RunEnd::NotSent };
            return self.links.after(Duration::ZERO, FleetEvent::CallStep(step));
        }
        let request = calls.submissions[submission].request.clone();
        calls.history.push(CallRecord::Ran { at, node, submission, request: request.number });
        if request.crashes_target {
            return self.crash_target(node);
        }
        if calls.rng.random_range(0..1_000) < BROKEN_PER_MILLE {
            let end = RunEnd::Broken { target_gone: false };
            return self
                .links
                .after(CRASH_DETECTION, FleetEvent::CallStep(Step::RunEnded { call_key, end }));
        }
        let body = Bytes::copy_from_slice(&request.number.to_be_bytes());
        let kept = CachedResponse { status: 200, headers: Vec::new(), body };
        let end = RunEnd::Answered { cached: at_most_once.then(|| Arc::new(kept)) };
        self.links.after(request.work, FleetEvent::CallStep(Step::RunEnded { call_key, end }));
    }

    pub(super) fn crash_target(&mut self, node: usize) {
        let now = self.now();
        let Some(calls) = &mut self.call_load else { return };
        calls.targets_down[node] = now + TARGET_RESTART;
        let running = |(_, g): &(&CallKey, &GatekeeperCall)| g.node == node && g.running;
        let call_keys: Vec<CallKey> =
            calls.gatekeeper_calls.iter().filter(running).map(|(call_key, _)| *call_key).collect();
        for call_key in call_keys {
            let end = RunEnd::Broken { target_gone: true };
            self.links
                .after(CRASH_DETECTION, FleetEvent::CallStep(Step::RunEnded { call_key, end }));
        }
    }

    /// Ends a run. Ignored if the gatekeeper's process has restarted since the run began.
    pub(super) fn run_ended(&mut self, call_key: CallKey, end: RunEnd) {
        let Some(calls) = &self.call_load else { return };
        let Some(gatekeeper_call) = calls.gatekeeper_calls.get(&call_key) else { return };
        let (node, incarnation, submission) =
            (gatekeeper_call.node, gatekeeper_call.incarnation, gatekeeper_call.submission);
        if self.slots[node].incarnation != incarnation {
            return;
        }
        let attempt_end = match &end {
            RunEnd::Answered { .. } | RunEnd::ResponseRead { .. } => {
                AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO }
            }
            RunEnd::NotSent | RunEnd::Rejected(_) => AttemptEnd::Rejected {
                code: Code::TargetUnreachable,
                retry_after: RETRY_DELAY,
                load: None,
                crashes: 0,
            },
            RunEnd::Broken { .. } | RunEnd::BrokenResponse | RunEnd::Cancelled => {
                AttemptEnd::Failed { code: Code::TargetFailed, crashes: 0 }
            }
        };
        let answered = matches!(end, RunEnd::Answered { .. } | RunEnd::ResponseRead { .. });
        let number = calls.submissions[submission].request.number;
        self.handle_input(node, NodeInput::RunEnded { call: call_key, end });
        self.reply_to_entry(call_key, attempt_end, answered.then_some(number));
    }

    /// Cancels a call whose entry node has closed the connection. At-most-once requests that are
    /// already running continue.
    pub(super) fn connection_closed(&mut self, submission: usize, attempt: u32) {
        let Some(calls) = &mut self.call_load else { return };
        let Some(call_key) = calls.find_gatekeeper_call(submission, attempt) else { return };
        let gatekeeper_call = &calls.gatekeeper_calls[&call_key];
        let (node, incarnation, running, at_most_once) = (
            gatekeeper_call.node,
            gatekeeper_call.incarnation,
            gatekeeper_call.running,
            gatekeeper_call.at_most_once,
        );
        if self.slots[node].incarnation != incarnation || (running && at_most_once) {
            return;
        }
        calls.gatekeeper_calls.swap_remove(&call_key);
        let input = match running {
            true => NodeInput::RunEnded { call: call_key, end: RunEnd::Cancelled },
            false => NodeInput::Withdraw(call_key),
        };
        self.handle_input(node, input);
    }

    pub(super) fn queue_timeout(&mut self, call_key: CallKey) {
        let Some(calls) = &self.call_load else { return };
        let Some(gatekeeper_call) = calls.gatekeeper_calls.get(&call_key) else { return };
        if self.slots[gatekeeper_call.node].incarnation == gatekeeper_call.incarnation
            && !gatekeeper_call.running
        {
            self.handle_input(gatekeeper_call.node, NodeInput::QueueTimeout(call_key));
        }
    }
}
