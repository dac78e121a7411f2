//! Answers to recalls: whether an attempt has started, and the promise that it never will.
//!
//! Load pattern: a request waits at a target that has become slow, or on a connection that has
//! become unresponsive, while another target is free.

use super::{CLOCK_GAP, Gatekeeper, Output, RETRY_AFTER_SHORT};
use crate::call::recall::{AttemptId, RECALL_TIMEOUT, RecallAnswer};
use crate::call::{CallKey, Outcome};
use crate::config::Snapshot;
use crate::{Code, Time};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Maximum number of recalled attempts that are remembered.
pub const MAX_RECALLED: usize = 4_096;

/// Minimum time for which a recalled attempt is remembered. The kernel of the entry node may resend
/// the bytes of a connection for 100 s after it was closed.
pub const MIN_RECALL_RETENTION: Duration = Duration::from_secs(180);

/// Attempts whose runs are over, by generation. The older of two generations is dropped when the
/// newer one is full.
const MAX_ENDED_PER_GENERATION: usize = 2_048;

/// By how much an attempt may have been sent earlier than its stated age says: the age is determined
/// before the question is sent, an answer after [`RECALL_TIMEOUT`] is ignored, and the clock may have
/// been stepped forward by less than a clock gap in the meantime.
pub const AGE_TOLERANCE: Duration = CLOCK_GAP.saturating_add(RECALL_TIMEOUT.saturating_mul(2));

data! {
    /// A question of an entry node.
    #[derive(Copy)]
    pub struct RecallQuestion {
        pub attempt: AttemptId,
        /// Time since the entry node sent the attempt.
        pub age: Duration,
    }
}

#[derive(Clone, Copy, Debug)]
struct Recalled {
    expires_at: Time,
    // Whether it waited here when it was recalled.
    arrived: bool,
}

/// Attempts that must not start any more, and attempts whose runs are over.
#[derive(Debug)]
pub(super) struct RecallTable {
    enabled: bool,
    recalled: IndexMap<AttemptId, Recalled>,
    retention: Duration,
    ended: IndexSet<AttemptId>,
    ended_before: IndexSet<AttemptId>,
    last_ended_at: Time,
    last_ended_before_at: Time,
    // All attempts sent later that arrived are known. Earlier ones may have run in a previous
    // process, before a clock gap, or so long ago that their end is no longer recorded.
    complete_since: Time,
}

impl RecallTable {
    pub(super) fn new(started: Time) -> RecallTable {
        RecallTable {
            enabled: true,
            recalled: IndexMap::new(),
            retention: MIN_RECALL_RETENTION,
            ended: IndexSet::new(),
            ended_before: IndexSet::new(),
            last_ended_at: started,
            last_ended_before_at: started,
            complete_since: started,
        }
    }

    pub(super) fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Remembers recalled attempts for at least the longest deadline of a route.
    pub(super) fn configure(&mut self, snapshot: &Snapshot) {
        let deadlines = snapshot.routes().iter().map(|entry| entry.route.deadline_ms);
        let longest = Duration::from_millis(deadlines.max().unwrap_or(0).into());
        // Not reduced, because a request may have been sent under an earlier version.
        self.retention = self.retention.max(longest);
    }

    /// After a clock gap, requests that arrived during the gap may still be unread. Recalled
    /// attempts are kept until these have been read, and nothing is promised about attempts that
    /// were sent before.
    pub(super) fn clock_gap(&mut self, now: Time, gap: Duration) {
        for recalled in self.recalled.values_mut() {
            recalled.expires_at = recalled.expires_at + gap;
        }
        self.complete_since = now;
    }

    /// Whether an arriving attempt must be rejected.
    pub(super) fn is_recalled(&self, now: Time, attempt: AttemptId) -> bool {
        self.recalled.get(&attempt).is_some_and(|recalled| recalled.expires_at > now)
    }

    /// Records that the run of an attempt is over.
    pub(super) fn record_ended(&mut self, now: Time, attempt: AttemptId) {
        if !self.enabled {
            return;
        }
        if self.ended.len() >= MAX_ENDED_PER_GENERATION {
            self.complete_since = self.complete_since.max(self.last_ended_before_at);
            self.last_ended_before_at = self.last_ended_at;
            self.ended_before = std::mem::take(&mut self.ended);
        }
        self.ended.insert(attempt);
        self.last_ended_at = now;
    }

    fn has_ended(&self, attempt: AttemptId) -> bool {
        self.ended.contains(&attempt) || self.ended_before.contains(&attempt)
    }

    /// Whether an attempt that arrived here would be known.
    fn is_complete_for(&self, now: Time, age: Duration) -> bool {
        now - age > self.complete_since + AGE_TOLERANCE
    }

    /// Remembers a recalled attempt. Returns `None` if the table is full, else whether the attempt
    /// waited here when it was first recalled.
    fn insert(&mut self, now: Time, attempt: AttemptId, arrived: bool) -> Option<bool> {
        if let Some(known) = self.recalled.get(&attempt).filter(|known| known.expires_at > now) {
            return Some(known.arrived);
        }
        if self.recalled.len() >= MAX_RECALLED {
            self.recalled.retain(|_, recalled| recalled.expires_at > now);
        }
        if self.recalled.len() >= MAX_RECALLED {
            return None;
        }
        let expires_at = now + self.retention;
        self.recalled.insert(attempt, Recalled { expires_at, arrived });
        Some(arrived)
    }
}

impl Gatekeeper {
    /// Answers a recall. An attempt that waits for a slot or a connection is removed, and its
    /// rejection appended to `out`.
    ///
    /// The state that this reads and changes is the one that starts requests, so exactly one of
    /// "recalled" and "started" happens to an attempt.
    pub fn handle_recall(
        &mut self,
        now: Time,
        question: RecallQuestion,
        out: &mut Vec<Output>,
    ) -> RecallAnswer {
        self.detect_clock_gap(now, out);
        let answer = self.answer_recall(now, question, out);
        // A removed request may have been the only reason for others to wait.
        self.run_waiting(now, out);
        answer
    }

    fn answer_recall(
        &mut self,
        now: Time,
        question: RecallQuestion,
        out: &mut Vec<Output>,
    ) -> RecallAnswer {
        let RecallQuestion { attempt, age } = question;
        if !self.recalls.enabled {
            return RecallAnswer::Running;
        }
        let held = self.calls.iter().filter(|(_, call)| call.attempt == Some(attempt));
        let (waiting, started): (Vec<_>, Vec<_>) = held.partition(|(_, call)| call.is_unstarted());
        if !started.is_empty() {
            return RecallAnswer::Running;
        }
        if self.recalls.has_ended(attempt) {
            return RecallAnswer::Ended;
        }
        if !self.recalls.is_complete_for(now, age) {
            return RecallAnswer::Running;
        }
        let waiting: Vec<CallKey> = waiting.into_iter().map(|(call, _)| *call).collect();
        let Some(arrived) = self.recalls.insert(now, attempt, !waiting.is_empty()) else {
            return RecallAnswer::Running;
        };
        for call in waiting {
            self.remove_recalled(now, call, out);
        }
        RecallAnswer::NotStarted { arrived }
    }

    fn remove_recalled(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.withdraw(call) else {
            return;
        };
        let outcome = Outcome::not_run(Code::Recalled, RETRY_AFTER_SHORT);
        let crashes = self.crashes_of(now, &entry);
        out.push(Output::Reject { call, outcome, crashes });
    }
}
