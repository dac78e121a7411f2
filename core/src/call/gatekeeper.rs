//! Decisions beside the target: what reaches it, when, and what is said of what does not.

mod check;
mod homes;
mod port;
mod suspects;

pub use port::{Arrival, End, Input, Output};

use super::admit::{Admission, Objective, Offer, Popped, Slots};
use super::home::Homes;
use super::link::LinkPacer;
use super::once::{KeptAnswer, Once};
use super::policy::Policy;
use super::quarantine::Suspects;
use super::runs::{RunCounts, RunKind, Runs};
use super::{CallKey, Fingerprint, Load, Members, Outcome, RequestKey, Terms};
use crate::config::snapshot::RouteEntry;
use crate::config::{Class, OnceBy, ServiceKey, ServiceLimits, Snapshot, TargetKey};
use crate::event::EventKind;
use crate::{Code, Name, Time};
use check::Checked;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A longer time without any input means that the process was not running: the adapter ticks at
/// least every [`TICK`].
pub const CLOCK_GAP: Duration = Duration::from_secs(3);

/// How often the adapter ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// When to come back after refusals that have nothing to do with load.
const COME_BACK_SOON: Duration = Duration::from_millis(200);
const COME_BACK_LATER: Duration = Duration::from_secs(1);
const COME_BACK_QUARANTINED: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Call {
    offer: Offer,
    key: Option<RequestKey>,
    fingerprint: Fingerprint,
    // Crashes that the entry node knows of.
    crashes: u32,
    running: bool,
    kind: RunKind,
    repeat: bool,
}

/// The gatekeeper of one target.
#[derive(Debug)]
pub struct Gatekeeper {
    vm: Name,
    // Where the targets are discovered apart from a version, the own one is known by this.
    gate: Option<SocketAddr>,
    service_name: Option<Name>,
    started: Time,
    rng: Pcg64Mcg,
    snapshot: Option<Arc<Snapshot>>,
    service: Option<ServiceKey>,
    members: Arc<Members>,
    slots: Slots,
    once: Once,
    homes: Option<Homes>,
    suspects: Suspects,
    calls: IndexMap<CallKey, Call>,
    runs: RunCounts,
    // The crash after which the target has not answered yet.
    crash: Option<u64>,
    target_up: bool,
    // By its entry in the configuration.
    target_leaving: bool,
    draining: bool,
    confirmed: bool,
    moving: bool,
    last_input: Option<Time>,
}

impl Gatekeeper {
    /// The gatekeeper on `vm`, whose process started at `started`, without any configuration.
    pub fn new(vm: Name, started: Time, seed: u64) -> Gatekeeper {
        Gatekeeper {
            vm,
            gate: None,
            service_name: None,
            started,
            rng: Pcg64Mcg::seed_from_u64(seed),
            snapshot: None,
            service: None,
            members: Arc::new(Members::new()),
            slots: Slots::new(ServiceLimits::default()),
            once: Once::new(),
            homes: None,
            suspects: Suspects::new(),
            calls: IndexMap::new(),
            runs: RunCounts::new(),
            crash: None,
            target_up: true,
            target_leaving: false,
            draining: false,
            confirmed: true,
            moving: false,
            last_input: None,
        }
    }

    /// The same gatekeeper beside a target that is listed under a name of its own, by the address
    /// of its gatekeeper. `service` is what the target runs, known before any configuration.
    pub fn with_discovered_target(mut self, gate: SocketAddr, service: Name) -> Gatekeeper {
        self.gate = Some(gate);
        self.service_name = Some(service);
        self
    }

    /// The same gatekeeper on a VM whose link takes this many kilobits a second.
    pub fn with_link(mut self, kbps: Option<u64>) -> Gatekeeper {
        self.slots = self.slots.with_link(LinkPacer::new(kbps));
        self
    }

    /// The same gatekeeper with other mechanisms at work.
    pub fn with_policy(mut self, policy: Policy) -> Gatekeeper {
        self.slots = self.slots.with_policy(policy);
        self
    }

