//! Slots of the target and waits for them, each given back when dropped.

use super::GateSide;
use crate::calls::body::Lease;
use crate::calls::pool::Linger;
use crate::calls::watch::{Phase, Watch};
use std::sync::Arc;
use sycamore_core::call::CallKey;
use sycamore_core::call::gatekeeper::{End, Input};

/// A slot of the target; freed when dropped, as cancelled unless it was ended before.
#[derive(Debug)]
pub struct Slot {
    side: Arc<GateSide>,
    call: CallKey,
    ended: bool,
}

/// A slot in use on a connection. If it is dropped early, the connection keeps the slot until the
/// target has closed it too, so that the target never runs more than its slots.
#[derive(Debug)]
pub struct Running {
    slot: Option<Slot>,
    linger: Arc<Linger>,
}

/// An answer on its way to the entry node.
#[derive(Debug)]
pub struct Answer {
    running: Running,
    // Read from the target to its end while bytes of it wait for the link.
    leaving: Option<Leaving>,
    lease: Lease,
    watch: Arc<Watch>,
}

/// A waiting request; withdrawn when dropped, so that it never reaches the target once the caller
/// has gone.
#[derive(Debug)]
pub struct Wait {
    side: Arc<GateSide>,
    call: CallKey,
    over: bool,
}

/// An answer that the target is done with; the decider hears when it has left.
#[derive(Debug)]
struct Leaving {
    side: Arc<GateSide>,
    call: CallKey,
}

impl Drop for Leaving {
    fn drop(&mut self) {
        self.side.tell(Input::ResponseSent(self.call));
    }
}

impl Slot {
    /// The slot of a call that the decider has just let run.
    pub fn new(side: &Arc<GateSide>, call: CallKey) -> Slot {
        Slot { side: side.clone(), call, ended: false }
    }

    /// Frees the slot and says how the run ended. Returns what the decider says of it.
    pub(super) fn end(mut self, end: End) -> Option<super::Decision> {
        self.ended = true;
        self.side.decide(self.call, Input::End { call: self.call, end })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            self.side.tell(Input::End { call: self.call, end: End::Cancelled });
        }
    }
}

impl Running {
    /// A slot in use on the connection that `linger` belongs to.
    pub fn new(slot: Slot, linger: Arc<Linger>) -> Running {
        Running { slot: Some(slot), linger }
    }

    /// Takes the slot off the connection.
    pub fn take(&mut self) -> Option<Slot> {
        self.slot.take()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            *self.linger.lock() = Some(slot);
        }
    }
}

impl Answer {
    /// An answer whose body goes out now.
    pub fn new(running: Running, lease: Lease, watch: Arc<Watch>) -> Answer {
        Answer { running, leaving: None, lease, watch }
    }

    /// The answer has been read from the target to its end, and `left` bytes of it have not left:
    /// the slot and the connection are free for the next request.
    pub fn read(&mut self, left: u64) {
        if let Some(slot) = self.running.take() {
            self.leaving = Some(Leaving { side: slot.side.clone(), call: slot.call });
            slot.end(End::ResponseRead { unsent: left });
            self.lease.over(true);
        }
    }

    /// The answer's body is over: to its end, or cut.
    pub fn over(mut self, whole: bool) {
        if whole {
            if let Some(slot) = self.running.take() {
                slot.end(End::Answered { cached: None });
            }
        }
        // The connection holds the slot before it is closed.
        drop(self.running);
        self.lease.over(whole);
        self.watch.set_phase(Phase::Flush);
    }
}

impl Wait {
    /// A call that the decider has just queued.
    pub fn new(side: &Arc<GateSide>, call: CallKey) -> Wait {
        Wait { side: side.clone(), call, over: false }
    }

    /// The decider has answered, and the answer was taken.
    pub fn over(mut self) {
        self.over = true;
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if !self.over {
            self.side.state.lock().waiting.swap_remove(&self.call);
            self.side.tell(Input::Withdraw(self.call));
        }
    }
}
