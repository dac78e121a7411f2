//! The gatekeeper of a target: decides which requests reach the target and when, and how requests
//! that do not reach it are rejected.

mod check;
mod connecting;
mod homes;
mod leaving;
mod placement;
mod port;
mod recall;
mod statements;
mod suspects;

pub use port::{Arrival, Input, Output, RunEnd};
pub use recall::{AGE_TOLERANCE, MAX_RECALLED, MIN_RECALL_RETENTION, RecallQuestion};

use super::admit::{Admission, Objective, Offer, ParkedReport, Popped, Slots};
use super::home::Homes;
use super::link::LinkPacer;
use super::once::{CachedResponse, IdempotencyTable};
use super::policy::{Mechanism, Policy};
use super::quarantine::{Answered, Suspects};
use super::recall::AttemptId;
use super::runs::{RunCounts, RunKind, Runs};
use super::{CallKey, Fingerprint, Load, Members, Outcome, RequestKey, StopPlan, Terms};
use crate::config::snapshot::RouteEntry;
use crate::config::{AtMostOnceMode, Class, ServiceKey, ServiceLimits, Snapshot, TargetKey};
use crate::event::EventKind;
use crate::{Code, Name, Time};
use check::CheckResult;
use indexmap::IndexMap;
use leaving::LeavingTargets;
use placement::Placement;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use recall::RecallTable;
use statements::Statements;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A longer gap without any input means that the process was suspended: the adapter sends a tick at
/// least every [`TICK`].
pub const CLOCK_GAP: Duration = Duration::from_secs(3);

/// Interval of the adapter's ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// Longest time after the start for which requests wait for the first configuration version. A node
/// that is cut off gets none, and has to let them run while they can still be in time.
pub const FIRST_VERSION_TIMEOUT: Duration = Duration::from_millis(300);

/// `Retry-After` of rejections that are not caused by load.
const RETRY_AFTER_SHORT: Duration = Duration::from_millis(200);
const RETRY_AFTER_LONG: Duration = Duration::from_secs(1);
const RETRY_AFTER_QUARANTINED: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Call {
    offer: Offer,
    // Absent if the entry node does not identify its attempts.
    attempt: Option<AttemptId>,
    key: Option<RequestKey>,
    fingerprint: Fingerprint,
    // Crashes reported by the entry node.
    crashes: u32,
    running: bool,
    // It has a slot but no connection to the target yet, so no byte of it has been sent.
    connecting: bool,
    kind: RunKind,
    repeat: bool,
}

impl Call {
    /// Whether no byte of it has been sent to the target.
    fn is_unstarted(&self) -> bool {
        !self.running || self.connecting
    }
}

/// A request that passed the checks on its arrival.
#[derive(Debug)]
struct Accepted {
    attempt: Option<AttemptId>,
    terms: Terms,
    key: Option<RequestKey>,
}

#[derive(Debug)]
pub struct Gatekeeper {
    vm: Name,
    // If targets are discovered separately from the configuration version, the address by which
    // this gatekeeper finds its own target's entry.
    gate: Option<SocketAddr>,
    service_name: Option<Name>,
    started: Time,
    rng: Pcg64Mcg,
    snapshot: Option<Arc<Snapshot>>,
    service: Option<ServiceKey>,
    members: Arc<Members>,
    slots: Slots,
    // Whether a version has set the limits of the target.
    has_limits: bool,
    idempotency: IdempotencyTable,
    homes: Option<Homes>,
    suspects: Suspects,
    answered: Answered,
    calls: IndexMap<CallKey, Call>,
    recalls: RecallTable,
    runs: RunCounts,
    // The last crash, until the target responds again.
    crash: Option<u64>,
    target_up: bool,
    // Whether the configuration lists the target as leaving.
    target_leaving: bool,
    statements: Statements,
    leaving: LeavingTargets,
    placement: Placement,
    last_response_at: Time,
    // Earliest time of the next probe.
    next_probe_at: Time,
    // Whether the last probe was sent to the process that the target is known to be now.
    is_probe_current: bool,
    draining: bool,
    confirmed: bool,
    moving: bool,
    last_input_at: Option<Time>,
}

