//! Admission to one target: slots, a short queue by class, and refusals that come early.

use super::{CallKey, Load};
use crate::config::{Class, ServiceLimits};
use crate::{Code, Time};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Run time assumed before any request has ended.
const FIRST_RUN_TIME: Duration = Duration::from_millis(5);

/// Weight of the newest run time in the running mean, as one part in so many.
const RUN_TIME_WEIGHT: u32 = 8;

/// Share of the slots that a target gets right after its start, in percent.
const COLD_SHARE_PERCENT: u64 = 25;

/// Of so many slots given away while bulk requests wait, one goes to a bulk request, so that
/// steady traffic of the classes before it can't hold it off for ever.
const BULK_TURN: u32 = 8;

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits, at most until this time.
    Queue(Time),
    /// It is refused; come back after this time.
    Refuse(Code, Duration),
}

/// What leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Popped {
    /// It runs now.
    Run(CallKey),
    /// It would be late even if it ran now.
    Expired(CallKey),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: CallKey,
    // At most its caller's deadline.
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    started: Time,
}

/// The slots of one target and the queue before them.
#[derive(Debug)]
pub struct Slots {
    limits: ServiceLimits,
    cold_since: Option<Time>,
    running: IndexMap<CallKey, Running>,
    running_bulk: u32,
    queues: [VecDeque<Waiting>; 3],
    bulk_turn: u32,
    run_times: [Duration; 3],
}

impl Slots {
    /// The slots of a target that is warm.
    pub fn new(limits: ServiceLimits) -> Slots {
        Slots {
            limits,
            cold_since: None,
            running: IndexMap::new(),
            running_bulk: 0,
            queues: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            bulk_turn: 0,
            run_times: [FIRST_RUN_TIME; 3],
        }
    }

    /// Changes the limits. What runs or waits goes on.
    pub fn set_limits(&mut self, limits: ServiceLimits) {
        self.limits = limits;
    }

    /// Starts the slow start of a target that has just come up.
    pub fn set_cold(&mut self, now: Time) {
        self.cold_since = Some(now);
    }

    /// Takes a request in, or refuses it at once if it could not end in time.
    pub fn offer(&mut self, now: Time, call: CallKey, class: Class, deadline: Time) -> Admission {
        if deadline <= now {
            return Admission::Refuse(Code::DeadlinePassed, Duration::ZERO);
        }
        if self.queued() == 0 && self.has_slot(now, class) {
            self.start(now, call, class);
            return Admission::Run;
        }
        if self.queued() >= self.limits.queue {
            return Admission::Refuse(Code::QueueFull, self.expected_wait(now, class));
        }
        let patience = Duration::from_millis(self.limits.queue_wait_ms.into());
        let until = deadline.min(now + patience);
        let wait = self.expected_wait(now, class);
        if now + wait > until {
            return Admission::Refuse(Code::QueueFull, wait);
        }
        self.queues[class as usize].push_back(Waiting { call, until });
        Admission::Queue(until)
    }

    /// Frees the slot of a request that did not reach the target.
    pub fn give_back(&mut self, call: CallKey) {
        self.free(call);
    }

    /// Frees the slot of a request that ended, and learns from the time that it took.
    pub fn end(&mut self, now: Time, call: CallKey) {
        let Some(ended) = self.free(call) else {
            return;
        };
        let took = now.since(ended.started);
        let mean = &mut self.run_times[ended.class as usize];
        *mean = (*mean * (RUN_TIME_WEIGHT - 1) + took) / RUN_TIME_WEIGHT;
    }

    /// Takes a waiting request out. Returns false if it does not wait.
    pub fn withdraw(&mut self, call: CallKey) -> bool {
        for queue in &mut self.queues {
            if let Some(index) = queue.iter().position(|waiting| waiting.call == call) {
                queue.remove(index);
                return true;
            }
        }
        false
    }

    /// The next request to leave the queue, if any may.
    ///
    /// One that waited too long is not run even if a slot is free: its caller has given up, or
    /// this process was paused, and the work would be for nobody.
    pub fn pop(&mut self, now: Time) -> Option<Popped> {
        for queue in &mut self.queues {
            if queue.front().is_some_and(|waiting| waiting.until <= now) {
                return queue.pop_front().map(|waiting| Popped::Expired(waiting.call));
            }
        }
        let class = self.next_class(now)?;
        let waiting = self.queues[class as usize].pop_front()?;
        self.start(now, waiting.call, class);
        Some(Popped::Run(waiting.call))
    }

    /// What the target runs and what waits for it.
    pub fn load(&self, now: Time) -> Load {
        Load { in_flight: self.running.len() as u32, slots: self.slots(now), queued: self.queued() }
    }

    /// When a request that is refused now may come back.
    pub fn retry_after(&self, now: Time, class: Class) -> Duration {
        self.expected_wait(now, class)
    }

    /// Slots in use now: fewer than the limit while the target is cold.
    fn slots(&self, now: Time) -> u32 {
        let full = self.limits.slots;
        let warm_up = u64::from(self.limits.warm_up_ms);
        let Some(since) = self.cold_since else {
            return full;
        };
        let age = now.since(since).as_millis() as u64;
        if age >= warm_up {
            return full;
        }
        let percent = COLD_SHARE_PERCENT + (100 - COLD_SHARE_PERCENT) * age / warm_up;
        (u64::from(full) * percent / 100).max(1) as u32
    }

    fn bulk_slots(&self, now: Time) -> u32 {
        (self.slots(now) * self.limits.bulk_share_percent / 100).max(1)
    }

    fn has_slot(&self, now: Time, class: Class) -> bool {
        let free = (self.running.len() as u32) < self.slots(now);
        free && (class != Class::Bulk || self.running_bulk < self.bulk_slots(now))
    }

    fn start(&mut self, now: Time, call: CallKey, class: Class) {
        if class == Class::Bulk {
            self.running_bulk += 1;
        }
        self.running.insert(call, Running { class, started: now });
    }

    fn free(&mut self, call: CallKey) -> Option<Running> {
        let freed = self.running.swap_remove(&call)?;
        if freed.class == Class::Bulk {
            self.running_bulk -= 1;
        }
        Some(freed)
    }

    fn queued(&self) -> u32 {
        self.queues.iter().map(|queue| queue.len() as u32).sum()
    }

    /// How long a request would wait behind those that go before it, from the mean run times.
    fn expected_wait(&self, now: Time, class: Class) -> Duration {
        let mut work = self.run_times[class as usize];
        for (queue, run_time) in self.queues.iter().zip(self.run_times).take(class as usize + 1) {
            work += run_time * queue.len() as u32;
        }
        work / self.slots(now)
    }

    fn next_class(&mut self, now: Time) -> Option<Class> {
        let bulk_waits = !self.queues[Class::Bulk as usize].is_empty();
        if bulk_waits && self.bulk_turn + 1 >= BULK_TURN && self.has_slot(now, Class::Bulk) {
            self.bulk_turn = 0;
            return Some(Class::Bulk);
        }
        for class in [Class::Gating, Class::Interactive, Class::Bulk] {
            if !self.queues[class as usize].is_empty() && self.has_slot(now, class) {
                let passed_over = bulk_waits && class != Class::Bulk;
                self.bulk_turn = if passed_over { self.bulk_turn + 1 } else { 0 };
                return Some(class);
            }
        }
        None
    }
}
