//! Order of the queues: which request runs next, and which has waited for too long.

use super::{Offer, Popped, QueuedRequest, Slots, Usage};
use crate::Time;
use crate::call::CallKey;
use crate::call::policy::Mechanism;
use crate::config::Class;
use std::collections::VecDeque;

/// While bulk requests are queued, one in this many dispatches goes to a bulk request, so that
/// steady traffic of the higher-priority classes cannot starve them.
const BULK_DISPATCH_INTERVAL: u32 = 8;

impl Slots {
    /// Removes the next request from the queue, if there is one to run or to expire.
    ///
    /// An expired request does not run even if a slot is free: its caller has given up, or this
    /// process was paused, so the result would be discarded.
    pub fn pop(&mut self, now: Time) -> Option<Popped> {
        self.record_standing(now);
        self.record_usage(now);
        self.demote(now);
        self.demote_parked(now);
        if let Some(refused) = self.parked.pop_refused() {
            return Some(Popped::Expired(refused));
        }
        if let Some(expired) = self.take_expired(now) {
            self.record_expired(now, &expired);
            return Some(Popped::Expired(expired.offer.call));
        }
        if self.parked.has_in_time()
            && let Some(call) = self.pop_parked(now)
        {
            return Some(Popped::Run(call));
        }
        let (waiting, usage) = match self.next_class(now) {
            Some(class) => (self.queues[class as usize].pop_front(), Usage::Direct),
            None => (self.next_late(now), Usage::Late),
        };
        let Some(waiting) = waiting else {
            return self.next_parked_late(now).map(Popped::Run);
        };
        let QueuedRequest { offer, queued_at, expires_at, .. } = waiting;
        let waited = now.since(self.start_limits.waits_since(queued_at));
        self.record_nested_wait(now, &offer, waited, expires_at.since(queued_at));
        self.start(now, &offer, usage);
        Some(Popped::Run(offer.call))
    }

    /// Starts a parked request, unless a queued one precedes it.
    fn pop_parked(&mut self, now: Time) -> Option<CallKey> {
        let classes = [Class::Gating, Class::Interactive, Class::Bulk];
        let queued = classes.into_iter().find(|class| self.may_run_next(now, *class));
        if queued == Some(Class::Gating) {
            return None;
        }
        self.next_owed(now).or_else(|| self.next_parked(now, queued))
    }

    /// Removes the first request whose maximum wait has passed.
    fn take_expired(&mut self, now: Time) -> Option<QueuedRequest> {
        self.queues.iter_mut().chain([&mut self.late]).find_map(|queue| {
            // The queue is ordered by depth, so the entry that expires first need not be at the
            // front.
            let index = queue.iter().position(|waiting| waiting.expires_at <= now)?;
            queue.remove(index)
        })
    }

    /// Removes and returns the queued requests that the limits on starts leave no time for.
    pub fn withdraw_hopeless(&mut self, now: Time) -> Vec<CallKey> {
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        let limits = &self.start_limits;
        for queue in self.queues.iter_mut().chain([&mut self.late]) {
            queue.retain(|waiting| {
                let in_time = now + limits.delay(now, ahead) <= waiting.expires_at;
                match in_time {
                    true => ahead += 1,
                    false => hopeless.push(waiting.offer.call),
                }
                in_time
            });
        }
        for parked in self.parked.all() {
            match now + limits.delay(now, ahead) <= parked.expires_at {
                true => ahead += 1,
                false => hopeless.push(parked.offer.call),
            }
        }
        for call in &hopeless {
            self.parked.remove(*call);
        }
        hopeless
    }

    /// Removes and returns all parked requests.
    pub fn withdraw_parked(&mut self) -> Vec<CallKey> {
        let parked: Vec<CallKey> = self.parked.all().map(|parked| parked.offer.call).collect();
        for call in &parked {
            self.parked.remove(*call);
        }
        parked
    }

    /// Moves requests that can no longer meet their objective to the late queue.
    pub(super) fn demote(&mut self, now: Time) {
        for index in 0..self.queues.len() {
            let missed =
                |waiting: &QueuedRequest| waiting.latest_start < now && waiting.expires_at > now;
            while let Some(at) = self.queues[index].iter().position(missed) {
                if !self.has_room_for_late() {
                    return;
                }
                self.late.extend(self.queues[index].remove(at));
            }
        }
    }

    /// Queues a request behind those of its class that are nested at least as deeply.
    ///
    /// The most deeply nested calls run first, because the requests waiting for them hold slots.
    /// Otherwise new requests could fill every slot with runs that cannot finish.
    pub(super) fn enqueue(&mut self, waiting: QueuedRequest) {
        let queue = &mut self.queues[waiting.offer.queue_class() as usize];
        let place = queue.partition_point(|other| other.offer.precedes(&waiting.offer));
        queue.insert(place, waiting);
    }

    fn next_class(&mut self, now: Time) -> Option<Class> {
        let bulk_waits = self.policy.is_enabled(Mechanism::BulkTurn)
            && !self.queues[Class::Bulk as usize].is_empty();
        if bulk_waits
            && self.dispatches_since_bulk + 1 >= BULK_DISPATCH_INTERVAL
            && self.may_run_next(now, Class::Bulk)
        {
            self.dispatches_since_bulk = 0;
            return Some(Class::Bulk);
        }
        for class in [Class::Gating, Class::Interactive, Class::Bulk] {
            if self.may_run_next(now, class) {
                let bypassed_bulk = bulk_waits && class != Class::Bulk;
                self.dispatches_since_bulk =
                    if bypassed_bulk { self.dispatches_since_bulk + 1 } else { 0 };
                return Some(class);
            }
        }
        None
    }

    fn next_late(&mut self, now: Time) -> Option<QueuedRequest> {
        let first = self.late.front()?;
        self.has_slot(now, &first.offer).then(|| self.late.pop_front())?
    }

    fn may_run_next(&self, now: Time, class: Class) -> bool {
        let first = self.queues[class as usize].front();
        first.is_some_and(|waiting| self.has_slot(now, &waiting.offer))
    }

    /// Number of queued requests that would run before this one.
    pub(super) fn count_ahead(&self, offer: &Offer) -> usize {
        let queue = offer.queue_class();
        let before = self.queues[..queue as usize].iter().map(VecDeque::len).sum::<usize>();
        let own = &self.queues[queue as usize];
        before + own.partition_point(|other| other.offer.precedes(offer))
    }
}
