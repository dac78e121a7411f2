//! Results seen by callers, and traffic between zones.

use serde::Serialize;
use std::collections::BTreeMap;
use sycamore_core::Name;

/// Final outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered within the latency objective.
    InTime,
    /// Answered after the objective.
    Late,
    /// Rejected and not retried.
    Refused,
    /// Failed, or exceeded its deadline.
    Failed,
    /// Abandoned by its caller.
    GaveUp,
}

/// Results for one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that were not abandoned.
    pub asked: u64,
    /// Requests answered within the objective.
    pub in_time: u64,
    /// Requests answered after the objective.
    pub late: u64,
    /// Requests rejected and not retried.
    pub refused: u64,
    /// Requests that failed or exceeded their deadline.
    pub failed: u64,
    /// Worth of the responses.
    pub earned: f64,
    /// Worth if all requests had been answered in time.
    pub owed: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests that arrived in this second and were answered within the objective.
    pub in_time: u64,
    /// Requests that arrived in this second and were answered after the objective.
    pub late: u64,
    /// Requests that arrived in this second and were rejected or failed.
    pub lost: u64,
    /// Requests queued at gatekeepers at the end of the second.
    pub queued: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Results by kind of request.
    pub kinds: BTreeMap<Name, Counts>,
    /// Nested calls that were answered, and those that were not.
    pub nested: (u64, u64),
    /// Bytes sent, indexed by source zone and destination zone.
    pub bytes: Vec<Vec<u64>>,
    /// Bytes sent between zones of one region, and between regions.
    pub crossed: (u64, u64),
    /// Attempts handed to targets, and how many of them were repeats.
    pub arrivals: (u64, u64),
    /// Rejections received by callers, including those that were retried.
    pub refusals: u64,
    /// Requests refused, retried by their caller and refused again.
    pub refused_again: u64,
    /// By kind, waits in the queues of gatekeepers, and those during which a slot that the request
    /// may use stood free in the region of its entry node.
    pub waits: BTreeMap<Name, (u64, u64)>,
    /// Results by second.
    pub seconds: Vec<Second>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(zones: usize, seconds: usize) -> Tally {
        Tally {
            bytes: vec![vec![0; zones]; zones],
            seconds: vec![Second::default(); seconds],
            ..Tally::default()
        }
    }

    /// Counts a request that arrived in `second`.
    pub fn record(
        &mut self,
        kind: &Name,
        worth: (f64, f64),
        second: usize,
        outcome: RequestOutcome,
    ) {
        let last = self.seconds.len().saturating_sub(1);
        let Some(second) = self.seconds.get_mut(second.min(last)) else {
            return;
        };
        let counts = self.kinds.entry(kind.clone()).or_default();
        if outcome == RequestOutcome::GaveUp {
            return;
        }
        counts.asked += 1;
        counts.owed += worth.0;
        match outcome {
            RequestOutcome::InTime => {
                counts.in_time += 1;
                counts.earned += worth.0;
                second.in_time += 1;
            }
            RequestOutcome::Late => {
                counts.late += 1;
                counts.earned += worth.1;
                second.late += 1;
            }
            RequestOutcome::Refused => {
                counts.refused += 1;
                second.lost += 1;
            }
            RequestOutcome::Failed => {
                counts.failed += 1;
                second.lost += 1;
            }
            RequestOutcome::GaveUp => {}
        }
    }

    /// Sum over all kinds.
    pub fn total(&self) -> Counts {
        self.kinds.values().fold(Counts::default(), |sum, counts| Counts {
            asked: sum.asked + counts.asked,
            in_time: sum.in_time + counts.in_time,
            late: sum.late + counts.late,
            refused: sum.refused + counts.refused,
            failed: sum.failed + counts.failed,
            earned: sum.earned + counts.earned,
            owed: sum.owed + counts.owed,
        })
    }

    /// Megabytes sent between zones.
    pub fn crossed_mb(&self) -> f64 {
        (self.crossed.0 + self.crossed.1) as f64 / 1e6
    }

    /// Waits of all kinds, and those during which a slot that the request may use stood free.
    pub fn all_waits(&self) -> (u64, u64) {
        self.waits.values().fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1))
    }

    /// Waits during which a slot that the request may use stood free, in percent.
    pub fn free_waits_percent(&self) -> f64 {
        let (all, beside) = self.all_waits();
        100.0 * beside as f64 / all.max(1) as f64
    }

    /// Ratio of the earned worth to the maximum, of the kind that is served worst.
    pub fn worst_worth(&self) -> f64 {
        self.kinds.values().map(Counts::worth).fold(1.0, f64::min)
    }

    /// Repeated attempts at targets, in percent of first attempts.
    pub fn repeats_percent(&self) -> f64 {
        let (all, repeats) = self.arrivals;
        100.0 * repeats as f64 / (all - repeats).max(1) as f64
    }
}

impl Counts {
    /// Share of requests answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Share of requests answered.
    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.asked.max(1) as f64
    }

    /// Ratio of the earned worth to the maximum.
    pub fn worth(&self) -> f64 {
        if self.owed == 0.0 { 1.0 } else { self.earned / self.owed }
    }
}
