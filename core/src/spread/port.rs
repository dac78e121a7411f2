//! Inputs and outputs of [`Spread`](super::Spread).

use super::message::PeerMsg;
use crate::Time;
use crate::call::note::OutgoingNote;
use crate::config::Snapshot;
use crate::event::Event;
use crate::member::VmState;
use crate::place::{Link, Place};
use crate::status::Role;
use crate::{Code, Fault, Name};
use bytes::Bytes;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

data! {
    /// Static configuration of a node.
    pub struct Config {
        pub vm: Name,
        pub place: Place,
        /// Address on which the node receives messages from peers.
        pub address: SocketAddr,
        /// Addresses of peers to ask when joining; may be empty.
        pub seeds: Vec<SocketAddr>,
        /// Services whose routes the node needs; `None` for all.
        pub scope: Option<Vec<Name>>,
        /// Region of the platform. Its readers fetch bodies on behalf of other regions. If `None`,
        /// a region is chosen by hash.
        pub platform_region: Option<Name>,
        /// Maximum number of VMs in the fleet; determines the interval between platform calls.
        pub fleet_vms: u32,
        /// Maximum wait for peers when joining.
        pub first_configuration: Duration,
    }

    /// A node as a messaging endpoint.
    #[derive(Hash)]
    pub struct Peer {
        pub vm: Name,
        pub place: Place,
        /// Address on which the node receives messages.
        pub address: SocketAddr,
    }
}

key! {
    /// Correlates a reply with its call.
    pub struct CallId(pub u64);
}

data! {
    /// A call to the platform: `GET /v1/kv/<key>`, blocking if `index` is above zero.
    pub struct SourceCall {
        pub id: CallId,
        pub key: Name,
        /// The call blocks until the key's index exceeds this; zero to return immediately.
        pub index: u64,
        /// Maximum time to block.
        pub wait: Duration,
    }

    /// The platform's response to a call.
    pub struct SourceValue {
        /// Index at which the key last changed.
        pub index: u64,
        /// `None` if the key does not exist.
        pub body: Option<Bytes>,
    }

    /// The outcome of a call to the platform.
    pub struct SourceReply {
        pub id: CallId,
        /// The value, or [`Code::SourceUnreachable`], [`Code::SourceInvalid`] or
        /// [`Code::SourceOverLimit`].
        pub result: std::result::Result<SourceValue, Code>,
    }

    /// An event for the state machine.
    pub enum Input {
        /// The process has started.
        Start,
        /// The time of the latest [`Output::WakeAt`] has been reached.
        Wake,
        /// A call to the platform has finished.
        Source(SourceReply),
        /// A message was received.
        Peer {
            from: Peer,
            msg: PeerMsg,
        },
        /// A message could not be sent, or the connection to a peer failed.
        PeerFailed {
            to: SocketAddr,
        },
        /// The call path sends a note.
        Note(OutgoingNote),
        /// A planned shutdown has begun.
        Stop,
    }

    /// An action for the adapter.
    pub enum Output {
        /// Make a call to the platform.
        ReadSource(SourceCall),
        /// Cancel a call to the platform; its reply is no longer needed.
        DropSource(CallId),
        /// Send a message.
        Send {
            to: SocketAddr,
            /// Class of the link, for metrics.
            link: Link,
            msg: PeerMsg,
        },
        /// Deliver a note from another node to the local call path.
        Note {
            /// VM of the sender.
            from: Name,
            note: crate::call::Note,
        },
        /// Put this version into force.
        InForce(Arc<Snapshot>),
        /// The VMs known not to be live; all others count as live.
        Members(IndexMap<Name, VmState>),
        /// The state shown on `/status` has changed.
        View(View),
        /// The version in force is at least as new as that of a peer asked since the start or the
        /// last clock gap.
        Confirmed,
        /// Record an event.
        Event(Event),
        /// Report a rejected version.
        Rejected(Fault),
        /// Deliver [`Input::Wake`] at this time; replaces the previous time.
        WakeAt(Time),
    }

    /// State shown on `/status`.
    pub struct View {
        /// The newest version announced by any source.
        pub newest_heard: u64,
        pub role: Role,
        /// The peer that the latest version was received from, or `platform`.
        pub parent: Option<Name>,
        /// Whether the platform responded to the last call; `None` before the first call.
        pub platform_reachable: Option<bool>,
        /// Whether a peer has answered since the start or the last clock gap. If not, the version
        /// in force may be older than the one before the restart.
        pub confirmed: bool,
    }
}
