//! Inputs and outputs of the entry node's state machine.

use crate::call::TargetProcess;
use crate::call::{
    CallKey, Load, Members, Outcome, RateLimit, RequestKey, Runs, Statement, StopPlan, Terms,
};
use crate::config::Snapshot;
use crate::{Code, Name, Time};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

data! {
    /// A request whose head has been parsed by the adapter.
    pub struct Arrival<'a> {
        pub call: CallKey,
        /// Lowercase host without port. Empty if absent.
        pub host: &'a str,
        /// Path without the query string.
        pub path: &'a str,
        /// Value of the `Idempotency-Key` header.
        pub key: Option<RequestKey>,
        /// Timeout sent by the caller. Defaults to the deadline of the route.
        pub timeout: Option<Duration>,
        /// Number of entry nodes that the call passed before this one.
        pub depth: u8,
        /// Size of the body, if the head states it.
        pub body_bytes: Option<u64>,
        /// Running requests of the local target, one of which makes the call if it is nested. Used
        /// to count nested calls of repeated requests as retries.
        pub own_runs: Runs,
    }

    pub enum Input<'a> {
        /// A new configuration version takes effect.
        Configure(Arc<Snapshot>),
        /// The membership view changed.
        View(Arc<Members>),
        /// A planned shutdown begins.
        Drain,
        /// The process exits by this plan. Calls are still accepted if they fit.
        Stop(StopPlan),
        Arrive(Arrival<'a>),
        /// An attempt ended, or its response started.
        Attempt {
            call: CallKey,
            end: AttemptEnd,
            /// Whether the request can be sent again because its body has not been consumed.
            replayable: bool,
        },
        /// No response started within the hedge delay of the [`Forward`], or within twice the
        /// previous delay if no hedge was sent then.
        HedgeDue(CallKey),
        /// The primary attempt ended. Its hedge becomes the only attempt.
        PrimaryEnded {
            call: CallKey,
            end: AttemptEnd,
        },
        /// The hedge ended. The primary attempt continues.
        HedgeEnded {
            call: CallKey,
            /// `None` if the hedge was cancelled because the primary received a response.
            end: Option<AttemptEnd>,
        },
        /// A gatekeeper responded with what its target states.
        Stated {
            vm: &'a Name,
            /// Process of the target that the request was sent to.
            process: &'a TargetProcess,
            /// Whether the target itself responded.
            answered: bool,
            statement: Statement,
        },
        /// The response body is complete, the caller disconnected, or the deadline interrupted it.
        Close(CallKey),
        /// The deadline passed, or the time of [`StopPlan::answer_by`], before a response started.
        Expire {
            call: CallKey,
            /// Whether any byte of the current attempt may have been sent.
            sent: bool,
        },
    }

    /// Result of an attempt: a response started, or the attempt ended without one.
    pub enum AttemptEnd {
        /// The response started. The request is not retried from here on.
        ResponseStarted {
            load: Option<Load>,
            /// Time spent queued for a slot.
            waited: Duration,
        },
        /// An error response from the target started. It is forwarded to the caller unless the
        /// request is retried.
        ErrorResponseStarted {
            load: Option<Load>,
        },
        /// The gatekeeper reported that the request did not run.
        Rejected {
            code: Code,
            retry_after: Duration,
            load: Option<Load>,
            /// Crashes attributed to the request.
            crashes: u32,
        },
        /// The gatekeeper reported that the target may have run the request.
        Failed {
            code: Code,
            /// Crashes attributed to the request.
            crashes: u32,
        },
        /// No byte was sent to the gatekeeper.
        NotSent,
        /// The connection to the gatekeeper broke after a byte was sent, or the response was
        /// invalid.
        ConnectionLost,
        /// The attempt was cancelled because its hedge received a response first.
        LostToHedge,
    }

    pub enum Output {
        Forward(Forward),
        /// Report to the caller that there is no response.
        Finish {
            call: CallKey,
            outcome: Outcome,
        },
    }

    /// What is known of the selected target at the time of the attempt.
    #[derive(Default)]
    pub struct TargetEstimate {
        /// Expected response time, scaled by the load and the failure rate of the target.
        pub expected: Duration,
        /// Last load reported by the gatekeeper, and when it was received.
        pub load: Option<(Load, Time)>,
        /// Its rate limit. Sent with the request, as a gatekeeper that has just started may not know
        /// it.
        pub known_limit: Option<RateLimit>,
        /// Delay in milliseconds after which the adapter sends [`super::RecallInput::Due`] unless a
        /// response has started. Absent if the attempt must not be recalled.
        pub recall_delay_ms: Option<u32>,
    }

    /// An attempt to be sent to a gatekeeper.
    pub struct Forward {
        pub call: CallKey,
        /// Attempt number, starting at 1.
        pub attempt: u32,
        pub vm: Name,
        /// Address of the target's gatekeeper.
        pub gatekeeper: SocketAddr,
        /// Expected process of the target.
        pub process: TargetProcess,
        pub terms: Terms,
        pub estimate: Box<TargetEstimate>,
        /// When the adapter stops waiting for a response.
        pub deadline: Time,
        /// Delay in milliseconds after which the adapter sends [`Input::HedgeDue`] unless a response
        /// has started. Absent if the attempt must not be hedged.
        pub hedge_delay_ms: Option<u32>,
        /// Crashes attributed to the request.
        pub crashes: u32,
        pub max_body_bytes: u64,
    }
}

impl<'a> Arrival<'a> {
    /// Creates a top-level request without key, timeout and body length.
    pub fn new(call: CallKey, host: &'a str, path: &'a str) -> Arrival<'a> {
        Arrival {
            call,
            host,
            path,
            key: None,
            timeout: None,
            depth: 0,
            body_bytes: None,
            own_runs: Runs::default(),
        }
    }
}
