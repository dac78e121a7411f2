//! What the decider takes in and gives out.

use super::nested;
use crate::call::Note;
use crate::call::note::OutgoingNote;
use crate::config::{Preset, Snapshot};
use crate::event::Event;
use crate::place::{Link, Place};
use crate::spread::{Peer, PeerMsg};
use crate::{Code, Fault, Name, Time};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

data! {
    /// What the decider is told at its making.
    pub struct Config {
        /// Where the node is.
        pub place: Place,
        /// Address on which the node takes messages from peers.
        pub address: SocketAddr,
        /// What the VM's link takes, in kilobits a second; absent if that is not known to be
        /// little.
        pub link_kbps: Option<u64>,
        /// Time within which a change must be in force after the store has acknowledged it.
        pub change_bound: Duration,
        /// Peers to ask after a start while the store is silent.
        pub seeds: Vec<SocketAddr>,
        /// Port of every node's gatekeeper.
        pub gate_port: u16,
        /// Port on which every node takes messages from peers.
        pub peers_port: u16,
    }

    /// A version as the store holds it: services without targets.
    pub struct Publication {
        /// The version; a higher one replaces the one in force.
        pub version: u64,
        /// Services and routes.
        pub preset: Preset,
    }

    /// What a target says of itself in the store.
    pub struct TargetEntry {
        /// The service that it runs.
        pub service: Name,
        /// Its own address. The node beside it has the same IP.
        pub address: SocketAddr,
        /// Where its VM is.
        pub place: Place,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: TargetState,
        /// Start of its process, in milliseconds since the Unix epoch by its own clock.
        pub started_ms: u64,
        /// Rises with each entry that one process writes.
        pub sequence: u64,
    }
}

kebab_enum! {
    /// Whether a target takes new work.
    pub enum TargetState {
        /// It does.
        Ready,
        /// It finishes what it has.
        Draining,
    }
}

data! {
    /// A call to the store.
    pub struct Call {
        /// Comes back with the reply.
        pub id: u64,
        /// What is asked.
        pub request: Request,
        /// When the call is given up.
        pub timeout: Duration,
    }

    /// How the store is read.
    pub enum Request {
        /// A page of what is there.
        List {
            /// The key that the page before ended with.
            after: Option<String>,
            /// Whether the page may be seconds old, which costs the store less.
            stale: bool,
        },
        /// The entries that have changed, at once.
        Entries {
            /// The revision from which on changes are wanted.
            revision: u64,
        },
        /// The document in force.
        Document,
        /// What has changed, as soon as something has.
        Watch {
            /// The revision from which on changes are wanted.
            revision: u64,
            /// Longest wait for a change.
            wait: Duration,
        },
    }

    /// What a call brought.
    pub struct Reply {
        /// The store's revision.
        pub revision: u64,
        /// What is there, or what has changed, in order.
        pub changes: Vec<Change>,
        /// Where the next page of a list begins, if there is one.
        pub next: Option<String>,
    }

    /// One item of a reply.
    pub enum Change {
        /// A publication, or why it can't be read.
        Published(Result<Arc<Publication>, Fault>),
        /// A target's entry; `None` if it can't be read and names no target.
        Target {
            /// The target's own name for its present run.
            id: Name,
            /// What it says.
            entry: Option<TargetEntry>,
        },
        /// A target's entry was removed.
        Removed {
            /// The target's own name for its present run.
            id: Name,
        },
    }

    /// Why a call brought nothing.
    pub enum ReadError {
        /// The changes since the revision are no longer kept.
        HistoryGone,
        /// The store did not answer, or refused.
        Failed(Code),
    }
}

impl Publication {
    /// A version with these services and routes; the routes of nested calls are marked.
    pub fn new(version: u64, mut preset: Preset) -> Publication {
        nested::mark_gating_routes(&mut preset);
        Publication { version, preset }
    }
}

/// What comes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// The process has started.
    Start,
    /// A call to the store has ended.
    Reply {
        /// The call.
        id: u64,
        /// What it brought.
        result: Result<Reply, ReadError>,
    },
    /// A message from another node.
    Peer {
        /// The sender.
        from: Peer,
        /// The message.
        msg: PeerMsg,
    },
    /// The call path has a note for another node.
    Note(OutgoingNote),
    /// The process beside this gatekeeper could not be reached, or its connection broke.
    PeerLost(SocketAddr),
    /// Other peers are to be asked after a start.
    Seeds(Vec<SocketAddr>),
    /// The process is about to stop.
    Leaving,
    /// The time of the last [`Output::WakeAt`] has come.
    Wake,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Call the store.
    Read(Call),
    /// Send a message to another node.
    Send {
        /// Its address for messages.
        to: SocketAddr,
        /// The link to it, for counting.
        link: Link,
        /// The message.
        msg: PeerMsg,
    },
    /// Give the call path a note from another node.
    Note {
        /// VM of the sender.
        from: Name,
        /// The note.
        note: Note,
    },
    /// Put a snapshot into force.
    InForce(Arc<Snapshot>),
    /// Show a refusal to operators.
    Refused(Fault),
    /// Record a change of state.
    Event(Event),
    /// Show operators what is known.
    Status(Status),
    /// Come back at this time.
    WakeAt(Time),
}

data! {
    /// What operators see.
    pub struct Status {
        /// The newest version held.
        pub newest: u64,
        /// Whether the store answered the last call.
        pub store_answers: Option<bool>,
    }
}
