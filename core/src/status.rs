//! What a node says of itself on `/status`.

use crate::config::InForce;
use crate::event::Event;
use crate::{Name, Time};

kebab_enum! {
    /// What a node does for the spread of versions.
    pub enum Role {
        /// Reads the platform for its region.
        RegionReader,
        /// Takes versions from the region's readers for its zone.
        ZoneRelay,
        /// Passes versions on within its zone.
        Relay,
        /// Only takes versions.
        Leaf,
    }
}

lenient_json! {
    /// Body of `GET /status` on the admin port.
    pub struct Status {
        /// VM that the node runs on.
        pub vm: Name,
        /// Region of the VM.
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Time of the answer by this node's clock, in microseconds since the Unix epoch.
        pub now: Time,
        /// When the process started.
        pub started: Time,
        /// The version in force on this node; null before the first.
        pub in_force: Option<InForce>,
        /// When that version came into force on this node.
        pub in_force_since: Option<Time>,
        /// The newest version that this node has heard of.
        pub newest_heard: u64,
        /// The last version refused and why, as the text of a numbered fault.
        pub last_refusal: Option<String>,
        /// What the node does for the spread.
        pub role: Role,
        /// The peer or `platform` that the last version came from.
        pub parent: Option<Name>,
        /// Whether the platform answered this node's last call; null if it made none.
        pub platform_answers: Option<bool>,
        /// Whether a peer has been asked about the version in force since the start or the last
        /// pause. If not, it may be older than the one before.
        #[serde(default)]
        pub confirmed: bool,
        /// Whether the node takes calls.
        pub ready: bool,
        /// Whether the node takes no new work.
        pub draining: bool,
        /// Calls being served: as the caller's first node, and at the local target.
        pub calls_open: u64,
    }

    /// Body of `GET /events` on the admin port.
    pub struct Events {
        /// VM that the node runs on.
        pub vm: Name,
        /// Region of the VM.
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Time of the answer by this node's clock, with which a reader corrects clock skew.
        pub now: Time,
        /// When the process started; tells two processes of one VM apart.
        pub started: Time,
        /// Events that no longer fitted.
        pub dropped: u64,
        /// The last events, oldest first.
        pub events: Vec<Event>,
    }
}
