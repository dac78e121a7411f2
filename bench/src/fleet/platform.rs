//! The platform in memory: keys with an index, watches, the limit on calls, outages and stale
//! answers. docs/INTERFACES.md states the contract.

use bytes::Bytes;
use indexmap::IndexMap;
use sycamore_core::{Name, Time};

/// Calls a second that the platform answers, over all readers.
pub const CALLS_PER_S: u64 = 2_000;

/// A read, with the place of the answer in the caller's hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Get<C> {
    /// Who reads; given back with the answer.
    pub caller: C,
    /// The key.
    pub key: Name,
    /// Answer only once the key's index is above this; `None` reads at once.
    pub min_index_exclusive: Option<u64>,
    /// Until when a watch waits.
    pub until: Time,
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value and the index at which it last changed.
    Value(Bytes, u64),
    /// There is no such key.
    Missing,
    /// Too many calls in this second.
    OverLimit,
    /// Nothing listens on the platform's port.
    Refused,
}

/// How the platform behaves now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers with its newest state.
    Up,
    /// It does not answer.
    Down,
    /// Nothing listens on its port.
    Refusing,
    /// It answers with the state as of this index: a stale replica, or a restored backup.
    AsOf(u64),
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that reached the platform.
    pub total: u64,
    /// Calls answered with [`Answer::OverLimit`].
    pub over_limit: u64,
    /// Most calls begun in one second plus watches that were waiting at its start.
    pub peak: u64,
}

/// Values kept of one key, for stale answers.
const MAX_VALUES_PER_KEY: usize = 32;

/// The platform's state. `C` names a caller.
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
    /// An empty platform.
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

    /// The index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// What was counted so far.
    pub fn calls(&self) -> CallCounts {
        self.calls
    }

    /// Starts the count of the peak anew and returns what it was.
    pub fn take_peak(&mut self) -> u64 {
        std::mem::take(&mut self.calls.peak)
    }

    /// How it behaves from now on. Watches that wait are lost in an outage.
    pub fn set_health(&mut self, health: Health) {
        self.health = health;
        if matches!(health, Health::Down | Health::Refusing) {
            self.watches.clear();
        }
    }

    /// Ends the watches of some callers, whose connections have closed.
    pub fn drop_watches(&mut self, closed: impl Fn(&C) -> bool) {
        self.watches.retain(|watch| !closed(&watch.caller));
    }

    /// How it behaves.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Writes a value, as an operator or the platform itself does.
    pub fn put(&mut self, key: Name, value: Bytes) {
        self.index += 1;
        let versions = self.values.entry(key).or_default();
        if versions.len() == MAX_VALUES_PER_KEY {
            versions.remove(0);
        }
        versions.push((self.index, value));
    }

    /// Takes a call. `None` means that it waits, or is lost in an outage.
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

    /// Answers the watches whose key has changed or whose wait is over.
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
