//! Runs of a fleet in memory that measure it: ordinary change, and storms.

use super::fault::{Action, Edition, nodes_in_zone};
use super::measure::{Figures, RoleFigures, cpu_time};
use super::workload::{CHANGES_PER_DAY, Size};
use super::{Fleet, Setup};
use crate::baseline::Baseline;
use serde::Serialize;
use std::time::Duration;
use sycamore_core::place::Link;

/// Longest wait for a fleet to hold a version.
const PATIENCE: Duration = Duration::from_secs(120);

/// Quiet time after the start, before counting begins.
const SETTLING: Duration = Duration::from_secs(30);

/// How long a zone stays cut in the storm of that name.
const CUT: Duration = Duration::from_secs(30);

/// How long regions stay apart, and the versions published meanwhile: one a minute, since one
/// each six seconds would only take longer to run.
const APART: Duration = Duration::from_secs(3_600);
const APART_VERSIONS: u32 = 60;

/// Nodes of a rack.
const RACK: usize = 40;

/// How long killed processes stay away.
const AWAY: Duration = Duration::from_secs(10);

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Versions published while counting.
    pub versions: usize,
    /// Time between two versions.
    pub pause: Duration,
    /// Restarts of single processes a minute while counting.
    pub restarts_per_minute: u32,
}

impl Plan {
    /// So many versions at the users' rate.
    pub fn new(versions: usize) -> Plan {
        Plan { versions, pause: pause_of(CHANGES_PER_DAY), restarts_per_minute: 0 }
    }

    /// The same with another number of changes a day.
    pub fn with_changes_per_day(mut self, changes: u64) -> Plan {
        self.pause = pause_of(changes);
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
pub enum Storm {
    /// A zone is cut from all others and the platform, versions are published, the cut heals.
    ZoneCut,
    /// Every relay and reader of a region is killed at once and returns later.
    Relays,
    /// Every process of a zone is killed; all return at the same moment.
    Zone,
    /// Every process is killed; all return at the same moment.
    Everything,
    /// A rack of a zone fails for good.
    Rack,
    /// A region is cut from all others and the platform for an hour of changes.
    Regions,
    /// The platform is away while versions are published; it returns.
    Source,
}

impl Storm {
    /// Every storm that takes at most a few minutes of simulated time.
    pub const USUAL: [Storm; 6] =
        [Storm::Rack, Storm::ZoneCut, Storm::Relays, Storm::Zone, Storm::Everything, Storm::Source];

    /// Every storm.
    pub const ALL: [Storm; 7] = [
        Storm::Rack,
        Storm::ZoneCut,
        Storm::Relays,
        Storm::Zone,
        Storm::Everything,
        Storm::Source,
        Storm::Regions,
    ];

    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Storm::ZoneCut => "zone-cut",
            Storm::Relays => "relays",
            Storm::Zone => "zone",
            Storm::Everything => "everything",
            Storm::Source => "source",
            Storm::Rack => "rack",
            Storm::Regions => "regions",
        }
    }
}

/// What a storm came to.
#[derive(Clone, Debug, Serialize)]
pub struct StormFigures {
    /// The storm's name.
    pub storm: &'static str,
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
    pub across_bytes: u64,
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
    pub smallest_across_bytes: f64,
    /// Bytes between regions that carry a version, for each of the smallest.
    pub versions_to_smallest: f64,
    /// All bytes between regions for each version, for each of the smallest.
    pub across_to_smallest: f64,
    /// Storms.
    pub storms: Vec<StormFigures>,
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
    pub ours: Outcome,
    /// Every node polls the whole document.
    pub naive: Outcome,
}

/// Runs both ways over the same links and the same changes.
pub fn compare(setup: &Setup, plan: &Plan, storms: &[Storm]) -> Comparison {
    let size = setup.size;
    let ours = ours(setup, plan, storms);
    let naive = naive(setup, plan, storms);
    let Size { nodes, services, zones, regions } = size;
    Comparison { nodes, services, zones, regions, ours, naive }
}

