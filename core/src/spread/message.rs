//! Messages between nodes.

use crate::Name;
use crate::call::Note;
use crate::config::{InForce, ResourceId};
use crate::hash::Hash;
use crate::member::{Member, VmState};
use crate::place::Place;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

data! {
    /// Identifies a version and its content.
    pub struct Summary {
        pub in_force: InForce,
        /// Digest of the manifest of the full version. Different digests for the same publication
        /// indicate altered content.
        pub manifest_digest: Hash,
        /// Time since the store last responded to the sender, in milliseconds; absent if the sender
        /// does not read the store. In a full state, to the node that the state comes from; absent
        /// if that is unknown.
        pub store_age_ms: Option<u32>,
        /// Revision of the store up to which the sender knows all targets; 0 if unknown.
        pub store_revision: u64,
    }

    /// What a state owes to the store.
    #[derive(Copy, Default)]
    pub struct StoreMark {
        /// Time since the store last responded; `None` if unknown.
        pub age: Option<Duration>,
        /// Revision up to which all targets are known; 0 if unknown.
        pub revision: u64,
    }

    /// The state of a VM as reported by its own node.
    pub struct StateReport {
        pub vm: Name,
        /// Start time of the node's process in microseconds since the Unix epoch, or above that of an
        /// earlier process that peers still report. A higher incarnation supersedes a lower one.
        pub incarnation: u64,
        pub state: VmState,
    }
    pub struct ZoneList {
        pub place: Place,
        /// The platform's index of the list; a higher index is newer.
        pub index: u64,
        pub vms: Vec<Member>,
    }

    /// The version of a zone's VM list that a node holds.
    pub struct ListVersion {
        pub zone: Name,
        /// The platform's index of the list; zero if none is held.
        pub index: u64,
    }
    pub struct ZonesList {
        /// The platform's index of the key `zones`.
        pub index: u64,
        pub zones: Vec<Place>,
    }

    /// Exchanges versions and lists with a peer; answered by [`Pong`].
    pub struct Ping {
        /// Sequence number, echoed in the answer.
        pub seq: u32,
        pub kind: PingKind,
        /// The sender's own state.
        pub report: StateReport,
        /// The version in force on the sender.
        pub have: Option<Summary>,
        /// Index of the sender's list of zones; zero if it holds none.
        pub zones: u64,
        /// VM lists held or wanted by the sender; `None` to skip the exchange of lists.
        pub lists: Option<Vec<ListVersion>>,
    }
    pub struct Pong {
        /// Sequence number of the [`Ping`].
        pub seq: u32,
        /// Whether the sender accepts the receiver as a child and will send it notices.
        pub attached: bool,
        /// The sender's distance to a reader: zero for a reader,
        /// [`NO_PATH`](super::limits::NO_PATH) without a path to one.
        pub hops: u8,
        /// The sender's own state.
        pub report: StateReport,
        /// The version in force on the sender.
        pub have: Option<Summary>,
        /// The newest version that the receiver's VM has confirmed to the sender, possibly before a
        /// restart.
        pub floor: Option<InForce>,
        /// Recently changed VM states, for receivers that missed them.
        pub reports: Vec<StateReport>,
    }

    /// Requests a version, preferably as a delta from a held one.
    pub struct Pull {
        /// The minimum version requested.
        pub version: u64,
        /// The content held by the sender.
        pub base: Option<Base>,
        /// Requested services; `None` for all.
        pub scope: Option<Vec<Name>>,
    }

    /// The content a node holds within its scope.
    pub struct Base {
        pub version: u64,
        /// Digest of the manifest of the held content.
        pub digest: Hash,
    }

    /// A version, as a delta from one the receiver holds or in full.
    pub struct Delta {
        pub summary: Summary,
        /// The base of the delta; `None` if it contains all resources in scope.
        pub base: Option<Base>,
        /// Resources added or changed.
        pub changed: Vec<(ResourceId, Bytes)>,
        pub removed: Vec<ResourceId>,
        /// Digest of the manifest of the resulting content.
        pub digest: Hash,
    }
    pub enum PeerMsg {
        Ping(Box<Ping>),
        Pong(Box<Pong>),
        /// Announces a version in force.
        Notice(Box<Summary>),
        Pull(Box<Pull>),
        /// Content of a version, shared so that it is encoded once for many receivers.
        Delta(Arc<Delta>),
        /// Answer to a [`Pull`] that cannot be served, with the version in force on the sender.
        Missing(u64),
        /// Changed VM states.
        StateReports(Vec<StateReport>),
        /// VM lists newer than the receiver's.
        Lists(Vec<Arc<ZoneList>>),
        /// A list of zones newer than the receiver's.
        Zones(Arc<ZonesList>),
        /// A message between call paths.
        Note(Note),
    }
}

kebab_enum! {
    /// The reason for a [`Ping`].
    pub enum PingKind {
        /// The node has started, or resumed after a pause, and asks for the current version.
        Join,
        /// The sender attaches to the receiver as a child or renews its lease.
        Attach,
        /// The sender compares versions and lists.
        Compare,
    }
}

impl Delta {
    /// Uncompressed size of the resources in bytes.
    pub fn size(&self) -> usize {
        self.changed.iter().map(|(_, body)| body.len()).sum()
    }
}

impl StateReport {
    /// Whether this report about the same VM is the later one.
    pub fn supersedes(&self, other: &StateReport) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

impl Summary {
    pub fn set_store_mark(&mut self, mark: StoreMark) {
        let ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        self.store_age_ms = mark.age.map(ms);
        self.store_revision = mark.revision;
    }
}
