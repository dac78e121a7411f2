//! The requests recently sent to a target, and when the next may be sent at a bounded rate.

use crate::Time;
use crate::call::RateLimit;
use std::collections::VecDeque;
use std::time::Duration;

/// Longest interval of a [`StartRate`]. A target that accepts next to nothing still gets a request
/// this often: only its responses tell that its limit has ended.
pub const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Rates above this are not told apart, in thousandths of a request per second.
const MAX_MILLI: u64 = 1_000_000_000;

/// Interval of one request at a rate of 0.001 requests per second.
const MAX_GAP_US: u64 = 1_000_000_000;

/// Thousandths of a request per second that allow one request in the interval: a quarter of a second.
const MILLI_PER_COUNT: u64 = 4_000;

/// Most requests that a limit allows at once. A limit that rises must not be followed by a burst.
const MAX_COUNT: u64 = 4;

/// A bound on starts: at most `count` in any `interval`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRate {
    pub count: usize,
    pub interval: Duration,
    /// Whether starts of an earlier process count, which are unknown: as `count` at its end.
    pub counts_unknown: bool,
}

impl StartRate {
    /// The rate of a limit, over the interval of a few requests or of a single one. Shorter than the
    /// second of the limit, so that requests queue and the most urgent of them is sent.
    pub fn from_limit(limit: RateLimit) -> StartRate {
        let milli = limit.milli.clamp(1, MAX_MILLI);
        let count = (milli / MILLI_PER_COUNT).clamp(1, MAX_COUNT);
        let interval = Duration::from_micros(count * MAX_GAP_US / milli);
        // A target that states a limit bears a few requests beyond it.
        let counts_unknown = false;
        StartRate { count: count as usize, interval: interval.min(MAX_INTERVAL), counts_unknown }
    }
}

/// Times of the starts within [`MAX_INTERVAL`], oldest first.
#[derive(Clone, Debug, Default)]
pub struct StartLog {
    starts: VecDeque<Time>,
    // An earlier process may have sent any number of requests until then.
    known_since: Option<Time>,
}

impl StartLog {
    pub fn new() -> StartLog {
        StartLog::default()
    }

    /// Begins the log: starts before this time are unknown.
    pub fn begin(&mut self, now: Time) {
        self.known_since = Some(now);
    }

    /// Records that the unknown starts before this time don't count.
    pub fn ignore_unknown_before(&mut self, time: Time) {
        self.known_since = self.known_since.filter(|since| *since > time);
    }

    /// Whether starts within the last `interval` are unknown.
    pub fn is_incomplete(&self, now: Time, interval: Duration) -> bool {
        self.known_since.is_some_and(|since| since > now - interval)
    }

    /// Records that a request is being sent to the target.
    pub fn record(&mut self, now: Time) {
        self.starts.push_back(now);
        let oldest = now - MAX_INTERVAL;
        while self.starts.front().is_some_and(|start| *start <= oldest) {
            self.starts.pop_front();
        }
    }

    /// Removes the start at this time, whose request did not reach the target.
    pub fn withdraw(&mut self, started: Time) {
        if let Some(index) = self.starts.iter().rposition(|start| *start == started) {
            self.starts.remove(index);
        }
    }

    /// Number of starts within the last `interval`.
    pub fn count(&self, now: Time, interval: Duration) -> usize {
        let oldest = now - interval;
        self.starts.len() - self.starts.partition_point(|start| *start <= oldest)
    }

    /// Returns the delay before a request may start that has `ahead` others before it.
    pub fn delay(&self, now: Time, rate: StartRate, ahead: usize) -> Duration {
        let StartRate { count, interval, counts_unknown } = rate;
        let oldest = now - interval;
        let unknown = self.known_since.filter(|since| counts_unknown && *since > oldest);
        let unknown = unknown.into_iter().flat_map(|since| std::iter::repeat_n(since, count));
        let known = self.starts.iter().copied().filter(|start| *start > oldest);
        let counted = unknown.clone().count() + known.clone().count();
        // The start `count` before this one has to leave the interval.
        let mut last = unknown.chain(known).skip(counted.saturating_sub(count));
        let free = count.saturating_sub(counted);
        if ahead < free {
            return Duration::ZERO;
        }
        let rounds = (ahead - free) / count;
        let freed_by = last.nth((ahead - free) % count);
        let freed_at = freed_by.unwrap_or(now) + interval;
        freed_at.since(now) + interval * rounds as u32
    }
}
