//! Retry budget of a service on one entry node.

use crate::Time;
use std::time::Duration;

/// Upper bound of saved retries. Limits the burst when a service starts to fail.
const MAX_TOKENS: u64 = 10;

/// Retries available before the first request.
const INITIAL_TOKENS: u64 = 3;

/// Units per retry, so that a percentage of first attempts can be counted in integers.
const UNITS_PER_RETRY: u64 = 100;

/// Window of a fleet-wide budget, and the number of buckets it is divided into.
const WINDOW: Duration = Duration::from_secs(10);
const BUCKETS: usize = 20;

const PERCENT: u64 = 100;

/// The whole budget, see [`Budget::try_take`].
pub const WHOLE_BUDGET_PERCENT: u32 = 100;

/// Limits retries to a share of first attempts plus a small reserve, so that retries cannot keep a
/// failing service overloaded.
#[derive(Clone, Copy, Debug)]
pub enum Budget {
    /// Accumulates unused retries. Bounded on this node only.
    TokenBucket(u64),
    /// Bounded over the whole fleet in each window, see [`Window`].
    SlidingWindow(Window),
}

/// A fleet-wide budget per `WINDOW` that needs no coordination: each node uses at most its share of
/// its own first attempts plus its part of a fixed reserve.
///
/// Retries are counted over one bucket more than first attempts, so that the limit holds for every
/// window regardless of its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    first_attempts: [u32; BUCKETS + 1],
    retries: [u32; BUCKETS + 1],
    bucket: u64,
    // Units available to this node regardless of its first attempts.
    reserve: u64,
    // Units added to what is available, below one retry.
    rounding: u64,
}

/// Retry limits of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Percentage of first attempts.
    pub percent: u32,
    /// Additional retries of the whole fleet per window. Absent for a budget that is local to each
    /// node.
    pub reserve: Option<u32>,
    /// Number of nodes that share the reserve, or of their shards if each has a budget of its own.
    pub nodes: u32,
}

impl Budget {
    pub fn new() -> Budget {
        Budget::TokenBucket(INITIAL_TOKENS * UNITS_PER_RETRY)
    }

    /// Sets how a fleet-wide budget is rounded to whole retries, in hundredths of a retry from 0 to
    /// 99.
    ///
    /// A node's part of the budget may be less than a retry. If every node rounded it down, a large
    /// fleet would use little of its budget; with values drawn at random, the nodes together use it.
    pub fn set_rounding(&mut self, hundredths: u64) {
        if let Budget::SlidingWindow(window) = self {
            window.rounding = hundredths.min(UNITS_PER_RETRY - 1);
        }
    }

    pub fn record_first_attempt(&mut self, now: Time, limits: RetryLimits) {
        self.switch_kind(limits);
        match self {
            Budget::TokenBucket(tokens) => {
                *tokens = (*tokens + u64::from(limits.percent)).min(MAX_TOKENS * UNITS_PER_RETRY);
            }
            Budget::SlidingWindow(window) => {
                window.set_reserve(limits);
                window.record_first_attempt(now, limits.percent);
            }
        }
    }

    pub fn record(&mut self, now: Time, limits: RetryLimits, repeat: bool) {
        match repeat {
            true => self.record_repeat(now, limits),
            false => self.record_first_attempt(now, limits),
        }
    }

    /// Records a repeat that this node cannot reject, such as a nested call of a retried run.
    /// Charges one retry even if the budget is exhausted.
    pub fn record_repeat(&mut self, now: Time, limits: RetryLimits) {
        self.switch_kind(limits);
        match self {
            Budget::TokenBucket(tokens) => *tokens = tokens.saturating_sub(UNITS_PER_RETRY),
            Budget::SlidingWindow(window) => {
                window.set_reserve(limits);
                window.charge(now);
            }
        }
    }

    /// Whether a retry is available within `percent` of the budget. A budget that is local to this
    /// node is not divided.
    pub fn is_available(&mut self, now: Time, percent: u32) -> bool {
        match self {
            Budget::TokenBucket(tokens) => *tokens >= UNITS_PER_RETRY,
            Budget::SlidingWindow(window) => window.is_available(now, percent),
        }
    }

    /// Charges one retry. Returns `false` if none is available within `percent` of the budget.
    pub fn try_take(&mut self, now: Time, percent: u32) -> bool {
        let available = self.is_available(now, percent);
        if available {
            match self {
                Budget::TokenBucket(tokens) => *tokens -= UNITS_PER_RETRY,
                Budget::SlidingWindow(window) => window.charge(now),
            }
        }
        available
    }

    /// Resets the budget if the limits require a different kind.
    fn switch_kind(&mut self, limits: RetryLimits) {
        match (&*self, limits.reserve) {
            (Budget::TokenBucket(_), Some(_)) => *self = Budget::SlidingWindow(Window::default()),
            (Budget::SlidingWindow(_), None) => *self = Budget::new(),
            (Budget::TokenBucket(_), None) | (Budget::SlidingWindow(_), Some(_)) => {}
        }
    }
}

impl Window {
    /// Sets this node's part of the reserve.
    fn set_reserve(&mut self, limits: RetryLimits) {
        let reserve = u64::from(limits.reserve.unwrap_or(0));
        self.reserve = reserve * UNITS_PER_RETRY / u64::from(limits.nodes.max(1));
    }

    fn record_first_attempt(&mut self, now: Time, percent: u32) {
        self.advance(now);
        self.first_attempts[0] += percent;
    }

    fn is_available(&mut self, now: Time, percent: u32) -> bool {
        self.advance(now);
        let budget = self.reserve + sum(&self.first_attempts[..BUCKETS]);
        let allowed = budget * u64::from(percent) / PERCENT + self.rounding;
        sum(&self.retries) + UNITS_PER_RETRY <= allowed
    }

    fn charge(&mut self, now: Time) {
        self.advance(now);
        self.retries[0] += UNITS_PER_RETRY as u32;
    }

    /// Drops expired buckets.
    fn advance(&mut self, now: Time) {
        let bucket_length = WINDOW.as_micros() as u64 / BUCKETS as u64;
        let bucket = now.0 / bucket_length;
        let passed = bucket.saturating_sub(self.bucket).min(BUCKETS as u64 + 1) as usize;
        for counts in [&mut self.first_attempts, &mut self.retries] {
            counts.rotate_right(passed % (BUCKETS + 1));
            counts[..passed].fill(0);
        }
        self.bucket = self.bucket.max(bucket);
    }
}

fn sum(counts: &[u32]) -> u64 {
    counts.iter().map(|count| u64::from(*count)).sum()
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
