//! The requests that a connection has carried.
//!
//! All attempts of a request have its id, and a target may respond to one of them twice. A response
//! therefore identifies its attempt only on a connection that has carried no other one.

use hyper::header::HeaderValue;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Requests after which a connection is closed, which bounds the record.
const MAX_REQUESTS: usize = 1_000;

/// Hashes of request ids.
#[derive(Debug, Default)]
pub struct CarriedRequests {
    hashes: Vec<u64>,
}

impl CarriedRequests {
    pub fn record(&mut self, id: &HeaderValue) {
        self.hashes.push(hash(id));
    }

    /// Whether a request with this id may have been carried.
    pub fn may_contain(&self, id: &HeaderValue) -> bool {
        self.hashes.contains(&hash(id))
    }

    /// Whether the connection must carry no further request.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REQUESTS
    }
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}
