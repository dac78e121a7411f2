//! Calls to the platform that a node has open, and what it has read so far.

use super::backoff::Backoff;
use super::limits::{MAX_INVALID_PUBLICATIONS, SOURCE_ANSWER_GRACE, SOURCE_ANSWER_GRACE_LARGE};
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
    /// What a call to the platform is for.
    pub enum CallPurpose {
        /// The key `in-force`.
        InForce,
        /// The body of the preset being read.
        Body,
        /// A part of the preset being read.
        Part(Hash),
        /// The key `zones`.
        Zones,
        /// The VMs of a zone.
        List(Place),
    }

    /// A call that has not ended.
    pub struct OpenCall {
        /// What it is for.
        pub purpose: CallPurpose,
        /// When it was made.
        pub started_at: Time,
        /// How long the platform may wait for a change.
        pub wait: Duration,
    }
}

impl CallPurpose {
    /// Whether a body may be read after it.
    pub fn precedes_body_read(&self) -> bool {
        matches!(self, CallPurpose::InForce | CallPurpose::Body)
    }

    /// Whether it is for the body of a preset.
    pub fn reads_body(&self) -> bool {
        matches!(self, CallPurpose::Body | CallPurpose::Part(_))
    }
}

/// A key that is read again and again.
#[derive(Debug, Default)]
pub struct Watch {
    /// Index of the last value.
    pub index: u64,
    /// Not before this time.
    pub at: Time,
    /// Pause after failures.
    pub backoff: Backoff,
}

/// The body of a publication, on its way.
#[derive(Debug)]
pub struct BodyRead {
    /// What was published.
    pub publication: InForce,
    /// The body, once it has come; its parts may be missing.
    pub preset: Option<Preset>,
    /// Next call not before this time.
    pub at: Time,
    /// Pause after failures.
    pub backoff: Backoff,
}

/// What a node has open at the platform and knows from it.
#[derive(Debug, Default)]
pub struct Source {
    next_id: u64,
    calls: IndexMap<CallId, OpenCall>,
    /// Whether the last call was answered.
    pub reachable: Option<bool>,
    /// The key `in-force`.
    pub in_force: Watch,
    /// The key `zones`.
    pub zones: Watch,
    /// The lists of VMs, by zone.
    pub lists: IndexMap<Name, Watch>,
    /// The body being read.
    pub body_read: Option<BodyRead>,
    /// The parts of the last preset read, by digest: their JSON as read, which takes a fraction of
    /// the memory of the documents.
    pub parts: IndexMap<Hash, Bytes>,
    /// The last publication refused, so that it is reported once.
    pub last_refused: Option<InForce>,
    /// Hash of the last value that was not understood, so that it is reported once.
    pub last_unparsable: Option<Hash>,
    /// For nodes that are not readers: no call before this time; `None` while none is needed.
    pub next_budgeted_at: Option<Time>,
    /// Whether the last call within the budget was one that a body or a part may follow.
    pub may_follow_up: bool,
    /// When the next call may be due.
    pub wake_at: Option<Time>,
    invalid: VecDeque<InForce>,
}

impl Source {
    /// Opens a call.
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

    /// Ends a call. `None` if it had been given up.
    pub fn close(&mut self, id: CallId) -> Option<OpenCall> {
        self.calls.swap_remove(&id)
    }

    /// Whether a call for this purpose is open.
    pub fn is_open(&self, purpose: &CallPurpose) -> bool {
        self.calls.values().any(|call| call.purpose == *purpose)
    }

    /// Whether the key `in-force` is read again and again, and was answered the last time.
    pub fn is_watching(&self) -> bool {
        self.reachable == Some(true) && self.in_force.index > 0
    }

    /// Whether a call for the body or a part is open.
    pub fn reads_body(&self) -> bool {
        self.calls.values().any(|call| call.purpose.reads_body())
    }

    /// A call whose answer is overdue.
    ///
    /// A call that the platform has taken and not answered in time.
    pub fn overdue(&self, now: Time) -> Option<CallId> {
        self.calls.iter().find(|(_, call)| call.deadline() <= now).map(|(id, _)| *id)
    }

    /// When the first open call is overdue.
    pub fn next_overdue(&self) -> Option<Time> {
        self.calls.values().map(OpenCall::deadline).min()
    }

    /// Gives up every call that `unwanted` picks.
    pub fn cancel_calls(&mut self, unwanted: impl Fn(&CallPurpose) -> bool) -> Vec<CallId> {
        let picked = self.calls.iter().filter(|(_, call)| unwanted(&call.purpose));
        let ids: Vec<CallId> = picked.map(|(id, _)| *id).collect();
        for id in &ids {
            self.calls.swap_remove(id);
        }
        ids
    }

    /// Whether a publication was read whole and found bad.
    pub fn is_invalid(&self, publication: &InForce) -> bool {
        self.invalid.contains(publication)
    }

    /// Remembers a publication as bad.
    pub fn mark_invalid(&mut self, publication: InForce) {
        if self.invalid.len() == MAX_INVALID_PUBLICATIONS {
            self.invalid.pop_front();
        }
        self.invalid.push_back(publication);
    }

    /// The first part of the preset being read that has not come yet.
    pub fn missing_part(&self) -> Option<&PartRef> {
        let preset = self.body_read.as_ref()?.preset.as_ref()?;
        preset.parts.iter().find(|part| !self.parts.contains_key(&part.digest))
    }
}

impl BodyRead {
    /// A body that is to be read from `at` on.
    pub fn new(publication: InForce, at: Time) -> BodyRead {
        BodyRead { publication, preset: None, at, backoff: Backoff::default() }
    }
}

impl OpenCall {
    fn deadline(&self) -> Time {
        let answer = match self.purpose {
            CallPurpose::InForce | CallPurpose::Zones => SOURCE_ANSWER_GRACE,
            CallPurpose::Body | CallPurpose::Part(_) | CallPurpose::List(_) => {
                SOURCE_ANSWER_GRACE_LARGE
            }
        };
        self.started_at + self.wait + answer
    }
}
