//! Tracks incoming connections and enforces their timeouts and their number.

use crate::clock::Clock;
use crate::shared::OpenCallGuard;
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use prometheus::IntGauge;
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
    Response,
    /// Flushing the last bytes of a response.
    Flush,
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Without a request.
    pub idle: Duration,
    /// For receiving the head of a request.
    pub head: Duration,
    /// Without progress while a response is sent.
    pub stalled: Duration,
}

/// An incoming connection.
#[derive(Debug)]
pub struct ConnectionState {
    clock: Clock,
    phase: AtomicU8,
    last_activity: AtomicU64,
    head_started: AtomicU64,
    deadline: AtomicU64,
    has_ambiguous_length: AtomicBool,
    local: bool,
    open_call: Mutex<Option<OpenCallGuard>>,
    held: HeldBytes,
    close_sender: Sender<()>,
    close_receiver: Receiver<()>,
}

impl ConnectionState {
    /// A connection without a request yet; `local` if the peer is on this VM.
    pub fn new(clock: Clock, local: bool, held: HeldBytes) -> Arc<ConnectionState> {
        let (close_sender, close_receiver) = async_channel::bounded(1);
        let now = clock.now();
        Arc::new(ConnectionState {
            clock,
            phase: AtomicU8::new(Phase::Idle as u8),
            last_activity: AtomicU64::new(now.0),
            head_started: AtomicU64::new(now.0),
            deadline: AtomicU64::new(u64::MAX),
            has_ambiguous_length: AtomicBool::new(false),
            local,
            open_call: Mutex::new(None),
            held,
            close_sender,
            close_receiver,
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
            3 => Phase::Response,
            _ => Phase::Flush,
        }
    }

    /// Marks the start of a request.
    pub fn begin_request(&self, open_call: OpenCallGuard) {
        *self.open_call.lock() = Some(open_call);
        self.set_phase(Phase::Call);
    }

    /// Called when hyper has written all its data.
    ///
    /// The call counts as open until here. Guards against a drain that truncates a response: its
    /// last bytes are still in this process and would be lost when it exits.
    pub fn on_flushed(&self) {
        if self.phase() == Phase::Flush {
            self.held.clear();
            self.deadline.store(u64::MAX, Ordering::Release);
            self.set_phase(Phase::Idle);
            self.open_call.lock().take();
        }
    }

    /// Marks the connection as ended.
    pub fn mark_ended(&self) {
        self.held.clear();
        self.open_call.lock().take();
    }

    /// Sets the phase and records activity.
    pub fn set_phase(&self, phase: Phase) {
        self.last_activity.store(self.clock.now().0, Ordering::Release);
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Response bytes received for the peer and not yet written to it.
    pub fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// Records that data was received or sent.
    pub fn record_io(&self, received: bool) {
        let now = self.clock.now().0;
        self.last_activity.store(now, Ordering::Release);
        if received && self.phase() == Phase::Idle {
            self.head_started.store(now, Ordering::Release);
            self.phase.store(Phase::Head as u8, Ordering::Release);
        }
    }

    /// Sets the deadline of the current call.
    pub fn set_deadline(&self, deadline: Time) {
        self.deadline.store(deadline.0, Ordering::Release);
    }

    /// Records whether the head defines the length of the body more than once.
    pub fn set_ambiguous_length(&self, has_ambiguous_length: bool) {
        self.has_ambiguous_length.store(has_ambiguous_length, Ordering::Release);
    }

    /// Whether the head defines the length of the body more than once.
    pub fn has_ambiguous_length(&self) -> bool {
        self.has_ambiguous_length.load(Ordering::Acquire)
    }

    /// Waits until the connection must be closed.
    pub async fn close_requested(&self) {
        let _ = self.close_receiver.recv().await;
    }

    /// Whether the connection exceeded a timeout.
    ///
    /// Guards against slow readers and writers, which would otherwise hold a connection, and with
    /// it a slot of a target, indefinitely.
    fn has_timed_out(&self, now: Time, timeouts: &Timeouts) -> bool {
        let since = |at: &AtomicU64| now.since(Time(at.load(Ordering::Acquire)));
        let deadline_passed = now.0 > self.deadline.load(Ordering::Acquire);
        match self.phase() {
            Phase::Idle => since(&self.last_activity) > timeouts.idle,
            Phase::Head => since(&self.head_started) > timeouts.head,
            Phase::Call => false,
            Phase::Response | Phase::Flush => {
                deadline_passed || since(&self.last_activity) > timeouts.stalled
            }
        }
    }
}

/// Response bytes held for one connection, also counted in a gauge of all connections.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: AtomicU64,
    max_bytes: u64,
    total: IntGauge,
}

impl HeldBytes {
    /// At most `max_bytes` may be held for the connection; `total` counts those of all connections.
    pub fn new(max_bytes: u64, total: IntGauge) -> HeldBytes {
        HeldBytes { bytes: AtomicU64::new(0), max_bytes, total }
    }

    /// Whether `bytes` more may be received for the peer.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.bytes.load(Ordering::Relaxed) + bytes as u64 <= self.max_bytes
    }

    pub fn add(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.total.add(bytes as i64);
    }

    /// Records `bytes` written to the peer. The heads of responses are written too but not added, so
    /// the count is low by the size of a head until the next response.
    pub fn subtract(&self, bytes: u64) {
        let subtract = |held: u64| Some(held.saturating_sub(bytes));
        let held = self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        let removed = held.map_or(0, |held| held.min(bytes));
        self.total.sub(removed as i64);
    }

    /// Records that nothing is held anymore.
    pub fn clear(&self) {
        self.total.sub(self.bytes.swap(0, Ordering::Relaxed) as i64);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.clear();
    }
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    timeouts: Timeouts,
    open: Mutex<Vec<Arc<ConnectionState>>>,
}

impl ConnectionTable {
    pub fn new(timeouts: Timeouts) -> ConnectionTable {
        ConnectionTable { timeouts, open: Mutex::new(Vec::new()) }
    }

    /// Adds a connection unless there are already `max_connections`.
    pub fn add(&self, conn: &Arc<ConnectionState>, max_connections: usize) -> bool {
        let mut open = self.open.lock();
        let fits = open.len() < max_connections;
        if fits {
            open.push(conn.clone());
        }
        fits
    }

    pub fn remove(&self, conn: &Arc<ConnectionState>) {
        let mut open = self.open.lock();
        if let Some(index) = open.iter().position(|other| Arc::ptr_eq(other, conn)) {
            open.swap_remove(index);
        }
    }

    /// Closes the connections that exceeded a timeout.
    pub fn sweep(&self, now: Time) {
        for conn in self.open.lock().iter() {
            if conn.has_timed_out(now, &self.timeouts) {
                let _ = conn.close_sender.try_send(());
            }
        }
    }
}
