//! What a trial is judged by: the rules of every run, and two that need its plan.

use crate::demo::rules::{Evidence, Violations};
use indexmap::IndexMap;
use sycamore_standins::target::run_log::{Line, RunEvent};

/// Start of the ids of requests that crash targets.
pub const CRASH_REQUEST_PREFIX: &str = "death-";

/// Targets that one request may crash.
const MAX_CRASHES: usize = 2;

/// How long a leaving target may still get new work.
const DRAIN_GRACE_US: u64 = 3_000_000;

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The rules of every run. Unknown outcomes are allowed: pauses and cuts lead to them too.
    pub violations: Violations,
    /// Requests that crashed a third target.
    pub excess_crashes: usize,
    /// Runs that began on a target long after its node was asked to stop.
    pub late_work: usize,
    /// Nodes that did not end by themselves when they were asked to.
    pub unclean_exits: usize,
}

impl Findings {
    /// Judges a run.
    pub fn evaluate(evidence: &Evidence, unclean_exits: usize) -> Findings {
        let violations = Violations { unknown_unexplained: 0, ..Violations::find(evidence) };
        let (excess_crashes, late_work) = (excess_crashes(&evidence.runs), late_work(evidence));
        Findings { violations, excess_crashes, late_work, unclean_exits }
    }

    /// Whether no rule was broken.
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
