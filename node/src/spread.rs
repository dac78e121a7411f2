//! Version distribution: peer messages over Cap'n Proto RPC, and calls to the platform.
//!
//! Runs the state machine [`sycamore_core::spread::Spread`] on a single thread, since Cap'n Proto
//! RPC is single-threaded.

pub mod codec;
mod link;
pub mod payload;
pub(crate) mod peers;
mod platform;
pub(crate) mod server;

#[allow(dead_code, clippy::all, reason = "generated code")]
mod spread_capnp;

use crate::calls::{self, Calls};
use crate::settings::{Listen, Settings};
use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::future;
use indexmap::IndexMap;
use peers::Peers;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::spread::port::CallId;
use sycamore_core::spread::{Config, Input, Output, Peer, SourceCall, SourceReply, Spread};
use sycamore_core::{Result, Time};

/// Maximum number of queued inputs; peers are throttled while the queue is full.
const MAX_INPUTS: usize = 4_096;

/// The socket that peers connect to.
#[derive(Debug)]
pub struct Listener {
    pub peers: Async<TcpListener>,
}

impl Listener {
    /// Binds the socket.
    pub fn bind(listen: &Listen) -> Result<Listener> {
        Ok(Listener { peers: calls::bind(listen.peers)? })
    }
}

/// Handle to the version distribution task.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: Sender<Input>,
}

impl Handle {
    /// Notifies peers that this node is shutting down.
    pub fn announce_leaving(&self) {
        // If the queue is full, the notification could not be sent in time anyway.
        let _ = self.inputs.try_send(Input::Stop);
    }
}

/// Context shared by the distribution tasks, all of which run on one thread.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) inputs: Sender<Input>,
}

/// Starts version distribution on the thread of `local`.
pub fn start(
    shared: Arc<Shared>,
    listener: Listener,
    calls: Calls,
    local: &LocalExecutor<'_>,
) -> Handle {
    let (inputs, input_rx) = async_channel::bounded(MAX_INPUTS);
    let handle = Handle { inputs: inputs.clone() };
    let task = async move {
        let executor = Rc::new(LocalExecutor::new());
        let cx = Context { shared: shared.clone(), executor: executor.clone(), inputs };
        let local_peer = local_peer(&shared.settings);
        executor.spawn(server::serve(cx.clone(), local_peer.clone(), listener.peers)).detach();
        let seed = uuid::Uuid::now_v7().as_u64_pair().1;
        let driver = Driver {
            spread: Spread::new(config(&shared.settings), seed),
            peers: Peers::new(cx.clone(), local_peer),
            source_calls: IndexMap::new(),
            wake: shared.clock.now(),
            calls,
            cx,
        };
        executor.run(driver.run(input_rx)).await;
    };
    local.spawn(task).detach();
    handle
}

/// Identity that this node presents to peers.
pub(crate) fn local_peer(settings: &Settings) -> Peer {
    Peer { vm: settings.vm.clone(), place: settings.place(), address: settings.listen.peers }
}

fn config(settings: &Settings) -> Config {
    Config {
        vm: settings.vm.clone(),
        place: settings.place(),
        address: settings.listen.peers,
        seeds: settings.seeds.clone(),
        scope: settings.scope.clone(),
        platform_region: settings.platform_region.clone(),
        fleet_vms: settings.limits.fleet_vms,
        first_configuration: Duration::from_millis(settings.limits.first_configuration_ms),
    }
}

/// Feeds the state machine and executes its outputs.
struct Driver {
    spread: Spread,
    peers: Peers,
    source_calls: IndexMap<CallId, Task<()>>,
    wake: Time,
    calls: Calls,
    cx: Context,
}

impl Driver {
    async fn run(mut self, input_rx: Receiver<Input>) {
        self.handle(Input::Start);
        loop {
            let input = {
                let wake = async {
                    self.cx.shared.clock.sleep_until(self.wake).await;
                    Input::Wake
                };
                let message = async {
                    match input_rx.recv().await {
                        Ok(input) => input,
                        Err(_) => future::pending().await,
                    }
                };
                let note = async {
                    match self.cx.shared.notes.next().await {
                        Some(note) => Input::Note(note),
                        None => future::pending().await,
                    }
                };
                future::or(wake, future::or(message, note)).await
            };
            self.handle(input);
        }
    }

    fn handle(&mut self, input: Input) {
        if let Input::Source(reply) = &input {
            self.source_calls.swap_remove(&reply.id);
        }
        let mut out = Vec::new();
        self.spread.handle(self.cx.shared.clock.now(), input, &mut out);
        for output in out {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        let shared = &self.cx.shared;
        match output {
            Output::ReadSource(call) => self.read_source(call),
            Output::DropSource(id) => {
                self.source_calls.swap_remove(&id);
            }
            Output::Send { to, link, msg } => self.peers.send(to, link, msg),
            Output::Note { from, note } => self.calls.take_note(&from, note),
            Output::InForce(snapshot) => {
                shared.put_in_force(snapshot);
                let now = shared.clock.now();
                shared.update_spread(|view| view.in_force_since = Some(now));
                self.calls.view_changed();
            }
            Output::Members(members) => {
                shared.set_members(members);
                self.calls.view_changed();
            }
            Output::View(view) => shared.update_spread(|current_view| {
                current_view.newest_heard = view.newest_heard;
                current_view.role = view.role;
                current_view.parent = view.parent;
                current_view.platform_reachable = view.platform_reachable;
                current_view.confirmed = view.confirmed;
            }),
            Output::Confirmed => self.calls.confirmed(),
            Output::Event(event) => shared.record(event),
            Output::Rejected(fault) => shared.update_spread(|current_view| {
                current_view.last_rejection = Some(fault);
            }),
            Output::WakeAt(at) => self.wake = at,
        }
    }

    fn read_source(&mut self, call: SourceCall) {
        let cx = self.cx.clone();
        let id = call.id;
        let task = async move {
            let result = platform::read(&cx.shared, &call).await;
            // Fails only during shutdown.
            let _ = cx.inputs.send(Input::Source(SourceReply { id, result })).await;
        };
        self.source_calls.insert(id, self.cx.executor.spawn(task));
    }
}
