//! The arrival of a request that may run once per attempt, at a gatekeeper.

use super::support::name;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::gatekeeper::Arrival;
use sycamore_core::call::{CallKey, Fingerprint, Terms};
use sycamore_core::config::Snapshot;

/// An arrival on the first route of a version, without a fingerprint in common with others.
pub fn once_arrival(now: Time, call: CallKey, snapshot: &Snapshot) -> Arrival<'static> {
    let route = &snapshot.routes()[0].route;
    let terms = Terms {
        service: name("s"),
        idempotent: false,
        once: route.once,
        class: route.class,
        rank: route.rank,
        objective: now + Duration::from_secs(30),
        may_exceed_objective: true,
        repeat: false,
        regions: Vec::new(),
    };
    Arrival {
        call,
        host: "",
        path: "/once",
        terms: Some(terms),
        key: None,
        digest: None,
        fingerprint: Fingerprint(call.0),
        crashes: 0,
        depth: 0,
        deadline: now + Duration::from_secs(60),
        run_by: None,
        known_limit: None,
    }
}
