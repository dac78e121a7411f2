//! Measured runs of a fleet: regular configuration changes and disruptions, compared with the
//! polling baseline.

use super::fault::{Action, PublicationKind, nodes_in_zone};
use super::measure::{Figures, RoleFigures, cpu_time};
use super::workload::{CHANGES_PER_DAY, Size};
use super::{Fleet, Setup};
use crate::baseline::Baseline;
use serde::Serialize;
use std::time::Duration;
use sycamore_core::place::Link;

/// Maximum time to wait until the fleet holds a version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);

/// Time without changes before each measurement.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Duration of the zone partition and, doubled, of the platform outage.
const PARTITION_DURATION: Duration = Duration::from_secs(30);

/// Duration of the region partition and number of versions published during it.
const REGION_PARTITION_DURATION: Duration = Duration::from_secs(3_600);
const REGION_PARTITION_VERSIONS: u32 = 60;

const RACK_NODES: usize = 40;

/// Time between killing and restarting processes.
const RESTART_DELAY: Duration = Duration::from_secs(10);

/// Parameters of a measurement of regular changes.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Versions to publish.
    pub versions: usize,
    pub interval: Duration,
    /// Rate of single process restarts during the measurement.
    pub restarts_per_minute: u32,
}

impl Plan {
    /// Plans `versions` changes at the default rate.
    pub fn new(versions: usize) -> Plan {
        Plan { versions, interval: interval_for(CHANGES_PER_DAY), restarts_per_minute: 0 }
    }

    /// Sets the number of changes per day.
    pub fn with_changes_per_day(mut self, changes: u64) -> Plan {
        self.interval = interval_for(changes);
        self
    }

    pub fn with_restarts_per_minute(mut self, restarts: u32) -> Plan {
        self.restarts_per_minute = restarts;
        self
    }
}

/// A failure of part of the system, during which versions are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// A zone is cut off from all other zones and from the platform, then reconnected.
    ZonePartition,
    /// All relays and platform readers of a region are killed and restarted later.
    RelayRestart,
    /// All processes of a zone are killed and restarted simultaneously.
    ZoneRestart,
    /// All processes are killed and restarted simultaneously.
    FleetRestart,
    /// A rack in one zone fails permanently.
    RackLoss,
    /// A region is cut off from all other regions and from the platform for an hour of changes.
    RegionPartition,
    /// The platform does not answer for a while.
    PlatformOutage,
}

impl Disruption {
    /// All disruptions that take at most a few minutes of simulated time.
    pub const SHORT: [Disruption; 6] = [
        Disruption::RackLoss,
        Disruption::ZonePartition,
        Disruption::RelayRestart,
        Disruption::ZoneRestart,
        Disruption::FleetRestart,
        Disruption::PlatformOutage,
    ];

    pub const ALL: [Disruption; 7] = [
        Disruption::RackLoss,
        Disruption::ZonePartition,
        Disruption::RelayRestart,
        Disruption::ZoneRestart,
        Disruption::FleetRestart,
        Disruption::PlatformOutage,
        Disruption::RegionPartition,
    ];

    /// Name on the command line and in the results.
    pub fn name(self) -> &'static str {
        match self {
            Disruption::ZonePartition => "zone-cut",
            Disruption::RelayRestart => "relays",
            Disruption::ZoneRestart => "zone",
            Disruption::FleetRestart => "everything",
            Disruption::PlatformOutage => "source",
            Disruption::RackLoss => "rack",
            Disruption::RegionPartition => "regions",
        }
    }
}

/// Results of one disruption.
#[derive(Clone, Debug, Serialize)]
pub struct DisruptionFigures {
    #[serde(rename = "storm")]
    pub disruption: &'static str,
    /// Time from the repair or restart until the newest version is in force on every node; `None`
    /// on timeout.
    pub recovered_ms: Option<f64>,
    /// Nodes without the newest version at the end.
    pub behind: usize,
    /// Maximum number of platform calls in one second, including pending watches.
    pub platform_calls_peak: u64,
    /// Platform calls rejected by the rate limit.
    pub platform_over_limit: u64,
    /// Bytes between regions from the beginning of the disruption until recovery.
    #[serde(rename = "across_bytes")]
    pub cross_region_bytes: u64,
    /// Bytes on all links per node during the same span.
    pub bytes_per_node: f64,
}

/// Results of all measurements of one system.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Time from the simultaneous start of all processes until every node has a version in force;
    /// `None` on timeout.
    pub started_ms: Option<f64>,
    /// Maximum number of platform calls in one second during that start.
    pub start_calls_peak: u64,
    /// Results of regular changes.
    pub figures: Figures,
    /// Lower bound of the bytes between regions per version: the smallest update, sent once to each
    /// other region.
    #[serde(rename = "smallest_across_bytes")]
    pub min_cross_region_bytes: f64,
    /// Ratio of the bytes that carry versions between regions to the lower bound.
    #[serde(rename = "versions_to_smallest")]
    pub version_bytes_to_min: f64,
    /// Ratio of all bytes between regions to the lower bound.
    #[serde(rename = "across_to_smallest")]
    pub cross_region_bytes_to_min: f64,
    #[serde(rename = "storms")]
    pub disruptions: Vec<DisruptionFigures>,
}

