//! The entry node: target selection, retries and reported outcomes.

#[path = "support/snapshot.rs"]
mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Forward, Input, Output};
use sycamore_core::call::{CallKey, Entry, Load, Members, Outcome, Pace, RequestKey};
use sycamore_core::config::Snapshot;
use sycamore_core::member::VmState;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Builds a snapshot from targets in the form `vm/region/zone`.
fn snapshot(version: u64, targets: &[&str]) -> Arc<Snapshot> {
    let routes = r#"{"once":{"path_prefix":"/once","service":"s","idempotent":false},
        "idem":{"path_prefix":"/idem","service":"s","idempotent":true,"max_attempts":4,
        "deadline_ms":2000}}"#;
    support::snapshot(version, targets, r#"{"retry_budget_percent":10}"#, routes)
}

const SIX: [&str; 6] = ["a/r/z", "b/r/z", "c/r/z", "d/r/z", "e/r/z", "f/r/z"];

struct Driver {
    entry: Entry,
    now: Time,
    next: u64,
}

impl Driver {
    fn new(targets: &[&str]) -> Driver {
        let place = Place { region: name("r"), zone: name("z") };
        let mut driver = Driver { entry: Entry::new(place, 7), now: START, next: 0 };
        driver.input(Input::Configure(snapshot(1, targets)));
        driver
    }

    fn input(&mut self, input: Input<'_>) -> Option<Output> {
        let mut out = Vec::new();
        self.entry.handle(self.now, input, &mut out);
        assert!(out.len() <= 1, "{out:?}");
        out.pop()
    }

    fn arrive_at(&mut self, path: &str, key: Option<RequestKey>) -> Option<Output> {
        self.next += 1;
        let call = CallKey(self.next);
        let arrival = Arrival { key, ..Arrival::new(call, "", path) };
        self.input(Input::Arrive(arrival))
    }

    fn arrive(&mut self) -> Forward {
        forward(self.arrive_at("/idem", None))
    }

    fn end(&mut self, call: CallKey, end: AttemptEnd) -> Option<Output> {
        self.input(Input::Attempt { call, end, replayable: true })
    }

    fn respond(&mut self, forward: &Forward, took: Duration) {
        self.now = self.now + took;
        self.end(forward.call, AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO });
        self.input(Input::Close(forward.call));
    }
}

fn forward(output: Option<Output>) -> Forward {
    match output {
        Some(Output::Forward(forward)) => forward,
        other => panic!("{other:?}"),
    }
}

fn finished(output: Option<Output>) -> Outcome {
    match output {
        Some(Output::Finish { outcome, .. }) => outcome,
        other => panic!("{other:?}"),
    }
}

fn rejected(code: Code) -> AttemptEnd {
    AttemptEnd::Rejected { code, retry_after: RETRY_AFTER, load: None, crashes: 0 }
}

fn key(low: u64) -> RequestKey {
    RequestKey { high: START.as_millis() << 16 | 7 << 12, low: low | 2 << 62 }
}

#[test]
fn retry_elsewhere() {
    let mut driver = Driver::new(&SIX);
    let first = driver.arrive();
    let second = forward(driver.end(first.call, AttemptEnd::ConnectionLost));
    assert_ne!(first.vm, second.vm);
    assert_eq!(second.attempt, 2);
}

#[test]
fn retry_not_after_response_began() {
    let mut driver = Driver::new(&SIX);
    let first = driver.arrive();
    assert_eq!(
        driver.end(first.call, AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO }),
        None
    );
    assert_eq!(driver.input(Input::Close(first.call)), None);
    assert_eq!(driver.entry.open(), 0);
}

#[test]
fn retry_not_when_body_used_up() {
    let mut driver = Driver::new(&SIX);
    let first = driver.arrive();
    let end = rejected(Code::QueueFull);
    let output = driver.input(Input::Attempt { call: first.call, end, replayable: false });
    assert_eq!(
        finished(output),
        Outcome::NotRun { code: Code::QueueFull, retry_after: RETRY_AFTER }
    );
}

#[test]
fn outcome_unknown_stays() {
    // Guards against reporting "not run" when the second target rejects but the first, which
    // crashed, may have run the request.
    let mut driver = Driver::new(&SIX);
    let first = driver.arrive();
    let broken = AttemptEnd::Failed { code: Code::TargetFailed, crashes: 1 };
    let second = forward(driver.end(first.call, broken));
    assert_eq!(second.crashes, 1);
    let outcome = finished(driver.end(second.call, rejected(Code::DeadlinePassed)));
    assert_eq!(outcome, Outcome::Unknown { code: Code::TargetFailed });
}

