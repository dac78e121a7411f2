//! Request and response bodies that pass through a node.

use super::conn_state::{ConnectionState, Phase};
use super::pacer::Pacer;
use super::pool::Connection;
use super::readiness::MAX_READ_BYTES;
use super::response_end::ResponseEnd;
use super::{entry, gate};
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use sycamore_core::Code;

/// An outgoing body: of a request to a target, or of a response to a caller.
#[derive(Debug)]
pub struct Body {
    content: Content,
    guard: Guard,
}

#[derive(Debug)]
enum Content {
    Empty,
    Buffered(Bytes),
    Stream(Box<BodyStream>),
}

#[derive(Debug)]
struct BodyStream {
    incoming: Incoming,
    remaining: u64,
    idle_timeout: Duration,
    idle_timer: Option<Timer>,
    // Received, and not yet returned or passed to the pacer.
    read_ahead: VecDeque<Bytes>,
    // The connection on which the body arrives; absent for requests.
    response_end: Option<Arc<ResponseEnd>>,
    // The sender signalled the end of the body. Required for bodies of unknown length.
    end_received: bool,
    failed: bool,
    pacer: Option<Pacer>,
    // The connection to the reader; absent for requests.
    reader: Option<Arc<ConnectionState>>,
}

/// Maximum size of received data that is copied. The data otherwise keeps the whole read buffer of
/// its connection allocated, which is at least 8,192 bytes, for as long as it is held.
const MAX_COPIED_BYTES: usize = 4_096;

/// What to notify when a body completes or is dropped.
#[derive(Debug)]
pub enum Guard {
    None,
    /// The connection on which the body is sent.
    Connection(Arc<ConnectionState>),
    /// A call at the entry node.
    Entry(entry::ActiveResponse),
    /// A call at the gatekeeper.
    Gate(gate::ActiveResponse),
}

impl Body {
    pub fn empty() -> Body {
        Body { content: Content::Empty, guard: Guard::None }
    }

    /// A body that is buffered in memory.
    pub fn buffered(buf: Bytes) -> Body {
        let content = if buf.is_empty() { Content::Empty } else { Content::Buffered(buf) };
        Body { content, guard: Guard::None }
    }

    /// A body that is streamed. Fails if it exceeds `max_bytes` or if no data arrives for
    /// `idle_timeout`.
    pub fn stream(incoming: Incoming, max_bytes: u64, idle_timeout: Duration) -> Body {
        let stream = BodyStream {
            incoming,
            remaining: max_bytes,
            idle_timeout,
            idle_timer: None,
            read_ahead: VecDeque::new(),
            response_end: None,
            end_received: false,
            failed: false,
            pacer: None,
            reader: None,
        };
        Body { content: Content::Stream(Box::new(stream)), guard: Guard::None }
    }

    /// Fails the body if the rest of it follows its end.
    pub fn with_response_end(mut self, response_end: Arc<ResponseEnd>) -> Body {
        if let Content::Stream(stream) = &mut self.content {
            stream.response_end = Some(response_end);
        }
        self
    }

    /// Limits the rate at which the body is sent to the bandwidth of the VM's link.
    pub fn with_pacer(mut self, pacer: Pacer) -> Body {
        if let Content::Stream(stream) = &mut self.content {
            stream.pacer = Some(pacer);
        }
        self
    }

    /// Counts the bytes held for the peer of `reader`, and bounds those that a pacer reads ahead.
    pub fn with_reader(mut self, reader: Arc<ConnectionState>) -> Body {
        if let Content::Stream(stream) = &mut self.content {
            stream.reader = Some(reader);
        }
        self
    }

    /// Notifies `guard` when the body completes or is dropped.
    pub fn with_guard(mut self, guard: Guard) -> Body {
        self.guard = guard;
        self
    }

