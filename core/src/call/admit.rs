//! Admission to one target: slots, a short queue by class, and refusals that come early.

mod offer;

pub use offer::{Admission, Objective, Offer, Popped};

use super::depth::NestingDepths;
use super::link::LinkPacer;
use super::policy::{Mechanism, Policy};
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

#[derive(Clone, Copy, Debug)]
struct Waiting {
    offer: Offer,
    // Latest start for an answer within the objective; the same as `until` without one.
    in_time: Time,
    // At most its caller's deadline.
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    started: Time,
    // Bytes of its answer that have been given to the link, and that are expected beyond these.
    sent: u64,
    to_come: u64,
}

/// The slots of one target and the queue before them.
#[derive(Debug)]
pub struct Slots {
    limits: ServiceLimits,
    cold_since: Option<Time>,
    running: IndexMap<CallKey, Running>,
    // Answers that the target has given whole and the link has not taken yet.
    leaving: IndexMap<CallKey, Running>,
    running_bulk: u32,
    queues: [VecDeque<Waiting>; 3],
    // Those that can't meet their objective any more, oldest first.
    late: VecDeque<Waiting>,
    bulk_turn: u32,
    run_times: [Duration; 3],
    depths: NestingDepths,
    link: LinkPacer,
    policy: Policy,
}

impl Slots {
    /// The slots of a target that is warm.
    pub fn new(limits: ServiceLimits) -> Slots {
        Slots {
            limits,
            cold_since: None,
            running: IndexMap::new(),
            leaving: IndexMap::new(),
            running_bulk: 0,
            queues: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            late: VecDeque::new(),
            bulk_turn: 0,
            run_times: [FIRST_RUN_TIME; 3],
            depths: NestingDepths::new(),
            link: LinkPacer::new(None),
            policy: Policy::new(),
        }
    }

    /// The same slots with other mechanisms at work.
    pub fn with_policy(mut self, policy: Policy) -> Slots {
        self.policy = policy;
        self
    }

    /// The same slots on a VM whose link is narrow.
    pub fn with_link(mut self, link: LinkPacer) -> Slots {
        self.link = link;
        self
    }

