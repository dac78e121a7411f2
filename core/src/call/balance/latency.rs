//! Typical latency of a service.

use std::time::Duration;

/// The newest response time contributes 1/n to the moving averages. Larger than for a single target,
/// so that they change more slowly.
const TYPICAL_LATENCY_WEIGHT: u32 = 32;

/// Mean latency without the network, and its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyStats {
    pub(super) mean: Duration,
    pub(super) deviation: Duration,
}

impl LatencyStats {
    pub(super) fn record(&mut self, took: Duration) {
        if self.mean.is_zero() {
            *self = LatencyStats { mean: took, deviation: took / 2 };
            return;
        }
        let newest = took.abs_diff(self.mean);
        let weigh = |known: Duration, newest| {
            (known * (TYPICAL_LATENCY_WEIGHT - 1) + newest) / TYPICAL_LATENCY_WEIGHT
        };
        self.deviation = weigh(self.deviation, newest);
        self.mean = weigh(self.mean, took);
    }
}
