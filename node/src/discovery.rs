//! Runs [`sycamore_core::discovery::Discovery`] against a store in which targets register
//! themselves.
//!
//! Peer messages use the same RPC transport as version distribution.

use crate::calls::Calls;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::spread::peers::Peers;
use crate::spread::{Context, Listener, local_peer, server};
use crate::store::Store;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use futures_lite::future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::discovery::{Call, Config, Discovery, Input, Output, ReadError, Reply};
use sycamore_core::spread;

/// Maximum number of queued peer messages; peers are throttled while the queue is full.
const MAX_INPUTS: usize = 1_024;

/// Maximum number of queued replies. Few calls are in flight: a lost one is repeated beside it.
const MAX_REPLIES: usize = 4;

/// Handle to the discovery task.
#[derive(Clone, Debug)]
pub struct Handle {
    settings_tx: Sender<()>,
    leaving_tx: Sender<()>,
}

impl Handle {
    /// Applies the current settings.
    pub fn settings_changed(&self) {
        // A pending signal already covers the latest settings.
        let _ = self.settings_tx.try_send(());
    }

    /// Notifies peers that this node is shutting down.
    pub fn announce_leaving(&self) {
        // A pending signal has the same effect.
        let _ = self.leaving_tx.try_send(());
    }
}

/// Starts following `store` on the thread of `local`.
pub fn start(
    shared: Arc<Shared>,
    listener: Listener,
    store: Box<dyn Store>,
    calls: Calls,
    local: &LocalExecutor<'_>,
) -> Handle {
    let (settings_tx, settings_rx) = async_channel::bounded(1);
    let (leaving_tx, leaving_rx) = async_channel::bounded(1);
    let signals = Signals { settings_rx, leaving_rx };
    let task = async move {
        let executor = Rc::new(LocalExecutor::new());
        let (messages, message_rx) = async_channel::bounded(MAX_INPUTS);
        let (replies, reply_rx) = async_channel::bounded(MAX_REPLIES);
        let cx = Context { shared: shared.clone(), executor: executor.clone(), inputs: messages };
        let local_peer = local_peer(&shared.settings);
        executor.spawn(server::serve(cx.clone(), local_peer.clone(), listener.peers)).detach();
        let seed = uuid::Uuid::now_v7().as_u64_pair().1;
        let driver = Driver {
            discovery: Discovery::new(config(&shared.settings), seed),
            peers: Peers::new(cx.clone(), local_peer),
            store,
            wake: None,
            calls,
            replies,
            cx,
        };
        executor.run(driver.run(message_rx, reply_rx, signals)).await;
    };
    local.spawn(task).detach();
    Handle { settings_tx, leaving_tx }
}

fn config(settings: &Settings) -> Config {
    Config {
        place: settings.place(),
        address: settings.listen.peers,
        link_kbps: settings.limits.link_mbps.map(|rate| rate.kbps),
        change_bound: Duration::from_millis(settings.bounds.shortest_ms()),
        seeds: settings.seeds.clone(),
        gate_port: settings.listen.gate.port(),
        peers_port: settings.listen.peers.port(),
    }
}

/// Signals from other parts of the process.
struct Signals {
    settings_rx: Receiver<()>,
    leaving_rx: Receiver<()>,
}

/// Result of a store call.
struct StoreResult {
    id: u64,
    result: Result<Reply, ReadError>,
    /// Kind of call, for metrics.
    label: &'static str,
    ended_at: Time,
}

struct Driver {
    discovery: Discovery,
    peers: Peers,
    store: Box<dyn Store>,
    wake: Option<Time>,
    calls: Calls,
    replies: Sender<StoreResult>,
    cx: Context,
}

impl Driver {
    async fn run(
        mut self,
        message_rx: Receiver<spread::Input>,
        reply_rx: Receiver<StoreResult>,
        signals: Signals,
    ) {
        self.handle(Input::Start);
        loop {
            let input = future::or(
                future::or(self.next_wake(), self.next_reply(&reply_rx)),
                future::or(
                    future::or(next_message(&message_rx), self.next_note()),
                    future::or(self.next_lost_peer(), self.next_signal(&signals)),
                ),
            )
            .await;
            self.handle(input);
        }
    }

