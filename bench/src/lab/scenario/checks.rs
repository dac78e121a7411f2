//! Validation of a scenario.

use super::{Kind, Scenario, ServiceModel, Trouble, TroubleKind};
use sycamore_core::{Code, Fault, Name, Result};

/// Maximum number of nodes.
const MAX_NODES: usize = 2_000;

/// Maximum duration of a run, in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Maximum multiplier of a work time.
const MAX_FACTOR: f64 = 1_000.0;

/// Maximum bandwidth of a VM.
const MAX_MBPS: f64 = 1e6;

impl Scenario {
    pub(super) fn check(&self) -> Result<()> {
        check_positive("seconds", self.seconds, MAX_SECONDS)?;
        check_range("warm_up_s", self.warm_up_s, 0.0, self.seconds)?;
        if self.zones.is_empty() {
            return Err(invalid("zones", "none", "at least one zone"));
        }
        if !(1..=MAX_NODES).contains(&self.nodes()) {
            let allowed = format!("1 to {MAX_NODES} targets in total");
            return Err(invalid("services", self.nodes(), &allowed));
        }
        check_range("wave.swing", self.wave.swing, 0.0, 1.0)?;
        if self.wave.swing > 0.0 {
            check_positive("wave.period_s", self.wave.period_s, MAX_SECONDS)?;
        }
        for (name, zone) in &self.zones {
            check_range(&format!("zones.{name}.callers"), zone.callers, 0.0, 1e6)?;
            check_range(&format!("zones.{name}.phase"), zone.phase, 0.0, 1.0)?;
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

    fn check_service(&self, field: &str, service: &ServiceModel) -> Result<()> {
        if service.slots == 0 {
            return Err(invalid(&format!("{field}.slots"), 0, "1 or more"));
        }
        if service.speeds.is_empty() || service.speeds.iter().any(|speed| *speed <= 0.0) {
            return Err(invalid(
                &format!("{field}.speeds"),
                "an empty list or a value of 0 or less",
                "multipliers above 0",
            ));
        }
        check_model(field, service)?;
        for zone in service.targets.keys() {
            self.check_zone(&format!("{field}.targets.{zone}"), zone)?;
        }
        Ok(())
    }

    fn check_kind(&self, field: &str, kind: &Kind) -> Result<()> {
        if !self.services.contains_key(&kind.service) {
            let known: Vec<&str> = self.services.keys().map(Name::as_str).collect();
            return Err(invalid(&format!("{field}.service"), &kind.service, &known.join(", ")));
        }
        check_range(&format!("{field}.per_s"), kind.per_s, 0.0, 1e6)?;
        check_positive(&format!("{field}.work_ms"), kind.work_ms, 60_000.0)?;
        check_range(&format!("{field}.spread"), kind.spread, 0.0, 3.0)?;
        for (index, call) in kind.calls.iter().enumerate() {
            let known = self.kinds.get(&call.kind);
            let leaf = known.is_some_and(|known| known.calls.is_empty());
            if !leaf {
                let allowed = "a kind without nested calls";
                return Err(invalid(&format!("{field}.calls[{index}].kind"), &call.kind, allowed));
            }
            check_range(&format!("{field}.calls[{index}].share"), call.share, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn check_trouble(&self, field: &str, trouble: &Trouble) -> Result<()> {
        check_range(&format!("{field}.at_s"), trouble.at_s, 0.0, self.seconds)?;
        check_positive(&format!("{field}.for_s"), trouble.for_s, MAX_SECONDS)?;
        match &trouble.what {
            TroubleKind::Burst { zone: Some(zone), .. }
            | TroubleKind::Lost { zone: Some(zone), .. } => {
                self.check_zone(&format!("{field}.zone"), zone)
            }
            TroubleKind::Shift { from, to, .. } => {
                self.check_zone(&format!("{field}.from"), from)?;
                self.check_zone(&format!("{field}.to"), to)
            }
            TroubleKind::Slow { service, .. }
            | TroubleKind::Grey { service, .. }
            | TroubleKind::Shed { service, .. }
            | TroubleKind::Mute { service, .. }
            | TroubleKind::Limited { service, .. }
            | TroubleKind::Leave { service, .. } => match self.services.contains_key(service) {
                true => Ok(()),
                false => Err(invalid(
                    &format!("{field}.service"),
                    service,
                    "a service listed in services",
                )),
            },
            TroubleKind::Partition { share } => {
                check_positive(&format!("{field}.share"), *share, 1.0)
            }
            TroubleKind::Burst { zone: None, .. }
            | TroubleKind::Lost { zone: None, .. }
            | TroubleKind::Abuse { .. }
            | TroubleKind::GiveUp { .. } => Ok(()),
        }
    }

    fn check_zone(&self, field: &str, zone: &Name) -> Result<()> {
        match self.zones.contains_key(zone) {
            true => Ok(()),
            false => Err(invalid(field, zone, "a zone listed in zones")),
        }
    }
}

fn check_model(field: &str, service: &ServiceModel) -> Result<()> {
    let of = |name: &str| format!("{field}.{name}");
    check_range(&of("vm_mbps"), service.vm_mbps.unwrap_or_default(), 0.0, MAX_MBPS)?;
    let fast = service.fast_links;
    check_range(&of("fast_links.share"), fast.share, 0.0, 1.0)?;
    check_range(&of("fast_links.mbps"), fast.mbps, 0.0, MAX_MBPS)?;
    let slow = service.slow_periods;
    check_range(&of("slow_periods.share"), slow.share, 0.0, 0.99)?;
    if slow.share > 0.0 {
        check_positive(&of("slow_periods.factor"), slow.factor, MAX_FACTOR)?;
        // A period spans at least a millisecond, which bounds the number of events.
        check_range(&of("slow_periods.for_ms"), slow.for_ms, 1.0, MAX_SECONDS * 1e3)?;
    }
    let long = service.long_runs;
    check_range(&of("long_runs.share"), long.share, 0.0, 1.0)?;
    if long.share > 0.0 {
        check_positive(&of("long_runs.factor"), long.factor, MAX_FACTOR)?;
    }
    Ok(())
}

fn check_positive(field: &str, value: f64, max: f64) -> Result<()> {
    match value > 0.0 && value <= max {
        true => Ok(()),
        false => Err(invalid(field, value, &format!("above 0, at most {max}"))),
    }
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<()> {
    match value >= min && value <= max {
        true => Ok(()),
        false => Err(invalid(field, value, &format!("{min} to {max}"))),
    }
}

fn invalid(field: &str, found: impl std::fmt::Display, allowed: &str) -> Fault {
    let detail = format!("found {found}; allowed: {allowed}");
    Fault::new(Code::InputInvalid).with_location(field).with_detail(detail)
}
