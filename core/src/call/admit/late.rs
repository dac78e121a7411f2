//! Load pattern: requests that can no longer meet their objective, but have seconds left before their
//! deadline, while the load varies around the capacity.
//!
//! They are kept only as far as the capacity that was spare lately serves them before their deadlines,
//! and start only when no request in time can use the slot or the link.

use super::ample::WAIT_PERCENT;
use super::parking::Parked;
use super::refusals::RefusalReason;
use super::{Slots, Usage};
use crate::Time;
use crate::call::CallKey;
use crate::config::Class;
use std::time::Duration;

/// Interval at which late requests are checked against the spare capacity.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Slots {
    /// Whether the spare capacity serves a late request and those kept already before their
    /// deadlines.
    pub(super) fn late_fits(&self, now: Time, new: &Parked) -> bool {
        let intervals = self.spare_intervals(now);
        let before = self.parked.late().take_while(|late| late.expires_at <= new.expires_at);
        let after = self.parked.late().skip_while(|late| late.expires_at <= new.expires_at);
        let mut served_at = now + self.wait_for_in_time(now);
        before.chain([new]).chain(after).all(|late| {
            intervals[late.offer.class as usize].is_some_and(|interval| {
                served_at = served_at + interval * WAIT_PERCENT / 100;
                served_at <= late.expires_at
            })
        })
    }

    /// Time until the requests in time that are parked have started.
    fn wait_for_in_time(&self, now: Time) -> Duration {
        let ahead = self.parked.in_time_by_class();
        let classes = [Class::Gating, Class::Interactive, Class::Bulk];
        let waiting = classes.into_iter().filter(|class| ahead[*class as usize] > 0);
        waiting.map(|class| self.wait_behind(now, class, ahead)).max().unwrap_or_default()
    }

    fn spare_intervals(&self, now: Time) -> [Option<Duration>; 3] {
        [Class::Gating, Class::Interactive, Class::Bulk]
            .map(|class| self.spare_interval(now, class))
    }

    /// Keeps a request that can no longer meet its objective if there is spare capacity for it, and
    /// refuses it otherwise.
    pub(super) fn keep_late(&mut self, now: Time, parked: Parked, reason: RefusalReason) {
        if self.late_fits(now, &parked) {
            self.parked.insert_late(parked);
        } else {
            self.refuse_parked(now, &parked, reason);
        }
    }

    fn refuse_parked(&mut self, now: Time, parked: &Parked, reason: RefusalReason) {
        self.refusals.record(parked.offer.class, reason);
        self.lack.record_refusal(now, Duration::ZERO);
        self.parked.refuse(parked.offer.call);
    }

    /// Refuses the parked requests that can't be served any more.
    pub(super) fn demote_parked(&mut self, now: Time) {
        for parked in self.parked.take_overdue(now) {
            let reason = match parked.expires_at <= now {
                true => RefusalReason::Expired,
                false => RefusalReason::Overdue,
            };
            self.keep_late(now, parked, reason);
        }
        if self.parked.has_late() && now.since(self.late_checked_at) >= CHECK_INTERVAL {
            self.late_checked_at = now;
            self.check_late(now);
        }
    }

    /// Refuses the late requests that the spare capacity doesn't serve before their deadlines.
    fn check_late(&mut self, now: Time) {
        let intervals = self.spare_intervals(now);
        let mut served_at = now + self.wait_for_in_time(now);
        let mut refused = Vec::new();
        for late in self.parked.late() {
            let next = intervals[late.offer.class as usize].map(|interval| served_at + interval);
            match next.filter(|next| *next <= late.expires_at) {
                Some(next) => served_at = next,
                None => refused.push(*late),
            }
        }
        for late in refused {
            self.parked.remove(late.offer.call);
            self.refuse_parked(now, &late, RefusalReason::NoSpareRate);
        }
    }

    /// Takes the late request with the earliest deadline that can use a slot or the link.
    pub(super) fn next_parked_late(&mut self, now: Time) -> Option<CallKey> {
        let mut classes = [None; 3];
        let late = self.parked.late().find(|late| {
            let class = late.offer.class as usize;
            *classes[class].get_or_insert_with(|| self.has_slot(now, &late.offer))
        });
        let offer = late?.offer;
        self.parked.remove(offer.call);
        self.start(now, &offer, Usage::Late);
        Some(offer.call)
    }
}
