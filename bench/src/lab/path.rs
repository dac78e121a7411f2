//! Path of a call: caller or run -> entry node -> gatekeeper -> target, and back.

mod close;
mod run;
pub(super) mod waits;

use super::mesh::{node_at, vm_name};
use super::world::{Event, World};
use std::time::Duration;
use sycamore_core::call::TargetProcess;
use sycamore_core::call::entry::{self, AttemptEnd, Forward};
use sycamore_core::call::gatekeeper;
use sycamore_core::call::{
    CallKey, Fingerprint, Outcome, Runs, StatedLimit, Statement, TargetStatements,
};
use sycamore_core::{Code, Time};

/// Key of a run, which is the key of its attempt at the gatekeeper.
pub(super) type RunKey = CallKey;

/// Size of a request, and of the headers of a response, in bytes.
pub(super) const HEAD_BYTES: u64 = 400;

/// Time until a node gives up a connection to a node that it is partitioned from, the time-out of
/// the node's connection pool.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Depth of nested calls, which make no further calls.
const NESTED_DEPTH: u8 = 1;

/// Originator of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller, identified by the index of its request.
    Caller(usize),
    /// A run that blocks until the call ends.
    Run(RunKey),
}

/// A call at its entry node.
pub(super) struct Call {
    pub node: usize,
    kind: usize,
    origin: Origin,
    // Primary attempt, by its key at the gatekeeper.
    primary: Option<CallKey>,
    // Hedged attempt.
    hedge: Option<CallKey>,
    // Number of times the call was handed to a target.
    arrivals: u32,
}

impl Call {
    fn waits_for(&self, attempt_key: CallKey) -> bool {
        self.primary == Some(attempt_key) || self.hedge == Some(attempt_key)
    }
}

/// An attempt at its gatekeeper.
pub(super) struct GatekeeperAttempt {
    pub node: usize,
    call: CallKey,
    kind: usize,
    deadline: Time,
    arrived_at: Time,
    waited: Duration,
    running: bool,
    // When it was queued, and whether a slot that it may use was seen free since then.
    queued_at: Option<Time>,
    free_seen: bool,
    fails: bool,
    // Kinds of the remaining nested calls, and the work time before each of them.
    remaining_calls: Vec<usize>,
    step_time: Duration,
    nested_call: Option<CallKey>,
}

/// Result of an attempt, on its way to the entry node.
pub(super) struct AttemptResult {
    call: CallKey,
    attempt_key: CallKey,
    // Node of the target.
    gatekeeper: usize,
    stated: TargetStatements,
    end: AttemptEnd,
}

