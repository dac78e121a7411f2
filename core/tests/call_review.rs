//! Requests that wait for a connection to the target, and stops whose times change.

#[path = "support/snapshot.rs"]
mod snapshots;

use snapshots::{name, version};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::call::entry::{self, AttemptEnd};
use sycamore_core::call::gatekeeper::{Arrival, Input, Output, RunEnd};
use sycamore_core::call::{CallKey, Entry, Fingerprint, Gatekeeper, Outcome, Statement, StopPlan};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const RUN_TIME: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(8);
const CONNECT_TIME: Duration = Duration::from_secs(2);
const LIMITS: &str = r#"{"slots":2,"queue_wait_ms":30000}"#;
const ROUTES: &str = r#"{"idem":{"path_prefix":"/idem","service":"s","idempotent":true,
    "objective_ms":8000,"deadline_ms":8000}}"#;

fn snapshot(number: u64, leaving: bool) -> Arc<Snapshot> {
    let target = format!(
        r#"[{{"vm":"a","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9",
        "leaving":{leaving}}}]"#
    );
    let services = format!(r#"{{"s":{{"limits":{LIMITS},"targets":{target}}}}}"#);
    version(number, &services, ROUTES)
}

struct Gate {
    gatekeeper: Gatekeeper,
    now: Time,
}

impl Gate {
    /// A gatekeeper of a target with two slots, whose runs take [`RUN_TIME`].
    fn new() -> Gate {
        let mut gate = Gate { gatekeeper: Gatekeeper::new(name("a"), START, 1), now: START };
        gate.input(Input::Configure(snapshot(1, false)));
        for call in 1..20 {
            gate.arrive(call);
            gate.run(call);
        }
        gate
    }

    fn input(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.gatekeeper.handle(self.now, input, &mut out);
        out.retain(|output| {
            !matches!(output, Output::Record(_) | Output::RecordCold(_) | Output::Send(_))
        });
        out
    }

    fn arrive(&mut self, call: u64) {
        let out = self.offer(call);
        assert!(matches!(out[..], [Output::Run { .. }]), "{out:?}");
    }

    fn offer(&mut self, call: u64) -> Vec<Output> {
        self.input(Input::Arrive(Arrival {
            call: CallKey(call),
            host: "",
            path: "/idem",
            terms: None,
            key: None,
            digest: None,
            fingerprint: Fingerprint(call),
            crashes: 0,
            depth: 0,
            deadline: self.now + DEADLINE,
            run_by: None,
            known_limit: None,
        }))
    }

    fn run(&mut self, call: u64) {
        self.now = self.now + RUN_TIME;
        let end = RunEnd::Answered { cached: None };
        self.input(Input::End { call: CallKey(call), end });
    }
}

/// Guards against a request that reaches a target long after it has stated that it is leaving,
/// because its wait for a connection began after the statement.
#[test]
fn connecting_after_stated_leaving() {
    let mut gate = Gate::new();
    gate.arrive(100);
    gate.arrive(101);
    let statement = Statement { leaving: true, ..Statement::default() };
    gate.input(Input::Stated { call: CallKey(100), ran: true, statement });
    let mut out = gate.input(Input::Connecting(CallKey(101)));
    gate.now = gate.now + CONNECT_TIME;
    out.extend(gate.input(Input::Connected(CallKey(101))));
    assert!(!out.iter().any(|output| matches!(output, Output::Run { .. })), "{out:?}");
}

/// Guards against a request that reaches a target long after it has been listed as leaving, because
/// its wait for a connection began after that.
#[test]
fn connecting_after_listed_leaving() {
    let mut gate = Gate::new();
    gate.arrive(100);
    gate.input(Input::Configure(snapshot(2, true)));
    let mut out = gate.input(Input::Connecting(CallKey(100)));
    gate.now = gate.now + CONNECT_TIME;
    out.extend(gate.input(Input::Connected(CallKey(100))));
    assert!(!out.iter().any(|output| matches!(output, Output::Run { .. })), "{out:?}");
}

/// Guards against requests that are rejected as not in time because waits for a connection were
/// recorded as run times of the target.
#[test]
fn connecting_is_no_run_time() {
    let mut gate = Gate::new();
    let usual = gate.gatekeeper.load(gate.now).run_ms;
    for call in 100..104 {
        gate.arrive(call);
        gate.input(Input::Connecting(CallKey(call)));
        gate.now = gate.now + CONNECT_TIME;
        gate.input(Input::Connected(CallKey(call)));
        gate.run(call);
    }
    assert_eq!(gate.gatekeeper.load(gate.now).run_ms, usual);
}

/// A plan of a stop that takes this long.
fn plan(started: Time, drain_limit: Duration) -> StopPlan {
    StopPlan::new(started, drain_limit, None)
}

const SHORT: Duration = Duration::from_secs(2);
const LONG: Duration = Duration::from_secs(5);

/// Guards against a caller that is told that its deadline has passed, and a target that is blamed,
/// when a version that came during the stop allows more time than an earlier one.
#[test]
fn stop_extended_entry() {
    let (mut entry, now) = entry_with_history();
    let (call, mut out) = (CallKey(100), Vec::new());
    entry.handle(now, entry::Input::Stop(plan(now, SHORT)), &mut out);
    entry.handle(now, entry::Input::Arrive(entry::Arrival::new(call, "", "/idem")), &mut out);
    let Some(entry::Output::Forward(forward)) = out.pop() else { panic!("{out:?}") };
    entry.handle(now, entry::Input::Stop(plan(now, LONG)), &mut out);
    // The adapter stops waiting at the deadline of the attempt.
    let expire = entry::Input::Expire { call, sent: true };
    entry.handle(forward.deadline, expire, &mut out);
    let Some(entry::Output::Finish { outcome, .. }) = out.pop() else { panic!("{out:?}") };
    let is_late = forward.deadline >= now + DEADLINE;
    assert!(is_late || outcome != Outcome::Unknown { code: Code::DeadlinePassed }, "{outcome:?}");
}

