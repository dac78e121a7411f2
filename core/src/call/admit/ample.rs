//! Load pattern: a burst of requests with ample slack, which all become late together if they start
//! in the order of arrival, although the target could serve most of them in time.
//!
//! A request is parked only if slots and link are expected to serve it in time, and without making
//! one late that is parked already. Others may wait for spare capacity, or are refused at once.

use super::parking::{Kind, Parked, precedes};
use super::refusals::RefusalReason;
use super::shares::Shares;
use super::{Admission, Objective, Offer, Slots, Usage};
use crate::Time;
use crate::call::CallKey;
use crate::call::policy::Mechanism;
use crate::config::Class;
use std::time::Duration;

/// A request has ample slack if the time to its objective is at least this many usual runs.
const AMPLE_RUNS: u32 = 8;

/// Runs vary: the time that a run is expected to take, in percent of the mean.
const RUN_PERCENT: u32 = 125;

/// Part of the time to the objective that is left for the way of the response and for timers.
const RETURN_DIVISOR: u32 = 20;

/// Margin for errors of an expected wait, in percent.
pub(super) const WAIT_PERCENT: u32 = 115;

/// How long more urgent kinds go first after one of them has displaced a less urgent one.
const CONTENTION: Duration = Duration::from_secs(1);

impl Slots {
    pub(super) fn is_parking(&self) -> bool {
        self.policy.is_enabled(Mechanism::Parking) && self.policy.parked_requests > 0
    }

    /// The objective of a request that has ample slack, or whose kind is parked already. Otherwise
    /// a retry with little time left would go before those that are parked, and make them late.
    pub(super) fn ample_objective(&self, now: Time, offer: &Offer) -> Option<Objective> {
        let usual = self.run_times.measured(offer.class)?;
        let objective = offer.objective.filter(|_| offer.depth == 0 && self.is_parking())?;
        let respond_by = objective.respond_by.min(self.end_by(offer));
        let is_ample = respond_by.since(now) >= usual.saturating_mul(AMPLE_RUNS);
        let is_parked = self.parked.in_time_of(Kind::of(offer)) > 0;
        (is_ample || is_parked).then_some(Objective { respond_by, ..objective })
    }

    /// Starts, parks or rejects a request with ample slack.
    pub(super) fn offer_ample(
        &mut self,
        now: Time,
        offer: Offer,
        objective: Objective,
    ) -> Admission {
        let is_next = self.queued() == 0 && !self.parked.has_in_time();
        if is_next && self.has_slot(now, &offer) {
            self.start(now, &offer, Usage::InTime);
            return Admission::Run;
        }
        let own = Kind::of(&offer);
        let parked = self.to_parked(now, offer, objective);
        let wait = self.wait_at(now, &parked) * WAIT_PERCENT / 100;
        if self.parked.len() >= self.policy.parked_requests {
            return self.refuse(now, &offer, RefusalReason::Full, wait);
        }
        // A request that can be sent to another target must leave time for that.
        let percent = match objective.may_exceed_objective {
            true => 100,
            false => self.policy.first_wait_percent,
        };
        let longest = parked.latest_start.since(now) * percent / 100;
        let room = match wait <= longest || self.wait_for_share(now, own) <= longest {
            true => Some(Vec::new()),
            false if objective.may_exceed_objective => self.make_room(now, &parked, longest),
            false => None,
        };
        if let Some(before) = room
            && let Some(after) = self.displaced_by(now, &parked)
        {
            if !before.is_empty() || !after.is_empty() {
                self.contended_at = now;
            }
            self.parked.insert_in_time(parked);
            for other in before.into_iter().chain(after) {
                self.parked.remove(other.offer.call);
                self.keep_late(now, other, RefusalReason::Displaced);
            }
            return Admission::Queue(parked.expires_at);
        }
        if objective.may_exceed_objective && self.late_fits(now, &parked) {
            self.parked.insert_late(parked);
            return Admission::Queue(parked.expires_at);
        }
        if !objective.may_exceed_objective {
            // Goes to another target first, so that capacity may not be lacking.
            return Admission::Reject(self.rejection_code(now), wait);
        }
        self.refuse(now, &offer, RefusalReason::NotInTime, wait)
    }

    fn to_parked(&self, now: Time, offer: Offer, objective: Objective) -> Parked {
        let run = self.run_times.expected(now, offer.class);
        let transmit = match offer.class {
            Class::Bulk => self.link.expected_transmit_time(now),
            Class::Gating | Class::Interactive => Duration::ZERO,
        };
        let way_back = objective.respond_by.since(now) / RETURN_DIVISOR;
        // The link may have a response of its own to finish when the run ends.
        let to_response = run * RUN_PERCENT / 100 + transmit * 2 + way_back;
        Parked {
            offer,
            latest_start: objective.respond_by - to_response,
            expires_at: self.end_by(&offer) - (run + transmit),
        }
    }

    fn refuse(
        &mut self,
        now: Time,
        offer: &Offer,
        reason: RefusalReason,
        wait: Duration,
    ) -> Admission {
        self.refusals.record(offer.class, reason);
        let wait = self.lack.record_refusal(now, wait);
        Admission::Reject(self.rejection_code(now), wait)
    }

