//! Limits of services and routes: defaults for those that documents do not state, and the nearest
//! usable value of those that they state.

use crate::Name;
use crate::config::validate::{
    MAX_ATTEMPTS, MAX_BODY_BYTES, MAX_COLD_MS, MAX_COLD_STARTS, MAX_CONNECTIONS, MAX_RETRY_PERCENT,
    MAX_RETRY_RESERVE, MAX_ROUTE_MS, MAX_WEIGHT,
};
use crate::config::{Route, ServiceLimits, WeightedService};
use indexmap::IndexMap;

/// Additional gatekeepers tried after rejections that cost no target any work. One suffices: the
/// request queues there, and trying more adds cross-zone traffic without finding capacity.
pub const SPARE_FORWARDS: u32 = 1;

/// Share of the fleet-wide retry budget that nodes may use, in percent. The margin covers nodes
/// that start, stop and count at different times.
const RETRY_BUDGET_SHARE_PERCENT: u32 = 60;

/// Queue capacity per target, and longest wait in the queue. Requests that cannot finish within
/// their deadline are rejected on arrival, which keeps queues short.
const QUEUE_CAPACITY: u32 = 64;
const MAX_QUEUE_WAIT_MS: u32 = 3_000;

/// Share of slots that requests for large responses may occupy. The rest stays available to nested
/// calls, which other requests wait for.
const MAX_BULK_SHARE_PERCENT: u32 = 50;

/// Share of the rate allowed for a cold target that its gatekeeper uses, in percent. The margin
/// covers requests that arrive closer together than they were started.
const COLD_RATE_SHARE_PERCENT: u32 = 90;

/// Limit on the starts at a cold target in any second. `per_s` is the rate that the target always
/// bears; `factor_percent` and `reserve` are what the platform allows beyond it.
pub fn cold_starts(per_s: f64, factor_percent: u32, reserve: u32) -> u32 {
    let allowed = (per_s * f64::from(factor_percent) / 100.0 + f64::from(reserve)).floor();
    let used = allowed * f64::from(COLD_RATE_SHARE_PERCENT) / 100.0;
    (used as u32).clamp(1, MAX_COLD_STARTS)
}

/// Time in milliseconds for which a target is cold after its start.
pub fn cold_ms(seconds: f64) -> u32 {
    ((seconds * 1_000.0) as u32).min(MAX_COLD_MS)
}

/// Objective or deadline of a route in milliseconds.
pub fn route_ms(stated: f64) -> u32 {
    (stated.ceil() as u32).clamp(1, MAX_ROUTE_MS)
}

pub fn max_attempts(stated: f64) -> u32 {
    (stated as u32).clamp(1, MAX_ATTEMPTS)
}

/// Rank of a priority. All priorities from 255 on share the last rank.
pub fn rank(priority: f64) -> u8 {
    priority as u8
}

/// Largest body of a request. `None` if the document states no limit.
pub fn max_body_bytes(stated: Option<f64>) -> u64 {
    stated.map_or(MAX_BODY_BYTES, |stated| (stated as u64).min(MAX_BODY_BYTES))
}

/// Whether a route admits requests, by its attempts and its timeout in milliseconds.
pub fn admits_requests(attempts: f64, timeout_ms: f64) -> bool {
    attempts >= 1.0 && timeout_ms > 0.0
}

/// Weights of a traffic split in the same proportions. Fractions and large weights are scaled; a part
/// gets requests unless its weight is 0.
pub fn weights(stated: &[f64]) -> Vec<u32> {
    let largest = stated.iter().copied().fold(0.0, f64::max);
    let is_exact = largest <= f64::from(MAX_WEIGHT) && stated.iter().all(|it| it.fract() == 0.0);
    let scale = if is_exact { 1.0 } else { f64::from(MAX_WEIGHT) / largest };
    let scaled = |weight: f64| match weight > 0.0 {
        true => ((weight * scale).round() as u32).clamp(1, MAX_WEIGHT),
        false => 0,
    };
    stated.iter().copied().map(scaled).collect()
}

/// Service of a route: that of the first part of its split, or without a split the stated one.
pub fn route_service(stated: Option<Name>, split: &[WeightedService]) -> Option<Name> {
    split.first().map(|part| part.service.clone()).or(stated)
}

/// Name of a route: the stated one, or a number if that is no valid name or another route has it.
pub fn route_name(stated: &str, routes: &IndexMap<Name, Route>) -> Name {
    let is_free = |name: &Name| !routes.contains_key(name);
    let stated = Name::new(stated.to_owned()).filter(is_free);
    let numbered =
        || (routes.len()..).find_map(|number| Name::new(format!("route-{number}")).filter(is_free));
    stated.or_else(numbered).unwrap_or(Name::from_static("route"))
}

fn share_of_budget(stated: u32) -> u32 {
    (u64::from(stated) * u64::from(RETRY_BUDGET_SHARE_PERCENT) / 100) as u32
}

/// Limits of a service whose targets accept `connections` connections each. In any ten seconds, the
/// fleet may make retries amounting to `retry_percent` of its first attempts plus `retry_reserve`.
pub fn limits(connections: u32, retry_percent: u32, retry_reserve: u32) -> ServiceLimits {
    ServiceLimits {
        // Overridden by the slots that each target registers.
        slots: 1,
        connections: connections.clamp(1, MAX_CONNECTIONS),
        queue: QUEUE_CAPACITY,
        queue_wait_ms: MAX_QUEUE_WAIT_MS,
        retry_budget_percent: share_of_budget(retry_percent).min(MAX_RETRY_PERCENT),
        retry_reserve: Some(share_of_budget(retry_reserve).min(MAX_RETRY_RESERVE)),
        // A cold target is slow, not short of slots; its latency already reduces its share of
        // requests.
        warm_up_ms: 0,
        bulk_share_percent: MAX_BULK_SHARE_PERCENT,
        // The settings state when a process that stops is killed.
        drain_ms: ServiceLimits::default().drain_ms,
        cold_ms: 0,
        cold_starts: 0,
        health_path: None,
    }
}
