//! The entry node when all targets of a service are overloaded.

#[path = "support/snapshot.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Forward, Input, Output};
use sycamore_core::call::{CallKey, Entry};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);

/// `retry_after` of the rejections.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A service with four targets and a route that allows two spare forwards.
fn snapshot() -> Arc<Snapshot> {
    let route = r#"{"path_prefix":"/","service":"s","idempotent":false,"once":"attempt",
        "max_attempts":2,"spare_forwards":2,"objective_ms":600,"deadline_ms":2000}"#;
    support::snapshot(1, &["a", "b", "c", "d"], "{}", &format!(r#"{{"r":{route}}}"#))
}

struct Driver {
    entry: Entry,
    now: Time,
    next: u64,
}

impl Driver {
    fn new() -> Driver {
        let place = Place { region: name("r"), zone: name("z") };
        let mut driver = Driver { entry: Entry::new(place, 7), now: START, next: 0 };
        driver.input(Input::Configure(snapshot()));
        driver
    }

    fn input(&mut self, input: Input<'_>) -> Option<Output> {
        let mut out = Vec::new();
        self.entry.handle(self.now, input, &mut out);
        out.pop()
    }

    /// Sends a request that every target rejects because of load. Returns its forwards.
    fn send_to_overloaded_service(&mut self) -> Vec<Forward> {
        self.next += 1;
        let call = CallKey(self.next);
        let arrival =
            Arrival { timeout: Some(Duration::from_secs(2)), ..Arrival::new(call, "", "/") };
        let mut forwards = Vec::new();
        let mut output = self.input(Input::Arrive(arrival));
        while let Some(Output::Forward(forward)) = output {
            forwards.push(forward);
            let end = AttemptEnd::Rejected {
                code: Code::QueueFull,
                retry_after: RETRY_AFTER,
                load: None,
                crashes: 0,
            };
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
    let mut driver = Driver::new();
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
    let mut driver = Driver::new();
    driver.send_to_overloaded_service();
    driver.send_to_overloaded_service();
    driver.now = START + RETRY_AFTER;
    let forwards = driver.send_to_overloaded_service();
    assert!(!forwards[0].terms.may_exceed_objective, "{forwards:?}");
}
