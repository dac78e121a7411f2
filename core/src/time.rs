//! Timestamps used by the core logic.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

key! {
    /// Microseconds since the Unix epoch. Monotonic within one process: the clock adapter reads the
    /// wall clock once at startup and adds a monotonic offset to it.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Time(pub u64);
}

impl Time {
    pub const ZERO: Time = Time(0);

    /// Creates a time from milliseconds since the Unix epoch.
    pub fn from_millis(ms: u64) -> Time {
        Time(ms.saturating_mul(1_000))
    }

    /// Whole milliseconds since the Unix epoch.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
