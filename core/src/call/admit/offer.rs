//! A request as admission sees it, and what becomes of it.

use crate::call::CallKey;
use crate::config::Class;
use crate::{Code, Time};
use std::time::Duration;

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits, at most until this time.
    Queue(Time),
    /// It is refused; come back after this time.
    Refuse(Code, Duration),
}

/// What leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Popped {
    /// It runs now.
    Run(CallKey),
    /// It would be late even if it ran now.
    Expired(CallKey),
}

/// What admission looks at in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The call.
    pub call: CallKey,
    /// Class of its route.
    pub class: Class,
    /// Order within the class and depth, the lowest first.
    pub rank: u8,
    /// Calls that wait for this one, each holding a slot: 0 for a caller's own request.
    pub depth: u8,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// When an answer is worth most; absent if any time before the deadline is as good.
    pub objective: Option<Objective>,
}

/// When an answer is worth most to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// The end of that time.
    pub by: Time,
    /// Whether it may wait here although the answer will come later than that: no other target
    /// can give one in time either.
    pub allow_late: bool,
}

impl Offer {
    /// The class in which it waits: a caller's request waits for a nested one too.
    pub(super) fn queue_class(&self) -> Class {
        match self.class {
            Class::Interactive if self.depth > 0 => Class::Gating,
            class => class,
        }
    }

    /// Whether this one, which waits in the same queue already, goes before one that comes now.
    pub(super) fn precedes(&self, newer: &Offer) -> bool {
        self.depth > newer.depth || (self.depth == newer.depth && self.rank <= newer.rank)
    }
}
