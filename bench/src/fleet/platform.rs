//! In-memory platform: an indexed key-value store with watches, a rate limit, outages and stale
//! reads. The contract is described in docs/INTERFACES.md.

use bytes::Bytes;
use indexmap::IndexMap;
use sycamore_core::{Name, Time};

/// Rate limit over all callers, in calls per second.
pub const CALLS_PER_S: u64 = 2_000;

/// A read or watch of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Get<C> {
    /// Identifies the caller; returned with the answer.
    pub caller: C,
    pub key: Name,
    /// Answer only once the index of the key exceeds this value; `None` answers immediately.
    pub min_index_exclusive: Option<u64>,
    /// Time at which a watch ends even without a change.
    pub until: Time,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Value and the index of its last change.
    Value(Bytes, u64),
    /// The key does not exist.
    Missing,
    /// The call exceeds the rate limit.
    OverLimit,
    /// The connection was refused.
    Refused,
}

/// How the platform responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Serves the current state.
    Up,
    /// Does not answer.
    Down,
    /// Refuses connections.
    Refusing,
    /// Serves the state as of this index, like a stale replica or a restored backup.
    AsOf(u64),
}

/// Call counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub total: u64,
    /// Calls answered with [`Answer::OverLimit`].
    pub over_limit: u64,
    /// Maximum over all seconds of the calls in that second plus the pending watches.
    pub peak: u64,
}

/// Number of values retained per key for stale reads.
const MAX_VALUES_PER_KEY: usize = 32;

/// The platform. `C` identifies a caller.
pub struct Platform<C> {
    values: IndexMap<Name, Vec<(u64, Bytes)>>,
    index: u64,
    health: Health,
    watches: Vec<Get<C>>,
    calls: CallCounts,
    second: u64,
    this_second: u64,
}

impl<C: Clone> Platform<C> {
    pub fn new() -> Platform<C> {
        Platform {
            values: IndexMap::new(),
            index: 0,
            health: Health::Up,
            watches: Vec::new(),
            calls: CallCounts::default(),
            second: 0,
            this_second: 0,
        }
    }

    /// Index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    pub fn calls(&self) -> CallCounts {
        self.calls
    }

    /// Returns the peak and resets it.
    pub fn take_peak(&mut self) -> u64 {
        std::mem::take(&mut self.calls.peak)
    }

    /// Sets how the platform responds. An outage drops all pending watches.
    pub fn set_health(&mut self, health: Health) {
        self.health = health;
        if matches!(health, Health::Down | Health::Refusing) {
            self.watches.clear();
        }
    }

    /// Drops the watches of callers whose connections have closed.
    pub fn drop_watches(&mut self, closed: impl Fn(&C) -> bool) {
        self.watches.retain(|watch| !closed(&watch.caller));
    }

    pub fn health(&self) -> Health {
        self.health
    }

    /// Writes a value.
    pub fn put(&mut self, key: Name, value: Bytes) {
        self.index += 1;
        let versions = self.values.entry(key).or_default();
        if versions.len() == MAX_VALUES_PER_KEY {
            versions.remove(0);
        }
        versions.push((self.index, value));
    }

    /// Handles a call. `None` means that a watch is pending or that the call was lost in an outage.
    pub fn get(&mut self, now: Time, get: Get<C>) -> Option<Answer> {
        match self.health {
            Health::Down => return None,
            Health::Refusing => return Some(Answer::Refused),
            Health::Up | Health::AsOf(_) => self.count(now),
        }
        if self.this_second > CALLS_PER_S {
            self.calls.over_limit += 1;
            return Some(Answer::OverLimit);
        }
        let answer = self.read(&get.key);
        match (&answer, get.min_index_exclusive) {
            (Answer::Value(_, index), Some(min_index_exclusive))
                if *index <= min_index_exclusive && now < get.until =>
            {
                self.watches.push(get);
                None
            }
            _ => Some(answer),
        }
    }

    /// Removes and answers the watches whose key has changed or whose time is over.
    pub fn take_due_watches(&mut self, now: Time) -> Vec<(C, Answer)> {
        let mut due = Vec::new();
        let mut pending = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let answer = self.read(&watch.key);
            let min_index_exclusive = watch.min_index_exclusive.unwrap_or(0);
            let changed =
                matches!(&answer, Answer::Value(_, index) if *index > min_index_exclusive);
            if changed || now >= watch.until {
                due.push((watch.caller, answer));
            } else {
                pending.push(watch);
            }
        }
        self.watches = pending;
        due
    }

    fn read(&self, key: &Name) -> Answer {
        let as_of = match self.health {
            Health::AsOf(index) => index,
            Health::Up | Health::Down | Health::Refusing => u64::MAX,
        };
        let versions = self.values.get(key).map_or(&[][..], Vec::as_slice);
        match versions.iter().rev().find(|(index, _)| *index <= as_of) {
            Some((index, value)) => Answer::Value(value.clone(), *index),
            None => Answer::Missing,
        }
    }

    fn count(&mut self, now: Time) {
        let second = now.0 / 1_000_000;
        if second != self.second {
            self.second = second;
            self.this_second = 0;
        }
        self.this_second += 1;
        self.calls.total += 1;
        let with_waiting = self.this_second + self.watches.len() as u64;
        self.calls.peak = self.calls.peak.max(with_waiting);
    }
}

impl<C: Clone> Default for Platform<C> {
    fn default() -> Platform<C> {
        Platform::new()
    }
}
