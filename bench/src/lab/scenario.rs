//! Scenario definition: zones, services, kinds of request and faults.

mod checks;
mod faults;

pub use faults::{Trouble, TroubleKind};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use sycamore_core::config::Class;
use sycamore_core::{Code, Name, Result};
use sycamore_tools::input;

/// A scenario. Field names give the units.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name used in reports.
    pub name: String,
    /// Duration of the run.
    pub seconds: f64,
    /// Initial period excluded from the results.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Latency and bandwidth of links.
    #[serde(default)]
    pub links: Links,
    /// Processing time of a node per message of a call.
    #[serde(default)]
    pub message_us: u64,
    /// Retry budget of the fleet per ten seconds.
    #[serde(default = "default_retries")]
    pub retries: Retries,
    /// Oscillation of the request rate.
    #[serde(default)]
    pub wave: Wave,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceModel>,
    /// Kinds of request, by name.
    pub kinds: BTreeMap<Name, Kind>,
    /// Faults injected during the run.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// One-way latencies, and the bandwidth of VMs.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// Within a zone.
    pub zone_ms: f64,
    /// Between zones of a region.
    pub region_ms: f64,
    /// Between regions.
    pub across_ms: f64,
    /// Between a caller and its node.
    pub caller_ms: f64,
    /// Bandwidth of each VM in Mbit/s; 0 for unlimited.
    pub vm_mbps: f64,
}

/// Sinusoidal oscillation of the request rate of each zone around its mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Amplitude as a share of the mean; 0 for a constant rate.
    pub swing: f64,
    /// Period, above 0 if the rate oscillates.
    pub period_s: f64,
}

/// Retry budget of the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries in percent of first attempts.
    pub percent: u32,
    /// Retries allowed in addition to `percent`.
    pub reserve: u32,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region of the zone.
    pub region: Name,
    /// Weight of the zone in the distribution of callers.
    pub callers: f64,
    /// Lag of the zone's oscillation, as a share of the period.
    #[serde(default)]
    pub phase: f64,
}

/// A service and the model of its targets.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// Concurrency limit of a target.
    pub slots: u32,
    /// Queue length of a target. It rejects requests when the queue is full.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Work time multipliers, assigned to the targets in turn.
    #[serde(default = "default_speeds")]
    pub speeds: Vec<f64>,
    /// Increase in work time when all slots are in use, in percent.
    #[serde(default)]
    pub near_full_percent: f64,
    /// Slowdown of a target after its start.
    #[serde(default)]
    pub cold: Cold,
    /// Bandwidth of most of its VMs in Mbit/s, instead of that of all VMs; 0 for unlimited.
    #[serde(default)]
    pub vm_mbps: Option<f64>,
    /// VMs with another bandwidth.
    #[serde(default)]
    pub fast_links: FastLinks,
    /// Periods in which targets are slow and state it as their pace.
    #[serde(default)]
    pub slow_periods: SlowPeriods,
    /// Runs that take longer than others.
    #[serde(default)]
    pub long_runs: LongRuns,
    /// Number of targets by zone.
    pub targets: BTreeMap<Name, usize>,
}

/// Slowdown of a target after its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Duration of the slowdown.
    pub seconds: f64,
    /// Work time multiplier.
    pub factor: f64,
}

/// VMs of a service with another bandwidth than most.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FastLinks {
    /// Share of the VMs, spread evenly over the targets in their order.
    pub share: f64,
    /// Bandwidth in Mbit/s; 0 for unlimited.
    pub mbps: f64,
}

/// Periods in which a target is slow. They start at random times.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SlowPeriods {
    /// Mean share of the targets that are slow at any moment, below 1; 0 for none.
    pub share: f64,
    /// Work time multiplier.
    pub factor: f64,
    /// Duration of a period.
    pub for_ms: f64,
}

