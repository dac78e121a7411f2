//! The path of a call: routing, load balancing, admission, retries and outcomes.
//!
//! Two state machines make the decisions: [`Entry`] on the node that the caller connects to, and
//! [`Gatekeeper`] on the node next to the target. See docs/design/calls.md for the design.

pub mod admit;
pub mod balance;
pub mod budget;
pub mod caller_waits;
pub mod depth;
pub mod entry;
pub mod evidence;
pub mod gatekeeper;
pub mod home;
pub mod link;
pub mod note;
pub mod once;
pub mod pace;
pub mod policy;
pub mod quarantine;
pub mod recall;
pub mod recent_sum;
pub mod runs;
pub mod split;
pub mod stated;
pub mod stop;

pub use entry::Entry;
pub use evidence::Evidence;
pub use gatekeeper::Gatekeeper;
pub use note::Note;
pub use pace::Pace;
pub use policy::Policy;
pub use recall::{AttemptId, RecallAnswer, RecallReply};
pub use runs::Runs;
pub use stated::{RateLimit, StatedLimit, Statement, TargetProcess, TargetStatements, WorkPace};
pub use stop::StopPlan;

use crate::Code;
use crate::config::validate::MAX_SLOTS;
use crate::config::{AtMostOnceMode, Class};
use crate::member::VmState;
use crate::{Name, Time};
use indexmap::IndexMap;
use std::time::Duration;
use uuid::Uuid;

/// Maximum clock difference between any two machines, callers included. A key created further in
/// the future is rejected, and the outcome of requests within this span of a restart is treated as
/// unknown.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Longest deadline that a route can configure (docs/CONFIGURATION.md).
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// How long a key can be used after its creation, and how long its record is kept. Exceeds the
/// longest deadline plus the clock skew on both sides.
pub const KEY_LIFETIME: Duration = Duration::from_secs(660);

/// Maximum number of entry nodes in a chain of nested calls.
pub const MAX_DEPTH: u8 = 16;

/// Bounds of the `Retry-After` sent to callers.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// VM states by name. A VM that is not listed counts as live.
pub type Members = IndexMap<Name, VmState>;

key! {
    /// Identifies a call within one state machine. Assigned by the adapter and never reused.
    pub struct CallKey(pub u64);

    /// The `Idempotency-Key` of a request: a version 7 UUID, split into two halves.
    pub struct RequestKey {
        /// Upper half, which starts with the creation timestamp.
        pub high: u64,
        /// Lower half, which is random.
        pub low: u64,
    }

    /// Identifies repeated requests for quarantine: a hash of the route, the method, the path, and
    /// the body or key.
    #[serde(transparent)]
    pub struct Fingerprint(pub u64);

    /// Load of a target, reported by its gatekeeper with every response.
    pub struct Load {
        /// Requests being processed by the target.
        pub in_flight: u32,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Requests waiting for a slot.
        pub queued: u32,
        /// Expected wait of a new request, in milliseconds.
        pub wait_ms: u32,
        /// Usual run time by class (gating, interactive, bulk), in milliseconds. 0 if none has run.
        pub run_ms: [u32; 3],
        pub pace: Pace,
        /// Expected wait of a new bulk request for slots and link, in milliseconds. Only reported
        /// where requests are parked, since nodes of earlier versions can't read it.
        pub bulk_wait_ms: Option<u32>,
    }
}

data! {
    /// How a call ended for its caller.
    #[derive(Copy)]
    pub enum Outcome {
        /// The complete response was sent.
        Answered,
        /// No target received any byte of the request.
        NotRun {
            code: Code,
            retry_after: Duration,
        },
        /// A target may have run the request.
        Unknown {
            code: Code,
        },
    }
}

data! {
    /// Request attributes derived from the route. The entry node sends them to the gatekeeper,
    /// which may hold a different configuration version.
    pub struct Terms {
        pub service: Name,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// How duplicates are detected if the request is not idempotent.
        pub once: AtMostOnceMode,
        /// Priority class for admission.
        pub class: Class,
        /// Priority within the class.
        pub rank: u8,
        /// Time by which a response is most useful to the caller.
        pub objective: Time,
        /// Whether the request may be queued past the objective because no other target accepts it.
        pub may_exceed_objective: bool,
        /// Whether this is a retry, or a nested call of a run that is itself a retry.
        pub repeat: bool,
        /// Regions in which the request may run; any if empty.
        pub regions: Vec<Name>,
    }
}

impl Terms {
    /// Whether the request is deduplicated by its key, so that only the key's home may run it.
    pub fn is_keyed(&self) -> bool {
        !self.idempotent && self.once == AtMostOnceMode::Key
    }
}

impl Outcome {
    /// Builds a rejection, clamping `retry_after` to the allowed range.
    pub fn not_run(code: Code, retry_after: Duration) -> Outcome {
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Outcome::NotRun { code, retry_after }
    }
}

impl RequestKey {
    /// Parses a key. Returns `None` unless it is a version 7 UUID.
    pub fn parse(buf: &[u8]) -> Option<RequestKey> {
        let uuid = Uuid::try_parse_ascii(buf).ok()?;
        (uuid.get_version_num() == 7).then(|| RequestKey::new(uuid))
    }

    pub fn new(uuid: Uuid) -> RequestKey {
        let (high, low) = uuid.as_u64_pair();
        RequestKey { high, low }
    }

    /// Creation time, according to the client's clock.
    pub fn created_at(self) -> Time {
        Time::from_millis(self.high >> 16)
    }

    /// Input of the rendezvous hash.
    pub fn to_bytes(self) -> [u8; 16] {
        Uuid::from_u64_pair(self.high, self.low).into_bytes()
    }
}

impl Fingerprint {
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let fold =
            |seed: u64, part: &&[u8]| crate::hash::rendezvous_score(&seed.to_le_bytes(), part);
        Fingerprint(parts.iter().fold(0, fold))
    }
}

impl Load {
    /// Parses the header format
    /// `in_flight/slots/queued/wait_ms/gating/interactive/bulk/pace/bulk_wait_ms`, where three
    /// numbers are run times. Nodes of earlier versions send the first four or eight numbers only,
    /// and nodes that park no requests the first eight. Further numbers are ignored.
    pub fn parse(text: &str) -> Option<Load> {
        let parts = text.split('/').map(|part| part.trim().parse::<u32>());
        let numbers: Vec<u32> = parts.collect::<Result<_, _>>().ok()?;
        let (run_ms, pace) = match *numbers {
            [_, _, _, _] => ([0; 3], Pace::USUAL),
            [_, _, _, _, gating, interactive, bulk, percent, ..] => {
                ([gating, interactive, bulk], Pace { percent })
            }
            _ => return None,
        };
        let &[in_flight, slots, queued, wait_ms, ..] = &numbers[..] else {
            return None;
        };
        let bulk_wait_ms = numbers.get(8).copied();
        let slots = slots.min(MAX_SLOTS);
        Some(Load { in_flight, slots, queued, wait_ms, run_ms, pace, bulk_wait_ms })
    }
}

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Load { in_flight, slots, queued, wait_ms, run_ms, pace, bulk_wait_ms } = self;
        let [gating, interactive, bulk] = run_ms;
        write!(f, "{in_flight}/{slots}/{queued}/{wait_ms}/{gating}/{interactive}/{bulk}/")?;
        write!(f, "{}", pace.percent)?;
        match bulk_wait_ms {
            Some(wait) => write!(f, "/{wait}"),
            None => Ok(()),
        }
    }
}