#[test]
fn outcome_expired() {
    let mut driver = Driver::new(&SIX);
    let call = driver.arrive().call;
    let output = driver.input(Input::Expire { call, sent: false });
    assert!(matches!(finished(output), Outcome::NotRun { code: Code::DeadlinePassed, .. }));
    let call = driver.arrive().call;
    let output = driver.input(Input::Expire { call, sent: true });
    assert_eq!(finished(output), Outcome::Unknown { code: Code::DeadlinePassed });
}

#[test]
fn once_sent_to_one_home() {
    // Guards against running a signing twice because it is retried on another target after its
    // response was lost.
    let mut driver = Driver::new(&SIX);
    for low in 0..20 {
        let first = forward(driver.arrive_at("/once", Some(key(low))));
        let again = forward(driver.arrive_at("/once", Some(key(low))));
        assert_eq!(first.vm, again.vm);
        let outcome = finished(driver.end(first.call, AttemptEnd::ConnectionLost));
        assert_eq!(outcome, Outcome::Unknown { code: Code::AnswerLost });
    }
}

#[test]
fn once_next_home() {
    // Guards against losing or duplicating a signing while the home of its key is draining: it
    // moves to the next home only after a rejection that guarantees that it did not run.
    let mut driver = Driver::new(&SIX);
    let home = forward(driver.arrive_at("/once", Some(key(1))));
    let next = forward(driver.end(home.call, rejected(Code::Draining)));
    assert_ne!(next.vm, home.vm);
    let direct = forward(driver.arrive_at("/once", Some(key(1))));
    assert_eq!(direct.vm, next.vm);
    let back = forward(driver.end(direct.call, rejected(Code::NotHome)));
    assert!(back.vm != next.vm);
    let outcome = finished(driver.end(back.call, AttemptEnd::ConnectionLost));
    assert_eq!(outcome, Outcome::Unknown { code: Code::AnswerLost });
}

#[test]
fn once_follows_moved_home() {
    let mut driver = Driver::new(&SIX);
    let calls: Vec<Forward> =
        (0..50).map(|low| forward(driver.arrive_at("/once", Some(key(low))))).collect();
    driver.input(Input::Configure(snapshot(2, &["g/r/z", "h/r/z"])));
    for call in calls {
        let next = forward(driver.end(call.call, rejected(Code::NotHome)));
        assert!(["g", "h"].contains(&next.vm.as_str()));
        let other = forward(driver.end(call.call, rejected(Code::NotHome)));
        assert!(["g", "h"].contains(&other.vm.as_str()) && other.vm != next.vm);
        let last = finished(driver.end(call.call, rejected(Code::NotHome)));
        assert!(matches!(last, Outcome::NotRun { code: Code::NotHome, .. }));
    }
}

#[test]
fn budget_bounds_retries() {
    // Guards against retries that multiply the load on a failing service and keep it from
    // recovering.
    let mut driver = Driver::new(&SIX);
    let offered = 1_000;
    let mut attempts = 0;
    for _ in 0..offered {
        let mut next = Some(driver.arrive());
        while let Some(attempt) = next {
            attempts += 1;
            next = match driver.end(attempt.call, AttemptEnd::ConnectionLost) {
                Some(Output::Forward(forward)) => Some(forward),
                _ => None,
            };
        }
        driver.now = driver.now + Duration::from_millis(1);
    }
    assert!(attempts * 10 <= offered * 12, "{attempts} attempts for {offered} requests");
    assert!(attempts > offered, "{attempts} attempts for {offered} requests");
}

#[test]
fn crash_not_a_third_time() {
    let mut driver = Driver::new(&SIX);
    let first = driver.arrive();
    let end = |crashes| AttemptEnd::Failed { code: Code::TargetFailed, crashes };
    let second = forward(driver.end(first.call, end(1)));
    let outcome = finished(driver.end(second.call, end(2)));
    assert_eq!(outcome, Outcome::Unknown { code: Code::TargetFailed });
}

#[test]
fn leaving_by_refusal() {
    // Guards against sending requests to a draining target that the membership view still reports
    // as live.
    let mut driver = Driver::new(&SIX);
    let first = driver.arrive();
    let second = forward(driver.end(first.call, rejected(Code::Draining)));
    assert_ne!(second.vm, first.vm);
    for _ in 0..200 {
        assert_ne!(driver.arrive().vm, first.vm);
    }
}

