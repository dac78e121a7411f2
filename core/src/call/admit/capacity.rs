//! Slots of the target: how many there are, and which requests may occupy one.

use super::{Offer, Running, Slots, Usage};
use crate::Time;
use crate::call::CallKey;
use crate::call::policy::Mechanism;
use crate::config::Class;

/// Share of the slots that a target gets right after it starts, in percent.
const WARM_UP_MIN_PERCENT: u64 = 25;

impl Slots {
    /// Current number of slots, free or occupied: fewer than the limit while the target warms up.
    pub(super) fn slots(&self, now: Time) -> u32 {
        let full = self.limits.slots;
        let warm_up = u64::from(self.limits.warm_up_ms);
        let Some(since) = self.warm_up_since else {
            return full;
        };
        let age = now.since(since).as_millis() as u64;
        if age >= warm_up {
            return full;
        }
        let percent = WARM_UP_MIN_PERCENT + (100 - WARM_UP_MIN_PERCENT) * age / warm_up;
        (u64::from(full) * percent / 100).max(1) as u32
    }

    /// Slots that can be in use at the rate that the target states.
    pub(super) fn usable_slots(&self, now: Time) -> u32 {
        let slots = self.slots(now);
        let Some(limit) = self.start_limits.stated() else {
            return slots;
        };
        let longest = self.run_times.longest();
        let busy = (limit.per_second() * longest.as_secs_f64()).ceil() as u32;
        busy.clamp(1, slots)
    }

    pub(super) fn bulk_slots(&self, now: Time) -> u32 {
        let percent = match self.policy.is_enabled(Mechanism::BulkShare) {
            true => self.limits.bulk_share_percent,
            false => 100,
        };
        (self.slots(now) * percent / 100).max(1)
    }

    pub(super) fn has_slot(&self, now: Time, offer: &Offer) -> bool {
        let slots = self.slots(now);
        let reserved = match self.policy.is_enabled(Mechanism::SlotsKept) {
            true => self.depths.reserved_slots(now, slots, offer.depth),
            false => 0,
        };
        let running = self.running.len() as u32;
        // Nested calls that run already use the reserved slots.
        let at_most_as_deep = self.running.values().filter(|run| run.depth <= offer.depth).count();
        let free = !self.start_limits.is_held(now)
            && self.fits_before_stop(now, offer)
            && running < slots
            && at_most_as_deep as u32 + reserved < slots
            && self.start_limits.delay(now, 0).is_zero();
        let bulk_allowed = || {
            self.running_bulk < self.bulk_slots(now)
                && self.link.can_start(now, self.remaining_bytes())
        };
        free && (offer.class != Class::Bulk || bulk_allowed())
    }

    /// Bytes still to be sent of all bulk responses in progress.
    pub(super) fn remaining_bytes(&self) -> u64 {
        let responses = self.running.values().chain(self.sending.values());
        responses.map(|response| response.remaining_bytes).sum()
    }

    pub(super) fn start(&mut self, now: Time, offer: &Offer, usage: Usage) {
        self.record_usage(now);
        let mut remaining_bytes = 0;
        if offer.class == Class::Bulk {
            self.running_bulk += 1;
            remaining_bytes = self.link.expected_size();
            self.spare.record_bulk_start(now, usage, remaining_bytes);
        }
        self.start_limits.record_start(now);
        let running = Running {
            class: offer.class,
            depth: offer.depth,
            usage,
            started: now,
            sent_at: now,
            connecting: false,
            sent_bytes: 0,
            remaining_bytes,
        };
        self.running.insert(offer.call, running);
        self.shares.record_start(self.parked.kinds(), offer);
    }

    pub(super) fn remove_running(&mut self, call: CallKey) -> Option<Running> {
        let freed = self.running.swap_remove(&call)?;
        if freed.connecting {
            self.start_limits.end_connecting(freed.started);
        }
        if freed.class == Class::Bulk {
            self.running_bulk -= 1;
        }
        Some(freed)
    }
}
