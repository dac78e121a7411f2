//! Content of test bodies: a stream that depends on the request's id alone, so that a caller can
//! tell a whole answer to its own request from any other.

use blake3::OutputReader;

/// Longest run of bytes that is generated at once.
const BLOCK_BYTES: usize = 4_096;

/// The body that belongs to one request id, from its first byte on.
#[derive(Clone, Debug)]
pub struct Pattern {
    reader: OutputReader,
}

impl Pattern {
    /// The body for `request_id`.
    pub fn new(request_id: &[u8]) -> Pattern {
        let mut hasher = blake3::Hasher::new();
        hasher.update(request_id);
        Pattern { reader: hasher.finalize_xof() }
    }

    /// Writes the next bytes of the body.
    pub fn fill(&mut self, buf: &mut [u8]) {
        self.reader.fill(buf);
    }

    /// Whether `buf` holds the next bytes of the body.
    pub fn matches(&mut self, buf: &[u8]) -> bool {
        let mut expected = [0; BLOCK_BYTES];
        buf.chunks(BLOCK_BYTES).all(|found| {
            let expected = &mut expected[..found.len()];
            self.reader.fill(expected);
            found == expected
        })
    }
}
