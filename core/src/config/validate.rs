//! Validation of published documents, shared by nodes and `sycamore-check`.

use super::document::{
    AtMostOnceMode, MAX_DOCUMENT_BYTES, Part, Preset, Route, Service, ServiceLimits,
};
use super::in_force::InForce;
use crate::hash::Hash;
use crate::{Code, Fault, Name, Result};
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Maximum number of requests that one target runs at once.
pub const MAX_SLOTS: u32 = 10_000;

/// Upper ends of the ranges of limits. Times are in milliseconds.
pub const MAX_CONNECTIONS: u32 = 10_000;
pub const MAX_COLD_MS: u32 = 600_000;
pub const MAX_COLD_STARTS: u32 = 100_000;
pub const MAX_RETRY_PERCENT: u32 = 100;
pub const MAX_RETRY_RESERVE: u32 = 100_000;
pub const MAX_ROUTE_MS: u32 = 600_000;
pub const MAX_ATTEMPTS: u32 = 10;
pub const MAX_BODY_BYTES: u64 = 1_073_741_824;
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Parses the value of the key `in-force`.
pub fn parse_in_force(buf: &[u8]) -> Result<InForce> {
    let in_force: InForce = parse(buf)?;
    // Version 0 is reserved for "no version".
    if in_force.version == 0 {
        let fault = Fault::new(Code::LimitOutOfRange).with_location("version");
        return Err(fault.with_detail("found 0, must be at least 1"));
    }
    Ok(in_force)
}

/// Parses the body of a preset and verifies its digest and name against the publication. Does not
/// validate the content, because parts may not have been added yet.
pub fn parse_preset(buf: &[u8], publication: &InForce) -> Result<Preset> {
    check_digest(buf, &publication.digest)?;
    let preset = parse_body(buf)?;
    if preset.name != publication.preset {
        let detail = format!("found {}, expected {}", preset.name, publication.preset);
        return Err(Fault::new(Code::PresetMismatch).with_location("name").with_detail(detail));
    }
    Ok(preset)
}

/// Parses the body of a preset that has not been published yet.
pub fn parse_body(buf: &[u8]) -> Result<Preset> {
    parse(buf)
}

/// Parses a part of a preset and verifies its digest.
pub fn parse_part(buf: &[u8], digest: &Hash) -> Result<Part> {
    check_digest(buf, digest)?;
    parse(buf)
}

/// Adds the services and routes of a part to a preset. Fails on duplicate names.
pub fn add_part(preset: &mut Preset, part: Part) -> Result<()> {
    for (name, service) in part.services {
        if preset.services.insert(name.clone(), service).is_some() {
            return Err(duplicate_name("services", &name));
        }
    }
    for (name, route) in part.routes {
        if preset.routes.insert(name.clone(), route).is_some() {
            return Err(duplicate_name("routes", &name));
        }
    }
    Ok(())
}

/// Validates a complete preset, including its parts. Returns the first error in document order.
pub fn preset(preset: &Preset) -> Result<()> {
    faults(preset).into_iter().next().map_or(Ok(()), Err)
}

/// Validates a complete preset whose targets are discovered separately, so that services may have
/// no targets.
pub fn preset_without_targets(preset: &Preset) -> Result<()> {
    let mut faults = faults(preset).into_iter();
    faults.find(|fault| fault.code != Code::ServiceEmpty).map_or(Ok(()), Err)
}

/// All errors of a complete preset, including its parts, in document order.
pub fn faults(preset: &Preset) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut vms = HashSet::new();
    for (name, service) in &preset.services {
        check_service(name, service, &mut vms, &mut faults);
    }
    let mut prefixes = HashSet::new();
    for (name, route) in &preset.routes {
        check_route(name, route, preset, &mut faults);
        if !prefixes.insert((route.host.as_deref(), route.path_prefix.as_str())) {
            let location = format!("routes.{name}.path_prefix");
            let fault = Fault::new(Code::RouteAmbiguous).with_location(location);
            faults.push(fault.with_detail(&route.path_prefix));
        }
    }
    faults
}

fn parse<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Result<T> {
    if buf.len() > MAX_DOCUMENT_BYTES {
        let detail = format!("found {} bytes, allowed at most {MAX_DOCUMENT_BYTES}", buf.len());
        return Err(Fault::new(Code::DocumentTooLarge).with_detail(detail));
    }
    let deserializer = &mut serde_json::Deserializer::from_slice(buf);
    let value = serde_path_to_error::deserialize(&mut *deserializer).map_err(|e| {
        let location = e.path().to_string();
        Fault::new(Code::DocumentInvalid).with_location(location).with_detail(e.into_inner())
    })?;
    // Reject trailing data, such as a second concatenated document that would be ignored.
    deserializer.end().map_err(|e| Fault::new(Code::DocumentInvalid).with_detail(e))?;
    Ok(value)
}

fn check_digest(buf: &[u8], digest: &Hash) -> Result<()> {
    let found = Hash::of(buf);
    if found == *digest {
        return Ok(());
    }
    Err(Fault::new(Code::DigestMismatch).with_detail(format!("found {found}, expected {digest}")))
}

fn duplicate_name(location: &str, name: &Name) -> Fault {
    Fault::new(Code::DocumentInvalid)
        .with_location(format!("{location}.{name}"))
        .with_detail("defined more than once across the preset and its parts")
}