    /// When the next bytes of the answer to `call` may be given to the link.
    pub fn piece(&mut self, now: Time, call: CallKey, bytes: u64) -> Time {
        let running = self.running.get_mut(&call).or_else(|| self.leaving.get_mut(&call));
        let Some(running) = running else {
            return now;
        };
        if running.class == Class::Bulk && running.sent == 0 {
            self.link.record_first_byte(now.since(running.started));
        }
        running.sent += bytes;
        running.to_come = running.to_come.saturating_sub(bytes);
        self.link.schedule_write(now, running.class, bytes)
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
    pub fn offer(&mut self, now: Time, mut offer: Offer) -> Admission {
        if !self.policy.is_enabled(Mechanism::NestedFirst) {
            offer.depth = 0;
        }
        offer.objective =
            offer.objective.filter(|_| self.policy.is_enabled(Mechanism::InTimeFirst));
        self.depths.record(offer.depth);
        if offer.deadline <= now {
            return Admission::Refuse(Code::DeadlinePassed, Duration::ZERO);
        }
        let first = self.queued() == 0 || (offer.depth > 0 && self.ahead_of(&offer) == 0);
        if first && self.has_slot(now, &offer) {
            self.start(now, &offer);
            return Admission::Run;
        }
        let wait = self.expected_wait(now, &offer);
        if self.queued() >= self.limits.queue {
            return Admission::Refuse(Code::QueueFull, wait);
        }
        let patience = Duration::from_millis(self.limits.queue_wait_ms.into());
        let until = offer.deadline.min(now + patience);
        let Some(objective) = offer.objective else {
            if now + wait > until {
                return Admission::Refuse(Code::QueueFull, wait);
            }
            self.enqueue(Waiting { offer, in_time: until, until });
            return Admission::Queue(until);
        };
        let run_time = self.run_times[offer.class as usize];
        let in_time = objective.by - run_time;
        // Nothing is gained by a run that its caller's deadline cuts.
        let late_wait = run_time * self.policy.late_wait_percent / 100;
        let until = until.min(in_time.max(now) + late_wait).min(offer.deadline - run_time);
        let patience = match objective.patient {
            true => 100,
            false => self.policy.first_wait_percent,
        };
        let longest = in_time.min(until).since(now) * patience / 100;
        if now < in_time && wait <= longest {
            self.enqueue(Waiting { offer, in_time, until });
            return Admission::Queue(until);
        }
        let in_vain = now + wait + self.wait_behind_late(now, &offer) > until;
        if !objective.patient || in_vain || !self.has_room_for_late() {
            return Admission::Refuse(Code::QueueFull, wait);
        }
        self.late.push_back(Waiting { offer, in_time, until });
        Admission::Queue(until)
    }

    /// Late requests wait at most as many as there are slots.
    ///
    /// Requests that can still be in time go first. Without this order a target that is slightly
    /// overloaded answers every request late.
    fn has_room_for_late(&self) -> bool {
        (self.late.len() as u32) < self.limits.slots
    }

    /// Puts those that can't be in time any more behind the others.
    fn demote(&mut self, now: Time) {
        for index in 0..self.queues.len() {
            let late = |waiting: &Waiting| waiting.in_time < now && waiting.until > now;
            while let Some(at) = self.queues[index].iter().position(late) {
                if !self.has_room_for_late() {
                    return;
                }
                self.late.extend(self.queues[index].remove(at));
            }
        }
    }

    /// Puts a request behind those of its class that are nested as deep or deeper.
    ///
    /// The deepest nested calls go first, since the requests that wait for them hold slots. New
    /// requests first would fill every slot with runs that can't finish.
    fn enqueue(&mut self, waiting: Waiting) {
        let queue = &mut self.queues[waiting.offer.queue() as usize];
        let place = queue.partition_point(|other| other.offer.goes_before(&waiting.offer));
        queue.insert(place, waiting);
    }

    /// Frees the slot of a request that did not reach the target.
    pub fn give_back(&mut self, call: CallKey) {
        self.free(call);
    }

    /// Frees the slot of a request that ended, and learns from the time that it took.
    pub fn end(&mut self, now: Time, call: CallKey) {
        if let Some(ended) = self.end_run(now, call) {
            self.count_sent(&ended);
        }
    }

    fn end_run(&mut self, now: Time, call: CallKey) -> Option<Running> {
        let ended = self.free(call)?;
        let took = now.since(ended.started);
        let mean = &mut self.run_times[ended.class as usize];
        *mean = (*mean * (RUN_TIME_WEIGHT - 1) + took) / RUN_TIME_WEIGHT;
        Some(ended)
    }

    /// Learns from the size of a large answer that has left.
    fn count_sent(&mut self, answer: &Running) {
        if answer.class == Class::Bulk && answer.sent > 0 {
            self.link.record_size(answer.sent);
        }
    }

    /// Frees the slot of a request whose answer has been read whole, `left` bytes of it still on
    /// their way to the link.
    ///
    /// Frees the slot of a large answer that waits for the VM's link and no longer needs the
    /// target.
    pub fn read(&mut self, now: Time, call: CallKey, left: u64) {
        if let Some(ended) = self.end_run(now, call) {
            self.leaving.insert(call, Running { to_come: left, ..ended });
        }
    }

    /// The last byte of an answer that was read whole has been handed to the link, or nobody
    /// wants it any more.
    pub fn left(&mut self, call: CallKey) {
        if let Some(answer) = self.leaving.swap_remove(&call) {
            self.count_sent(&answer);
        }
    }

    /// Takes a waiting request out. Returns false if it does not wait.
    pub fn withdraw(&mut self, call: CallKey) -> bool {
        for queue in self.queues.iter_mut().chain([&mut self.late]) {
            if let Some(index) = queue.iter().position(|waiting| waiting.offer.call == call) {
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
        self.demote(now);
        for queue in self.queues.iter_mut().chain([&mut self.late]) {
            // A nested request may stand before one whose time is up sooner.
            if let Some(index) = queue.iter().position(|waiting| waiting.until <= now) {
                return queue.remove(index).map(|late| Popped::Expired(late.offer.call));
            }
        }
        let waiting = match self.next_class(now) {
            Some(class) => self.queues[class as usize].pop_front()?,
            None => self.next_late(now)?,
        };
        self.start(now, &waiting.offer);
        Some(Popped::Run(waiting.offer.call))
    }

    /// What the target runs and what waits for it.
    pub fn load(&self, now: Time) -> Load {
        Load {
            in_flight: self.running.len() as u32,
            slots: self.slots(now),
            queued: self.queued() + self.late.len() as u32,
            wait_ms: self.wait_of_newcomer(now).as_millis() as u32,
        }
    }

    /// How long a caller's request of the last rank would wait that comes now.
    fn wait_of_newcomer(&self, now: Time) -> Duration {
        if (self.running.len() as u32) < self.slots(now) {
            return Duration::ZERO;
        }
        let before = [Class::Gating, Class::Interactive].map(|class| class as usize);
        let work = |class: usize| self.run_times[class] * self.queues[class].len() as u32;
        let work: Duration = before.into_iter().map(work).sum();
        (work + self.run_times[Class::Interactive as usize]) / self.slots(now)
    }

    /// When a request that is refused now may come back.
    pub fn retry_after(&self, now: Time, offer: &Offer) -> Duration {
        self.expected_wait(now, offer)
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
        let percent = match self.policy.is_enabled(Mechanism::BulkShare) {
            true => self.limits.bulk_share_percent,
            false => 100,
        };
        (self.slots(now) * percent / 100).max(1)
    }

    fn has_slot(&self, now: Time, offer: &Offer) -> bool {
        let slots = self.slots(now);
        let kept = match self.policy.is_enabled(Mechanism::SlotsKept) {
            true => self.depths.reserved_slots(slots, offer.depth),
            false => 0,
        };
        let used = self.running.len() as u32 + kept;
        let free = used < slots;
        let bulk =
            || self.running_bulk < self.bulk_slots(now) && self.link.can_start(now, self.to_come());
        free && (offer.class != Class::Bulk || bulk())
    }

    /// Bytes that the large answers which run will have.
    fn to_come(&self) -> u64 {
        let answers = self.running.values().chain(self.leaving.values());
        answers.map(|answer| answer.to_come).sum()
    }

    fn start(&mut self, now: Time, offer: &Offer) {
        let mut to_come = 0;
        if offer.class == Class::Bulk {
            self.running_bulk += 1;
            to_come = self.link.expected_size();
        }
        let running = Running { class: offer.class, started: now, sent: 0, to_come };
        self.running.insert(offer.call, running);
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

    /// How many requests that wait go before this one.
    fn ahead_of(&self, offer: &Offer) -> usize {
        let queue = offer.queue();
        let before = self.queues[..queue as usize].iter().map(VecDeque::len).sum::<usize>();
        let own = &self.queues[queue as usize];
        before + own.partition_point(|other| other.offer.goes_before(offer))
    }

    /// How long a request would wait behind those that go before it, from the mean run times.
    fn expected_wait(&self, now: Time, offer: &Offer) -> Duration {
        let queue = offer.queue() as usize;
        let mut work = self.run_times[offer.class as usize];
        for (waiting, run_time) in self.queues.iter().zip(self.run_times).take(queue) {
            work += run_time * waiting.len() as u32;
        }
        let own = &self.queues[queue];
        let same = own.partition_point(|other| other.offer.goes_before(offer));
        work += self.run_times[offer.class as usize] * same as u32;
        let wait = work / self.slots(now);
        match offer.class {
            Class::Bulk => wait.max(self.link.wait(now, self.to_come(), same as u32)),
            Class::Gating | Class::Interactive => wait,
        }
    }

    /// How much longer a late request would wait behind those of its class that are late already.
    fn wait_behind_late(&self, now: Time, offer: &Offer) -> Duration {
        let same = self.late.iter().filter(|late| late.offer.class == offer.class).count() as u32;
        let runs = self.run_times[offer.class as usize] * same / self.slots(now);
        match offer.class {
            Class::Bulk => runs.max(self.link.wait(now, 0, same)),
            Class::Gating | Class::Interactive => runs,
        }
    }

    fn next_class(&mut self, now: Time) -> Option<Class> {
        let bulk_waits = self.policy.is_enabled(Mechanism::BulkTurn)
            && !self.queues[Class::Bulk as usize].is_empty();
        if bulk_waits && self.bulk_turn + 1 >= BULK_TURN && self.may_run_next(now, Class::Bulk) {
            self.bulk_turn = 0;
            return Some(Class::Bulk);
        }
        for class in [Class::Gating, Class::Interactive, Class::Bulk] {
            if self.may_run_next(now, class) {
                let passed_over = bulk_waits && class != Class::Bulk;
                self.bulk_turn = if passed_over { self.bulk_turn + 1 } else { 0 };
                return Some(class);
            }
        }
        None
    }

    fn next_late(&mut self, now: Time) -> Option<Waiting> {
        let first = self.late.front()?;
        self.has_slot(now, &first.offer).then(|| self.late.pop_front())?
    }

    fn may_run_next(&self, now: Time, class: Class) -> bool {
        let first = self.queues[class as usize].front();
        first.is_some_and(|waiting| self.has_slot(now, &waiting.offer))
    }
}
