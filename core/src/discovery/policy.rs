//! Limits of services and routes where documents do not state them.

use crate::config::ServiceLimits;

/// Further gatekeepers asked after refusals that cost no target any work: the one at which the
/// request waits. Asking others in turn costs bytes between zones and finds no more room.
pub const SPARE_FORWARDS: u32 = 1;

/// Of the retries that are allowed to a whole fleet, this share is used, in percent: nodes start,
/// end and count at different moments.
const RETRY_BUDGET_SHARE_PERCENT: u32 = 60;

/// Requests that wait beside one target, and for how long at most. Requests that can't end in time
/// are refused on arrival, so that the queue is short in fact.
const QUEUE_CAPACITY: u32 = 64;
const MAX_QUEUE_WAIT_MS: u32 = 3_000;

/// Slots that requests for large answers may take: calls that other requests wait for need the
/// others.
const MAX_BULK_SHARE_PERCENT: u32 = 50;

/// Longest planned stop: a second less than the 6 s after which a process is killed.
const DRAIN_TIMEOUT_MS: u32 = 5_000;

/// Limits of a service whose targets take this many connections each. The fleet may make retries
/// up to `retry_percent` of its first attempts and `retry_reserve` beside, in any ten seconds.
pub fn limits(connections: u32, retry_percent: u32, retry_reserve: u32) -> ServiceLimits {
    ServiceLimits {
        // Each target states its own slots.
        slots: 1,
        connections: connections.max(1),
        queue: QUEUE_CAPACITY,
        queue_wait_ms: MAX_QUEUE_WAIT_MS,
        retry_budget_percent: retry_percent * RETRY_BUDGET_SHARE_PERCENT / 100,
        retry_reserve: Some(retry_reserve * RETRY_BUDGET_SHARE_PERCENT / 100),
        // A cold target is slow and not short of slots; its answer times show it.
        warm_up_ms: 0,
        bulk_share_percent: MAX_BULK_SHARE_PERCENT,
        drain_ms: DRAIN_TIMEOUT_MS,
    }
}
