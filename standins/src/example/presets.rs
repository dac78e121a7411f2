//! Presets of the example deployments: `ordinary`, `peak` and `maintenance`.

use super::deployment::{Deployment, GATE_PORT, PEERS_PORT, RouteRow};
use indexmap::IndexMap;
use sycamore_core::Name;
use sycamore_core::config::{AtMostOnceMode, Class, Preset, Route, Service, ServiceLimits, Target};

/// Names of the presets; the first one is initially in force.
pub const NAMES: [&str; 3] = ["ordinary", "peak", "maintenance"];

/// Builds a preset of a deployment.
pub fn preset(deployment: &Deployment, name: &str) -> Preset {
    let mut services = IndexMap::new();
    for &service in deployment.services {
        let limits = limits(deployment, name);
        services
            .insert(to_name(service), Service { limits, targets: targets(deployment, service) });
    }
    let routes =
        deployment.routes.iter().map(|row| (to_name(row.name), route(row, name))).collect();
    Preset { name: to_name(name), services, routes, parts: Vec::new() }
}

/// Builds a preset whose last route refers to an undefined service. Every node rejects it.
pub fn dangling(deployment: &Deployment) -> Preset {
    let mut preset = preset(deployment, "peak");
    preset.name = to_name("dangling");
    if let Some((_, route)) = preset.routes.last_mut() {
        route.service = to_name("retired-service");
    }
    preset
}

/// Service limits of a preset: `peak` shortens queues and limits bulk requests, `maintenance`
/// leaves slots free for maintenance work.
fn limits(deployment: &Deployment, preset: &str) -> ServiceLimits {
    let slots = deployment.slots;
    let ordinary = ServiceLimits {
        slots,
        connections: deployment.connections,
        queue: slots * 4,
        queue_wait_ms: 500,
        retry_budget_percent: 10,
        retry_reserve: None,
        warm_up_ms: 2_000,
        bulk_share_percent: 50,
        drain_ms: 30_000,
        cold_ms: 0,
        cold_starts: 0,
        health_path: None,
    };
    match preset {
        "peak" => ServiceLimits {
            queue: slots * 2,
            queue_wait_ms: 250,
            retry_budget_percent: 5,
            bulk_share_percent: 25,
            ..ordinary
        },
        "maintenance" => ServiceLimits {
            slots: slots * 2 / 3,
            queue: slots * 6,
            queue_wait_ms: 1_000,
            warm_up_ms: 5_000,
            drain_ms: 60_000,
            ..ordinary
        },
        _ => ordinary,
    }
}

fn route(row: &RouteRow, preset: &str) -> Route {
    let (deadline_ms, max_attempts) = match (preset, row.class) {
        ("peak", Class::Bulk) => (row.deadline_ms, 1),
        ("peak", _) => (row.deadline_ms * 3 / 4, 2),
        ("maintenance", _) => (row.deadline_ms * 3 / 2, 4),
        _ => (row.deadline_ms, 3),
    };
    Route {
        path_prefix: format!("/{}", row.name),
        service: to_name(row.service),
        idempotent: row.idempotent,
        class: row.class,
        deadline_ms,
        max_attempts,
        max_body_bytes: 1_048_576,
        regions: Vec::new(),
        host: None,
        spare_forwards: 0,
        split: Vec::new(),
        once: AtMostOnceMode::Key,
        rank: 0,
        objective_ms: 1_000,
    }
}

fn targets(deployment: &Deployment, service: &str) -> Vec<Target> {
    let vms = deployment.vms();
    vms.iter()
        .filter(|vm| vm.service == service)
        .map(|vm| Target {
            vm: to_name(&vm.name),
            region: to_name(vm.region),
            zone: to_name(&vm.zone),
            gate: vm.socket_addr(GATE_PORT),
            peers: vm.socket_addr(PEERS_PORT),
            incarnation: None,
            started_ms: None,
            slots: None,
            leaving: false,
            evacuated: false,
            cold: false,
        })
        .collect()
}

/// Converts a constant of this module. Panics if the text is not a valid name.
pub fn to_name(text: &str) -> Name {
    Name::new(text.to_string()).expect("example names must be valid")
}
