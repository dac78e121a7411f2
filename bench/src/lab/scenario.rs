//! What a run is made of: places, services, kinds of request and what goes wrong.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use sycamore_core::config::Class;
use sycamore_core::{Code, Fault, Name, Result};
use sycamore_tools::input;

/// Most nodes of a scenario.
const MAX_NODES: usize = 2_000;

/// Longest run, in seconds.
const MAX_SECONDS: f64 = 600.0;

/// A scenario. Times are in the units of the fields' names.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is called in reports.
    pub name: String,
    /// Length of the run.
    pub seconds: f64,
    /// Time at the start that is left out of the figures.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Ways between places.
    #[serde(default)]
    pub links: Links,
    /// What a node spends on one message of a call.
    #[serde(default)]
    pub message_us: u64,
    /// Retries of the whole fleet in ten seconds, in percent of first attempts, and beside these.
    #[serde(default = "default_retries")]
    pub retries: Retries,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceModel>,
    /// Kinds of request by name.
    pub kinds: BTreeMap<Name, Kind>,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// One way between places.
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
    /// What the link of each VM takes; 0 for one that is never full.
    pub vm_mbps: f64,
}

/// What the operators allow the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Share of first attempts.
    pub percent: u32,
    /// Beside that share.
    pub reserve: u32,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its region.
    pub region: Name,
    /// Its part of all callers, compared with the sum over zones.
    pub callers: f64,
}

/// A service and how its targets behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Requests that wait at a target; more are refused by it.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// How long the targets take for the same work, in turn, as a multiple.
    #[serde(default = "default_speeds")]
    pub speeds: Vec<f64>,
    /// How much longer work takes when the last slot is in use, in percent.
    #[serde(default)]
    pub near_full_percent: f64,
    /// How long a target is slow after its start, and how much longer work takes at first.
    #[serde(default)]
    pub cold: Cold,
    /// Targets by zone.
    pub targets: BTreeMap<Name, usize>,
}

/// The first seconds of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// For how long.
    pub seconds: f64,
    /// How much longer work takes, as a multiple.
    pub factor: f64,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Where it goes.
    pub service: Name,
    /// Requests a second over all zones; 0 for one that only targets send.
    #[serde(default)]
    pub per_s: f64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Order of admission.
    pub class: Class,
    /// Order within the class.
    #[serde(default)]
    pub rank: u8,
    /// Work without the calls that it makes: mean, and spread of its logarithm.
    pub work_ms: f64,
    /// Spread of the logarithm of the work.
    #[serde(default)]
    pub spread: f64,
    /// Size of the answer.
    pub answer_bytes: u64,
    /// Within this time an answer is worth most.
    pub objective_ms: u32,
    /// How long its caller waits over all of its attempts.
    pub deadline_ms: u32,
    /// Longest that the operators let one attempt of a caller take.
    pub timeout_ms: u32,
    /// Targets that one attempt of a caller may reach.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// How often a caller asks again.
    #[serde(default)]
    pub caller_retries: u32,
    /// What an answer in time is worth, and one that is late.
    #[serde(default)]
    pub worth: f64,
    /// Worth of an answer that is late.
    #[serde(default)]
    pub late_worth: f64,
    /// Calls that a run makes, one after the other.
    #[serde(default)]
    pub calls: Vec<NestedCall>,
}