    async fn next_wake(&self) -> Input {
        match self.wake {
            Some(wake) => self.cx.shared.clock.sleep_until(wake).await,
            None => future::pending().await,
        }
        Input::Wake
    }

    async fn next_reply(&self, reply_rx: &Receiver<StoreResult>) -> Input {
        let Ok(StoreResult { id, result, label, ended_at }) = reply_rx.recv().await else {
            return future::pending().await;
        };
        let metrics = &self.cx.shared.metrics;
        if matches!(result, Err(ReadError::TooLarge)) {
            metrics.platform_too_large.inc();
        }
        let delay = self.cx.shared.clock.now().since(ended_at);
        let histogram = &metrics.platform_apply_seconds;
        histogram.with_label_values(&[label]).observe(delay.as_secs_f64());
        Input::Reply { id, result }
    }

    async fn next_note(&self) -> Input {
        match self.cx.shared.notes.next().await {
            Some(note) => Input::Note(note),
            None => future::pending().await,
        }
    }

    async fn next_lost_peer(&self) -> Input {
        match self.cx.shared.lost_gates.next().await {
            Some(gate) => Input::PeerLost(gate),
            None => future::pending().await,
        }
    }

    async fn next_signal(&self, signals: &Signals) -> Input {
        let changed = async {
            match signals.settings_rx.recv().await {
                Ok(()) => Input::Seeds(self.cx.shared.current_settings().seeds.clone()),
                Err(_) => future::pending().await,
            }
        };
        let leaving = async {
            match signals.leaving_rx.recv().await {
                Ok(()) => Input::Leaving,
                Err(_) => future::pending().await,
            }
        };
        future::or(changed, leaving).await
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.wake = None;
        self.discovery.handle(self.cx.shared.clock.now(), input, &mut out);
        let responded_at = self.discovery.store_responded_at().map_or(0, Time::as_millis);
        self.cx.shared.metrics.platform_responded_seconds.set(responded_at as f64 / 1_000.0);
        self.cx.shared.metrics.targets_retained.set(self.discovery.retained_targets() as i64);
        for output in out {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        let shared = &self.cx.shared;
        match output {
            Output::Read(call) => self.read(call),
            Output::Send { to, link, msg } => self.peers.send(to, link, msg),
            Output::Note { from, note } => self.calls.take_note(&from, note),
            Output::InForce(snapshot) => {
                let newer =
                    shared.in_force().is_none_or(|current| current.version() < snapshot.version());
                shared.put_in_force(snapshot);
                let now = shared.clock.now();
                if newer {
                    shared.update_spread(|view| view.in_force_since = Some(now));
                }
                self.calls.view_changed();
            }
            Output::Rejected(fault) => {
                shared.update_spread(|current_view| current_view.last_rejection = Some(fault));
            }
            Output::Event(event) => shared.record(event),
            Output::Status(status) => shared.update_spread(|current_view| {
                current_view.newest_heard = status.newest;
                current_view.platform_reachable = status.store_reachable;
                current_view.confirmed = status.store_reachable == Some(true);
            }),
            Output::WakeAt(at) => self.wake = Some(at),
        }
    }

    fn read(&self, call: Call) {
        self.cx.shared.metrics.platform_calls.inc();
        let (id, label) = (call.id, call.request.label());
        let read = self.store.read(&self.cx.shared, call);
        let (replies, clock) = (self.replies.clone(), self.cx.shared.clock.clone());
        let task = async move {
            let result = read.await;
            let ended_at = clock.now();
            // Fails only during shutdown.
            let _ = replies.send(StoreResult { id, result, label, ended_at }).await;
        };
        self.cx.executor.spawn(task).detach();
    }
}

/// Returns the next message from a peer. Failures to reach a peer are ignored, since queries are
/// retried anyway.
async fn next_message(message_rx: &Receiver<spread::Input>) -> Input {
    loop {
        match message_rx.recv().await {
            Ok(spread::Input::Peer { from, msg }) => return Input::Peer { from, msg },
            Ok(_) => {}
            Err(_) => future::pending().await,
        }
    }
}
