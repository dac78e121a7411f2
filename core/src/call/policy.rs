//! Which mechanisms of the call path are at work.
//!
//! All of them are, in every node. A [`Policy`] is the one place where one can be switched off, or
//! a value changed, to find out what it is worth: deciders take it when they are made. It is no
//! setting of operators.

use std::collections::BTreeSet;
use std::time::Duration;

choice! {
    /// A mechanism that can be switched off.
    pub enum Part {
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
        /// Another target is asked after one has refused for load.
        SpareForwards,
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
    }
}

impl Part {
    /// Every part.
    pub const ALL: [Part; 15] = [
        Part::Distance,
        Part::BulkStays,
        Part::AnswerTimes,
        Part::ReportedLoads,
        Part::FailureShare,
        Part::FullKnown,
        Part::FullOnce,
        Part::SpareForwards,
        Part::Patience,
        Part::InTimeFirst,
        Part::NestedFirst,
        Part::SlotsKept,
        Part::BulkShare,
        Part::BulkTurn,
        Part::RetryBudget,
    ];
}

/// Mechanisms at work, and the values that they work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Part>,
    /// How long a request may wait beyond its objective, behind all that can still meet theirs.
    pub late_wait: Duration,
}

/// Callers wait for seconds; one that is turned away instead can come back elsewhere.
const LATE_WAIT: Duration = Duration::from_millis(600);

impl Policy {
    /// Everything at work.
    pub fn new() -> Policy {
        Policy { without: BTreeSet::new(), late_wait: LATE_WAIT }
    }

    /// The same without a part.
    pub fn with_off(mut self, part: Part) -> Policy {
        self.without.insert(part);
        self
    }

    /// Names of the values that can be changed.
    pub const VALUES: [&str; 1] = ["late-wait-ms"];

    /// The same with another value. `None` if there is none of this name.
    pub fn with_value(mut self, name: &str, value: u64) -> Option<Policy> {
        match name {
            "late-wait-ms" => self.late_wait = Duration::from_millis(value),
            _ => return None,
        }
        Some(self)
    }

    /// Whether a part is at work.
    pub fn has(&self, part: Part) -> bool {
        !self.without.contains(&part)
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::new()
    }
}
