//! Renders the files of an example deployment.

use super::deployment::{
    ADMIN_PORT, CALLS_PORT, Deployment, GATE_PORT, PEERS_PORT, TARGET_PORT, Vm,
};
use super::presets::{self, to_name};
use crate::target::{TargetConfig, TargetsConfig};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use sycamore_core::config::InForce;
use sycamore_core::hash::Hash;
use sycamore_core::member::{Member, VmList, VmState};
use sycamore_core::place::Place;

/// A generated file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// Path relative to the directory of the deployment.
    pub path: String,
    /// Content.
    pub text: String,
}

/// Value of the platform key `zones`.
#[derive(Serialize)]
struct Zones {
    zones: Vec<Place>,
}

/// Settings of a node; omitted fields keep their defaults.
#[derive(Serialize)]
struct NodeSettings {
    vm: String,
    region: &'static str,
    zone: String,
    listen: Listen,
    target_address: SocketAddr,
    platform_address: SocketAddr,
    seeds: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct Listen {
    calls: SocketAddr,
    gate: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

/// Renders every file of a deployment except the load mix, which is maintained by hand.
pub fn files(deployment: &Deployment) -> Vec<File> {
    let mut files = published_files(deployment);
    for vm in deployment.vms() {
        files.push(File::new(format!("nodes/{}.json", vm.name), &settings(deployment, &vm)));
    }
    files.push(File::new("targets.json", &targets(deployment)));
    files.push(File::new("refused/dangling.json", &presets::dangling(deployment)));
    files
}

/// Writes the files of a deployment to `directory`.
pub fn write(deployment: &Deployment, directory: &Path) -> std::io::Result<()> {
    for file in files(deployment) {
        let path = directory.join(&file.path);
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent)?;
        }
        std::fs::write(path, file.text)?;
    }
    Ok(())
}

impl File {
    fn new(path: impl Into<String>, content: &impl Serialize) -> File {
        let text = serde_json::to_string_pretty(content).unwrap_or_default();
        File { path: path.into(), text: text + "\n" }
    }
}

fn published_files(deployment: &Deployment) -> Vec<File> {
    let mut files = Vec::new();
    for name in presets::NAMES {
        let preset = presets::preset(deployment, name);
        files.push(File::new(format!("published/preset/{name}.json"), &preset));
    }
    let digest = Hash::of(files[0].text.as_bytes());
    let in_force = InForce { version: 1, preset: to_name(presets::NAMES[0]), digest };
    files.push(File::new("published/in-force.json", &in_force));
    let zones = deployment.zones();
    for (_, zone, _) in &zones {
        files.push(File::new(format!("published/vms/{zone}.json"), &vm_list(deployment, zone)));
    }
    let place = |(region, zone, _): &(&str, String, u8)| Place {
        region: to_name(region),
        zone: to_name(zone),
    };
    let zones = Zones { zones: zones.iter().map(place).collect() };
    files.push(File::new("published/zones.json", &zones));
    files
}

fn vm_list(deployment: &Deployment, zone: &str) -> VmList {
    let vms = deployment.vms().into_iter().filter(|vm| vm.zone == zone);
    let member = |vm: Vm| Member {
        vm: to_name(&vm.name),
        region: to_name(vm.region),
        zone: to_name(&vm.zone),
        peers: vm.socket_addr(PEERS_PORT),
        admin: vm.socket_addr(ADMIN_PORT),
        state: VmState::Live,
    };
    VmList { vms: vms.map(member).collect() }
}

fn settings(deployment: &Deployment, vm: &Vm) -> NodeSettings {
    NodeSettings {
        vm: vm.name.clone(),
        region: vm.region,
        zone: vm.zone.clone(),
        listen: Listen {
            calls: vm.socket_addr(CALLS_PORT),
            gate: vm.socket_addr(GATE_PORT),
            peers: vm.socket_addr(PEERS_PORT),
            admin: vm.socket_addr(ADMIN_PORT),
        },
        target_address: vm.socket_addr(TARGET_PORT),
        platform_address: deployment.platform_address(vm.zone_number),
        seeds: seeds(deployment, vm),
    }
}

/// Bootstrap peers: the other VMs of the zone, and one VM in every other zone.
fn seeds(deployment: &Deployment, vm: &Vm) -> Vec<SocketAddr> {
    let vms = deployment.vms();
    let same_zone = vms.iter().filter(|other| other.zone == vm.zone && other.name != vm.name);
    let other_zones =
        vms.iter().filter(|other| other.zone != vm.zone && other.service == vm.service);
    same_zone.chain(other_zones).map(|other| other.socket_addr(PEERS_PORT)).collect()
}

fn targets(deployment: &Deployment) -> TargetsConfig {
    let target = |vm: Vm| TargetConfig {
        address: vm.socket_addr(TARGET_PORT),
        calls: vm.socket_addr(CALLS_PORT),
        vm: vm.name,
        slots: deployment.slots,
        connections: deployment.connections,
    };
    TargetsConfig {
        control: deployment.targets_control(),
        targets: deployment.vms().into_iter().map(target).collect(),
    }
}