#[test]
fn view_hint() {
    let mut driver = Driver::new(&SIX);
    let view_without = |vms: &[&str]| -> Arc<Members> {
        Arc::new(vms.iter().map(|vm| (name(vm), VmState::Gone)).collect())
    };
    driver.input(Input::View(view_without(&["a", "b"])));
    for _ in 0..100 {
        let sent = driver.arrive();
        assert!(!["a", "b"].contains(&sent.vm.as_str()));
        driver.respond(&sent, Duration::from_micros(10));
    }
    // Guards against overloading the remaining targets when a partition makes most of them appear
    // gone in the membership view.
    driver.input(Input::View(view_without(&["a", "b", "c", "d"])));
    let mut seen = BTreeMap::new();
    for _ in 0..300 {
        let sent = driver.arrive();
        *seen.entry(sent.vm.clone()).or_insert(0) += 1;
        driver.respond(&sent, Duration::from_micros(10));
    }
    assert_eq!(seen.len(), 6, "{seen:?}");
}

#[test]
fn balance_slow_target() {
    // Guards against sending an equal share of requests to a target that is ten times slower.
    let mut driver = Driver::new(&SIX);
    let mut slow = 0;
    for _ in 0..1_000 {
        let sent = driver.arrive();
        let is_slow = sent.vm.as_str() == "a";
        slow += usize::from(is_slow);
        driver.respond(&sent, Duration::from_millis(if is_slow { 20 } else { 2 }));
    }
    assert!(slow < 20, "{slow} of 1000 to the slow target");
}

#[test]
fn balance_same_zone_then_spill() {
    let mut driver = Driver::new(&["a/r/z", "b/r/y", "c/q/x"]);
    let first = driver.arrive();
    assert_eq!(first.vm.as_str(), "a");
    driver.now = driver.now + Duration::from_millis(2);
    let load = Some(Load {
        in_flight: 12,
        slots: 12,
        queued: 20,
        wait_ms: 150,
        run_ms: [0; 3],
        pace: Pace::USUAL,
        bulk_wait_ms: None,
    });
    driver.end(first.call, AttemptEnd::ResponseStarted { load, waited: Duration::ZERO });
    assert_eq!(driver.arrive().vm.as_str(), "b");
}

#[test]
fn balance_failing_target() {
    let mut driver = Driver::new(&SIX);
    for _ in 0..300 {
        let sent = driver.arrive();
        if sent.vm.as_str() == "a" {
            driver.end(sent.call, AttemptEnd::NotSent);
        } else {
            driver.respond(&sent, Duration::from_micros(100));
        }
    }
    let sent: Vec<Forward> = (0..100).map(|_| driver.arrive()).collect();
    assert!(sent.iter().all(|sent| sent.vm.as_str() != "a"));
}

