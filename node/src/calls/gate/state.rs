//! State of the gatekeeper's adapter: the state machine, and the calls that wait for its decisions.

use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use std::sync::Arc;
use sycamore_core::Time;
use sycamore_core::call::admit::Refusals;
use sycamore_core::call::gatekeeper::Output;
use sycamore_core::call::once::CachedResponse;
use sycamore_core::call::{CallKey, Gatekeeper, Load, Outcome, Runs, TargetStatements};

#[derive(Debug)]
pub(super) struct State {
    pub(super) gatekeeper: Gatekeeper,
    // Refusals that have been counted.
    counted: Refusals,
    pub(super) waiting: IndexMap<CallKey, Sender<Decision>>,
}

/// What the gatekeeper knows of its target.
pub(super) struct TargetState {
    pub(super) load: Load,
    pub(super) runs: Runs,
    pub(super) statements: TargetStatements,
    pub(super) cold: bool,
}

impl TargetState {
    /// Whether the target runs requests or is about to.
    pub(super) fn is_busy(&self, parked: u32) -> bool {
        self.load.in_flight + self.load.queued + parked > 0
    }
}

impl TargetState {
    pub(super) fn new(now: Time, gatekeeper: &Gatekeeper) -> TargetState {
        let (load, runs) = (gatekeeper.load(now), gatekeeper.runs());
        let (statements, cold) = (gatekeeper.statements(), gatekeeper.is_target_cold(now));
        TargetState { load, runs, statements, cold }
    }
}

/// Decision of the state machine about a call.
#[derive(Debug)]
pub(super) enum Decision {
    Run {
        once: bool,
        /// When its start was counted.
        counted_at: Time,
    },
    Queue(Time, Receiver<Decision>),
    Replay(Arc<CachedResponse>),
    Reject(Outcome, u32),
}

impl State {
    pub(super) fn new(gatekeeper: Gatekeeper) -> State {
        State { gatekeeper, counted: Refusals::default(), waiting: IndexMap::new() }
    }

    /// Publishes the parked requests, under the lock so that each refusal counts once. Returns what
    /// can be published without it.
    pub(super) fn publish(&mut self, now: Time, shared: &Shared) -> TargetState {
        let parked = self.gatekeeper.parked();
        shared.metrics.update_parked(&parked, &self.counted);
        self.counted = parked.refusals;
        let target = TargetState::new(now, &self.gatekeeper);
        shared.set_target_busy(target.is_busy(parked.now));
        target
    }

    /// Sends decisions made at `now` to the waiting calls. Returns the decision for `own` and the
    /// outputs that do not belong to a call.
    pub(super) fn dispatch(
        &mut self,
        now: Time,
        own: Option<CallKey>,
        out: Vec<Output>,
    ) -> (Option<Decision>, Vec<Output>) {
        let mut own_decision = None;
        let mut effects = Vec::new();
        for output in out {
            let (call, decision) = match output {
                Output::Run { call, once } => (call, Decision::Run { once, counted_at: now }),
                Output::Queue(call, until) => {
                    let (tx, rx) = async_channel::bounded(1);
                    self.waiting.insert(call, tx);
                    (call, Decision::Queue(until, rx))
                }
                Output::Replay(call, cached) => (call, Decision::Replay(cached)),
                Output::Reject { call, outcome, crashes } => {
                    (call, Decision::Reject(outcome, crashes))
                }
                Output::Send(_) | Output::Record(_) | Output::RecordCold(_) | Output::Probe => {
                    effects.push(output);
                    continue;
                }
            };
            let queued = matches!(decision, Decision::Queue(..));
            let waiting = if queued { None } else { self.waiting.swap_remove(&call) };
            if own == Some(call) {
                own_decision = Some(decision);
            } else if let Some(waiting) = waiting {
                // Fails if the receiver was dropped, which withdraws the call.
                let _ = waiting.try_send(decision);
            }
        }
        (own_decision, effects)
    }
}
