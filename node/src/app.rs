//! Lifecycle of a node, from start to graceful shutdown.

use crate::calls::dialect::Dialect;
use crate::clock::Clock;
use crate::reload::SettingsWatcher;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::store::Store;
use crate::{admin, calls, discovery, spread};
use async_executor::{Executor, LocalExecutor};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::event::{Event, EventKind};
use sycamore_core::{Code, Fault, Result};

/// Polling interval for remaining calls during a graceful shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Minimum duration of a graceful shutdown. Gives callers and peers time to learn of it from
/// rejections instead of broken connections.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Additional time to wait for idle connections to close, so that a request already in transit does
/// not hit a closed socket.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for requests that were on their way when the listeners closed.
const EXIT_NOTICE: Duration = Duration::from_millis(200);

/// A configured node that has not been started.
#[derive(Debug)]
pub struct App {
    settings: Settings,
    clock: Clock,
    dialect: Dialect,
    store: Option<Box<dyn Store>>,
    settings_file: Option<PathBuf>,
}

impl App {
    /// Creates a node with the given settings and the system clock.
    pub fn new(settings: Settings) -> App {
        App {
            settings,
            clock: Clock::new(),
            dialect: Dialect::new(),
            store: None,
            settings_file: None,
        }
    }

    /// Replaces the clock.
    pub fn with_clock(mut self, clock: Clock) -> App {
        self.clock = clock;
        self
    }

    /// Sets custom header names for callers and the target.
    pub fn with_dialect(mut self, dialect: Dialect) -> App {
        self.dialect = dialect;
        self
    }

    /// Discovers targets through a store instead of distributing versions between peers.
    pub fn with_store(mut self, store: Box<dyn Store>) -> App {
        self.store = Some(store);
        self
    }

    /// Reloads the settings when this file changes or on SIGHUP.
    pub fn with_settings_file(mut self, path: &Path) -> App {
        self.settings_file = Some(path.to_owned());
        self
    }

    /// Runs the node until its graceful shutdown completes.
    ///
    /// Calls are served by a pool of threads, or by the calling thread if `limits.threads` is 1.
    /// Peer, platform and admin traffic runs on the calling thread, since Cap'n Proto RPC is
    /// single-threaded.
    pub fn run(self) -> Result<()> {
        // Installed before any call is accepted; until then a signal terminates the process.
        let signals = Signals::new([Signal::Term, Signal::Int])
            .map_err(|e| Fault::new(Code::ListenFailed).with_location("signals").with_detail(e))?;
        let watcher = self.settings_file.as_deref().map(SettingsWatcher::new).transpose()?;
        let shared = Shared::with_dialect(self.settings, self.clock, self.dialect);
        let executor = Arc::new(Executor::new());
        let (shutdown_tx, shutdown_rx) = async_channel::bounded::<()>(1);
        let listeners = calls::Listeners::bind(&shared.settings.listen)?;
        let peers = spread::Listener::bind(&shared.settings.listen)?;
        let admin = admin::Listener::bind(&shared.settings.listen)?;
        std::thread::scope(|scope| {
            // With a single thread, everything runs on the calling thread, which avoids handing
            // events between threads.
            let single_threaded = shared.settings.limits.threads == 1;
            for _ in 0..if single_threaded { 0 } else { shared.settings.limits.threads } {
                scope.spawn(|| async_io::block_on(executor.run(shutdown_rx.recv())));
            }
            let local = Rc::new(LocalExecutor::new());
            let node = BoundNode { listeners, peers, admin, watcher, signals, store: self.store };
            // Spawned as a task, because the future passed to `run` is polled on every wake-up of
            // the thread.
            let main = local.spawn(node.serve(shared.clone(), executor.clone(), local.clone()));
            let main = local.run(main);
            match single_threaded {
                true => async_io::block_on(executor.run(main)),
                false => async_io::block_on(main),
            }
            drop(shutdown_tx);
            shared.record(Event::new(shared.clock.now(), EventKind::Stopped));
        });
        Ok(())
    }
}

