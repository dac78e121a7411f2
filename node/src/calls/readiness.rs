//! A socket wrapper that avoids reads without data, and bounds what is read without a pause and for one
//! response head.

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

/// Maximum bytes per read. hyper doubles the read buffer of a connection whenever a read fills it, up
/// to 417,792 bytes, and keeps it; reads below 16,384 bytes keep it at 16,384. A longer head still
/// grows the buffer, but only while it is being read.
pub const MAX_READ_BYTES: usize = 16_383;

/// Reads after which the task of a connection yields to the other tasks of its thread, although more
/// data may be there. A peer may send faster than hyper discards what it sends.
const MAX_CONSECUTIVE_READS: u32 = 4;

/// Maximum size of a response head together with the interim heads before it. The largest head that
/// hyper accepts; hyper itself sets no limit on the number of interim heads.
const MAX_RESPONSE_HEAD_BYTES: usize = 417_792;

/// Counts the bytes read for the head of an awaited response.
#[derive(Debug)]
pub struct HeadLimit {
    remaining: AtomicUsize,
}

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit::new()
    }
}

impl HeadLimit {
    /// A limit that is not in force until [`HeadLimit::begin`].
    pub fn new() -> HeadLimit {
        HeadLimit { remaining: AtomicUsize::new(usize::MAX) }
    }

    /// A response is awaited.
    pub fn begin(&self) {
        self.remaining.store(MAX_RESPONSE_HEAD_BYTES, Ordering::Relaxed);
    }

    /// The head has been received.
    pub fn end(&self) {
        self.remaining.store(usize::MAX, Ordering::Relaxed);
    }

    /// Whether any of the awaited response has been received.
    pub fn has_begun(&self) -> bool {
        self.remaining.load(Ordering::Relaxed) != MAX_RESPONSE_HEAD_BYTES
    }

    /// Records bytes read. Returns false if they exceed the limit.
    fn record(&self, count: usize) -> bool {
        let subtract = |remaining: usize| match remaining {
            usize::MAX => Some(usize::MAX),
            remaining => remaining.checked_sub(count),
        };
        self.remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }
}

/// A socket that skips reads until it is readable again after it was drained.
///
/// hyper reads on every wake-up of its task, including those caused by the write direction or by
/// another connection. Each read without data costs a system call.
#[derive(Debug)]
pub struct ReadinessStream {
    stream: Async<TcpStream>,
    drained: bool,
    // Reads since this stream last returned `Pending`.
    consecutive_reads: u32,
    head_limit: Option<Arc<HeadLimit>>,
    // Counts the bytes written.
    written: Option<Arc<AtomicU64>>,
}

impl ReadinessStream {
    pub fn new(stream: Async<TcpStream>) -> ReadinessStream {
        ReadinessStream {
            stream,
            drained: false,
            consecutive_reads: 0,
            head_limit: None,
            written: None,
        }
    }

    /// Fails reads that exceed the limit of a response head.
    pub fn with_head_limit(self, head_limit: Arc<HeadLimit>) -> ReadinessStream {
        ReadinessStream { head_limit: Some(head_limit), ..self }
    }

    /// Adds the bytes written to `written`.
    pub fn with_counter(self, written: Option<Arc<AtomicU64>>) -> ReadinessStream {
        ReadinessStream { written, ..self }
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let (Some(written), Poll::Ready(Ok(count))) = (&self.written, &result) {
            written.fetch_add(*count as u64, Ordering::Relaxed);
        }
        result
    }

    pub fn into_inner(self) -> Async<TcpStream> {
        self.stream
    }
}

impl ReadinessStream {
    fn poll_available(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.drained {
            // Registers for the next readiness event if none is pending.
            ready!(self.stream.poll_readable(cx))?;
        }
        self.drained = true;
        let limit = buf.len().min(MAX_READ_BYTES);
        let buf = &mut buf[..limit];
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        // A short read drained the socket. Events are level-triggered, so data or EOF that arrives
        // in between is reported after the registration.
        self.drained = count > 0 && count < buf.len();
        Poll::Ready(Ok(count))
    }
}

impl AsyncRead for ReadinessStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let must_yield = self.consecutive_reads == MAX_CONSECUTIVE_READS;
        if must_yield {
            cx.waker().wake_by_ref();
        }
        let result = if must_yield { Poll::Pending } else { self.poll_available(cx, buf) };
        if result.is_pending() {
            self.consecutive_reads = 0;
        }
        let count = ready!(result)?;
        self.consecutive_reads += 1;
        match self.head_limit.as_ref().is_none_or(|limit| limit.record(count)) {
            true => Poll::Ready(Ok(count)),
            false => Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
        }
    }
}

impl AsyncWrite for ReadinessStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
