//! What the entry node's decider takes in and gives out.

use crate::call::{CallKey, Load, Members, Outcome, RequestKey, Runs, Terms};
use crate::config::Snapshot;
use crate::{Code, Name, Time};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

data! {
    /// A request as the adapter has read its head.
    pub struct Arrival<'a> {
        /// The call.
        pub call: CallKey,
        /// Host without a port, in lower case; empty if there is none.
        pub host: &'a str,
        /// Path without query.
        pub path: &'a str,
        /// The `Idempotency-Key`.
        pub key: Option<RequestKey>,
        /// Time that the caller gives; absent for the route's.
        pub time_left: Option<Duration>,
        /// Nodes passed as entry node before this one.
        pub depth: u8,
        /// Size of the body, if stated.
        pub body_bytes: Option<u64>,
        /// What the target on this VM runs: one of these runs makes the call if it is nested.
        pub own_runs: Runs,
    }

    /// What comes in.
    pub enum Input<'a> {
        /// A version came into force.
        Configure(Arc<Snapshot>),
        /// The states of VMs changed.
        View(Arc<Members>),
        /// The planned stop starts.
        Drain,
        /// A request came.
        Arrive(Arrival<'a>),
        /// An attempt has come to something.
        Attempt {
            /// The call.
            call: CallKey,
            /// What it came to.
            end: AttemptEnd,
            /// Whether the request can be sent again: nothing of its body has been used up.
            replayable: bool,
        },
        /// No answer has begun within the patience of the [`Forward`].
        HedgeDue(CallKey),
        /// The first attempt is over; its hedge is the only one from now on.
        PrimaryEnded {
            /// The call.
            call: CallKey,
            /// What it came to.
            end: AttemptEnd,
        },
        /// The hedge is over; the first attempt goes on.
        HedgeEnded {
            /// The call.
            call: CallKey,
            /// What it came to; `None` if it was given up because the first was answered.
            end: Option<AttemptEnd>,
        },
        /// The answer's body has ended, or the caller went away, or the deadline cut it.
        Close(CallKey),
        /// The deadline has passed and no answer has begun.
        Expire {
            /// The call.
            call: CallKey,
            /// Whether a byte of the present attempt may have left.
            sent: bool,
        },
    }

    /// What an attempt came to.
    pub enum AttemptEnd {
        /// The answer begins. From here on nothing is sent again.
        ResponseStarted {
            /// The target's load.
            load: Option<Load>,
            /// How long the request waited for a slot.
            waited: Duration,
        },
        /// The answer begins, and is a failure of the target's own. It is passed on unless the
        /// request is sent again.
        ErrorResponseStarted {
            /// The target's load.
            load: Option<Load>,
        },
        /// The gatekeeper says that the request did not run.
        Refused {
            /// Why.
            code: Code,
            /// When to come back.
            retry_after: Duration,
            /// The target's load.
            load: Option<Load>,
            /// Crashes that the request is suspected of.
            crashes: u32,
        },
        /// The gatekeeper says that the target may have run the request.
        Failed {
            /// Why.
            code: Code,
            /// Crashes that the request is suspected of.
            crashes: u32,
        },
        /// No byte left for the gatekeeper.
        NotSent,
        /// The connection to the gatekeeper broke after a byte left, or its answer was rubbish.
        ConnectionLost,
        /// It was given up, since its hedge was answered first.
        LostToHedge,
    }

    /// What is to be done.
    pub enum Output {
        /// Forward the request.
        Forward(Forward),
        /// Tell the caller that there is no answer.
        Finish {
            /// The call.
            call: CallKey,
            /// What to say.
            outcome: Outcome,
        },
    }

    /// What was known of a target when it was chosen.
    #[derive(Default)]
    pub struct Reason {
        /// Time expected to the answer, the load counted in.
        pub expected: Duration,
        /// The load that its gatekeeper reported last, and when.
        pub load: Option<(Load, Time)>,
    }

    /// One attempt.
    pub struct Forward {
        /// The call.
        pub call: CallKey,
        /// Attempt, from 1.
        pub attempt: u32,
        /// VM of the target.
        pub vm: Name,
        /// Address of its gatekeeper.
        pub gate: SocketAddr,
        /// The run of the target's process that is meant, if it is known.
        pub incarnation: Option<Name>,
        /// What the route says of the request.
        pub terms: Terms,
        /// Why this target was chosen.
        pub reason: Reason,
        /// When the caller stops waiting.
        pub deadline: Time,
        /// After how many milliseconds to ask by [`Input::HedgeDue`] for a hedge; absent if there can be
        /// none.
        pub hedge_delay_ms: Option<u32>,
        /// Crashes that the request is suspected of.
        pub crashes: u32,
        /// Largest body of the request.
        pub max_body_bytes: u64,
    }
}

impl<'a> Arrival<'a> {
    /// A caller's request without a key, a stated time or a body.
    pub fn new(call: CallKey, host: &'a str, path: &'a str) -> Arrival<'a> {
        Arrival {
            call,
            host,
            path,
            key: None,
            time_left: None,
            depth: 0,
            body_bytes: None,
            own_runs: Runs::default(),
        }
    }
}
