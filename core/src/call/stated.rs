//! What a target states about itself in its responses.

use crate::Name;
use crate::config::Target;
use std::fmt;

/// Thousandths per request, the unit of [`RateLimit`].
const MILLI: f64 = 1_000.0;

/// Bounds of a [`WorkPace`].
const MIN_PERCENT: f64 = 10.0;
const MAX_PERCENT: f64 = 10_000.0;

key! {
    /// Requests per second that a target accepts from all nodes together.
    pub struct RateLimit {
        /// Thousandths of a request per second. 0 if the target accepts none.
        pub milli: u64,
    }
}

key! {
    /// How long work takes on a target's VM at the moment.
    pub struct WorkPace {
        /// In percent of the usual time.
        pub percent: u32,
    }
}

data! {
    /// The rate limit in the head of a response.
    #[derive(Copy, Default)]
    pub enum StatedLimit {
        /// The response states none.
        #[default]
        Absent,
        /// The response states something that is not a rate. What was known before still holds.
        Unreadable,
        Limit(RateLimit),
    }

    /// Statements of a target in the head of one response.
    #[derive(Copy, Default)]
    pub struct Statement {
        pub limit: StatedLimit,
        /// Whether the target is leaving: its process ends soon and accepts no new work.
        pub leaving: bool,
        /// `None` if the response states none, or something that is not a pace.
        pub pace: Option<WorkPace>,
    }
}

data! {
    /// The statements of a target's process that hold.
    #[derive(Copy, Default)]
    pub struct TargetStatements {
        /// Its rate limit; `None` if it states none.
        pub limit: Option<RateLimit>,
        /// Whether it is leaving. Holds for the lifetime of the process.
        pub leaving: bool,
    }
}

json! {
    /// Identifies a process of a target. A process that restarts may keep its incarnation.
    pub struct TargetProcess {
        pub incarnation: Option<Name>,
        /// When it started, in milliseconds since the Unix epoch.
        pub started_ms: Option<u64>,
    }
}

impl TargetProcess {
    /// The listed process of a target.
    pub fn listed(target: &Target) -> TargetProcess {
        TargetProcess { incarnation: target.incarnation.clone(), started_ms: target.started_ms }
    }

    /// Whether one process of a target can be told from another.
    pub fn is_known(&self) -> bool {
        self.incarnation.is_some() || self.started_ms.is_some()
    }

    /// Whether this is certainly another process than `other`. An identification that only one of
    /// them has says nothing.
    pub fn differs_from(&self, other: &TargetProcess) -> bool {
        let incarnations = self.incarnation.as_ref().zip(other.incarnation.as_ref());
        let starts = self.started_ms.zip(other.started_ms);
        incarnations.is_some_and(|(own, other)| own != other)
            || starts.is_some_and(|(own, other)| own != other)
    }
}

impl RateLimit {
    /// Parses a decimal number of requests per second. Returns `None` unless it is finite and not
    /// negative.
    pub fn parse(text: &str) -> Option<RateLimit> {
        let per_second: f64 = text.trim().parse().ok()?;
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then_some(RateLimit { milli: (per_second * MILLI) as u64 })
    }

    pub fn per_second(self) -> f64 {
        self.milli as f64 / MILLI
    }
}

impl WorkPace {
    /// Parses a decimal number of percent. Returns `None` unless it is finite and positive. Extreme
    /// values are clamped.
    pub fn parse(text: &str) -> Option<WorkPace> {
        let percent: f64 = text.trim().parse().ok()?;
        let is_pace = percent.is_finite() && percent > 0.0;
        is_pace.then_some(WorkPace { percent: percent.clamp(MIN_PERCENT, MAX_PERCENT) as u32 })
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.milli / 1_000, self.milli % 1_000)
    }
}

impl StatedLimit {
    /// The limit, if one is stated.
    pub fn limit(self) -> Option<RateLimit> {
        match self {
            StatedLimit::Limit(limit) => Some(limit),
            StatedLimit::Absent | StatedLimit::Unreadable => None,
        }
    }
}

impl Statement {
    /// Whether the response states nothing.
    pub fn is_empty(&self) -> bool {
        self.limit == StatedLimit::Absent && !self.leaving && self.pace.is_none()
    }
}
