//! Serves calls: as entry node for callers, and as gatekeeper of the local target.

use crate::settings::Listen;
use crate::shared::Shared;
use async_executor::Executor;
use async_io::Async;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::call::Note;
use sycamore_core::config::ServiceLimits;
use sycamore_core::{Code, Fault, Name, Result};

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
    Async::<TcpListener>::bind(address)
        .map_err(|e| Fault::new(Code::ListenFailed).with_place(address).with_detail(e))
}

/// A handle on the call path of this node.
#[derive(Clone, Debug)]
pub struct Calls {
    shared: Arc<Shared>,
}

/// Starts serving calls on `executor`.
pub fn start(
    shared: Arc<Shared>,
    _listeners: Listeners,
    _executor: Arc<Executor<'static>>,
) -> Calls {
    Calls { shared }
}

impl Calls {
    /// Takes a note that another node's call path sent to this one.
    pub fn take_note(&self, _from: &Name, _note: Note) {}

    /// Tells the call path that the version in force or the states of VMs have changed.
    pub fn view_changed(&self) {}

    /// Longest planned stop of the local target's service.
    pub fn drain_limit(&self) -> Duration {
        let in_force = self.shared.in_force();
        let limits = in_force.as_ref().and_then(|snapshot| {
            let target = snapshot.target_on(&self.shared.settings.vm)?;
            let service = snapshot.target(target).service;
            Some(snapshot.service(service).limits.clone())
        });
        let limits: ServiceLimits = limits.unwrap_or_default();
        Duration::from_millis(limits.drain_ms.into())
    }
}
