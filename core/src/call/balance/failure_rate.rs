//! Moving failure rate of a target, or of all targets of a service.
//!
//! Load pattern: all targets of a service reject a share of their requests. Those that a node has
//! not tried lately are not known to do so, which is no reason to prefer them.

use crate::Time;
use std::time::Duration;

/// Fixed-point scale of the failure rate.
pub(super) const FAILURE_SCALE: u32 = 1_024;

/// Weight of the newest attempt in the failure rate of a service: its reciprocal. Larger than for a
/// single target, as more attempts are recorded.
pub(super) const SERVICE_EWMA_DIVISOR: u32 = 32;

/// How long a failure rate is used. Its weight decays over this time, so that failing targets are
/// tried again.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// A failure rate in units of `1 / FAILURE_SCALE`, and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: u32,
    updated_at: Time,
}

impl FailureRate {
    /// Records an attempt, which is weighted by the reciprocal of `divisor`.
    pub(super) fn record(&mut self, now: Time, failed: bool, divisor: u32) {
        let newest = if failed { FAILURE_SCALE } else { 0 };
        self.rate = (self.decayed(now) * (divisor - 1) + newest) / divisor;
        self.updated_at = now;
    }

    /// The failure rate, which decays while no attempt is made.
    pub(super) fn decayed(self, now: Time) -> u32 {
        let age = now.since(self.updated_at).min(FAILURE_TTL);
        let left = (FAILURE_TTL - age).as_millis() as u32;
        self.rate * left / FAILURE_TTL.as_millis() as u32
    }
}
