//! Deterministic response bodies derived from the request ID, so that a caller can detect
//! incomplete responses and responses to other requests.

use blake3::OutputReader;

/// Size of the buffer for comparisons.
const BLOCK_BYTES: usize = 4_096;

/// Byte stream of the body for a request ID.
#[derive(Clone, Debug)]
pub struct Pattern {
    reader: OutputReader,
}

impl Pattern {
    /// Creates the stream for `request_id`, starting at its first byte.
    pub fn new(request_id: &[u8]) -> Pattern {
        let mut hasher = blake3::Hasher::new();
        hasher.update(request_id);
        Pattern { reader: hasher.finalize_xof() }
    }

    /// Fills `buf` with the next bytes of the stream.
    pub fn fill(&mut self, buf: &mut [u8]) {
        self.reader.fill(buf);
    }

    /// Returns whether `buf` equals the next bytes of the stream, and advances the stream.
    pub fn matches(&mut self, buf: &[u8]) -> bool {
        let mut expected = [0; BLOCK_BYTES];
        buf.chunks(BLOCK_BYTES).all(|found| {
            let expected = &mut expected[..found.len()];
            self.reader.fill(expected);
            found == expected
        })
    }
}
