//! Measurements of a run, shared by the fleet and the polling baseline.

use super::slot::Load;
use crate::links::Traffic;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::status::Role;

/// Upper bound of the convergence histogram: one hour.
const MAX_CONVERGENCE_US: u64 = 3_600_000_000;

/// Time from publication until a version is in force, with one sample per version and node.
#[derive(Debug)]
pub struct Convergence {
    published: Vec<(u64, Time)>,
    held: Vec<u64>,
    /// Highest version held by each node, and the time of its last start.
    highest_held: Vec<(u64, Time)>,
    samples: Histogram<u64>,
}

impl Convergence {
    pub fn new(nodes: usize) -> Convergence {
        // The bounds are valid constants.
        let samples = Histogram::new_with_bounds(1, MAX_CONVERGENCE_US, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are valid"));
        let highest_held = vec![(0, Time::ZERO); nodes];
        Convergence { published: Vec::new(), held: vec![0; nodes], highest_held, samples }
    }

    pub fn record_published(&mut self, version: u64, at: Time) {
        self.published.push((version, at));
    }

    /// Records that a version is in force on a node. Versions that the node skipped are sampled as
    /// well. For versions published before the node started, the time counts from its start.
    pub fn record_in_force(&mut self, node: usize, version: u64, at: Time) {
        self.held[node] = version;
        let (highest, started) = self.highest_held[node];
        self.highest_held[node].0 = highest.max(version);
        let newer = |(published, _): &&(u64, Time)| *published > highest;
        for (_, since) in self.published.iter().rev().take_while(newer) {
            let span = at.since(started.max(*since)).as_micros() as u64;
            self.samples.saturating_record(span.max(1));
        }
    }

    /// Records that a node has restarted and holds no version.
    pub fn record_restart(&mut self, node: usize, at: Time) {
        self.held[node] = 0;
        self.highest_held[node].1 = at;
    }

    /// Clears all samples and the list of published versions.
    pub fn reset(&mut self) {
        self.samples.reset();
        self.published.clear();
    }

    /// Version held by a node, or zero.
    pub fn held(&self, node: usize) -> u64 {
        self.held[node]
    }

    /// Number of nodes that hold a version older than `version`.
    pub fn behind(&self, version: u64) -> usize {
        self.held.iter().filter(|held| **held < version).count()
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        to_millis(self.samples.value_at_quantile(quantile))
    }
}

/// Results of one run. Rates refer to the measured span of simulated time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub versions: usize,
    /// Median convergence time over all versions and nodes.
    pub p50_ms: f64,
    /// 99th percentile of the convergence time.
    pub p99_ms: f64,
    /// Maximum convergence time.
    pub max_ms: f64,
    /// Nodes without the newest version at the end of the run.
    pub behind: usize,
    /// Control traffic per node in bytes/s; a message counts once, not for sender and receiver.
    pub bytes_per_node_s: f64,
    /// Control traffic within zones, in bytes/s per node.
    pub zone_bytes_per_node_s: f64,
    /// Control traffic between zones of the same region, in bytes/s per node.
    pub region_bytes_per_node_s: f64,
    /// Control traffic between regions, in bytes/s per node.
    #[serde(rename = "across_bytes_per_node_s")]
    pub cross_region_bytes_per_node_s: f64,
    /// Control traffic between regions, in bytes/s for the whole fleet.
    #[serde(rename = "across_bytes_s")]
    pub cross_region_bytes_s: f64,
    /// Control bytes between regions per published version.
    #[serde(rename = "across_bytes_per_version")]
    pub cross_region_bytes_per_version: f64,
    /// Bytes between regions per published version for version transfer only: notices, pulls,
    /// deltas and platform reads.
    #[serde(rename = "across_version_bytes")]
    pub cross_region_version_bytes: f64,
    /// Control traffic between regions by message kind, in bytes/s.
    #[serde(rename = "across_kinds")]
    pub cross_region_kinds: IndexMap<&'static str, f64>,
    pub messages_per_node_s: f64,
    /// Average rate of platform calls.
    pub platform_calls_per_s: f64,
    /// Maximum number of platform calls in one second, including pending watches.
    pub platform_calls_peak: u64,
    /// Platform calls rejected by the rate limit.
    pub platform_over_limit: u64,
    /// CPU time of the state machines and the simulated links per node, in µs/s.
    pub cpu_us_per_node_s: f64,
    /// Memory of the fleet divided by the number of nodes. Nodes in one process share some content.
    pub kb_per_node: f64,
    /// Load by node role.
    pub roles: Vec<RoleFigures>,
}

