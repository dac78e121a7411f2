//! Parts in which a home hands over the keys that it ran.

use crate::Time;
use crate::call::RequestKey;
use crate::call::note::ReleaseResponse;
use crate::hash::rendezvous_score;
use indexmap::IndexSet;

/// Mean number of keys in a part of a response.
const KEYS_PER_PART: usize = 256;

/// Parts of the responses to one request. A request that is delivered twice has two responses, whose
/// parts may be mixed: a key is in the same part of both.
#[derive(Debug, Default)]
pub(super) struct ReceivedParts {
    // Number of parts of the responses; parts of responses with another number are discarded.
    count: u32,
    received: IndexSet<u32>,
    // Latest fence of any part.
    pub(super) fence: Time,
}

impl ReceivedParts {
    /// Adds a part. Returns whether all parts have been received.
    pub(super) fn add(&mut self, response: &ReleaseResponse) -> bool {
        if self.count != response.parts {
            *self = ReceivedParts { count: response.parts, ..ReceivedParts::default() };
        }
        self.received.insert(response.part);
        self.fence = self.fence.max(response.fence);
        self.received.len() as u32 >= self.count
    }

    pub(super) fn clear(&mut self) {
        *self = ReceivedParts::default();
    }
}

/// Splits keys into parts. The part of a key follows from its hash and the number of parts.
pub(super) fn split_into_parts(keys: &[RequestKey]) -> Vec<Vec<RequestKey>> {
    let mut parts = vec![Vec::new(); keys.len().div_ceil(KEYS_PER_PART).max(1)];
    let count = parts.len() as u64;
    for key in keys {
        let hash = rendezvous_score(&key.to_bytes(), b"");
        parts[(hash % count) as usize].push(*key);
    }
    parts
}
