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
    pub enum Purpose {
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
        pub purpose: Purpose,
        /// When it was made.
        pub began: Time,
        /// How long the platform may wait for a change.
        pub wait: Duration,
    }
}

impl Purpose {
    /// Whether a body may be read after it.
    pub fn begins_reading(&self) -> bool {
        matches!(self, Purpose::InForce | Purpose::Body)
    }

    /// Whether it is for the body of a preset.
    pub fn is_reading(&self) -> bool {
        matches!(self, Purpose::Body | Purpose::Part(_))
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
pub struct Reading {
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
    pub answers: Option<bool>,
    /// The key `in-force`.
    pub in_force: Watch,
    /// The key `zones`.
    pub zones: Watch,
    /// The lists of VMs, by zone.
    pub lists: IndexMap<Name, Watch>,
    /// The body being read.
    pub reading: Option<Reading>,
    /// The parts of the last preset read, by digest: their JSON as read, which takes a fraction of
    /// the memory of the documents.
    pub parts: IndexMap<Hash, Bytes>,
    /// The last publication refused, so that it is reported once.
    pub refused: Option<InForce>,
    /// Hash of the last value that was not understood, so that it is reported once.
    pub rubbish: Option<Hash>,
    /// For nodes that are not readers: no call before this time; `None` while none is needed.
    pub budget_at: Option<Time>,
    /// Whether the last call within the budget was one that a body or a part may follow.
    pub follows: bool,
    /// When the next call may be due.
    pub wake_at: Option<Time>,
    bad: VecDeque<InForce>,
}

impl Source {
    /// Opens a call.
    pub fn open(
        &mut self,
        now: Time,
        purpose: Purpose,
        key: Name,
        watch: (u64, Duration),
    ) -> SourceCall {
        let id = CallId(self.next_id);
        self.next_id += 1;
        let (index, wait) = watch;
        self.calls.insert(id, OpenCall { purpose, began: now, wait });
        SourceCall { id, key, index, wait }
    }

    /// Ends a call. `None` if it had been given up.
    pub fn close(&mut self, id: CallId) -> Option<OpenCall> {
        self.calls.swap_remove(&id)
    }

    /// Whether a call for this purpose is open.
    pub fn is_open(&self, purpose: &Purpose) -> bool {
        self.calls.values().any(|call| call.purpose == *purpose)
    }

    /// Whether the key `in-force` is read again and again, and was answered the last time.
    pub fn is_watching(&self) -> bool {
        self.answers == Some(true) && self.in_force.index > 0
    }

    /// Whether a call for the body or a part is open.
    pub fn is_reading(&self) -> bool {
        self.calls.values().any(|call| call.purpose.is_reading())
    }

    /// A call whose answer is overdue.
    ///
    /// A call that the platform has taken and not answered in time.
    pub fn overdue(&self, now: Time) -> Option<CallId> {
        self.calls.iter().find(|(_, call)| call.give_up() <= now).map(|(id, _)| *id)
    }

    /// When the first open call is overdue.
    pub fn next_overdue(&self) -> Option<Time> {
        self.calls.values().map(OpenCall::give_up).min()
    }

    /// Gives up every call that `unwanted` picks.
    pub fn drop_calls(&mut self, unwanted: impl Fn(&Purpose) -> bool) -> Vec<CallId> {
        let picked = self.calls.iter().filter(|(_, call)| unwanted(&call.purpose));
        let ids: Vec<CallId> = picked.map(|(id, _)| *id).collect();
        for id in &ids {
            self.calls.swap_remove(id);
        }
        ids
    }

    /// Whether a publication was read whole and found bad.
    pub fn is_bad(&self, publication: &InForce) -> bool {
        self.bad.contains(publication)
    }

    /// Remembers a publication as bad.
    pub fn mark_bad(&mut self, publication: InForce) {
        if self.bad.len() == MAX_INVALID_PUBLICATIONS {
            self.bad.pop_front();
        }
        self.bad.push_back(publication);
    }

    /// The first part of the preset being read that has not come yet.
    pub fn missing_part(&self) -> Option<&PartRef> {
        let preset = self.reading.as_ref()?.preset.as_ref()?;
        preset.parts.iter().find(|part| !self.parts.contains_key(&part.digest))
    }
}

impl Reading {
    /// A body that is to be read from `at` on.
    pub fn new(publication: InForce, at: Time) -> Reading {
        Reading { publication, preset: None, at, backoff: Backoff::default() }
    }
}

impl OpenCall {
    fn give_up(&self) -> Time {
        let answer = match self.purpose {
            Purpose::InForce | Purpose::Zones => SOURCE_ANSWER_GRACE,
            Purpose::Body | Purpose::Part(_) | Purpose::List(_) => SOURCE_ANSWER_GRACE_LARGE,
        };
        self.began + self.wait + answer
    }
}
