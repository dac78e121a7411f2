//! Input, output and configuration types of the discovery state machine.

use super::nested;
use crate::call::Note;
use crate::call::note::OutgoingNote;
use crate::config::validate::MAX_SLOTS;
use crate::config::{Preset, Route, Snapshot};
use crate::event::Event;
use crate::place::{Link, Place};
use crate::spread::{Peer, PeerMsg};
use crate::{Code, Fault, Name, Time};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

data! {
    /// Configuration of the state machine.
    pub struct Config {
        /// Location of the node.
        pub place: Place,
        /// Address on which the node receives messages from peers.
        pub address: SocketAddr,
        /// Bandwidth of the VM's link in kbit/s; absent if no limit is known.
        pub link_kbps: Option<u64>,
        /// Time within which a change must take effect after the store has acknowledged it.
        pub change_bound: Duration,
        /// Peers to request the state from after a start while the store is unavailable.
        pub seeds: Vec<SocketAddr>,
        /// Gatekeeper port, the same on every node.
        pub gate_port: u16,
        /// Peer message port, the same on every node.
        pub peers_port: u16,
    }

    /// A published version as stored: services without targets.
    pub struct Publication {
        /// Version number; a higher one replaces the current one.
        pub version: u64,
        pub preset: Preset,
    }

    /// The entry with which a target registers in the store.
    pub struct TargetEntry {
        pub service: Name,
        /// Address of the target. Its node has the same IP.
        pub address: SocketAddr,
        /// Location of its VM.
        pub place: Place,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        pub state: TargetState,
        /// Start of the process by the target's clock, in milliseconds since the Unix epoch. Tells
        /// processes apart, but not which is the later one: the clock may have been set back.
        pub started_ms: u64,
        /// Revision of the store at which the entry was written; from a peer, the one up to which
        /// the peer knows all targets. 0 if unknown.
        pub revision: u64,
        /// Whether the target reports that its caches are cold.
        pub cold: bool,
        /// Whether a peer reports the target's zone as evacuated. Never set by the target itself;
        /// see [`Change::Evacuation`].
        pub evacuated: bool,
    }
}

kebab_enum! {
    /// Whether a target accepts new requests.
    pub enum TargetState {
        /// Accepts new requests.
        Ready,
        /// Finishes running requests and accepts no new ones.
        Draining,
    }
}

data! {
    /// Call to the store.
    pub struct Call {
        /// Identifies the call in [`Input::Reply`].
        pub id: u64,
        pub request: Request,
        pub timeout: Duration,
        /// Size of the largest response to accept, in bytes as sent. A larger one ends the call with
        /// [`ReadError::TooLarge`], before it is transferred if its size is known.
        pub max_bytes: u64,
    }

    /// Operation of a store call.
    pub enum Request {
        /// Read one page of the list.
        List {
            /// Last key of the previous page.
            after: Option<String>,
            /// Whether a stale read is allowed, which is cheaper for the store but may be seconds
            /// old.
            stale: bool,
            /// Whether to read the targets without the document and the evacuated zones.
            targets_only: bool,
        },
        /// Read the changed entries without waiting.
        Entries {
            /// Revision from which on changes are returned.
            revision: u64,
        },
        /// Read the current document and the evacuated zones. The reply is complete: its changes replace
        /// the evacuated zones that are known.
        Document,
        /// Wait for changes.
        Watch {
            /// Revision from which on changes are returned.
            revision: u64,
            wait: Duration,
        },
    }

    /// Response to a call.
    pub struct Reply {
        /// Revision of the store.
        pub revision: u64,
        /// Listed items or changes, in order.
        pub changes: Vec<Change>,
        /// Key after which the next page begins, if there is one.
        pub next: Option<String>,
    }

    /// Item of a [`Reply`].
    pub enum Change {
        /// A published version, or the reason why it is invalid.
        Published(Result<Arc<Publication>, Fault>),
        /// A zone is evacuated, or no longer.
        Evacuation { zone: Name, active: bool },
        /// A target's entry was written.
        Target {
            /// Identifies one run of the target.
            id: Name,
            /// The entry; `None` if it is malformed. An implausible one counts as malformed.
            entry: Option<TargetEntry>,
        },
        /// A target's entry was removed.
        Removed {
            /// Identifies one run of the target.
            id: Name,
        },
    }

    /// Why a call failed.
    pub enum ReadError {
        /// The store has compacted the changes since the requested revision.
        HistoryGone,
        /// The response is larger than the call accepts.
        TooLarge,
        /// The store did not respond or rejected the call.
        Failed(Code),
    }
}

