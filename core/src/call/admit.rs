//! Admission control for one target: concurrency slots, a bounded queue ordered by class, and early
//! rejection of requests that cannot be served in time.

mod ample;
mod capacity;
mod dispatch;
mod lack;
mod late;
mod offer;
mod parking;
mod refusals;
mod report;
mod run_times;
mod shares;
mod spare_rate;
mod standing;
mod start_limits;
mod start_log;
mod stop;
mod wait;

use lack::Lack;
use parking::ParkedRequests;
use run_times::RunTimes;
use shares::Shares;
use spare_rate::{SpareRate, Usage};
use standing::StandingQueue;

pub use offer::{Admission, Objective, Offer, Popped};
pub use refusals::{RefusalReason, Refusals};
pub use report::ParkedReport;
pub use start_limits::{ColdChange, StartLimits};
pub use start_log::{MAX_INTERVAL, StartLog, StartRate};

use super::depth::NestingDepths;
use super::link::LinkPacer;
use super::policy::{Mechanism, Policy};
use super::{CallKey, WorkPace};
use crate::config::{Class, ServiceLimits};
use crate::{Code, Time};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    offer: Offer,
    queued_at: Time,
    // Latest start that can still meet the objective; equal to `expires_at` if there is none.
    latest_start: Time,
    // Never later than the caller's deadline.
    expires_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    depth: u8,
    usage: Usage,
    started: Time,
    // When it was sent to the target. Later than `started` if it waited for a connection.
    sent_at: Time,
    // Waits for a connection.
    connecting: bool,
    // Response bytes passed to the link pacer, sent or scheduled.
    sent_bytes: u64,
    // Response bytes still expected; an estimate until the response has been read.
    remaining_bytes: u64,
}

/// Concurrency slots of one target and the queue of requests waiting for them.
#[derive(Debug)]
pub struct Slots {
    limits: ServiceLimits,
    warm_up_since: Option<Time>,
    running: IndexMap<CallKey, Running>,
    // Responses read completely from the target that are still being sent over the link.
    sending: IndexMap<CallKey, Running>,
    running_bulk: u32,
    queues: [VecDeque<QueuedRequest>; 3],
    // Requests that can no longer meet their objective, oldest first. They run only when no request
    // in `queues` can.
    late: VecDeque<QueuedRequest>,
    dispatches_since_bulk: u32,
    run_times: RunTimes,
    depths: NestingDepths,
    link: LinkPacer,
    start_limits: StartLimits,
    standing: StandingQueue,
    parked: ParkedRequests,
    shares: Shares,
    spare: SpareRate,
    lack: Lack,
    refusals: Refusals,
    // Until when the target may work, if its node stops.
    run_by: Option<Time>,
    late_checked_at: Time,
    // When a request last displaced a less urgent one.
    contended_at: Time,
    policy: Policy,
}

impl Slots {
    /// Creates the slots of a target that does not need to warm up.
    pub fn new(limits: ServiceLimits) -> Slots {
        Slots {
            limits,
            warm_up_since: None,
            running: IndexMap::new(),
            sending: IndexMap::new(),
            running_bulk: 0,
            queues: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            late: VecDeque::new(),
            dispatches_since_bulk: 0,
            run_times: RunTimes::new(),
            depths: NestingDepths::new(),
            link: LinkPacer::new(None),
            start_limits: StartLimits::new(),
            standing: StandingQueue::new(),
            parked: ParkedRequests::default(),
            shares: Shares::default(),
            spare: SpareRate::default(),
            lack: Lack::default(),
            refusals: Refusals::default(),
            run_by: None,
            late_checked_at: Time::ZERO,
            contended_at: Time::ZERO,
            policy: Policy::new(),
        }
    }

    /// Creates the slots of a target that may have started together with its gatekeeper, at
    /// `started`.
    pub fn starting(limits: ServiceLimits, started: Time) -> Slots {
        let mut slots = Slots::new(limits);
        slots.start_limits.gatekeeper_started(started);
        slots
    }

    pub fn with_policy(mut self, policy: Policy) -> Slots {
        self.policy = policy;
        let link = self.link;
        self.with_link(link)
    }

    /// Sets the VM's link, which limits when bulk responses are sent.
    pub fn with_link(mut self, link: LinkPacer) -> Slots {
        self.link = link.with_measured_share(self.is_parking());
        self
    }

    /// Returns the time at which the next `bytes` of the response to `call` may be sent.
    pub fn schedule_chunk(&mut self, now: Time, call: CallKey, bytes: u64) -> Time {
        let running = self.running.get_mut(&call).or_else(|| self.sending.get_mut(&call));
        let Some(running) = running else {
            return now;
        };
        if running.class == Class::Bulk && running.sent_bytes == 0 {
            self.link.record_first_byte(now.since(running.sent_at));
        }
        running.sent_bytes += bytes;
        running.remaining_bytes = running.remaining_bytes.saturating_sub(bytes);
        self.link.schedule_write(now, running.class, bytes)
    }

