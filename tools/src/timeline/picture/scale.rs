//! Mapping of time to the horizontal axis.

use std::time::Duration;
use sycamore_core::Time;

/// Maximum number of tick intervals on the axis.
const MAX_TICKS: f64 = 14.0;

/// Linear scale from time to x coordinates.
#[derive(Clone, Copy, Debug)]
pub struct TimeScale {
    start: Time,
    duration: Duration,
    left: f64,
    right: f64,
}

/// A tick of the axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Tick {
    /// X coordinate.
    pub x: f64,
    /// Seconds since the start of the scale.
    pub label: String,
}

impl TimeScale {
    /// Creates a scale that maps `start` to `left` and `end` to `right`.
    pub fn new(start: Time, end: Time, left: f64, right: f64) -> TimeScale {
        // Avoids a division by zero for a timeline with a single event.
        let duration = end.since(start).max(Duration::from_millis(1));
        TimeScale { start, duration, left, right }
    }

    /// Returns the x coordinate of a time, clamped to the scale.
    pub fn x(&self, time: Time) -> f64 {
        let fraction = time.since(self.start).as_secs_f64() / self.duration.as_secs_f64();
        self.left + fraction.min(1.0) * (self.right - self.left)
    }

    /// Returns ticks at round numbers of seconds.
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

/// Returns the smallest of 1, 2 and 5 times a power of ten that is at least `min_step`.
fn round_step(min_step: f64) -> f64 {
    let power = 10f64.powf(min_step.log10().floor());
    let steps = [1.0, 2.0, 5.0].map(|digit| digit * power);
    steps.into_iter().find(|step| *step >= min_step).unwrap_or(10.0 * power)
}
