//! What must hold of a run, checked on what callers were told, what targets ran, and what nodes
//! showed from outside. No count that a node makes of itself decides anything here.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use std::net::SocketAddr;
use sycamore_core::Code;
use sycamore_standins::target::run_log::{Line, RunEvent};
use sycamore_tools::load::history::{Outcome, Record, SendResult};

/// How long after a planned stop or a deadline its effects still show.
const SETTLE_US: u64 = 1_000_000;

/// What two clocks' readings of one deadline may differ by.
const DEADLINE_MARGIN_US: u64 = 20_000;

/// How long after a killed node is back unknown outcomes are put down to the kill: a key that was
/// minted before the restart may come until its deadline.
const KILL_EFFECT_US: u64 = 6_000_000;

/// Everything that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What the callers were told.
    pub records: Vec<Record>,
    /// What the targets ran.
    pub runs: Vec<Line>,
    /// What nodes showed on `/status`.
    pub samples: Vec<Sample>,
    /// Versions that were published.
    pub publications: Vec<Publication>,
    /// A node that was killed.
    pub kills: Vec<Stop>,
    /// A node that was stopped as planned.
    pub drains: Vec<Stop>,
    /// VMs that must have every version: those whose node runs to the end.
    pub lasting: Vec<String>,
}

/// The version in force on a node at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// VM of the node.
    pub vm: String,
    /// When, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The version; none before the first.
    pub version: Option<u64>,
}

/// A version that was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Publication {
    /// The version.
    pub version: u64,
    /// When, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Whether it is valid, so that it must come into force everywhere.
    pub valid: bool,
}

/// The end of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// VM of the node.
    pub vm: String,
    /// Address that callers use.
    pub entry: SocketAddr,
    /// When it was killed or asked to stop.
    pub at_us: u64,
    /// When it was back after a kill, or had ended after a planned stop.
    pub until_us: u64,
}

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests whose caller held no final outcome one second past the deadline.
    pub lost: usize,
    /// Keys that ran more than once.
    pub run_twice: usize,
    /// Requests refused as not run that a target ran.
    pub false_not_run: usize,
    /// Answers that were not the whole answer to the caller's own request.
    pub truncated: usize,
    /// Times that a node showed an older version than before.
    pub older_version_seen: usize,
    /// Times that a configured node lacked what an accepted version holds.
    pub dangling_route_seen: usize,
    /// Requests cut by a planned stop.
    pub cut_by_drain: usize,
    /// Times that a node showed an invalid version in force.
    pub bad_version_in_force: usize,
    /// Unknown outcomes that no kill explains.
    pub unknown_unexplained: usize,
    /// Valid versions that did not come into force on every node.
    pub not_converged: usize,
}

impl Violations {
    /// Counts them.
    pub fn find(evidence: &Evidence) -> Violations {
        Violations {
            lost: count(&evidence.records, |record| record.outcome == Outcome::None),
            run_twice: run_twice(&evidence.runs),
            false_not_run: false_not_run(evidence),
            truncated: count(&evidence.records, |record| {
                record.outcome == Outcome::Answered && !record.body_correct
            }),
            older_version_seen: older_version_seen(&evidence.samples),
            dangling_route_seen: dangling_route_seen(evidence),
            cut_by_drain: cut_by_drain(evidence),
            bad_version_in_force: bad_version_in_force(evidence),
            unknown_unexplained: unknown(evidence).filter(|(_, explained)| !explained).count(),
            not_converged: convergence(evidence).values().filter(|ms| ms.is_none()).count(),
        }
    }

    /// Whether none was found.
    pub fn none(&self) -> bool {
        *self == Violations::default()
    }
}

/// For each valid version, how long after its publication every lasting node showed it or a later
/// one, in milliseconds; none if that was never seen.
pub fn convergence(evidence: &Evidence) -> IndexMap<u64, Option<u64>> {
    let valid = evidence.publications.iter().filter(|publication| publication.valid);
    valid.map(|publication| (publication.version, converged(evidence, publication))).collect()
}

fn converged(evidence: &Evidence, publication: &Publication) -> Option<u64> {
    let shown_on = |vm: &String| {
        let holds = |sample: &&Sample| {
            sample.vm == *vm && sample.version.is_some_and(|found| found >= publication.version)
        };
        evidence.samples.iter().filter(holds).map(|sample| sample.at_us).min()
    };
    let shown: Option<Vec<u64>> = evidence.lasting.iter().map(shown_on).collect();
    let last = shown?.into_iter().max()?;
    Some(last.saturating_sub(publication.at_us) / 1_000)
}

