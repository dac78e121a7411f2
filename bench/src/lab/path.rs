//! The way of a call: caller or run -> entry node -> gatekeeper -> target, and back.

use super::mesh::node_at;
use super::target::Taken;
use super::world::{Happening, World};
use rand::RngExt;
use std::time::Duration;
use sycamore_core::call::entry::{self, AttemptEnd, Forward};
use sycamore_core::call::gatekeeper::{self, End};
use sycamore_core::call::{CallKey, Fingerprint, Outcome, Runs};
use sycamore_core::{Code, Time};

/// A run, by the key of its call at the gatekeeper.
pub(super) type RunKey = CallKey;

/// Bytes of a request, and of an answer's head.
pub(super) const HEAD_BYTES: u64 = 400;

/// Deepest nesting: a run's calls make no further ones.
const NESTED_DEPTH: u8 = 1;

/// Who waits for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asker {
    /// A caller, by the number of its request.
    Caller(usize),
    /// A run that can't go on without it.
    Run(RunKey),
}

/// A call at its entry node.
pub(super) struct Call {
    pub node: usize,
    kind: usize,
    asker: Asker,
    // The present attempt, by its key at the gatekeeper.
    gate: Option<CallKey>,
    // Targets that it has been handed to.
    arrivals: u32,
}

/// An attempt at its gatekeeper.
pub(super) struct Gated {
    pub node: usize,
    call: CallKey,
    kind: usize,
    deadline: Time,
    came: Time,
    waited: Duration,
    running: bool,
    fails: bool,
    // Kinds of the calls still to be made, and the work before each of them.
    steps: Vec<usize>,
    part: Duration,
    child: Option<CallKey>,
}

/// What an attempt came to, on its way to the entry node.
pub(super) struct Back {
    call: CallKey,
    gate: CallKey,
    end: AttemptEnd,
}

