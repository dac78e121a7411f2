//! What the slots report: load, parked requests and times to retry.

use super::{Offer, Refusals, Slots};
use crate::Time;
use crate::call::Load;
use crate::config::Class;
use std::time::Duration;

/// Parked requests of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ParkedReport {
    /// Requests that are parked.
    pub now: u32,
    /// The most requests that have been parked at once.
    pub peak: u32,
    /// Requests with ample slack refused since the start.
    pub refusals: Refusals,
}

impl Slots {
    /// The current load of the target and its queue. Parked requests don't count as queued, since
    /// requests of other kinds don't wait for them.
    pub fn load(&self, now: Time) -> Load {
        Load {
            in_flight: self.running.len() as u32,
            slots: self.usable_slots(now),
            queued: self.queued() + self.late.len() as u32,
            wait_ms: self.wait_of_new_request(now).as_millis() as u32,
            run_ms: self.run_times.usual_ms(),
            pace: self.run_times.pace(now),
            bulk_wait_ms: self.is_parking().then(|| self.wait_of_bulk(now)),
        }
    }

    /// Expected wait of a bulk request that arrives now, in milliseconds.
    fn wait_of_bulk(&self, now: Time) -> u32 {
        let ahead = self.parked.in_time_by_class();
        let waiting: u32 = ahead.iter().sum::<u32>() + self.queued();
        let running = self.running.len() as u32;
        let is_free = running < self.slots(now)
            && self.running_bulk < self.bulk_slots(now)
            && self.link.can_start(now, self.remaining_bytes());
        let wait = match waiting == 0 && is_free {
            true => self.start_limits.delay(now, 0),
            false => self.wait_behind(now, Class::Bulk, ahead),
        };
        u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
    }

    /// The parked requests, and what has been refused.
    pub fn parked(&self) -> ParkedReport {
        let (now, peak) = (self.parked.len(), self.parked.peak());
        ParkedReport { now, peak, refusals: self.refusals }
    }

    /// Estimated memory in bytes of this many parked requests.
    pub fn estimated_parked_bytes(count: usize) -> usize {
        super::ParkedRequests::estimated_bytes(count)
    }

    /// The time after which a request rejected now may be retried.
    pub fn retry_after(&self, now: Time, offer: &Offer) -> Duration {
        let wait = self.expected_wait(now, offer);
        match self.parked.was_refused(offer.call) {
            true => wait.max(self.lack.duration(now)),
            false => wait,
        }
    }
}
