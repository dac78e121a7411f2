//! Jitter and exponential backoff.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Lower bound for a pause after a failure; a jitter of zero would retry immediately.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Exponential backoff with full jitter: each pause is drawn uniformly from zero to a bound that
/// doubles with each consecutive failure.
///
/// Spreads out retries of nodes that failed at the same time.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure and returns the pause before the next attempt.
    pub fn fail(&mut self, first: Duration, longest: Duration, rng: &mut Pcg64Mcg) -> Duration {
        let bound = first.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures = self.failures.saturating_add(1);
        jitter(bound, rng).max(MIN_PAUSE)
    }
}

/// A random duration between zero and `bound`.
pub fn jitter(bound: Duration, rng: &mut Pcg64Mcg) -> Duration {
    let bound = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(0..=bound))
}

/// A random duration within 10 % of `middle`.
pub fn with_jitter(middle: Duration, rng: &mut Pcg64Mcg) -> Duration {
    middle.mul_f64(0.9) + jitter(middle.mul_f64(0.2), rng)
}
