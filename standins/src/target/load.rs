//! The load that a target reports: what was true a while ago, or what was never true.

use std::time::{Duration, Instant};

/// How old a reported load may be.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The load as last reported.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    in_flight: u32,
    sampled_at: Option<Instant>,
}

impl ReportedLoad {
    /// The load to report while `in_flight` requests run.
    pub fn get(&mut self, in_flight: u32, now: Instant) -> u32 {
        if self.sampled_at.is_none_or(|sampled_at| now - sampled_at >= REPORT_INTERVAL) {
            self.in_flight = in_flight;
            self.sampled_at = Some(now);
        }
        self.in_flight
    }
}
