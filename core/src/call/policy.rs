//! Feature toggles and parameters of the call path.
//!
//! Nodes run with all mechanisms enabled, except those that their settings leave disabled.
//! Benchmarks use [`Policy`] to disable any mechanism or to change a parameter.

use std::collections::BTreeSet;

kebab_enum! {
    /// A mechanism that can be disabled.
    pub enum Mechanism {
        /// Adds a cost to targets that are farther away.
        Distance,
        /// Keeps bulk responses within their region while it has a target.
        BulkStays,
        /// Uses measured response times to avoid slow targets.
        AnswerTimes,
        /// Uses reported loads to avoid overloaded targets.
        ReportedLoads,
        /// Uses the run times that gatekeepers report for targets without a recent measurement.
        ReportedRunTimes,
        /// Scales the expected run time by what the target states about its VM.
        StatedPace,
        /// Adds a cost to targets with a high failure rate.
        FailureShare,
        /// Avoids targets that recently rejected a request because of load.
        FullKnown,
        /// Queues a request at one target when all are overloaded, instead of trying several.
        FullOnce,
        /// Deducts the time that the caller has already waited from the objective.
        Patience,
        /// Prioritizes requests that can still meet their objective.
        InTimeFirst,
        /// Prioritizes nested calls, the deepest first.
        NestedFirst,
        /// Reserves slots for nested calls.
        SlotsKept,
        /// Limits the share of slots that bulk responses may occupy.
        BulkShare,
        /// Periodically admits a bulk response before other queued requests.
        BulkTurn,
        /// Limits retries to a share of first attempts.
        RetryBudget,
        /// Sends a second attempt of a slow idempotent request.
        Hedges,
        /// Shortens the queue of a target that is overloaded for longer than a moment.
        StandingQueue,
        /// Leaves full targets to requests that are bound to their regions.
        SharedRoom,
        /// Parks requests with ample time before their objective instead of rejecting them.
        Parking,
        /// Recalls attempts without a response from their gatekeepers.
        Recall,
        /// Spreads the returns of rejected callers over the expected duration of a shortage.
        SpreadReturns,
        /// Places requests by the demand and the room of each zone.
        ZoneFlows,
    }
}

impl Mechanism {
    pub const ALL: [Mechanism; 23] = [
        Mechanism::Distance,
        Mechanism::BulkStays,
        Mechanism::AnswerTimes,
        Mechanism::ReportedLoads,
        Mechanism::ReportedRunTimes,
        Mechanism::StatedPace,
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
        Mechanism::StandingQueue,
        Mechanism::SharedRoom,
        Mechanism::Parking,
        Mechanism::Recall,
        Mechanism::SpreadReturns,
        Mechanism::ZoneFlows,
    ];
}

/// Enabled mechanisms and their parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    disabled: BTreeSet<Mechanism>,
    /// How long a request may stay queued past the latest start that meets its objective, in percent
    /// of a typical run.
    pub late_wait_percent: u32,
    /// Maximum share of its available waiting time that a request may spend queued at the first
    /// target, in percent.
    pub first_wait_percent: u32,
    /// Maximum expected wait behind a standing queue, in percent of a typical run.
    pub standing_wait_percent: u32,
    /// Cost of leaving the zone and of leaving the region, in percent of the typical latency of the
    /// service.
    pub distance_percent: [u32; 2],
    /// Maximum number of requests parked at a gatekeeper.
    pub parked_requests: u32,
}

/// Short, so that slots go to requests that can meet their objective. Not zero, so that otherwise
/// idle slots still serve late requests.
const LATE_WAIT_PERCENT: u32 = 50;

/// A longer queue may be specific to this target, so the request is rejected while it has time to
/// be sent to another.
const FIRST_WAIT_PERCENT: u32 = 30;

/// A few requests per target, which keep the slots busy.
const STANDING_WAIT_PERCENT: u32 = 60;

/// Traffic between zones and regions is billed by volume, so it must save this much waiting time.
const DISTANCE_PERCENT: [u32; 2] = [50, 100];

/// Several seconds of the load of a target with a narrow link.
const PARKED_REQUESTS: u32 = 1_000;

impl Policy {
    /// Enables all mechanisms, with default parameters.
    pub fn new() -> Policy {
        Policy {
            disabled: BTreeSet::new(),
            late_wait_percent: LATE_WAIT_PERCENT,
            first_wait_percent: FIRST_WAIT_PERCENT,
            standing_wait_percent: STANDING_WAIT_PERCENT,
            distance_percent: DISTANCE_PERCENT,
            parked_requests: PARKED_REQUESTS,
        }
    }

    pub fn without(mut self, mechanism: Mechanism) -> Policy {
        self.disabled.insert(mechanism);
        self
    }

    pub fn with_parked_requests(self, parked_requests: u32) -> Policy {
        Policy { parked_requests, ..self }
    }

    /// Names of the parameters.
    pub const VALUES: [&str; 6] = [
        "late-wait-percent",
        "first-wait-percent",
        "standing-wait-percent",
        "region-percent",
        "across-percent",
        "parked-requests",
    ];

    /// Sets a parameter. Returns `None` if the name is unknown.
    pub fn with_value(mut self, name: &str, value: u64) -> Option<Policy> {
        match name {
            "late-wait-percent" => self.late_wait_percent = value as u32,
            "first-wait-percent" => self.first_wait_percent = value as u32,
            "standing-wait-percent" => self.standing_wait_percent = value as u32,
            "region-percent" => self.distance_percent[0] = value as u32,
            "across-percent" => self.distance_percent[1] = value as u32,
            "parked-requests" => self.parked_requests = value as u32,
            _ => return None,
        }
        Some(self)
    }

    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::new()
    }
}
