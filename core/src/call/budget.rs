//! Retry budget of a service at one entry node.

use crate::Time;
use std::time::Duration;

/// Retries that may be saved up; bounds the burst when a service starts to fail.
const MAX_TOKENS: u64 = 10;

/// Retries that a service may use before any request was counted.
const INITIAL_TOKENS: u64 = 3;

/// Units of one retry, so that a share in percent adds up without fractions.
const UNITS_PER_RETRY: u64 = 100;

/// Span over which a fleet-wide budget holds, and how many steps it is counted in.
const WINDOW: Duration = Duration::from_secs(10);
const BUCKETS: usize = 5;

/// Retries allowed as a share of first attempts.
///
/// Limits retries to a share of first attempts plus a small saved-up reserve, however many attempts
/// a route allows, so that retries can't keep a failing service down.
#[derive(Clone, Copy, Debug)]
pub enum Budget {
    /// Unused retries are saved up, within a bound for this node alone.
    TokenBucket(u64),
    /// The sum over all nodes is bounded in each window: see [`Window`].
    SlidingWindow(Window),
}

/// A budget that holds over the fleet in each span of `WINDOW` without a message between nodes:
/// every node uses at most its share of the first attempts that it has itself counted, and its
/// part of a fixed reserve.
///
/// Retries are counted over one step more than first attempts, so that the bound holds in every
/// window wherever it starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    first_attempts: [u64; BUCKETS + 1],
    retries: [u64; BUCKETS + 1],
    bucket: u64,
    // Units that this node may use whatever it has counted.
    reserve: u64,
}

/// How much of a service's retries a node may use.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Share of first attempts, in percent.
    pub percent: u32,
    /// Retries of the whole fleet beside the share, in each window; absent for a budget of this
    /// node alone.
    pub reserve: Option<u32>,
    /// Nodes that share the reserve.
    pub nodes: u32,
}

impl Budget {
    /// A budget with a few retries in it.
    pub fn new() -> Budget {
        Budget::TokenBucket(INITIAL_TOKENS * UNITS_PER_RETRY)
    }

    /// Counts a first attempt.
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

    /// Counts a request that has come, as a first attempt or as a repeat.
    pub fn record(&mut self, now: Time, limits: RetryLimits, repeat: bool) {
        match repeat {
            true => self.record_repeat(now, limits),
            false => self.record_first_attempt(now, limits),
        }
    }

    /// Counts a repeat that was not this node's to refuse, as the call of a run that is made
    /// again: it uses up one retry, whether there is one left or not.
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

    /// Whether a retry is left.
    pub fn is_available(&mut self, now: Time) -> bool {
        match self {
            Budget::TokenBucket(tokens) => *tokens >= UNITS_PER_RETRY,
            Budget::SlidingWindow(window) => window.is_available(now),
        }
    }

    /// Takes one retry out. Returns false if there is none left.
    pub fn try_take(&mut self, now: Time) -> bool {
        let available = self.is_available(now);
        if available {
            match self {
                Budget::TokenBucket(tokens) => *tokens -= UNITS_PER_RETRY,
                Budget::SlidingWindow(window) => window.charge(now),
            }
        }
        available
    }

    /// Begins anew where the kind of budget has changed.
    fn switch_kind(&mut self, limits: RetryLimits) {
        match (&*self, limits.reserve) {
            (Budget::TokenBucket(_), Some(_)) => *self = Budget::SlidingWindow(Window::default()),
            (Budget::SlidingWindow(_), None) => *self = Budget::new(),
            (Budget::TokenBucket(_), None) | (Budget::SlidingWindow(_), Some(_)) => {}
        }
    }
}

impl Window {
    /// Takes up this node's part of the reserve.
    fn set_reserve(&mut self, limits: RetryLimits) {
        let reserve = u64::from(limits.reserve.unwrap_or(0));
        self.reserve = reserve * UNITS_PER_RETRY / u64::from(limits.nodes.max(1));
    }

    fn record_first_attempt(&mut self, now: Time, percent: u32) {
        self.advance(now);
        self.first_attempts[0] += u64::from(percent);
    }

    fn is_available(&mut self, now: Time) -> bool {
        self.advance(now);
        let allowed = self.reserve + self.first_attempts[..BUCKETS].iter().sum::<u64>();
        self.retries.iter().sum::<u64>() + UNITS_PER_RETRY <= allowed
    }

    fn charge(&mut self, now: Time) {
        self.advance(now);
        self.retries[0] += UNITS_PER_RETRY;
    }

    /// Drops the steps that are over.
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

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
