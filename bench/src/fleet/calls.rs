//! Simulated callers and targets. Submits requests to random entry nodes, carries the calls between
//! entry nodes and gatekeepers, and records every submission, run and outcome.

mod targets;

use super::slot::{NodeInput, node_at};
use super::{Fleet, FleetEvent};
use crate::history::calls::{CallOutcome, CallRecord};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::entry::{AttemptEnd, Forward};
use sycamore_core::call::gatekeeper::{RunEnd, TICK};
use sycamore_core::call::{CallKey, Fingerprint, Outcome, RequestKey, entry};
use sycamore_core::hash::Hash;

/// Size of a request or response body.
const BODY_BYTES: u64 = 600;

/// Maximum number of submissions per request.
const MAX_TRIES: u32 = 6;

/// Delay before a caller resubmits when the response gave no `retry_after`.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Restart time of a crashed target.
const TARGET_RESTART: Duration = Duration::from_secs(2);

/// Time until a gatekeeper detects a broken connection to its target.
const CRASH_DETECTION: Duration = Duration::from_millis(5);

/// Interval at which delivery to a paused process is retried.
const PAUSED_POLL: Duration = Duration::from_millis(100);

/// Share of requests, per mille, that crash every target that runs them.
const CRASHING_PER_MILLE: u32 = 1;

/// Share of runs, per mille, whose connection to the target breaks while the target keeps running.
const BROKEN_PER_MILLE: u32 = 10;

/// A request as sent by a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request number, returned as the response body.
    pub number: u64,
    path: String,
    key: Option<RequestKey>,
    work: Duration,
    crashes_target: bool,
}

impl Request {
    fn digest(&self) -> Hash {
        Hash::of(&self.number.to_be_bytes())
    }

    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&[&self.number.to_be_bytes()])
    }
}

/// A step of a call that takes place at a later time.
pub(super) enum Step {
    /// Creates a new request and schedules the next one.
    NewRequest,
    /// Submits a request, with the number of tries left.
    Submit(Arc<Request>, u32),
    /// An attempt arrives at the gatekeeper's host.
    ReachGatekeeper { submission: usize, entry_incarnation: u32, forward: Box<Forward> },
    /// The outcome of an attempt arrives at the entry node.
    AttemptEnded(AttemptReply),
    /// The request deadline expires at the entry node.
    Deadline { submission: usize, entry_incarnation: u32 },
    /// The queueing time of a request expires at the gatekeeper.
    QueueTimeout { call_key: CallKey },
    /// The entry node has closed the connection of an attempt.
    Closed { submission: usize, attempt: u32 },
    /// The target has finished or failed a run.
    RunEnded { call_key: CallKey, end: RunEnd },
    /// Periodic tick of all gatekeepers.
    Tick,
}

/// Outcome of an attempt on its way back to the entry node.
pub(super) struct AttemptReply {
    submission: usize,
    entry_incarnation: u32,
    attempt: u32,
    end: AttemptEnd,
    /// Number of the request that the response belongs to, if the attempt was answered.
    body: Option<u64>,
}

struct Submission {
    request: Arc<Request>,
    tries: u32,
    entry: usize,
    attempt: u32,
    ended: bool,
}

struct GatekeeperCall {
    node: usize,
    incarnation: u32,
    submission: usize,
    attempt: u32,
    entry_incarnation: u32,
    running: bool,
    at_most_once: bool,
}

/// State of the simulated callers and targets.
pub struct CallLoad {
    rng: Pcg64Mcg,
    interval: Duration,
    until: Time,
    requests: u64,
    submissions: Vec<Submission>,
    gatekeeper_calls: IndexMap<CallKey, GatekeeperCall>,
    next_gatekeeper_call: u64,
    targets_down: Vec<Time>,
    /// Records so far, in the order of time.
    pub history: Vec<CallRecord>,
}

impl CallLoad {
    /// Creates callers that submit one new request per `interval` until `until`.
    pub fn new(nodes: usize, interval: Duration, until: Time, seed: u64) -> CallLoad {
        CallLoad {
            rng: Pcg64Mcg::seed_from_u64(seed),
            interval,
            until,
            requests: 0,
            submissions: Vec::new(),
            gatekeeper_calls: IndexMap::new(),
            next_gatekeeper_call: 0,
            targets_down: vec![Time::ZERO; nodes],
            history: Vec::new(),
        }
    }

    fn request(&mut self, now: Time, services: usize) -> Arc<Request> {
        self.requests += 1;
        let service = self.rng.random_range(0..services);
        // The workload has a signing route for every third service.
        let at_most_once = service % 3 == 0 && self.rng.random_bool(0.6);
        let path = format!("/{service:04}/{}", if at_most_once { "signing" } else { "lookup" });
        let random = self.rng.random::<u64>();
        let high = now.as_millis() << 16 | 0x7000 | random & 0x0fff;
        let low = 1 << 63 | self.rng.random::<u64>() >> 2;
        let key = at_most_once.then_some(RequestKey { high, low });
        let work = Duration::from_micros(self.rng.random_range(500..60_000));
        let crashes_target = self.rng.random_range(0..1_000) < CRASHING_PER_MILLE;
        Arc::new(Request { number: self.requests, path, key, work, crashes_target })
    }

