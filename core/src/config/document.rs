//! The documents that operators publish, in JSON.

use crate::hash::Hash;
use crate::{Name, place::Place};
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Largest value that the platform holds, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

json! {
    /// Body of the key `preset/<name>`.
    pub struct Preset {
        /// Name of the preset; the same as in the key.
        pub name: Name,
        /// Services by name.
        #[serde(with = "serde_with::rust::maps_duplicate_key_is_error")]
        pub services: IndexMap<Name, Service>,
        /// Routes by name.
        #[serde(with = "serde_with::rust::maps_duplicate_key_is_error")]
        pub routes: IndexMap<Name, Route>,
        /// Further keys that hold more services and routes of this preset, for fleets whose
        /// preset is larger than one value.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub parts: Vec<PartRef>,
    }

    /// A further key that belongs to a preset.
    pub struct PartRef {
        /// The key, for example `part/ordinary-07`.
        pub key: Name,
        /// Digest of the key's value. A value read across a publish does not match it.
        pub digest: Hash,
    }

    /// Value of a key named by a [`PartRef`].
    pub struct Part {
        /// Services by name.
        #[serde(default, with = "serde_with::rust::maps_duplicate_key_is_error")]
        pub services: IndexMap<Name, Service>,
        /// Routes by name.
        #[serde(default, with = "serde_with::rust::maps_duplicate_key_is_error")]
        pub routes: IndexMap<Name, Route>,
    }

    /// A service: its limits and the targets that run it.
    pub struct Service {
        /// Limits that hold for each target of the service.
        #[serde(default)]
        pub limits: ServiceLimits,
        /// The targets, one a VM.
        pub targets: Vec<Target>,
    }

    /// A back end of a service, on a VM that also runs a node.
    pub struct Target {
        /// VM that the target and its node run on.
        pub vm: Name,
        /// Region of that VM.
        pub region: Name,
        /// Availability zone of that VM.
        pub zone: Name,
        /// Address on which that VM's node takes forwarded calls.
        pub gate: SocketAddr,
        /// Address on which that VM's node takes messages from peers.
        pub peers: SocketAddr,
        /// The run of the target's process that is meant, as it names itself. A target that
        /// took the address over has another one and rejects the request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub incarnation: Option<Name>,
        /// Requests that this target runs at once; absent for its service's limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub slots: Option<u32>,
        /// Whether it finishes what it has and takes no new work.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub leaving: bool,
    }

    /// Limits of each target of a service. Times are in milliseconds.
    #[serde(default)]
    pub struct ServiceLimits {
        /// Requests that one target runs at once; 1 to 10,000.
        pub slots: u32,
        /// Connections that one target takes; at least `slots`, at most 10,000.
        pub connections: u32,
        /// Requests that wait for a slot of one target; 0 to 100,000.
        pub queue: u32,
        /// Longest wait for a slot; 1 to 60,000 ms.
        pub queue_wait_ms: u32,
        /// Retries allowed, as a share of recent first attempts; 0 to 100 %.
        pub retry_budget_percent: u32,
        /// Retries that the whole fleet may make in any ten seconds beside that share; absent for
        /// a budget that each node keeps for itself. At most 100,000.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub retry_reserve: Option<u32>,
        /// How long a target that has just started gets less than its full share of work;
        /// 0 to 600,000 ms.
        pub warm_up_ms: u32,
        /// Most slots of a target that bulk requests may hold; 1 to 100 %.
        pub bulk_share_percent: u32,
        /// Longest planned stop: requests still running after it are cut; 1,000 to 3,600,000 ms.
        pub drain_ms: u32,
    }

    /// A route: which requests go to which service, and how.
    pub struct Route {
        /// Requests whose path starts with this, at a `/` boundary, take the route. The longest
        /// prefix wins.
        pub path_prefix: String,
        /// Host of the requests, in lower case and without a port; absent for any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub host: Option<String>,
        /// The service that answers.
        pub service: Name,
        /// Services that share the requests by weight, `service` among them; empty for `service`
        /// alone.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub split: Vec<Share>,
        /// Whether a request may be run more than once. If not, it runs at most once.
        pub idempotent: bool,
        /// What a request that runs at most once is known by.
        #[serde(default)]
        pub once: OnceBy,
        /// Order in which waiting requests are admitted.
        #[serde(default)]
        pub class: Class,
        /// Order within a class: a lower rank is admitted first.
        #[serde(default)]
        pub rank: u8,
        /// Time within which an answer is worth most to its caller; 1 to 600,000 ms.
        #[serde(default = "default_objective_ms")]
        pub objective_ms: u32,
        /// Time a caller is given when it states no deadline, and the most it may ask for;
        /// 1 to 600,000 ms.
        #[serde(default = "default_deadline_ms")]
        pub deadline_ms: u32,
        /// Attempts for one request, the first included; 1 to 10.
        #[serde(default = "default_max_attempts")]
        pub max_attempts: u32,
        /// Further gatekeepers that are asked, beside the attempts, after refusals that cost no
        /// target any work, the one at which the request waits in the end included; 0 to 10.
        #[serde(default)]
        pub spare_forwards: u32,
        /// Largest request body; 0 to 1,073,741,824 bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: u64,
    }
}

json! {
    /// A service's part of a route's requests.
    pub struct Share {
        /// The service.
        pub service: Name,
        /// Its part, compared with the sum over the route; 1 to 1,000,000.
        pub weight: u32,
    }
}

impl Target {
    /// Where the target's VM is.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }
}

kebab_enum! {
    /// Admission class of a route.
    #[derive(Default)]
    pub enum Class {
        /// Internal lookups that other work waits for; admitted first.
        Gating,
        /// A caller waits for the answer.
        #[default]
        Interactive,
        /// Large transfers; admitted last and held to a share of the slots.
        Bulk,
    }
}

impl Class {
    /// The name of the class in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Class::Gating => "gating",
            Class::Interactive => "interactive",
            Class::Bulk => "bulk",
        }
    }
}

kebab_enum! {
    /// How a request that runs at most once is told from others.
    #[derive(Default)]
    pub enum OnceBy {
        /// By its `Idempotency-Key`: it may be sent again with the key and still runs once.
        #[default]
        Key,
        /// By nothing: it is never sent again once it may have run.
        Attempt,
    }
}

impl Default for ServiceLimits {
    fn default() -> ServiceLimits {
        ServiceLimits {
            slots: 12,
            connections: 110,
            queue: 48,
            queue_wait_ms: 500,
            retry_budget_percent: 10,
            retry_reserve: None,
            warm_up_ms: 5_000,
            bulk_share_percent: 50,
            drain_ms: 60_000,
        }
    }
}

fn default_objective_ms() -> u32 {
    1_000
}

fn default_deadline_ms() -> u32 {
    2_000
}

fn default_max_attempts() -> u32 {
    3
}

fn default_max_body_bytes() -> u64 {
    1_048_576
}
