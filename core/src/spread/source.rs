//! Open calls to the platform and the state of its watches.

use super::backoff::Backoff;
use super::limits::{MAX_INVALID_PUBLICATIONS, SOURCE_RESPONSE_GRACE, SOURCE_RESPONSE_GRACE_LARGE};
use super::port::{CallId, SourceCall};
use crate::config::document::PartRef;
use crate::config::{InForce, Preset};
use crate::hash::Hash;
use crate::place::Place;
use crate::{Name, Time};
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

data! {
    /// The purpose of a call to the platform.
    pub enum CallPurpose {
        /// The key `in-force`.
        InForce,
        /// The preset body being read.
        Body,
        /// A part of the preset being read, by digest.
        Part(Hash),
        /// The key `zones`.
        Zones,
        /// The VM list of a zone.
        List(Place),
    }

    /// A call without a reply yet.
    pub struct OpenCall {
        pub purpose: CallPurpose,
        pub started_at: Time,
        /// Maximum time for the platform to block.
        pub wait: Duration,
    }
}

impl CallPurpose {
    /// Whether the read of a body or of its parts may follow this call.
    pub fn precedes_body_read(&self) -> bool {
        matches!(self, CallPurpose::InForce | CallPurpose::Body)
    }

    /// Whether the call reads a preset body or a part.
    pub fn reads_body(&self) -> bool {
        matches!(self, CallPurpose::Body | CallPurpose::Part(_))
    }
}

/// State of a key that is read repeatedly.
#[derive(Debug, Default)]
pub struct Watch {
    /// Index of the last value.
    pub index: u64,
    /// Earliest time of the next call.
    pub next_at: Time,
    pub backoff: Backoff,
}

/// The read of a publication's body.
#[derive(Debug)]
pub struct BodyRead {
    pub publication: InForce,
    /// The body once it has been read; parts may still be missing.
    pub preset: Option<Preset>,
    /// Earliest time of the next call.
    pub next_at: Time,
    pub backoff: Backoff,
}

/// State of the platform client.
#[derive(Debug, Default)]
pub struct Source {
    next_id: u64,
    calls: IndexMap<CallId, OpenCall>,
    /// Whether the last call received a response; `None` before the first.
    pub reachable: Option<bool>,
    /// Watch on the key `in-force`.
    pub in_force: Watch,
    /// Watch on the key `zones`.
    pub zones: Watch,
    /// Watches on VM lists, by zone.
    pub lists: IndexMap<Name, Watch>,
    /// The body read in progress.
    pub body_read: Option<BodyRead>,
    /// Parts of the last preset read, by digest. Kept as raw JSON, which takes a fraction of the
    /// memory of parsed documents.
    pub parts: IndexMap<Hash, Bytes>,
    /// The last rejected publication, reported only once.
    pub last_rejected: Option<InForce>,
    /// Hash of the last value that could not be parsed, reported only once.
    pub last_unparsable: Option<Hash>,
    /// Earliest time of the next call of a node that is not a reader; `None` if no call is needed.
    pub next_budgeted_at: Option<Time>,
    /// Whether the next body or part may be read without waiting for the budget.
    pub may_follow_up: bool,
    /// Time at which the next call may be due.
    pub wake_at: Option<Time>,
    invalid: VecDeque<InForce>,
}

impl Source {
    /// Registers a call and returns it.
    pub fn open(
        &mut self,
        now: Time,
        purpose: CallPurpose,
        key: Name,
        watch: (u64, Duration),
    ) -> SourceCall {
        let id = CallId(self.next_id);
        self.next_id += 1;
        let (index, wait) = watch;
        self.calls.insert(id, OpenCall { purpose, started_at: now, wait });
        SourceCall { id, key, index, wait }
    }

    /// Removes a finished call. Returns `None` if it has been cancelled.
    pub fn close(&mut self, id: CallId) -> Option<OpenCall> {
        self.calls.swap_remove(&id)
    }

    /// Whether a call for this purpose is open.
    pub fn is_open(&self, purpose: &CallPurpose) -> bool {
        self.calls.values().any(|call| call.purpose == *purpose)
    }

    /// Whether the key `in-force` is being watched and the platform responded to the last call.
    pub fn is_watching(&self) -> bool {
        self.reachable == Some(true) && self.in_force.index > 0
    }

    /// Whether a call for the body or a part is open.
    pub fn reads_body(&self) -> bool {
        self.calls.values().any(|call| call.purpose.reads_body())
    }

    /// Returns a call whose deadline has passed.
    pub fn overdue(&self, now: Time) -> Option<CallId> {
        self.calls.iter().find(|(_, call)| call.deadline() <= now).map(|(id, _)| *id)
    }

    /// The earliest deadline of all open calls.
    pub fn next_overdue(&self) -> Option<Time> {
        self.calls.values().map(OpenCall::deadline).min()
    }

    /// Cancels all calls that match `unwanted` and returns their ids.
    pub fn cancel_calls(&mut self, unwanted: impl Fn(&CallPurpose) -> bool) -> Vec<CallId> {
        let picked = self.calls.iter().filter(|(_, call)| unwanted(&call.purpose));
        let ids: Vec<CallId> = picked.map(|(id, _)| *id).collect();
        for id in &ids {
            self.calls.swap_remove(id);
        }
        ids
    }

    /// Whether a publication was read and found invalid.
    pub fn is_invalid(&self, publication: &InForce) -> bool {
        self.invalid.contains(publication)
    }

    /// Remembers an invalid publication so that it is not read again.
    pub fn mark_invalid(&mut self, publication: InForce) {
        if self.invalid.len() == MAX_INVALID_PUBLICATIONS {
            self.invalid.pop_front();
        }
        self.invalid.push_back(publication);
    }

    /// The first part of the preset being read that is still missing.
    pub fn missing_part(&self) -> Option<&PartRef> {
        let preset = self.body_read.as_ref()?.preset.as_ref()?;
        preset.parts.iter().find(|part| !self.parts.contains_key(&part.digest))
    }
}

impl BodyRead {
    /// Creates a read whose first call is made no earlier than `next_at`.
    pub fn new(publication: InForce, next_at: Time) -> BodyRead {
        BodyRead { publication, preset: None, next_at, backoff: Backoff::default() }
    }
}

impl OpenCall {
    fn deadline(&self) -> Time {
        let grace = match self.purpose {
            CallPurpose::InForce | CallPurpose::Zones => SOURCE_RESPONSE_GRACE,
            CallPurpose::Body | CallPurpose::Part(_) | CallPurpose::List(_) => {
                SOURCE_RESPONSE_GRACE_LARGE
            }
        };
        self.started_at + self.wait + grace
    }
}
