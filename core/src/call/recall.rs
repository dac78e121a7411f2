//! What both nodes know of a recall: the entry node asks the gatekeeper about an attempt without a
//! response, and the gatekeeper withdraws the attempt unless it has started.

use super::Load;
use crate::hash::Hash;
use std::time::Duration;

/// How long an entry node waits for the answer to a recall, from the time at which it determines the
/// age of the attempt. A later answer is ignored.
pub const RECALL_TIMEOUT: Duration = Duration::from_millis(200);

key! {
    /// Identifies an attempt at a gatekeeper: a hash of the request id and the attempt number.
    ///
    /// Callers choose request ids, so unrelated attempts may have the same value. A gatekeeper
    /// promises that an attempt does not run only if this holds for all attempts with its value.
    #[serde(transparent)]
    pub struct AttemptId(pub u128);
}

data! {
    /// What a gatekeeper knows of an attempt that it was asked about.
    #[derive(Copy)]
    pub enum RecallAnswer {
        /// The attempt has not started and will be rejected if it arrives.
        NotStarted {
            /// Whether it had arrived and was queued.
            arrived: bool,
        },
        /// The attempt runs, or nothing is promised.
        Running,
        /// The run is over.
        Ended,
    }

    /// The answer, with the load of the target.
    #[derive(Copy)]
    pub struct RecallReply {
        pub answer: RecallAnswer,
        pub load: Option<Load>,
    }
}

impl AttemptId {
    pub fn new(request_id: &[u8], attempt: u32) -> AttemptId {
        let hash = Hash::of(&[&attempt.to_le_bytes()[..], request_id].concat());
        let mut half = [0; 16];
        half.copy_from_slice(&hash.as_bytes()[..16]);
        AttemptId(u128::from_le_bytes(half))
    }
}

impl RecallAnswer {
    /// Label in metrics and headers.
    pub fn label(self) -> &'static str {
        match self {
            RecallAnswer::NotStarted { .. } => "not-started",
            RecallAnswer::Running => "running",
            RecallAnswer::Ended => "ended",
        }
    }
}
