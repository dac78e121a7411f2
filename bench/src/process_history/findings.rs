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

/// Time after a first statement from which it binds, in microseconds.
const STATEMENT_GRACE_US: u64 = 3_000_000;

/// Interval in which the runs of a limited target are counted, in microseconds.
const LIMIT_WINDOW_US: u64 = 4_000_000;

/// Runs allowed in each interval, in percent of the limit, and in addition.
const LIMIT_PERCENT: u64 = 150;
const LIMIT_RESERVE: usize = 5;

/// What a target states during a part of a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatedPeriod {
    /// It accepts this many requests per second.
    Limited { vm: String, per_second: u64, at_us: u64, until_us: u64 },
    /// It is leaving, until the end of the trial.
    Leaving { vm: String, at_us: u64 },
}

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
    /// Runs beyond what a target's stated limit allows in some interval.
    pub over_limit: usize,
    /// Runs that started on a target long after it had stated that it is leaving.
    pub after_leaving: usize,
    /// Nodes that did not exit on request, or exited with an error.
    pub unclean_exits: usize,
}

impl Findings {
    /// Checks the evidence of a run.
    pub fn evaluate(
        evidence: &Evidence,
        statements: &[StatedPeriod],
        unclean_exits: usize,
    ) -> Findings {
        let violations = Violations { unknown_unexplained: 0, ..Violations::find(evidence) };
        let (excess_crashes, late_work) = (excess_crashes(&evidence.runs), late_work(evidence));
        let stated = |count: fn(&[Line], &StatedPeriod) -> usize| {
            statements.iter().map(|period| count(&evidence.runs, period)).sum()
        };
        let (over_limit, after_leaving) = (stated(over_limit), stated(after_leaving));
        Findings { violations, excess_crashes, late_work, over_limit, after_leaving, unclean_exits }
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

/// Runs beyond the largest number that the limit allows in any interval.
fn over_limit(runs: &[Line], period: &StatedPeriod) -> usize {
    let StatedPeriod::Limited { vm, per_second, at_us, until_us } = period else { return 0 };
    let binding = at_us + STATEMENT_GRACE_US..*until_us;
    let counted = |run: &&Line| run.vm == *vm && binding.contains(&run.at_us);
    let starts: Vec<u64> = run_starts(runs).filter(counted).map(|run| run.at_us).collect();
    let in_window = |first: &u64| {
        let window = *first..first + LIMIT_WINDOW_US;
        starts.iter().filter(|start| window.contains(start)).count()
    };
    let allowed = per_second * LIMIT_WINDOW_US / 1_000_000 * LIMIT_PERCENT / 100;
    let most = starts.iter().map(in_window).max().unwrap_or(0);
    most.saturating_sub(allowed as usize + LIMIT_RESERVE)
}

/// Runs that started long after the target's first statement that it is leaving.
///
/// A target states it in its responses, so the first one that it completes makes the statement.
/// Until then no node can know it.
fn after_leaving(runs: &[Line], period: &StatedPeriod) -> usize {
    let StatedPeriod::Leaving { vm, at_us } = period else { return 0 };
    let states =
        |run: &&Line| run.vm == *vm && run.event == RunEvent::Completed && run.at_us >= *at_us;
    let Some(first_us) = runs.iter().filter(states).map(|run| run.at_us).min() else { return 0 };
    let late = |run: &&Line| run.vm == *vm && run.at_us > first_us + STATEMENT_GRACE_US;
    run_starts(runs).filter(late).count()
}
