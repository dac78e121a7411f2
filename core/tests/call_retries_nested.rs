//! Retries in a call tree: many entry nodes, and a service that calls another.

#[path = "support/snapshot.rs"]
mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Forward, Input, Output};
use sycamore_core::call::runs::{RunCounts, RunKind};
use sycamore_core::call::{CallKey, Entry, Runs, Terms};
use sycamore_core::config::{AtMostOnceMode, Class, Snapshot};
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const DESKS: usize = 8;
const VAULTS: usize = 6;

/// Fleet-wide limit per ten seconds, and the lower values that are configured because nodes do not
/// count at the same moments.
const ALLOWED_PERCENT: usize = 20;
const ALLOWED_RESERVE: usize = 60;
const CONFIGURED: (usize, usize) = (12, 36);

/// Duration of a simulation step, and the number of steps in ten seconds.
const STEP: Duration = Duration::from_millis(10);
const WINDOW: usize = 1_000;

fn snapshot() -> Arc<Snapshot> {
    let (percent, reserve) = CONFIGURED;
    let service = |kind: &str, count: usize| {
        let vms: Vec<String> = (0..count).map(|index| format!("{kind}{index}")).collect();
        let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
        let limits = format!(r#"{{"retry_budget_percent":{percent},"retry_reserve":{reserve}}}"#);
        format!(r#""{kind}":{{"limits":{limits},"targets":{}}}"#, support::targets(&vms))
    };
    let route = |service: &str, class: &str| {
        format!(
            r#""{service}":{{"path_prefix":"/{service}","service":"{service}","idempotent":true,
            "once":"attempt","class":"{class}","max_attempts":2,"spare_forwards":2}}"#
        )
    };
    let services = format!("{{{},{}}}", service("desk", DESKS), service("vault", VAULTS));
    let sign = r#""sign":{"path_prefix":"/sign","service":"desk","idempotent":false,
        "once":"attempt"}"#;
    let routes =
        format!("{{{},{},{sign}}}", route("desk", "interactive"), route("vault", "gating"));
    support::version(1, &services, &routes)
}

/// A run on a desk. A lookup makes one nested call and ends with its result.
struct Run {
    entry: usize,
    call: CallKey,
    terms: Terms,
}

/// Requests that reached the vaults in one step.
#[derive(Clone, Copy, Default)]
struct StepCounts {
    requests: usize,
    repeats: usize,
}

struct Fleet {
    entries: Vec<Entry>,
    // Indexed by desk.
    runs: Vec<Vec<Run>>,
    rng: Pcg64Mcg,
    now: Time,
    next: u64,
    counts: Vec<StepCounts>,
}

impl Fleet {
    fn new() -> Fleet {
        let place = || Place { region: name("r"), zone: name("z") };
        let mut entries: Vec<Entry> =
            (0..DESKS + VAULTS).map(|seed| Entry::new(place(), seed as u64)).collect();
        for entry in &mut entries {
            entry.handle(START, Input::Configure(snapshot()), &mut Vec::new());
        }
        let runs = (0..DESKS).map(|_| Vec::new()).collect();
        let rng = Pcg64Mcg::seed_from_u64(1);
        Fleet { entries, runs, rng, now: START, next: 0, counts: Vec::new() }
    }

    fn input(&mut self, entry: usize, input: Input<'_>) -> Option<Output> {
        let mut out = Vec::new();
        self.entries[entry].handle(self.now, input, &mut out);
        out.pop()
    }

    fn arrive(&mut self, entry: usize, path: &str, own_runs: Runs) -> (CallKey, Option<Output>) {
        self.next += 1;
        let call = CallKey(self.next);
        let arrival = Arrival { own_runs, ..Arrival::new(call, "", path) };
        let output = self.input(entry, Input::Arrive(arrival));
        (call, output)
    }

    fn start_run(&mut self, entry: usize, forward: Forward) {
        let desk: usize = forward.vm.as_str()["desk".len()..].parse().unwrap();
        self.runs[desk].push(Run { entry, call: forward.call, terms: forward.terms });
    }

    /// Sends a request to a random entry node.
    fn send_request(&mut self, path: &str) {
        let entry = self.rng.random_range(0..DESKS + VAULTS);
        if let (_, Some(Output::Forward(forward))) = self.arrive(entry, path, Runs::default()) {
            self.start_run(entry, forward);
        }
    }

