//! Guards for the target's slots and for queued requests.

use super::GateAdapter;
use crate::calls::body::Lease;
use crate::calls::conn_state::{ConnectionState, Phase};
use crate::calls::pool::DeferredSlot;
use std::sync::Arc;
use sycamore_core::call::CallKey;
use sycamore_core::call::gatekeeper::{Input, RunEnd};

/// A slot of the target. Freed on drop; the call then counts as cancelled unless it was ended.
#[derive(Debug)]
pub struct Slot {
    adapter: Arc<GateAdapter>,
    call: CallKey,
    ended: bool,
}

/// A slot in use on a connection. If dropped before the slot is taken, the connection keeps the
/// slot until the target has closed its side, so that the target never exceeds its slots.
#[derive(Debug)]
pub struct RunningSlot {
    slot: Option<Slot>,
    deferred_slot: Arc<DeferredSlot>,
}

/// A response that is being sent to the entry node.
#[derive(Debug)]
pub struct ActiveResponse {
    running: RunningSlot,
    // Set once the response was read from the target, while part of it waits for the link.
    unsent_response: Option<UnsentResponse>,
    lease: Lease,
    conn: Arc<ConnectionState>,
}

/// A request that waits for a slot or a connection. Withdrawn on drop, so that it does not reach the
/// target after its caller has disconnected.
#[derive(Debug)]
pub struct QueuedCall {
    adapter: Arc<GateAdapter>,
    call: CallKey,
    decided: bool,
}

/// A response that was read from the target. Reports on drop that it was sent.
#[derive(Debug)]
struct UnsentResponse {
    adapter: Arc<GateAdapter>,
    call: CallKey,
}

impl Drop for UnsentResponse {
    fn drop(&mut self) {
        self.adapter.handle_input(Input::ResponseSent(self.call));
    }
}

impl Slot {
    /// The slot of a call that the state machine allowed to run.
    pub fn new(adapter: &Arc<GateAdapter>, call: CallKey) -> Slot {
        Slot { adapter: adapter.clone(), call, ended: false }
    }

    pub fn call(&self) -> CallKey {
        self.call
    }

    /// Marks the slot as freed by the state machine.
    pub(super) fn disarm(mut self) {
        self.ended = true;
    }

    /// Frees the slot and reports how the run ended. Returns the decision for the call.
    pub(super) fn end(mut self, end: RunEnd) -> Option<super::Decision> {
        self.ended = true;
        self.adapter.decide(self.call, Input::End { call: self.call, end })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            self.adapter.handle_input(Input::End { call: self.call, end: RunEnd::Cancelled });
        }
    }
}

impl RunningSlot {
    /// A slot in use on the connection that owns `deferred_slot`.
    pub fn new(slot: Slot, deferred_slot: Arc<DeferredSlot>) -> RunningSlot {
        RunningSlot { slot: Some(slot), deferred_slot }
    }

    /// Detaches the slot from the connection.
    pub fn take(&mut self) -> Option<Slot> {
        self.slot.take()
    }
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            *self.deferred_slot.lock() = Some(slot);
        }
    }
}

impl ActiveResponse {
    /// A response whose body is about to be sent.
    pub fn new(running: RunningSlot, lease: Lease, conn: Arc<ConnectionState>) -> ActiveResponse {
        ActiveResponse { running, unsent_response: None, lease, conn }
    }

    /// Frees the slot and the connection after the response was read from the target; `unsent`
    /// bytes of it have not been sent yet.
    pub fn mark_read(&mut self, unsent: u64) {
        if let Some(slot) = self.running.take() {
            self.unsent_response =
                Some(UnsentResponse { adapter: slot.adapter.clone(), call: slot.call });
            // Released first: a request that waits for a connection has waited for longer than the
            // one that gets the slot.
            self.lease.finish(true);
            slot.end(RunEnd::ResponseRead { unsent });
        }
    }

    /// Ends the response; `complete` is false if the body was truncated.
    pub fn finish(mut self, complete: bool) {
        if complete {
            self.lease.finish(true);
            if let Some(slot) = self.running.take() {
                slot.end(RunEnd::Answered { cached: None });
            }
        }
        // Attach the slot to the connection before closing it.
        drop(self.running);
        self.lease.finish(complete);
        self.conn.set_phase(Phase::Flush);
    }
}

impl QueuedCall {
    /// A call that the state machine queued.
    pub fn new(adapter: &Arc<GateAdapter>, call: CallKey) -> QueuedCall {
        QueuedCall { adapter: adapter.clone(), call, decided: false }
    }

    /// Marks the decision as received, so that the call is not withdrawn.
    pub fn disarm(mut self) {
        self.decided = true;
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if !self.decided {
            self.adapter.state.lock().waiting.swap_remove(&self.call);
            self.adapter.handle_input(Input::Withdraw(self.call));
        }
    }
}
