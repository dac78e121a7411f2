//! Requests that crash the targets that run them.
//!
//! What a target ran when it stopped is suspected. One crash proves little, since everything that
//! ran beside the guilty request is suspected too; so a request is held off only after a second
//! crash, and an answer to it clears it.

use super::Fingerprint;
use crate::Time;
use indexmap::IndexMap;
use std::time::Duration;

/// Crashes after which a request is held off.
pub const MAX_CRASHES: usize = 2;

/// How long a suspicion lasts after the last crash.
pub const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// Requests suspected at once. Beyond it the oldest suspicion is dropped.
pub const MAX_SUSPECTS: usize = 1_024;

#[derive(Debug)]
struct Suspect {
    crashes: Vec<u64>,
    last_crash_at: Time,
}

/// Requests that ran when targets stopped. Bounded, and each entry expires.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: IndexMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Suspects nothing.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Counts a crash against what ran. A crash heard of twice counts once. Returns whether a
    /// request is held off from now on that was not before.
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

    /// Clears a request that was answered. Returns whether it was suspected.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        !self.entries.is_empty() && self.entries.shift_remove(&fingerprint).is_some()
    }

    /// Crashes counted against a request; at most [`MAX_CRASHES`].
    pub fn crashes(&self, now: Time, fingerprint: Fingerprint) -> usize {
        if self.entries.is_empty() {
            return 0;
        }
        let suspect = self.entries.get(&fingerprint);
        let valid = suspect.filter(|suspect| now.since(suspect.last_crash_at) < SUSPICION_TTL);
        valid.map_or(0, |suspect| suspect.crashes.len())
    }

    /// How many requests are suspected.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Time) {
        self.entries.retain(|_, suspect| now.since(suspect.last_crash_at) < SUSPICION_TTL);
    }
}
