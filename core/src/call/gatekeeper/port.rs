//! What the gatekeeper's decider takes in and gives out.

use crate::call::note::{Note, OutgoingNote};
use crate::call::once::CachedResponse;
use crate::call::{CallKey, Fingerprint, Members, Outcome, RequestKey, Terms};
use crate::config::Snapshot;
use crate::event::EventKind;
use crate::hash::Hash;
use crate::{Code, Name, Time};
use std::sync::Arc;

data! {
    /// A request as the adapter has read it.
    pub struct Arrival<'a> {
        /// The call.
        pub call: CallKey,
        /// Host without a port, in lower case; empty if there is none.
        pub host: &'a str,
        /// Path without query.
        pub path: &'a str,
        /// What the entry node's route says; absent from a node that does not tell.
        pub terms: Option<Terms>,
        /// The `Idempotency-Key`.
        pub key: Option<RequestKey>,
        /// Digest over method, path and body: equal for the same request. Absent if the body is
        /// too large to be held.
        pub digest: Option<Hash>,
        /// The same for the quarantine.
        pub fingerprint: Fingerprint,
        /// Crashes that the entry node knows of.
        pub crashes: u32,
        /// Calls that wait for this one: 0 for a caller's own request.
        pub depth: u8,
        /// When its caller stops waiting.
        pub deadline: Time,
    }

    /// What comes in.
    pub enum Input<'a> {
        /// A version came into force.
        Configure(Arc<Snapshot>),
        /// The states of VMs changed.
        View(Arc<Members>),
        /// Peers or the platform confirmed that the version in force is the newest.
        Confirm,
        /// The planned stop starts.
        Drain,
        /// A request came.
        Arrive(Arrival<'a>),
        /// A waiting request's time is up.
        Expire(CallKey),
        /// The caller of a waiting request went away. It was not forwarded, even if a slot was
        /// given to it meanwhile.
        Withdraw(CallKey),
        /// A running request ended.
        End {
            /// The call.
            call: CallKey,
            /// How.
            end: End,
        },
        /// The last byte of an answer that was read whole has left, or nobody wants it any more.
        ResponseSent(CallKey),
        /// Another gatekeeper says something.
        Note {
            /// VM of the sender.
            from: &'a Name,
            /// What it says.
            note: &'a Note,
        },
        /// Time passes.
        Tick,
    }

    /// How a running request ended.
    pub enum End {
        /// The whole answer came; `kept` if it may be asked for again.
        Answered {
            /// The answer, of a request with a key.
            kept: Option<Arc<CachedResponse>>,
        },
        /// The whole answer has been read from the target, and some of it has not left yet;
        /// [`Input::ResponseSent`] says when it has.
        ResponseRead {
            /// Bytes that have not left.
            unsent: u64,
        },
        /// No byte of it left for the target.
        NotSent,
        /// The target says that it has not run the request, and why.
        Rejected(Code),
        /// The connection to the target broke after a byte may have left.
        Broken {
            /// Whether the target takes no more connections.
            target_gone: bool,
        },
        /// It was cancelled, at its deadline or because the caller went away.
        Cancelled,
    }

    /// What is to be done.
    pub enum Output {
        /// Forward the request to the target now.
        Run {
            /// The call.
            call: CallKey,
            /// Whether it runs only once: its answer is kept, and it isn't cancelled when its
            /// caller goes away.
            once: bool,
        },
        /// Let the request wait, at most until this time.
        Queue(CallKey, Time),
        /// Give the kept answer.
        Replay(CallKey, Arc<CachedResponse>),
        /// Tell the entry node that there is no answer.
        Refuse {
            /// The call.
            call: CallKey,
            /// What to say.
            outcome: Outcome,
            /// Crashes that the request is suspected of.
            crashes: u32,
        },
        /// Send a note.
        Send(OutgoingNote),
        /// Record a change of state.
        Record(EventKind),
    }
}
