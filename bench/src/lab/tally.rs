//! What callers saw, and what crossed between zones.

use serde::Serialize;
use std::collections::BTreeMap;
use sycamore_core::Name;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered within its objective.
    InTime,
    /// Answered later.
    Late,
    /// Turned away, and not asked again.
    Refused,
    /// Failed, or its deadline passed.
    Failed,
    /// Its caller left.
    GaveUp,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Asked by callers who stayed.
    pub asked: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Turned away for good.
    pub refused: u64,
    /// Failed, or their deadline passed.
    pub failed: u64,
    /// Worth of the answers.
    pub earned: f64,
    /// Worth of as many answers in time.
    pub owed: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests that came and were answered within their objective.
    pub in_time: u64,
    /// Requests that came and were answered later.
    pub late: u64,
    /// Requests that came and were turned away or failed.
    pub lost: u64,
    /// Requests at gatekeepers without a slot at the end of the second.
    pub queued: u64,
}

/// What happened in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// By kind of request.
    pub kinds: BTreeMap<Name, Counts>,
    /// Nested calls that were answered, and that were not.
    pub nested: (u64, u64),
    /// Bytes by the numbers of the zones between which they went, the sender's first.
    pub bytes: Vec<Vec<u64>>,
    /// Bytes between zones of one region, and between regions.
    pub crossed: (u64, u64),
    /// Requests handed to targets, and those of them beyond a request's first.
    pub arrivals: (u64, u64),
    /// Refusals that callers got, those counted that came back.
    pub refusals: u64,
    /// Second by second.
    pub seconds: Vec<Second>,
}

impl Tally {
    /// An empty tally over so many zones and seconds.
    pub fn new(zones: usize, seconds: usize) -> Tally {
        Tally {
            bytes: vec![vec![0; zones]; zones],
            seconds: vec![Second::default(); seconds],
            ..Tally::default()
        }
    }

    /// A request came in `second`, and ended so.
    pub fn count(&mut self, kind: &Name, worth: (f64, f64), second: usize, ending: Ending) {
        let last = self.seconds.len().saturating_sub(1);
        let Some(second) = self.seconds.get_mut(second.min(last)) else {
            return;
        };
        let counts = self.kinds.entry(kind.clone()).or_default();
        if ending == Ending::GaveUp {
            return;
        }
        counts.asked += 1;
        counts.owed += worth.0;
        match ending {
            Ending::InTime => {
                counts.in_time += 1;
                counts.earned += worth.0;
                second.in_time += 1;
            }
            Ending::Late => {
                counts.late += 1;
                counts.earned += worth.1;
                second.late += 1;
            }
            Ending::Refused => {
                counts.refused += 1;
                second.lost += 1;
            }
            Ending::Failed => {
                counts.failed += 1;
                second.lost += 1;
            }
            Ending::GaveUp => {}
        }
    }

    /// All kinds together.
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

    /// Megabytes that left a zone.
    pub fn crossed_mb(&self) -> f64 {
        (self.crossed.0 + self.crossed.1) as f64 / 1e6
    }

    /// Repeats at targets, in percent of first arrivals.
    pub fn repeats_percent(&self) -> f64 {
        let (all, repeats) = self.arrivals;
        100.0 * repeats as f64 / (all - repeats).max(1) as f64
    }
}

impl Counts {
    /// Part of the requests that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Part of the requests that were answered.
    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.asked.max(1) as f64
    }

    /// Worth earned as a part of that owed.
    pub fn worth(&self) -> f64 {
        if self.owed == 0.0 { 1.0 } else { self.earned / self.owed }
    }
}
