//! The load that a target reports: what was true a while ago, or what was never true.

use std::time::{Duration, Instant};

/// How old a reported load may be.
const LAG: Duration = Duration::from_millis(500);

/// The load as last reported.
#[derive(Debug, Default)]
pub struct Reported {
    in_flight: u32,
    at: Option<Instant>,
}

impl Reported {
    /// The load to report while `in_flight` requests run.
    pub fn get(&mut self, in_flight: u32, now: Instant) -> u32 {
        if self.at.is_none_or(|at| now - at >= LAG) {
            self.in_flight = in_flight;
            self.at = Some(now);
        }
        self.in_flight
    }
}
