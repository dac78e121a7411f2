//! The story of one request, from the log lines of several nodes: what happened in order, and the
//! cause of its end.

mod cause;

use crate::command_line::output_failed;
use crate::input;
use cause::describe_cause;
use serde::Deserialize;
use std::io::Write;
use std::path::{Path, PathBuf};
use sycamore_core::{Code, Result};
use sycamore_node::calls::trace::Step;

/// A log line about a request (docs/OPERATIONS.md). Fields that are not named here are passed over.
#[derive(Clone, Debug, Deserialize)]
pub struct TraceLine {
    /// When it was written, by its node's clock; RFC 3339.
    pub time: String,
    /// The node.
    pub vm: String,
    /// Id of the request.
    pub request: String,
    /// What was decided.
    pub step: Step,
    /// Attempt, from 1.
    pub attempt: Option<u32>,
    /// Name of the target.
    pub target: Option<String>,
    /// Number of the result code.
    pub code: Option<u16>,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: Option<String>,
    /// Status of the answer.
    pub status: Option<u16>,
    /// Load of the target: running, slots, waiting, and ms that a newcomer would wait.
    pub load: Option<String>,
    /// Version in force at the entry node.
    pub version: Option<u64>,
    /// Whether the target may have run it.
    pub sent: Option<bool>,
    /// Time left for the request, in ms.
    pub left_ms: Option<u64>,
    /// When the caller is to come back, in ms.
    pub retry_after_ms: Option<u64>,
}

/// Reads the lines about `request` from log files, in the order of their times.
///
/// A line may have text before its JSON object, as whoever collects logs puts it there; what is no
/// line about a request is passed over.
pub fn read_lines(request: &str, files: &[PathBuf]) -> Result<Vec<TraceLine>> {
    let mut lines = Vec::new();
    for path in files {
        lines.extend(read_file_lines(request, path)?);
    }
    lines.sort_by(|a: &TraceLine, b: &TraceLine| a.time.cmp(&b.time));
    Ok(lines)
}

fn read_file_lines(request: &str, path: &Path) -> Result<Vec<TraceLine>> {
    let buf = input::read(path)?;
    let text = String::from_utf8_lossy(&buf);
    let candidates = text.lines().filter(|line| line.contains(request));
    let object = |line: &str| line.find('{').map(|start| line[start..].to_owned());
    let parsed = candidates.filter_map(object).filter_map(|text| serde_json::from_str(&text).ok());
    Ok(parsed.filter(|line: &TraceLine| line.request == request).collect())
}

/// Writes the story of a request and its cause. Returns whether any line told of it.
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

/// A line in words.
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
        Step::Answered => format!("answered with status {}", line.status.unwrap_or_default()),
        Step::Ended => {
            let outcome = line.outcome.as_deref().unwrap_or("ended");
            let retry_after = line.retry_after_ms;
            let retry_after =
                retry_after.map(|ms| format!("; come back in {ms} ms")).unwrap_or_default();
            format!("the caller is told {outcome}: {code}{retry_after}")
        }
        Step::GateRefused => format!("refused by the gatekeeper: {code}{load}"),
        Step::GateQueued => format!("waits for a slot{load}"),
        Step::GateRun => format!("runs at the target{load}"),
    }
}

/// A result code with its meaning.
pub(super) fn format_code(number: Option<u16>) -> String {
    match number.and_then(Code::from_number) {
        Some(code) => format!("{} ({code})", code.number()),
        None => "no code".to_owned(),
    }
}
