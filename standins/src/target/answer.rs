//! Body of an answer, made while it is sent. The run ends with its last byte.

use super::run_log::Run;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use sycamore_tools::load::pattern::Pattern;

/// Answers above this are streamed without a length; one chunk of them.
const CHUNK_BYTES: usize = 65_536;

/// The rest of an answer.
#[derive(Debug)]
pub struct Answer {
    pattern: Pattern,
    left: usize,
    streamed: bool,
    run: Option<Run>,
}

impl Answer {
    /// The whole answer to the request with this id.
    pub fn new(id: &[u8], len: usize, run: Run) -> Answer {
        let mut run = Some(run);
        if len == 0 {
            run.take().into_iter().for_each(Run::finish);
        }
        Answer { pattern: Pattern::new(id), left: len, streamed: len > CHUNK_BYTES, run }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            self.run.take().into_iter().for_each(Run::finish);
            return Poll::Ready(None);
        }
        let mut buf = BytesMut::zeroed(self.left.min(CHUNK_BYTES));
        self.pattern.fill(&mut buf);
        self.left -= buf.len();
        if self.left == 0 && !self.streamed {
            // hyper doesn't poll a body again whose length is known and reached.
            self.run.take().into_iter().for_each(Run::finish);
        }
        Poll::Ready(Some(Ok(Frame::data(buf.freeze()))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0 && self.run.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if self.streamed { SizeHint::default() } else { SizeHint::with_exact(self.left as u64) }
    }
}
