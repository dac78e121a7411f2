//! Serves calls: as entry node for callers, and as gatekeeper of the local target.

pub mod body;
pub mod dialect;
pub mod entry;
pub mod gate;
pub mod headers;
pub mod pace;
pub mod pool;
mod quiet;
pub mod serve;
pub mod socket;
pub mod trace;
pub mod watch;

use crate::settings::Listen;
use crate::shared::Shared;
use async_executor::Executor;
use async_io::Async;
use entry::EntrySide;
use gate::GateSide;
use parking_lot::Mutex;
use serve::{Server, Side};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::call::gatekeeper::TICK;
use sycamore_core::call::{Members, Note};
use sycamore_core::config::{ServiceLimits, Snapshot};
use sycamore_core::hash::rendezvous_score;
use sycamore_core::{Code, Fault, Name, Result};

/// Connections are looked at once in so many ticks.
const SWEEP_TICKS: u32 = 2;

/// Connections that may wait to be accepted. Guards against callers who return all at once: what
/// does not fit is dropped, and connects only when it is sent again a second later.
const BACKLOG: i32 = 4_096;

/// The sockets that calls come in on.
#[derive(Debug)]
pub struct Listeners {
    /// From callers and the local target.
    pub calls: Async<TcpListener>,
    /// From nodes that forward calls.
    pub gate: Async<TcpListener>,
}

impl Listeners {
    /// Binds both sockets.
    pub fn bind(listen: &Listen) -> Result<Listeners> {
        Ok(Listeners { calls: bind(listen.calls)?, gate: bind(listen.gate)? })
    }
}

/// Binds one socket.
pub fn bind(address: std::net::SocketAddr) -> Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address);
    let listening = listener.and_then(|listener| {
        // The standard library asks for a queue of its own length; a second call sets another.
        rustix::net::listen(&listener, BACKLOG)?;
        Ok(listener)
    });
    listening.map_err(|e| Fault::new(Code::ListenFailed).with_location(address).with_detail(e))
}

/// A handle on the call path of this node.
#[derive(Clone, Debug)]
pub struct Calls {
    shared: Arc<Shared>,
    entry: Arc<EntrySide>,
    gate: Arc<GateSide>,
    seen: Arc<Mutex<Seen>>,
}

/// What the deciders were last told.
#[derive(Debug, Default)]
struct Seen {
    snapshot: Option<Arc<Snapshot>>,
    members: Option<Arc<Members>>,
}

/// Starts serving calls on `executor`.
pub fn start(shared: Arc<Shared>, listeners: Listeners, executor: Arc<Executor<'static>>) -> Calls {
    // A seed that differs between nodes and starts; everything after it is decided by it.
    let seed = rendezvous_score(shared.settings.vm.as_bytes(), &shared.clock.now().0.to_le_bytes());
    let entry = Arc::new(EntrySide::new(shared.clone(), &executor, seed));
    let gate = Arc::new(GateSide::new(shared.clone(), &executor, seed));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let calls = Calls { shared: shared.clone(), entry: entry.clone(), gate: gate.clone(), seen };
    calls.view_changed();
    let callers = Server::new(shared.clone(), executor.clone(), Side::Entry(entry));
    let nodes = Server::new(shared, executor.clone(), Side::Gate(gate));
    executor.spawn(callers.clone().accept(listeners.calls)).detach();
    executor.spawn(nodes.clone().accept(listeners.gate)).detach();
    executor.spawn(calls.clone().keep_time(vec![callers, nodes])).detach();
    calls
}

impl Calls {
    /// Takes a note that another node's call path sent to this one.
    pub fn take_note(&self, from: &Name, note: Note) {
        self.gate.take_note(from, &note);
    }

    /// Tells the call path that the version in force or the states of VMs have changed.
    pub fn view_changed(&self) {
        let mut seen = self.seen.lock();
        let members = self.shared.members();
        if seen.members.as_ref().is_none_or(|known| !Arc::ptr_eq(known, &members)) {
            self.entry.view(&members);
            self.gate.view(&members);
            seen.members = Some(members);
        }
        let Some(snapshot) = self.shared.in_force() else {
            return;
        };
        if seen.snapshot.as_ref().is_none_or(|known| !Arc::ptr_eq(known, &snapshot)) {
            // The gatekeeper first: it lets go of keys before anyone sends them elsewhere.
            self.gate.configure(&snapshot);
            self.entry.configure(&snapshot);
            seen.snapshot = Some(snapshot);
        }
    }

    /// Tells the call path that the version in force has been confirmed to be the newest, by the
    /// platform or by peers. After a clock gap requests that may run only once wait for it.
    pub fn confirmed(&self) {
        self.gate.confirm();
    }

    /// Longest planned stop of the local target's service.
    pub fn drain_limit(&self) -> Duration {
        let limits: ServiceLimits = self.shared.own_limits().unwrap_or_default();
        Duration::from_millis(limits.drain_ms.into())
    }

    /// Lets time pass for the deciders and the connections.
    async fn keep_time(self, servers: Vec<Arc<Server>>) {
        let mut ticks = 0;
        loop {
            self.shared.clock.sleep(TICK).await;
            self.view_changed();
            self.gate.tick();
            self.entry.sweep();
            ticks += 1;
            if ticks % SWEEP_TICKS == 0 {
                servers.iter().for_each(|server| server.sweep());
            }
        }
    }
}