    fn find_gatekeeper_call(&self, submission: usize, attempt: u32) -> Option<CallKey> {
        let found = self
            .gatekeeper_calls
            .iter()
            .find(|(_, g)| (g.submission, g.attempt) == (submission, attempt));
        found.map(|(call_key, _)| *call_key)
    }
}

impl Fleet {
    /// Adds callers that submit one new request per `interval` during `span` from now.
    pub fn add_callers(&mut self, interval: Duration, span: Duration) {
        let until = self.now() + span;
        let seed = self.setup.seed;
        self.call_load = Some(CallLoad::new(self.slots.len(), interval, until, seed));
        self.links.after(interval, FleetEvent::CallStep(Step::NewRequest));
        self.links.after(TICK, FleetEvent::CallStep(Step::Tick));
    }

    /// Records of all calls so far.
    pub fn call_history(&self) -> &[CallRecord] {
        self.call_load.as_ref().map_or(&[], |calls| &calls.history)
    }

    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::NewRequest => self.new_request(),
            Step::Submit(request, tries) => self.submit(request, tries),
            Step::ReachGatekeeper { submission, entry_incarnation, forward } => {
                self.reach_gatekeeper(submission, entry_incarnation, *forward);
            }
            Step::AttemptEnded(reply) => self.attempt_ended(reply),
            Step::Deadline { submission, entry_incarnation } => {
                self.deadline(submission, entry_incarnation)
            }
            Step::QueueTimeout { call_key } => self.queue_timeout(call_key),
            Step::Closed { submission, attempt } => self.connection_closed(submission, attempt),
            Step::RunEnded { call_key, end } => self.run_ended(call_key, end),
            Step::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        for node in 0..self.slots.len() {
            self.handle_input(node, NodeInput::Tick);
        }
        self.links.after(TICK, FleetEvent::CallStep(Step::Tick));
    }

    fn new_request(&mut self) {
        let now = self.now();
        let services = self.setup.size.services;
        let Some(calls) = &mut self.call_load else { return };
        if now >= calls.until {
            return;
        }
        let request = calls.request(now, services);
        let interval = calls.interval;
        self.links.after(interval, FleetEvent::CallStep(Step::NewRequest));
        self.submit(request, MAX_TRIES);
    }

    /// Submits a request to a random entry node. If that process is down, retries after
    /// [`RETRY_DELAY`].
    fn submit(&mut self, request: Arc<Request>, tries: u32) {
        let at = self.now();
        let nodes = self.slots.len();
        let Some(calls) = &mut self.call_load else { return };
        let entry = calls.rng.random_range(0..nodes);
        if !self.slots[entry].is_running() {
            let retry = FleetEvent::CallStep(Step::Submit(request, tries));
            return self.links.after(RETRY_DELAY, retry);
        }
        let submission = calls.submissions.len();
        let number = request.number;
        let at_most_once = request.key.is_some();
        let sent = Submission { request: request.clone(), tries, entry, attempt: 0, ended: false };
        calls.submissions.push(sent);
        calls.history.push(CallRecord::Submitted { at, submission, request: number, at_most_once });
        let input = NodeInput::Request {
            call: CallKey(submission as u64),
            path: request.path.clone(),
            key: request.key,
        };
        self.handle_input(entry, input);
    }

    pub(super) fn apply_entry_output(&mut self, node: usize, output: entry::Output) {
        match output {
            entry::Output::Forward(forward) => self.forward(node, forward),
            entry::Output::Finish { call, outcome } => {
                let end = match outcome {
                    Outcome::NotRun { retry_after, .. } => CallOutcome::NotRun(retry_after),
                    Outcome::Unknown { .. } | Outcome::Answered => CallOutcome::Unknown,
                };
                self.end_submission(call.0 as usize, end);
            }
        }
    }

    fn forward(&mut self, node: usize, forward: Forward) {
        let submission = forward.call.0 as usize;
        let entry_incarnation = self.slots[node].incarnation;
        let Some(calls) = &mut self.call_load else { return };
        calls.submissions[submission].attempt = forward.attempt;
        if forward.attempt == 1 {
            let deadline = Step::Deadline { submission, entry_incarnation };
            self.links.at(forward.deadline, FleetEvent::CallStep(deadline));
        }
        let to = node_at(forward.gatekeeper);
        let sites = (self.site(node), self.site(to));
        let step =
            Step::ReachGatekeeper { submission, entry_incarnation, forward: Box::new(forward) };
        self.links.send_call(sites.0, sites.1, BODY_BYTES, FleetEvent::CallStep(step));
    }

    /// Removes a gatekeeper call and sends its outcome to the entry node.
    fn reply_to_entry(&mut self, call_key: CallKey, end: AttemptEnd, body: Option<u64>) {
        let Some(calls) = &mut self.call_load else { return };
        let Some(gatekeeper_call) = calls.gatekeeper_calls.swap_remove(&call_key) else { return };
        let GatekeeperCall { node, submission, attempt, entry_incarnation, .. } = gatekeeper_call;
        self.send_attempt_reply(
            node,
            AttemptReply { submission, entry_incarnation, attempt, end, body },
        );
    }

    fn send_attempt_reply(&mut self, node: usize, reply: AttemptReply) {
        let Some(calls) = &self.call_load else { return };
        let entry = calls.submissions[reply.submission].entry;
        let sites = (self.site(node), self.site(entry));
        self.links.send_call(
            sites.0,
            sites.1,
            BODY_BYTES,
            FleetEvent::CallStep(Step::AttemptEnded(reply)),
        );
    }

    fn attempt_ended(&mut self, reply: AttemptReply) {
        let Some(calls) = &self.call_load else { return };
        let sent = &calls.submissions[reply.submission];
        let entry = sent.entry;
        // The connections of earlier attempts and of earlier processes are closed.
        let current = sent.attempt == reply.attempt
            && self.slots[entry].incarnation == reply.entry_incarnation;
        if sent.ended || !current {
            return;
        }
        if self.slots[entry].is_paused() {
            // The response stays in the socket buffer until the process resumes.
            return self.links.after(PAUSED_POLL, FleetEvent::CallStep(Step::AttemptEnded(reply)));
        }
        let call = CallKey(reply.submission as u64);
        self.handle_input(entry, NodeInput::AttemptEnded { call, end: reply.end });
        if let Some(body) = reply.body {
            self.end_submission(reply.submission, CallOutcome::Answered(body));
            self.handle_input(entry, NodeInput::ResponseSent(call));
        }
    }

    fn deadline(&mut self, submission: usize, entry_incarnation: u32) {
        let Some(calls) = &self.call_load else { return };
        let sent = &calls.submissions[submission];
        if sent.ended || self.slots[sent.entry].incarnation != entry_incarnation {
            return;
        }
        let (entry, attempt) = (sent.entry, sent.attempt);
        if self.slots[entry].is_paused() {
            let step = Step::Deadline { submission, entry_incarnation };
            return self.links.after(PAUSED_POLL, FleetEvent::CallStep(step));
        }
        self.handle_input(entry, NodeInput::DeadlineExpired { call: CallKey(submission as u64) });
        self.close_attempt(entry, submission, attempt);
    }

    fn close_attempt(&mut self, entry: usize, submission: usize, attempt: u32) {
        let Some(calls) = &self.call_load else { return };
        let Some(call_key) = calls.find_gatekeeper_call(submission, attempt) else { return };
        let node = calls.gatekeeper_calls[&call_key].node;
        let sites = (self.site(entry), self.site(node));
        let step = Step::Closed { submission, attempt };
        self.links.send_call(sites.0, sites.1, 0, FleetEvent::CallStep(step));
    }

    fn end_submission(&mut self, submission: usize, end: CallOutcome) {
        let at = self.now();
        let Some(calls) = &mut self.call_load else { return };
        let sent = &mut calls.submissions[submission];
        if std::mem::replace(&mut sent.ended, true) {
            return;
        }
        let (request, tries) = (sent.request.clone(), sent.tries - 1);
        calls.history.push(CallRecord::Ended { at, submission, end });
        let wait = match end {
            CallOutcome::Answered(_) => return,
            CallOutcome::NotRun(retry_after) => retry_after,
            CallOutcome::Unknown | CallOutcome::ConnectionLost => RETRY_DELAY,
        };
        if tries > 0 {
            self.links.after(wait, FleetEvent::CallStep(Step::Submit(request, tries)));
        }
    }

    /// Breaks the connections of a process that stopped: ends the submissions at this entry node
    /// and fails the attempts at this gatekeeper.
    pub(super) fn break_calls(&mut self, node: usize) {
        let Some(calls) = &mut self.call_load else { return };
        let open = |(_, s): &(usize, &Submission)| s.entry == node && !s.ended;
        let submissions: Vec<(usize, u32)> = calls
            .submissions
            .iter()
            .enumerate()
            .filter(open)
            .map(|(submission, sent)| (submission, sent.attempt))
            .collect();
        let here = |(_, g): &(&CallKey, &GatekeeperCall)| g.node == node;
        let call_keys: Vec<CallKey> =
            calls.gatekeeper_calls.iter().filter(here).map(|(call_key, _)| *call_key).collect();
        for (submission, attempt) in submissions {
            self.end_submission(submission, CallOutcome::ConnectionLost);
            self.close_attempt(node, submission, attempt);
        }
        for call_key in call_keys {
            self.reply_to_entry(call_key, AttemptEnd::ConnectionLost, None);
        }
    }
}