/// Runs the system.
pub fn ours(setup: &Setup, plan: &Plan, storms: &[Storm]) -> Outcome {
    let before = (setup.memory)();
    let mut fleet = Fleet::new(setup.clone());
    let started = start(&mut fleet);
    let start_calls_peak = fleet.take_peak();
    let mut figures = change(&mut fleet, plan);
    let bytes = (setup.memory)().saturating_sub(before);
    figures.kb_per_node = bytes as f64 / 1_024.0 / setup.size.nodes as f64;
    let smallest = smallest(setup, plan);
    let across_to_smallest = figures.across_bytes_per_version / smallest;
    let versions_to_smallest = figures.across_version_bytes / smallest;
    let storms = storms.iter().map(|storm| weather(&mut fleet, *storm)).collect();
    let started_ms = started.map(millis);
    Outcome {
        started_ms,
        start_calls_peak,
        figures,
        smallest_across_bytes: smallest,
        versions_to_smallest,
        across_to_smallest,
        storms,
    }
}

fn naive(setup: &Setup, plan: &Plan, storms: &[Storm]) -> Outcome {
    let baseline = || Baseline::new(setup.size, setup.profile, setup.seed);
    let figures = baseline().run(plan.versions, plan.pause);
    let smallest = smallest(setup, plan);
    let across_to_smallest = figures.across_bytes_per_version / smallest;
    let all: Vec<usize> = (0..setup.size.nodes).collect();
    let start = baseline().measure_restart("everything", &all);
    let mut storm_figures = Vec::new();
    for storm in storms {
        match storm {
            Storm::Zone => {
                let zone = nodes_in_zone(&setup.size, 1);
                storm_figures.push(baseline().measure_restart(storm.name(), &zone));
            }
            Storm::Everything => storm_figures.push(start.clone()),
            _ => {}
        }
    }
    Outcome {
        started_ms: start.recovered_ms,
        start_calls_peak: start.platform_calls_peak,
        figures,
        smallest_across_bytes: smallest,
        versions_to_smallest: across_to_smallest,
        across_to_smallest,
        storms: storm_figures,
    }
}

/// Starts every process at the same moment.
pub fn start(fleet: &mut Fleet) -> Option<Duration> {
    let all = (0..fleet.size().nodes).collect();
    let now = fleet.now();
    fleet.plan(Duration::ZERO, Action::Start(all));
    fleet.run_until(now);
    fleet.run_until_held(1, PATIENCE)
}

/// Publishes the plan's versions and measures.
pub fn change(fleet: &mut Fleet, plan: &Plan) -> Figures {
    fleet.run_for(SETTLING);
    fleet.convergence().reset();
    fleet.take_peak();
    fleet.reset_loads();
    let (traffic, calls, cpu) = (fleet.traffic(), fleet.calls(), cpu_time());
    let span = plan.pause * plan.versions as u32;
    for index in 0..plan.versions {
        fleet.plan(plan.pause * index as u32, Action::Publish(Edition::Change));
    }
    plan_restarts(fleet, plan, span);
    fleet.run_for(span);
    let used = cpu_time() - cpu;
    let sent = fleet.traffic().since(&traffic);
    let now = fleet.calls();
    let nodes = fleet.size().nodes;
    let roles = RoleFigures::all(&fleet.loads(), span);
    let kinds = fleet.across_kinds().clone();
    // The last version gets its time too; the rates are over the span before.
    let last = fleet.last_good();
    fleet.run_until_held(last, PATIENCE);
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
        fleet.plan(at, Action::Kill(vec![node]));
        fleet.plan(at + Duration::from_secs(1), Action::Start(vec![node]));
    }
}

