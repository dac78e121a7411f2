//! Tracks incoming connections and enforces their timeouts and their number.

use crate::clock::Clock;
use crate::shared::OpenCall;
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;
use sycamore_core::Time;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Phase {
    /// Waiting for a request.
    Idle,
    /// Receiving the head of a request.
    Head,
    /// Serving a request.
    Call,
    /// Sending the body of a response.
    Answer,
    /// Flushing the last bytes of a response.
    Flush,
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Without a request.
    pub idle: Duration,
    /// For receiving the head of a request.
    pub head: Duration,
    /// Without progress while a response is sent.
    pub still: Duration,
}

/// An incoming connection.
#[derive(Debug)]
pub struct Watch {
    clock: Clock,
    phase: AtomicU8,
    moved: AtomicU64,
    head_since: AtomicU64,
    deadline: AtomicU64,
    ambiguous: AtomicBool,
    local: bool,
    open: Mutex<Option<OpenCall>>,
    close: Sender<()>,
    closed: Receiver<()>,
}

impl Watch {
    /// A connection without a request yet; `local` if the peer is on this VM.
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

    /// Whether the peer is on this VM.
    pub fn is_local(&self) -> bool {
        self.local
    }

    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Call,
            3 => Phase::Answer,
            _ => Phase::Flush,
        }
    }

    /// Marks the start of a request.
    pub fn begin(&self, open: OpenCall) {
        *self.open.lock() = Some(open);
        self.set_phase(Phase::Call);
    }

    /// Called when hyper has written all its data.
    ///
    /// The call counts as open until here. Guards against a drain that truncates a response: its
    /// last bytes are still in this process and would be lost when it exits.
    pub fn flushed(&self) {
        if self.phase() == Phase::Flush {
            self.deadline.store(u64::MAX, Ordering::Release);
            self.set_phase(Phase::Idle);
            self.open.lock().take();
        }
    }

    /// Marks the connection as ended.
    pub fn ended(&self) {
        self.open.lock().take();
    }

    /// Sets the phase and records activity.
    pub fn set_phase(&self, phase: Phase) {
        self.moved.store(self.clock.now().0, Ordering::Release);
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Records that data was received or sent.
    pub fn bytes_moved(&self, incoming: bool) {
        let now = self.clock.now().0;
        self.moved.store(now, Ordering::Release);
        if incoming && self.phase() == Phase::Idle {
            self.head_since.store(now, Ordering::Release);
            self.phase.store(Phase::Head as u8, Ordering::Release);
        }
    }

    /// Sets the deadline of the current call.
    pub fn set_deadline(&self, deadline: Time) {
        self.deadline.store(deadline.0, Ordering::Release);
    }

    /// Records whether the head defines the length of the body more than once.
    pub fn set_ambiguous(&self, ambiguous: bool) {
        self.ambiguous.store(ambiguous, Ordering::Release);
    }

    /// Whether the head defines the length of the body more than once.
    pub fn ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Acquire)
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        let _ = self.closed.recv().await;
    }

    /// Whether the connection exceeded a timeout.
    ///
    /// Guards against slow readers and writers, which would otherwise hold a connection, and with
    /// it a slot of a target, indefinitely.
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

/// The connections of a listener.
#[derive(Debug)]
pub struct Watches {
    times: Times,
    open: Mutex<Vec<Arc<Watch>>>,
}

impl Watches {
    pub fn new(times: Times) -> Watches {
        Watches { times, open: Mutex::new(Vec::new()) }
    }

    /// Adds a connection unless there are already `most`.
    pub fn add(&self, watch: &Arc<Watch>, most: usize) -> bool {
        let mut open = self.open.lock();
        let fits = open.len() < most;
        if fits {
            open.push(watch.clone());
        }
        fits
    }

    pub fn remove(&self, watch: &Arc<Watch>) {
        let mut open = self.open.lock();
        if let Some(index) = open.iter().position(|other| Arc::ptr_eq(other, watch)) {
            open.swap_remove(index);
        }
    }

    /// Closes the connections that exceeded a timeout.
    pub fn sweep(&self, now: Time) {
        for watch in self.open.lock().iter() {
            if watch.is_over(now, &self.times) {
                let _ = watch.close.try_send(());
            }
        }
    }
}