impl Gatekeeper {
    /// Creates a gatekeeper without configuration on `vm`, whose process started at `started`.
    ///
    /// Requests wait for the limits of the first version, and run with the defaults if none comes.
    pub fn new(vm: Name, started: Time, seed: u64) -> Gatekeeper {
        let mut slots = Slots::starting(ServiceLimits::default(), started);
        slots.start_limits_mut().hold_until(started + FIRST_VERSION_TIMEOUT);
        Gatekeeper {
            vm,
            gate: None,
            service_name: None,
            started,
            rng: Pcg64Mcg::seed_from_u64(seed),
            snapshot: None,
            service: None,
            members: Arc::new(Members::new()),
            slots,
            has_limits: false,
            idempotency: IdempotencyTable::new(),
            homes: None,
            suspects: Suspects::new(),
            answered: Answered::new(),
            calls: IndexMap::new(),
            recalls: RecallTable::new(started),
            runs: RunCounts::new(),
            crash: None,
            target_up: true,
            target_leaving: false,
            statements: Statements::default(),
            leaving: LeavingTargets::default(),
            placement: Placement::new(),
            last_response_at: started,
            next_probe_at: started,
            is_probe_current: true,
            draining: false,
            confirmed: true,
            moving: false,
            last_input_at: None,
        }
    }

    /// Identifies the target by the address of its gatekeeper instead of by the VM. `service` is
    /// the service that it provides, known before any configuration.
    pub fn with_discovered_target(mut self, gate: SocketAddr, service: Name) -> Gatekeeper {
        self.gate = Some(gate);
        self.service_name = Some(service);
        self
    }

    /// Sets the region of the VM, known before any configuration.
    pub fn with_region(mut self, region: Name) -> Gatekeeper {
        self.placement.set_region(region);
        self
    }

    /// Sets the bandwidth of the VM's link in kilobits per second.
    pub fn with_link(mut self, kbps: Option<u64>) -> Gatekeeper {
        self.slots = self.slots.with_link(LinkPacer::new(kbps));
        self
    }

    pub fn with_policy(mut self, policy: Policy) -> Gatekeeper {
        self.recalls.set_enabled(policy.is_enabled(Mechanism::Recall));
        self.slots = self.slots.with_policy(policy);
        self
    }