impl Figures {
    /// Creates figures with the convergence results only.
    pub fn new(convergence: &Convergence) -> Figures {
        let last = convergence.published.last().map_or(0, |(version, _)| *version);
        Figures {
            versions: convergence.published.len(),
            p50_ms: convergence.quantile_ms(0.5),
            p99_ms: convergence.quantile_ms(0.99),
            max_ms: to_millis(convergence.samples.max()),
            behind: convergence.behind(last),
            ..Figures::default()
        }
    }

    /// Adds the link traffic of `nodes` nodes during `span`.
    pub fn with_traffic(mut self, traffic: &Traffic, nodes: usize, span: Duration) -> Figures {
        let per_node_s = |count: u64| count as f64 / nodes as f64 / span.as_secs_f64();
        let [zone, region, cross_region] = traffic.bytes;
        self.bytes_per_node_s = per_node_s(zone + region + cross_region);
        self.zone_bytes_per_node_s = per_node_s(zone);
        self.region_bytes_per_node_s = per_node_s(region);
        self.cross_region_bytes_per_node_s = per_node_s(cross_region);
        self.cross_region_bytes_s = cross_region as f64 / span.as_secs_f64();
        self.cross_region_bytes_per_version = cross_region as f64 / self.versions.max(1) as f64;
        self.messages_per_node_s = per_node_s(traffic.messages.iter().sum());
        self
    }

    /// Adds the traffic between regions by message kind.
    pub fn with_kinds(mut self, kinds: &IndexMap<&'static str, u64>, span: Duration) -> Figures {
        let version_kinds = ["notice", "pull", "delta", "platform"];
        let bytes: u64 = version_kinds.iter().filter_map(|kind| kinds.get(kind)).sum();
        self.cross_region_version_bytes = bytes as f64 / self.versions.max(1) as f64;
        self.cross_region_kinds =
            kinds.iter().map(|(kind, bytes)| (*kind, *bytes as f64 / span.as_secs_f64())).collect();
        self
    }

    /// Adds the platform calls during `span`.
    pub fn with_calls(mut self, calls: u64, over_limit: u64, peak: u64, span: Duration) -> Figures {
        self.platform_calls_per_s = calls as f64 / span.as_secs_f64();
        self.platform_calls_peak = peak;
        self.platform_over_limit = over_limit;
        self
    }

    /// Adds the CPU time spent on `nodes` nodes during `span` of simulated time.
    pub fn with_usage(mut self, cpu: Duration, nodes: usize, span: Duration) -> Figures {
        self.cpu_us_per_node_s = cpu.as_micros() as f64 / nodes as f64 / span.as_secs_f64();
        self
    }
}

/// Average load of the nodes of one role.
#[derive(Clone, Debug, Serialize)]
pub struct RoleFigures {
    pub role: Role,
    pub nodes: usize,
    pub sent_s: f64,
    pub received_s: f64,
    /// Bytes sent and received per second by the node with the most traffic.
    #[serde(rename = "most_bytes_s")]
    pub max_bytes_s: f64,
    pub messages_s: f64,
    /// Wall-clock time spent in the state machines, in µs/s.
    #[serde(rename = "decider_us_s")]
    pub state_machine_us_s: f64,
}

impl RoleFigures {
    /// Computes the load of every role that at least one node has.
    pub fn all(loads: &[(Role, Load)], span: Duration) -> Vec<RoleFigures> {
        let roles = [Role::RegionReader, Role::ZoneRelay, Role::Relay, Role::Leaf];
        let of = |role| loads.iter().filter(move |(r, _)| *r == role).map(|(_, load)| *load);
        let figures = |role| RoleFigures::new(role, &of(role).collect::<Vec<Load>>(), span);
        roles.into_iter().map(figures).filter(|figures| figures.nodes > 0).collect()
    }

    fn new(role: Role, loads: &[Load], span: Duration) -> RoleFigures {
        let nodes = loads.len();
        let seconds = span.as_secs_f64();
        let mean = |of: fn(&Load) -> f64| {
            loads.iter().map(of).sum::<f64>() / nodes.max(1) as f64 / seconds
        };
        let max_bytes = loads.iter().map(|load| load.sent + load.received).max().unwrap_or(0);
        RoleFigures {
            role,
            nodes,
            sent_s: mean(|load| load.sent as f64),
            received_s: mean(|load| load.received as f64),
            max_bytes_s: max_bytes as f64 / seconds,
            messages_s: mean(|load| load.messages as f64),
            state_machine_us_s: mean(|load| load.busy.as_secs_f64() * 1e6),
        }
    }
}

/// CPU time of the current thread.
pub fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Resident memory of this process.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}

fn to_millis(us: u64) -> f64 {
    us as f64 / 1_000.0
}
