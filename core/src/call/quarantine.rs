//! Quarantine of requests that crash the targets running them.
//!
//! Every request that a target was running when it crashed becomes a suspect. A single crash is
//! weak evidence, because it also implicates requests that merely ran at the same time; a request
//! is therefore quarantined only after a second crash, and a response to it clears it.
//!
//! A connection that breaks although the target's process lives is weaker evidence still: a target in
//! trouble cuts any responses. It counts only against requests that got no response lately, and not if
//! the target has sent part of a response: a request that crashes its target gets none.

use super::Fingerprint;
use crate::Time;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Number of crashes after which a request is quarantined.
pub const MAX_CRASHES: usize = 2;

/// Time after the last crash for which a request remains a suspect.
pub const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// Maximum number of suspects. When it is exceeded, the suspect added first is evicted.
pub const MAX_SUSPECTS: usize = 1_024;

/// Longest age of a generation of [`Answered`].
const ANSWERED_TTL: Duration = SUSPICION_TTL;

/// Maximum number of requests in a generation of [`Answered`].
const MAX_ANSWERED: usize = 1_024;

/// Requests that got a response lately, in two generations. The older one is dropped once the newer
/// one is full or too old.
#[derive(Debug)]
pub struct Answered {
    recent: IndexSet<Fingerprint>,
    recent_since: Time,
    older: IndexSet<Fingerprint>,
}

impl Answered {
    pub fn new() -> Answered {
        Answered { recent: IndexSet::new(), recent_since: Time::ZERO, older: IndexSet::new() }
    }

    pub fn insert(&mut self, now: Time, fingerprint: Fingerprint) {
        self.expire(now);
        if self.recent.len() >= MAX_ANSWERED {
            self.begin_generation(now);
        }
        self.recent.insert(fingerprint);
    }

    pub fn contains(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.expire(now);
        self.recent.contains(&fingerprint) || self.older.contains(&fingerprint)
    }

    fn expire(&mut self, now: Time) {
        let age = now.since(self.recent_since);
        if age >= ANSWERED_TTL {
            self.begin_generation(now);
        }
        if age >= 2 * ANSWERED_TTL {
            self.older.clear();
        }
    }

    fn begin_generation(&mut self, now: Time) {
        self.older = std::mem::take(&mut self.recent);
        self.recent_since = now;
    }
}

impl Default for Answered {
    fn default() -> Answered {
        Answered::new()
    }
}

#[derive(Debug)]
struct Suspect {
    crashes: Vec<u64>,
    last_crash_at: Time,
}

/// Bounded table of requests that were running when targets crashed. Entries expire.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: IndexMap<Fingerprint, Suspect>,
}

impl Suspects {
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Counts a crash against the requests that were running. Repeated reports of a crash count
    /// once. Returns whether a request is newly quarantined.
    pub fn record_crash(&mut self, now: Time, crash: u64, fingerprints: &[Fingerprint]) -> bool {
        self.expire(now);
        let mut quarantined = false;
        for fingerprint in fingerprints {
            if self.entries.len() >= MAX_SUSPECTS && !self.entries.contains_key(fingerprint) {
                self.entries.shift_remove_index(0);
            }
            let new_suspect = || Suspect { crashes: Vec::new(), last_crash_at: now };
            let suspect = self.entries.entry(*fingerprint).or_insert_with(new_suspect);
            suspect.last_crash_at = now;
            if suspect.crashes.len() < MAX_CRASHES && !suspect.crashes.contains(&crash) {
                suspect.crashes.push(crash);
                quarantined |= suspect.crashes.len() == MAX_CRASHES;
            }
        }
        quarantined
    }

    /// Clears a request that received a response. Returns whether it was a suspect.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        !self.entries.is_empty() && self.entries.shift_remove(&fingerprint).is_some()
    }

    /// Number of crashes counted against a request, at most [`MAX_CRASHES`].
    pub fn crashes(&self, now: Time, fingerprint: Fingerprint) -> usize {
        if self.entries.is_empty() {
            return 0;
        }
        let suspect = self.entries.get(&fingerprint);
        let valid = suspect.filter(|suspect| now.since(suspect.last_crash_at) < SUSPICION_TTL);
        valid.map_or(0, |suspect| suspect.crashes.len())
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Time) {
        self.entries.retain(|_, suspect| now.since(suspect.last_crash_at) < SUSPICION_TTL);
    }
}
