//! Expected run times at a target.
//!
//! Targets that share their VM with other work may state how long work takes at the moment. The
//! pace scales the mean run time; what is unusual about it lasts for less than a second.

use crate::Time;
use crate::call::{Pace, WorkPace};
use crate::config::Class;
use std::time::Duration;

/// Run time assumed until the first request has completed.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(5);

/// A new sample is weighted by the reciprocal of this in the moving average. The first samples are
/// weighted equally.
const EWMA_DIVISOR: u32 = 8;

/// The newest pace is weighted by the reciprocal of this in the moving average.
const PACE_EWMA_DIVISOR: u32 = 32;

/// Pace of a target that states none.
const NO_PACE: WorkPace = WorkPace { percent: 100 };

/// Moving averages of the run times by class.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTimes {
    // At a pace of 100 %.
    means: [Duration; 3],
    // Number of samples, up to `EWMA_DIVISOR`.
    samples: [u32; 3],
    stated: Option<StatedPace>,
}

/// What the target states about its pace.
#[derive(Clone, Copy, Debug)]
struct StatedPace {
    newest: WorkPace,
    stated_at: Time,
    usual: WorkPace,
}

impl RunTimes {
    pub(super) fn new() -> RunTimes {
        RunTimes { means: [INITIAL_RUN_TIME; 3], samples: [0; 3], stated: None }
    }

    /// Records a run at the newest stated pace.
    pub(super) fn record(&mut self, class: Class, took: Duration) {
        let pace = self.stated.map_or(NO_PACE, |stated| stated.newest);
        let took = took * 100 / pace.percent;
        let samples = &mut self.samples[class as usize];
        *samples = (*samples + 1).min(EWMA_DIVISOR);
        let mean = &mut self.means[class as usize];
        *mean = (*mean * (*samples - 1) + took) / *samples;
    }

    pub(super) fn record_pace(&mut self, now: Time, newest: WorkPace) {
        let before = self.stated.map_or(newest, |stated| stated.usual).percent;
        let sum = before * (PACE_EWMA_DIVISOR - 1) + newest.percent;
        let usual = WorkPace { percent: (sum + PACE_EWMA_DIVISOR / 2) / PACE_EWMA_DIVISOR };
        self.stated = Some(StatedPace { newest, stated_at: now, usual });
    }

    /// Run time of a class expected at the moment. Assumed if none has run.
    pub(super) fn expected(&self, now: Time, class: Class) -> Duration {
        self.pace(now).scale(self.usual(class), Duration::ZERO)
    }

    /// Run time of a class at the usual pace; `None` if none has run.
    pub(super) fn measured(&self, class: Class) -> Option<Duration> {
        (self.samples[class as usize] > 0).then(|| self.usual(class))
    }

    /// Run time of the slowest class at the usual pace.
    pub(super) fn longest(&self) -> Duration {
        let all = [Class::Gating, Class::Interactive, Class::Bulk];
        all.into_iter().map(|class| self.usual(class)).max().unwrap_or_default()
    }

    /// Run times by class at the usual pace, in milliseconds; 0 if none has run.
    pub(super) fn usual_ms(&self) -> [u32; 3] {
        [Class::Gating, Class::Interactive, Class::Bulk].map(|class| {
            match self.samples[class as usize] {
                0 => 0,
                _ => (self.usual(class).as_millis() as u32).max(1),
            }
        })
    }

    /// The pace at the moment, relative to the usual one.
    pub(super) fn pace(&self, now: Time) -> Pace {
        let Some(StatedPace { newest, stated_at, usual }) = self.stated else {
            return Pace::USUAL;
        };
        let stated = Pace { percent: newest.percent * 100 / usual.percent };
        stated.after(now.since(stated_at))
    }

    fn usual(&self, class: Class) -> Duration {
        let pace = self.stated.map_or(NO_PACE, |stated| stated.usual);
        self.means[class as usize] * pace.percent / 100
    }
}
