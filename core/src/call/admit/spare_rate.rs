//! Load pattern: while a target is overloaded for seconds, late requests that are kept for spare
//! capacity which never comes wait until their deadlines in vain.
//!
//! Measures the capacity of slots and link that requests in time left over during the last second.

use super::{Running, Slots};
use crate::Time;
use crate::call::recent_sum::RecentSum;
use crate::config::Class;
use std::time::Duration;

const MICROS_PER_S: u64 = 1_000_000;

/// Longest gap between two records that counts as use. A longer one is a pause of the process.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Fewest slots, in thousandths, that parked requests are expected to get beside other work.
const MIN_SLOTS_MILLI: u64 = 250;

/// Spare slots below this part of all are an error of the measurement: starts are discrete.
const MIN_SPARE_DIVISOR: u64 = 16;

/// How a run came by its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Usage {
    /// Has no ample slack, so that it precedes parked requests.
    Direct,
    /// Had ample slack, and started in time.
    InTime,
    /// Was late when it started.
    Late,
}

/// Use of slots and link during the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpareRate {
    // Slot time in microseconds.
    direct: RecentSum,
    in_time: RecentSum,
    in_time_bulk: RecentSum,
    // Bytes of bulk responses whose runs started in time, and of all others that are bulk.
    bulk_bytes: RecentSum,
    recorded_at: Time,
}

impl SpareRate {
    pub(super) fn record_bulk_start(&mut self, now: Time, usage: Usage, bytes: u64) {
        if usage != Usage::Late {
            self.bulk_bytes.add(now, bytes);
        }
    }

    /// Records the slots that have been in use since the last record.
    fn record<'a>(&mut self, now: Time, running: impl Iterator<Item = &'a Running>) {
        let gap = now.since(self.recorded_at).min(MAX_GAP).as_micros() as u64;
        self.recorded_at = self.recorded_at.max(now);
        if gap == 0 {
            return;
        }
        for run in running {
            if run.usage == Usage::Direct {
                self.direct.add(now, gap);
            }
            if run.usage != Usage::Late {
                self.in_time.add(now, gap);
                let bulk = if run.class == Class::Bulk { gap } else { 0 };
                self.in_time_bulk.add(now, bulk);
            }
        }
    }
}

impl Slots {
    pub(super) fn record_usage(&mut self, now: Time) {
        self.spare.record(now, self.running.values());
    }

    /// Thousandths of a slot that parked requests of a class can use beside the direct ones.
    pub(super) fn parking_slots_milli(&self, now: Time, class: Class) -> u64 {
        let direct = self.spare.direct.per_second(now) / 1_000;
        let free = (u64::from(self.slots(now)) * 1_000).saturating_sub(direct);
        let most = match class {
            Class::Bulk => u64::from(self.bulk_slots(now)) * 1_000,
            Class::Gating | Class::Interactive => u64::MAX,
        };
        free.min(most).max(MIN_SLOTS_MILLI)
    }

    /// Mean time between the starts of late requests of a class at the spare rate; `None` if there
    /// is no spare capacity.
    pub(super) fn spare_interval(&self, now: Time, class: Class) -> Option<Duration> {
        let slot_time = u64::from(self.slots(now)) * MICROS_PER_S;
        let mut spare = slot_time.saturating_sub(self.spare.in_time.per_second(now));
        let mut on_link = Duration::ZERO;
        if class == Class::Bulk {
            let bulk = u64::from(self.bulk_slots(now)) * MICROS_PER_S;
            spare = spare.min(bulk.saturating_sub(self.spare.in_time_bulk.per_second(now)));
            on_link = self.link.spare_interval(now, self.spare.bulk_bytes.per_second(now))?;
        }
        if spare < slot_time / MIN_SPARE_DIVISOR {
            return None;
        }
        let run = self.run_times.expected(now, class).as_micros() as u64;
        let interval = run.saturating_mul(MICROS_PER_S).checked_div(spare)?;
        Some(Duration::from_micros(interval).max(on_link))
    }
}
