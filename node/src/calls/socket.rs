//! The socket of a connection that someone opened to this node.
//!
//! hyper answers a malformed head by itself and drops a repeated length silently. This layer
//! gives the first a numbered code and makes the second visible.

use super::headers;
use super::quiet::Quiet;
use super::watch::{Phase, Watch};
use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use sycamore_core::Code;

/// Longest answer that hyper makes by itself.
const MAX_OWN_ANSWER_BYTES: usize = 256;

/// A watched socket.
#[derive(Debug)]
pub struct Socket {
    stream: Quiet,
    watch: Arc<Watch>,
    scan: HeadScan,
    // A changed answer on its way out, and how many bytes hyper believes to have written.
    changed: Option<(Vec<u8>, usize, usize)>,
}

impl Socket {
    /// Watches a socket.
    pub fn new(stream: Async<TcpStream>, watch: Arc<Watch>) -> Socket {
        Socket { stream: Quiet::new(stream), watch, scan: HeadScan::default(), changed: None }
    }

    fn poll_changed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while let Some((buf, at, believed)) = &mut self.changed {
            if *at == buf.len() {
                let believed = *believed;
                self.changed = None;
                return Poll::Ready(Ok(believed));
            }
            *at += ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[*at..]))?;
        }
        Poll::Ready(Ok(0))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if count > 0 {
            let phase = self.watch.phase();
            if phase == Phase::Idle {
                self.scan = HeadScan::default();
            }
            if matches!(phase, Phase::Idle | Phase::Head) {
                self.scan.take(&buf[..count]);
                let ambiguous = self.scan.ambiguous();
                self.watch.set_ambiguous(ambiguous);
            }
            self.watch.bytes_moved(true);
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.changed.is_some() {
            return self.poll_changed(cx);
        }
        if matches!(self.watch.phase(), Phase::Idle | Phase::Head) {
            if let Some(changed) = with_code(buf) {
                self.changed = Some((changed, 0, buf.len()));
                return self.poll_changed(cx);
            }
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.watch.bytes_moved(false);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.changed.is_some() || bufs.len() < 2 {
            let buf = bufs.first().map_or(&[][..], |buf| buf);
            return self.poll_write(cx, buf);
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.watch.bytes_moved(false);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.watch.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// hyper's own answer to a malformed head with the code that operators look up.
fn with_code(buf: &[u8]) -> Option<Vec<u8>> {
    let code = match buf.get(..12)? {
        b"HTTP/1.1 400" => Code::RequestInvalid,
        b"HTTP/1.1 414" | b"HTTP/1.1 431" => Code::RequestTooLarge,
        _ => return None,
    };
    let text = std::str::from_utf8(buf).ok()?;
    let own = text.len() <= MAX_OWN_ANSWER_BYTES
        && text.ends_with("\r\n\r\n")
        && !text.contains(headers::OUTCOME.as_str());
    if !own {
        return None;
    }
    let (status, rest) = text.split_once("\r\n")?;
    let number = code.number();
    let (outcome, name) = (headers::OUTCOME, headers::CODE);
    let changed = format!("{status}\r\n{outcome}: not-run\r\n{name}: {number}\r\n{rest}");
    Some(changed.into_bytes())
}

/// Looks through the head of a request for headers that state the length of its body.
///
/// Guards against request smuggling: a head with two lengths, or a length and a transfer coding,
/// is read in two ways by two programs, one of which takes part of the body for a request.
#[derive(Debug, Default)]
struct HeadScan {
    line: [u8; 20],
    filled: usize,
    lengths: u32,
    codings: u32,
    over: bool,
}

impl HeadScan {
    fn take(&mut self, buf: &[u8]) {
        for byte in buf {
            if self.over {
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ if self.filled < self.line.len() => {
                    self.line[self.filled] = byte.to_ascii_lowercase();
                    self.filled += 1;
                }
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        let line = &self.line[..self.filled];
        self.over = line.is_empty();
        self.lengths += u32::from(line.starts_with(b"content-length:"));
        self.codings += u32::from(line.starts_with(b"transfer-encoding:"));
        self.filled = 0;
    }

    fn ambiguous(&self) -> bool {
        self.lengths + self.codings > 1
    }
}
