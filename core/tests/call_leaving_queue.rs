//! Requests that wait at a gatekeeper when its target starts to leave.

#[path = "support/snapshot.rs"]
mod snapshots;

use snapshots::{name, version};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::gatekeeper::{Arrival, Input, Output, RunEnd};
use sycamore_core::call::{CallKey, Fingerprint, Gatekeeper, Statement};
use sycamore_core::config::Snapshot;
use sycamore_core::discovery::policy;

const START: Time = Time(1_700_000_000_000_000);

/// The default of `bounds.leaving_ms`.
const LEAVING_BOUND: Duration = Duration::from_millis(2_500);

/// A version with the limits of a registered target with one slot.
fn snapshot(number: u64, leaving: bool) -> Arc<Snapshot> {
    let limits = serde_json::to_string(&policy::limits(8, 10, 30)).unwrap();
    let target = format!(
        r#"{{"vm":"a","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9",
        "slots":1,"leaving":{leaving}}}"#
    );
    let services = format!(r#"{{"s":{{"limits":{limits},"targets":[{target}]}}}}"#);
    let routes = r#"{"all":{"path_prefix":"/","service":"s","idempotent":true,
        "objective_ms":8000,"deadline_ms":8000}}"#;
    version(number, &services, routes)
}

/// A gatekeeper whose slot is in use by call 0, while call 1 is queued.
fn gatekeeper() -> Gatekeeper {
    let mut gatekeeper = Gatekeeper::new(name("a"), START - Duration::from_secs(60), 1);
    handle(&mut gatekeeper, START, Input::Configure(snapshot(1, false)));
    for call in 0..2 {
        let arrival = Arrival {
            call: CallKey(call),
            host: "",
            path: "/x",
            terms: None,
            key: None,
            digest: None,
            fingerprint: Fingerprint(call),
            crashes: 0,
            depth: 0,
            deadline: START + Duration::from_secs(8),
            run_by: None,
            known_limit: None,
        };
        let out = handle(&mut gatekeeper, START, Input::Arrive(arrival));
        let runs = matches!(out[..], [Output::Run { .. }]);
        assert_eq!(runs, call == 0, "{out:?}");
    }
    gatekeeper
}

fn handle(gatekeeper: &mut Gatekeeper, now: Time, input: Input<'_>) -> Vec<Output> {
    let mut out = Vec::new();
    gatekeeper.handle(now, input, &mut out);
    out.retain(|output| {
        !matches!(
            output,
            Output::Send(_) | Output::Probe | Output::Record(_) | Output::RecordCold(_)
        )
    });
    out
}

/// Frees the slot after the bound for targets that leave. Returns what starts then.
fn free_slot(gatekeeper: &mut Gatekeeper) -> Vec<Output> {
    let now = START + LEAVING_BOUND + Duration::from_millis(100);
    let end = Input::End { call: CallKey(0), end: RunEnd::Answered { cached: None } };
    let mut out = handle(gatekeeper, now, end);
    out.retain(|output| matches!(output, Output::Run { .. }));
    out
}

/// Guards against a queued request that reaches a target later than allowed after the configuration
/// has listed the target as leaving.
#[test]
fn queued_not_run_after_listed_as_leaving() {
    let mut gatekeeper = gatekeeper();
    handle(&mut gatekeeper, START, Input::Configure(snapshot(2, true)));
    assert_eq!(free_slot(&mut gatekeeper), []);
}

/// Guards against a queued request that reaches a target later than allowed after the target has
/// stated that it is leaving.
#[test]
fn queued_not_run_after_stated_leaving() {
    let mut gatekeeper = gatekeeper();
    let statement = Statement { leaving: true, ..Statement::default() };
    handle(&mut gatekeeper, START, Input::Stated { call: CallKey(0), ran: true, statement });
    assert_eq!(free_slot(&mut gatekeeper), []);
}
