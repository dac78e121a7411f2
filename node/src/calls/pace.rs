//! Bytes of an answer, given to the VM's link no faster than it takes them.

use super::gate::GateSide;
use async_io::Timer;
use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use sycamore_core::call::CallKey;

/// Bytes that are given to the link at once: about 9 ms of the narrowest, 15 Mbit/s. Smaller
/// pieces would cost a wake-up each without letting others pass sooner than by a few ms.
const PIECE_BYTES: usize = 16_384;

/// What has come of an answer and waits for the link.
#[derive(Debug)]
pub struct Pace {
    side: Arc<GateSide>,
    call: CallKey,
    held: Bytes,
    // The piece that has its time, and that time.
    next: Option<(Bytes, Timer)>,
}

impl Pace {
    /// The pace of the answer to `call`.
    pub fn new(side: Arc<GateSide>, call: CallKey) -> Pace {
        Pace { side, call, held: Bytes::new(), next: None }
    }

    /// Takes bytes that have come. Only to be called when none are held.
    pub fn hold(&mut self, data: Bytes) {
        self.held = data;
    }

    /// Bytes that wait.
    pub fn held(&self) -> u64 {
        let next = self.next.as_ref().map_or(0, |(piece, _)| piece.len());
        (self.held.len() + next) as u64
    }

    /// The next piece, when the link has room for it.
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        if self.next.is_none() {
            let piece = self.held.split_to(self.held.len().min(PIECE_BYTES));
            let wait = self.side.wait_for_link(self.call, piece.len() as u64);
            if wait.is_zero() {
                return Poll::Ready(piece);
            }
            self.next = Some((piece, Timer::after(wait)));
        }
        if let Some((_, timer)) = &mut self.next {
            ready!(Pin::new(timer).poll(cx));
        }
        Poll::Ready(self.next.take().map_or_else(Bytes::new, |(piece, _)| piece))
    }
}
