//! What a trial is judged by: the rules of every run, and two that need its plan.

use crate::demo::rules::{Evidence, Violations};
use indexmap::IndexMap;
use sycamore_standins::target::run_log::{Line, RunEvent};

/// Start of the ids of requests that crash targets.
pub const DEATH_ID: &str = "death-";

/// Targets that one request may crash.
const MAX_CRASHES: usize = 2;

/// How long a leaving target may still get new work.
const LEAVING_LIMIT_US: u64 = 3_000_000;

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The rules of every run. Unknown outcomes are allowed: pauses and cuts lead to them too.
    pub violations: Violations,
    /// Requests that crashed a third target.
    pub third_crash: usize,
    /// Runs that began on a target long after its node was asked to stop.
    pub late_work: usize,
    /// Nodes that did not end by themselves when they were asked to.
    pub hanging: usize,
}

impl Findings {
    /// Judges a run.
    pub fn find(evidence: &Evidence, hanging: usize) -> Findings {
        let violations = Violations { unknown_unexplained: 0, ..Violations::find(evidence) };
        let (third_crash, late_work) = (third_crash(&evidence.runs), late_work(evidence));
        Findings { violations, third_crash, late_work, hanging }
    }

    /// Whether no rule was broken.
    pub fn none(&self) -> bool {
        *self == Findings::default()
    }
}

fn starts(runs: &[Line]) -> impl Iterator<Item = &Line> {
    runs.iter().filter(|run| run.event == RunEvent::Start)
}

fn third_crash(runs: &[Line]) -> usize {
    let mut crashes: IndexMap<&str, usize> = IndexMap::new();
    for run in starts(runs).filter(|run| run.id.starts_with(DEATH_ID)) {
        *crashes.entry(&run.id).or_default() += 1;
    }
    crashes.values().filter(|crashes| **crashes > MAX_CRASHES).count()
}

fn late_work(evidence: &Evidence) -> usize {
    let late = |run: &&Line| {
        evidence.drains.iter().any(|drain| {
            let late = drain.at_us + LEAVING_LIMIT_US..drain.until_us;
            run.vm == drain.vm && late.contains(&run.at_us)
        })
    };
    starts(&evidence.runs).filter(late).count()
}
