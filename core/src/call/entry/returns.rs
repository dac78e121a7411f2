//! When rejected callers should return.
//!
//! Load pattern: a service lacks room for seconds. Callers that return at once use up their few
//! retries before it has any.

use super::retry::is_overload;
use super::{Call, Entry};
use crate::call::policy::Mechanism;
use crate::{Code, Name, Time};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The newest attempt is weighted by the reciprocal of this in the moving share of rejections.
const SHARE_EWMA_DIVISOR: u32 = 16;

/// Fixed-point scale of the share.
const SHARE_SCALE: u32 = 1_024;

/// A shortage begins at the first share and ends at the second. Below, most callers that return at
/// once are served.
const SHORTAGE_BEGINS: u32 = SHARE_SCALE / 4;
const SHORTAGE_ENDS: u32 = SHARE_SCALE / 8;

/// A shortage that has lasted for less is a burst, which the queues absorb.
const MIN_SHORTAGE: Duration = Duration::from_millis(300);

/// How long a caller waits, in percent of the time for which the shortage has lasted; drawn at random
/// to spread the returns. A shortage that has lasted for some time is over after as long again in
/// one of two cases, and after three times as long in three of four.
const SPREAD_PERCENT: RangeInclusive<u32> = 100..=300;

/// The time left to a caller is divided by this to get the maximum delay of its return, so that
/// time remains for the attempt and for another return.
const TIME_LEFT_DIVISOR: u32 = 3;

/// Maximum number of services. The table is cleared when it is full.
const MAX_SERVICES: usize = 4_096;

/// Shortages of room, by service, as seen by one entry node.
#[derive(Debug)]
pub(super) struct Shortages {
    services: IndexMap<Name, Rejections>,
    rng: Pcg64Mcg,
}

/// A caller whose request is rejected.
#[derive(Clone, Copy, Debug)]
struct RejectedCaller {
    /// When the gatekeeper expects room.
    expected: Duration,
    /// Whether a response can still meet the objective if the caller returns then.
    may_be_in_time: bool,
    /// Number of times that the caller has returned before.
    returns: u32,
    /// Time until the caller stops waiting.
    left: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    // Share of recent attempts that were rejected because of load, in units of `1 / SHARE_SCALE`.
    share: u32,
    // Start of the current shortage.
    since: Option<Time>,
}

impl Entry {
    /// Returns after which delay the caller of a rejected request should return. `expected` is when
    /// the gatekeeper expects room.
    pub(super) fn return_after(
        &mut self,
        now: Time,
        call: &Call,
        code: Code,
        expected: Duration,
    ) -> Duration {
        if !is_overload(code) || !self.policy.is_enabled(Mechanism::SpreadReturns) {
            return expected;
        }
        let caller = RejectedCaller {
            expected,
            may_be_in_time: now + expected < call.terms.objective,
            returns: call.returns(),
            left: call.deadline.since(now),
        };
        self.shortages.return_after(now, &call.service, caller)
    }
}

impl Shortages {
    pub(super) fn new(seed: u64) -> Shortages {
        Shortages { services: IndexMap::new(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Records whether an attempt was rejected because of load.
    pub(super) fn record(&mut self, now: Time, service: &Name, rejected: bool) {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            self.services.clear();
        }
        let known = self.services.entry(service.clone()).or_default();
        let newest = if rejected { SHARE_SCALE } else { 0 };
        known.share = (known.share * (SHARE_EWMA_DIVISOR - 1) + newest) / SHARE_EWMA_DIVISOR;
        known.since = match known.since {
            Some(since) if known.share >= SHORTAGE_ENDS => Some(since),
            None if known.share >= SHORTAGE_BEGINS => Some(now),
            _ => None,
        };
    }

    /// Returns after which delay a rejected caller should return.
    ///
    /// A caller that can still be in time returns at once the first time. Later returns are delayed
    /// until room is likely, as a late response is worth the same until the caller's deadline.
    fn return_after(&mut self, now: Time, service: &Name, caller: RejectedCaller) -> Duration {
        let RejectedCaller { expected, may_be_in_time, returns, left } = caller;
        let since = self.services.get(service).and_then(|known| known.since);
        let lasted = since.map(|since| now.since(since)).unwrap_or_default();
        if lasted < MIN_SHORTAGE || (returns == 0 && may_be_in_time) {
            return expected;
        }
        let spread = lasted * self.rng.random_range(SPREAD_PERCENT) / 100;
        spread.min(left / TIME_LEFT_DIVISOR).max(expected)
    }
}
