//! Watches over connections that callers or other nodes opened: limits in time and number.

use crate::clock::Clock;
use crate::shared::CallGuard;
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;
use sycamore_core::Time;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A part of a request's head has come.
    Head,
    /// A request is being served.
    Call,
    /// An answer's body goes out.
    Answer,
    /// The last bytes of an answer go out.
    Flush,
}

/// Longest times of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Without a request.
    pub idle: Duration,
    /// For the head of a request.
    pub head: Duration,
    /// Without a byte moved while an answer goes out.
    pub still: Duration,
}

/// One connection.
#[derive(Debug)]
pub struct Watch {
    clock: Clock,
    phase: AtomicU8,
    moved: AtomicU64,
    head_since: AtomicU64,
    deadline: AtomicU64,
    ambiguous: AtomicBool,
    local: bool,
    open: Mutex<Option<CallGuard>>,
    close: Sender<()>,
    closed: Receiver<()>,
}

impl Watch {
    /// A connection that waits for its first request; `local` if it comes from this VM.
    pub fn new(clock: Clock, local: bool) -> Arc<Watch> {
        let (close, closed) = async_channel::bounded(1);
        let now = clock.now();
        Arc::new(Watch {
            clock,
            phase: AtomicU8::new(Phase::Idle as u8),
            moved: AtomicU64::new(now.0),
            head_since: AtomicU64::new(now.0),
            deadline: AtomicU64::new(u64::MAX),
            ambiguous: AtomicBool::new(false),
            local,
            open: Mutex::new(None),
            close,
            closed,
        })
    }

    /// Whether the other side is on this VM.
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// What the connection does.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Call,
            3 => Phase::Answer,
            _ => Phase::Flush,
        }
    }

    /// A request is served from now on.
    pub fn begin(&self, open: CallGuard) {
        *self.open.lock() = Some(open);
        self.set_phase(Phase::Call);
    }

    /// hyper has nothing left to write.
    ///
    /// Guards against a planned stop that cuts an answer: until here its last bytes are in this
    /// process, where nobody would send them after its end, so the call counts as open.
    pub fn flushed(&self) {
        if self.phase() == Phase::Flush {
            self.deadline.store(u64::MAX, Ordering::Release);
            self.set_phase(Phase::Idle);
            self.open.lock().take();
        }
    }

    /// The connection has ended.
    pub fn ended(&self) {
        self.open.lock().take();
    }

    /// Changes what the connection does.
    pub fn set_phase(&self, phase: Phase) {
        self.moved.store(self.clock.now().0, Ordering::Release);
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Bytes came in or went out.
    pub fn bytes_moved(&self, incoming: bool) {
        let now = self.clock.now().0;
        self.moved.store(now, Ordering::Release);
        if incoming && self.phase() == Phase::Idle {
            self.head_since.store(now, Ordering::Release);
            self.phase.store(Phase::Head as u8, Ordering::Release);
        }
    }

    /// When the call that is served must have ended.
    pub fn set_deadline(&self, deadline: Time) {
        self.deadline.store(deadline.0, Ordering::Release);
    }

    /// The head states the length of its body in two ways.
    pub fn set_ambiguous(&self, ambiguous: bool) {
        self.ambiguous.store(ambiguous, Ordering::Release);
    }

    /// Whether the head states the length of its body in two ways.
    pub fn ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Acquire)
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        let _ = self.closed.recv().await;
    }

    /// Whether the connection has used up a limit.
    ///
    /// Guards against a reader or writer that is slow on purpose or by accident: it would hold a
    /// connection, and through it a slot of a target, for as long as it likes.
    fn is_over(&self, now: Time, times: &Times) -> bool {
        let since = |at: &AtomicU64| now.since(Time(at.load(Ordering::Acquire)));
        let late = now.0 > self.deadline.load(Ordering::Acquire);
        match self.phase() {
            Phase::Idle => since(&self.moved) > times.idle,
            Phase::Head => since(&self.head_since) > times.head,
            Phase::Call => false,
            Phase::Answer | Phase::Flush => late || since(&self.moved) > times.still,
        }
    }
}

/// All connections of one listener.
#[derive(Debug)]
pub struct Watches {
    times: Times,
    open: Mutex<Vec<Arc<Watch>>>,
}

impl Watches {
    /// No connection.
    pub fn new(times: Times) -> Watches {
        Watches { times, open: Mutex::new(Vec::new()) }
    }

    /// Adds a connection unless there are `most` already.
    pub fn add(&self, watch: &Arc<Watch>, most: usize) -> bool {
        let mut open = self.open.lock();
        let fits = open.len() < most;
        if fits {
            open.push(watch.clone());
        }
        fits
    }

    /// Removes a connection.
    pub fn remove(&self, watch: &Arc<Watch>) {
        let mut open = self.open.lock();
        if let Some(index) = open.iter().position(|other| Arc::ptr_eq(other, watch)) {
            open.swap_remove(index);
        }
    }

    /// Closes the connections that have used up a limit.
    pub fn sweep(&self, now: Time) {
        for watch in self.open.lock().iter() {
            if watch.is_over(now, &self.times) {
                let _ = watch.close.try_send(());
            }
        }
    }
}
