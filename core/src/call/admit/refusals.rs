//! Refusals of requests with ample slack, by class and reason.

use crate::config::Class;

/// Why a request with ample slack is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The limit on parked requests is reached.
    Full,
    /// Neither in time, nor served by spare capacity before the deadline.
    NotInTime,
    /// A more urgent request needs the capacity.
    Displaced,
    /// Missed the latest start, without spare capacity to be served late.
    Overdue,
    /// Was late, and the spare capacity has become less.
    NoSpareRate,
    /// The latest start that meets the deadline has passed.
    Expired,
}

impl RefusalReason {
    pub const ALL: [RefusalReason; 6] = [
        RefusalReason::Full,
        RefusalReason::NotInTime,
        RefusalReason::Displaced,
        RefusalReason::Overdue,
        RefusalReason::NoSpareRate,
        RefusalReason::Expired,
    ];

    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::Full => "full",
            RefusalReason::NotInTime => "not-in-time",
            RefusalReason::Displaced => "displaced",
            RefusalReason::Overdue => "overdue",
            RefusalReason::NoSpareRate => "no-spare-rate",
            RefusalReason::Expired => "expired",
        }
    }
}

/// Number of refusals by class and reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    counts: [[u32; RefusalReason::ALL.len()]; 3],
}

impl Refusals {
    pub(super) fn record(&mut self, class: Class, reason: RefusalReason) {
        let count = &mut self.counts[class as usize][reason as usize];
        *count = count.saturating_add(1);
    }

    pub fn of(&self, class: Class, reason: RefusalReason) -> u32 {
        self.counts[class as usize][reason as usize]
    }

    pub fn total(&self) -> u32 {
        self.counts.iter().flatten().sum()
    }
}