/// Sockets, signal handlers and other resources acquired before serving.
struct BoundNode {
    listeners: calls::Listeners,
    peers: spread::Listener,
    admin: admin::Listener,
    watcher: Option<SettingsWatcher>,
    signals: Signals,
    store: Option<Box<dyn Store>>,
}

impl BoundNode {
    /// Starts all services and runs until the graceful shutdown completes.
    async fn serve(
        self,
        shared: Arc<Shared>,
        executor: Arc<Executor<'static>>,
        local: Rc<LocalExecutor<'static>>,
    ) {
        let calls = calls::start(shared.clone(), self.listeners, executor);
        let handle = match self.store {
            None => {
                let handle = spread::start(shared.clone(), self.peers, calls.clone(), &local);
                ConfigHandle::Spread(handle)
            }
            Some(store) => {
                let (shared, calls) = (shared.clone(), calls.clone());
                let handle = discovery::start(shared, self.peers, store, calls, &local);
                ConfigHandle::Discovery(handle)
            }
        };
        if let Some(watcher) = self.watcher {
            let handle = handle.clone();
            let changed = move || handle.settings_changed();
            local.spawn(watcher.run(shared.clone(), changed)).detach();
        }
        local.spawn(admin::serve(shared.clone(), self.admin)).detach();
        wait_for_shutdown(&shared, self.signals).await;
        handle.announce_leaving();
        drain(&shared, &calls).await;
    }
}

/// Handle of the active configuration source.
#[derive(Clone, Debug)]
enum ConfigHandle {
    Spread(spread::Handle),
    Discovery(discovery::Handle),
}

impl ConfigHandle {
    fn announce_leaving(&self) {
        match self {
            ConfigHandle::Spread(handle) => handle.announce_leaving(),
            ConfigHandle::Discovery(handle) => handle.announce_leaving(),
        }
    }

    fn settings_changed(&self) {
        match self {
            // Peer distribution applies changed settings only after a restart.
            ConfigHandle::Spread(_) => {}
            ConfigHandle::Discovery(handle) => handle.settings_changed(),
        }
    }
}

/// Waits for a signal or a `POST /drain` request, then starts draining.
async fn wait_for_shutdown(shared: &Arc<Shared>, mut signals: Signals) {
    let signal = async {
        signals.next().await;
    };
    future::or(signal, shared.drain_started()).await;
    shared.start_draining();
}

/// Waits until all calls have ended or the times of the stop have passed.
async fn drain(shared: &Arc<Shared>, calls: &calls::Calls) {
    let start = shared.clock.now();
    loop {
        let now = shared.clock.now();
        // A version that came into force meanwhile may allow less time.
        let plan = calls.plan_stop(start);
        let elapsed = now.since(start);
        let connections_settled =
            shared.has_no_connections() || elapsed >= MIN_DRAIN_TIME + CONNECTION_CLOSE_TIMEOUT;
        let settled = elapsed >= MIN_DRAIN_TIME && connections_settled;
        if shared.calls_open() == 0 && (settled || now >= plan.answer_by) || now >= plan.exit_by {
            break;
        }
        shared.clock.sleep(DRAIN_POLL).await;
    }
    shared.start_exit();
    let exit_at = shared.clock.now() + EXIT_NOTICE;
    while shared.clock.now() < calls.plan_stop(start).exit_by
        && (shared.clock.now() < exit_at || shared.calls_open() > 0)
    {
        shared.clock.sleep(DRAIN_POLL).await;
    }
    let event = Event::new(shared.clock.now(), EventKind::Drained);
    let cut = shared.calls_cut() + shared.calls_open();
    shared.record(match cut {
        0 => event,
        _ => event.with_code(Code::DrainCutCalls).with_calls(cut),
    });
}
