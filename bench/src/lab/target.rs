//! Target model: slots, speed and faults.

use super::scenario::{LongRuns, ServiceModel, SlowPeriods};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::{CallKey, RateLimit, StatedLimit, Statement, WorkPace};

/// Work time of a failing run, relative to a successful one.
const FAILED_WORK_SHARE: f64 = 0.2;

/// Result of submitting a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The request is running.
    Running,
    /// The request is in the target's queue.
    Queued,
    /// The request was rejected without running.
    Rejected,
}

/// Active faults of a target.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Work time multiplier.
    pub work_factor: f64,
    /// Share of requests that fail.
    pub error_share: f64,
    /// Share of requests that are rejected.
    pub reject_share: f64,
    /// Share of responses that are dropped.
    pub loss_share: f64,
    /// Rate limit that the target states.
    pub rate_limit: Option<RateLimit>,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    slots: usize,
    queue: usize,
    speed: f64,
    full_slowdown: f64,
    cold_factor: f64,
    cold_duration: Duration,
    slow_periods: SlowPeriods,
    in_slow_period: bool,
    long_runs: LongRuns,
    started: Time,
    running: Vec<CallKey>,
    waiting: VecDeque<CallKey>,
    /// Active faults.
    pub faults: Faults,
}

impl Faults {
    /// No faults.
    pub fn none() -> Faults {
        Faults {
            work_factor: 1.0,
            error_share: 0.0,
            reject_share: 0.0,
            loss_share: 0.0,
            rate_limit: None,
        }
    }
}

impl Target {
    /// Creates a warm target; `rank` is its index within the service.
    pub fn new(model: &ServiceModel, rank: usize) -> Target {
        Target {
            slots: model.slots as usize,
            queue: model.queue as usize,
            speed: model.speeds[rank % model.speeds.len()],
            full_slowdown: model.near_full_percent / 100.0,
            cold_factor: model.cold.factor,
            cold_duration: Duration::from_secs_f64(model.cold.seconds.max(0.0)),
            slow_periods: model.slow_periods,
            in_slow_period: false,
            long_runs: model.long_runs,
            started: Time::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            faults: Faults::none(),
        }
    }

    /// Restarts the target cold, discarding all requests.
    pub fn restart(&mut self, now: Time) {
        self.started = now;
        self.running.clear();
        self.waiting.clear();
    }

    /// Submits a request.
    pub fn submit(&mut self, call: CallKey, rng: &mut Pcg64Mcg) -> Submission {
        if self.faults.reject_share > 0.0 && rng.random_bool(self.faults.reject_share) {
            return Submission::Rejected;
        }
        if self.running.len() < self.slots {
            self.running.push(call);
            return Submission::Running;
        }
        if self.waiting.len() < self.queue {
            self.waiting.push_back(call);
            return Submission::Queued;
        }
        Submission::Rejected
    }

    /// Whether a slot is free and the target accepts any number of requests: it is warm, rejects
    /// none, and states no limit.
    pub fn has_free_slot(&self, now: Time) -> bool {
        let free = self.running.len() < self.slots;
        let faults = &self.faults;
        let accepts_all = faults.reject_share == 0.0 && faults.rate_limit.is_none();
        free && accepts_all && !self.is_cold(now)
    }

    fn is_cold(&self, now: Time) -> bool {
        now.since(self.started) < self.cold_duration && self.started > Time::ZERO
    }

    /// Removes a request that has ended or whose connection was closed. Returns the queued request
    /// that starts in its place.
    pub fn remove(&mut self, call: CallKey) -> Option<CallKey> {
        self.waiting.retain(|other| *other != call);
        let at = self.running.iter().position(|other| *other == call)?;
        self.running.swap_remove(at);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Draws whether a run fails.
    pub fn draw_failure(&self, rng: &mut Pcg64Mcg) -> bool {
        self.faults.error_share > 0.0 && rng.random_bool(self.faults.error_share)
    }

    /// Draws whether a response is dropped.
    pub fn draw_response_loss(&self, rng: &mut Pcg64Mcg) -> bool {
        self.faults.loss_share > 0.0 && rng.random_bool(self.faults.loss_share)
    }

    /// What the target states in its responses.
    pub fn statement(&self) -> Statement {
        let limit = self.faults.rate_limit.map_or(StatedLimit::Absent, StatedLimit::Limit);
        let percent = (100.0 * self.pace_factor()).round() as u32;
        let pace = (self.slow_periods.share > 0.0).then_some(WorkPace { percent });
        Statement { limit, leaving: false, pace }
    }

    fn pace_factor(&self) -> f64 {
        if self.in_slow_period { self.slow_periods.factor } else { 1.0 }
    }

    /// Starts or ends a slow period. Returns the time until the next change, or `None` if the
    /// target has no slow periods.
    pub fn toggle_slow_period(&mut self, starts: bool, rng: &mut Pcg64Mcg) -> Option<Duration> {
        let SlowPeriods { share, for_ms, .. } = self.slow_periods;
        if share == 0.0 {
            return None;
        }
        self.in_slow_period = starts;
        let mean_gap_ms = for_ms * (1.0 - share) / share;
        let gap_ms = -(1.0 - rng.random::<f64>()).ln() * mean_gap_ms;
        Some(Duration::from_secs_f64(if starts { for_ms } else { gap_ms } / 1e3))
    }

    /// Draws the factor by which a run takes longer than usual.
    pub fn draw_long_run(&self, rng: &mut Pcg64Mcg) -> f64 {
        let LongRuns { share, factor } = self.long_runs;
        if share > 0.0 && rng.random_bool(share) { factor } else { 1.0 }
    }

    /// Time that `work` takes under the current conditions.
    pub fn work_time(&self, now: Time, work: Duration, fails: bool) -> Duration {
        let used = self.running.len() as f64 / self.slots as f64;
        let cold = if self.is_cold(now) { self.cold_factor.max(1.0) } else { 1.0 };
        let done = if fails { FAILED_WORK_SHARE } else { 1.0 };
        let full = 1.0 + self.full_slowdown * (used - 0.5).max(0.0) * 2.0;
        work.mul_f64(self.speed * full * cold * self.pace_factor() * self.faults.work_factor * done)
    }
}
