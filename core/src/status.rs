//! Response bodies of the admin endpoints `/status` and `/events`.

use crate::config::InForce;
use crate::event::Event;
use crate::{Name, Time};

kebab_enum! {
    /// Role of a node in version distribution.
    pub enum Role {
        /// Reads the platform on behalf of its region.
        RegionReader,
        /// Fetches versions from the region's readers on behalf of its zone.
        ZoneRelay,
        /// Forwards versions within its zone.
        Relay,
        /// Receives versions without forwarding them.
        Leaf,
    }
}

lenient_json! {
    /// Body of `GET /status` on the admin port.
    pub struct Status {
        /// VM that the node runs on.
        pub vm: Name,
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Response time by this node's clock, in microseconds since the Unix epoch.
        pub now: Time,
        /// Start time of the process.
        pub started: Time,
        /// The version in force on this node; null if there is none yet.
        pub in_force: Option<InForce>,
        /// When that version was put into force on this node.
        pub in_force_since: Option<Time>,
        /// The newest version known to this node, whether or not it is in force.
        pub newest_heard: u64,
        /// Error text of the most recent version rejection.
        pub last_refusal: Option<String>,
        pub role: Role,
        /// Source of the last version: a peer, or `platform`.
        pub parent: Option<Name>,
        /// Whether the node's last call to the platform succeeded; null if it has made none.
        pub platform_answers: Option<bool>,
        /// Whether a peer has confirmed the version in force since the process started or was last
        /// suspended. If false, a newer version may already have been in force on this VM.
        #[serde(default)]
        pub confirmed: bool,
        /// Whether the node accepts calls.
        pub ready: bool,
        /// Whether the node is draining and rejects new work.
        pub draining: bool,
        /// Calls in flight, both as entry node and at the local target.
        pub calls_open: u64,
    }

    /// Body of `GET /events` on the admin port.
    pub struct Events {
        /// VM that the node runs on.
        pub vm: Name,
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Response time by this node's clock; lets clients correct for clock skew.
        pub now: Time,
        /// Start time of the process; distinguishes successive processes on one VM.
        pub started: Time,
        /// Number of events evicted from the buffer.
        pub dropped: u64,
        /// The most recent events, oldest first.
        pub events: Vec<Event>,
    }
}
