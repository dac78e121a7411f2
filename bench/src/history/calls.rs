//! Histories of calls and the rules that each must keep.

use displaydoc::Display;
use indexmap::IndexMap;
use std::time::Duration;
use sycamore_core::Time;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The answer to the request with this number.
    Answered(u64),
    /// No target saw the request; come back after this time.
    NotRun(Duration),
    /// A target may have run it.
    Unknown,
    /// The connection broke.
    Broken,
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
        once: bool,
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
        end: CallEnd,
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
    NotRunRan {
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
    AnsweredUnrun {
        /// Number of the sending.
        submission: usize,
        /// Number of the request.
        request: u64,
    },
    /// sending {submission} of request {request} never came to an end
    Unended {
        /// Number of the sending.
        submission: usize,
        /// Number of the request.
        request: u64,
    },
}

#[derive(Default)]
struct Sending {
    request: u64,
    ran: bool,
    end: Option<CallEnd>,
}

#[derive(Default)]
struct Asked {
    once: bool,
    runs: u32,
}

/// Checks a whole history of calls. Returns every violation.
pub fn check_calls(history: &[CallRecord]) -> Vec<CallViolation> {
    let mut sendings: IndexMap<usize, Sending> = IndexMap::new();
    let mut requests: IndexMap<u64, Asked> = IndexMap::new();
    let mut violations = Vec::new();
    for record in history {
        match *record {
            CallRecord::Submitted { submission, request, once, .. } => {
                sendings.insert(submission, Sending { request, ..Sending::default() });
                requests.entry(request).or_default().once = once;
            }
            CallRecord::Ran { at, node, submission, request } => {
                sendings.entry(submission).or_default().ran = true;
                let asked = requests.entry(request).or_default();
                asked.runs += 1;
                if asked.once && asked.runs > 1 {
                    violations.push(CallViolation::RanTwice { at, request, node });
                }
            }
            CallRecord::Ended { submission, end, .. } => {
                sendings.entry(submission).or_default().end = Some(end);
            }
        }
    }
    for (submission, sending) in &sendings {
        let runs = requests.get(&sending.request).map_or(0, |asked| asked.runs);
        violations.extend(check_sending(*submission, sending, runs));
    }
    violations
}

fn check_sending(submission: usize, sending: &Sending, runs: u32) -> Option<CallViolation> {
    let request = sending.request;
    match sending.end {
        None => Some(CallViolation::Unended { submission, request }),
        Some(CallEnd::NotRun(_)) if sending.ran => {
            Some(CallViolation::NotRunRan { submission, request })
        }
        Some(CallEnd::Answered(answer)) if answer != request => {
            Some(CallViolation::WrongAnswer { submission, request, answer })
        }
        Some(CallEnd::Answered(_)) if runs == 0 => {
            Some(CallViolation::AnsweredUnrun { submission, request })
        }
        Some(_) => None,
    }
}
