//! Estimates how long a caller has waited, including its previous attempts.

use crate::{Name, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// How long the longest timeout of a route is remembered.
const TIMEOUT_TTL: Duration = Duration::from_secs(60);

/// Maximum number of routes. The table is cleared when it is full.
const MAX_ROUTES: usize = 4_096;

/// Longest timeout seen from the callers of each route.
///
/// A caller that retries sends its remaining time, not when it started. Callers of a route usually
/// start with the same timeout, so a shorter one indicates time spent on previous attempts. Without
/// this estimate, retries would be prioritized like new requests although their responses come too
/// late.
#[derive(Debug)]
pub struct CallerWaits {
    routes: IndexMap<Name, LongestTimeout>,
}

#[derive(Clone, Copy, Debug)]
struct LongestTimeout {
    timeout: Duration,
    seen_at: Time,
}

impl CallerWaits {
    pub fn new() -> CallerWaits {
        CallerWaits { routes: IndexMap::new() }
    }

    /// Estimates how long a caller with `left` remaining has already waited.
    pub fn estimate(&mut self, now: Time, route: &Name, left: Duration) -> Duration {
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let newest = LongestTimeout { timeout: left, seen_at: now };
        let longest = self.routes.entry(route.clone()).or_insert(newest);
        if left >= longest.timeout || now.since(longest.seen_at) > TIMEOUT_TTL {
            *longest = newest;
        }
        longest.timeout.saturating_sub(left)
    }
}

impl Default for CallerWaits {
    fn default() -> CallerWaits {
        CallerWaits::new()
    }
}
