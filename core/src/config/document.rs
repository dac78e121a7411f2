//! JSON documents published by operators.

use crate::hash::Hash;
use crate::{Name, place::Place};
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Maximum size of a platform value in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

json! {
    /// Body of the key `preset/<name>`.
    pub struct Preset {
        /// Must match the name in the key.
        pub name: Name,
        /// Services by name.
        #[serde(with = "serde_with::rust::maps_duplicate_key_is_error")]
        pub services: IndexMap<Name, Service>,
        /// Routes by name.
        #[serde(with = "serde_with::rust::maps_duplicate_key_is_error")]
        pub routes: IndexMap<Name, Route>,
        /// Additional keys holding further services and routes of this preset, for presets that
        /// exceed the maximum value size.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub parts: Vec<PartRef>,
    }

    /// Reference to an additional key of a preset.
    pub struct PartRef {
        /// The key, for example `part/ordinary-07`.
        pub key: Name,
        /// Digest of the key's value. Detects a value that was read while a publish was in
        /// progress.
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

    /// A service, its limits and its targets.
    pub struct Service {
        /// Limits applied to each target of the service.
        #[serde(default)]
        pub limits: ServiceLimits,
        /// The targets, at most one per VM.
        pub targets: Vec<Target>,
    }

    /// A backend of a service, colocated with a node on its VM.
    pub struct Target {
        /// VM that the target and its node run on.
        pub vm: Name,
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Address on which the VM's node accepts forwarded calls.
        pub gate: SocketAddr,
        /// Address on which the VM's node accepts messages from peers.
        pub peers: SocketAddr,
        /// Incarnation ID of the target process, assigned by the target. A different target that
        /// has taken over the address has another ID and rejects the request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub incarnation: Option<Name>,
        /// When the target's process started, in milliseconds since the Unix epoch. A process that
        /// restarts may keep its incarnation ID.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub started_ms: Option<u64>,
        /// Maximum concurrent requests of this target. Defaults to the limit of its service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub slots: Option<u32>,
        /// Whether the target is draining: it finishes in-flight requests and accepts no new ones.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub leaving: bool,
        /// Whether the target's zone is evacuated: running requests finish, no new ones are sent.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub evacuated: bool,
        /// Whether the target has reported that its caches are cold.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub cold: bool,
    }

    /// Limits of each target of a service. Times are in milliseconds.
    #[serde(default)]
    pub struct ServiceLimits {
        /// Maximum concurrent requests per target; 1 to 10,000.
        pub slots: u32,
        /// Maximum connections per target; at least `slots`, at most 10,000.
        pub connections: u32,
        /// Maximum requests queued for a slot per target; 0 to 100,000.
        pub queue: u32,
        /// Maximum queueing time; 1 to 60,000 ms.
        pub queue_wait_ms: u32,
        /// Retry budget as a percentage of recent first attempts; 0 to 100 %.
        pub retry_budget_percent: u32,
        /// Additional retries allowed fleet-wide in any ten-second window. If absent, each node
        /// maintains its own budget. At most 100,000.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub retry_reserve: Option<u32>,
        /// Slow-start period during which a new target receives less than its full share of
        /// requests; 0 to 600,000 ms.
        pub warm_up_ms: u32,
        /// Maximum share of a target's slots that bulk requests may occupy; 1 to 100 %.
        pub bulk_share_percent: u32,
        /// Drain timeout of a planned shutdown; requests still running when it expires are
        /// aborted. 1,000 to 3,600,000 ms.
        pub drain_ms: u32,
        /// How long a target is cold after its start; 0 to 600,000 ms.
        pub cold_ms: u32,
        /// Maximum requests that a cold target is sent in any second; not limited if 0. At most
        /// 100,000.
        pub cold_starts: u32,
        /// Path at which a target reports for how long it stays cold. Not requested if absent.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub health_path: Option<String>,
    }

    /// A routing rule that maps requests to a service.
    pub struct Route {
        /// Path prefix to match, at a `/` boundary. The longest matching prefix wins.
        pub path_prefix: String,
        /// Host to match, in lowercase. With a port, only requests that name it match. Matches any
        /// host if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub host: Option<String>,
        /// The service that handles the requests.
        pub service: Name,
        /// Weighted traffic split. If not empty, it must include `service`; if empty, `service`
        /// receives all requests. If all weights are 0, the route is closed.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub split: Vec<WeightedService>,
        /// Whether a request may be executed more than once. If false, it is executed at most once.
        pub idempotent: bool,
        /// How duplicates of non-idempotent requests are detected.
        #[serde(default)]
        pub once: AtMostOnceMode,
        /// Priority class for admission of queued requests.
        #[serde(default)]
        pub class: Class,
        /// Priority within a class; lower values are admitted first.
        #[serde(default)]
        pub rank: u8,
        /// Latency objective; 1 to 600,000 ms.
        #[serde(default = "default_objective_ms")]
        pub objective_ms: u32,
        /// Default and maximum deadline of a request; 1 to 600,000 ms.
        #[serde(default = "default_deadline_ms")]
        pub deadline_ms: u32,
        /// Maximum attempts per request, including the first; 1 to 10.
        #[serde(default = "default_max_attempts")]
        pub max_attempts: u32,
        /// Additional gatekeepers to try, beyond `max_attempts`, after rejections that did not
        /// consume target capacity. Includes the gatekeeper at which the request is finally queued.
        /// 0 to 10.
        #[serde(default)]
        pub spare_forwards: u32,
        /// Maximum request body size; 0 to 1,073,741,824 bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: u64,
        /// Regions in which requests may run and their bodies be held; any if empty.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub regions: Vec<Name>,
    }
}

json! {
    /// Weight of a service in the traffic split of a route.
    pub struct WeightedService {
        pub service: Name,
        /// Weight relative to the sum of all weights of the route; 1 to 1,000,000.
        pub weight: u32,
    }
}

impl Route {
    /// Whether requests of this route may run in `region`.
    pub fn allows_region(&self, region: &Name) -> bool {
        allows_region(&self.regions, region)
    }

    /// Whether the route admits no requests: all weights of its split are 0.
    pub fn is_closed(&self) -> bool {
        !self.split.is_empty() && self.split.iter().all(|part| part.weight == 0)
    }
}

/// Whether `regions`, the regions of a route, include `region`. An empty list includes all.
pub fn allows_region(regions: &[Name], region: &Name) -> bool {
    regions.is_empty() || regions.contains(region)
}

impl Target {
    /// Whether the target accepts new requests, according to the configuration.
    pub fn accepts_requests(&self) -> bool {
        !self.leaving && !self.evacuated
    }

    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }
}

kebab_enum! {
    /// Admission priority class of a route.
    #[derive(Default)]
    pub enum Class {
        /// Internal lookups on which other requests depend; admitted first.
        Gating,
        /// Requests with a waiting caller.
        #[default]
        Interactive,
        /// Large transfers; admitted last and limited to a share of the slots.
        Bulk,
    }
}

impl Class {
    /// Label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Class::Gating => "gating",
            Class::Interactive => "interactive",
            Class::Bulk => "bulk",
        }
    }
}

kebab_enum! {
    /// How duplicates of a non-idempotent request are detected.
    #[derive(Default)]
    pub enum AtMostOnceMode {
        /// By `Idempotency-Key`: the request can be retried with the same key and is executed at
        /// most once.
        #[default]
        Key,
        /// Not detected: the request is not retried once it may have been executed.
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
            cold_ms: 0,
            cold_starts: 0,
            health_path: None,
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
