//! Messages between nodes.

use crate::Name;
use crate::call::Note;
use crate::config::{InForce, ResourceId};
use crate::hash::Hash;
use crate::member::{Member, VmState};
use crate::place::Place;
use bytes::Bytes;
use std::sync::Arc;

data! {
    /// A version by name and content.
    pub struct Summary {
        /// Version, preset and digest of the preset's body.
        pub in_force: InForce,
        /// Digest of the manifest of the whole version. Two nodes that hold one version under two
        /// digests have found a fault.
        pub manifest_digest: Hash,
        /// How long ago the store answered the sender, in milliseconds; absent if the sender does
        /// not read it.
        pub store_age_ms: Option<u32>,
    }

    /// What a node says of its own VM.
    pub struct StateReport {
        /// The VM.
        pub vm: Name,
        /// Start of the node's process in microseconds since the Unix epoch: a later start
        /// replaces whatever was said before.
        pub incarnation: u64,
        /// State of the VM.
        pub state: VmState,
    }

    /// The VMs of one zone as the platform listed them.
    pub struct ZoneList {
        /// The zone.
        pub place: Place,
        /// The platform's index of the list; a higher one is newer.
        pub index: u64,
        /// The VMs.
        pub vms: Vec<Member>,
    }

    /// Which list of a zone a node holds.
    pub struct ListMark {
        /// The zone.
        pub zone: Name,
        /// The platform's index of the list; zero if none is held.
        pub index: u64,
    }

    /// All zones, as the platform listed them.
    pub struct ZonesList {
        /// The platform's index of the key `zones`.
        pub index: u64,
        /// Every zone.
        pub zones: Vec<Place>,
    }

    /// A question about versions; answered by [`Pong`].
    pub struct Ping {
        /// Comes back with the answer.
        pub seq: u32,
        /// Why it is asked.
        pub kind: PingKind,
        /// The asking node's own word.
        pub report: StateReport,
        /// The version in force on the asking node.
        pub have: Option<Summary>,
        /// Index of the asking node's list of zones; zero if it holds none.
        pub zones: u64,
        /// Lists of VMs that the asking node keeps; `None` to leave lists aside this time.
        pub lists: Option<Vec<ListMark>>,
    }

    /// Answer to a [`Ping`].
    pub struct Pong {
        /// From the question.
        pub seq: u32,
        /// Whether the answering node will send notices to the asking one.
        pub attached: bool,
        /// Nodes between the answering one and a reader, plus one; zero for a reader,
        /// [`NO_PATH`](super::limits::NO_PATH) for a node without a parent.
        pub hops: u8,
        /// The answering node's own word.
        pub report: StateReport,
        /// The version in force on the answering node.
        pub have: Option<Summary>,
        /// The newest version that the asking node's VM has confirmed to the answering node, maybe
        /// before a restart.
        pub floor: Option<InForce>,
        /// Words that have changed of late, for a peer that missed them.
        pub reports: Vec<StateReport>,
    }

    /// Asks for a version, as a difference from one that is held.
    pub struct Pull {
        /// The version wanted; a newer one will do.
        pub version: u64,
        /// What is held.
        pub base: Option<Base>,
        /// Services wanted; `None` for all.
        pub scope: Option<Vec<Name>>,
    }

    /// A version that a node holds within its scope.
    pub struct Base {
        /// The version.
        pub version: u64,
        /// Digest of the manifest of what is held.
        pub digest: Hash,
    }

    /// A version, as a difference from one that the receiver holds.
    pub struct Delta {
        /// The version.
        pub summary: Summary,
        /// The base that it changes; `None` if it holds everything in scope.
        pub base: Option<Base>,
        /// Resources added or changed, with their content.
        pub changed: Vec<(ResourceId, Bytes)>,
        /// Resources that are no longer there.
        pub removed: Vec<ResourceId>,
        /// Digest of the manifest of the result within the scope.
        pub digest: Hash,
    }

    /// A message from one node to another.
    pub enum PeerMsg {
        /// Asks for the version in force.
        Ping(Box<Ping>),
        /// Answers a ping.
        Pong(Box<Pong>),
        /// Tells an attached node of a version in force.
        Notice(Box<Summary>),
        /// Asks for the content of a version.
        Pull(Box<Pull>),
        /// Content of a version; shared, so that it is encoded once for many receivers.
        Delta(Arc<Delta>),
        /// The answer to a pull that can't be met: the newest version that could be.
        Missing(u64),
        /// Changes of VM states.
        StateReports(Vec<StateReport>),
        /// Lists of VMs that are newer than the receiver's.
        Lists(Vec<Arc<ZoneList>>),
        /// The list of zones, newer than the receiver's.
        Zones(Arc<ZonesList>),
        /// A note between call paths.
        Note(Note),
    }
}

kebab_enum! {
    /// Why a node asks another.
    pub enum PingKind {
        /// It has started and knows nothing.
        Join,
        /// It wants notices, now and until it has been silent for a while.
        Attach,
        /// It compares versions with a random peer.
        Compare,
    }
}
