//! The call path of a node: the entry node that accepts requests from callers, and the gatekeeper
//! of the local target.

pub mod body;
pub mod carried;
pub mod conn_state;
pub mod dialect;
pub mod entry;
pub mod gate;
pub mod headers;
pub mod link_use;
pub mod pacer;
pub mod pool;
pub mod readiness;
pub mod response_end;
pub mod response_head;
pub mod serve;
pub mod socket;
pub mod trace;
pub mod unknown_headers;
pub mod unsent;

use crate::settings::Listen;
use crate::shared::Shared;
use async_executor::Executor;
use async_io::Async;
use entry::EntryAdapter;
use gate::GateAdapter;
use parking_lot::Mutex;
use serve::{Adapter, Server};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::call::gatekeeper::TICK;
use sycamore_core::call::{Members, Note, StopPlan};
use sycamore_core::config::{ServiceLimits, Snapshot};
use sycamore_core::hash::rendezvous_score;
use sycamore_core::{Code, Fault, Name, Result, Time};

/// Number of ticks between checks for expired connection timeouts.
const SWEEP_INTERVAL_TICKS: u32 = 2;

/// Backlog of the listening sockets. Sized for many callers reconnecting at once: a SYN that does
/// not fit is dropped and retransmitted only a second later.
const LISTEN_BACKLOG: i32 = 4_096;

/// The listening sockets of the call path.
#[derive(Debug)]
pub struct Listeners {
    /// Requests from callers and from the local target.
    pub calls: Async<TcpListener>,
    /// Requests forwarded by other nodes.
    pub gate: Async<TcpListener>,
}

impl Listeners {
    pub fn bind(listen: &Listen) -> Result<Listeners> {
        Ok(Listeners { calls: bind(listen.calls)?, gate: bind(listen.gate)? })
    }
}

pub fn bind(address: std::net::SocketAddr) -> Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address);
    let listening = listener.and_then(|listener| {
        // The standard library sets its own backlog; listening again replaces it.
        rustix::net::listen(&listener, LISTEN_BACKLOG)?;
        Ok(listener)
    });
    listening.map_err(|e| Fault::new(Code::ListenFailed).with_location(address).with_detail(e))
}

/// Handle to the call path of this node.
#[derive(Clone, Debug)]
pub struct Calls {
    shared: Arc<Shared>,
    entry: Arc<EntryAdapter>,
    gate: Arc<GateAdapter>,
    applied: Arc<Mutex<AppliedView>>,
}

/// The snapshot and the VM states last passed to the state machines.
#[derive(Debug, Default)]
struct AppliedView {
    snapshot: Option<Arc<Snapshot>>,
    members: Option<Arc<Members>>,
}

pub fn start(shared: Arc<Shared>, listeners: Listeners, executor: Arc<Executor<'static>>) -> Calls {
    // Differs between nodes and between restarts.
    let seed = rendezvous_score(shared.settings.vm.as_bytes(), &shared.clock.now().0.to_le_bytes());
    let entry = Arc::new(EntryAdapter::new(shared.clone(), &executor, seed));
    let gate = Arc::new(GateAdapter::new(shared.clone(), &executor, seed));
    let applied = Arc::new(Mutex::new(AppliedView::default()));
    let calls = Calls { shared: shared.clone(), entry: entry.clone(), gate: gate.clone(), applied };
    calls.view_changed();
    let caller_server = Server::new(shared.clone(), executor.clone(), Adapter::Entry(entry));
    let node_server = Server::new(shared, executor.clone(), Adapter::Gate(gate));
    executor.spawn(caller_server.clone().accept(listeners.calls)).detach();
    executor.spawn(node_server.clone().accept(listeners.gate)).detach();
    executor.spawn(calls.clone().run_ticks(vec![caller_server, node_server])).detach();
    calls
}

impl Calls {
    /// Handles a note sent by another node's call path.
    pub fn take_note(&self, from: &Name, note: Note) {
        self.gate.take_note(from, &note);
    }

    /// Applies a change of the version in force or of the VM states.
    pub fn view_changed(&self) {
        let mut applied = self.applied.lock();
        let members = self.shared.members();
        if applied.members.as_ref().is_none_or(|known| !Arc::ptr_eq(known, &members)) {
            self.entry.set_members(&members);
            self.gate.set_members(&members);
            applied.members = Some(members);
        }
        let Some(snapshot) = self.shared.in_force() else {
            return;
        };
        if applied.snapshot.as_ref().is_none_or(|known| !Arc::ptr_eq(known, &snapshot)) {
            // The gatekeeper first, so that it releases keys before they are routed to another
            // home.
            self.gate.configure(&snapshot);
            self.entry.configure(&snapshot);
            applied.snapshot = Some(snapshot);
        }
    }

    /// Reports that the platform or peers confirmed the version in force as the newest. After a
    /// clock gap, requests that may run only once wait for this.
    pub fn confirmed(&self) {
        self.gate.confirm();
    }

    /// Plans the graceful shutdown that started at `started`, by the shortest limits that have been
    /// in force since.
    pub fn plan_stop(&self, started: Time) -> StopPlan {
        let limits: ServiceLimits = self.shared.own_limits().unwrap_or_default();
        let drain_limit = Duration::from_millis(limits.drain_ms.into());
        let kill_after = self.shared.settings.limits.stop_timeout_s;
        let kill_after = kill_after.map(|timeout| Duration::from_millis(timeout.ms));
        let plan = StopPlan::new(started, drain_limit, kill_after);
        let plan = self.shared.stop_plan().map_or(plan, |earlier| plan.or_earlier(earlier));
        if self.shared.set_stop_plan(plan) {
            self.gate.stop(plan);
            self.entry.stop(plan);
        }
        plan
    }

    /// Sends ticks to the state machines and closes connections that exceeded a timeout.
    async fn run_ticks(self, servers: Vec<Arc<Server>>) {
        let mut ticks = 0;
        loop {
            self.shared.clock.sleep(TICK).await;
            self.view_changed();
            self.gate.tick();
            self.entry.sweep();
            ticks += 1;
            if ticks % SWEEP_INTERVAL_TICKS == 0 {
                servers.iter().for_each(|server| server.sweep());
            }
        }
    }
}
