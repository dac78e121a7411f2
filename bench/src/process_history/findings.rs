//! Rules that a trial is checked against: those of every run, and some that depend on its faults.

use crate::demo::rules::{Evidence, Violations};
use indexmap::IndexMap;
use sycamore_standins::target::run_log::{Line, RunEvent};

/// Prefix of the ids of requests that crash targets.
pub const CRASH_REQUEST_PREFIX: &str = "death-";

/// Maximum number of targets that one request may crash.
const MAX_CRASHES: usize = 2;

/// Time after the start of a drain during which a target may still receive new work.
const DRAIN_GRACE_US: u64 = 3_000_000;

/// Number of violations of each rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Violations of the general rules. Unknown outcomes are permitted, since pauses and partitions
    /// cause them too.
    pub violations: Violations,
    /// Requests that crashed more targets than permitted.
    pub excess_crashes: usize,
    /// Runs that started on a draining target after the permitted time.
    pub late_work: usize,
    /// Nodes that did not exit on request, or exited with an error.
    pub unclean_exits: usize,
}

impl Findings {
    /// Checks the evidence of a run.
    pub fn evaluate(evidence: &Evidence, unclean_exits: usize) -> Findings {
        let violations = Violations { unknown_unexplained: 0, ..Violations::find(evidence) };
        let (excess_crashes, late_work) = (excess_crashes(&evidence.runs), late_work(evidence));
        Findings { violations, excess_crashes, late_work, unclean_exits }
    }

    /// Whether there are no violations.
    pub fn is_clean(&self) -> bool {
        *self == Findings::default()
    }
}

fn run_starts(runs: &[Line]) -> impl Iterator<Item = &Line> {
    runs.iter().filter(|run| run.event == RunEvent::Start)
}

fn excess_crashes(runs: &[Line]) -> usize {
    let mut crashes: IndexMap<&str, usize> = IndexMap::new();
    for run in run_starts(runs).filter(|run| run.id.starts_with(CRASH_REQUEST_PREFIX)) {
        *crashes.entry(&run.id).or_default() += 1;
    }
    crashes.values().filter(|crashes| **crashes > MAX_CRASHES).count()
}

fn late_work(evidence: &Evidence) -> usize {
    let late = |run: &&Line| {
        evidence.drains.iter().any(|drain| {
            let late = drain.at_us + DRAIN_GRACE_US..drain.until_us;
            run.vm == drain.vm && late.contains(&run.at_us)
        })
    };
    run_starts(&evidence.runs).filter(late).count()
}
