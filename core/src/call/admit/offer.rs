//! Input and results of admission control.

use crate::call::CallKey;
use crate::config::Class;
use crate::{Code, Time};
use std::time::Duration;

/// Whether an arriving request runs, waits or is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run now.
    Run,
    /// Wait for a slot, at most until this time.
    Queue(Time),
    /// Reject with this code. The request may be retried after this delay.
    Reject(Code, Duration),
}

/// A request removed from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Popped {
    /// Run now.
    Run(CallKey),
    /// Reject, because the maximum wait has passed.
    Expired(CallKey),
}

/// A request offered for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub call: CallKey,
    pub class: Class,
    /// Priority within the class and depth; the lowest runs first.
    pub rank: u8,
    /// Nesting depth: the number of calls waiting for this one, each holding a slot. 0 for a
    /// top-level request.
    pub depth: u8,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Until when the target may work, if the entry node stops.
    pub run_by: Option<Time>,
    /// Response time objective; `None` if any response before the deadline is as good.
    pub objective: Option<Objective>,
}

/// A response time objective, earlier than the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Time by which the response should arrive.
    pub respond_by: Time,
    /// Whether the request may be queued although its response will miss the objective, because no
    /// other target can meet it either.
    pub may_exceed_objective: bool,
}

impl Offer {
    /// The class whose queue the request waits in. A nested interactive request is queued as gating,
    /// because the request that made it holds a slot until it completes.
    pub(super) fn queue_class(&self) -> Class {
        match self.class {
            Class::Interactive if self.depth > 0 => Class::Gating,
            class => class,
        }
    }

    /// Whether this queued request runs before a newer one in the same queue.
    pub(super) fn precedes(&self, newer: &Offer) -> bool {
        self.depth > newer.depth || (self.depth == newer.depth && self.rank <= newer.rank)
    }
}
