//! Connections to the local target.

use super::slot::{QueuedCall, Slot};
use super::{Decision, GateAdapter};
use crate::calls::pool::{Connection, IdleTerms};
use crate::calls::trace::Step;
use crate::metrics::GaugeGuard;
use futures_lite::future;
use hyper::header::HeaderValue;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::gatekeeper::Input;

/// Timeout of the connection attempt that checks whether a target still accepts connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of waiting for a connection to the target.
pub(super) enum ConnectResult {
    Connected {
        connection: Connection,
        /// Whether it was in use before.
        reused: bool,
        /// When the request's start was counted.
        counted_at: Time,
    },
    /// The target can't be reached.
    Failed,
    /// The request was recalled or rejected, or has expired.
    NotStarted(Option<Decision>),
}

impl GateAdapter {
    /// Waits for a connection to the target, within its connection limit. Until then the request
    /// has not started: it can be recalled, and it expires at its deadline.
    pub(super) async fn connect(
        self: &Arc<GateAdapter>,
        terms: IdleTerms<'_>,
        id: &HeaderValue,
        slot: &Slot,
    ) -> ConnectResult {
        let call = slot.call();
        let (until, decided) = match self.decide(call, Input::Connecting(call)) {
            Some(Decision::Queue(until, decided)) => (until, decided),
            decision => return ConnectResult::NotStarted(decision),
        };
        let waiting_call = QueuedCall::new(self, call);
        let mut waiting = None;
        let max_open = || self.shared.own_limits().unwrap_or_default().connections as usize;
        let on_wait = || {
            waiting.get_or_insert_with(|| self.record_connection_wait(id));
        };
        let connected = self.pool.connect_within(terms, max_open, on_wait);
        let connected = async { Ok(connected.await) };
        let rejected = async { Err(self.await_decision(call, until, &decided).await) };
        let result = future::or(rejected, connected).await;
        waiting_call.disarm();
        let decision = match result {
            Err(decision) => decision,
            Ok(Err(_)) => return ConnectResult::Failed,
            Ok(Ok((connection, reused))) => match self.decide(call, Input::Connected(call)) {
                Some(Decision::Run { counted_at, .. }) => {
                    return ConnectResult::Connected { connection, reused, counted_at };
                }
                // It was rejected now, or at the same moment.
                rejected => {
                    connection.release();
                    rejected.or_else(|| decided.try_recv().ok())
                }
            },
        };
        ConnectResult::NotStarted(decision)
    }

    /// Logs and counts a request that waits for a connection, until the result is dropped.
    fn record_connection_wait(&self, id: &HeaderValue) -> GaugeGuard {
        self.trace(id, Step::GateConnecting);
        self.shared.metrics.connection_waits.inc();
        GaugeGuard::new(&self.shared.metrics.awaiting_connection)
    }

    /// Whether the target's process has exited, that is, its address refuses connections.
    pub(super) async fn target_gone(&self) -> bool {
        let Some(address) = self.shared.settings.target_address else {
            return true;
        };
        let probe = async { Some(self.pool.connect(address).await) };
        let timeout = async {
            self.shared.clock.sleep(PROBE_TIMEOUT).await;
            None
        };
        match future::or(probe, timeout).await {
            Some(Ok(connection)) => {
                connection.release();
                false
            }
            Some(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            None => false,
        }
    }
}
