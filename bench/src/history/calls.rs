//! Histories of calls and the rules that they must satisfy.

use displaydoc::Display;
use indexmap::IndexMap;
use std::time::Duration;
use sycamore_core::Time;

/// Outcome of a submission, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with the response to the request with this number.
    Answered(u64),
    /// Not run by any target; the caller may retry after this time.
    NotRun(Duration),
    /// Possibly run by a target.
    Unknown,
    ConnectionLost,
}

/// A recorded event of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRecord {
    /// A caller submitted a request, for the first time or as a retry.
    Submitted {
        at: Time,
        /// Number of this submission.
        submission: usize,
        request: u64,
        /// Whether the request may run at most once.
        at_most_once: bool,
    },
    /// A target started to run a request.
    Ran {
        at: Time,
        /// Node of the target.
        node: usize,
        submission: usize,
        request: u64,
    },
    /// A submission ended.
    Ended { at: Time, submission: usize, end: CallOutcome },
}

/// A violation of the rules.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallViolation {
    /// {at}: at-most-once request {request} ran a second time, on node {node}
    RanTwice { at: Time, request: u64, node: usize },
    /// submission {submission} of request {request} was reported as not run, but ran
    RanDespiteNotRun { submission: usize, request: u64 },
    /// submission {submission} of request {request} got the response to request {answer}
    WrongAnswer {
        submission: usize,
        request: u64,
        /// Number of the request that the response belongs to.
        answer: u64,
    },
    /// submission {submission} of request {request} was answered, but no target ran the request
    AnsweredWithoutRun { submission: usize, request: u64 },
    /// submission {submission} of request {request} never ended
    NeverEnded { submission: usize, request: u64 },
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

/// Checks a history of calls. Returns all violations.
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