    /// Receives a body with a length of at most `max_bytes` to its end before any of it is sent.
    pub async fn read_ahead(&mut self, max_bytes: u64) -> io::Result<()> {
        let Content::Stream(stream) = &mut self.content else {
            return Ok(());
        };
        if stream.incoming.size_hint().exact().is_none_or(|bytes| bytes > max_bytes) {
            return Ok(());
        }
        while !stream.is_received() {
            let Some(frame) = future::poll_fn(|cx| stream.poll_incoming(cx)).await else {
                break;
            };
            stream.read_ahead.extend(frame?.into_data());
        }
        Ok(())
    }

    /// Whether the body is buffered and can be sent again.
    pub fn is_buffered(&self) -> bool {
        !matches!(self.content, Content::Stream(_))
    }

    fn is_complete(&self) -> bool {
        match &self.content {
            Content::Empty => true,
            // hyper takes a buffered body as a single frame.
            Content::Buffered(_) => false,
            Content::Stream(stream) => !stream.failed && stream.is_end_stream(),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.content {
            Content::Empty => Poll::Ready(None),
            Content::Buffered(buf) => {
                let buf = std::mem::take(buf);
                self.content = Content::Empty;
                Poll::Ready(Some(Ok(Frame::data(buf))))
            }
            Content::Stream(stream) => {
                let frame = stream.poll_frame(cx);
                if let (Some(unsent), Guard::Gate(response)) =
                    (stream.unsent_after_end(), &mut self.guard)
                {
                    response.mark_read(unsent);
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Empty => true,
            Content::Buffered(_) => false,
            Content::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Empty => SizeHint::with_exact(0),
            Content::Buffered(buf) => SizeHint::with_exact(buf.len() as u64),
            Content::Stream(stream) => stream.size_hint(),
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let complete = self.is_complete();
        match std::mem::replace(&mut self.guard, Guard::None) {
            Guard::None => {}
            Guard::Connection(conn) => conn.set_phase(Phase::Flush),
            Guard::Entry(response) => response.finish(complete),
            Guard::Gate(response) => response.finish(complete),
        }
    }
}

impl BodyStream {
    fn is_end_stream(&self) -> bool {
        self.is_received() && self.unsent_bytes() == 0
    }

    fn size_hint(&self) -> SizeHint {
        let incoming = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(incoming.lower() + self.unsent_bytes());
        if let Some(upper) = incoming.upper() {
            hint.set_upper(upper + self.unsent_bytes());
        }
        hint
    }

    /// Bytes received but not yet sent.
    fn unsent_bytes(&self) -> u64 {
        let read_ahead: usize = self.read_ahead.iter().map(Bytes::len).sum();
        self.pacer.as_ref().map_or(0, Pacer::buffered_bytes) + read_ahead as u64
    }

    /// Number of unsent bytes once the incoming body has been read to its end.
    fn unsent_after_end(&self) -> Option<u64> {
        let read = !self.failed && self.is_received();
        (read && self.unsent_bytes() > 0).then(|| self.unsent_bytes())
    }

    fn is_received(&self) -> bool {
        self.end_received || self.incoming.is_end_stream()
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let Some(pacer) = &mut self.pacer else {
            return match self.read_ahead.pop_front() {
                Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
                None => self.poll_incoming(cx),
            };
        };
        self.read_ahead.drain(..).for_each(|data| pacer.push(data));
        // Reads ahead of the link, so that the target's slot is freed early.
        while self.may_read_ahead() && !self.is_received() {
            match self.poll_incoming(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are dropped, as is the `te` header by which a caller requests them.
                    if let (Ok(data), Some(pacer)) = (frame.into_data(), &mut self.pacer) {
                        pacer.push(data);
                    }
                }
                Poll::Ready(None) => {}
                Poll::Ready(failed) => return Poll::Ready(failed),
                Poll::Pending => break,
            }
        }
        let read = self.is_received();
        match self.pacer.as_mut().filter(|pacer| pacer.buffered_bytes() > 0) {
            Some(pacer) => pacer.poll_chunk(cx).map(|chunk| Some(Ok(Frame::data(chunk)))),
            None if read => Poll::Ready(None),
            None => Poll::Pending,
        }
    }

    /// Whether more may be read: with nothing left to send, or within the limit of the connection.
    fn may_read_ahead(&self) -> bool {
        let has_room = |reader: &Arc<ConnectionState>| reader.held().has_room(MAX_READ_BYTES);
        self.unsent_bytes() == 0 || self.reader.as_ref().is_none_or(has_room)
    }

    /// Polls the incoming body. Fails in place of the last data if the rest of the body follows its end.
    /// An error makes hyper close the connection, so that the receiver cannot mistake a truncated body
    /// for a complete one.
    fn poll_incoming(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let ended = matches!(polled, Poll::Ready(None)) || self.incoming.is_end_stream();
        if ended && self.response_end.as_ref().is_some_and(|end| end.has_rest()) {
            return self.fail(io::ErrorKind::InvalidData);
        }
        match polled {
            Poll::Ready(None) => {
                self.end_received = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.idle_timer = None;
                let size = frame.data_ref().map_or(0, |buf| buf.len() as u64);
                if size > self.remaining {
                    return self.fail(io::ErrorKind::InvalidData);
                }
                self.remaining -= size;
                if let Some(reader) = &self.reader {
                    reader.held().add(size);
                }
                Poll::Ready(Some(Ok(frame.map_data(compact))))
            }
            Poll::Ready(Some(Err(_))) => self.fail(io::ErrorKind::ConnectionAborted),
            Poll::Pending => self.poll_idle_timeout(cx),
        }
    }

    fn poll_idle_timeout(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let idle_timer = self.idle_timer.get_or_insert_with(|| Timer::after(self.idle_timeout));
        match Pin::new(idle_timer).poll(cx) {
            Poll::Ready(_) => self.fail(io::ErrorKind::TimedOut),
            Poll::Pending => Poll::Pending,
        }
    }

    fn fail(&mut self, kind: io::ErrorKind) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.failed = true;
        Poll::Ready(Some(Err(kind.into())))
    }
}

/// Copies small data out of the read buffer that it keeps allocated.
fn compact(data: Bytes) -> Bytes {
    if data.len() <= MAX_COPIED_BYTES { Bytes::copy_from_slice(&data) } else { data }
}

/// Buffers a body of at most `max_bytes`.
pub async fn collect(
    mut incoming: Incoming,
    max_bytes: u64,
    idle_timeout: Duration,
) -> Result<Bytes, Code> {
    let declared_bytes = incoming.size_hint().lower().min(max_bytes) as usize;
    let mut first: Option<Bytes> = None;
    let mut buf = BytesMut::new();
    let mut size = 0;
    loop {
        let frame = async { Some(incoming.frame().await) };
        let timeout = async {
            Timer::after(idle_timeout).await;
            None
        };
        let Some(frame) = future::or(frame, timeout).await else {
            return Err(Code::DeadlinePassed);
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame.map_err(|_| Code::CallerGone)?.into_data() else {
            continue;
        };
        size += data.len() as u64;
        if size > max_bytes {
            return Err(Code::RequestTooLarge);
        }
        // Most bodies arrive in a single frame, which is used without copying.
        if first.is_none() && buf.is_empty() && data.len() >= declared_bytes {
            first = Some(data);
            continue;
        }
        if let Some(first) = first.take() {
            buf.extend_from_slice(&first);
        }
        buf.extend_from_slice(&data);
    }
    Ok(first.unwrap_or_else(|| buf.freeze()))
}

/// The connection on which a response arrives. Returned to the pool once the response is complete.
#[derive(Debug)]
pub struct Lease {
    connection: Option<Connection>,
}

impl Lease {
    pub fn new(connection: Connection) -> Lease {
        Lease { connection: Some(connection) }
    }

    /// Ends the lease. The connection of an incomplete response is closed.
    pub fn finish(&mut self, complete: bool) {
        if let Some(connection) = self.connection.take().filter(|_| complete) {
            connection.release();
        }
    }
}
