//! Decisions at the node that a caller connects to: where a request goes, whether it is sent
//! again, and what its caller is told in the end.

mod hedge;
mod port;
mod retry;
mod retry_budget;

pub use port::{Arrival, AttemptEnd, Forward, Input, Output, Reason};

use super::balance::{Balancer, PickRequest};
use super::patience::CallerWaits;
use super::policy::{Mechanism, Policy};
use super::split::TrafficSplits;
use super::{CallKey, Load, MAX_DEPTH, Members, Outcome, RequestKey, Terms};
use crate::config::snapshot::RouteEntry;
use crate::config::{OnceBy, RouteKey, ServiceKey, Snapshot};
use crate::place::Place;
use crate::{Code, Name, Time};
use hedge::HedgeBudget;
use indexmap::IndexMap;
use retry::{is_early_refusal, reached_target};
use retry_budget::RetryBudgets;
use std::sync::Arc;
use std::time::Duration;

/// When to come back after refusals that have nothing to do with load.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(200);
const LONG_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Call {
    route: RouteKey,
    snapshot: Arc<Snapshot>,
    service: Name,
    terms: Terms,
    key: Option<RequestKey>,
    deadline: Time,
    attempt: u32,
    // Forwards that gatekeepers refused without any work for a target.
    early_refusals: u32,
    primary: Option<ActiveAttempt>,
    // Beside it, if it is slow.
    hedge: Option<ActiveAttempt>,
    tried: Vec<Name>,
    crashes: u32,
    // Why it may have run, if an attempt may have reached a target.
    possibly_run: Option<Code>,
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
struct ActiveAttempt {
    vm: Name,
    sent_at: Time,
}

/// What the end of an attempt means for its call.
enum EndEffect {
    /// The answer begins.
    ResponseStarted,
    /// The answer begins, and is a failure of the target's own.
    ErrorResponse,
    /// There is no answer.
    NoResponse(Code, Duration),
}

/// One shard of an entry node. A call belongs to one shard.
#[derive(Debug)]
pub struct Entry {
    snapshot: Option<Arc<Snapshot>>,
    members: Arc<Members>,
    balancer: Balancer,
    retries: RetryBudgets,
    hedges: HedgeBudget,
    splits: TrafficSplits,
    caller_waits: CallerWaits,
    policy: Policy,
    calls: IndexMap<CallKey, Call>,
    draining: bool,
}

impl Entry {
    /// An entry node at `place` without any configuration.
    pub fn new(place: Place, seed: u64) -> Entry {
        Entry {
            snapshot: None,
            members: Arc::new(Members::new()),
            balancer: Balancer::new(place, seed),
            retries: RetryBudgets::new(seed),
            hedges: HedgeBudget::new(),
            splits: TrafficSplits::new(seed),
            caller_waits: CallerWaits::new(),
            policy: Policy::new(),
            calls: IndexMap::new(),
            draining: false,
        }
    }

    /// The same entry node with other mechanisms at work.
    pub fn with_policy(mut self, policy: Policy) -> Entry {
        self.balancer = self.balancer.with_policy(policy.clone());
        self.policy = policy;
        self
    }

    /// The one entry: takes an input in and appends what follows from it.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Configure(snapshot) => self.configure(snapshot),
            Input::View(members) => {
                self.balancer.update_members(&members);
                self.members = members;
            }
            Input::Drain => self.draining = true,
            Input::Arrive(arrival) => self.arrive(now, &arrival, out),
            Input::Attempt { call, end, replayable } => {
                self.attempt_ended(now, call, end, replayable, out)
            }
            Input::HedgeDue(call) => self.hedge(now, call, out),
            Input::PrimaryEnded { call, end } => self.primary_ended(now, call, end),
            Input::HedgeEnded { call, end } => self.hedge_ended(now, call, end),
            Input::Close(call) => self.close(call),
            Input::Expire { call, sent } => self.expire(now, call, sent, out),
        }
    }

    /// Calls that are open.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    fn configure(&mut self, snapshot: Arc<Snapshot>) {
        self.balancer.configure(&snapshot, &self.members);
        self.retries.configure(&snapshot);
        self.splits.retain(snapshot.routes());
        self.snapshot = Some(snapshot);
    }

    fn arrive(&mut self, now: Time, arrival: &Arrival<'_>, out: &mut Vec<Output>) {
        let outcome = match self.check(arrival) {
            Ok((snapshot, route)) => return self.accept(now, arrival, snapshot, route, out),
            Err(outcome) => outcome,
        };
        out.push(Output::Finish { call: arrival.call, outcome });
    }

    fn check(&self, arrival: &Arrival<'_>) -> Result<(Arc<Snapshot>, RouteKey), Outcome> {
        let refuse = |code| Err(Outcome::not_run(code, LONG_RETRY_AFTER));
        if self.draining {
            return Err(Outcome::not_run(Code::Draining, SHORT_RETRY_AFTER));
        }
        let Some(snapshot) = &self.snapshot else {
            // Only this node lacks it, and not for long; another takes the call at once.
            return Err(Outcome::not_run(Code::NotConfigured, SHORT_RETRY_AFTER));
        };
        if arrival.depth >= MAX_DEPTH {
            return refuse(Code::TooDeep);
        }
        let Some(key) = snapshot.route_for(arrival.host, arrival.path) else {
            return refuse(Code::NoRoute);
        };
        let route = &snapshot.route(key).route;
        let keyed = !route.idempotent && route.once == OnceBy::Key;
        if keyed && arrival.key.is_none() {
            return refuse(Code::KeyMissing);
        }
        if arrival.body_bytes.is_some_and(|bytes| bytes > route.max_body_bytes) {
            return refuse(Code::RequestTooLarge);
        }
        if arrival.time_left == Some(Duration::ZERO) {
            return refuse(Code::DeadlinePassed);
        }
        Ok((snapshot.clone(), key))
    }

    fn accept(
        &mut self,
        now: Time,
        arrival: &Arrival<'_>,
        snapshot: Arc<Snapshot>,
        key: RouteKey,
        out: &mut Vec<Output>,
    ) {
        let entry = snapshot.route(key);
        let route = &entry.route;
        let route_deadline = Duration::from_millis(route.deadline_ms.into());
        let deadline =
            now + arrival.time_left.map_or(route_deadline, |left| left.min(route_deadline));
        let service = self.splits.choose(entry);
        let terms = Terms {
            service: snapshot.service(service).name.clone(),
            idempotent: route.idempotent,
            once: route.once,
            class: route.class,
            rank: route.rank,
            objective: self.objective(now, arrival, entry),
            may_exceed_objective: route.spare_forwards == 0,
            repeat: self.retries.is_nested_repeat(arrival, route.class),
        };
        let request_key = arrival.key.filter(|_| terms.is_keyed());
        self.retries.record(now, &snapshot, (key, service), terms.repeat);
        self.hedges.record_first_attempt(terms.class);
        let name = terms.service.clone();
        let mut call = Call {
            route: key,
            snapshot,
            service: name,
            terms,
            key: request_key,
            deadline,
            attempt: 0,
            early_refusals: 0,
            primary: None,
            hedge: None,
            tried: Vec::new(),
            crashes: 0,
            possibly_run: None,
        };
        let Some(vm) = self.choose(now, &mut call, service) else {
            let outcome = Outcome::not_run(Code::NoTarget, LONG_RETRY_AFTER);
            return out.push(Output::Finish { call: arrival.call, outcome });
        };
        self.calls.insert(arrival.call, call);
        self.forward(now, arrival.call, vm, out);
    }

    /// When the time ends within which an answer is worth most, from the caller's first attempt.
    fn objective(&mut self, now: Time, arrival: &Arrival<'_>, entry: &RouteEntry) -> Time {
        let waited = match arrival.time_left {
            Some(left) if self.policy.is_enabled(Mechanism::Patience) => {
                self.caller_waits.estimate(now, &entry.name, left)
            }
            _ => Duration::ZERO,
        };
        let objective = Duration::from_millis(entry.route.objective_ms.into());
        now + objective.saturating_sub(waited)
    }

    /// The target for the first attempt.
    ///
    /// If every target near enough has just said that it is full, or fails, the request waits at
    /// one of the nearest. Asking several in turn costs two nodes a message each time, when a
    /// service is short of room and small nodes are short of processor time.
    fn choose(&mut self, now: Time, call: &mut Call, service: ServiceKey) -> Option<Name> {
        if let Some(key) = call.key {
            return self.home_for(now, &call.snapshot, service, key, &[]);
        }
        let request = PickRequest::new(now, service, &call.terms);
        self.balancer.pick_available(request).or_else(|| {
            call.terms.may_exceed_objective = self.policy.is_enabled(Mechanism::FullOnce);
            self.balancer.pick_nearest(request)
        })
    }

    fn forward(&mut self, now: Time, key: CallKey, vm: Name, out: &mut Vec<Output>) {
        match self.start(now, key, &vm, false) {
            Some(forward) => out.push(Output::Forward(forward)),
            // The target left with the version that came into force meanwhile.
            None => self.finish(key, Code::NoTarget, SHORT_RETRY_AFTER, out),
        }
    }

    /// Starts an attempt. `None` if the target is not known any more.
    fn start(&mut self, now: Time, key: CallKey, vm: &Name, hedge: bool) -> Option<Forward> {
        let call = self.calls.get_mut(&key)?;
        let (gate, incarnation) = self.balancer.gate(vm)?;
        let reason = self.balancer.reason(now, vm, call.terms.class);
        let objective = call.terms.objective.since(now);
        let hedge_delay = self.balancer.hedge_delay(vm, call.terms.class, objective);
        let may_hedge =
            call.terms.idempotent && !hedge && self.policy.is_enabled(Mechanism::Hedges);
        self.balancer.request_started(vm);
        call.attempt += 1;
        call.tried.push(vm.clone());
        let attempt = Some(ActiveAttempt { vm: vm.clone(), sent_at: now });
        match hedge {
            true => call.hedge = attempt,
            false => call.primary = attempt,
        }
        let route = &call.snapshot.route(call.route).route;
        let mut terms = call.terms.clone();
        terms.repeat |= hedge;
        Some(Forward {
            call: key,
            attempt: call.attempt,
            vm: vm.clone(),
            gate,
            incarnation,
            terms,
            reason,
            deadline: call.deadline,
            hedge_delay_ms: hedge_delay
                .filter(|_| may_hedge)
                .map(|hedge_delay| hedge_delay.as_millis() as u32),
            crashes: call.crashes,
            max_body_bytes: route.max_body_bytes,
        })
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        key: CallKey,
        end: AttemptEnd,
        replayable: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(primary) = self.calls.get(&key).and_then(|call| call.primary.clone()) else {
            return;
        };
        match self.record_end(now, key, &primary, end) {
            EndEffect::ResponseStarted => {}
            EndEffect::ErrorResponse => {
                // The caller gets this answer unless another target may give a better one.
                let again = self.calls.get(&key).is_some_and(|call| call.terms.idempotent);
                let next =
                    again.then(|| self.next_attempt(now, key, Code::TargetFailed, replayable));
                if let Some(next) = next.flatten() {
                    self.balancer.request_finished(&primary.vm);
                    // It has run, so that no later refusal may say that it has not.
                    if let Some(call) = self.calls.get_mut(&key) {
                        call.terms.repeat = true;
                        call.possibly_run.get_or_insert(Code::TargetFailed);
                    }
                    self.forward(now, key, next, out);
                }
            }
            EndEffect::NoResponse(code, retry_after) => {
                self.balancer.request_finished(&primary.vm);
                match self.next_attempt(now, key, code, replayable) {
                    Some(vm) => self.forward(now, key, vm, out),
                    None => self.finish(key, code, retry_after, out),
                }
            }
        }
    }

    /// Takes in what the end of an attempt says of its target and its call.
    fn record_end(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
    ) -> EndEffect {
        let vm = &attempt.vm;
        let Some(call) = self.calls.get_mut(&key) else {
            return EndEffect::NoResponse(Code::AnswerLost, SHORT_RETRY_AFTER);
        };
        let report = |balancer: &mut Balancer, load: Option<Load>| {
            if let Some(load) = load {
                balancer.record_load(now, vm, load);
            }
        };
        match end {
            AttemptEnd::ResponseStarted { load, waited } => {
                let took = now.since(attempt.sent_at).saturating_sub(waited);
                self.balancer.record_response(now, vm, call.terms.class, took);
                report(&mut self.balancer, load);
                EndEffect::ResponseStarted
            }
            AttemptEnd::ErrorResponseStarted { load } => {
                self.balancer.record_request_failure(now, vm);
                report(&mut self.balancer, load);
                EndEffect::ErrorResponse
            }
            AttemptEnd::Refused { code, retry_after, load, crashes } => {
                call.crashes = call.crashes.max(crashes);
                report(&mut self.balancer, load);
                match code {
                    Code::Draining => self.balancer.record_draining(now, vm),
                    Code::QueueFull | Code::QueueTimeout => {
                        self.balancer.record_overload(now, vm, &call.terms, retry_after);
                    }
                    Code::TargetUnreachable | Code::TargetReplaced => {
                        self.balancer.record_failure(now, vm);
                    }
                    Code::TargetRefused => self.balancer.record_rejection(now, vm),
                    _ => {}
                }
                if is_early_refusal(code) {
                    call.early_refusals += 1;
                }
                call.terms.repeat |= reached_target(code);
                EndEffect::NoResponse(code, retry_after)
            }
            AttemptEnd::Failed { code, crashes } => {
                call.crashes = call.crashes.max(crashes);
                call.terms.repeat = true;
                call.possibly_run.get_or_insert(code);
                match code {
                    Code::TargetFailed => self.balancer.record_failure(now, vm),
                    Code::DeadlinePassed => self.balancer.record_request_failure(now, vm),
                    _ => {}
                }
                EndEffect::NoResponse(code, SHORT_RETRY_AFTER)
            }
            AttemptEnd::NotSent => {
                self.balancer.record_unreachable(now, vm);
                EndEffect::NoResponse(Code::GatekeeperUnreachable, LONG_RETRY_AFTER)
            }
            AttemptEnd::ConnectionLost => {
                call.terms.repeat = true;
                call.possibly_run.get_or_insert(Code::AnswerLost);
                self.balancer.record_failure(now, vm);
                EndEffect::NoResponse(Code::AnswerLost, SHORT_RETRY_AFTER)
            }
            AttemptEnd::LostToHedge => {
                let took = now.since(attempt.sent_at);
                self.balancer.record_lost_to_hedge(now, vm, call.terms.class, took);
                EndEffect::ResponseStarted
            }
        }
    }

    fn finish(&mut self, key: CallKey, code: Code, retry_after: Duration, out: &mut Vec<Output>) {
        if let Some(call) = self.calls.swap_remove(&key) {
            let outcome = call.final_outcome(code, retry_after);
            out.push(Output::Finish { call: key, outcome });
        }
    }

    fn close(&mut self, key: CallKey) {
        if let Some(call) = self.calls.swap_remove(&key) {
            for attempt in call.primary.iter().chain(&call.hedge) {
                self.balancer.request_finished(&attempt.vm);
            }
        }
    }

    fn expire(&mut self, now: Time, key: CallKey, sent: bool, out: &mut Vec<Output>) {
        let Some(mut call) = self.calls.swap_remove(&key) else {
            return;
        };
        for attempt in call.primary.iter().chain(&call.hedge) {
            self.balancer.request_finished(&attempt.vm);
            // Silence is the only sign of a target that takes requests and never answers.
            if sent {
                self.balancer.record_request_failure(now, &attempt.vm);
            }
        }
        if sent {
            call.possibly_run.get_or_insert(Code::DeadlinePassed);
        }
        let outcome = call.final_outcome(Code::DeadlinePassed, SHORT_RETRY_AFTER);
        out.push(Output::Finish { call: key, outcome });
    }
}

impl Call {
    /// Once an attempt may have reached a target, a later refusal by another is no proof that the
    /// request did not run.
    fn final_outcome(&self, code: Code, retry_after: Duration) -> Outcome {
        match self.possibly_run {
            Some(code) => Outcome::Unknown { code },
            None => Outcome::not_run(code, retry_after),
        }
    }
}
