//! How long a target takes for a request of one class.

use std::time::Duration;

/// Assumed before any request has ended.
const FIRST: Duration = Duration::from_millis(5);

/// Weight of the newest time in the running mean and deviation, as one part in so many.
const WEIGHT: u32 = 8;

/// The time from a request's start to the end of its answer, as measured.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    mean: Duration,
    // Mean of the distances from the mean.
    deviation: Duration,
}

impl RunTime {
    /// Nothing measured yet.
    pub fn new() -> RunTime {
        RunTime { mean: FIRST, deviation: Duration::ZERO }
    }

    /// Takes in the time of one more request.
    pub fn add(&mut self, took: Duration) {
        let distance = took.abs_diff(self.mean);
        self.deviation = (self.deviation * (WEIGHT - 1) + distance) / WEIGHT;
        self.mean = (self.mean * (WEIGHT - 1) + took) / WEIGHT;
    }

    /// The usual time.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// A time that about four of five requests keep within.
    ///
    /// Guards against a full target that answers late in half of the cases: whoever waits there is
    /// let in up to the last moment at which it can be in time. By the mean, which half of the
    /// runs exceed, half of those would be late, and their slots lost for others.
    pub fn likely(&self) -> Duration {
        self.mean + self.deviation
    }
}

impl Default for RunTime {
    fn default() -> RunTime {
        RunTime::new()
    }
}