/// Guards against a queued request that is told that its deadline has passed when a version that
/// came during the stop allows more time than an earlier one.
#[test]
fn stop_extended_gatekeeper() {
    let mut gate = Gate::new();
    gate.input(Input::Stop(plan(gate.now, SHORT)));
    gate.arrive(100);
    let out = gate.input(Input::Connecting(CallKey(100)));
    let [Output::Queue(_, until)] = out[..] else { panic!("{out:?}") };
    gate.input(Input::Stop(plan(gate.now, LONG)));
    gate.now = until;
    let out = gate.input(Input::Expire(CallKey(100)));
    let code = out.iter().find_map(|output| match output {
        Output::Reject { outcome: Outcome::NotRun { code, .. }, .. } => Some(*code),
        _ => None,
    });
    assert_ne!(code, Some(Code::DeadlinePassed));
}

/// Guards against a request that a stopping gatekeeper starts although its target can't finish it
/// before the node exits, and which another target could have taken.
#[test]
fn stop_starts_only_what_fits() {
    let mut gate = Gate::new();
    gate.arrive(100);
    gate.arrive(101);
    let queued = gate.offer(102);
    assert!(matches!(queued[..], [Output::Queue(..)]), "{queued:?}");
    let stop = plan(gate.now, LONG);
    gate.input(Input::Stop(stop));
    gate.now = stop.run_by - RUN_TIME / 10;
    let end = RunEnd::Answered { cached: None };
    let out = gate.input(Input::End { call: CallKey(100), end });
    assert!(!out.iter().any(|output| matches!(output, Output::Run { .. })), "{out:?}");
}

/// An entry node that has had a response after [`RUN_TIME`] from both targets.
fn entry_with_history() -> (Entry, Time) {
    let mut entry = Entry::new(Place { region: name("r"), zone: name("z") }, 7);
    let (mut now, mut out) = (START, Vec::new());
    let snapshot = snapshots::snapshot(1, &["a", "b"], LIMITS, ROUTES);
    entry.handle(now, entry::Input::Configure(snapshot), &mut out);
    for call in 1..=20 {
        let call = CallKey(call);
        let arrival = entry::Arrival::new(call, "", "/idem");
        entry.handle(now, entry::Input::Arrive(arrival), &mut out);
        now = now + RUN_TIME;
        let end = AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO };
        entry.handle(now, entry::Input::Attempt { call, end, replayable: true }, &mut out);
        entry.handle(now, entry::Input::Close(call), &mut out);
    }
    (entry, now)
}

/// Guards against a call that is sent to another target when the time left is too short for it, so
/// that it ends as unknown instead of as not run.
#[test]
fn stop_retries_only_what_fits() {
    let (mut entry, now) = entry_with_history();
    let (call, mut out) = (CallKey(100), Vec::new());
    let arrival = entry::Arrival::new(call, "", "/idem");
    entry.handle(now, entry::Input::Arrive(arrival), &mut out);
    let stop = plan(now, LONG);
    entry.handle(now, entry::Input::Stop(stop), &mut out);
    out.clear();
    let (code, retry_after) = (Code::NoTarget, Duration::ZERO);
    let end = AttemptEnd::Rejected { code, retry_after, load: None, crashes: 0 };
    let late = stop.run_by - RUN_TIME / 10;
    entry.handle(late, entry::Input::Attempt { call, end, replayable: true }, &mut out);
    assert!(matches!(out[..], [entry::Output::Finish { .. }]), "{out:?}");
}

/// Guards against a call that is accepted just before the stop ends, because no response of its
/// service has been measured yet.
#[test]
fn stop_refuses_without_measurement() {
    let mut entry = Entry::new(Place { region: name("r"), zone: name("z") }, 7);
    let mut out = Vec::new();
    entry.handle(START, entry::Input::Configure(snapshot(1, false)), &mut out);
    let stop = plan(START, LONG);
    entry.handle(START, entry::Input::Stop(stop), &mut out);
    let arrival = entry::Arrival::new(CallKey(1), "", "/idem");
    let late = stop.run_by - Duration::from_millis(5);
    entry.handle(late, entry::Input::Arrive(arrival), &mut out);
    assert!(matches!(out[..], [entry::Output::Finish { .. }]), "{out:?}");
}

/// Guards against requests that wait for a slot until the node stops, although it is known when the
/// stop begins that they can't run, so that other targets get them too late.
#[test]
fn stop_rejects_hopeless_at_once() {
    let mut gate = Gate::new();
    let queued = (100..148).filter(|call| matches!(gate.offer(*call)[..], [Output::Queue(..)]));
    let queued = queued.count() as u32;
    let stop = plan(gate.now, RUN_TIME * queued / 4);
    let out = gate.input(Input::Stop(stop));
    let rejected = out.iter().filter(|output| matches!(output, Output::Reject { .. })).count();
    assert!(rejected > 0, "{queued} queued, {out:?}");
}

/// Guards against a request that a stopping gatekeeper starts at once, since a slot is free, although
/// its target can't finish it before the node exits.
#[test]
fn stop_refuses_arrival_that_does_not_fit() {
    let mut gate = Gate::new();
    let stop = plan(gate.now, LONG);
    gate.input(Input::Stop(stop));
    gate.now = stop.run_by - RUN_TIME / 10;
    let out = gate.offer(100);
    assert!(matches!(out[..], [Output::Reject { .. }]), "{out:?}");
}
