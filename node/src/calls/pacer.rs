//! Limits the rate of a response body to the bandwidth of the VM's link.

use super::gate::GateAdapter;
use async_io::Timer;
use bytes::Bytes;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use sycamore_core::call::CallKey;

/// Maximum bytes sent to the link at once: about 9 ms on a link of 15 Mbit/s. Smaller chunks cost
/// more wake-ups and barely reduce the delay of other responses.
const CHUNK_BYTES: usize = 16_384;

/// Response data that waits for the link.
#[derive(Debug)]
pub struct Pacer {
    adapter: Arc<GateAdapter>,
    call: CallKey,
    buffer: VecDeque<Bytes>,
    buffered_bytes: u64,
    // The next chunk and the timer after which it may be sent.
    next: Option<(Bytes, Timer)>,
}

impl Pacer {
    pub fn new(adapter: Arc<GateAdapter>, call: CallKey) -> Pacer {
        Pacer { adapter, call, buffer: VecDeque::new(), buffered_bytes: 0, next: None }
    }

    /// Appends received data.
    pub fn push(&mut self, data: Bytes) {
        self.buffered_bytes += data.len() as u64;
        self.buffer.push_back(data);
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// Returns the next chunk once the link has capacity for it.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        if self.next.is_none() {
            let chunk = self.pop_chunk();
            let delay = self.adapter.link_delay(self.call, chunk.len() as u64);
            if delay.is_zero() {
                self.buffered_bytes -= chunk.len() as u64;
                return Poll::Ready(chunk);
            }
            self.next = Some((chunk, Timer::after(delay)));
        }
        if let Some((_, timer)) = &mut self.next {
            ready!(Pin::new(timer).poll(cx));
        }
        let chunk = self.next.take().map_or_else(Bytes::new, |(chunk, _)| chunk);
        self.buffered_bytes -= chunk.len() as u64;
        Poll::Ready(chunk)
    }

    fn pop_chunk(&mut self) -> Bytes {
        let Some(first) = self.buffer.front_mut() else {
            return Bytes::new();
        };
        let chunk = first.split_to(first.len().min(CHUNK_BYTES));
        if first.is_empty() {
            self.buffer.pop_front();
        }
        chunk
    }
}
