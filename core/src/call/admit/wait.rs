//! Expected waits in the queue of a target, from the mean run times.

use super::{Offer, Slots};
use crate::Time;
use crate::config::Class;
use std::collections::VecDeque;
use std::time::Duration;

impl Slots {
    /// Expected wait of a top-level interactive request of the lowest priority that arrives now.
    pub(super) fn wait_of_new_request(&self, now: Time) -> Duration {
        let before = [Class::Gating, Class::Interactive];
        let ahead = before.iter().map(|class| self.queues[*class as usize].len()).sum();
        let start_delay = self.start_limits.delay(now, ahead);
        if (self.running.len() as u32) < self.slots(now) {
            return start_delay;
        }
        let work: Duration = before.into_iter().map(|class| self.queued_work(now, class)).sum();
        let wait = (work + self.run_times.expected(now, Class::Interactive)) / self.slots(now);
        wait.max(start_delay)
    }

    /// Total run time of the queued requests of a class.
    fn queued_work(&self, now: Time, class: Class) -> Duration {
        self.run_times.expected(now, class) * self.queues[class as usize].len() as u32
    }

    /// Expected wait of a request behind those that run before it, from the mean run times.
    pub(super) fn expected_wait(&self, now: Time, offer: &Offer) -> Duration {
        let queue = offer.queue_class() as usize;
        // One run time until a slot is released, then those of the requests ahead.
        let mut work = self.run_times.expected(now, offer.class);
        let classes = [Class::Gating, Class::Interactive, Class::Bulk];
        for class in classes.into_iter().take(queue) {
            work += self.queued_work(now, class);
        }
        let own = &self.queues[queue];
        let ahead = own.partition_point(|other| other.offer.precedes(offer));
        work += self.run_times.expected(now, offer.class) * ahead as u32;
        let before: usize = self.queues.iter().take(queue).map(VecDeque::len).sum();
        let wait = (work / self.slots(now)).max(self.start_limits.delay(now, before + ahead));
        match offer.class {
            Class::Bulk => wait.max(self.link.wait(now, self.remaining_bytes(), ahead as u32)),
            Class::Gating | Class::Interactive => wait,
        }
    }

    /// Additional expected wait of a late request behind the late requests of its class.
    pub(super) fn wait_behind_late(&self, now: Time, offer: &Offer) -> Duration {
        let same = self.late.iter().filter(|late| late.offer.class == offer.class).count() as u32;
        let runs = self.run_times.expected(now, offer.class) * same / self.slots(now);
        match offer.class {
            Class::Bulk => runs.max(self.link.wait(now, 0, same)),
            Class::Gating | Class::Interactive => runs,
        }
    }
}
