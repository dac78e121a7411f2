//! A socket wrapper that avoids reads without data.

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

/// Maximum bytes per read. hyper doubles the read buffer of a connection whenever a read fills it, up
/// to 417,792 bytes, and keeps it; reads below 16,384 bytes keep it at 16,384. A longer head still
/// grows the buffer, but only while it is being read.
pub const MAX_READ_BYTES: usize = 16_383;

/// A socket that skips reads until it is readable again after it was drained.
///
/// hyper reads on every wake-up of its task, including those caused by the write direction or by
/// another connection. Each read without data costs a system call.
#[derive(Debug)]
pub struct ReadinessStream {
    stream: Async<TcpStream>,
    drained: bool,
    // Counts the bytes written.
    written: Option<Arc<AtomicU64>>,
}

impl ReadinessStream {
    pub fn new(stream: Async<TcpStream>) -> ReadinessStream {
        ReadinessStream { stream, drained: false, written: None }
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

impl AsyncRead for ReadinessStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
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