impl World<'_> {
    /// Handles a request arriving at an entry node. Returns the call's key unless the
    /// call has already ended.
    pub(super) fn start_call(
        &mut self,
        node: usize,
        kind: usize,
        origin: Origin,
        left: Duration,
    ) -> Option<CallKey> {
        let call = self.next_call_key();
        self.calls
            .insert(call, Call { node, kind, origin, primary: None, hedge: None, arrivals: 0 });
        let path = self.kinds[kind].path.clone();
        let own_runs = match origin {
            Origin::Run(_) => self.nodes[node].gatekeeper.runs(),
            Origin::Caller(_) => Runs::default(),
        };
        let arrival = entry::Arrival {
            timeout: Some(left),
            depth: if matches!(origin, Origin::Run(_)) { NESTED_DEPTH } else { 0 },
            body_bytes: Some(0),
            own_runs,
            ..entry::Arrival::new(call, "", &path)
        };
        self.entry_input(node, entry::Input::Arrive(arrival));
        self.calls.contains_key(&call).then_some(call)
    }

    pub(super) fn entry_input(&mut self, node: usize, input: entry::Input<'_>) {
        let mut out = Vec::new();
        self.nodes[node].entry.handle(self.links.now(), input, &mut out);
        for output in out {
            match output {
                entry::Output::Forward(forward) => {
                    let attempt_key = self.forward(node, forward);
                    if let Some((call, attempt_key)) = attempt_key.and_then(|(key, attempt_key)| {
                        Some((self.calls.get_mut(&key)?, attempt_key))
                    }) {
                        call.primary = Some(attempt_key);
                    }
                }
                entry::Output::Finish { call, outcome } => self.end_call(call, Err(outcome)),
            }
        }
    }

    pub(super) fn gatekeeper_input(&mut self, node: usize, input: gatekeeper::Input<'_>) {
        let mut out = Vec::new();
        self.nodes[node].gatekeeper.handle(self.links.now(), input, &mut out);
        for output in out {
            match output {
                gatekeeper::Output::Run { call, .. } => self.start_run(call),
                gatekeeper::Output::Queue(call, until) => {
                    self.links.at(until, Event::QueueTimeout(call));
                    self.record_queued(call);
                }
                gatekeeper::Output::Reject { call, outcome, crashes } => {
                    self.reject_attempt(call, outcome, crashes);
                }
                gatekeeper::Output::Replay(..)
                | gatekeeper::Output::Send(_)
                | gatekeeper::Output::Probe
                | gatekeeper::Output::Record(_)
                | gatekeeper::Output::RecordCold(_) => {}
            }
        }
    }

    /// Charges a node for processing one message. Returns the time at which processing completes.
    fn process_message(&mut self, node: usize) -> Time {
        let now = self.links.now();
        let cost = Duration::from_micros(self.cfg.message_us);
        let busy = &mut self.nodes[node].busy_until;
        *busy = (*busy).max(now) + cost;
        *busy
    }

    /// Sends a message. It is lost if its nodes are partitioned.
    fn send(&mut self, departs: Time, from: usize, to: usize, bytes: u64, event: Event) {
        if self.conditions.is_cut(from, to) {
            return;
        }
        self.count_bytes(from, to, bytes);
        let sites = (self.link_site(from), self.link_site(to));
        self.links.send_call_at(departs, sites.0, sites.1, bytes, event);
    }

    /// Sends an attempt. Returns the call's key and the attempt's key at the gatekeeper.
    fn forward(&mut self, node: usize, forward: Forward) -> Option<(CallKey, CallKey)> {
        let departs = self.process_message(node);
        let attempt_key = self.next_call_key();
        let key = forward.call;
        self.calls.get(&key)?;
        if forward.attempt == 1 {
            self.links.at(forward.deadline, Event::DeadlineExpired(key));
        }
        if let Some(hedge_delay) = forward.hedge_delay_ms {
            let hedge_delay = Duration::from_millis(hedge_delay.into());
            self.links.after(hedge_delay, Event::HedgeDue(key, attempt_key));
        }
        let to = node_at(forward.gatekeeper);
        if self.conditions.is_cut(node, to) {
            let (stated, end) = (TargetStatements::default(), AttemptEnd::NotSent);
            let result = AttemptResult { call: key, attempt_key, gatekeeper: to, stated, end };
            self.links.at(departs + CONNECT_TIMEOUT, Event::AttemptEnded(result));
            return Some((key, attempt_key));
        }
        let event = Event::AttemptArrived(Box::new(forward), attempt_key);
        self.send(departs, node, to, HEAD_BYTES, event);
        Some((key, attempt_key))
    }

    /// Handles the expiry of an attempt's hedge delay, after which a hedged attempt may start.
    pub(super) fn hedge_due(&mut self, key: CallKey, attempt_key: CallKey) {
        let waits = |call: &&Call| call.primary == Some(attempt_key) && call.hedge.is_none();
        let Some(node) = self.calls.get(&key).filter(waits).map(|call| call.node) else { return };
        let mut out = Vec::new();
        self.nodes[node].entry.handle(self.links.now(), entry::Input::HedgeDue(key), &mut out);
        for output in out {
            let entry::Output::Forward(forward) = output else { continue };
            let hedge = self.forward(node, forward).map(|(_, attempt_key)| attempt_key);
            if let Some(call) = self.calls.get_mut(&key) {
                call.hedge = hedge;
            }
        }
    }

    /// Handles an attempt arriving at its gatekeeper.
    pub(super) fn receive_attempt(&mut self, forward: Forward, attempt_key: CallKey) {
        let key = forward.call;
        let node = node_at(forward.gatekeeper);
        let Some(call) = self.calls.get(&key).filter(|call| call.waits_for(attempt_key)) else {
            return;
        };
        let (kind, origin) = (call.kind, call.origin);
        if !self.nodes[node].up {
            return self.send_result(node, key, attempt_key, AttemptEnd::NotSent);
        }
        self.process_message(node);
        self.attempts.insert(
            attempt_key,
            GatekeeperAttempt {
                node,
                call: key,
                kind,
                deadline: forward.deadline,
                arrived_at: self.links.now(),
                waited: Duration::ZERO,
                running: false,
                queued_at: None,
                free_seen: false,
                fails: false,
                remaining_calls: Vec::new(),
                step_time: Duration::ZERO,
                nested_call: None,
            },
        );
        let path = self.kinds[kind].path.clone();
        let arrival = gatekeeper::Arrival {
            call: attempt_key,
            host: "",
            path: &path,
            terms: Some(forward.terms),
            key: None,
            digest: None,
            fingerprint: Fingerprint(attempt_key.0),
            crashes: forward.crashes,
            depth: if matches!(origin, Origin::Run(_)) { NESTED_DEPTH } else { 0 },
            deadline: forward.deadline,
            run_by: None,
            known_limit: forward.estimate.known_limit,
        };
        self.gatekeeper_input(node, gatekeeper::Input::Arrive(arrival));
    }

    fn send_result(&mut self, node: usize, call: CallKey, attempt_key: CallKey, end: AttemptEnd) {
        let result = self.result(node, call, attempt_key, end);
        let Some(call) = self.calls.get(&result.call) else { return };
        let to = call.node;
        let departs =
            if self.nodes[node].up { self.process_message(node) } else { self.links.now() };
        self.send(departs, node, to, HEAD_BYTES, Event::AttemptEnded(result));
    }

    fn result(
        &self,
        gatekeeper: usize,
        call: CallKey,
        attempt_key: CallKey,
        end: AttemptEnd,
    ) -> AttemptResult {
        let stated = self.nodes[gatekeeper].gatekeeper.statements();
        AttemptResult { call, attempt_key, gatekeeper, stated, end }
    }

    /// Passes what a target states to an entry node.
    fn record_statement(&mut self, node: usize, result: &AttemptResult) {
        let answered = matches!(
            result.end,
            AttemptEnd::ResponseStarted { .. } | AttemptEnd::ErrorResponseStarted { .. }
        );
        let Ok(vm) = vm_name(result.gatekeeper) else { return };
        let process = TargetProcess { incarnation: None, started_ms: None };
        let limit = result.stated.limit.map_or(StatedLimit::Absent, StatedLimit::Limit);
        let statement = Statement { limit, leaving: result.stated.leaving, pace: None };
        let input = entry::Input::Stated { vm: &vm, process: &process, answered, statement };
        self.entry_input(node, input);
    }

    /// Handles an attempt rejected by its gatekeeper.
    fn reject_attempt(&mut self, attempt_key: CallKey, outcome: Outcome, crashes: u32) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_key) else { return };
        let load = Some(self.nodes[attempt.node].gatekeeper.load(self.links.now()));
        let end = match outcome {
            Outcome::NotRun { code, retry_after } => {
                AttemptEnd::Rejected { code, retry_after, load, crashes }
            }
            Outcome::Unknown { code } => AttemptEnd::Failed { code, crashes },
            Outcome::Answered => return,
        };
        self.send_result(attempt.node, attempt.call, attempt_key, end);
    }

    /// Handles the result of an attempt arriving at the entry node.
    pub(super) fn receive_result(&mut self, result: AttemptResult) {
        let (key, attempt_key) = (result.call, result.attempt_key);
        let Some(call) = self.calls.get(&key).filter(|call| call.waits_for(attempt_key)) else {
            return;
        };
        let (node, hedged) = (call.node, call.hedge.is_some());
        self.process_message(node);
        self.record_statement(node, &result);
        let end = result.end;
        if hedged && !self.settle_hedge(key, attempt_key, &end) {
            return;
        }
        let answered = matches!(end, AttemptEnd::ResponseStarted { .. });
        let failure = matches!(end, AttemptEnd::ErrorResponseStarted { .. });
        self.entry_input(node, entry::Input::Attempt { call: key, end, replayable: true });
        let same = self.calls.get(&key).is_some_and(|call| call.primary == Some(attempt_key));
        if same && answered {
            self.entry_input(node, entry::Input::Close(key));
            self.end_call(key, Ok(()));
        } else if same && failure {
            // The call was not retried, so the error response is final.
            self.entry_input(node, entry::Input::Close(key));
            self.end_call(key, Err(Outcome::Unknown { code: Code::TargetFailed }));
        }
    }

    /// Ends a call and notifies its originator.
    fn end_call(&mut self, key: CallKey, result: Result<(), Outcome>) {
        let Some(call) = self.calls.swap_remove(&key) else { return };
        match (call.origin, result) {
            (Origin::Caller(request), Ok(())) => self.caller_answered(request),
            (Origin::Caller(request), Err(outcome)) => self.caller_attempt_failed(request, outcome),
            (Origin::Run(run), result) => self.nested_call_ended(run, result.is_ok()),
        }
    }

    /// Handles the expiry of a call's deadline at its entry node.
    pub(super) fn expire_call(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else { return };
        let (node, primary, hedge) = (call.node, call.primary, call.hedge);
        self.close_attempt(node, primary);
        self.close_attempt(node, hedge);
        self.entry_input(node, entry::Input::Expire { call: key, sent: true });
    }

    /// Cancels a call whose originator no longer waits for it.
    pub(super) fn cancel_call(&mut self, key: CallKey) {
        let Some(call) = self.calls.swap_remove(&key) else { return };
        self.entry_input(call.node, entry::Input::Close(key));
        self.close_attempt(call.node, call.primary);
        self.close_attempt(call.node, call.hedge);
    }

    /// Handles the end of one of two concurrent attempts. Returns whether it was answered and thus
    /// decides the outcome of the call.
    fn settle_hedge(&mut self, key: CallKey, attempt_key: CallKey, end: &AttemptEnd) -> bool {
        let Some(call) = self.calls.get_mut(&key) else { return false };
        let (node, first, hedge) = (call.node, call.primary, call.hedge.take());
        let answered = matches!(end, AttemptEnd::ResponseStarted { .. });
        let is_first = first == Some(attempt_key);
        match (is_first, answered) {
            (true, true) => {
                self.close_attempt(node, hedge);
                self.entry_input(node, entry::Input::HedgeEnded { call: key, end: None });
            }
            (true, false) => {
                call.primary = hedge;
                let input = entry::Input::PrimaryEnded { call: key, end: end.clone() };
                self.entry_input(node, input);
            }
            (false, true) => {
                call.primary = hedge;
                self.close_attempt(node, first);
                let end = AttemptEnd::LostToHedge;
                self.entry_input(node, entry::Input::PrimaryEnded { call: key, end });
            }
            (false, false) => {
                let end = Some(end.clone());
                self.entry_input(node, entry::Input::HedgeEnded { call: key, end });
            }
        }
        answered
    }
}