    /// The one entry: takes an input in and appends what follows from it.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        self.notice_gap(now, out);
        match input {
            Input::Configure(snapshot) => self.configure(now, snapshot),
            Input::View(members) => self.members = members,
            Input::Confirm => self.confirmed = true,
            Input::Drain => self.drain(out),
            Input::Arrive(arrival) => self.arrive(now, &arrival, out),
            Input::Expire(call) => self.expire(now, call, out),
            Input::Withdraw(call) => self.withdraw(call),
            Input::End { call, end } => self.end(now, call, end, out),
            Input::Left(call) => self.slots.left(call),
            Input::Note { from, note } => self.take_note(now, from, note, out),
            Input::Tick => {}
        }
        self.keep_homes(now, out);
        self.run_waiting(now, out);
    }

    /// When the next bytes of the answer to `call` may be given to the link.
    pub fn piece(&mut self, now: Time, call: CallKey, bytes: u64) -> Time {
        self.slots.piece(now, call, bytes)
    }

    /// What the target runs and what waits for it.
    pub fn load(&self, now: Time) -> Load {
        self.slots.load(now)
    }

    /// What the target runs, for the calls that its runs make.
    pub fn runs(&self) -> Runs {
        self.runs.of_repeats()
    }

    /// After a pause of the process the list of homes may be stale. No request that may run only
    /// once is run until the version in force has been confirmed.
    fn notice_gap(&mut self, now: Time, out: &mut Vec<Output>) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.since(last) > CLOCK_GAP {
            self.confirmed = false;
            out.push(Output::Record(EventKind::ClockGap));
        }
    }

    fn drain(&mut self, out: &mut Vec<Output>) {
        self.draining = true;
        if let Some(homes) = &mut self.homes {
            out.extend(homes.leave().into_iter().map(Output::Send));
        }
    }

    fn configure(&mut self, now: Time, snapshot: Arc<Snapshot>) {
        let target = self.own_target(&snapshot);
        let of_target = target.map(|target| snapshot.target(target).service);
        let by_name = || snapshot.service_named(self.service_name.as_ref()?);
        self.service = of_target.or_else(by_name);
        if let Some(service) = self.service {
            let mut limits = snapshot.service(service).limits.clone();
            let own_slots = target.and_then(|target| snapshot.target(target).target.slots);
            limits.slots = own_slots.unwrap_or(limits.slots).max(1);
            self.slots.set_limits(limits);
            self.service_name = Some(snapshot.service(service).name.clone());
        }
        self.target_leaving = target.is_some_and(|target| snapshot.target(target).target.leaving);
        if self.has_keys(&snapshot) {
            self.take_up_homes(now, &snapshot);
        }
        self.snapshot = Some(snapshot);
    }

    /// The entry of the target on this VM. Of two under one address the later one holds: the
    /// earlier is a run that has ended and whose entry has not lapsed yet.
    fn own_target(&self, snapshot: &Snapshot) -> Option<TargetKey> {
        let Some(gate) = self.gate else {
            return snapshot.target_on(&self.vm);
        };
        let last = snapshot.targets().iter().rposition(|entry| entry.target.gate == gate)?;
        Some(TargetKey(last as u32))
    }

    /// Whether keys need homes: a route to this service knows requests by their key, or did.
    fn has_keys(&self, snapshot: &Snapshot) -> bool {
        let keyed = |entry: &RouteEntry| !entry.route.idempotent && entry.route.once == OnceBy::Key;
        let own = |entry: &RouteEntry| Some(entry.service) == self.service;
        let routes = snapshot.routes().iter();
        self.homes.is_some() || routes.into_iter().any(|entry| own(entry) && keyed(entry))
    }

    fn arrive(&mut self, now: Time, arrival: &Arrival<'_>, out: &mut Vec<Output>) {
        let refuse = match self.check(now, arrival) {
            Checked::Take(terms, key) => return self.admit(now, arrival, &terms, key, out),
            Checked::Replay(answer) => return out.push(Output::Replay(arrival.call, answer)),
            Checked::Refuse(outcome) => outcome,
        };
        self.refuse(now, arrival, refuse, out);
    }

    fn admit(
        &mut self,
        now: Time,
        arrival: &Arrival<'_>,
        terms: &Terms,
        key: Option<RequestKey>,
        out: &mut Vec<Output>,
    ) {
        let call = arrival.call;
        // Work that others wait for counts as nested, also where callers do not tell the depth.
        let depth = arrival.depth.max((terms.class == Class::Gating).into());
        let objective = Objective { by: terms.objective, patient: terms.may_exceed_objective };
        let offer = Offer {
            call,
            class: terms.class,
            rank: terms.rank,
            depth,
            deadline: arrival.deadline,
            // Work that others wait for is worth as much at any time before its deadline.
            objective: (depth == 0).then_some(objective),
        };
        let admission = self.slots.offer(now, offer);
        if let Admission::Refuse(code, wait) = admission {
            let wait = self.spread_out(wait);
            return self.refuse(now, arrival, Outcome::not_run(code, wait), out);
        }
        let known = Call {
            offer,
            key,
            fingerprint: arrival.fingerprint,
            crashes: arrival.crashes,
            running: false,
            kind: RunKind::of(terms),
            repeat: terms.repeat,
        };
        self.calls.insert(call, known);
        if let (Some(key), Some(digest)) = (key, arrival.digest) {
            self.once.wait(now, key, digest, call);
        }
        match admission {
            Admission::Queue(until) => out.push(Output::Queue(call, until)),
            _ => self.run(call, out),
        }
    }

    fn run(&mut self, call: CallKey, out: &mut Vec<Output>) {
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        known.running = true;
        self.runs.begin(known.kind, known.repeat);
        let once = known.key.is_some();
        if let Some(key) = known.key {
            self.once.run(key, call);
        }
        out.push(Output::Run { call, once });
    }

    fn refuse(&self, now: Time, arrival: &Arrival<'_>, outcome: Outcome, out: &mut Vec<Output>) {
        let crashes = self.crashes(now, arrival);
        out.push(Output::Refuse { call: arrival.call, outcome, crashes });
    }

    /// Gives free slots to waiting requests.
    fn run_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(popped) = self.slots.pop(now) {
            match popped {
                Popped::Run(call) => self.run_popped(now, call, out),
                Popped::Expired(call) => self.refuse_waiting(now, call, out),
            }
        }
    }

    /// Checks again what may have changed while the request waited: the home of its key may have
    /// moved, and the process may have been paused.
    fn run_popped(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let Some(known) = self.calls.get(&call).copied() else {
            return self.slots.give_back(call);
        };
        let refuse = known.key.and_then(|key| self.check_right(key));
        match refuse {
            Some(Checked::Refuse(outcome)) => {
                self.slots.give_back(call);
                self.forget_waiting(call);
                let crashes = self.crashes_of(now, &known);
                out.push(Output::Refuse { call, outcome, crashes });
            }
            _ => self.run(call, out),
        }
    }

    fn expire(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        if self.slots.withdraw(call) {
            self.refuse_waiting(now, call, out);
        }
    }

    fn refuse_waiting(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let Some(known) = self.forget_waiting(call) else {
            return;
        };
        let late = known.offer.deadline <= now;
        let code = if late { Code::DeadlinePassed } else { Code::QueueTimeout };
        let wait = self.slots.retry_after(now, &known.offer);
        let outcome = Outcome::not_run(code, self.spread_out(wait));
        let crashes = self.crashes_of(now, &known);
        out.push(Output::Refuse { call, outcome, crashes });
    }

    fn withdraw(&mut self, call: CallKey) {
        if !self.slots.withdraw(call) {
            self.slots.give_back(call);
        }
        self.forget_waiting(call);
    }

    fn forget_waiting(&mut self, call: CallKey) -> Option<Call> {
        let known = self.forget(call)?;
        if let Some(key) = known.key {
            self.once.not_run(key, call);
        }
        Some(known)
    }

    fn end(&mut self, now: Time, call: CallKey, end: End, out: &mut Vec<Output>) {
        let Some(known) = self.calls.get(&call).copied().filter(|known| known.running) else {
            return;
        };
        match end {
            End::Answered { kept } => {
                self.slots.end(now, call);
                self.finish_key(&known, kept);
                self.clear(known.fingerprint, out);
                self.target_answers(now, out);
            }
            End::Read { left } => {
                self.slots.read(now, call, left);
                self.clear(known.fingerprint, out);
                self.target_answers(now, out);
            }
            End::NotSent => {
                self.slots.give_back(call);
                if let Some(key) = known.key {
                    self.once.not_run(key, call);
                }
                self.target_lost(out);
                let outcome = Outcome::not_run(Code::TargetUnreachable, COME_BACK_LATER);
                let crashes = self.crashes_of(now, &known);
                out.push(Output::Refuse { call, outcome, crashes });
            }
            End::Rejected(code) => {
                self.slots.give_back(call);
                if let Some(key) = known.key {
                    self.once.not_run(key, call);
                }
                let wait = self.slots.retry_after(now, &known.offer);
                let outcome = Outcome::not_run(code, self.spread_out(wait));
                let crashes = self.crashes_of(now, &known);
                out.push(Output::Refuse { call, outcome, crashes });
            }
            End::Broken { target_gone } => {
                self.slots.give_back(call);
                self.finish_key(&known, None);
                self.suspect(now, &known, target_gone, out);
                let outcome = Outcome::Unknown { code: Code::TargetFailed };
                // The note of the previous crash may still be on its way.
                let crashes = self.crashes_of(now, &known).max(known.crashes.saturating_add(1));
                out.push(Output::Refuse { call, outcome, crashes });
            }
            End::Cancelled => {
                self.slots.end(now, call);
                self.finish_key(&known, None);
            }
        }
        self.forget(call);
    }

    fn forget(&mut self, call: CallKey) -> Option<Call> {
        let known = self.calls.swap_remove(&call)?;
        if known.running {
            self.runs.end(known.kind, known.repeat);
        }
        Some(known)
    }

    fn finish_key(&mut self, known: &Call, kept: Option<Arc<KeptAnswer>>) {
        if let Some(key) = known.key {
            self.once.end(key, kept);
        }
    }

    /// Up to a quarter longer, so that those who were refused together don't return together.
    fn spread_out(&mut self, wait: Duration) -> Duration {
        wait + wait * self.rng.random_range(0..=25) / 100
    }
}