/// Puts a settled fleet through a storm and waits until it has recovered.
pub fn weather(fleet: &mut Fleet, storm: Storm) -> StormFigures {
    fleet.run_for(SETTLING);
    fleet.take_peak();
    let (traffic, calls) = (fleet.traffic(), fleet.calls());
    break_and_heal(fleet, storm);
    let last = fleet.last_good();
    let recovered = fleet.run_until_held(last, PATIENCE);
    let sent = fleet.traffic().since(&traffic);
    let now = fleet.calls();
    StormFigures {
        storm: storm.name(),
        recovered_ms: recovered.map(millis),
        behind: fleet.behind(last),
        platform_calls_peak: now.peak,
        platform_over_limit: now.over_limit - calls.over_limit,
        across_bytes: sent.bytes[Link::CrossRegion as usize],
        bytes_per_node: sent.bytes.iter().sum::<u64>() as f64 / fleet.size().nodes as f64,
    }
}

/// Breaks things, publishes, and returns at the moment of the heal.
fn break_and_heal(fleet: &mut Fleet, storm: Storm) {
    let publish = || Action::Publish(Edition::Change);
    let now = |fleet: &mut Fleet, action: Action| {
        fleet.plan(Duration::ZERO, action);
        fleet.run_until(fleet.now());
    };
    let size = fleet.size();
    match storm {
        Storm::ZoneCut => {
            now(fleet, Action::CutZone(1));
            now(fleet, Action::Cut(1, None));
            fleet.plan(CUT / 2, publish());
            fleet.run_for(CUT);
            now(fleet, Action::HealLinks);
        }
        Storm::Relays => {
            let relays = fleet.relays(Some(1.min(size.regions as u16 - 1)));
            now(fleet, Action::Kill(relays.clone()));
            // Recovery is measured from here: the rest of the region must find other ways.
            fleet.plan(AWAY, Action::Start(relays));
            now(fleet, publish());
        }
        Storm::Zone | Storm::Everything => {
            let nodes = match storm {
                Storm::Zone => nodes_in_zone(&size, 1),
                _ => (0..size.nodes).collect(),
            };
            now(fleet, Action::Kill(nodes.clone()));
            fleet.plan(AWAY / 2, publish());
            fleet.run_for(AWAY);
            now(fleet, Action::Start(nodes));
        }
        Storm::Rack => {
            let rack = nodes_in_zone(&size, 1).into_iter().take(RACK);
            now(fleet, Action::Kill(rack.collect()));
            now(fleet, publish());
        }
        Storm::Regions => {
            let region = size.regions as u16 - 1;
            let zones: Vec<u16> =
                (0..size.zones as u16).filter(|z| size.place_of(*z).region == region).collect();
            for zone in zones {
                now(fleet, Action::Cut(zone, None));
            }
            for other in 0..region {
                now(fleet, Action::CutRegions(region, other));
            }
            for index in 0..APART_VERSIONS {
                fleet.plan(APART / APART_VERSIONS * index, publish());
            }
            fleet.run_for(APART);
            now(fleet, Action::HealLinks);
        }
        Storm::Source => {
            now(fleet, Action::Platform(super::platform::Health::Down));
            fleet.plan(CUT, publish());
            fleet.run_for(CUT * 2);
            now(fleet, Action::Platform(super::platform::Health::Up));
        }
    }
}

/// Bytes between regions that a version needs at least, on average over the plan's.
fn smallest(setup: &Setup, plan: &Plan) -> f64 {
    let mut workload = super::workload::Workload::new(setup.size, setup.seed);
    workload.publish();
    let bytes: u64 = (0..plan.versions).map(|_| workload.change().smallest).sum();
    let copies = setup.size.regions.saturating_sub(1).max(1) as f64;
    bytes as f64 / plan.versions.max(1) as f64 * copies
}

fn pause_of(changes_per_day: u64) -> Duration {
    Duration::from_secs(86_400) / changes_per_day as u32
}

fn millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1_000.0
}
