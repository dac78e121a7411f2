//! Idempotency table: the state of each `Idempotency-Key` that this gatekeeper has handled.

use super::{CallKey, KEY_LIFETIME, MAX_CLOCK_SKEW, RequestKey};
use crate::Time;
use crate::hash::Hash;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of records. When it is exceeded, the oldest are evicted and their keys have an
/// unknown outcome.
pub const MAX_RECORDS: usize = 32_768;

/// Maximum size of all cached responses. When it is exceeded, the oldest responses are dropped;
/// their keys stay in the table.
pub const MAX_CACHED_BYTES: usize = 4 * 1_048_576;

data! {
    /// A response cached for callers that repeat the request.
    pub struct CachedResponse {
        pub status: u16,
        pub headers: Vec<(Bytes, Bytes)>,
        pub body: Bytes,
    }

    /// State of a key, as a request with that key sees it.
    pub enum KeyStatus {
        /// Not in the table: no request with this key has run here.
        New,
        /// A request with this key is queued or running.
        InProgress,
        /// The request ran, and this is its response.
        Answered(Arc<CachedResponse>),
        /// The request ran or may have run, but its response is not cached.
        Unknown,
        /// The key was used for a different request.
        Reused,
    }
}

impl CachedResponse {
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() + headers
    }
}

#[derive(Debug)]
enum RecordState {
    Waiting(CallKey),
    Running(CallKey),
    Answered(Arc<CachedResponse>),
    Unknown,
}

#[derive(Debug)]
struct Record {
    // `None` for a key imported from another home.
    digest: Option<Hash>,
    state: RecordState,
}

/// Bounded table of idempotency keys.
#[derive(Debug)]
pub struct IdempotencyTable {
    // Ordered by creation time, which is the first part of a key.
    records: BTreeMap<RequestKey, Record>,
    cached_keys: VecDeque<RequestKey>,
    cached_bytes: usize,
    max_records: usize,
    evicted_until: Time,
}

impl IdempotencyTable {
    pub fn new() -> IdempotencyTable {
        IdempotencyTable {
            records: BTreeMap::new(),
            cached_keys: VecDeque::new(),
            cached_bytes: 0,
            max_records: MAX_RECORDS,
            evicted_until: Time::ZERO,
        }
    }

    /// Replaces [`MAX_RECORDS`].
    pub fn with_max_records(mut self, max_records: usize) -> IdempotencyTable {
        self.max_records = max_records;
        self
    }

    /// Looks up a key for a request with this digest.
    pub fn look_up(&self, now: Time, key: RequestKey, digest: &Hash) -> KeyStatus {
        let Some(record) = self.records.get(&key) else {
            let evicted = key.created_at() <= self.evicted_until.max(oldest_accepted(now));
            return if evicted { KeyStatus::Unknown } else { KeyStatus::New };
        };
        if record.digest.is_some_and(|known| known != *digest) {
            return KeyStatus::Reused;
        }
        match &record.state {
            RecordState::Waiting(_) | RecordState::Running(_) => KeyStatus::InProgress,
            RecordState::Answered(response) => KeyStatus::Answered(response.clone()),
            RecordState::Unknown => KeyStatus::Unknown,
        }
    }

    /// Records a request that waits for a slot. The key must be new.
    pub fn insert_waiting(&mut self, now: Time, key: RequestKey, digest: Hash, call: CallKey) {
        self.evict(now);
        let state = RecordState::Waiting(call);
        self.records.insert(key, Record { digest: Some(digest), state });
    }

    /// Records that a request is about to be sent to the target.
    pub fn mark_running(&mut self, key: RequestKey, call: CallKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = RecordState::Running(call);
        }
    }

    /// Removes a request that did not reach the target.
    pub fn remove_not_run(&mut self, key: RequestKey, call: CallKey) {
        let state = self.records.get(&key).map(|record| &record.state);
        if let Some(RecordState::Waiting(own) | RecordState::Running(own)) = state {
            if *own == call {
                self.records.remove(&key);
            }
        }
    }

    /// Records that a request has ended, with a response to cache or with an unknown outcome.
    pub fn finish(&mut self, key: RequestKey, response: Option<Arc<CachedResponse>>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        match response {
            Some(response) => {
                self.cached_bytes += response.size();
                self.cached_keys.push_back(key);
                record.state = RecordState::Answered(response);
            }
            None => record.state = RecordState::Unknown,
        }
        while self.cached_bytes > MAX_CACHED_BYTES {
            self.evict_oldest_response();
        }
    }

    /// Imports keys that ran or may have run at another home. A request with such a key that is
    /// still queued here must not run any more.
    pub fn import(&mut self, now: Time, keys: &[RequestKey]) {
        for key in keys {
            self.evict(now);
            let unknown = || Record { digest: None, state: RecordState::Unknown };
            let record = self.records.entry(*key).or_insert_with(unknown);
            if matches!(record.state, RecordState::Waiting(_)) {
                record.state = RecordState::Unknown;
            }
        }
    }

    /// Whether this queued request may still run: its key has not run at another home meanwhile.
    pub fn may_run_queued(&self, key: RequestKey, call: CallKey) -> bool {
        let state = self.records.get(&key).map(|record| &record.state);
        matches!(state, Some(RecordState::Waiting(own)) if *own == call)
    }

    /// Returns the keys that ran or may have run and that match `filter`.
    pub fn keys_that_ran(&self, filter: impl Fn(RequestKey) -> bool) -> Vec<RequestKey> {
        let ran = self
            .records
            .iter()
            .filter(|(_, record)| !matches!(record.state, RecordState::Waiting(_)));
        ran.map(|(key, _)| *key).filter(|key| filter(*key)).collect()
    }

    /// Keys created up to this time may have run even if they are not in the table.
    pub fn evicted_until(&self) -> Time {
        self.evicted_until
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Evicts records of expired keys. If the table is still full, evicts the oldest keys and
    /// raises `evicted_until` to the newest of them; every key up to that time counts as unknown.
    fn evict(&mut self, now: Time) {
        while self
            .records
            .first_key_value()
            .is_some_and(|(key, _)| key.created_at() < oldest_accepted(now))
        {
            self.evict_oldest_record();
        }
        while self.records.len() >= self.max_records {
            let Some(key) = self.evict_oldest_record() else {
                return;
            };
            self.evicted_until = self.evicted_until.max(key.created_at());
        }
    }

    fn evict_oldest_record(&mut self) -> Option<RequestKey> {
        let (key, record) = self.records.pop_first()?;
        if let RecordState::Answered(response) = record.state {
            self.cached_bytes -= response.size();
        }
        while self.cached_keys.front().is_some_and(|key| !self.records.contains_key(key)) {
            self.cached_keys.pop_front();
        }
        Some(key)
    }

    fn evict_oldest_response(&mut self) {
        let Some(key) = self.cached_keys.pop_front() else {
            self.cached_bytes = 0;
            return;
        };
        if let Some(record) = self.records.get_mut(&key) {
            if let RecordState::Answered(response) = &record.state {
                self.cached_bytes -= response.size();
                record.state = RecordState::Unknown;
            }
        }
    }
}

impl Default for IdempotencyTable {
    fn default() -> IdempotencyTable {
        IdempotencyTable::new()
    }
}

/// Keys created before this time are rejected.
fn oldest_accepted(now: Time) -> Time {
    now - KEY_LIFETIME - MAX_CLOCK_SKEW
}