    /// Expected wait of a request of a class behind these numbers of parked ones by class.
    pub(super) fn wait_behind(&self, now: Time, class: Class, ahead: [u32; 3]) -> Duration {
        let mut work = self.run_times.expected(now, class);
        let classes = [Class::Gating, Class::Interactive, Class::Bulk];
        for other in classes {
            let queued = match other <= class {
                true => self.queues[other as usize].len() as u32,
                false => 0,
            };
            work += self.run_times.expected(now, other) * (ahead[other as usize] + queued);
        }
        let slots = self.parking_slots_milli(now, class);
        let on_slots = work.as_micros().saturating_mul(1_000) / u128::from(slots);
        let on_slots = Duration::from_micros(u64::try_from(on_slots).unwrap_or(u64::MAX));
        let number: u32 = ahead.iter().sum();
        let wait = on_slots.max(self.start_limits.delay(now, number as usize));
        match class {
            Class::Bulk => {
                let bulk = ahead[class as usize] + self.queues[class as usize].len() as u32;
                wait.max(self.link.wait(now, self.remaining_bytes(), bulk))
            }
            Class::Gating | Class::Interactive => wait,
        }
    }

    /// Expected wait of a request that is not parked yet.
    fn wait_at(&self, now: Time, parked: &Parked) -> Duration {
        self.wait_behind(now, parked.offer.class, self.ahead_of(now, parked))
    }

    /// Numbers of parked requests by class that start before this one.
    fn ahead_of(&self, now: Time, parked: &Parked) -> [u32; 3] {
        let mut ahead = self.parked.in_time_by_class();
        let own = Kind::of(&parked.offer);
        let contended = self.is_contended(now);
        for later in self.parked.after(parked.latest_start) {
            let precedes = contended && Kind::of(&later.offer) < own;
            ahead[later.offer.class as usize] -= u32::from(!precedes);
        }
        ahead
    }

    /// Whether kinds have lately competed for the capacity, so that the more urgent go first.
    fn is_contended(&self, now: Time) -> bool {
        now.since(self.contended_at) < CONTENTION
    }

    /// The less urgent requests without which this one would wait no longer than `longest`; `None`
    /// if they are too few. The first of each kind stays, so that the kind gets its share of the
    /// starts.
    fn make_room(&self, now: Time, arriving: &Parked, longest: Duration) -> Option<Vec<Parked>> {
        let mut ahead = self.ahead_of(now, arriving);
        let mut displaced = Vec::new();
        let kind = Kind::of(&arriving.offer);
        for other in self.parked.less_urgent_before(kind, arriving.latest_start) {
            ahead[other.offer.class as usize] -= 1;
            displaced.push(*other);
            let wait = self.wait_behind(now, arriving.offer.class, ahead);
            if wait * WAIT_PERCENT / 100 <= longest {
                return Some(displaced);
            }
        }
        None
    }

    /// Longest wait of a new request of a kind that gets no more than its minimum share.
    fn wait_for_share(&self, now: Time, kind: Kind) -> Duration {
        let own = self.parked.in_time_of(kind) + 1;
        let starts = own.saturating_mul(Shares::starts_per_turn(kind, self.parked.kinds()));
        let mut ahead = [0; 3];
        ahead[usize::from(kind.class)] = starts;
        let class = [Class::Gating, Class::Interactive, Class::Bulk][usize::from(kind.class)];
        self.wait_behind(now, class, ahead)
    }

    /// The parked requests that can't be in time behind this one; `None` if one of them is as
    /// urgent. The first of each kind stays, so that the kind gets its share of the starts.
    fn displaced_by(&self, now: Time, arriving: &Parked) -> Option<Vec<Parked>> {
        let own = Kind::of(&arriving.offer);
        let later = self.parked.after(arriving.latest_start);
        let mut before = self.parked.in_time_by_class();
        for other in &later {
            before[other.offer.class as usize] -= 1;
        }
        let mut with = before;
        with[arriving.offer.class as usize] += 1;
        let mut displaced = Vec::new();
        for other in later {
            let class = other.offer.class;
            let missed = |ahead| now + self.wait_behind(now, class, ahead) > other.latest_start;
            let kind = Kind::of(&other.offer);
            let is_first =
                self.parked.first(kind).is_some_and(|first| first.offer.call == other.offer.call);
            if !is_first && missed(with) && !missed(before) {
                if kind <= own {
                    return None;
                }
                displaced.push(other);
            } else {
                with[class as usize] += 1;
            }
            before[class as usize] += 1;
        }
        Some(displaced)
    }

    /// Takes a parked kind that has earned a start.
    pub(super) fn next_owed(&mut self, now: Time) -> Option<CallKey> {
        let kind = self.shares.owed().find(|kind| self.can_start_kind(now, *kind))?;
        self.start_parked(now, kind)
    }

    /// Takes the parked request with the earliest latest start, or that of the most urgent kind while
    /// kinds compete for the capacity, unless queued requests of class
    /// `queued` precede it.
    pub(super) fn next_parked(&mut self, now: Time, queued: Option<Class>) -> Option<CallKey> {
        let contended = self.is_contended(now);
        let kinds = self.parked.kinds();
        let kinds = kinds.filter(|kind| !queued.is_some_and(|class| precedes(class, *kind)));
        let kind = kinds.filter(|kind| self.can_start_kind(now, *kind)).min_by_key(|kind| {
            let first = self.parked.first(*kind).map(|first| first.latest_start);
            (contended.then_some(*kind), first)
        })?;
        self.start_parked(now, kind)
    }

    fn can_start_kind(&self, now: Time, kind: Kind) -> bool {
        self.parked.first(kind).is_some_and(|first| self.has_slot(now, &first.offer))
    }

    fn start_parked(&mut self, now: Time, kind: Kind) -> Option<CallKey> {
        let offer = self.parked.first(kind)?.offer;
        self.parked.remove(offer.call);
        self.start(now, &offer, Usage::InTime);
        Some(offer.call)
    }
}
