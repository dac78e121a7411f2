//! Versions of one service `s` for tests of the call path.

use std::sync::Arc;
use sycamore_core::Name;
use sycamore_core::config::{InForce, Preset, Snapshot};
use sycamore_core::hash::Hash;

pub fn name(text: &str) -> Name {
    Name::new(text.to_owned()).unwrap()
}

/// A version whose service has targets on these VMs; `limits` and `routes` are JSON maps.
pub fn snapshot(version: u64, vms: &[&str], limits: &str, routes: &str) -> Arc<Snapshot> {
    let target = |vm: &&str| {
        format!(
            r#"{{"vm":"{vm}","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9"}}"#
        )
    };
    let targets: Vec<String> = vms.iter().map(target).collect();
    let text = format!(
        r#"{{"name":"p","services":{{"s":{{"limits":{limits},"targets":[{}]}}}},"routes":{routes}}}"#,
        targets.join(",")
    );
    let preset: Preset = serde_json::from_str(&text).unwrap();
    let in_force = InForce { version, preset: name("p"), digest: Hash::of(b"") };
    Snapshot::new(in_force, &preset).unwrap()
}