/// Results of the fleet and the polling baseline at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub nodes: usize,
    pub services: usize,
    pub zones: usize,
    pub regions: usize,
    /// The fleet.
    #[serde(rename = "ours")]
    pub fleet: Outcome,
    /// The baseline, in which every node polls the complete document.
    #[serde(rename = "naive")]
    pub baseline: Outcome,
}

/// Measures the fleet and the baseline with the same links and changes.
pub fn compare(setup: &Setup, plan: &Plan, disruptions: &[Disruption]) -> Comparison {
    let size = setup.size;
    let fleet = run_fleet(setup, plan, disruptions);
    let baseline = run_baseline(setup, plan, disruptions);
    let Size { nodes, services, zones, regions } = size;
    Comparison { nodes, services, zones, regions, fleet, baseline }
}

/// Measures the fleet.
pub fn run_fleet(setup: &Setup, plan: &Plan, disruptions: &[Disruption]) -> Outcome {
    let before = (setup.memory)();
    let mut fleet = Fleet::new(setup.clone());
    let started = start_all(&mut fleet);
    let start_calls_peak = fleet.take_peak();
    let mut figures = measure_changes(&mut fleet, plan);
    let bytes = (setup.memory)().saturating_sub(before);
    figures.kb_per_node = bytes as f64 / 1_024.0 / setup.size.nodes as f64;
    let min_cross_region_bytes = min_cross_region_bytes(setup, plan);
    let cross_region_bytes_to_min = figures.cross_region_bytes_per_version / min_cross_region_bytes;
    let version_bytes_to_min = figures.cross_region_version_bytes / min_cross_region_bytes;
    let disruptions =
        disruptions.iter().map(|disruption| run_disruption(&mut fleet, *disruption)).collect();
    let started_ms = started.map(to_millis);
    Outcome {
        started_ms,
        start_calls_peak,
        figures,
        min_cross_region_bytes,
        version_bytes_to_min,
        cross_region_bytes_to_min,
        disruptions,
    }
}

fn run_baseline(setup: &Setup, plan: &Plan, disruptions: &[Disruption]) -> Outcome {
    let baseline = || Baseline::new(setup.size, setup.profile, setup.seed);
    let figures = baseline().run(plan.versions, plan.interval);
    let min_cross_region_bytes = min_cross_region_bytes(setup, plan);
    let cross_region_bytes_to_min = figures.cross_region_bytes_per_version / min_cross_region_bytes;
    let all: Vec<usize> = (0..setup.size.nodes).collect();
    let start = baseline().measure_restart("everything", &all);
    let mut disruption_figures = Vec::new();
    for disruption in disruptions {
        match disruption {
            Disruption::ZoneRestart => {
                let zone = nodes_in_zone(&setup.size, 1);
                disruption_figures.push(baseline().measure_restart(disruption.name(), &zone));
            }
            Disruption::FleetRestart => disruption_figures.push(start.clone()),
            _ => {}
        }
    }
    Outcome {
        started_ms: start.recovered_ms,
        start_calls_peak: start.platform_calls_peak,
        figures,
        min_cross_region_bytes,
        version_bytes_to_min: cross_region_bytes_to_min,
        cross_region_bytes_to_min,
        disruptions: disruption_figures,
    }
}

/// Starts all processes simultaneously. Returns the time until version 1 is in force everywhere.
pub fn start_all(fleet: &mut Fleet) -> Option<Duration> {
    let all = (0..fleet.size().nodes).collect();
    let now = fleet.now();
    fleet.schedule(Duration::ZERO, Action::Start(all));
    fleet.run_until(now);
    fleet.run_until_converged(1, CONVERGENCE_TIMEOUT)
}

/// Publishes the planned versions and measures the fleet meanwhile.
pub fn measure_changes(fleet: &mut Fleet, plan: &Plan) -> Figures {
    fleet.run_for(SETTLE_TIME);
    fleet.convergence().reset();
    fleet.take_peak();
    fleet.reset_loads();
    let (traffic, calls, cpu) = (fleet.traffic(), fleet.calls(), cpu_time());
    let span = plan.interval * plan.versions as u32;
    for index in 0..plan.versions {
        fleet.schedule(plan.interval * index as u32, Action::Publish(PublicationKind::Next));
    }
    plan_restarts(fleet, plan, span);
    fleet.run_for(span);
    let used = cpu_time() - cpu;
    let sent = fleet.traffic().since(&traffic);
    let now = fleet.calls();
    let nodes = fleet.size().nodes;
    let roles = RoleFigures::all(&fleet.loads(), span);
    let kinds = fleet.cross_region_bytes().clone();
    // Wait for the last version; the rates cover only the span before.
    let last = fleet.last_valid_version();
    fleet.run_until_converged(last, CONVERGENCE_TIMEOUT);
    let over_limit = now.over_limit - calls.over_limit;
    let figures = Figures::new(fleet.convergence())
        .with_traffic(&sent, nodes, span)
        .with_kinds(&kinds, span)
        .with_calls(now.total - calls.total, over_limit, now.peak, span)
        .with_usage(used, nodes, span);
    Figures { roles, ..figures }
}

