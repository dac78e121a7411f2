//! Faults of a scenario.

use serde::{Deserialize, Serialize};
use sycamore_core::Name;

/// A fault that lasts for a limited time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trouble {
    /// Start, relative to the start of the run.
    pub at_s: f64,
    /// Duration.
    pub for_s: f64,
    /// Kind of fault.
    #[serde(flatten)]
    pub what: TroubleKind,
}

/// Kind of fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TroubleKind {
    /// Changes the request rate in one zone or in all zones.
    Burst {
        /// Rate multiplier.
        factor: f64,
        /// Affected zone; all zones if absent.
        zone: Option<Name>,
    },
    /// Moves a share of the callers from one zone to another.
    Shift {
        /// Source zone.
        from: Name,
        /// Destination zone.
        to: Name,
        /// Share of the callers.
        share: f64,
    },
    /// Callers retry without backoff and more often.
    Abuse {
        /// Share of the callers.
        share: f64,
        /// Additional retries.
        times: u32,
    },
    /// Callers abandon their requests.
    GiveUp {
        /// Share of the callers.
        share: f64,
        /// Time until a request is abandoned.
        after_ms: u32,
    },
    /// Targets are slow.
    Slow {
        /// Affected service.
        service: Name,
        /// Share of its targets.
        share: f64,
        /// Work time multiplier.
        factor: f64,
    },
    /// Targets fail a share of their requests.
    Grey {
        /// Affected service.
        service: Name,
        /// Share of its targets.
        share: f64,
        /// Share of the requests.
        errors: f64,
    },
    /// Targets reject a share of their requests without running them.
    Shed {
        /// Affected service.
        service: Name,
        /// Share of its targets.
        share: f64,
        /// Share of the requests.
        part: f64,
    },
    /// Targets run requests, but silently drop a share of the responses.
    Mute {
        /// Affected service.
        service: Name,
        /// Share of its targets.
        share: f64,
        /// Share of the responses.
        part: f64,
    },
    /// Targets state a rate limit in their responses.
    Limited {
        /// Affected service.
        service: Name,
        /// Share of its targets.
        share: f64,
        /// Requests per second and target.
        per_s: f64,
    },
    /// A group of nodes is partitioned from the other nodes. Callers and targets still reach them.
    Partition {
        /// Share of the nodes.
        share: f64,
    },
    /// VMs stop, and restart with cold targets when the fault ends.
    Lost {
        /// Affected zone; all zones if absent.
        zone: Option<Name>,
        /// Share of the VMs.
        share: f64,
    },
    /// Targets drain as planned, and return when the fault ends.
    Leave {
        /// Affected service.
        service: Name,
        /// Share of its targets.
        share: f64,
    },
}
