//! Tests of `sycamore-timeline --promises`, which checks the statements "not run" in logs of nodes.

use crate::tool::{self, ToolOutput};
use std::fs;

/// A log line of a request.
fn line(ms: u32, vm: &str, rest: &str) -> String {
    let time = format!("2026-01-01T00:00:00.{ms:03}Z");
    format!(r#"{{"time":"{time}","vm":"{vm}","request":"r1",{rest}}}"#)
}

fn forwarded(ms: u32, attempt: u32) -> String {
    line(ms, "entry", &format!(r#""step":"forwarded","attempt":{attempt},"target":"t""#))
}

fn sent(ms: u32, attempt: u32, connection: u64) -> String {
    let fields =
        format!(r#""step":"gate-sent","attempt":{attempt},"connection":{connection},"carried":0"#);
    line(ms, "gate", &fields)
}

fn refused(ms: u32, attempt: u32, evidence: &str) -> String {
    let fields = format!(
        r#""step":"gate-refused","attempt":{attempt},"code":468,"outcome":"not-run","evidence":"{evidence}""#
    );
    line(ms, "gate", &fields)
}

fn ended(ms: u32, outcome: &str) -> String {
    let fields = format!(
        r#""step":"ended","attempt":1,"code":468,"outcome":"{outcome}","evidence":"target""#
    );
    line(ms, "entry", &fields)
}

fn check(log: &[String], runs: &str) -> ToolOutput {
    let dir = tempfile::tempdir().unwrap();
    let paths = [dir.path().join("nodes.log"), dir.path().join("runs.jsonl")];
    fs::write(&paths[0], log.join("\n")).unwrap();
    fs::write(&paths[1], runs).unwrap();
    let [log, runs] = paths.each_ref().map(|path| path.to_str().unwrap());
    let args = ["--promises", log, "--runs", runs];
    tool::run(env!("CARGO_BIN_EXE_sycamore-timeline"), &args)
}

/// Guards against true statements that are listed.
#[test]
fn promise_refused_by_target() {
    let log = [forwarded(1, 1), sent(2, 1, 7), refused(3, 1, "target"), ended(4, "not-run")];
    let run = check(&log, r#"{"id":"r2","vm":"gate","mark":"start"}"#);
    assert_eq!(run.stdout, "0 doubtful or wrong statements\n");
    assert_eq!(run.exit_code, Some(0));
}

/// Guards against findings about requests whose callers were promised nothing.
#[test]
fn promise_outcome_unknown() {
    let log = [forwarded(1, 1), sent(2, 1, 7), ended(4, "unknown")];
    let run = check(&log, r#"{"id":"r1","vm":"gate","mark":"start"}"#);
    assert_eq!(run.exit_code, Some(0), "{}", run.stdout);
}

/// Guards against a request that was handed to a target and answered as not run on other evidence.
#[test]
fn promise_sent_and_not_refused() {
    let log = [forwarded(1, 1), sent(2, 1, 7), refused(3, 1, "gatekeeper"), ended(4, "not-run")];
    let run = check(&log, "");
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("gate sent attempt 1 to its target"), "{}", run.stdout);
}

/// Guards against two attempts on one connection, of which the later one has the earlier one's response.
#[test]
fn promise_attempts_on_one_connection() {
    let first = [forwarded(1, 1), sent(2, 1, 7), refused(3, 1, "target")];
    let second = |connection| {
        [forwarded(4, 2), sent(5, 2, connection), refused(6, 2, "target"), ended(7, "not-run")]
    };
    let run = check(&[&first[..], &second(7)[..]].concat(), "");
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("two attempts over connection 7"), "{}", run.stdout);
    let run = check(&[&first[..], &second(8)[..]].concat(), "");
    assert_eq!(run.exit_code, Some(0), "{}", run.stdout);
}

/// Guards against a run that no line of a gatekeeper shows.
#[test]
fn promise_run_recorded_by_target() {
    let run = check(&[ended(4, "not-run")], r#"{"id":"r1","vm":"gate","mark":"start"}"#);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("the target of gate ran it"), "{}", run.stdout);
}

/// Guards against options that do nothing in this mode.
#[test]
fn promise_options_without_effect_are_refused() {
    for args in [
        &["--promises"][..],
        &["--promises", "nodes.log", "--format", "json"],
        &["--promises", "nodes.log", "--request", "r1"],
        &["--runs", "runs.jsonl", "nodes.log"],
    ] {
        let run = tool::run(env!("CARGO_BIN_EXE_sycamore-timeline"), args);
        assert_eq!(run.exit_code, Some(2), "{args:?}: {}", run.stderr);
    }
}