fn plan_restarts(fleet: &mut Fleet, plan: &Plan, span: Duration) {
    let count = span.as_secs_f64() / 60.0 * f64::from(plan.restarts_per_minute);
    let nodes = fleet.size().nodes;
    for index in 0..count as usize {
        let at = span.mul_f64((index as f64 + 0.5) / count);
        let node = index * 7_919 % nodes;
        fleet.schedule(at, Action::Kill(vec![node]));
        fleet.schedule(at + Duration::from_secs(1), Action::Start(vec![node]));
    }
}

/// Runs a disruption on a settled fleet and waits for recovery.
pub fn run_disruption(fleet: &mut Fleet, disruption: Disruption) -> DisruptionFigures {
    fleet.run_for(SETTLE_TIME);
    fleet.take_peak();
    let (traffic, calls) = (fleet.traffic(), fleet.calls());
    inject_and_repair(fleet, disruption);
    let last = fleet.last_valid_version();
    let recovered = fleet.run_until_converged(last, CONVERGENCE_TIMEOUT);
    let sent = fleet.traffic().since(&traffic);
    let now = fleet.calls();
    DisruptionFigures {
        disruption: disruption.name(),
        recovered_ms: recovered.map(to_millis),
        behind: fleet.behind(last),
        platform_calls_peak: now.peak,
        platform_over_limit: now.over_limit - calls.over_limit,
        cross_region_bytes: sent.bytes[Link::CrossRegion as usize],
        bytes_per_node: sent.bytes.iter().sum::<u64>() as f64 / fleet.size().nodes as f64,
    }
}

/// Injects the failure, publishes versions and returns once the failure is repaired.
fn inject_and_repair(fleet: &mut Fleet, disruption: Disruption) {
    let publish = || Action::Publish(PublicationKind::Next);
    let now = |fleet: &mut Fleet, action: Action| {
        fleet.schedule(Duration::ZERO, action);
        fleet.run_until(fleet.now());
    };
    let size = fleet.size();
    match disruption {
        Disruption::ZonePartition => {
            now(fleet, Action::CutZone(1));
            now(fleet, Action::CutLink(1, None));
            fleet.schedule(PARTITION_DURATION / 2, publish());
            fleet.run_for(PARTITION_DURATION);
            now(fleet, Action::HealLinks);
        }
        Disruption::RelayRestart => {
            let relays = fleet.relays(Some(1.min(size.regions as u16 - 1)));
            now(fleet, Action::Kill(relays.clone()));
            // Recovery is measured from here: the region must converge without these relays.
            fleet.schedule(RESTART_DELAY, Action::Start(relays));
            now(fleet, publish());
        }
        Disruption::ZoneRestart | Disruption::FleetRestart => {
            let nodes = match disruption {
                Disruption::ZoneRestart => nodes_in_zone(&size, 1),
                _ => (0..size.nodes).collect(),
            };
            now(fleet, Action::Kill(nodes.clone()));
            fleet.schedule(RESTART_DELAY / 2, publish());
            fleet.run_for(RESTART_DELAY);
            now(fleet, Action::Start(nodes));
        }
        Disruption::RackLoss => {
            let rack = nodes_in_zone(&size, 1).into_iter().take(RACK_NODES);
            now(fleet, Action::Kill(rack.collect()));
            now(fleet, publish());
        }
        Disruption::RegionPartition => {
            let region = size.regions as u16 - 1;
            let zones: Vec<u16> =
                (0..size.zones as u16).filter(|z| size.site_of_zone(*z).region == region).collect();
            for zone in zones {
                now(fleet, Action::CutLink(zone, None));
            }
            for other in 0..region {
                now(fleet, Action::CutRegions(region, other));
            }
            for index in 0..REGION_PARTITION_VERSIONS {
                fleet.schedule(
                    REGION_PARTITION_DURATION / REGION_PARTITION_VERSIONS * index,
                    publish(),
                );
            }
            fleet.run_for(REGION_PARTITION_DURATION);
            now(fleet, Action::HealLinks);
        }
        Disruption::PlatformOutage => {
            now(fleet, Action::SetPlatformHealth(super::platform::Health::Down));
            fleet.schedule(PARTITION_DURATION, publish());
            fleet.run_for(PARTITION_DURATION * 2);
            now(fleet, Action::SetPlatformHealth(super::platform::Health::Up));
        }
    }
}

/// Average lower bound of the bytes between regions per version of the plan.
fn min_cross_region_bytes(setup: &Setup, plan: &Plan) -> f64 {
    let mut workload = super::workload::Workload::new(setup.size, setup.seed);
    workload.publish();
    let bytes: u64 = (0..plan.versions).map(|_| workload.publish_change().min_update_bytes).sum();
    let copies = setup.size.regions.saturating_sub(1).max(1) as f64;
    bytes as f64 / plan.versions.max(1) as f64 * copies
}

fn interval_for(changes_per_day: u64) -> Duration {
    Duration::from_secs(86_400) / changes_per_day as u32
}

fn to_millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1_000.0
}
