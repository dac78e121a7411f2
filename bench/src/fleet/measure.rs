//! What a run measures, the same for the system and for the naive baseline.

use super::slot::Load;
use crate::links::Traffic;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::status::Role;

/// Longest convergence that is told apart, in microseconds: one hour.
const MAX_CONVERGENCE_US: u64 = 3_600_000_000;

/// How long versions take to be in force, one sample for each version and node.
#[derive(Debug)]
pub struct Convergence {
    published: Vec<(u64, Time)>,
    held: Vec<u64>,
    /// The highest version that each node has held, and its last start.
    highest_held: Vec<(u64, Time)>,
    samples: Histogram<u64>,
}

impl Convergence {
    /// A measure of so many nodes that hold nothing yet.
    pub fn new(nodes: usize) -> Convergence {
        // The bounds are constants that the histogram accepts.
        let samples = Histogram::new_with_bounds(1, MAX_CONVERGENCE_US, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are valid"));
        let highest_held = vec![(0, Time::ZERO); nodes];
        Convergence { published: Vec::new(), held: vec![0; nodes], highest_held, samples }
    }

    /// A version was published.
    pub fn record_published(&mut self, version: u64, at: Time) {
        self.published.push((version, at));
    }

    /// A version came into force on a node; it stands for the ones it skipped too. A node that
    /// was away when a version was published has had the time since its start.
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

    /// A node started anew and lost what it held.
    pub fn record_restart(&mut self, node: usize, at: Time) {
        self.held[node] = 0;
        self.highest_held[node].1 = at;
    }

    /// Forgets the samples and the versions published so far.
    pub fn reset(&mut self) {
        self.samples.reset();
        self.published.clear();
    }

    /// The version that a node holds; zero if none.
    pub fn held(&self, node: usize) -> u64 {
        self.held[node]
    }

    /// How many nodes hold less than `version`.
    pub fn behind(&self, version: u64) -> usize {
        self.held.iter().filter(|held| **held < version).count()
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        to_millis(self.samples.value_at_quantile(quantile))
    }
}

/// What one run came to. Rates are over the measured span of simulated time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Versions published.
    pub versions: usize,
    /// Half of all versions and nodes took at most this long.
    pub p50_ms: f64,
    /// 99 in 100 took at most this long.
    pub p99_ms: f64,
    /// The slowest node took this long.
    pub max_ms: f64,
    /// Nodes without the last version at the end.
    pub behind: usize,
    /// Control bytes a node and second, sent and received once each.
    pub bytes_per_node_s: f64,
    /// The same within zones.
    pub zone_bytes_per_node_s: f64,
    /// The same between zones of a region.
    pub region_bytes_per_node_s: f64,
    /// The same between regions.
    #[serde(rename = "across_bytes_per_node_s")]
    pub cross_region_bytes_per_node_s: f64,
    /// Bytes a second between regions, all nodes together.
    #[serde(rename = "across_bytes_s")]
    pub cross_region_bytes_s: f64,
    /// Bytes between regions for each version published, everything included.
    #[serde(rename = "across_bytes_per_version")]
    pub cross_region_bytes_per_version: f64,
    /// The same, only what carries versions: notices, pulls, deltas and reads of the platform.
    #[serde(rename = "across_version_bytes")]
    pub cross_region_version_bytes: f64,
    /// Bytes a second between regions by kind of message.
    #[serde(rename = "across_kinds")]
    pub cross_region_kinds: IndexMap<&'static str, f64>,
    /// Messages sent a node and second.
    pub messages_per_node_s: f64,
    /// Platform calls a second, on average.
    pub platform_calls_per_s: f64,
    /// Most platform calls in one second, waiting watches counted.
    pub platform_calls_peak: u64,
    /// Platform calls refused as too many.
    pub platform_over_limit: u64,
    /// Processor time of decisions and in-memory links, a node and second.
    pub cpu_us_per_node_s: f64,
    /// Memory that the fleet takes, divided by its nodes; nodes in one process share some content.
    pub kb_per_node: f64,
    /// What the nodes of each role carried.
    pub roles: Vec<RoleFigures>,
}

impl Figures {
    /// Figures of convergence.
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

    /// The same with what went over the links of `nodes` nodes in `span`.
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

    /// The same with what went between regions, by kind of message.
    pub fn with_kinds(mut self, kinds: &IndexMap<&'static str, u64>, span: Duration) -> Figures {
        let version_kinds = ["notice", "pull", "delta", "platform"];
        let bytes: u64 = version_kinds.iter().filter_map(|kind| kinds.get(kind)).sum();
        self.cross_region_version_bytes = bytes as f64 / self.versions.max(1) as f64;
        self.cross_region_kinds =
            kinds.iter().map(|(kind, bytes)| (*kind, *bytes as f64 / span.as_secs_f64())).collect();
        self
    }

    /// The same with the calls to the platform in `span`.
    pub fn with_calls(mut self, calls: u64, over_limit: u64, peak: u64, span: Duration) -> Figures {
        self.platform_calls_per_s = calls as f64 / span.as_secs_f64();
        self.platform_calls_peak = peak;
        self.platform_over_limit = over_limit;
        self
    }

    /// The same with the processor time used for `nodes` nodes in `span` of simulated time.
    pub fn with_usage(mut self, cpu: Duration, nodes: usize, span: Duration) -> Figures {
        self.cpu_us_per_node_s = cpu.as_micros() as f64 / nodes as f64 / span.as_secs_f64();
        self
    }
}

/// What the nodes of one role carried, a node and second.
#[derive(Clone, Debug, Serialize)]
pub struct RoleFigures {
    /// The role.
    pub role: Role,
    /// Nodes in it.
    pub nodes: usize,
    /// Bytes sent.
    pub sent_s: f64,
    /// Bytes received.
    pub received_s: f64,
    /// Bytes sent and received by the busiest of them.
    pub most_bytes_s: f64,
    /// Messages sent and received.
    pub messages_s: f64,
    /// Time of the decider, in microseconds.
    pub decider_us_s: f64,
}

impl RoleFigures {
    /// The figures of every role that a node has, over `span`.
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
            most_bytes_s: max_bytes as f64 / seconds,
            messages_s: mean(|load| load.messages as f64),
            decider_us_s: mean(|load| load.busy.as_secs_f64() * 1e6),
        }
    }
}

/// Processor time of this thread so far.
pub fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}

fn to_millis(us: u64) -> f64 {
    us as f64 / 1_000.0
}
