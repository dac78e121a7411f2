//! Response body that is generated while it is sent. The run completes with the last byte.

use super::run_log::Run;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use sycamore_tools::load::pattern::Pattern;

/// Chunk size. Larger bodies use chunked transfer encoding instead of a content length.
const CHUNK_BYTES: usize = 65_536;

/// The unsent part of a response body.
#[derive(Debug)]
pub struct ResponseBody {
    pattern: Pattern,
    remaining: usize,
    chunked: bool,
    run: Option<Run>,
}

impl ResponseBody {
    /// Creates the body of `len` bytes for the request with this ID.
    pub fn new(id: &[u8], len: usize, run: Run) -> ResponseBody {
        let mut run = Some(run);
        if len == 0 {
            run.take().into_iter().for_each(Run::finish);
        }
        ResponseBody { pattern: Pattern::new(id), remaining: len, chunked: len > CHUNK_BYTES, run }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining == 0 {
            self.run.take().into_iter().for_each(Run::finish);
            return Poll::Ready(None);
        }
        let mut buf = BytesMut::zeroed(self.remaining.min(CHUNK_BYTES));
        self.pattern.fill(&mut buf);
        self.remaining -= buf.len();
        if self.remaining == 0 && !self.chunked {
            // hyper doesn't poll a body of known length again after its last byte.
            self.run.take().into_iter().for_each(Run::finish);
        }
        Poll::Ready(Some(Ok(Frame::data(buf.freeze()))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0 && self.run.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if self.chunked { SizeHint::default() } else { SizeHint::with_exact(self.remaining as u64) }
    }
}
