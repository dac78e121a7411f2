//! Run times that gatekeepers report.
//!
//! In a large fleet an entry node rarely sends to the same target again, so a single response would
//! be all that it knows. The gatekeeper averages the runs of all entry nodes, and differences between
//! the VMs of a service last. A report is therefore kept until the node has had the time to send to
//! all targets of the service several times.

use crate::Time;
use crate::call::{Load, Pace};
use crate::config::Class;
use std::time::Duration;

/// Rounds over all targets for which a report is used.
const REPORT_ROUNDS: u32 = 8;

/// Bounds of the time for which a report is used.
const MIN_REPORT_TTL: Duration = Duration::from_secs(5);
const MAX_REPORT_TTL: Duration = Duration::from_secs(600);

/// The newest interval is weighted by the reciprocal of this in the moving average. The first
/// intervals are weighted equally.
const INTERVAL_EWMA_DIVISOR: u32 = 16;

/// Longest interval that counts. A pause says nothing about the rate of requests.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Most recent report of a gatekeeper, by class.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRunTimes {
    // Usual run times; zero if none has been reported.
    usual: [Duration; 3],
    pace: Pace,
    reported_at: Time,
    // Time over which the difference from the typical latency decays, so that targets that were slow
    // are tried again.
    ttl: Duration,
}

impl ReportedRunTimes {
    pub fn new() -> ReportedRunTimes {
        ReportedRunTimes {
            usual: [Duration::ZERO; 3],
            pace: Pace::USUAL,
            reported_at: Time::ZERO,
            ttl: MIN_REPORT_TTL,
        }
    }

    /// Records the run times of a report, which is used for `ttl`.
    pub fn record(&mut self, now: Time, load: Load, ttl: Duration) {
        self.ttl = ttl;
        self.pace = load.pace;
        self.usual = load.run_ms.map(|ms| Duration::from_millis(ms.into()));
        self.reported_at = now;
    }

    /// Whether the gatekeeper has reported a run time of this class.
    pub fn is_known(&self, class: Class) -> bool {
        class != Class::Bulk && !self.usual[class as usize].is_zero()
    }

    /// Usual run time, between the reported and the typical one according to the age of the
    /// report.
    pub fn usual(&self, now: Time, class: Class, typical: Duration) -> Duration {
        // The link of a target's VM, not its speed, decides when large responses arrive.
        if class == Class::Bulk {
            return typical;
        }
        let reported = self.usual[class as usize];
        let age = now.since(self.reported_at);
        if reported.is_zero() || typical.is_zero() {
            return typical;
        }
        let age_ms = age.min(self.ttl).as_millis() as u32;
        let ttl_ms = self.ttl.as_millis() as u32;
        (reported * (ttl_ms - age_ms) + typical * age_ms) / ttl_ms
    }

    /// Scales a usual time to the pace of the target at the moment.
    pub fn scale_to_pace(&self, now: Time, usual: Duration) -> Duration {
        self.pace.scale(usual, now.since(self.reported_at))
    }
}

/// Mean interval between the requests of this node to a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestInterval {
    mean: Duration,
    // Number of intervals, up to `INTERVAL_EWMA_DIVISOR`.
    samples: u32,
    last: Option<Time>,
}

impl RequestInterval {
    pub fn record(&mut self, now: Time) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let newest = now.since(last).min(MAX_INTERVAL);
        self.samples = (self.samples + 1).min(INTERVAL_EWMA_DIVISOR);
        self.mean = (self.mean * (self.samples - 1) + newest) / self.samples;
    }

    /// How long to use the report of one of `targets` targets.
    pub fn report_ttl(&self, targets: usize) -> Duration {
        let round = self.mean * targets as u32;
        (round * REPORT_ROUNDS).clamp(MIN_REPORT_TTL, MAX_REPORT_TTL)
    }
}