    /// Handles one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        self.detect_clock_gap(now, out);
        match input {
            Input::Configure(snapshot) => self.configure(now, snapshot, out),
            Input::View(members) => self.members = members,
            Input::Confirm => self.confirmed = true,
            Input::Drain => self.drain(now, out),
            Input::Stop(plan) => self.plan_stop(now, plan, out),
            Input::Arrive(arrival) => self.arrive(now, &arrival, None, out),
            Input::ArriveAttempt { attempt, arrival } => {
                self.arrive(now, &arrival, Some(attempt), out);
            }
            Input::Connecting(call) => self.connecting(now, call, out),
            Input::Connected(call) => self.connected(now, call, out),
            Input::Expire(call) => self.expire(now, call, out),
            Input::Withdraw(call) => {
                self.withdraw(call);
            }
            Input::End { call, end } => self.end(now, call, end, out),
            Input::ResponseSent(call) => self.slots.response_sent(call),
            Input::Note { from, note } => self.handle_note(now, from, note, out),
            Input::Stated { call, ran, statement } => {
                self.record_statement(now, call, ran, statement, out);
            }
            Input::Probed { .. } if !self.is_probe_current => {}
            Input::Probed { cold_left, statement } => {
                if let Some(cold_left) = cold_left {
                    self.slots.start_limits_mut().probed(now, cold_left);
                }
                self.record_probe_statement(now, statement, out);
            }
            Input::ProbeRefused => self.mark_target_down(now, out),
            Input::Tick => self.probe(now, out),
        }
        self.tell_witnesses(now, out);
        self.poll_homes(now, out);
        self.run_waiting(now, out);
        out.extend(self.slots.start_limits_mut().take_change(now).map(Output::RecordCold));
    }

    /// Returns the time at which the next `bytes` of the response to `call` may be sent.
    pub fn schedule_chunk(&mut self, now: Time, call: CallKey, bytes: u64) -> Time {
        self.slots.schedule_chunk(now, call, bytes)
    }

    /// Records bytes that the node has written to other VMs, paced or not.
    pub fn record_written(&mut self, now: Time, bytes: u64) {
        self.slots.record_written(now, bytes);
    }

    /// The current load of the target and its queue.
    pub fn load(&self, now: Time) -> Load {
        self.slots.load(now)
    }

    /// Whether the target counts as cold.
    pub fn is_target_cold(&self, now: Time) -> bool {
        self.slots.start_limits().is_cold(now)
    }

    /// Number of requests started within the interval of the limit of a cold target.
    pub fn recent_starts(&self, now: Time) -> usize {
        self.slots.start_limits().recent_starts(now)
    }

    /// Requests parked for the target.
    pub fn parked(&self) -> ParkedReport {
        self.slots.parked()
    }

    /// The running requests that may be making nested calls.
    pub fn runs(&self) -> Runs {
        self.runs.kinds_with_repeats()
    }

    /// Detects that the process was suspended. The list of homes may then be outdated, so no
    /// request that must run at most once runs until the version in force has been confirmed.
    fn detect_clock_gap(&mut self, now: Time, out: &mut Vec<Output>) {
        let last = self.last_input_at.replace(now).unwrap_or(now);
        if now.since(last) > CLOCK_GAP {
            self.confirmed = false;
            self.recalls.clock_gap(now, now.since(last));
            out.push(Output::Record(EventKind::ClockGap));
        }
    }

    fn drain(&mut self, now: Time, out: &mut Vec<Output>) {
        self.draining = true;
        self.reject_parked(now, out);
        if let Some(homes) = &mut self.homes {
            out.extend(homes.leave().into_iter().map(Output::Send));
        }
    }

    fn plan_stop(&mut self, now: Time, plan: StopPlan, out: &mut Vec<Output>) {
        let unreachable = self.slots.set_run_by(now, plan.run_by);
        self.reject_unstarted(now, &unreachable, Code::Draining, out);
    }

    fn configure(&mut self, now: Time, snapshot: Arc<Snapshot>, out: &mut Vec<Output>) {
        let target = self.own_target(&snapshot);
        let service_of_target = target.map(|target| snapshot.target(target).service);
        let service_by_name = || snapshot.service_named(self.service_name.as_ref()?);
        self.service = service_of_target.or_else(service_by_name);
        if let Some(service) = self.service {
            let mut limits = snapshot.service(service).limits.clone();
            let own_slots = target.and_then(|target| snapshot.target(target).target.slots);
            limits.slots = own_slots.unwrap_or(limits.slots).max(1);
            self.slots.set_limits(limits);
            if !std::mem::replace(&mut self.has_limits, true) {
                self.slots.start_limits_mut().hold_until(now);
            }
            self.service_name = Some(snapshot.service(service).name.clone());
        }
        let leaving = target.is_some_and(|target| snapshot.target(target).target.leaving);
        if leaving && !std::mem::replace(&mut self.target_leaving, leaving) {
            self.reject_waiting_requests(now, Code::Draining, out);
        }
        self.target_leaving = leaving;
        if let Some(target) = target {
            self.update_placement(now, &snapshot.target(target).target, out);
        }
        if self.has_keyed_routes(&snapshot) {
            self.update_homes(now, &snapshot);
        }
        self.recalls.configure(&snapshot);
        self.snapshot = Some(snapshot);
        self.ask_witnesses(now, out);
        self.probe(now, out);
    }

    /// The entry of the target on this VM. If two have the same address, the later one applies: the
    /// earlier belongs to a process that has ended and whose entry has not expired yet.
    fn own_target(&self, snapshot: &Snapshot) -> Option<TargetKey> {
        let Some(gate) = self.gate else {
            return snapshot.target_on(&self.vm);
        };
        let last = snapshot.targets().iter().rposition(|entry| entry.target.gate == gate)?;
        Some(TargetKey(last as u32))
    }

    /// Whether keys need homes: a route to this service identifies requests by key, or did so
    /// before.
    fn has_keyed_routes(&self, snapshot: &Snapshot) -> bool {
        let keyed =
            |entry: &RouteEntry| !entry.route.idempotent && entry.route.once == AtMostOnceMode::Key;
        let own = |entry: &RouteEntry| Some(entry.service) == self.service;
        let routes = snapshot.routes().iter();
        self.homes.is_some() || routes.into_iter().any(|entry| own(entry) && keyed(entry))
    }

    fn arrive(
        &mut self,
        now: Time,
        arrival: &Arrival<'_>,
        attempt: Option<AttemptId>,
        out: &mut Vec<Output>,
    ) {
        self.record_known_limit(now, arrival.known_limit, out);
        if attempt.is_some_and(|attempt| self.recalls.is_recalled(now, attempt)) {
            let outcome = Outcome::not_run(Code::Recalled, RETRY_AFTER_SHORT);
            return self.reject(now, arrival, outcome, out);
        }
        let outcome = match self.check(now, arrival) {
            CheckResult::Accept(terms, key) => {
                let accepted = Accepted { attempt, terms, key };
                return self.admit(now, arrival, &accepted, out);
            }
            CheckResult::Replay(response) => {
                return out.push(Output::Replay(arrival.call, response));
            }
            CheckResult::Reject(outcome) => outcome,
        };
        self.reject(now, arrival, outcome, out);
    }

    fn admit(
        &mut self,
        now: Time,
        arrival: &Arrival<'_>,
        accepted: &Accepted,
        out: &mut Vec<Output>,
    ) {
        let Accepted { attempt, ref terms, key } = *accepted;
        let call = arrival.call;
        // Gating requests count as nested even if the caller does not send the depth.
        let depth = arrival.depth.max((terms.class == Class::Gating).into());
        let objective = Objective {
            respond_by: terms.objective,
            may_exceed_objective: terms.may_exceed_objective,
        };
        let offer = Offer {
            call,
            class: terms.class,
            rank: terms.rank,
            depth,
            deadline: arrival.deadline,
            run_by: arrival.run_by,
            // Nested requests have no objective: any time before the deadline is equally good.
            objective: (depth == 0).then_some(objective),
        };
        let admission = self.slots.offer(now, offer);
        if let Admission::Reject(code, wait) = admission {
            let wait = self.with_jitter(wait);
            return self.reject(now, arrival, Outcome::not_run(code, wait), out);
        }
        let entry = Call {
            offer,
            attempt,
            key,
            fingerprint: arrival.fingerprint,
            crashes: arrival.crashes,
            running: false,
            connecting: false,
            kind: RunKind::of(terms),
            repeat: terms.repeat,
        };
        self.calls.insert(call, entry);
        if let (Some(key), Some(digest)) = (key, arrival.digest) {
            self.idempotency.insert_waiting(now, key, digest, call);
        }
        match admission {
            Admission::Queue(until) => out.push(Output::Queue(call, until)),
            _ => self.run(call, out),
        }
    }

    fn run(&mut self, call: CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        entry.running = true;
        self.runs.begin(entry.kind, entry.repeat);
        let once = entry.key.is_some();
        if let Some(key) = entry.key {
            self.idempotency.mark_running(key, call);
        }
        out.push(Output::Run { call, once });
    }

    fn reject(&self, now: Time, arrival: &Arrival<'_>, outcome: Outcome, out: &mut Vec<Output>) {
        let crashes = self.crashes(now, arrival);
        out.push(Output::Reject { call: arrival.call, outcome, crashes });
    }

    /// Assigns free slots to queued requests and rejects those that have expired.
    fn run_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(popped) = self.slots.pop(now) {
            match popped {
                Popped::Run(call) => self.run_dequeued(now, call, out),
                Popped::Expired(call) => self.reject_waiting(now, call, out),
            }
        }
    }

    /// Runs a dequeued request unless its key's home has moved or the process was suspended in the
    /// meantime.
    fn run_dequeued(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.calls.get(&call).copied() else {
            return self.slots.release(call);
        };
        let rejection = entry.key.and_then(|key| {
            let ran_elsewhere = !self.idempotency.may_run_queued(key, call);
            let unknown = Outcome::Unknown { code: Code::KeyOutcomeUnknown };
            let known = ran_elsewhere.then_some(CheckResult::Reject(unknown));
            known.or_else(|| self.check_permission(key))
        });
        match rejection {
            Some(CheckResult::Reject(outcome)) => {
                self.slots.release(call);
                self.remove_unstarted(call);
                let crashes = self.crashes_of(now, &entry);
                out.push(Output::Reject { call, outcome, crashes });
            }
            _ => self.run(call, out),
        }
    }

    /// Why the target may get no more work.
    fn refusal_code(&self) -> Option<Code> {
        let leaving = self.target_leaving || self.statements().leaving;
        if leaving {
            return Some(Code::Draining);
        }
        self.placement.is_evacuated().then_some(Code::ZoneEvacuated)
    }

    fn expire(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let connecting = self.calls.get(&call).is_some_and(|entry| entry.connecting);
        if connecting {
            self.slots.release(call);
        }
        if connecting || self.slots.expire(now, call) {
            self.reject_waiting(now, call, out);
        }
    }

    fn reject_waiting(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.remove_unstarted(call) else {
            return;
        };
        let code = match entry.offer.deadline <= now {
            true => Code::DeadlinePassed,
            false if self.slots.is_stopped_by(now, &entry.offer) => Code::Draining,
            false => Code::QueueTimeout,
        };
        let wait = self.slots.retry_after(now, &entry.offer);
        let outcome = Outcome::not_run(code, self.with_jitter(wait));
        let crashes = self.crashes_of(now, &entry);
        out.push(Output::Reject { call, outcome, crashes });
    }

    fn withdraw(&mut self, call: CallKey) -> Option<Call> {
        if !self.slots.withdraw(call) {
            self.slots.release(call);
        }
        self.remove_unstarted(call)
    }

    fn remove_unstarted(&mut self, call: CallKey) -> Option<Call> {
        let entry = self.remove(call)?;
        if let Some(key) = entry.key {
            self.idempotency.remove_not_run(key, call);
        }
        Some(entry)
    }

    fn end(&mut self, now: Time, call: CallKey, end: RunEnd, out: &mut Vec<Output>) {
        let Some(entry) = self.calls.get(&call).copied().filter(|entry| entry.running) else {
            return;
        };
        if end.may_have_run() {
            entry.attempt.iter().for_each(|attempt| self.recalls.record_ended(now, *attempt));
        }
        match end {
            RunEnd::Answered { cached } => {
                self.slots.end(now, call);
                self.finish_key(&entry, cached);
                self.clear(now, entry.fingerprint, out);
                self.mark_target_up(now, out);
            }
            RunEnd::ResponseRead { unsent } => {
                self.slots.response_read(now, call, unsent);
                self.clear(now, entry.fingerprint, out);
                self.mark_target_up(now, out);
            }
            RunEnd::NotSent => {
                self.slots.release(call);
                if let Some(key) = entry.key {
                    self.idempotency.remove_not_run(key, call);
                }
                self.mark_target_down(now, out);
                let outcome = Outcome::not_run(Code::TargetUnreachable, RETRY_AFTER_LONG);
                let crashes = self.crashes_of(now, &entry);
                out.push(Output::Reject { call, outcome, crashes });
            }
            RunEnd::Rejected(code) => {
                self.record_rejection(now, call, code);
                if let Some(key) = entry.key {
                    self.idempotency.remove_not_run(key, call);
                }
                let wait = self.slots.retry_after(now, &entry.offer);
                let outcome = Outcome::not_run(code, self.with_jitter(wait));
                let crashes = self.crashes_of(now, &entry);
                out.push(Output::Reject { call, outcome, crashes });
            }
            RunEnd::Broken { target_gone } => {
                let target_gone = target_gone || self.is_silent(now);
                let suspected = self.suspect(now, &entry, target_gone, out);
                self.end_broken(now, call, &entry, suspected, out);
            }
            RunEnd::BrokenResponse => {
                self.last_response_at = now;
                self.end_broken(now, call, &entry, false, out);
            }
            RunEnd::Cancelled => {
                self.slots.end(now, call);
                self.finish_key(&entry, None);
            }
        }
        self.remove(call);
    }

    /// Ends a request without a valid response; `suspected` if it has been counted as a crash.
    fn end_broken(
        &mut self,
        now: Time,
        call: CallKey,
        entry: &Call,
        suspected: bool,
        out: &mut Vec<Output>,
    ) {
        self.slots.abandon(call);
        self.finish_key(entry, None);
        let outcome = Outcome::Unknown { code: Code::TargetFailed };
        // The note about the previous crash may not have arrived yet.
        let added = entry.crashes.saturating_add(suspected.into());
        let crashes = self.crashes_of(now, entry).max(added);
        out.push(Output::Reject { call, outcome, crashes });
    }

    fn remove(&mut self, call: CallKey) -> Option<Call> {
        let entry = self.calls.swap_remove(&call)?;
        if entry.running {
            self.runs.end(entry.kind, entry.repeat);
        }
        Some(entry)
    }

    fn finish_key(&mut self, entry: &Call, cached: Option<Arc<CachedResponse>>) {
        if let Some(key) = entry.key {
            self.idempotency.finish(key, cached);
        }
    }

    /// Adds up to 25 % of jitter, so that clients rejected together do not retry together.
    fn with_jitter(&mut self, wait: Duration) -> Duration {
        wait + wait * self.rng.random_range(0..=25) / 100
    }
}