    /// Records bytes that the node has written over the link, paced or not.
    pub fn record_written(&mut self, now: Time, bytes: u64) {
        self.link.record_written(now, bytes);
    }

    /// Changes the limits. Running and queued requests are not affected.
    pub fn set_limits(&mut self, limits: ServiceLimits) {
        self.start_limits.set_limits(&limits);
        self.limits = limits;
    }

    /// Records how long the target says that work takes at the moment.
    pub fn record_pace(&mut self, now: Time, pace: WorkPace) {
        if self.policy.is_enabled(Mechanism::StatedPace) {
            self.run_times.record_pace(now, pace);
        }
    }

    /// Whether the target can be asked if it is cold.
    pub fn has_health_path(&self) -> bool {
        self.limits.health_path.is_some()
    }

    /// Limits on the rate of starts.
    pub fn start_limits(&self) -> &StartLimits {
        &self.start_limits
    }

    /// The same, to report what is known of the target.
    pub fn start_limits_mut(&mut self) -> &mut StartLimits {
        &mut self.start_limits
    }

    /// When a request that is running was sent.
    pub fn sent_at(&self, call: CallKey) -> Option<Time> {
        self.running.get(&call).map(|running| running.sent_at)
    }

    /// Records that a request that is running waits for a connection.
    pub fn connecting(&mut self, call: CallKey) {
        if let Some(running) = self.running.get_mut(&call).filter(|running| !running.connecting) {
            running.connecting = true;
            self.start_limits.begin_connecting(running.started);
        }
    }

    /// Records that a request that is running has its connection and is sent now. Returns false if
    /// it has not waited for one, so that its start was counted earlier, and the limits on starts
    /// don't allow another one.
    pub fn connected(&mut self, now: Time, call: CallKey) -> bool {
        let Some(running) = self.running.get_mut(&call) else {
            return true;
        };
        self.start_limits.withdraw_start(running.started);
        if std::mem::replace(&mut running.connecting, false) {
            self.start_limits.end_connecting(running.started);
        } else if !self.start_limits.delay(now, 0).is_zero() {
            return false;
        }
        self.start_limits.record_start(now);
        (running.started, running.sent_at) = (now, now);
        true
    }

    /// Limits the slots while a target that has just started warms up.
    pub fn start_warm_up(&mut self, now: Time) {
        self.warm_up_since = Some(now);
    }

    /// Admits or queues a request, or rejects it at once if it cannot complete in time.
    pub fn offer(&mut self, now: Time, mut offer: Offer) -> Admission {
        if !self.policy.is_enabled(Mechanism::NestedFirst) {
            offer.depth = 0;
        }
        offer.objective =
            offer.objective.filter(|_| self.policy.is_enabled(Mechanism::InTimeFirst));
        self.depths.record(offer.depth);
        self.record_standing(now);
        if offer.deadline <= now {
            return Admission::Reject(Code::DeadlinePassed, Duration::ZERO);
        }
        if !self.fits_before_stop(now, &offer) {
            let code = match self.is_stopped_by(now, &offer) {
                true => Code::Draining,
                false => self.rejection_code(now),
            };
            return Admission::Reject(code, Duration::ZERO);
        }
        if let Some(objective) = self.ample_objective(now, &offer) {
            return self.offer_ample(now, offer, objective);
        }
        let is_next = self.queued() == 0 || (offer.depth > 0 && self.count_ahead(&offer) == 0);
        if is_next && self.has_slot(now, &offer) {
            self.record_nested_wait(now, &offer, Duration::ZERO, Duration::ZERO);
            self.start(now, &offer, Usage::Direct);
            return Admission::Run;
        }
        let wait = self.expected_wait(now, &offer);
        let full = self.rejection_code(now);
        if self.queued() >= self.limits.queue {
            return Admission::Reject(full, wait);
        }
        let max_wait = Duration::from_millis(self.limits.queue_wait_ms.into());
        let expires_at = self.latest_start(now, &offer).min(now + max_wait);
        let Some(objective) = offer.objective else {
            if now + wait > expires_at {
                return Admission::Reject(full, wait);
            }
            let queued_at = now;
            self.enqueue(QueuedRequest { offer, queued_at, latest_start: expires_at, expires_at });
            return Admission::Queue(expires_at);
        };
        let run_time = self.run_times.expected(now, offer.class);
        let latest_start = objective.respond_by - run_time;
        let max_late_wait = run_time * self.policy.late_wait_percent / 100;
        // A run that the caller's deadline would interrupt is wasted.
        let expires_at = expires_at
            .min(latest_start.max(now) + max_late_wait)
            .min(self.end_by(&offer) - run_time);
        // A request that can be sent to another target must leave time for that.
        let wait_percent = match objective.may_exceed_objective {
            true => 100,
            false => self.policy.first_wait_percent,
        };
        let longest_wait = latest_start.min(expires_at).since(now) * wait_percent / 100;
        let longest_wait = match self.is_overloaded() {
            true => longest_wait.min(run_time * self.policy.standing_wait_percent / 100),
            false => longest_wait,
        };
        if now < latest_start && wait <= longest_wait {
            self.enqueue(QueuedRequest { offer, queued_at: now, latest_start, expires_at });
            return Admission::Queue(expires_at);
        }
        let too_late = now + wait + self.wait_behind_late(now, &offer) > expires_at;
        // Late requests run only when no other waits, which does not happen behind a standing queue.
        let hopeless = too_late || self.is_overloaded() || !self.has_room_for_late();
        if !objective.may_exceed_objective || hopeless {
            return Admission::Reject(full, wait);
        }
        self.late.push_back(QueuedRequest { offer, queued_at: now, latest_start, expires_at });
        Admission::Queue(expires_at)
    }

