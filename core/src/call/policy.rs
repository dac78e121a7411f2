//! Which mechanisms of the call path are at work.
//!
//! All of them are, in every node. A [`Policy`] is the one place where one can be switched off, or
//! a value changed, to find out what it is worth: deciders take it when they are made. It is no
//! setting of operators.

use std::collections::BTreeSet;

kebab_enum! {
    /// A mechanism that can be switched off.
    pub enum Mechanism {
        /// Targets that are farther away count as dearer.
        Distance,
        /// Large answers stay in their region while it has a target.
        BulkStays,
        /// Measured answer times tell slow targets from fast ones.
        AnswerTimes,
        /// Reported loads tell full targets from free ones.
        ReportedLoads,
        /// Targets that fail a share of their requests count as dearer.
        FailureShare,
        /// A target that has refused for load is passed over for a while.
        FullKnown,
        /// When all targets are full, a request goes to one of them, and not to several in turn.
        FullOnce,
        /// What a caller has waited before counts against its objective.
        Patience,
        /// Who can be in time goes before who can't.
        InTimeFirst,
        /// Nested calls go before callers' requests, the deepest first.
        NestedFirst,
        /// Slots are kept free for nested calls.
        SlotsKept,
        /// Large answers hold a share of the slots at most.
        BulkShare,
        /// Now and then a large answer goes before others that wait.
        BulkTurn,
        /// Retries stay under a share of first attempts.
        RetryBudget,
        /// A repeatable request that takes longer than nearly all is sent to a second target too.
        Hedges,
    }
}

impl Mechanism {
    /// Every part.
    pub const ALL: [Mechanism; 15] = [
        Mechanism::Distance,
        Mechanism::BulkStays,
        Mechanism::AnswerTimes,
        Mechanism::ReportedLoads,
        Mechanism::FailureShare,
        Mechanism::FullKnown,
        Mechanism::FullOnce,
        Mechanism::Patience,
        Mechanism::InTimeFirst,
        Mechanism::NestedFirst,
        Mechanism::SlotsKept,
        Mechanism::BulkShare,
        Mechanism::BulkTurn,
        Mechanism::RetryBudget,
        Mechanism::Hedges,
    ];
}

/// Mechanisms at work, and the values that they work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    disabled: BTreeSet<Mechanism>,
    /// How long a request may wait beyond its latest start for an answer in time, behind all that
    /// can still be in time; in percent of a usual run.
    pub late_wait_percent: u32,
    /// How much of its time for waiting a request may use up where it asks first; in percent.
    pub first_wait_percent: u32,
    /// What the way to another zone, and to another region, costs; in percent of the service's
    /// usual answer time.
    pub distance_percent: [u32; 2],
}

/// Short, so that slots go to those that can still be answered in time; not zero, so that a slot
/// which nobody else wants answers somebody.
const LATE_WAIT_PERCENT: u32 = 50;

/// A target that would use up more has a queue that others may not have: the refusal sends the
/// next requests elsewhere while they have time left, and this one waits.
const FIRST_WAIT_PERCENT: u32 = 30;

/// Traffic between zones and regions is paid by volume: it must save its caller that much waiting.
const DISTANCE_PERCENT: [u32; 2] = [50, 100];

impl Policy {
    /// Everything at work.
    pub fn new() -> Policy {
        Policy {
            disabled: BTreeSet::new(),
            late_wait_percent: LATE_WAIT_PERCENT,
            first_wait_percent: FIRST_WAIT_PERCENT,
            distance_percent: DISTANCE_PERCENT,
        }
    }

    /// The same without a part.
    pub fn without(mut self, mechanism: Mechanism) -> Policy {
        self.disabled.insert(mechanism);
        self
    }

    /// Names of the values that can be changed.
    pub const VALUES: [&str; 4] =
        ["late-wait-percent", "first-wait-percent", "region-percent", "across-percent"];

    /// The same with another value. `None` if there is none of this name.
    pub fn with_value(mut self, name: &str, value: u64) -> Option<Policy> {
        match name {
            "late-wait-percent" => self.late_wait_percent = value as u32,
            "first-wait-percent" => self.first_wait_percent = value as u32,
            "region-percent" => self.distance_percent[0] = value as u32,
            "across-percent" => self.distance_percent[1] = value as u32,
            _ => return None,
        }
        Some(self)
    }

    /// Whether a part is at work.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::new()
    }
}