/// Calls that a run makes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Their kind.
    pub kind: Name,
    /// How many.
    pub times: u32,
    /// Part of the runs that make them.
    pub share: f64,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trouble {
    /// When, from the start of the run.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// More callers, in one zone or in all.
    Burst {
        /// As a multiple.
        factor: f64,
        /// Where.
        zone: Option<Name>,
    },
    /// A share of one zone's callers moves to another.
    Shift {
        /// From where.
        from: Name,
        /// To where.
        to: Name,
        /// Which part of them.
        share: f64,
    },
    /// Callers ask again at once, and more often.
    Abuse {
        /// Which part of them.
        share: f64,
        /// How often.
        times: u32,
    },
    /// Callers leave before they are answered.
    GiveUp {
        /// Which part of them.
        share: f64,
        /// After how long.
        after_ms: u32,
    },
    /// Targets take longer.
    Slow {
        /// Of which service.
        service: Name,
        /// Which part of them.
        share: f64,
        /// As a multiple.
        factor: f64,
    },
    /// Targets fail a part of their requests.
    Grey {
        /// Of which service.
        service: Name,
        /// Which part of them.
        share: f64,
        /// Which part of the requests.
        errors: f64,
    },
    /// Targets refuse a part of their requests without running them.
    Shed {
        /// Of which service.
        service: Name,
        /// Which part of them.
        share: f64,
        /// Which part of the requests.
        part: f64,
    },
    /// Targets run requests whose answers are lost without a sign.
    Mute {
        /// Of which service.
        service: Name,
        /// Which part of them.
        share: f64,
        /// Which part of the answers.
        part: f64,
    },
    /// VMs of a zone, or a part of all, are gone, and come back cold.
    Lost {
        /// Where; everywhere if absent.
        zone: Option<Name>,
        /// Which part of them.
        share: f64,
    },
    /// Targets leave as planned and come back after it.
    Leave {
        /// Of which service.
        service: Name,
        /// Which part of them.
        share: f64,
    },
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
    /// Reads and checks a file. The place of a fault is the file and the path of the field.
    pub fn read(path: &Path) -> Result<Scenario> {
        let scenario = Scenario::parse(&input::read(path)?);
        scenario.map_err(|fault| input::in_file(path, fault))
    }

    /// Reads and checks a text.
    pub fn parse(buf: &[u8]) -> Result<Scenario> {
        let scenario: Scenario = input::parse_json(buf, Code::InputInvalid)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The number of nodes, one beside each target.
    pub fn nodes(&self) -> usize {
        self.services.values().flat_map(|service| service.targets.values()).sum()
    }

    fn check(&self) -> Result<()> {
        positive("seconds", self.seconds, MAX_SECONDS)?;
        within("warm_up_s", self.warm_up_s, 0.0, self.seconds)?;
        if self.zones.is_empty() {
            return Err(wrong("zones", "none", "one at least"));
        }
        if !(1..=MAX_NODES).contains(&self.nodes()) {
            let allowed = format!("1 to {MAX_NODES} targets in all");
            return Err(wrong("services", self.nodes(), &allowed));
        }
        for (name, zone) in &self.zones {
            within(&format!("zones.{name}.callers"), zone.callers, 0.0, 1e6)?;
        }
        for (name, service) in &self.services {
            self.check_service(&format!("services.{name}"), service)?;
        }
        for (name, kind) in &self.kinds {
            self.check_kind(&format!("kinds.{name}"), kind)?;
        }
        for (index, trouble) in self.troubles.iter().enumerate() {
            self.check_trouble(&format!("troubles[{index}]"), trouble)?;
        }
        Ok(())
    }

    fn check_service(&self, place: &str, service: &ServiceModel) -> Result<()> {
        if service.slots == 0 {
            return Err(wrong(&format!("{place}.slots"), 0, "1 or more"));
        }
        if service.speeds.is_empty() || service.speeds.iter().any(|speed| *speed <= 0.0) {
            return Err(wrong(&format!("{place}.speeds"), "none above 0", "multiples above 0"));
        }
        for zone in service.targets.keys() {
            self.check_zone(&format!("{place}.targets.{zone}"), zone)?;
        }
        Ok(())
    }

    fn check_kind(&self, place: &str, kind: &Kind) -> Result<()> {
        if !self.services.contains_key(&kind.service) {
            let known: Vec<&str> = self.services.keys().map(Name::as_str).collect();
            return Err(wrong(&format!("{place}.service"), &kind.service, &known.join(", ")));
        }
        within(&format!("{place}.per_s"), kind.per_s, 0.0, 1e6)?;
        positive(&format!("{place}.work_ms"), kind.work_ms, 60_000.0)?;
        within(&format!("{place}.spread"), kind.spread, 0.0, 3.0)?;
        for (index, call) in kind.calls.iter().enumerate() {
            let known = self.kinds.get(&call.kind);
            let leaf = known.is_some_and(|known| known.calls.is_empty());
            if !leaf {
                let allowed = "a kind that makes no calls itself";
                return Err(wrong(&format!("{place}.calls[{index}].kind"), &call.kind, allowed));
            }
            within(&format!("{place}.calls[{index}].share"), call.share, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn check_trouble(&self, place: &str, trouble: &Trouble) -> Result<()> {
        within(&format!("{place}.at_s"), trouble.at_s, 0.0, self.seconds)?;
        positive(&format!("{place}.for_s"), trouble.for_s, MAX_SECONDS)?;
        match &trouble.what {
            What::Burst { zone: Some(zone), .. } | What::Lost { zone: Some(zone), .. } => {
                self.check_zone(&format!("{place}.zone"), zone)
            }
            What::Shift { from, to, .. } => {
                self.check_zone(&format!("{place}.from"), from)?;
                self.check_zone(&format!("{place}.to"), to)
            }
            What::Slow { service, .. }
            | What::Grey { service, .. }
            | What::Shed { service, .. }
            | What::Mute { service, .. }
            | What::Leave { service, .. } => match self.services.contains_key(service) {
                true => Ok(()),
                false => Err(wrong(&format!("{place}.service"), service, "a service named above")),
            },
            What::Burst { zone: None, .. }
            | What::Lost { zone: None, .. }
            | What::Abuse { .. }
            | What::GiveUp { .. } => Ok(()),
        }
    }

    fn check_zone(&self, place: &str, zone: &Name) -> Result<()> {
        match self.zones.contains_key(zone) {
            true => Ok(()),
            false => Err(wrong(place, zone, "a zone named in zones")),
        }
    }
}

fn positive(place: &str, value: f64, most: f64) -> Result<()> {
    match value > 0.0 && value <= most {
        true => Ok(()),
        false => Err(wrong(place, value, &format!("above 0, at most {most}"))),
    }
}

fn within(place: &str, value: f64, least: f64, most: f64) -> Result<()> {
    match value >= least && value <= most {
        true => Ok(()),
        false => Err(wrong(place, value, &format!("{least} to {most}"))),
    }
}

fn wrong(place: &str, found: impl std::fmt::Display, allowed: &str) -> Fault {
    let detail = format!("found {found}; allowed: {allowed}");
    Fault::new(Code::InputInvalid).with_location(place).with_detail(detail)
}
