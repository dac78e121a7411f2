//! The entry node when all targets of a service are overloaded.

#[path = "support/snapshot.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Forward, Input, Output};
use sycamore_core::call::{CallKey, Entry, Load};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);

/// `retry_after` of the rejections.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Loads of targets with four slots.
const FULL: &str = "4/4/4/300";
const HALF_FULL: &str = "2/4/0/0";

const RESPONSE_TIME: Duration = Duration::from_millis(20);

const TARGETS: [&str; 4] = ["a", "b", "c", "d"];

/// A service with these targets and a route that allows two spare forwards.
fn snapshot(targets: &[&str]) -> Arc<Snapshot> {
    let route = r#"{"path_prefix":"/","service":"s","idempotent":false,"once":"attempt",
        "max_attempts":2,"spare_forwards":2,"objective_ms":600,"deadline_ms":2000}"#;
    let limits = r#"{"retry_budget_percent":100}"#;
    support::snapshot(1, targets, limits, &format!(r#"{{"r":{route}}}"#))
}

struct Driver {
    entry: Entry,
    now: Time,
    next: u64,
}

impl Driver {
    fn new(targets: &[&str]) -> Driver {
        let place = Place { region: name("r"), zone: name("z") };
        let mut driver = Driver { entry: Entry::new(place, 7), now: START, next: 0 };
        driver.input(Input::Configure(snapshot(targets)));
        driver
    }

    fn input(&mut self, input: Input<'_>) -> Option<Output> {
        let mut out = Vec::new();
        self.entry.handle(self.now, input, &mut out);
        out.pop()
    }

    /// Sends a request that every target rejects because of load. Returns its forwards.
    fn send_to_overloaded_service(&mut self) -> Vec<Forward> {
        self.send(&[], Code::QueueFull)
    }

    /// Sends a request that a target serves.
    fn serve(&mut self) {
        self.next += 1;
        let call = CallKey(self.next);
        let output = self.input(Input::Arrive(Arrival::new(call, "", "/")));
        assert!(matches!(output, Some(Output::Forward(_))), "{output:?}");
        let end = AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO };
        self.now = self.now + RESPONSE_TIME;
        self.input(Input::Attempt { call, end, replayable: true });
        self.input(Input::Close(call));
    }

    /// Sends a request whose attempts are rejected with these codes, and later ones with `then`.
    /// Returns its forwards.
    fn send(&mut self, codes: &[Code], then: Code) -> Vec<Forward> {
        self.next += 1;
        let call = CallKey(self.next);
        let arrival =
            Arrival { timeout: Some(Duration::from_secs(2)), ..Arrival::new(call, "", "/") };
        let mut forwards = Vec::new();
        let mut output = self.input(Input::Arrive(arrival));
        while let Some(Output::Forward(forward)) = output {
            forwards.push(forward);
            let code = codes.get(forwards.len() - 1).copied().unwrap_or(then);
            let load = if code == Code::QueueFull { FULL } else { HALF_FULL };
            let (retry_after, load) = (RETRY_AFTER, Load::parse(load));
            let end = AttemptEnd::Rejected { code, retry_after, load, crashes: 0 };
            output = self.input(Input::Attempt { call, end, replayable: true });
        }
        assert!(matches!(output, Some(Output::Finish { .. })), "{output:?}");
        forwards
    }
}

#[test]
fn full_service_asked_once() {
    // Guards against each request asking several gatekeepers in turn when all targets are
    // overloaded, which spends the processor time of small nodes on rejections.
    let mut driver = Driver::new(&TARGETS);
    let first = driver.send_to_overloaded_service();
    assert_eq!(first.len(), 3, "{first:?}");
    // The fourth target has not rejected a request yet.
    driver.send_to_overloaded_service();
    let third = driver.send_to_overloaded_service();
    assert_eq!(third.len(), 1, "{third:?}");
    assert!(third[0].terms.may_exceed_objective);
}

#[test]
fn overloaded_service_retried_after_backoff() {
    let mut driver = Driver::new(&TARGETS);
    driver.send_to_overloaded_service();
    driver.send_to_overloaded_service();
    driver.now = START + RETRY_AFTER;
    let forwards = driver.send_to_overloaded_service();
    assert!(!forwards[0].terms.may_exceed_objective, "{forwards:?}");
}

/// Guards against a target that gets a request again at once which it has refused itself.
#[test]
fn overloaded_service_not_sent_back_to_refusing_target() {
    let mut driver = Driver::new(&TARGETS[..3]);
    for number in 0..50 {
        (0..20).for_each(|_| driver.serve());
        let forwards = driver.send(&[Code::TargetRefused], Code::QueueFull);
        let again = forwards[1..].iter().any(|forward| forward.vm == forwards[0].vm);
        assert!(!again, "request {number}: {forwards:?}");
        assert!(forwards.len() > 1, "{forwards:?}");
    }
}

/// Guards against a request that is rejected although it could wait at the gatekeeper that was full
/// when it was asked for a response within the objective.
#[test]
fn overloaded_service_queues_at_full_gatekeeper() {
    let mut driver = Driver::new(&TARGETS);
    let forwards = driver.send_to_overloaded_service();
    let last = forwards.last().unwrap();
    assert!(last.terms.may_exceed_objective, "{forwards:?}");
}
