//! Traces one request through the log files of several nodes and determines why it ended.

mod cause;

use crate::command_line::output_failed;
use crate::input;
use cause::describe_cause;
use serde::Deserialize;
use std::io::Write;
use std::path::{Path, PathBuf};
use sycamore_core::{Code, Result};
use sycamore_node::calls::trace::Step;

/// A log line about a request (docs/OPERATIONS.md). Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct TraceLine {
    /// RFC 3339 timestamp by the clock of the node.
    pub time: String,
    /// VM of the node that wrote the line.
    pub vm: String,
    /// Request id.
    pub request: String,
    pub step: Step,
    /// Attempt number, starting at 1.
    pub attempt: Option<u32>,
    pub target: Option<String>,
    /// Result code number.
    pub code: Option<u16>,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: Option<String>,
    /// HTTP status of the response.
    pub status: Option<u16>,
    /// Load of the target: running, slots, queued, and the expected queueing delay in ms.
    pub load: Option<String>,
    /// Version in force on the entry node.
    pub version: Option<u64>,
    /// Whether the target may have run the request.
    pub sent: Option<bool>,
    /// Answer to a recall.
    pub recall: Option<String>,
    /// Time left until the deadline, in ms.
    pub left_ms: Option<u64>,
    /// Delay after which the caller may retry, in ms.
    pub retry_after_ms: Option<u64>,
    /// What shows that an attempt has not run.
    pub evidence: Option<String>,
    /// Number of the connection to the target.
    pub connection: Option<u64>,
    /// Requests that this connection carried before.
    pub carried: Option<u32>,
}

/// Reads the lines about `request` from log files, sorted by time.
///
/// Text before the JSON object of a line, such as a prefix added by a log collector, and unrelated
/// lines are ignored.
pub fn read_lines(request: &str, files: &[PathBuf]) -> Result<Vec<TraceLine>> {
    let mut lines = Vec::new();
    for path in files {
        lines.extend(read_file_lines(request, path)?);
    }
    lines.sort_by(|a: &TraceLine, b: &TraceLine| a.time.cmp(&b.time));
    Ok(lines)
}

/// Reads the lines about all requests, sorted by time.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<TraceLine>> {
    let mut lines = Vec::new();
    for path in files {
        lines.extend(parse_lines(&input::read(path)?, |_| true));
    }
    lines.sort_by(|a: &TraceLine, b: &TraceLine| a.time.cmp(&b.time));
    Ok(lines)
}

fn read_file_lines(request: &str, path: &Path) -> Result<Vec<TraceLine>> {
    let mut lines = parse_lines(&input::read(path)?, |line| line.contains(request));
    lines.retain(|line| line.request == request);
    Ok(lines)
}

fn parse_lines(buf: &[u8], is_candidate: impl Fn(&str) -> bool) -> Vec<TraceLine> {
    let text = String::from_utf8_lossy(buf);
    let candidates = text.lines().filter(|line| is_candidate(line));
    let object = |line: &str| line.find('{').map(|start| line[start..].to_owned());
    candidates.filter_map(object).filter_map(|text| serde_json::from_str(&text).ok()).collect()
}

/// Writes the trace of a request and the cause of its end. Returns whether any line was found.
pub fn run(request: &str, files: &[PathBuf], out: &mut dyn Write) -> Result<bool> {
    let lines = read_lines(request, files)?;
    let write_failed = |e| output_failed(e).with_location("standard output");
    if lines.is_empty() {
        writeln!(out, "no line about {request}").map_err(write_failed)?;
        return Ok(false);
    }
    writeln!(out, "request {request}").map_err(write_failed)?;
    let width = lines.iter().map(|line| line.vm.len()).max().unwrap_or(0);
    for line in &lines {
        writeln!(out, "  {}  {:<width$}  {}", line.time, line.vm, describe_step(line))
            .map_err(write_failed)?;
    }
    writeln!(out, "cause: {}", describe_cause(&lines)).map_err(write_failed)?;
    Ok(true)
}

/// Describes the step of a line.
fn describe_step(line: &TraceLine) -> String {
    let target = line.target.as_deref().unwrap_or("a target");
    let load = line.load.as_deref().map(|load| format!(", load {load}")).unwrap_or_default();
    let code = format_code(line.code);
    match line.step {
        Step::Forwarded => {
            let attempt = line.attempt.unwrap_or(1);
            let left = line.left_ms.map(|ms| format!(", {ms} ms left")).unwrap_or_default();
            format!("attempt {attempt} sent to {target}{left}{load}")
        }
        Step::AttemptFailed => {
            let ran = if line.sent == Some(true) { "may have run" } else { "has not run" };
            format!("attempt {} failed: {code}; it {ran}", line.attempt.unwrap_or(1))
        }
        Step::Recalled => {
            let answer = line.recall.as_deref().unwrap_or("no-answer");
            format!("attempt {} recalled: {answer}{load}", line.attempt.unwrap_or(1))
        }
        Step::Answered => format!("answered with status {}", line.status.unwrap_or_default()),
        Step::Ended => {
            let outcome = line.outcome.as_deref().unwrap_or("ended");
            let retry_after = line.retry_after_ms;
            let retry_after =
                retry_after.map(|ms| format!("; come back in {ms} ms")).unwrap_or_default();
            format!("the caller is told {outcome}: {code}{retry_after}")
        }
        Step::GateRefused => {
            format!("refused by the gatekeeper: {code}{load}{}", on_connection(line))
        }
        Step::GateSent => format!("handed to the target{}", on_connection(line)),
        Step::GateQueued => format!("waits for a slot{load}"),
        Step::GateRun => format!("runs at the target{load}"),
        Step::GateConnecting => format!("waits for a connection to the target{load}"),
    }
}

/// Formats the code of a refusal and what it rests on.
pub(super) fn describe_refusal(line: &TraceLine) -> String {
    let evidence = line.evidence.as_deref().unwrap_or("unknown");
    let attempt = line.attempt.map_or_else(|| "none".to_owned(), |number| number.to_string());
    format!("{}, evidence {evidence}, attempt {attempt}", format_code(line.code))
}

fn on_connection(line: &TraceLine) -> String {
    let carried = line.carried.unwrap_or_default();
    let text = |number| format!(", connection {number} after {carried} requests");
    line.connection.map(text).unwrap_or_default()
}

/// Formats a result code with its description.
pub(super) fn format_code(number: Option<u16>) -> String {
    match number.and_then(Code::from_number) {
        Some(code) => format!("{} ({code})", code.number()),
        None => "no code".to_owned(),
    }
}
