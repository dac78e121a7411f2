//! Run of a request at its target: work, nested calls and the response.

use super::{HEAD_BYTES, Origin, RunKey};
use crate::lab::target::Submission;
use crate::lab::world::{Event, World};
use rand::RngExt;
use std::time::Duration;
use sycamore_core::call::CallKey;
use sycamore_core::call::entry::AttemptEnd;
use sycamore_core::call::gatekeeper::{self, RunEnd};
use sycamore_core::{Code, Time};

impl World<'_> {
    /// Hands a request to the target after the gatekeeper has granted a slot.
    pub(super) fn start_run(&mut self, run: RunKey) {
        let Some(attempt) = self.attempts.get_mut(&run) else { return };
        attempt.running = true;
        attempt.waited = self.links.now().since(attempt.arrived_at);
        let (node, key) = (attempt.node, attempt.call);
        self.count_arrival(key);
        match self.nodes[node].target.submit(run, &mut self.rng) {
            Submission::Running => self.begin_work(run),
            Submission::Queued => {}
            Submission::Rejected => {
                let end = RunEnd::Rejected(Code::TargetRefused);
                self.gatekeeper_input(node, gatekeeper::Input::End { call: run, end });
            }
        }
    }

    fn count_arrival(&mut self, key: CallKey) {
        let counts = self.is_measured(self.links.now());
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.arrivals += 1;
        if counts {
            self.tally.arrivals.0 += 1;
            self.tally.arrivals.1 += u64::from(call.arrivals > 1);
        }
    }

    fn begin_work(&mut self, run: RunKey) {
        let Some(attempt) = self.attempts.get(&run) else { return };
        let (node, kind) = (attempt.node, attempt.kind);
        let fails = self.nodes[node].target.draw_failure(&mut self.rng);
        let long = self.nodes[node].target.draw_long_run(&mut self.rng);
        let work = self.draw_work(kind).mul_f64(long);
        let time = self.nodes[node].target.work_time(self.links.now(), work, fails);
        let mut remaining_calls = Vec::new();
        for (called, times, share) in self.kinds[kind].calls.clone() {
            if !fails && self.rng.random_bool(share) {
                remaining_calls.extend(std::iter::repeat_n(called, times as usize));
            }
        }
        let step_time = time / (remaining_calls.len() as u32 + 1);
        if let Some(attempt) = self.attempts.get_mut(&run) {
            (attempt.fails, attempt.remaining_calls, attempt.step_time) =
                (fails, remaining_calls, step_time);
        }
        self.links.after(step_time, Event::WorkStepDone(run));
    }

    /// Draws the work time of a request from a log-normal distribution with the configured mean.
    fn draw_work(&mut self, kind: usize) -> Duration {
        let cfg = &self.kinds[kind].cfg;
        let (mean, spread) = (cfg.work_ms, cfg.spread);
        let (a, b) = (1.0 - self.rng.random::<f64>(), self.rng.random::<f64>());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let factor = (spread * normal - spread * spread / 2.0).exp();
        Duration::from_secs_f64(mean * factor / 1e3)
    }

    /// Handles the end of a work step: the run makes its next nested call or ends.
    pub(in crate::lab) fn work_step_done(&mut self, run: RunKey) {
        let Some(attempt) = self.attempts.get_mut(&run) else { return };
        let Some(kind) = attempt.remaining_calls.pop() else {
            let fails = attempt.fails;
            return self.finish_run(run, fails);
        };
        let (node, deadline) = (attempt.node, attempt.deadline);
        let now = self.links.now();
        let most = Duration::from_millis(self.kinds[kind].cfg.deadline_ms.into());
        let left = deadline.since(now).min(most);
        let nested_call = self.start_call(node, kind, Origin::Run(run), left);
        if let Some(attempt) = self.attempts.get_mut(&run) {
            attempt.nested_call = nested_call;
        }
    }

    /// Handles a finished run and schedules the transmission of its response.
    fn finish_run(&mut self, run: RunKey, failed: bool) {
        let Some(attempt) = self.attempts.get(&run) else { return };
        let (node, kind, key) = (attempt.node, attempt.kind, attempt.call);
        if self.nodes[node].target.draw_response_loss(&mut self.rng) {
            return self.release_slot(node, run);
        }
        let body = if failed { 0 } else { self.kinds[kind].cfg.answer_bytes };
        let to = self.calls.get(&key).map(|call| call.node);
        let departs = match to {
            Some(to) if to != node => self.transmission_end(node, run, HEAD_BYTES + body),
            _ => self.links.now(),
        };
        if departs > self.links.now() {
            // The slot is freed once the gatekeeper has buffered the response.
            self.release_slot(node, run);
            let end = RunEnd::ResponseRead { unsent: HEAD_BYTES + body };
            self.gatekeeper_input(node, gatekeeper::Input::End { call: run, end });
        }
        self.links.at(departs, Event::ResponseSent(run, failed));
    }

    /// Returns when the link of a node's VM has transmitted a response.
    fn transmission_end(&mut self, node: usize, run: RunKey, bytes: u64) -> Time {
        let now = self.links.now();
        let mbps = self.nodes[node].mbps;
        if mbps <= 0.0 {
            return now;
        }
        let start = self.nodes[node].gatekeeper.schedule_chunk(now, run, bytes);
        let duration = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
        let link_until = &mut self.nodes[node].link_until;
        *link_until = (*link_until).max(start) + duration;
        *link_until
    }

    /// Handles a response whose last byte has left the target's VM.
    pub(in crate::lab) fn response_sent(&mut self, run: RunKey, failed: bool) {
        let Some(attempt) = self.attempts.get(&run) else { return };
        let (node, key, kind, waited) = (attempt.node, attempt.call, attempt.kind, attempt.waited);
        self.release_slot(node, run);
        let statement = self.nodes[node].target.statement();
        let stated = gatekeeper::Input::Stated { call: run, ran: true, statement };
        self.gatekeeper_input(node, stated);
        let load = self.nodes[node].gatekeeper.load(self.links.now());
        let end = RunEnd::Answered { cached: None };
        self.gatekeeper_input(node, gatekeeper::Input::End { call: run, end });
        self.gatekeeper_input(node, gatekeeper::Input::ResponseSent(run));
        self.attempts.swap_remove(&run);
        let Some(call) = self.calls.get(&key) else { return };
        let to = call.node;
        let (end, body) = match failed {
            true => (AttemptEnd::ErrorResponseStarted { load: Some(load) }, 0),
            false => {
                let body = self.kinds[kind].cfg.answer_bytes;
                (AttemptEnd::ResponseStarted { load: Some(load), waited }, body)
            }
        };
        let departs = self.process_message(node);
        let event = Event::AttemptEnded(self.result(node, key, run, end));
        self.send(departs, node, to, HEAD_BYTES + body, event);
    }

    /// Frees a slot at the target and starts the next queued request.
    pub(super) fn release_slot(&mut self, node: usize, run: RunKey) {
        if let Some(next) = self.nodes[node].target.remove(run) {
            self.begin_work(next);
        }
    }

    pub(super) fn nested_call_ended(&mut self, run: RunKey, answered: bool) {
        let counts = self.is_measured(self.links.now());
        self.tally.nested.0 += u64::from(counts && answered);
        self.tally.nested.1 += u64::from(counts && !answered);
        let Some(attempt) = self.attempts.get_mut(&run) else { return };
        attempt.nested_call = None;
        match answered {
            true => self.links.after(attempt.step_time, Event::WorkStepDone(run)),
            // Ends the run in a separate event, since its gatekeeper may be the one that has just
            // rejected the nested call.
            false => {
                attempt.fails = true;
                attempt.remaining_calls.clear();
                self.links.after(Duration::ZERO, Event::WorkStepDone(run));
            }
        }
    }
}