/// Runs that take longer than others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LongRuns {
    /// Share of the runs; 0 for none.
    pub share: f64,
    /// Work time multiplier.
    pub factor: f64,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Service that handles it.
    pub service: Name,
    /// Requests per second over all zones; 0 for a kind that is only called by runs.
    #[serde(default)]
    pub per_s: f64,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Admission class.
    pub class: Class,
    /// Admission priority within the class.
    #[serde(default)]
    pub rank: u8,
    /// Mean work time, excluding nested calls.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the work time.
    #[serde(default)]
    pub spread: f64,
    /// Size of the response body.
    pub answer_bytes: u64,
    /// Latency objective, within which a response has its full worth.
    pub objective_ms: u32,
    /// Deadline of the caller over all of its attempts.
    pub deadline_ms: u32,
    /// Timeout of one attempt of a caller, as configured on the route.
    pub timeout_ms: u32,
    /// Regions in which it may run; any if empty.
    #[serde(default)]
    pub regions: Vec<Name>,
    /// Maximum number of forwards per attempt of a caller.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Number of retries by a caller.
    #[serde(default)]
    pub caller_retries: u32,
    /// Worth of a response within the objective.
    #[serde(default)]
    pub worth: f64,
    /// Worth of a later response.
    #[serde(default)]
    pub late_worth: f64,
    /// Nested calls of a run, made sequentially.
    #[serde(default)]
    pub calls: Vec<NestedCall>,
}

/// Nested calls of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Kind of the calls.
    pub kind: Name,
    /// Number of calls.
    pub times: u32,
    /// Share of the runs that make the calls.
    pub share: f64,
}

fn default_retries() -> Retries {
    Retries { percent: 20, reserve: 60 }
}

fn default_queue() -> u32 {
    24
}

fn default_speeds() -> Vec<f64> {
    vec![1.0]
}

fn default_attempts() -> u32 {
    2
}

impl Default for Links {
    fn default() -> Links {
        Links { zone_ms: 0.1, region_ms: 0.5, across_ms: 20.0, caller_ms: 1.0, vm_mbps: 0.0 }
    }
}

impl Scenario {
    /// Reads and validates a file. Errors give the file and the path of the field.
    pub fn read(path: &Path) -> Result<Scenario> {
        let scenario = Scenario::parse(&input::read(path)?);
        scenario.map_err(|fault| input::in_file(path, fault))
    }

    /// Parses and validates JSON text.
    pub fn parse(buf: &[u8]) -> Result<Scenario> {
        let scenario: Scenario = input::parse_json(buf, Code::InputInvalid)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Number of nodes, which equals the number of targets.
    pub fn nodes(&self) -> usize {
        self.services.values().flat_map(|service| service.targets.values()).sum()
    }

    /// Zone weights in the distribution of callers some seconds after the start, with the wave, the
    /// bursts and the shifts of that time. A sum above that of [`Zone::callers`] raises the rate.
    pub fn zone_weights(&self, at_s: f64) -> Vec<f64> {
        let zones = self.zones.values();
        let mut weights: Vec<f64> =
            zones.map(|zone| zone.callers * self.wave.factor(at_s, zone)).collect();
        let index = |name: &Name| self.zones.keys().position(|zone| zone == name);
        let active = |of: &&Trouble| of.at_s <= at_s && at_s < of.at_s + of.for_s;
        for trouble in self.troubles.iter().filter(active) {
            if let TroubleKind::Shift { from, to, share } = &trouble.what
                && let (Some(from), Some(to)) = (index(from), index(to))
            {
                let moved = weights[from] * share;
                weights[from] -= moved;
                weights[to] += moved;
            }
        }
        for trouble in self.troubles.iter().filter(active) {
            if let TroubleKind::Burst { factor, zone } = &trouble.what {
                let zone = zone.as_ref().and_then(index);
                let range = zone.map_or(0..weights.len(), |zone| zone..zone + 1);
                weights[range].iter_mut().for_each(|weight| *weight *= factor);
            }
        }
        weights
    }

    /// Ends the run after `seconds`. Faults that would start later are left out.
    pub fn shorten(&mut self, seconds: f64) -> Result<()> {
        self.seconds = seconds;
        self.troubles.retain(|trouble| trouble.at_s < seconds);
        self.check()
    }
}

impl Wave {
    /// Request rate of a zone relative to its mean, some seconds after the start of the run.
    pub fn factor(&self, at_s: f64, zone: &Zone) -> f64 {
        match self.swing > 0.0 {
            true => {
                let periods = at_s / self.period_s - zone.phase;
                1.0 + self.swing * (std::f64::consts::TAU * periods).sin()
            }
            false => 1.0,
        }
    }
}

impl ServiceModel {
    /// Bandwidth of the VM of a target, by its index within the service, in Mbit/s.
    pub fn vm_mbps(&self, rank: usize, links: &Links) -> f64 {
        let fast_before = |rank: usize| (rank as f64 * self.fast_links.share + 1e-9).floor();
        match fast_before(rank + 1) > fast_before(rank) {
            true => self.fast_links.mbps,
            false => self.vm_mbps.unwrap_or(links.vm_mbps),
        }
    }
}