#[test]
fn arrive_rejected() {
    let mut driver = Driver::new(&SIX);
    let mut code = |path, key| match finished(driver.arrive_at(path, key)) {
        Outcome::NotRun { code, .. } => code,
        other => panic!("{other:?}"),
    };
    assert_eq!(code("/else", None), Code::NoRoute);
    assert_eq!(code("/once", None), Code::KeyMissing);
    driver.input(Input::Drain);
    let outcome = finished(driver.arrive_at("/idem", None));
    assert!(matches!(outcome, Outcome::NotRun { code: Code::Draining, .. }));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(bool),
    End(usize, u8),
    Expire(usize),
    Cancel(usize),
    Configure(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<bool>().prop_map(Step::Arrive),
        8 => (any::<usize>(), 0u8..7).prop_map(|(at, end)| Step::End(at, end)),
        1 => any::<usize>().prop_map(Step::Expire),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (1u8..64).prop_map(Step::Configure),
        2 => (0u64..3_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For random sequences of attempts, ends and versions, each call has exactly one final
    /// outcome, "not run" is reported only if no attempt may have reached a target, and a
    /// non-idempotent request is not retried after an attempt that may have.
    #[test]
    fn entry_history(steps in prop::collection::vec(step(), 1..200)) {
        let mut driver = Driver::new(&SIX);
        let mut open: Vec<(CallKey, bool, bool)> = Vec::new();
        let mut version = 1;
        for (number, step) in steps.into_iter().enumerate() {
            let (output, at) = match step {
                Step::Arrive(once) => {
                    let path = if once { "/once" } else { "/idem" };
                    let output = driver.arrive_at(path, once.then(|| key(number as u64)));
                    open.push((CallKey(driver.next), once, false));
                    (output, open.len() - 1)
                }
                Step::End(at, kind) if !open.is_empty() => {
                    let at = at % open.len();
                    let end = match kind {
                        0 => AttemptEnd::ConnectionLost,
                        1 => AttemptEnd::NotSent,
                        2 => rejected(Code::Draining),
                        3 => rejected(Code::QueueFull),
                        4 => rejected(Code::NotHome),
                        5 => rejected(Code::TargetUnreachable),
                        _ => AttemptEnd::Failed { code: Code::TargetFailed, crashes: 1 },
                    };
                    open[at].2 |=
                        matches!(end, AttemptEnd::ConnectionLost | AttemptEnd::Failed { .. });
                    let output = driver.end(open[at].0, end);
                    (output, at)
                }
                Step::Expire(at) if !open.is_empty() => {
                    let at = at % open.len();
                    open[at].2 = true;
                    (driver.input(Input::Expire { call: open[at].0, sent: true }), at)
                }
                Step::Cancel(at) if !open.is_empty() => {
                    let (call, ..) = open.swap_remove(at % open.len());
                    prop_assert_eq!(driver.input(Input::Close(call)), None);
                    continue;
                }
                Step::Configure(set) => {
                    version += 1;
                    let chosen = SIX.iter().enumerate().filter(|(bit, _)| set & 1 << bit != 0);
                    let chosen: Vec<&str> = chosen.map(|(_, target)| *target).collect();
                    driver.input(Input::Configure(snapshot(version, &chosen)));
                    continue;
                }
                Step::Pass(ms) => {
                    driver.now = driver.now + Duration::from_millis(ms);
                    continue;
                }
                _ => continue,
            };
            let (call, once, maybe_ran) = open[at];
            match output {
                Some(Output::Forward(forward)) => {
                    prop_assert_eq!(forward.call, call);
                    prop_assert!(!(once && maybe_ran), "sent again after it may have run");
                }
                Some(Output::Finish { call: ended, outcome }) => {
                    prop_assert_eq!(ended, call);
                    let not_run = matches!(outcome, Outcome::NotRun { .. });
                    prop_assert_eq!(not_run, !maybe_ran, "{:?}", outcome);
                    open.swap_remove(at);
                }
                None => prop_assert!(false, "no outcome"),
            }
            prop_assert_eq!(driver.entry.open(), open.len());
        }
    }
}

#[test]
fn balance_unreachable_tried_once() {
    // Guards against each request waiting for a connection to a VM that has lost power.
    let mut driver = Driver::new(&SIX);
    let mut tried = 0;
    for _ in 0..60 {
        let sent = driver.arrive();
        if sent.vm.as_str() == "a" {
            tried += 1;
            driver.end(sent.call, AttemptEnd::NotSent);
        } else {
            driver.respond(&sent, Duration::from_millis(1));
        }
    }
    assert_eq!(tried, 1);
}

#[test]
fn balance_node_started_again() {
    // Guards against avoiding restarted targets for too long during a rolling restart, until hardly
    // any target is left.
    let mut driver = Driver::new(&["a/r/z", "b/r/z"]);
    let mut first = driver.arrive();
    while first.vm.as_str() != "a" {
        driver.respond(&first, Duration::from_millis(1));
        first = driver.arrive();
    }
    driver.end(first.call, rejected(Code::Draining));
    driver.now = driver.now + Duration::from_secs(3);
    let sent: Vec<Forward> = (0..40).map(|_| driver.arrive()).collect();
    assert!(sent.iter().any(|sent| sent.vm.as_str() == "a"));
}

#[test]
fn balance_target_that_never_answers() {
    // Guards against sending requests to a target that never responds although its health check
    // passes.
    let mut driver = Driver::new(&SIX);
    let mut unresponsive = 0;
    for _ in 0..120 {
        let sent = driver.arrive();
        if sent.vm.as_str() == "a" {
            unresponsive += 1;
            driver.now = driver.now + Duration::from_millis(100);
            driver.input(Input::Expire { call: sent.call, sent: true });
        } else {
            driver.respond(&sent, Duration::from_millis(20));
        }
    }
    assert!(unresponsive <= 6, "{unresponsive} of 120 to a target that never answers");
}