fn check_service<'a>(
    name: &Name,
    service: &'a Service,
    vms: &mut HashSet<&'a Name>,
    faults: &mut Vec<Fault>,
) {
    let location = format!("services.{name}");
    check_limits(&location, &service.limits, faults);
    if service.targets.is_empty() {
        faults.push(Fault::new(Code::ServiceEmpty).with_location(format!("{location}.targets")));
    }
    for (index, target) in service.targets.iter().enumerate() {
        let slots = target.slots.unwrap_or_default();
        check_range(&format!("{location}.targets[{index}].slots"), slots, 0..=MAX_SLOTS, faults);
        if !vms.insert(&target.vm) {
            let location = format!("{location}.targets[{index}].vm");
            let fault = Fault::new(Code::TargetRepeated).with_location(location);
            faults.push(fault.with_detail(&target.vm));
        }
    }
}

fn check_limits(location: &str, limits: &ServiceLimits, faults: &mut Vec<Fault>) {
    let ranges = [
        ("slots", limits.slots, 1..=MAX_SLOTS),
        ("connections", limits.connections, limits.slots..=MAX_CONNECTIONS),
        ("queue", limits.queue, 0..=100_000),
        ("queue_wait_ms", limits.queue_wait_ms, 1..=60_000),
        ("retry_budget_percent", limits.retry_budget_percent, 0..=MAX_RETRY_PERCENT),
        ("retry_reserve", limits.retry_reserve.unwrap_or_default(), 0..=MAX_RETRY_RESERVE),
        ("warm_up_ms", limits.warm_up_ms, 0..=600_000),
        ("bulk_share_percent", limits.bulk_share_percent, 1..=100),
        ("drain_ms", limits.drain_ms, 1_000..=3_600_000),
        ("cold_ms", limits.cold_ms, 0..=MAX_COLD_MS),
        ("cold_starts", limits.cold_starts, 0..=MAX_COLD_STARTS),
    ];
    for (field, found, allowed) in ranges {
        check_range(&format!("{location}.limits.{field}"), found, allowed, faults);
    }
}

fn check_route(name: &Name, route: &Route, preset: &Preset, faults: &mut Vec<Fault>) {
    let location = format!("routes.{name}");
    if !route.path_prefix.starts_with('/') {
        let detail = format!("found {:?}, must start with /", route.path_prefix);
        let fault = Fault::new(Code::DocumentInvalid).with_detail(detail);
        faults.push(fault.with_location(format!("{location}.path_prefix")));
    }
    if !preset.services.contains_key(&route.service) {
        let fault = Fault::new(Code::RouteDangling).with_detail(&route.service);
        faults.push(fault.with_location(format!("{location}.service")));
    }
    check_split(&location, route, preset, faults);
    let objective = route.objective_ms;
    check_range(&format!("{location}.objective_ms"), objective, 1..=MAX_ROUTE_MS, faults);
    check_range(&format!("{location}.deadline_ms"), route.deadline_ms, 1..=MAX_ROUTE_MS, faults);
    check_range(&format!("{location}.max_attempts"), route.max_attempts, 1..=MAX_ATTEMPTS, faults);
    check_range(&format!("{location}.spare_forwards"), route.spare_forwards, 0..=10, faults);
    let body = route.max_body_bytes;
    check_range(&format!("{location}.max_body_bytes"), body, 0..=MAX_BODY_BYTES, faults);
    check_regions(&location, route, preset, faults);
}

/// Checks that each region of a route has a target. Skipped while no target is listed, because
/// targets may be discovered separately.
fn check_regions(location: &str, route: &Route, preset: &Preset, faults: &mut Vec<Fault>) {
    let known: HashSet<&Name> = preset
        .services
        .values()
        .flat_map(|service| &service.targets)
        .map(|target| &target.region)
        .collect();
    for (index, region) in route.regions.iter().enumerate() {
        if !known.is_empty() && !known.contains(region) {
            let fault = Fault::new(Code::RegionUnknown).with_detail(region);
            faults.push(fault.with_location(format!("{location}.regions[{index}]")));
        }
    }
    let keyed = !route.idempotent && route.once == AtMostOnceMode::Key;
    if keyed && !route.regions.is_empty() {
        let detail = "the home of a key may be in any region; set once to \"attempt\"";
        let fault = Fault::new(Code::RegionsUnsupported).with_detail(detail);
        faults.push(fault.with_location(format!("{location}.regions")));
    }
}

fn check_split(location: &str, route: &Route, preset: &Preset, faults: &mut Vec<Fault>) {
    for (index, share) in route.split.iter().enumerate() {
        let location = format!("{location}.split[{index}]");
        if !preset.services.contains_key(&share.service) {
            let fault = Fault::new(Code::RouteDangling).with_detail(&share.service);
            faults.push(fault.with_location(format!("{location}.service")));
        }
        check_range(&format!("{location}.weight"), share.weight, 0..=MAX_WEIGHT, faults);
    }
    let listed = route.split.iter().any(|share| share.service == route.service);
    if !route.split.is_empty() && !listed {
        let detail = format!("service {} is missing from the split", route.service);
        let fault = Fault::new(Code::DocumentInvalid).with_detail(detail);
        faults.push(fault.with_location(format!("{location}.split")));
    }
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    location: &str,
    found: T,
    allowed: RangeInclusive<T>,
    faults: &mut Vec<Fault>,
) {
    if !allowed.contains(&found) {
        let detail = format!("found {found}, allowed {} to {}", allowed.start(), allowed.end());
        faults.push(Fault::new(Code::LimitOutOfRange).with_location(location).with_detail(detail));
    }
}
