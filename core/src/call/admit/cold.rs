//! Start rate of a cold target.
//!
//! A target whose caches are cold crashes above a certain rate of requests, and is cold again after
//! the crash. If the requests that it rejected return at once, a fleet that has started together
//! never recovers. The gatekeeper is the only sender to its target, so it can keep the rate without
//! coordination.

use crate::Time;
use crate::config::ServiceLimits;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval over which starts are counted. Longer than the second for which the limit holds, since
/// requests may be sent some time after their start.
const COUNTING_INTERVAL: Duration = Duration::from_millis(1_150);

/// Maximum time between the start of a target and that of its gatekeeper, if they start together.
const MAX_START_GAP: Duration = Duration::from_millis(1_500);

/// Counts the starts at a target, and limits them while it is cold.
#[derive(Debug)]
pub struct ColdStarts {
    duration: Duration,
    max_starts: usize,
    state: Warmth,
    // Starts within `COUNTING_INTERVAL`, oldest first, also while the target is warm.
    recent: VecDeque<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Warmth {
    /// Does not respond. Cold from its first response on.
    Down,
    Cold {
        since: Time,
        /// Whether the target's start was observed, rather than assumed.
        observed: bool,
    },
    Warm,
}

impl ColdStarts {
    /// A target that is warm, without limits.
    pub fn new() -> ColdStarts {
        ColdStarts {
            duration: Duration::ZERO,
            max_starts: 0,
            state: Warmth::Warm,
            recent: VecDeque::new(),
        }
    }

    pub fn set_limits(&mut self, limits: &ServiceLimits) {
        self.duration = Duration::from_millis(limits.cold_ms.into());
        self.max_starts = limits.cold_starts as usize;
    }

    /// Records that the gatekeeper's process started at `started`. The target may have started
    /// together with it.
    pub fn gatekeeper_started(&mut self, started: Time) {
        self.presume_cold(started + MAX_START_GAP);
    }

    /// Treats the target as cold from `since` on, unless it reports otherwise.
    pub fn presume_cold(&mut self, since: Time) {
        self.state = Warmth::Cold { since, observed: false };
    }

    /// Whether the target is cold only by presumption.
    pub fn is_presumed(&self, now: Time) -> bool {
        matches!(self.state, Warmth::Cold { observed: false, .. }) && self.is_cold(now)
    }

    /// Records the target's own statement of how long it stays cold.
    pub fn probed(&mut self, now: Time, cold_left: Duration) {
        if self.state != Warmth::Down {
            let since = now + cold_left - self.duration;
            self.state = Warmth::Cold { since, observed: true };
        }
    }

    /// Records that the target does not respond.
    pub fn target_down(&mut self) {
        self.state = Warmth::Down;
    }

    /// Records a response of the target.
    pub fn target_responded(&mut self, now: Time) {
        if self.state == Warmth::Down {
            self.state = Warmth::Cold { since: now, observed: true };
        }
    }

    /// Records a report that the target is cold. Ignored while the target is cold after a start
    /// that was observed, because the report may refer to that start.
    pub fn reported_cold(&mut self, now: Time) {
        let known = match self.state {
            Warmth::Down => true,
            Warmth::Cold { observed, .. } => observed && self.is_cold(now),
            Warmth::Warm => false,
        };
        if !known {
            self.state = Warmth::Cold { since: now, observed: true };
        }
    }

    pub fn is_cold(&self, now: Time) -> bool {
        let cold = match self.state {
            Warmth::Down => true,
            Warmth::Cold { since, .. } => now < since + self.duration,
            Warmth::Warm => false,
        };
        cold && !self.duration.is_zero() && self.max_starts > 0
    }

    /// Records that a request is being sent to the target.
    pub fn record_start(&mut self, now: Time) {
        self.recent.push_back(now);
        let oldest = now - COUNTING_INTERVAL;
        while self.recent.front().is_some_and(|start| *start <= oldest) {
            self.recent.pop_front();
        }
    }

    /// Removes the start at this time, whose request did not reach the target.
    pub fn withdraw_start(&mut self, started: Time) {
        if let Some(index) = self.recent.iter().rposition(|start| *start == started) {
            self.recent.remove(index);
        }
    }

    /// Returns the delay before a request may start that has `ahead` others before it.
    pub fn delay(&self, now: Time, ahead: usize) -> Duration {
        if !self.is_cold(now) {
            return Duration::ZERO;
        }
        let max_starts = self.max_starts;
        let oldest = now - COUNTING_INTERVAL;
        let counted = self.recent.iter().filter(|start| **start > oldest);
        let skipped = counted.clone().count().saturating_sub(max_starts);
        // The start `max_starts` before this one has to leave the interval.
        let mut starts = counted.skip(skipped);
        let free = max_starts - starts.clone().count();
        if ahead < free {
            return Duration::ZERO;
        }
        let rounds = (ahead - free) / max_starts;
        let freed_by = starts.nth((ahead - free) % max_starts);
        let freed_at = freed_by.copied().unwrap_or(now) + COUNTING_INTERVAL;
        let delay = freed_at.since(now) + COUNTING_INTERVAL * rounds as u32;
        match self.state {
            Warmth::Cold { since, .. } => delay.min((since + self.duration).since(now)),
            Warmth::Down | Warmth::Warm => delay,
        }
    }
}

impl Default for ColdStarts {
    fn default() -> ColdStarts {
        ColdStarts::new()
    }
}
