//! Checks the statements "not run" of entry nodes against the log lines of gatekeepers, and against
//! records of what targets ran.

use super::request::{TraceLine, describe_refusal, read_all};
use crate::command_line::output_failed;
use crate::input;
use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use std::fmt;
use std::io::Write;
use std::path::{Path, PathBuf};
use sycamore_core::Result;
use sycamore_node::calls::trace::Step;

/// Outcome in the log lines of requests that were answered as not run.
const NOT_RUN: &str = "not-run";

/// Evidence in the log lines of rejections by a target.
const REFUSED_BY_TARGET: &str = "target";

/// A statement "not run" that is wrong or that the logs do not support.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub request: String,
    /// When the caller was answered.
    pub time: String,
    /// VM of the entry node.
    pub entry: String,
    /// What the answer rests on.
    pub basis: String,
    pub problem: Problem,
}

/// Why a statement is doubtful or wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// A target ran the request.
    Ran { vm: String },
    /// A gatekeeper handed an attempt to its target, which did not refuse it.
    Sent { vm: String, attempt: u32 },
    /// Two attempts were sent over one connection to a target, so a response to the first one may
    /// have been taken for one to the second.
    SharedConnection { vm: String, connection: u64 },
}

/// A line of a record of runs: one JSON object for each run that started.
#[derive(Clone, Debug, Deserialize)]
struct RunLine {
    /// Request id.
    id: String,
    vm: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Ran { vm } => write!(f, "the target of {vm} ran it"),
            Problem::Sent { vm, attempt } => {
                write!(f, "{vm} sent attempt {attempt} to its target, which did not refuse it")
            }
            Problem::SharedConnection { vm, connection } => {
                write!(f, "{vm} sent two attempts over connection {connection}")
            }
        }
    }
}

/// Lists the doubtful and wrong statements in log files. `runs` are records of what targets ran.
pub fn find(logs: &[PathBuf], runs: &[PathBuf]) -> Result<Vec<Finding>> {
    let mut requests: IndexMap<String, Vec<TraceLine>> = IndexMap::new();
    for line in read_all(logs)? {
        requests.entry(line.request.clone()).or_default().push(line);
    }
    let mut ran: IndexMap<String, IndexSet<String>> = IndexMap::new();
    for path in runs {
        for RunLine { id, vm } in read_runs(path)? {
            ran.entry(id).or_default().insert(vm);
        }
    }
    let findings = requests.iter().flat_map(|(request, lines)| {
        let vms = ran.get(request).into_iter().flatten();
        find_in_request(lines, vms.map(String::as_str))
    });
    Ok(findings.collect())
}

fn read_runs(path: &Path) -> Result<Vec<RunLine>> {
    let buf = input::read(path)?;
    let text = String::from_utf8_lossy(&buf);
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}

fn find_in_request<'a>(lines: &[TraceLine], ran: impl Iterator<Item = &'a str>) -> Vec<Finding> {
    let is_promise =
        |line: &&TraceLine| line.step == Step::Ended && line.outcome.as_deref() == Some(NOT_RUN);
    let Some(promise) = lines.iter().rfind(is_promise) else {
        return Vec::new();
    };
    let ran = ran.map(|vm| Problem::Ran { vm: vm.to_owned() });
    let problems = ran.chain(sent_and_not_refused(lines)).chain(shared_connections(lines));
    let finding = |problem| Finding {
        request: promise.request.clone(),
        time: promise.time.clone(),
        entry: promise.vm.clone(),
        basis: describe_refusal(promise),
        problem,
    };
    problems.map(finding).collect()
}

fn sent(lines: &[TraceLine]) -> impl Iterator<Item = &TraceLine> {
    lines.iter().filter(|line| line.step == Step::GateSent)
}

fn sent_and_not_refused(lines: &[TraceLine]) -> impl Iterator<Item = Problem> {
    let is_refusal = |sent: &TraceLine, line: &TraceLine| {
        line.step == Step::GateRefused
            && line.evidence.as_deref() == Some(REFUSED_BY_TARGET)
            && (&line.vm, line.attempt) == (&sent.vm, sent.attempt)
    };
    let unrefused = sent(lines)
        .filter(move |sent| !lines.iter().any(|line| is_refusal(sent, line)))
        .map(|sent| (sent.vm.clone(), sent.attempt.unwrap_or_default()));
    let distinct: IndexSet<(String, u32)> = unrefused.collect();
    distinct.into_iter().map(|(vm, attempt)| Problem::Sent { vm, attempt })
}

fn shared_connections(lines: &[TraceLine]) -> impl Iterator<Item = Problem> {
    let mut attempts: IndexMap<(&str, u64), IndexSet<u32>> = IndexMap::new();
    for line in sent(lines) {
        if let (Some(connection), Some(attempt)) = (line.connection, line.attempt) {
            attempts.entry((&line.vm, connection)).or_default().insert(attempt);
        }
    }
    let shared = attempts.into_iter().filter(|(_, attempts)| attempts.len() > 1);
    shared.map(|((vm, connection), _)| Problem::SharedConnection { vm: vm.to_owned(), connection })
}

/// Writes the findings. Returns whether there are none.
pub fn run(logs: &[PathBuf], runs: &[PathBuf], out: &mut dyn Write) -> Result<bool> {
    let findings = find(logs, runs)?;
    let write_failed = |e| output_failed(e).with_location("standard output");
    for Finding { request, time, entry, basis, problem } in &findings {
        writeln!(out, "{time}  {entry}  {request}  answered as not run ({basis}), but {problem}")
            .map_err(write_failed)?;
    }
    writeln!(out, "{} doubtful or wrong statements", findings.len()).map_err(write_failed)?;
    Ok(findings.is_empty())
}
