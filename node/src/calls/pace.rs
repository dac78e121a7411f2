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
const PIECE_BYTES: usize = 16_384;

/// Maximum bytes buffered per response. Most large responses fit completely, so that the target's
/// slot is freed early.
const MAX_HELD_BYTES: u64 = 1 << 20;

/// Response data that waits for the link.
#[derive(Debug)]
pub struct Pace {
    adapter: Arc<GateAdapter>,
    call: CallKey,
    held: VecDeque<Bytes>,
    held_bytes: u64,
    // The next chunk and the timer after which it may be sent.
    next: Option<(Bytes, Timer)>,
}

impl Pace {
    pub fn new(adapter: Arc<GateAdapter>, call: CallKey) -> Pace {
        Pace { adapter, call, held: VecDeque::new(), held_bytes: 0, next: None }
    }

    /// Appends received data.
    pub fn hold(&mut self, data: Bytes) {
        self.held_bytes += data.len() as u64;
        self.held.push_back(data);
    }

    /// Number of buffered bytes.
    pub fn held(&self) -> u64 {
        self.held_bytes
    }

    /// Whether more of the response may be read ahead.
    pub fn has_room(&self) -> bool {
        self.held_bytes < MAX_HELD_BYTES
    }

    /// Returns the next chunk once the link has capacity for it.
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        if self.next.is_none() {
            let piece = self.take_piece();
            let wait = self.adapter.wait_for_link(self.call, piece.len() as u64);
            if wait.is_zero() {
                self.held_bytes -= piece.len() as u64;
                return Poll::Ready(piece);
            }
            self.next = Some((piece, Timer::after(wait)));
        }
        if let Some((_, timer)) = &mut self.next {
            ready!(Pin::new(timer).poll(cx));
        }
        let piece = self.next.take().map_or_else(Bytes::new, |(piece, _)| piece);
        self.held_bytes -= piece.len() as u64;
        Poll::Ready(piece)
    }

    fn take_piece(&mut self) -> Bytes {
        let Some(first) = self.held.front_mut() else {
            return Bytes::new();
        };
        let piece = first.split_to(first.len().min(PIECE_BYTES));
        if first.is_empty() {
            self.held.pop_front();
        }
        piece
    }
}
