//! What a target can still finish before its node stops.

use super::{Offer, QueuedRequest, Slots};
use crate::Time;
use crate::call::CallKey;
use crate::config::Class;

impl Slots {
    /// Limits the time for which the target may work. Removes and returns the queued and parked
    /// requests that can't be expected to end in it.
    pub fn set_run_by(&mut self, now: Time, run_by: Time) -> Vec<CallKey> {
        self.run_by = Some(run_by);
        let (run_times, slots) = (&self.run_times, self.slots(now));
        // Until a slot is released.
        let mut work = run_times.expected(now, Class::Interactive);
        let mut unreachable = Vec::new();
        for queue in self.queues.iter_mut().chain([&mut self.late]) {
            queue.retain_mut(|waiting| {
                let run_time = run_times.expected(now, waiting.offer.class);
                let limited = run_by < waiting.offer.deadline && waiting.limit(run_by - run_time);
                let in_time = !limited || now + work / slots <= waiting.expires_at;
                match in_time {
                    true => work += run_time,
                    false => unreachable.push(waiting.offer.call),
                }
                in_time
            });
        }
        for parked in self.parked.all() {
            let run_time = run_times.expected(now, parked.offer.class);
            let latest = run_by - run_time;
            match latest >= parked.expires_at || now + work / slots <= latest {
                true => work += run_time,
                false => unreachable.push(parked.offer.call),
            }
        }
        for call in &unreachable {
            self.parked.remove(*call);
        }
        unreachable
    }

    /// Whether a run that starts now can be expected to end before a node on its way stops.
    pub(super) fn fits_before_stop(&self, now: Time, offer: &Offer) -> bool {
        let run_time = self.run_times.expected(now, offer.class);
        self.stop_before_deadline(offer).is_none_or(|run_by| now + run_time <= run_by)
    }

    /// Whether a request can't run in time because this node stops.
    pub fn is_stopped_by(&self, now: Time, offer: &Offer) -> bool {
        let run_time = self.run_times.expected(now, offer.class);
        self.run_by.is_some_and(|run_by| run_by < offer.deadline && now + run_time >= run_by)
    }

    /// Latest time at which the run of a request may end.
    pub(super) fn end_by(&self, offer: &Offer) -> Time {
        self.stop_before_deadline(offer).unwrap_or(offer.deadline)
    }

    /// Latest time at which a request may start: early enough to be expected to end before a node on
    /// its way stops.
    pub fn latest_start(&self, now: Time, offer: &Offer) -> Time {
        let run_time = self.run_times.expected(now, offer.class);
        self.stop_before_deadline(offer).map_or(offer.deadline, |run_by| run_by - run_time)
    }

    fn stop_before_deadline(&self, offer: &Offer) -> Option<Time> {
        let run_by = offer.run_by.into_iter().chain(self.run_by).min();
        run_by.filter(|run_by| *run_by < offer.deadline)
    }
}

impl QueuedRequest {
    /// Moves the latest start to `latest` if it is later. Returns whether the wait got shorter.
    fn limit(&mut self, latest: Time) -> bool {
        let before = self.expires_at;
        self.latest_start = self.latest_start.min(latest);
        self.expires_at = self.expires_at.min(latest);
        self.expires_at < before
    }
}
