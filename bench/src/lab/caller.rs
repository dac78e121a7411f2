//! Caller model: arrivals, retries and abandoned requests.

use super::path::Origin;
use super::tally::RequestOutcome;
use super::world::{Event, Request, World};
use rand::RngExt;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::Outcome;

/// Divisor that caps the delay of a retry relative to the time left until the deadline.
const RETRY_DELAY_DIVISOR: u32 = 3;

/// Retry delay without a `Retry-After` from the node.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl World<'_> {
    /// Issues a request of a kind and schedules the next arrival.
    pub(super) fn issue_request(&mut self, kind: usize) {
        if !self.callers_active() {
            return;
        }
        let mut per_s = self.kinds[kind].cfg.per_s;
        let weights = self.cfg.zone_weights(self.run_time(self.links.now()));
        per_s *= weights.iter().sum::<f64>() / self.base_weight();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_s.max(1e-9);
        self.links.after(Duration::from_secs_f64(gap), Event::RequestArrival(kind));
        let zone = self.draw_zone(&weights);
        let cfg = &self.kinds[kind].cfg;
        let retries = cfg.caller_retries;
        let abuse = self.conditions.abuse;
        let abusive = abuse.is_some_and(|(share, _)| self.rng.random_bool(share));
        let times = abuse.filter(|_| abusive).map_or(0, |(_, times)| times);
        let abandonment = self.conditions.give_up;
        let after = abandonment.filter(|(share, _)| self.rng.random_bool(*share));
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            zone,
            issued_at: self.links.now(),
            retries_left: retries + times,
            refusals: 0,
            abusive,
            finished: false,
            call: None,
        });
        if let Some((_, after)) = after {
            self.links.after(after, Event::Abandon(request));
        }
        self.submit(request);
    }

    fn base_weight(&self) -> f64 {
        self.cfg.zones.values().map(|zone| zone.callers).sum::<f64>().max(1e-9)
    }

    fn draw_zone(&mut self, weights: &[f64]) -> usize {
        let mut left = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }

    /// Sends a request to a random node in the caller's zone, or in any zone if that has no running
    /// node.
    pub(super) fn submit(&mut self, request: usize) {
        let Request { kind, zone, issued_at, finished, .. } = self.requests[request];
        if finished {
            return;
        }
        let deadline = issued_at + Duration::from_millis(self.kinds[kind].cfg.deadline_ms.into());
        let now = self.links.now();
        if now >= deadline {
            return self.finish(request, RequestOutcome::Failed);
        }
        let Some(node) = self.draw_node(zone) else {
            return self.schedule_retry(request, DEFAULT_RETRY_DELAY, RequestOutcome::Failed);
        };
        let call = self.start_call(node, kind, Origin::Caller(request), deadline.since(now));
        self.requests[request].call = call;
    }

    fn draw_node(&mut self, zone: usize) -> Option<usize> {
        let up = |node: &usize| self.nodes[*node].up;
        let own = |node: &usize| self.mesh.sites[*node].zone == zone;
        let local: Vec<usize> = (0..self.nodes.len()).filter(up).filter(own).collect();
        let all = || (0..self.nodes.len()).filter(up).collect();
        let nodes: Vec<usize> = if local.is_empty() { all() } else { local };
        (!nodes.is_empty()).then(|| nodes[self.rng.random_range(0..nodes.len())])
    }

    /// Handles a successful response to a caller's attempt.
    pub(super) fn caller_answered(&mut self, request: usize) {
        let Request { kind, issued_at, .. } = self.requests[request];
        let round_trip = Duration::from_secs_f64(self.cfg.links.caller_ms / 1e3) * 2;
        let took = self.links.now().since(issued_at) + round_trip;
        let cfg = &self.kinds[kind].cfg;
        let ms = |ms: u32| Duration::from_millis(ms.into());
        let ending = match took {
            took if took <= ms(cfg.objective_ms) => RequestOutcome::InTime,
            took if took <= ms(cfg.deadline_ms) => RequestOutcome::Late,
            _ => RequestOutcome::Failed,
        };
        self.finish(request, ending);
    }

    /// Handles an attempt that was rejected or failed.
    pub(super) fn caller_attempt_failed(&mut self, request: usize, outcome: Outcome) {
        let kind = self.requests[request].kind;
        let idempotent = self.kinds[kind].cfg.idempotent;
        match outcome {
            Outcome::NotRun { retry_after, .. } => {
                let measured = u64::from(self.is_measured(self.requests[request].issued_at));
                let refusals = &mut self.requests[request].refusals;
                *refusals += 1;
                self.tally.refused_again += if *refusals == 2 { measured } else { 0 };
                self.tally.refusals += measured;
                self.schedule_retry(request, retry_after, RequestOutcome::Refused);
            }
            Outcome::Unknown { .. } | Outcome::Answered if idempotent => {
                self.schedule_retry(request, DEFAULT_RETRY_DELAY, RequestOutcome::Failed);
            }
            Outcome::Unknown { .. } | Outcome::Answered => {
                self.finish(request, RequestOutcome::Failed)
            }
        }
    }

    fn schedule_retry(&mut self, request: usize, wait: Duration, otherwise: RequestOutcome) {
        let Request { kind, issued_at, retries_left, abusive, finished, .. } =
            self.requests[request];
        if finished {
            return;
        }
        let deadline = issued_at + Duration::from_millis(self.kinds[kind].cfg.deadline_ms.into());
        let left = deadline.since(self.links.now());
        if retries_left == 0 || left.is_zero() {
            return self.finish(request, otherwise);
        }
        let wait = if abusive { DEFAULT_RETRY_DELAY } else { wait.min(left / RETRY_DELAY_DIVISOR) };
        self.requests[request].retries_left -= 1;
        self.requests[request].call = None;
        self.links.after(wait, Event::Retry(request));
    }

    /// Abandons a request that is still in progress.
    pub(super) fn abandon(&mut self, request: usize) {
        if self.requests[request].finished {
            return;
        }
        if let Some(call) = self.requests[request].call.take() {
            self.cancel_call(call);
        }
        self.finish(request, RequestOutcome::GaveUp);
    }

    fn finish(&mut self, request: usize, ending: RequestOutcome) {
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.finished, true) {
            return;
        }
        let (kind, issued_at): (usize, Time) = (state.kind, state.issued_at);
        if !self.is_measured(issued_at) {
            return;
        }
        let info = &self.kinds[kind];
        let worth = (info.cfg.worth, info.cfg.late_worth);
        let second = self.second_of(issued_at);
        let name = info.name.clone();
        self.tally.record(&name, worth, second, ending);
    }
}