/// Requests that ended as unknown, and whether a kill explains it.
pub fn unknown(evidence: &Evidence) -> impl Iterator<Item = (&Record, bool)> {
    let unknown = evidence.records.iter().filter(|record| record.outcome == Outcome::Unknown);
    unknown.map(|record| (record, evidence.kills.iter().any(|kill| explains(kill, record))))
}

/// Whether the request was under way while a killed node was away, or soon after.
fn explains(kill: &Stop, record: &Record) -> bool {
    record.final_us >= kill.at_us && record.invoked_us <= kill.until_us + KILL_EFFECT_US
}

fn count<T>(items: &[T], holds: impl Fn(&&T) -> bool) -> usize {
    items.iter().filter(holds).count()
}

/// Whoever sends a key again must get its first run's answer. A second run bills a grower twice.
fn run_twice(runs: &[Line]) -> usize {
    let mut starts: IndexMap<&str, usize> = IndexMap::new();
    for run in runs.iter().filter(|run| run.event == RunEvent::Start) {
        if let Some(key) = &run.key {
            *starts.entry(key).or_default() += 1;
        }
    }
    starts.values().filter(|starts| **starts > 1).count()
}

fn false_not_run(evidence: &Evidence) -> usize {
    let ran: IndexSet<&str> = evidence.runs.iter().map(|run| run.id.as_str()).collect();
    count(&evidence.records, |record| {
        record.outcome == Outcome::NotRun && ran.contains(record.id.as_str())
    })
}

/// Restarts don't excuse an older version: a node that comes back behind its own past sends its
/// callers where the newer version no longer does.
fn older_version_seen(samples: &[Sample]) -> usize {
    let mut newest: IndexMap<&str, u64> = IndexMap::new();
    let mut older = 0;
    for sample in samples {
        let Some(version) = sample.version else { continue };
        let newest = newest.entry(&sample.vm).or_default();
        older += usize::from(version < *newest);
        *newest = version.max(*newest);
    }
    older
}

/// Every accepted version has all routes of the mix and a target for each, so that a node which
/// answers "no route" holds a route table that was never published.
fn dangling_route_seen(evidence: &Evidence) -> usize {
    let sends = evidence.records.iter().flat_map(|record| &record.sends);
    sends.filter(|send| send.code == Some(Code::NoRoute.number())).count()
}

fn bad_version_in_force(evidence: &Evidence) -> usize {
    let bad = |version| {
        let published = evidence.publications.iter().find(|found| found.version == version);
        published.is_none_or(|publication| !publication.valid)
    };
    count(&evidence.samples, |sample| sample.version.is_some_and(bad))
}

/// Requests that were under way through a node, or at its target, when it was asked to stop, and
/// were cut before their deadline.
fn cut_by_drain(evidence: &Evidence) -> usize {
    let mut cut: IndexSet<&str> = IndexSet::new();
    for drain in &evidence.drains {
        let sends = evidence.records.iter().filter(|record| cut_on_way(drain, record));
        cut.extend(sends.map(|record| record.id.as_str()));
        cut.extend(cut_at_target(evidence, drain));
    }
    cut.len()
}

fn cut_on_way(drain: &Stop, record: &Record) -> bool {
    record.sends.iter().any(|send| {
        let broken = matches!(send.result, SendResult::Broken | SendResult::BodyCut);
        let during = send.at_us <= drain.until_us && send.end_us >= drain.at_us;
        let awaited = send.end_us + DEADLINE_MARGIN_US < record.deadline_us;
        broken && during && awaited && send.entry == drain.entry
    })
}

/// Runs that the target of a stopping node could not finish, but for those whose callers had
/// stopped waiting: their time was over, or another target had answered the request.
fn cut_at_target<'a>(evidence: &'a Evidence, drain: &Stop) -> Vec<&'a str> {
    let deadlines: IndexMap<&str, u64> =
        evidence.records.iter().map(|record| (record.id.as_str(), record.deadline_us)).collect();
    let cut = evidence.runs.iter().filter(|run| {
        let during = (drain.at_us..=drain.until_us + SETTLE_US).contains(&run.at_us);
        let awaited = deadlines.get(run.id.as_str()).is_none_or(|deadline| run.at_us < *deadline);
        run.event == RunEvent::Aborted && run.vm == drain.vm && during && awaited
    });
    let unanswered = cut.filter(|run| !answered_before(evidence, run));
    unanswered.map(|run| run.id.as_str()).collect()
}

/// Whether another run of the same request had ended with an answer.
fn answered_before(evidence: &Evidence, cut: &Line) -> bool {
    evidence.runs.iter().any(|run| {
        let same = run.id == cut.id && run.run != cut.run;
        same && run.event == RunEvent::Completed && run.at_us <= cut.at_us
    })
}
