//! Estimates how long a caller has waited and how often it has come back, over all of its attempts.
//!
//! A caller that retries sends its remaining time, not when it started. Without an estimate, retries
//! would be prioritized like new requests although their responses come too late.
//!
//! The deadline of a caller stays the same over its attempts. A retry at the node that ended the
//! previous attempt is recognized by it. If callers retry at other nodes, a timeout shorter than the
//! longest one of the route indicates time spent on previous attempts, provided that all callers
//! start with the same timeout.

use crate::{Name, Time};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// How long the longest timeout of a route is remembered.
const TIMEOUT_TTL: Duration = Duration::from_secs(60);

/// Maximum number of routes. The table is cleared when it is full.
const MAX_ROUTES: usize = 4_096;

/// Maximum number of unanswered attempts remembered per route.
const MAX_UNANSWERED: usize = 256;

/// Largest difference between the deadlines of two attempts of one caller. Covers rounding to
/// milliseconds and attempts that are read late.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(12);

/// An attempt counts as not retried here once this share of the time that its caller had left has
/// passed, in percent.
const RETURN_TIME_PERCENT: u32 = 50;

/// Share of unanswered attempts that are retried here, in percent, from which on an unknown
/// deadline belongs to a new request.
const MIN_RETURNED_PERCENT: u32 = 20;

/// The newest attempt is weighted by the reciprocal of this in that share.
const RETURNED_EWMA_DIVISOR: u32 = 16;

/// Fixed-point scale of the share.
const RETURNED_SCALE: u32 = 1_024;

/// Estimate for one attempt of a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerHistory {
    /// Time since the caller's first attempt.
    pub waited: Duration,
    /// Number of earlier attempts that are known.
    pub returns: u32,
}

/// An attempt that ended without a response.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredAttempt {
    /// Estimated start of the caller's first attempt.
    pub started: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Number of the caller's attempts before this one.
    pub returns: u32,
}

/// What is known about the callers of each route.
#[derive(Debug)]
pub struct CallerWaits {
    routes: IndexMap<Name, RouteCallers>,
    // Share of unanswered attempts that are retried at this node, in units of `1 / RETURNED_SCALE`.
    returned: u32,
}

#[derive(Debug, Default)]
struct RouteCallers {
    longest: Option<LongestTimeout>,
    unanswered: VecDeque<Unanswered>,
}

#[derive(Clone, Copy, Debug)]
struct LongestTimeout {
    timeout: Duration,
    seen_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    attempt: UnansweredAttempt,
    // When a retry at this node is no longer expected.
    expires_at: Time,
}

impl CallerWaits {
    pub fn new() -> CallerWaits {
        CallerWaits { routes: IndexMap::new(), returned: 0 }
    }

    /// Estimates the earlier attempts of a caller with `left` remaining.
    pub fn estimate(&mut self, now: Time, route: &Name, left: Duration) -> CallerHistory {
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let callers = self.routes.entry(route.clone()).or_default();
        let by_timeout = callers.record_timeout(now, left);
        while callers.unanswered.front().is_some_and(|attempt| attempt.expires_at <= now) {
            callers.unanswered.pop_front();
            self.returned = update_share(self.returned, 0);
        }
        if let Some(attempt) = callers.take_unanswered(now + left) {
            self.returned = update_share(self.returned, RETURNED_SCALE);
            let waited = now.since(attempt.started);
            return CallerHistory { waited, returns: attempt.returns + 1 };
        }
        let retried_here = self.returned >= RETURNED_SCALE * MIN_RETURNED_PERCENT / 100;
        let waited = if retried_here { Duration::ZERO } else { by_timeout };
        CallerHistory { waited, returns: 0 }
    }

    /// Records an attempt that ended without a response.
    pub fn record_unanswered(&mut self, now: Time, route: &Name, attempt: UnansweredAttempt) {
        let Some(callers) = self.routes.get_mut(route) else {
            return;
        };
        if callers.unanswered.len() >= MAX_UNANSWERED {
            callers.unanswered.pop_front();
        }
        let expires_at = now + attempt.deadline.since(now) * RETURN_TIME_PERCENT / 100;
        callers.unanswered.push_back(Unanswered { attempt, expires_at });
    }
}

impl RouteCallers {
    /// Records a timeout. Returns by how much it is below the longest one.
    fn record_timeout(&mut self, now: Time, left: Duration) -> Duration {
        let newest = LongestTimeout { timeout: left, seen_at: now };
        let longest = self.longest.get_or_insert(newest);
        if left >= longest.timeout || now.since(longest.seen_at) > TIMEOUT_TTL {
            *longest = newest;
        }
        longest.timeout.saturating_sub(left)
    }

    /// Removes and returns the unanswered attempt with this deadline.
    fn take_unanswered(&mut self, caller_deadline: Time) -> Option<UnansweredAttempt> {
        let difference = |unanswered: &Unanswered| {
            let other = unanswered.attempt.deadline;
            other.since(caller_deadline).max(caller_deadline.since(other))
        };
        let (index, closest) = self
            .unanswered
            .iter()
            .enumerate()
            .map(|(index, unanswered)| (index, difference(unanswered)))
            .min_by_key(|(_, difference)| *difference)?;
        let matches = closest <= DEADLINE_TOLERANCE;
        matches.then(|| self.unanswered.remove(index)).flatten().map(|removed| removed.attempt)
    }
}

/// Moving average with a new sample, in units of `1 / RETURNED_SCALE`.
fn update_share(share: u32, sample: u32) -> u32 {
    (share * (RETURNED_EWMA_DIVISOR - 1) + sample) / RETURNED_EWMA_DIVISOR
}

impl Default for CallerWaits {
    fn default() -> CallerWaits {
        CallerWaits::new()
    }
}
