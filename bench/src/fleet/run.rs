//! Runs of a fleet in memory that measure it: ordinary change, and storms.

use super::fault::{Action, PublicationKind, nodes_in_zone};
use super::measure::{Figures, RoleFigures, cpu_time};
use super::workload::{CHANGES_PER_DAY, Size};
use super::{Fleet, Setup};
use crate::baseline::Baseline;
use serde::Serialize;
use std::time::Duration;
use sycamore_core::place::Link;

/// Longest wait for a fleet to hold a version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);

/// Quiet time after the start, before counting begins.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// How long a zone stays cut in the storm of that name.
const PARTITION_DURATION: Duration = Duration::from_secs(30);

/// How long regions stay apart, and the versions published meanwhile: one a minute, since one
/// each six seconds would only take longer to run.
const REGION_PARTITION_DURATION: Duration = Duration::from_secs(3_600);
const REGION_PARTITION_VERSIONS: u32 = 60;

/// Nodes of a rack.
const RACK_NODES: usize = 40;

/// How long killed processes stay away.
const RESTART_DELAY: Duration = Duration::from_secs(10);

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Versions published while counting.
    pub versions: usize,
    /// Time between two versions.
    pub interval: Duration,
    /// Restarts of single processes a minute while counting.
    pub restarts_per_minute: u32,
}

impl Plan {
    /// So many versions at the users' rate.
    pub fn new(versions: usize) -> Plan {
        Plan { versions, interval: interval_for(CHANGES_PER_DAY), restarts_per_minute: 0 }
    }

    /// The same with another number of changes a day.
    pub fn with_changes_per_day(mut self, changes: u64) -> Plan {
        self.interval = interval_for(changes);
        self
    }

    /// The same with processes that restart.
    pub fn with_restarts_per_minute(mut self, restarts: u32) -> Plan {
        self.restarts_per_minute = restarts;
        self
    }
}

/// What goes wrong in a storm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// A zone is cut from all others and the platform, versions are published, the cut heals.
    ZonePartition,
    /// Every relay and reader of a region is killed at once and returns later.
    RelayRestart,
    /// Every process of a zone is killed; all return at the same moment.
    ZoneRestart,
    /// Every process is killed; all return at the same moment.
    FleetRestart,
    /// A rack of a zone fails for good.
    RackLoss,
    /// A region is cut from all others and the platform for an hour of changes.
    RegionPartition,
    /// The platform is away while versions are published; it returns.
    PlatformOutage,
}

impl Disruption {
    /// Every storm that takes at most a few minutes of simulated time.
    pub const SHORT: [Disruption; 6] = [
        Disruption::RackLoss,
        Disruption::ZonePartition,
        Disruption::RelayRestart,
        Disruption::ZoneRestart,
        Disruption::FleetRestart,
        Disruption::PlatformOutage,
    ];

    /// Every storm.
    pub const ALL: [Disruption; 7] = [
        Disruption::RackLoss,
        Disruption::ZonePartition,
        Disruption::RelayRestart,
        Disruption::ZoneRestart,
        Disruption::FleetRestart,
        Disruption::PlatformOutage,
        Disruption::RegionPartition,
    ];

    /// Its name on the command line and in results.
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

/// What a storm came to.
#[derive(Clone, Debug, Serialize)]
pub struct DisruptionFigures {
    /// The storm's name.
    #[serde(rename = "storm")]
    pub disruption: &'static str,
    /// From the heal, or from the return of the processes, until the last version was in force on
    /// every node; `None` if it never was.
    pub recovered_ms: Option<f64>,
    /// Nodes still without it when waiting ended.
    pub behind: usize,
    /// Most platform calls in one second, waiting watches counted.
    pub platform_calls_peak: u64,
    /// Platform calls refused as too many.
    pub platform_over_limit: u64,
    /// Bytes between regions from the beginning of the storm to its end.
    #[serde(rename = "across_bytes")]
    pub cross_region_bytes: u64,
    /// Bytes of all links in the same span, a node.
    pub bytes_per_node: f64,
}

/// What a fleet came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// From the start of every process until each had a version in force; `None` if one never had.
    pub started_ms: Option<f64>,
    /// Most platform calls in one second of that start.
    pub start_calls_peak: u64,
    /// Ordinary change.
    pub figures: Figures,
    /// Bytes of the smallest messages that could carry a version: its compressed change, once a
    /// region.
    #[serde(rename = "smallest_across_bytes")]
    pub min_cross_region_bytes: f64,
    /// Bytes between regions that carry a version, for each of the smallest.
    #[serde(rename = "versions_to_smallest")]
    pub version_bytes_to_min: f64,
    /// All bytes between regions for each version, for each of the smallest.
    #[serde(rename = "across_to_smallest")]
    pub cross_region_bytes_to_min: f64,
    /// Storms.
    #[serde(rename = "storms")]
    pub disruptions: Vec<DisruptionFigures>,
}

/// Both ways side by side.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Nodes.
    pub nodes: usize,
    /// Services.
    pub services: usize,
    /// Availability zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// The system.
    #[serde(rename = "ours")]
    pub fleet: Outcome,
    /// Every node polls the whole document.
    #[serde(rename = "naive")]
    pub baseline: Outcome,
}

/// Runs both ways over the same links and the same changes.
pub fn compare(setup: &Setup, plan: &Plan, disruptions: &[Disruption]) -> Comparison {
    let size = setup.size;
    let fleet = run_fleet(setup, plan, disruptions);
    let baseline = run_baseline(setup, plan, disruptions);
    let Size { nodes, services, zones, regions } = size;
    Comparison { nodes, services, zones, regions, fleet, baseline }
}

/// Runs the system.
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
    let start = baseline().return_at_once("everything", &all);
    let mut disruption_figures = Vec::new();
    for disruption in disruptions {
        match disruption {
            Disruption::ZoneRestart => {
                let zone = nodes_in_zone(&setup.size, 1);
                disruption_figures.push(baseline().return_at_once(disruption.name(), &zone));
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

/// Starts every process at the same moment.
pub fn start_all(fleet: &mut Fleet) -> Option<Duration> {
    let all = (0..fleet.size().nodes).collect();
    let now = fleet.now();
    fleet.schedule(Duration::ZERO, Action::Start(all));
    fleet.run_until(now);
    fleet.run_until_converged(1, CONVERGENCE_TIMEOUT)
}

/// Publishes the plan's versions and measures.
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
    // The last version gets its time too; the rates are over the span before.
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

/// Puts a settled fleet through a storm and waits until it has recovered.
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

/// Breaks things, publishes, and returns at the moment of the heal.
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
            // Recovery is measured from here: the rest of the region must find other ways.
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

/// Bytes between regions that a version needs at least, on average over the plan's.
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
