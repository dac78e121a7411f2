//! Histories of calls and the rules that each must keep.

use displaydoc::Display;
use indexmap::IndexMap;
use std::time::Duration;
use sycamore_core::Time;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer to the request with this number.
    Answered(u64),
    /// No target saw the request; come back after this time.
    NotRun(Duration),
    /// A target may have run it.
    Unknown,
    /// The connection broke.
    ConnectionLost,
}

/// One thing that happened to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRecord {
    /// A caller sent a request, for the first time or again.
    Submitted {
        /// When.
        at: Time,
        /// Number of this sending.
        submission: usize,
        /// Number of the request.
        request: u64,
        /// Whether it may run only once.
        at_most_once: bool,
    },
    /// A target took a request.
    Ran {
        /// When.
        at: Time,
        /// Number of the node beside the target.
        node: usize,
        /// The sending that it belongs to.
        submission: usize,
        /// Number of the request.
        request: u64,
    },
    /// A sending came to its end.
    Ended {
        /// When.
        at: Time,
        /// Number of the sending.
        submission: usize,
        /// What the caller was told.
        end: CallOutcome,
    },
}

/// A rule that a history of calls breaks.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallViolation {
    /// {at}: request {request} ran a second time, on node {node}
    RanTwice {
        /// When.
        at: Time,
        /// Number of the request.
        request: u64,
        /// Number of the node of the second run.
        node: usize,
    },
    /// sending {submission} of request {request} was called not run, and ran
    RanDespiteNotRun {
        /// Number of the sending.
        submission: usize,
        /// Number of the request.
        request: u64,
    },
    /// sending {submission} of request {request} got the answer to request {answer}
    WrongAnswer {
        /// Number of the sending.
        submission: usize,
        /// Number of the request.
        request: u64,
        /// Number of the request that the answer belongs to.
        answer: u64,
    },
    /// sending {submission} of request {request} was answered, and no target ran the request
    AnsweredWithoutRun {
        /// Number of the sending.
        submission: usize,
        /// Number of the request.
        request: u64,
    },
    /// sending {submission} of request {request} never came to an end
    NeverEnded {
        /// Number of the sending.
        submission: usize,
        /// Number of the request.
        request: u64,
    },
}

#[derive(Default)]
struct SubmissionState {
    request: u64,
    ran: bool,
    end: Option<CallOutcome>,
}

#[derive(Default)]
struct RequestState {
    at_most_once: bool,
    runs: u32,
}

/// Checks a whole history of calls. Returns every violation.
pub fn check_calls(history: &[CallRecord]) -> Vec<CallViolation> {
    let mut submissions: IndexMap<usize, SubmissionState> = IndexMap::new();
    let mut requests: IndexMap<u64, RequestState> = IndexMap::new();
    let mut violations = Vec::new();
    for record in history {
        match *record {
            CallRecord::Submitted { submission, request, at_most_once, .. } => {
                submissions
                    .insert(submission, SubmissionState { request, ..SubmissionState::default() });
                requests.entry(request).or_default().at_most_once = at_most_once;
            }
            CallRecord::Ran { at, node, submission, request } => {
                submissions.entry(submission).or_default().ran = true;
                let request_state = requests.entry(request).or_default();
                request_state.runs += 1;
                if request_state.at_most_once && request_state.runs > 1 {
                    violations.push(CallViolation::RanTwice { at, request, node });
                }
            }
            CallRecord::Ended { submission, end, .. } => {
                submissions.entry(submission).or_default().end = Some(end);
            }
        }
    }
    for (submission, state) in &submissions {
        let runs = requests.get(&state.request).map_or(0, |request_state| request_state.runs);
        violations.extend(check_submission(*submission, state, runs));
    }
    violations
}

fn check_submission(
    submission: usize,
    state: &SubmissionState,
    runs: u32,
) -> Option<CallViolation> {
    let request = state.request;
    match state.end {
        None => Some(CallViolation::NeverEnded { submission, request }),
        Some(CallOutcome::NotRun(_)) if state.ran => {
            Some(CallViolation::RanDespiteNotRun { submission, request })
        }
        Some(CallOutcome::Answered(answer)) if answer != request => {
            Some(CallViolation::WrongAnswer { submission, request, answer })
        }
        Some(CallOutcome::Answered(_)) if runs == 0 => {
            Some(CallViolation::AnsweredWithoutRun { submission, request })
        }
        Some(_) => None,
    }
}
