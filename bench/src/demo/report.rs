//! Demo results as a table and as a JSON object.

use super::rules::{self, Evidence, Violations};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::fmt;
use sycamore_core::Code;
use sycamore_standins::target::run_log::{Line, RunEvent};
use sycamore_tools::load::history::{Outcome, Record, SendResult};

/// Significant digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum number of unknown outcomes listed individually.
const MAX_LISTED: usize = 10;

/// JSON result, printed as the last line.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Requests sent.
    pub sent: usize,
    /// Requests answered by a target.
    pub answered: usize,
    /// Answered requests with an error status.
    pub errors: usize,
    /// Requests that did not run.
    pub not_run: usize,
    /// Requests that may have run.
    pub unknown: usize,
    /// Invariant violations.
    #[serde(flatten)]
    pub violations: Violations,
    /// Maximum convergence time of the valid versions published while nodes ran; null if one did
    /// not reach every node.
    pub converged_ms: Option<u64>,
    /// Convergence time of each valid version. For the first one, it includes node startup.
    pub converged_ms_by_version: IndexMap<u64, Option<u64>>,
    /// Control bytes sent by all nodes.
    pub control_bytes: u64,
    /// Control bytes by link class.
    pub control_bytes_by_link: IndexMap<String, u64>,
    /// Table rows by traffic class.
    #[serde(skip)]
    classes: IndexMap<String, ClassRow>,
    /// Causes of unknown outcomes.
    #[serde(skip)]
    unknown_causes: Vec<String>,
}

/// A row of the table.
#[derive(Clone, Debug)]
struct ClassRow {
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    lost: usize,
    run_twice: usize,
    latency: Histogram<u64>,
    added: Histogram<u64>,
}

impl Report {
    /// Evaluates a run.
    pub fn new(
        deployment: &str,
        evidence: &Evidence,
        control_bytes: IndexMap<String, u64>,
    ) -> Report {
        let outcomes =
            |outcome| evidence.records.iter().filter(|record| record.outcome == outcome).count();
        let error = |record: &&Record| {
            record.outcome == Outcome::Answered && record.status.is_none_or(|status| status >= 400)
        };
        let convergence = rules::convergence(evidence);
        // Skips the first version: it was published before the nodes started, so its convergence
        // time measures node startup.
        let convergence_ms: Option<Vec<u64>> = convergence.values().skip(1).copied().collect();
        Report {
            deployment: deployment.to_string(),
            sent: evidence.records.len(),
            answered: outcomes(Outcome::Answered),
            errors: evidence.records.iter().filter(error).count(),
            not_run: outcomes(Outcome::NotRun),
            unknown: outcomes(Outcome::Unknown),
            violations: Violations::find(evidence),
            converged_ms: convergence_ms.and_then(|all| all.into_iter().max()),
            converged_ms_by_version: convergence,
            control_bytes: control_bytes.values().sum(),
            control_bytes_by_link: control_bytes,
            classes: classes(evidence),
            unknown_causes: unknown_causes(evidence),
        }
    }
}

impl ClassRow {
    fn new() -> ClassRow {
        let histogram =
            || Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
        ClassRow {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            run_twice: 0,
            latency: histogram(),
            added: histogram(),
        }
    }

    fn push(&mut self, record: &Record, runs: &[&Line]) {
        self.sent += 1;
        let starts = runs.iter().filter(|run| run.event == RunEvent::Start).count();
        self.run_twice += usize::from(record.key.is_some() && starts > 1);
        match record.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::None => self.lost += 1,
        }
        if record.outcome != Outcome::Answered {
            return;
        }
        let latency = record.final_us.saturating_sub(record.invoked_us);
        // Recording cannot fail: the histograms resize automatically.
        let _ = self.latency.record(latency);
        // Requests with retries are excluded, because the caller's backoff is not path latency.
        if let ([start, end], [_]) = (runs, &record.sends[..]) {
            let own = end.at_us.saturating_sub(start.at_us);
            let _ = self.added.record(latency.saturating_sub(own));
        }
    }
}

fn classes(evidence: &Evidence) -> IndexMap<String, ClassRow> {
    let mut runs: IndexMap<&str, Vec<&Line>> = IndexMap::new();
    for run in &evidence.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut rows = IndexMap::new();
    for record in &evidence.records {
        let row = rows.entry(record.class.clone()).or_insert_with(ClassRow::new);
        row.push(record, runs.get(record.id.as_str()).map_or(&[], |runs| &runs[..]));
    }
    rows.sort_unstable_keys();
    rows
}

fn unknown_causes(evidence: &Evidence) -> Vec<String> {
    let cause = |(record, explained): (&Record, bool)| {
        let code = record.code.and_then(Code::from_number);
        let broken = record.sends.iter().filter(|send| send.result != SendResult::NotRun).count();
        let cause = match code {
            Some(code) => format!("E{} {code}", code.number()),
            None => format!("{broken} attempts without a response"),
        };
        let kill =
            if explained { "explained by a killed node" } else { "not explained by a killed node" };
        format!("{} {}: {cause}; {kill}", record.class, record.id)
    };
    rules::unknown(evidence).map(cause).collect()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<22}{:>7}{:>9}{:>8}{:>8}", "class", "sent", "answered", "not run", "unknown")?;
        write!(f, "{:>6}{:>10}{:>9}{:>9}", "lost", "run twice", "p50 ms", "p99 ms")?;
        writeln!(f, "{:>14}{:>14}", "added p50 ms", "added p99 ms")?;
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        for (name, row) in &self.classes {
            write!(f, "{name:<22}{:>7}{:>9}", row.sent, row.answered)?;
            write!(f, "{:>8}{:>8}{:>6}{:>10}", row.not_run, row.unknown, row.lost, row.run_twice)?;
            write!(f, "{:>9.2}{:>9.2}", ms(&row.latency, 0.5), ms(&row.latency, 0.99))?;
            writeln!(f, "{:>14.2}{:>14.2}", ms(&row.added, 0.5), ms(&row.added, 0.99))?;
        }
        writeln!(f)?;
        for (version, ms) in &self.converged_ms_by_version {
            let ms = ms.map_or("not on every node".into(), |ms| format!("{ms} ms"));
            writeln!(f, "convergence of version {version:<6}{ms:>12}")?;
        }
        for (link, bytes) in &self.control_bytes_by_link {
            writeln!(f, "control bytes, link {link:<9}{bytes:>12}")?;
        }
        for cause in self.unknown_causes.iter().take(MAX_LISTED) {
            writeln!(f, "unknown: {cause}")?;
        }
        let more = self.unknown_causes.len().saturating_sub(MAX_LISTED);
        if more > 0 {
            writeln!(f, "unknown: {more} more not listed")?;
        }
        Ok(())
    }
}