    fn is_overloaded(&self) -> bool {
        self.policy.is_enabled(Mechanism::StandingQueue) && self.standing.is_standing()
    }

    /// Why a request that would wait too long is rejected.
    fn rejection_code(&self, now: Time) -> Code {
        self.start_limits.rejection_code(now).unwrap_or(Code::QueueFull)
    }

    /// Whether another late request may be queued: at most one per slot.
    ///
    /// Requests that can still meet their objective run first. Otherwise a slightly overloaded
    /// target would respond to every request late.
    fn has_room_for_late(&self) -> bool {
        (self.late.len() as u32) < self.limits.slots
    }

    /// Releases the slot of a request that did not reach the target, without recording a run time.
    pub fn release(&mut self, call: CallKey) {
        if let Some(unsent) = self.remove_running(call) {
            self.start_limits.withdraw_start(unsent.started);
        }
    }

    /// Releases the slot of a request that the target may have received, without recording a run
    /// time.
    pub fn abandon(&mut self, call: CallKey) {
        self.remove_running(call);
    }

    /// Releases the slot of a completed request and records its run time.
    pub fn end(&mut self, now: Time, call: CallKey) {
        if let Some(ended) = self.end_run(now, call) {
            self.record_response_size(&ended);
        }
    }

    fn end_run(&mut self, now: Time, call: CallKey) -> Option<Running> {
        self.record_usage(now);
        let ended = self.remove_running(call)?;
        let took = now.since(ended.sent_at);
        self.run_times.record(ended.class, took);
        Some(ended)
    }

    /// Records the size of a bulk response that has been sent.
    fn record_response_size(&mut self, response: &Running) {
        if response.class == Class::Bulk && response.sent_bytes > 0 {
            self.link.record_size(response.sent_bytes);
        }
    }

    /// Releases the slot of a request whose response has been read completely, with `unsent` bytes
    /// not yet sent.
    ///
    /// A bulk response that is still being sent over the VM's link no longer occupies the target.
    pub fn response_read(&mut self, now: Time, call: CallKey, unsent: u64) {
        if let Some(ended) = self.end_run(now, call) {
            self.sending.insert(call, Running { remaining_bytes: unsent, ..ended });
        }
    }

    /// Records that the last byte of a completely read response has been sent, or that the caller
    /// is gone.
    pub fn response_sent(&mut self, call: CallKey) {
        if let Some(response) = self.sending.swap_remove(&call) {
            self.record_response_size(&response);
        }
    }

    /// Removes a queued request that has waited for too long. Returns false if it is not queued.
    pub fn expire(&mut self, now: Time, call: CallKey) -> bool {
        let queued = self.queues.iter().flatten().find(|waiting| waiting.offer.call == call);
        if let Some(waiting) = queued.copied() {
            self.record_expired(now, &waiting);
        }
        if let Some(class) = self.parked.expire(call) {
            self.refusals.record(class, RefusalReason::Expired);
            return true;
        }
        self.withdraw(call)
    }

    /// Removes a queued request. Returns false if it is not queued.
    pub fn withdraw(&mut self, call: CallKey) -> bool {
        if self.parked.remove(call) {
            return true;
        }
        for queue in self.queues.iter_mut().chain([&mut self.late]) {
            if let Some(index) = queue.iter().position(|waiting| waiting.offer.call == call) {
                queue.remove(index);
                return true;
            }
        }
        false
    }

    fn record_expired(&mut self, now: Time, expired: &QueuedRequest) {
        let QueuedRequest { offer, queued_at, expires_at, .. } = *expired;
        let waited = expires_at.since(self.start_limits.waits_since(queued_at));
        self.record_nested_wait(now, &offer, waited, expires_at.since(queued_at));
    }

    fn record_standing(&mut self, now: Time) {
        let held = self.start_limits.is_held(now);
        self.standing.record(now, if held { 0 } else { self.queued() });
    }

    fn record_nested_wait(
        &mut self,
        now: Time,
        offer: &Offer,
        waited: Duration,
        allowed: Duration,
    ) {
        if offer.depth > 0 {
            self.depths.record_wait(now, waited, allowed);
        }
    }

    fn queued(&self) -> u32 {
        self.queues.iter().map(|queue| queue.len() as u32).sum()
    }
}
