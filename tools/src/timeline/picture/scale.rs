//! Time on the horizontal axis.

use std::time::Duration;
use sycamore_core::Time;

/// Most ticks on the axis.
const MAX_TICKS: f64 = 14.0;

/// Maps times to places between two edges.
#[derive(Clone, Copy, Debug)]
pub struct TimeScale {
    start: Time,
    duration: Duration,
    left: f64,
    right: f64,
}

/// A mark on the axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Tick {
    /// Place.
    pub x: f64,
    /// Seconds since the start.
    pub label: String,
}

impl TimeScale {
    /// A scale that puts `start` at `left` and `end` at `right`.
    pub fn new(start: Time, end: Time, left: f64, right: f64) -> TimeScale {
        // A time line with one event would have no length to divide by.
        let duration = end.since(start).max(Duration::from_millis(1));
        TimeScale { start, duration, left, right }
    }

    /// The place of a time; one outside the scale is put at its edge.
    pub fn x(&self, time: Time) -> f64 {
        let fraction = time.since(self.start).as_secs_f64() / self.duration.as_secs_f64();
        self.left + fraction.min(1.0) * (self.right - self.left)
    }

    /// Ticks at round numbers of seconds.
    pub fn ticks(&self) -> Vec<Tick> {
        let duration = self.duration.as_secs_f64();
        let step = round_step(duration / MAX_TICKS);
        let count = (duration / step).floor() as usize;
        let decimals = (-step.log10().floor()).max(0.0) as usize;
        let tick = |index: usize| {
            let seconds = index as f64 * step;
            let x = self.left + seconds / duration * (self.right - self.left);
            Tick { x, label: format!("{seconds:.decimals$}") }
        };
        (0..=count).map(tick).collect()
    }
}

/// The smallest of 1, 2 and 5 times a power of ten that is at least `smallest`.
fn round_step(min_step: f64) -> f64 {
    let power = 10f64.powf(min_step.log10().floor());
    let steps = [1.0, 2.0, 5.0].map(|digit| digit * power);
    steps.into_iter().find(|step| *step >= min_step).unwrap_or(10.0 * power)
}