    /// Makes the nested call of a run, while vaults reject `reject_rate` of the requests. Returns
    /// whether it succeeded.
    fn nested_call(&mut self, desk: usize, repeat: bool, own_runs: Runs, reject_rate: f64) -> bool {
        let (call, mut output) = self.arrive(desk, "/vault", own_runs);
        let mut counts = StepCounts { requests: 1, repeats: 0 };
        let mut arrivals = 0;
        let mut responded = false;
        while let Some(Output::Forward(_)) = output {
            arrivals += 1;
            counts.repeats += usize::from(repeat || arrivals > 1);
            responded = !self.rng.random_bool(reject_rate);
            let end = match responded {
                true => AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO },
                false => AttemptEnd::Rejected {
                    code: Code::TargetRefused,
                    retry_after: Duration::from_millis(50),
                    load: None,
                    crashes: 0,
                },
            };
            output = self.input(desk, Input::Attempt { call, end, replayable: true });
        }
        self.input(desk, Input::Close(call));
        let step = self.counts.last_mut().unwrap();
        step.requests += counts.requests;
        step.repeats += counts.repeats;
        responded
    }

    /// Completes all runs on a desk, including their nested calls.
    fn end_runs(&mut self, desk: usize, reject_rate: f64) {
        let runs = std::mem::take(&mut self.runs[desk]);
        let mut counts = RunCounts::new();
        for Run { terms, .. } in &runs {
            counts.begin(RunKind::of(terms), terms.repeat);
        }
        let own_runs = counts.kinds_with_repeats();
        for Run { entry, call, terms } in runs {
            let signing = !terms.idempotent;
            let end = match signing || self.nested_call(desk, terms.repeat, own_runs, reject_rate) {
                true => AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO },
                false => AttemptEnd::ErrorResponseStarted { load: None },
            };
            match self.input(entry, Input::Attempt { call, end, replayable: true }) {
                Some(Output::Forward(forward)) => self.start_run(entry, forward),
                _ => {
                    self.input(entry, Input::Close(call));
                }
            }
        }
    }

    /// Advances by one step, with the given number of lookups and signings sent to random nodes.
    fn step(&mut self, reject_rate: f64, (lookups, signings): (usize, usize)) {
        self.now = self.now + STEP;
        self.counts.push(StepCounts::default());
        (0..lookups).for_each(|_| self.send_request("/desk"));
        (0..signings).for_each(|_| self.send_request("/sign"));
        for desk in 0..DESKS {
            self.end_runs(desk, reject_rate);
        }
    }

    /// Maximum number of repeats above the limit in any ten seconds.
    fn worst_excess(&self) -> i64 {
        let excess = |window: &[StepCounts]| {
            let requests: usize = window.iter().map(|counts| counts.requests).sum();
            let repeats: usize = window.iter().map(|counts| counts.repeats).sum();
            repeats as i64 - (requests * ALLOWED_PERCENT / 100 + ALLOWED_RESERVE) as i64
        };
        self.counts.windows(WINDOW).map(excess).max().unwrap_or(i64::MIN)
    }
}

#[test]
fn repeats_below_stay_in_budget() {
    // Guards against retries of desks and of vaults that stay within their own budgets but together
    // exceed the budget at the vaults, because each retried run repeats its nested call.
    let mut fleet = Fleet::new();
    (0..1_500).for_each(|_| fleet.step(0.0, (4, 0)));
    (0..1_500).for_each(|_| fleet.step(0.55, (4, 0)));
    let excess = fleet.worst_excess();
    assert!(excess <= 0, "{excess} repeats beyond what is allowed");
}

#[test]
fn repeats_below_among_runs_without_calls() {
    // Same, with 90% of the runs on desks being signings, which make no nested calls.
    let mut fleet = Fleet::new();
    (0..1_500).for_each(|_| fleet.step(0.0, (4, 36)));
    (0..1_500).for_each(|_| fleet.step(0.55, (4, 36)));
    let excess = fleet.worst_excess();
    assert!(excess <= 0, "{excess} repeats beyond what is allowed");
}

#[test]
fn repeats_distinguished_from_other_runs() {
    // Guards against underestimating the share of repeats among nested calls when most runs on a
    // target make no calls.
    let terms = |idempotent| Terms {
        service: name("desk"),
        idempotent,
        once: AtMostOnceMode::Attempt,
        class: Class::Interactive,
        rank: 0,
        objective: START,
        may_exceed_objective: false,
        repeat: idempotent,
        regions: Vec::new(),
    };
    let (signing, lookup) = (RunKind::of(&terms(false)), RunKind::of(&terms(true)));
    let mut counts = RunCounts::new();
    (0..9).for_each(|_| counts.begin(signing, false));
    counts.begin(lookup, true);
    assert_eq!(counts.kinds_with_repeats(), Runs { all: 1, repeats: 1 });
    counts.begin(lookup, false);
    assert_eq!(counts.kinds_with_repeats(), Runs { all: 2, repeats: 1 });
    counts.end(lookup, true);
    assert_eq!(counts.kinds_with_repeats(), Runs::default());
}

#[test]
fn repeats_below_are_used() {
    // The budget can be used: with 10% rejected, about 10% of the nested calls are retried.
    let mut fleet = Fleet::new();
    (0..2_000).for_each(|_| fleet.step(0.1, (4, 0)));
    let repeats: usize = fleet.counts.iter().map(|counts| counts.repeats).sum();
    assert!(repeats > 500, "{repeats}");
    assert!(fleet.worst_excess() <= 0);
}