impl World<'_> {
    /// A request reaches an entry node. Returns its key unless it has ended already.
    pub(super) fn arrive(
        &mut self,
        node: usize,
        kind: usize,
        asker: Asker,
        left: Duration,
    ) -> Option<CallKey> {
        let call = self.new_key();
        self.calls.insert(call, Call { node, kind, asker, gate: None, arrivals: 0 });
        let path = self.kinds[kind].path.clone();
        let own_runs = match asker {
            Asker::Run(_) => self.nodes[node].gate.runs(),
            Asker::Caller(_) => Runs::default(),
        };
        let arrival = entry::Arrival {
            call,
            host: "",
            path: &path,
            key: None,
            time_left: Some(left),
            depth: if matches!(asker, Asker::Run(_)) { NESTED_DEPTH } else { 0 },
            body_bytes: Some(0),
            own_runs,
        };
        self.tell_entry(node, entry::Input::Arrive(arrival));
        self.calls.contains_key(&call).then_some(call)
    }

    pub(super) fn tell_entry(&mut self, node: usize, input: entry::Input<'_>) {
        let mut out = Vec::new();
        self.nodes[node].entry.handle(self.links.now(), input, &mut out);
        for output in out {
            match output {
                entry::Output::Forward(forward) => self.forward(node, forward),
                entry::Output::Finish { call, outcome } => self.end_call(call, Err(outcome)),
            }
        }
    }

    pub(super) fn tell_gate(&mut self, node: usize, input: gatekeeper::Input<'_>) {
        let mut out = Vec::new();
        self.nodes[node].gate.handle(self.links.now(), input, &mut out);
        for output in out {
            match output {
                gatekeeper::Output::Run { call, .. } => self.start_run(call),
                gatekeeper::Output::Queue(call, until) => {
                    self.links.at(until, Happening::QueueEnd(call));
                }
                gatekeeper::Output::Refuse { call, outcome, crashes } => {
                    self.refuse(call, outcome, crashes);
                }
                gatekeeper::Output::Replay(..)
                | gatekeeper::Output::Send(_)
                | gatekeeper::Output::Record(_) => {}
            }
        }
    }

    /// The time at which a node has dealt with a message that has come now.
    fn dealt_with(&mut self, node: usize) -> Time {
        let now = self.links.now();
        let cost = Duration::from_micros(self.cfg.message_us);
        let busy = &mut self.nodes[node].busy_until;
        *busy = (*busy).max(now) + cost;
        *busy
    }

    fn send(&mut self, departs: Time, from: usize, to: usize, bytes: u64, event: Happening) {
        self.count_bytes(from, to, bytes);
        let sites = (self.link_site(from), self.link_site(to));
        self.links.send_call_at(departs, sites.0, sites.1, bytes, event);
    }

    fn forward(&mut self, node: usize, forward: Forward) {
        let departs = self.dealt_with(node);
        let gate = self.new_key();
        let key = forward.call;
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.gate = Some(gate);
        if forward.attempt == 1 {
            self.links.at(forward.deadline, Happening::Expire(key));
        }
        let to = node_at(forward.gate);
        self.send(departs, node, to, HEAD_BYTES, Happening::AtGate(Box::new(forward), gate));
    }

    /// A forward reaches the node beside its target.
    pub(super) fn at_gate(&mut self, forward: Forward, gate: CallKey) {
        let key = forward.call;
        let node = node_at(forward.gate);
        let Some(call) = self.calls.get(&key).filter(|call| call.gate == Some(gate)) else {
            return;
        };
        let (kind, asker) = (call.kind, call.asker);
        if !self.nodes[node].up {
            return self.send_back(node, Back { call: key, gate, end: AttemptEnd::NotSent });
        }
        self.dealt_with(node);
        self.gated.insert(
            gate,
            Gated {
                node,
                call: key,
                kind,
                deadline: forward.deadline,
                came: self.links.now(),
                waited: Duration::ZERO,
                running: false,
                fails: false,
                steps: Vec::new(),
                part: Duration::ZERO,
                child: None,
            },
        );
        let path = self.kinds[kind].path.clone();
        let arrival = gatekeeper::Arrival {
            call: gate,
            host: "",
            path: &path,
            terms: Some(forward.terms),
            key: None,
            digest: None,
            fingerprint: Fingerprint(gate.0),
            crashes: forward.crashes,
            depth: if matches!(asker, Asker::Run(_)) { NESTED_DEPTH } else { 0 },
            deadline: forward.deadline,
        };
        self.tell_gate(node, gatekeeper::Input::Arrive(arrival));
    }

    fn send_back(&mut self, node: usize, back: Back) {
        let Some(call) = self.calls.get(&back.call) else { return };
        let to = call.node;
        let departs = if self.nodes[node].up { self.dealt_with(node) } else { self.links.now() };
        self.send(departs, node, to, HEAD_BYTES, Happening::Back(back));
    }

    /// The gatekeeper turns an attempt away.
    fn refuse(&mut self, gate: CallKey, outcome: Outcome, crashes: u32) {
        let Some(gated) = self.gated.swap_remove(&gate) else { return };
        let load = Some(self.nodes[gated.node].gate.load(self.links.now()));
        let end = match outcome {
            Outcome::NotRun { code, retry_after } => {
                AttemptEnd::Refused { code, retry_after, load, crashes }
            }
            Outcome::Unknown { code } => AttemptEnd::Failed { code, crashes },
            Outcome::Answered => return,
        };
        self.send_back(gated.node, Back { call: gated.call, gate, end });
    }

    /// A slot was given: the target gets the request.
    fn start_run(&mut self, gate: RunKey) {
        let Some(gated) = self.gated.get_mut(&gate) else { return };
        gated.running = true;
        gated.waited = self.links.now().since(gated.came);
        let (node, key) = (gated.node, gated.call);
        self.count_arrival(key);
        match self.nodes[node].target.take(gate, &mut self.rng) {
            Taken::Runs => self.begin_work(gate),
            Taken::Waits => {}
            Taken::Refused => {
                let end = End::Rejected(Code::TargetRefused);
                self.tell_gate(node, gatekeeper::Input::End { call: gate, end });
            }
        }
    }

    fn count_arrival(&mut self, key: CallKey) {
        let counts = self.counts(self.links.now());
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.arrivals += 1;
        if counts {
            self.tally.arrivals.0 += 1;
            self.tally.arrivals.1 += u64::from(call.arrivals > 1);
        }
    }

    fn begin_work(&mut self, gate: RunKey) {
        let Some(gated) = self.gated.get(&gate) else { return };
        let (node, kind) = (gated.node, gated.kind);
        let fails = self.nodes[node].target.fails(&mut self.rng);
        let work = self.draw_work(kind);
        let time = self.nodes[node].target.time_for(self.links.now(), work, fails);
        let mut steps = Vec::new();
        for (called, times, share) in self.kinds[kind].calls.clone() {
            if !fails && self.rng.random_bool(share) {
                steps.extend(std::iter::repeat_n(called, times as usize));
            }
        }
        let part = time / (steps.len() as u32 + 1);
        if let Some(gated) = self.gated.get_mut(&gate) {
            (gated.fails, gated.steps, gated.part) = (fails, steps, part);
        }
        self.links.after(part, Happening::Worked(gate));
    }

    /// Work of a request: its logarithm is spread normally, and its mean is the stated one.
    fn draw_work(&mut self, kind: usize) -> Duration {
        let cfg = &self.kinds[kind].cfg;
        let (mean, spread) = (cfg.work_ms, cfg.spread);
        let (a, b) = (1.0 - self.rng.random::<f64>(), self.rng.random::<f64>());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let factor = (spread * normal - spread * spread / 2.0).exp();
        Duration::from_secs_f64(mean * factor / 1e3)
    }

    /// A run has done a part of its work: it makes its next call, or ends.
    pub(super) fn worked(&mut self, run: RunKey) {
        let Some(gated) = self.gated.get_mut(&run) else { return };
        let Some(kind) = gated.steps.pop() else {
            let fails = gated.fails;
            return self.end_run(run, fails);
        };
        let (node, deadline) = (gated.node, gated.deadline);
        let now = self.links.now();
        let most = Duration::from_millis(self.kinds[kind].cfg.deadline_ms.into());
        let left = deadline.since(now).min(most);
        let child = self.arrive(node, kind, Asker::Run(run), left);
        if let Some(gated) = self.gated.get_mut(&run) {
            gated.child = child;
        }
    }

    /// The target has made an answer, which is sent as the link takes it.
    fn end_run(&mut self, run: RunKey, failed: bool) {
        let Some(gated) = self.gated.get(&run) else { return };
        let (node, kind, key) = (gated.node, gated.kind, gated.call);
        let body = if failed { 0 } else { self.kinds[kind].cfg.answer_bytes };
        let to = self.calls.get(&key).map(|call| call.node);
        let departs = match to {
            Some(to) if to != node => self.link_takes(node, run, HEAD_BYTES + body),
            _ => self.links.now(),
        };
        if departs > self.links.now() {
            // The target is done with it as soon as its gatekeeper has read it.
            self.free_target(node, run);
            let end = End::Read { left: HEAD_BYTES + body };
            self.tell_gate(node, gatekeeper::Input::End { call: run, end });
        }
        self.links.at(departs, Happening::Sent(run, failed));
    }

    /// When the link of a node's VM has taken an answer.
    fn link_takes(&mut self, node: usize, run: RunKey, bytes: u64) -> Time {
        let now = self.links.now();
        let mbps = self.cfg.links.vm_mbps;
        if mbps <= 0.0 {
            return now;
        }
        let begins = self.nodes[node].gate.piece(now, run, bytes);
        let takes = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
        let until = &mut self.nodes[node].link_until;
        *until = (*until).max(begins) + takes;
        *until
    }

    /// The last byte of an answer has left the target's VM.
    pub(super) fn sent(&mut self, run: RunKey, failed: bool) {
        let Some(gated) = self.gated.get(&run) else { return };
        let (node, key, kind, waited) = (gated.node, gated.call, gated.kind, gated.waited);
        self.free_target(node, run);
        let load = self.nodes[node].gate.load(self.links.now());
        let end = End::Answered { kept: None };
        self.tell_gate(node, gatekeeper::Input::End { call: run, end });
        self.tell_gate(node, gatekeeper::Input::Left(run));
        self.gated.swap_remove(&run);
        let Some(call) = self.calls.get(&key) else { return };
        let to = call.node;
        let (end, body) = match failed {
            true => (AttemptEnd::AnsweringFailure { load: Some(load) }, 0),
            false => {
                let body = self.kinds[kind].cfg.answer_bytes;
                (AttemptEnd::Answering { load: Some(load), waited }, body)
            }
        };
        let departs = self.dealt_with(node);
        let back = Happening::Back(Back { call: key, gate: run, end });
        self.send(departs, node, to, HEAD_BYTES + body, back);
    }

    /// The target has a slot less in use; what waits there runs.
    fn free_target(&mut self, node: usize, run: RunKey) {
        if let Some(next) = self.nodes[node].target.end(run) {
            self.begin_work(next);
        }
    }

    /// What an attempt came to reaches its entry node.
    pub(super) fn back(&mut self, back: Back) {
        let Back { call: key, gate, end } = back;
        let Some(call) = self.calls.get(&key).filter(|call| call.gate == Some(gate)) else {
            return;
        };
        let node = call.node;
        self.dealt_with(node);
        let answered = matches!(end, AttemptEnd::Answering { .. });
        let failure = matches!(end, AttemptEnd::AnsweringFailure { .. });
        self.tell_entry(node, entry::Input::Attempt { call: key, end, whole: true });
        let same = self.calls.get(&key).is_some_and(|call| call.gate == Some(gate));
        if same && answered {
            self.tell_entry(node, entry::Input::Close(key));
            self.end_call(key, Ok(()));
        } else if same && failure {
            // It was not sent again: the failure is the answer.
            self.tell_entry(node, entry::Input::Close(key));
            self.end_call(key, Err(Outcome::Unknown { code: Code::TargetFailed }));
        }
    }

    /// A call is over: whoever waits for it goes on.
    fn end_call(&mut self, key: CallKey, result: Result<(), Outcome>) {
        let Some(call) = self.calls.swap_remove(&key) else { return };
        match (call.asker, result) {
            (Asker::Caller(request), Ok(())) => self.caller_answered(request),
            (Asker::Caller(request), Err(outcome)) => self.caller_refused(request, outcome),
            (Asker::Run(run), result) => self.child_ended(run, result.is_ok()),
        }
    }

    fn child_ended(&mut self, run: RunKey, answered: bool) {
        let counts = self.counts(self.links.now());
        self.tally.nested.0 += u64::from(counts && answered);
        self.tally.nested.1 += u64::from(counts && !answered);
        let Some(gated) = self.gated.get_mut(&run) else { return };
        gated.child = None;
        match answered {
            true => self.links.after(gated.part, Happening::Worked(run)),
            // The run can't go on; said in an event of its own, since its gatekeeper may be the
            // one that has just refused the call.
            false => {
                gated.fails = true;
                gated.steps.clear();
                self.links.after(Duration::ZERO, Happening::Worked(run));
            }
        }
    }

    /// The deadline of a call at its entry node.
    pub(super) fn expire(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else { return };
        let (node, gate) = (call.node, call.gate);
        self.close_attempt(node, gate);
        self.tell_entry(node, entry::Input::Expire { call: key, sent: true });
    }

    /// Whoever asked has left.
    pub(super) fn leave(&mut self, key: CallKey) {
        let Some(call) = self.calls.swap_remove(&key) else { return };
        self.tell_entry(call.node, entry::Input::Close(key));
        self.close_attempt(call.node, call.gate);
    }

    fn close_attempt(&mut self, node: usize, gate: Option<CallKey>) {
        let Some(gate) = gate else { return };
        if let Some(gated) = self.gated.get(&gate) {
            let to = gated.node;
            self.send(self.links.now(), node, to, 0, Happening::Closed(gate));
        }
    }

    /// The gatekeeper sees that the entry node has closed the connection.
    pub(super) fn closed(&mut self, gate: CallKey) {
        let Some(gated) = self.gated.swap_remove(&gate) else { return };
        if let Some(child) = gated.child {
            self.leave(child);
        }
        let input = match gated.running {
            true => gatekeeper::Input::End { call: gate, end: End::Cancelled },
            false => gatekeeper::Input::Withdraw(gate),
        };
        self.free_target(gated.node, gate);
        self.tell_gate(gated.node, input);
    }

    /// A waiting request's time at its gatekeeper is up.
    pub(super) fn queue_end(&mut self, gate: CallKey) {
        if let Some(gated) = self.gated.get(&gate).filter(|gated| !gated.running) {
            self.tell_gate(gated.node, gatekeeper::Input::Expire(gate));
        }
    }

    /// A VM is gone: its callers and the entry nodes of its runs see broken connections.
    pub(super) fn stop(&mut self, node: usize) {
        self.nodes[node].up = false;
        let own = |(key, call): (&CallKey, &Call)| (call.node == node).then_some(*key);
        let calls: Vec<CallKey> = self.calls.iter().filter_map(own).collect();
        let here = |(key, gated): (&CallKey, &Gated)| (gated.node == node).then_some(*key);
        let runs: Vec<CallKey> = self.gated.iter().filter_map(here).collect();
        for key in calls {
            let Some(call) = self.calls.get(&key) else { continue };
            self.close_attempt(node, call.gate);
            self.end_call(key, Err(Outcome::Unknown { code: Code::AnswerLost }));
        }
        for run in runs {
            let Some(gated) = self.gated.swap_remove(&run) else { continue };
            self.send_back(node, Back { call: gated.call, gate: run, end: AttemptEnd::Lost });
        }
    }

    /// A VM is back, its target cold.
    pub(super) fn start(&mut self, node: usize) {
        let now = self.links.now();
        if let Ok((entry, gate)) = self.new_process(node) {
            let back = &mut self.nodes[node];
            (back.entry, back.gate, back.up) = (entry, gate, true);
            back.target.restart(now);
            let snapshot = self.newest.clone();
            self.configure_node(node, &snapshot);
        }
    }
}
