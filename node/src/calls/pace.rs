//! Bytes of an answer, given to the VM's link no faster than it takes them.

use super::gate::GateSide;
use async_io::Timer;
use bytes::Bytes;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use sycamore_core::call::CallKey;

/// Bytes that are given to the link at once: about 9 ms of the narrowest, 15 Mbit/s. Smaller
/// pieces would cost a wake-up each without letting others pass sooner than by a few ms.
const PIECE_BYTES: usize = 16_384;

/// Bytes of one answer that are held at once. Most large answers fit whole, so that their targets
/// are done with them; how many there are is bounded by what is under way to the link.
const MAX_HELD_BYTES: u64 = 1 << 20;

/// What has come of an answer and waits for the link.
#[derive(Debug)]
pub struct Pace {
    side: Arc<GateSide>,
    call: CallKey,
    held: VecDeque<Bytes>,
    held_bytes: u64,
    // The piece that has its time, and that time.
    next: Option<(Bytes, Timer)>,
}

impl Pace {
    /// The pace of the answer to `call`.
    pub fn new(side: Arc<GateSide>, call: CallKey) -> Pace {
        Pace { side, call, held: VecDeque::new(), held_bytes: 0, next: None }
    }

    /// Takes bytes that have come.
    pub fn hold(&mut self, data: Bytes) {
        self.held_bytes += data.len() as u64;
        self.held.push_back(data);
    }

    /// Bytes that wait.
    pub fn held(&self) -> u64 {
        self.held_bytes
    }

    /// Whether more of the answer may be read while these bytes wait.
    pub fn has_room(&self) -> bool {
        self.held_bytes < MAX_HELD_BYTES
    }

    /// The next piece, when the link has room for it.
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        if self.next.is_none() {
            let piece = self.take_piece();
            let wait = self.side.wait_for_link(self.call, piece.len() as u64);
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
