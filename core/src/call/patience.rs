//! For how long a caller has waited already, over all of its attempts.

use crate::{Name, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// For how long the longest time that a caller gave counts.
const TIMEOUT_TTL: Duration = Duration::from_secs(60);

/// Routes remembered at once; one more and all are forgotten.
const MAX_ROUTES: usize = 4_096;

/// The longest time that callers of each route have given.
///
/// A caller that asks again states the time that is left, and not when it began. Callers of one
/// route give the same time at first, so that one that gives less has spent the difference on
/// attempts before. A request that seems new at every attempt would be put before others although
/// its answer comes too late in any case.
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
    /// Knows no route.
    pub fn new() -> CallerWaits {
        CallerWaits { routes: IndexMap::new() }
    }

    /// How long the caller of a request has waited, who gives it `left` from now on.
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
