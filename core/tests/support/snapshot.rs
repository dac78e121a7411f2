//! Snapshots and arrivals for tests of the call path.

// Not every test that includes this module uses all of it.
#![allow(dead_code)]

use std::sync::Arc;
use sycamore_core::call::gatekeeper::Arrival;
use sycamore_core::call::{CallKey, Fingerprint};
use sycamore_core::config::{InForce, Preset, Snapshot};
use sycamore_core::hash::Hash;
use sycamore_core::{Name, Time};

pub fn name(text: &str) -> Name {
    Name::new(text.to_owned()).unwrap()
}

/// Targets as a JSON array. Each spec has the form `vm/region/zone`; region and zone are optional.
pub fn targets(specs: &[&str]) -> String {
    let target = |spec: &&str| {
        let mut parts = spec.split('/');
        let vm = parts.next().unwrap();
        let (region, zone) = (parts.next().unwrap_or("r"), parts.next().unwrap_or("z"));
        format!(
            r#"{{"vm":"{vm}","region":"{region}","zone":"{zone}","gate":"127.0.0.1:1",
            "peers":"127.0.0.1:9"}}"#
        )
    };
    let targets: Vec<String> = specs.iter().map(target).collect();
    format!("[{}]", targets.join(","))
}

/// A snapshot with the given services and routes, both JSON maps.
pub fn version(version: u64, services: &str, routes: &str) -> Arc<Snapshot> {
    let text = format!(r#"{{"name":"p","services":{services},"routes":{routes}}}"#);
    let preset: Preset = serde_json::from_str(&text).unwrap();
    let in_force = InForce { version, preset: name("p"), digest: Hash::of(b"") };
    Snapshot::new(in_force, &preset).unwrap()
}

/// A snapshot with a single service `s`; `limits` and `routes` are JSON maps.
pub fn snapshot(version_number: u64, specs: &[&str], limits: &str, routes: &str) -> Arc<Snapshot> {
    let targets = targets(specs);
    version(
        version_number,
        &format!(r#"{{"s":{{"limits":{limits},"targets":{targets}}}}}"#),
        routes,
    )
}

/// A request from a caller of the gatekeeper's own VM, without a fingerprint in common with others.
pub fn arrival(call: CallKey, path: &'static str, deadline: Time) -> Arrival<'static> {
    Arrival {
        call,
        host: "",
        path,
        terms: None,
        key: None,
        digest: None,
        fingerprint: Fingerprint(call.0),
        crashes: 0,
        depth: 0,
        deadline,
        run_by: None,
        known_limit: None,
    }
}
