//! Closed connections, expired queue times, and VMs that stop.

use super::{Call, GatekeeperAttempt};
use crate::lab::world::{Event, World};
use sycamore_core::Code;
use sycamore_core::call::entry::AttemptEnd;
use sycamore_core::call::gatekeeper::{self, RunEnd};
use sycamore_core::call::{CallKey, Outcome};

impl World<'_> {
    pub(super) fn close_attempt(&mut self, node: usize, attempt_key: Option<CallKey>) {
        let Some(attempt_key) = attempt_key else { return };
        if let Some(attempt) = self.attempts.get(&attempt_key) {
            let to = attempt.node;
            self.send(self.links.now(), node, to, 0, Event::ConnectionClosed(attempt_key));
        }
    }

    /// Handles a connection closed by the entry node, at the gatekeeper.
    pub(in crate::lab) fn connection_closed(&mut self, attempt_key: CallKey) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_key) else { return };
        if let Some(nested_call) = attempt.nested_call {
            self.cancel_call(nested_call);
        }
        let input = match attempt.running {
            true => gatekeeper::Input::End { call: attempt_key, end: RunEnd::Cancelled },
            false => gatekeeper::Input::Withdraw(attempt_key),
        };
        self.release_slot(attempt.node, attempt_key);
        self.gatekeeper_input(attempt.node, input);
    }

    /// Expires a request that is still queued at its gatekeeper.
    pub(in crate::lab) fn queue_timeout(&mut self, attempt_key: CallKey) {
        if let Some(attempt) = self.attempts.get(&attempt_key).filter(|attempt| !attempt.running) {
            self.gatekeeper_input(attempt.node, gatekeeper::Input::Expire(attempt_key));
        }
    }

    /// Stops a VM. Its callers and the entry nodes of its runs lose their connections.
    pub(in crate::lab) fn stop_vm(&mut self, node: usize) {
        self.nodes[node].up = false;
        let own = |(key, call): (&CallKey, &Call)| (call.node == node).then_some(*key);
        let calls: Vec<CallKey> = self.calls.iter().filter_map(own).collect();
        let here =
            |(key, attempt): (&CallKey, &GatekeeperAttempt)| (attempt.node == node).then_some(*key);
        let runs: Vec<CallKey> = self.attempts.iter().filter_map(here).collect();
        for key in calls {
            let Some(call) = self.calls.get(&key) else { continue };
            let (primary, hedge) = (call.primary, call.hedge);
            self.close_attempt(node, primary);
            self.close_attempt(node, hedge);
            self.end_call(key, Err(Outcome::Unknown { code: Code::AnswerLost }));
        }
        for run in runs {
            let Some(attempt) = self.attempts.swap_remove(&run) else { continue };
            self.send_result(node, attempt.call, run, AttemptEnd::ConnectionLost);
        }
    }

    /// Restarts a VM with a cold target.
    pub(in crate::lab) fn start_vm(&mut self, node: usize) {
        let now = self.links.now();
        if let Ok((entry, gatekeeper)) = self.new_deciders(node, self.nodes[node].mbps) {
            let restarted = &mut self.nodes[node];
            (restarted.entry, restarted.gatekeeper, restarted.up) = (entry, gatekeeper, true);
            restarted.target.restart(now);
            let snapshot = self.latest_snapshot.clone();
            self.configure_node(node, &snapshot);
        }
    }
}
