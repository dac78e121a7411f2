//! The path of a call: routing, balance, admission, retries and outcomes.
//!
//! Two deciders: [`Entry`] at the node that a caller connects to, and [`Gatekeeper`] at the node
//! beside the target. docs/design/calls.md says why each rule holds and what was weighed.

pub mod admit;
pub mod balance;
pub mod budget;
pub mod depth;
pub mod entry;
pub mod gatekeeper;
pub mod home;
pub mod link;
pub mod note;
pub mod once;
pub mod patience;
pub mod policy;
pub mod quarantine;
pub mod runs;
pub mod split;

pub use entry::Entry;
pub use gatekeeper::Gatekeeper;
pub use note::Note;
pub use policy::Policy;
pub use runs::Runs;

use crate::Code;
use crate::config::{Class, OnceBy};
use crate::member::VmState;
use crate::{Name, Time};
use indexmap::IndexMap;
use std::time::Duration;
use uuid::Uuid;

/// Most that the clocks of two machines differ, callers included. A key minted further in the
/// future is refused, and what happened within this span of a restart counts as unknown.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Longest deadline that a route can have (docs/CONFIGURATION.md).
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// How long a key can be used after it was minted, and how long its record is kept: longer than
/// any deadline with the skew on both sides.
pub const KEY_LIFETIME: Duration = Duration::from_secs(660);

/// Nodes that a call may pass as entry node; one above the deepest chain in use.
pub const MAX_DEPTH: u8 = 16;

/// Shortest and longest time after which a caller is told to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// See [`MIN_RETRY_AFTER`].
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// States of VMs by name; a VM not named counts as live.
pub type Members = IndexMap<Name, VmState>;

key! {
    /// A call at one decider; the adapter numbers them and never uses a number twice.
    pub struct CallKey(pub u64);

    /// The `Idempotency-Key` of a request: a UUID of version 7, as two halves.
    pub struct RequestKey {
        /// The half that begins with the time of its making.
        pub high: u64,
        /// The random half.
        pub low: u64,
    }

    /// What makes two requests the same one for the quarantine: a hash over route, method, path
    /// and body or key.
    #[serde(transparent)]
    pub struct Fingerprint(pub u64);

    /// What a gatekeeper says of its target's load with each answer.
    pub struct Load {
        /// Requests that the target runs.
        pub in_flight: u32,
        /// Requests that it may run at once.
        pub slots: u32,
        /// Requests that wait for a slot.
        pub queued: u32,
        /// How long a caller's request would wait that comes now, in ms.
        pub wait_ms: u32,
    }
}

data! {
    /// How a call ended for its caller.
    #[derive(Copy)]
    pub enum Outcome {
        /// The whole answer went out.
        Answered,
        /// No target saw a byte of the request.
        NotRun {
            /// Why.
            code: Code,
            /// When to come back.
            retry_after: Duration,
        },
        /// A target may have run it.
        Unknown {
            /// Why.
            code: Code,
        },
    }
}

data! {
    /// What a route says of a request, as the entry node tells the gatekeeper, which may hold
    /// another version at that moment.
    pub struct Terms {
        /// The service that is to run it.
        pub service: Name,
        /// Whether it may be run more than once.
        pub idempotent: bool,
        /// How it is known if not.
        pub once: OnceBy,
        /// Order of admission.
        pub class: Class,
        /// Order within the class.
        pub rank: u8,
        /// When the time is over within which an answer is worth most.
        pub objective: Time,
        /// Whether it may wait beyond that, since no other target takes it.
        pub may_exceed_objective: bool,
        /// Whether it is work done once more: a target has had the request before, or a run that
        /// was itself a repeat makes this call.
        pub repeat: bool,
    }
}

impl Terms {
    /// Whether the request is known by its key, so that its home alone may run it.
    pub fn is_keyed(&self) -> bool {
        !self.idempotent && self.once == OnceBy::Key
    }
}

impl Outcome {
    /// A refusal that says when to come back, held within the allowed range.
    pub fn not_run(code: Code, retry_after: Duration) -> Outcome {
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Outcome::NotRun { code, retry_after }
    }
}

impl RequestKey {
    /// Reads a key. `None` if it is not a UUID of version 7.
    pub fn parse(buf: &[u8]) -> Option<RequestKey> {
        let uuid = Uuid::try_parse_ascii(buf).ok()?;
        (uuid.get_version_num() == 7).then(|| RequestKey::new(uuid))
    }

    /// The key of a UUID.
    pub fn new(uuid: Uuid) -> RequestKey {
        let (high, low) = uuid.as_u64_pair();
        RequestKey { high, low }
    }

    /// When the key was made, by the clock of its maker.
    pub fn created_at(self) -> Time {
        Time::from_millis(self.high >> 16)
    }

    /// The bytes that rendezvous hashing takes.
    pub fn to_bytes(self) -> [u8; 16] {
        Uuid::from_u64_pair(self.high, self.low).into_bytes()
    }
}

impl Fingerprint {
    /// The fingerprint of a request with these parts.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let fold =
            |seed: u64, part: &&[u8]| crate::hash::rendezvous_score(&seed.to_le_bytes(), part);
        Fingerprint(parts.iter().fold(0, fold))
    }
}

impl Load {
    /// The form that headers carry: `in_flight/slots/queued/wait_ms`.
    pub fn parse(text: &str) -> Option<Load> {
        let mut parts = text.split('/').map(|part| part.trim().parse::<u32>());
        let mut number = || parts.next()?.ok();
        let (in_flight, slots) = (number()?, number()?);
        let load = Load { in_flight, slots, queued: number()?, wait_ms: number()? };
        parts.next().is_none().then_some(load)
    }
}

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}/{}", self.in_flight, self.slots, self.queued, self.wait_ms)
    }
}
