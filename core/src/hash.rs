//! Content hashes and rendezvous scores.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A BLAKE3 hash, serialized as 64 lowercase hex digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hash([u8; 32]);

impl Hash {
    pub fn of(buf: &[u8]) -> Hash {
        Hash(*blake3::hash(buf).as_bytes())
    }

    /// Wraps an already computed hash.
    pub fn new(raw: [u8; 32]) -> Hash {
        Hash(raw)
    }

    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.12}", blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl Serialize for Hash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Hash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Hash, D::Error> {
        let text = String::deserialize(deserializer)?;
        let hash = blake3::Hash::from_hex(text)
            .map_err(|_| de::Error::custom("a digest must be 64 lowercase hex digits"))?;
        Ok(Hash(*hash.as_bytes()))
    }
}

/// Rendezvous (highest random weight) score of `candidate` for `subject`.
///
/// Each subject is assigned to its highest-scoring candidate, so adding or removing a candidate
/// only reassigns the subjects for which that candidate scores highest.
pub fn rendezvous_score(subject: &[u8], candidate: &[u8]) -> u64 {
    xxh3_64_with_seed(candidate, xxh3_64_with_seed(subject, 0))
}
