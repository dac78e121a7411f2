//! The load that a target reports, which lags behind its actual load.

use std::time::{Duration, Instant};

/// Interval at which the reported load is updated.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The most recently reported load.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    in_flight: u32,
    sampled_at: Option<Instant>,
}

impl ReportedLoad {
    /// Returns the load to report while `in_flight` requests run.
    pub fn get(&mut self, in_flight: u32, now: Instant) -> u32 {
        if self.sampled_at.is_none_or(|sampled_at| now - sampled_at >= REPORT_INTERVAL) {
            self.in_flight = in_flight;
            self.sampled_at = Some(now);
        }
        self.in_flight
    }
}
