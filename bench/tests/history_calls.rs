//! Call histories: the checker on histories with known violations, and simulated fleets with random
//! faults. `SYCAMORE_SEEDS=7,8 cargo test` runs other seeds.

use std::time::Duration;
use sycamore_bench::history::calls::{CallOutcome, CallRecord, CallViolation, check_calls};
use sycamore_bench::history::trial::{Trial, seeds};
use sycamore_core::Time;

fn submitted(submission: usize, request: u64) -> CallRecord {
    CallRecord::Submitted { at: Time(1), submission, request, at_most_once: true }
}

fn ran(submission: usize, request: u64) -> CallRecord {
    CallRecord::Ran { at: Time(2), node: 4, submission, request }
}

fn ended(submission: usize, end: CallOutcome) -> CallRecord {
    CallRecord::Ended { at: Time(3), submission, end }
}

const NOT_RUN: CallOutcome = CallOutcome::NotRun(Duration::from_millis(50));

#[test]
fn check_calls_no_violations() {
    let history = [
        submitted(0, 7),
        ended(0, NOT_RUN),
        submitted(1, 7),
        ran(1, 7),
        ended(1, CallOutcome::ConnectionLost),
        submitted(2, 7),
        ended(2, CallOutcome::Answered(7)),
    ];
    assert_eq!(check_calls(&history), []);
}

#[test]
fn check_calls_ran_twice() {
    let history = [
        submitted(0, 7),
        ran(0, 7),
        ended(0, CallOutcome::Unknown),
        submitted(1, 7),
        ran(1, 7),
        ended(1, CallOutcome::Answered(7)),
    ];
    let expected = CallViolation::RanTwice { at: Time(2), request: 7, node: 4 };
    assert_eq!(check_calls(&history), [expected]);
}

#[test]
fn check_calls_ran_despite_not_run() {
    let history = [submitted(0, 7), ended(0, NOT_RUN), ran(0, 7)];
    let expected = CallViolation::RanDespiteNotRun { submission: 0, request: 7 };
    assert_eq!(check_calls(&history), [expected]);
}

#[test]
fn check_calls_wrong_answer() {
    let history = [submitted(0, 7), ran(0, 7), ended(0, CallOutcome::Answered(8))];
    let expected = CallViolation::WrongAnswer { submission: 0, request: 7, answer: 8 };
    assert_eq!(check_calls(&history), [expected]);
}

#[test]
fn check_calls_answered_without_run() {
    let history = [submitted(0, 7), ended(0, CallOutcome::Answered(7))];
    let expected = CallViolation::AnsweredWithoutRun { submission: 0, request: 7 };
    assert_eq!(check_calls(&history), [expected]);
}

#[test]
fn check_calls_never_ended() {
    let history = [submitted(0, 7), ran(0, 7)];
    let expected = CallViolation::NeverEnded { submission: 0, request: 7 };
    assert_eq!(check_calls(&history), [expected]);
}

#[test]
fn history_calls_random_faults() {
    // Guards against at-most-once requests that run twice when retried through another node, and
    // against reporting a request as not run although it ran.
    for seed in seeds(&[1, 2, 3, 28, 49]) {
        let report = Trial::new(seed).with_calls().run();
        assert!(report.calls.len() > 1_000, "seed {seed} recorded too few calls");
        let shown: Vec<String> =
            report.call_violations.iter().take(5).map(|v| v.to_string()).collect();
        assert!(shown.is_empty(), "seed {seed}: {}", shown.join("\n"));
    }
}
