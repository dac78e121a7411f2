//! Requests that run at most once: what this gatekeeper knows of each key.

use super::{CallKey, KEY_LIFETIME, MAX_CLOCK_SKEW, RequestKey};
use crate::Time;
use crate::hash::Hash;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Keys that are known at once. Beyond it the oldest are forgotten and count as unknown.
pub const MAX_RECORDS: usize = 32_768;

/// Bytes of kept answers. Beyond it the oldest answers are dropped; their keys stay known.
pub const MAX_KEPT_BYTES: usize = 4 * 1_048_576;

data! {
    /// An answer that is kept for a caller that asks again.
    pub struct KeptAnswer {
        /// HTTP status.
        pub status: u16,
        /// Header names and values.
        pub headers: Vec<(Bytes, Bytes)>,
        /// The whole body.
        pub body: Bytes,
    }

    /// What is known of a key.
    pub enum Seen {
        /// Nothing: it has not run here.
        New,
        /// A request with it waits or runs.
        InProgress,
        /// It ran, and this is the answer.
        Answered(Arc<KeptAnswer>),
        /// It ran or may have run; the answer is not held.
        Unknown,
        /// It was used for a different request.
        Reused,
    }
}

impl KeptAnswer {
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() + headers
    }
}

#[derive(Debug)]
enum State {
    Waiting(CallKey),
    Running(CallKey),
    Answered(Arc<KeptAnswer>),
    Unknown,
}

#[derive(Debug)]
struct Record {
    // None for a key that came from another home.
    digest: Option<Hash>,
    state: State,
}

/// What this gatekeeper knows of each key. Bounded.
#[derive(Debug)]
pub struct Once {
    // Ordered by the time of minting, which is the first part of a key.
    records: BTreeMap<RequestKey, Record>,
    kept: VecDeque<RequestKey>,
    kept_bytes: usize,
    max_records: usize,
    forgotten: Time,
}

impl Once {
    /// Knows nothing.
    pub fn new() -> Once {
        Once {
            records: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            max_records: MAX_RECORDS,
            forgotten: Time::ZERO,
        }
    }

    /// The same with another bound on the records.
    pub fn with_max_records(mut self, max_records: usize) -> Once {
        self.max_records = max_records;
        self
    }

    /// What is known of a key, for a request with this digest.
    pub fn look_up(&self, now: Time, key: RequestKey, digest: &Hash) -> Seen {
        let Some(record) = self.records.get(&key) else {
            let forgotten = key.created_at() <= self.forgotten.max(oldest(now));
            return if forgotten { Seen::Unknown } else { Seen::New };
        };
        if record.digest.is_some_and(|known| known != *digest) {
            return Seen::Reused;
        }
        match &record.state {
            State::Waiting(_) | State::Running(_) => Seen::InProgress,
            State::Answered(answer) => Seen::Answered(answer.clone()),
            State::Unknown => Seen::Unknown,
        }
    }

    /// Notes that a request waits for a slot. The key must be new.
    pub fn wait(&mut self, now: Time, key: RequestKey, digest: Hash, call: CallKey) {
        self.make_room(now);
        let state = State::Waiting(call);
        self.records.insert(key, Record { digest: Some(digest), state });
    }

    /// Notes that a request is about to reach the target.
    pub fn run(&mut self, key: RequestKey, call: CallKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = State::Running(call);
        }
    }

    /// Forgets a request that certainly did not reach the target.
    pub fn not_run(&mut self, key: RequestKey, call: CallKey) {
        let state = self.records.get(&key).map(|record| &record.state);
        if let Some(State::Waiting(own) | State::Running(own)) = state {
            if *own == call {
                self.records.remove(&key);
            }
        }
    }

    /// Notes how a request ended: with an answer to keep, or none.
    pub fn end(&mut self, key: RequestKey, answer: Option<Arc<KeptAnswer>>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        match answer {
            Some(answer) => {
                self.kept_bytes += answer.size();
                self.kept.push_back(key);
                record.state = State::Answered(answer);
            }
            None => record.state = State::Unknown,
        }
        while self.kept_bytes > MAX_KEPT_BYTES {
            self.drop_oldest_answer();
        }
    }

    /// Takes over keys that ran or may have run at another home.
    pub fn import(&mut self, now: Time, keys: &[RequestKey]) {
        for key in keys {
            self.make_room(now);
            let unknown = || Record { digest: None, state: State::Unknown };
            self.records.entry(*key).or_insert_with(unknown);
        }
    }

    /// Keys that ran or may have run and fulfil `wanted`.
    pub fn ran(&self, wanted: impl Fn(RequestKey) -> bool) -> Vec<RequestKey> {
        let ran =
            self.records.iter().filter(|(_, record)| !matches!(record.state, State::Waiting(_)));
        ran.map(|(key, _)| *key).filter(|key| wanted(*key)).collect()
    }

    /// Keys minted up to this time may have run although they aren't known here.
    pub fn forgotten(&self) -> Time {
        self.forgotten
    }

    /// How many keys are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records of keys too old to be accepted. If the table is still full, `forgotten` rises
    /// to the newest dropped key, and every key up to it counts as unknown.
    fn make_room(&mut self, now: Time) {
        while self.records.first_key_value().is_some_and(|(key, _)| key.created_at() < oldest(now))
        {
            self.drop_oldest_record();
        }
        while self.records.len() >= self.max_records {
            let Some(key) = self.drop_oldest_record() else {
                return;
            };
            self.forgotten = self.forgotten.max(key.created_at());
        }
    }

    fn drop_oldest_record(&mut self) -> Option<RequestKey> {
        let (key, record) = self.records.pop_first()?;
        if let State::Answered(answer) = record.state {
            self.kept_bytes -= answer.size();
        }
        while self.kept.front().is_some_and(|kept| !self.records.contains_key(kept)) {
            self.kept.pop_front();
        }
        Some(key)
    }

    fn drop_oldest_answer(&mut self) {
        let Some(key) = self.kept.pop_front() else {
            self.kept_bytes = 0;
            return;
        };
        if let Some(record) = self.records.get_mut(&key) {
            if let State::Answered(answer) = &record.state {
                self.kept_bytes -= answer.size();
                record.state = State::Unknown;
            }
        }
    }
}

impl Default for Once {
    fn default() -> Once {
        Once::new()
    }
}

/// Keys minted before this time are no longer taken.
fn oldest(now: Time) -> Time {
    now - KEY_LIFETIME - MAX_CLOCK_SKEW
}
