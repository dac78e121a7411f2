//! Inputs and outputs of the gatekeeper.

use crate::call::admit::ColdChange;
use crate::call::note::{Note, OutgoingNote};
use crate::call::once::CachedResponse;
use crate::call::{
    AttemptId, CallKey, Fingerprint, Members, Outcome, RateLimit, RequestKey, Statement, StopPlan,
    Terms,
};
use crate::config::Snapshot;
use crate::event::EventKind;
use crate::hash::Hash;
use crate::{Code, Name, Time};
use std::sync::Arc;
use std::time::Duration;

data! {
    /// A request as read by the adapter.
    pub struct Arrival<'a> {
        pub call: CallKey,
        /// Host in lower case, without port; empty if absent.
        pub host: &'a str,
        /// Path without query string.
        pub path: &'a str,
        /// Route attributes sent by the entry node; absent if it sends none.
        pub terms: Option<Terms>,
        /// Value of the `Idempotency-Key` header.
        pub key: Option<RequestKey>,
        /// Digest of method, path and body, to recognize a repeated request. Absent if the body is
        /// too large to buffer.
        pub digest: Option<Hash>,
        /// Identifies repetitions of the request, to quarantine it if it crashes targets.
        pub fingerprint: Fingerprint,
        /// Crashes attributed to the request, as reported by the entry node.
        pub crashes: u32,
        /// Nesting depth: the number of calls waiting for this one. 0 for a top-level request.
        pub depth: u8,
        /// Time at which the caller stops waiting.
        pub deadline: Time,
        /// Until when the target may work, if the entry node stops.
        pub run_by: Option<Time>,
        /// Rate limit of the target, if the entry node knows one.
        pub known_limit: Option<RateLimit>,
    }

    /// An input of the gatekeeper.
    pub enum Input<'a> {
        /// A new configuration version takes effect.
        Configure(Arc<Snapshot>),
        /// The membership view changed.
        View(Arc<Members>),
        /// Peers or the platform have confirmed that the configuration version in
        /// force is the newest.
        Confirm,
        /// The planned shutdown has started.
        Drain,
        /// The process exits by this plan. Requests are still accepted if they fit.
        Stop(StopPlan),
        /// A request has arrived.
        Arrive(Arrival<'a>),
        /// Like [`Input::Arrive`], from an entry node that may recall the attempt.
        ArriveAttempt {
            attempt: AttemptId,
            arrival: Arrival<'a>,
        },
        /// No connection to the target is available for a running request. Until
        /// [`Input::Connected`] it can be recalled, expire and be withdrawn like a queued one.
        Connecting(CallKey),
        /// A connection is available, or the request is sent a while after its start was counted. It
        /// must not be sent unless [`Output::Run`] follows.
        Connected(CallKey),
        /// The maximum wait of a queued request, or of one without a connection, has passed.
        Expire(CallKey),
        /// The caller of such a request has disconnected. The request was not forwarded, even if
        /// it has been assigned a slot in the meantime.
        Withdraw(CallKey),
        /// A running request has ended.
        End {
            call: CallKey,
            end: RunEnd,
        },
        /// The last byte of a completely read response has been sent, or the caller has
        /// disconnected.
        ResponseSent(CallKey),
        /// A message from another gatekeeper has arrived.
        Note {
            /// The sender's VM.
            from: &'a Name,
            note: &'a Note,
        },
        /// The head of the target's response to a running request has arrived.
        Stated {
            call: CallKey,
            /// Whether the target ran the request.
            ran: bool,
            statement: Statement,
        },
        /// The target has responded to [`Output::Probe`].
        Probed {
            /// For how long it stays cold; zero if it is warm, `None` if it does not say.
            cold_left: Option<Duration>,
            statement: Statement,
        },
        /// The target's address refuses connections, also that of [`Output::Probe`].
        ProbeRefused,
        /// Periodic timer.
        Tick,
    }

    /// How a running request ended.
    pub enum RunEnd {
        /// The complete response has been received.
        Answered {
            /// The response to cache, if the request has a key.
            cached: Option<Arc<CachedResponse>>,
        },
        /// The complete response has been read from the target but not sent to the caller yet;
        /// [`Input::ResponseSent`] follows.
        ResponseRead {
            /// Bytes not sent yet.
            unsent: u64,
        },
        /// No byte of the request was sent to the target.
        NotSent,
        /// The target reports that it has not run the request, with the reason.
        Rejected(Code),
        /// The connection to the target failed after a byte may have been sent. If the target accepts
        /// connections, no part of a response was received.
        Broken {
            /// Whether the target accepts no more connections.
            target_gone: bool,
        },
        /// The target, which accepts connections, has sent a response that is incomplete, not valid
        /// or to another request.
        BrokenResponse,
        /// The request was cancelled, at its deadline or because the caller disconnected.
        Cancelled,
    }

    /// An action for the adapter.
    pub enum Output {
        /// Forward the request to the target now.
        Run {
            call: CallKey,
            /// Whether the request must run at most once. If so, the adapter caches the response and
            /// does not cancel the request if the caller disconnects.
            once: bool,
        },
        /// Queue the request, at most until this time.
        Queue(CallKey, Time),
        /// Send the cached response.
        Replay(CallKey, Arc<CachedResponse>),
        /// Reject the request.
        Reject {
            call: CallKey,
            /// The outcome to report to the entry node.
            outcome: Outcome,
            /// Number of crashes attributed to the request.
            crashes: u32,
        },
        /// Ask the target for how long it stays cold.
        Probe,
        /// Send a message to another gatekeeper.
        Send(OutgoingNote),
        /// Record a state change event.
        Record(EventKind),
        /// Record that the target counts as cold, or no longer does.
        RecordCold(ColdChange),
    }
}

impl RunEnd {
    /// Whether the target may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self, RunEnd::NotSent | RunEnd::Rejected(_))
    }
}