/// Assumed bandwidth of a link without a configured limit, in kbit/s.
const DEFAULT_LINK_KBPS: u64 = 1_000_000;

impl Config {
    /// Bandwidth of the VM's link in kbit/s.
    pub fn link_bandwidth(&self) -> u64 {
        self.link_kbps.unwrap_or(DEFAULT_LINK_KBPS)
    }
}

impl Request {
    /// Name of the kind of call, for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Request::List { .. } => "list",
            Request::Entries { .. } => "entries",
            Request::Document => "document",
            Request::Watch { .. } => "watch",
        }
    }
}

impl TargetEntry {
    /// Whether the entry can be that of a target. Any writer may have made it.
    pub fn is_plausible(&self) -> bool {
        let ip = self.address.ip();
        let reachable = self.address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast();
        reachable && (1..=MAX_SLOTS).contains(&self.slots)
    }
}

impl Publication {
    /// Creates a version and marks its routes that serve nested calls as gating.
    pub fn new(version: u64, mut preset: Preset) -> Publication {
        nested::mark_gating_routes(&mut preset);
        Publication { version, preset }
    }

    /// Estimated size of the document in the store, in bytes as transferred in Base64.
    pub fn transfer_bytes(&self) -> u64 {
        // A route as JSON, without its path and host.
        const ROUTE_BYTES: usize = 160;
        let size = |route: &Route| {
            ROUTE_BYTES + route.path_prefix.len() + route.host.as_ref().map_or(0, |host| host.len())
        };
        let bytes: usize = self.preset.routes.values().map(size).sum();
        bytes as u64 * 4 / 3
    }

    /// Stands for the state before the first version: version 0, without services and routes.
    pub fn none() -> Publication {
        let name = Name::from_static("none");
        let (services, routes) = (IndexMap::new(), IndexMap::new());
        let preset = Preset { name, services, routes, parts: Vec::new() };
        Publication { version: 0, preset }
    }
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process has started.
    Start,
    /// A store call has ended.
    Reply {
        /// Id of the call.
        id: u64,
        result: Result<Reply, ReadError>,
    },
    /// A message from another node.
    Peer { from: Peer, msg: PeerMsg },
    /// The call path has a note for another node.
    Note(OutgoingNote),
    /// The process of the node with this gatekeeper address is unreachable, or its connection
    /// broke.
    PeerLost(SocketAddr),
    /// The configured seeds have changed.
    Seeds(Vec<SocketAddr>),
    /// The process is about to stop.
    Leaving,
    /// The time of the last [`Output::WakeAt`] has come.
    Wake,
}

/// Output of the state machine, executed by the adapter.
#[derive(Clone, Debug)]
pub enum Output {
    /// Call the store.
    Read(Call),
    /// Send a message to another node.
    Send {
        /// Peer address of the recipient.
        to: SocketAddr,
        /// Kind of link to the recipient, for traffic metrics.
        link: Link,
        msg: PeerMsg,
    },
    /// Pass a note from another node to the call path.
    Note {
        /// VM of the sender.
        from: Name,
        note: Note,
    },
    /// Make a snapshot the current one.
    InForce(Arc<Snapshot>),
    /// Report rejected data to operators.
    Rejected(Fault),
    /// Record an event.
    Event(Event),
    /// Update the status shown to operators.
    Status(Status),
    /// Send [`Input::Wake`] at this time.
    WakeAt(Time),
}

data! {
    /// Status shown to operators.
    pub struct Status {
        /// Newest known version.
        pub newest: u64,
        /// Whether the store responded to the last call; `None` before the first call ends.
        pub store_reachable: Option<bool>,
    }
}
