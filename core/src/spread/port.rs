//! What goes into and comes out of [`Spread`](super::Spread).

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
    /// What a node knows of itself before it starts.
    pub struct Config {
        /// VM that the node runs on.
        pub vm: Name,
        /// Where the VM is.
        pub place: Place,
        /// Address on which the node takes messages from peers.
        pub address: SocketAddr,
        /// Addresses of peers to ask first after a start; may be empty.
        pub seeds: Vec<SocketAddr>,
        /// Services whose routes the node needs; `None` for all.
        pub scope: Option<Vec<Name>>,
        /// Region that the platform stands in, whose readers read bodies for the others; `None`
        /// if not known, and then one region is taken by hash.
        pub platform_region: Option<Name>,
        /// Most VMs that the fleet may have; spreads the first calls to the platform.
        pub fleet_vms: u32,
        /// Longest wait after a start before peers that can't be asked are given up.
        pub first_configuration: Duration,
    }

    /// Another node, as the transport knows it.
    #[derive(Hash)]
    pub struct Peer {
        /// VM that the node runs on.
        pub vm: Name,
        /// Where that VM is.
        pub place: Place,
        /// Address on which the node takes messages.
        pub address: SocketAddr,
    }
}

key! {
    /// Matches a reply to its call.
    pub struct CallId(pub u64);
}

data! {
    /// A call to the platform: `GET /v1/kv/<key>`, blocking if `index` is above zero.
    pub struct SourceCall {
        /// Comes back with the reply.
        pub id: CallId,
        /// The key to read.
        pub key: Name,
        /// Answer once the key's index is above this; zero to answer at once.
        pub index: u64,
        /// Longest wait for such a change.
        pub wait: Duration,
    }

    /// What the platform answered.
    pub struct SourceValue {
        /// Index at which the key last changed.
        pub index: u64,
        /// The value; `None` if the key does not exist.
        pub body: Option<Bytes>,
    }

    /// The end of a call to the platform.
    pub struct SourceReply {
        /// The call that ended.
        pub id: CallId,
        /// The value, or [`Code::SourceUnreachable`], [`Code::SourceInvalid`] or
        /// [`Code::SourceOverLimit`].
        pub result: std::result::Result<SourceValue, Code>,
    }

    /// Something that happened.
    pub enum Input {
        /// The process has started.
        Start,
        /// The time of the last [`Output::WakeAt`] has come.
        Wake,
        /// A call to the platform has ended.
        Source(SourceReply),
        /// A message has come in.
        Peer {
            /// Who sent it.
            from: Peer,
            /// The message.
            msg: PeerMsg,
        },
        /// A message could not be sent, or the connection to a peer broke.
        PeerFailed {
            /// Address of the peer.
            to: SocketAddr,
        },
        /// The call path wants a note sent.
        Note(OutgoingNote),
        /// The planned stop has begun.
        Stop,
    }

    /// Something to be done.
    pub enum Output {
        /// Make this call to the platform.
        ReadSource(SourceCall),
        /// Give up a call to the platform; no reply is wanted any more.
        DropSource(CallId),
        /// Send a message.
        Send {
            /// Address of the peer.
            to: SocketAddr,
            /// Class of the link, for the counters.
            link: Link,
            /// The message.
            msg: PeerMsg,
        },
        /// A note from another node's call path, for this node's.
        Note {
            /// VM of the node that sent it.
            from: Name,
            /// The note.
            note: crate::call::Note,
        },
        /// Put this version into force.
        InForce(Arc<Snapshot>),
        /// The VMs that are known not to be live; all others count as live.
        Members(IndexMap<Name, VmState>),
        /// What `/status` shows has changed.
        View(View),
        /// A peer asked since the start or the last clock gap holds nothing newer than the version
        /// in force here.
        Confirmed,
        /// Record a change of state.
        Event(Event),
        /// A version was refused.
        Refused(Fault),
        /// Hand in [`Input::Wake`] at this time; replaces the time given before.
        WakeAt(Time),
    }

    /// What the spread shows on `/status`.
    pub struct View {
        /// The newest version heard of.
        pub newest_heard: u64,
        /// What this node does for the spread.
        pub role: Role,
        /// The peer, or `platform`, that the last version came from.
        pub parent: Option<Name>,
        /// Whether the platform answered the last call; `None` if there was none.
        pub platform_answers: Option<bool>,
        /// Whether a peer has been asked about the version in force since the start. If not, the
        /// version may be older than the one before the restart.
        pub confirmed: bool,
    }
}
