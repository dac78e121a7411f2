//! Model test: for random sequences of attempts, ends and versions, the entry node makes the same
//! decisions as a simple model. The choice among eligible targets is left to the balancer.

#[path = "support/snapshot.rs"]
mod support;

use proptest::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Entry, Forward, Input, Output};
use sycamore_core::call::{CallKey, Outcome, RequestKey, Runs};
use sycamore_core::config::Snapshot;
use sycamore_core::hash::rendezvous_score;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_000_000_000_000_000);
const VMS: [&str; 5] = ["a", "b", "c", "d", "e"];
const MAX_ATTEMPTS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(2);

/// Rejection codes: (whether another target may be tried, whether that uses the retry budget).
const CODES: [(Code, bool, bool); 9] = [
    (Code::TooManyConnections, true, false),
    (Code::NotConfigured, true, false),
    (Code::QueueFull, true, true),
    (Code::QueueTimeout, true, true),
    (Code::TargetUnreachable, true, true),
    (Code::NotHome, false, false),
    (Code::HomeMoving, false, false),
    (Code::Quarantined, false, false),
    (Code::DeadlinePassed, false, false),
];

fn snapshot(version: u64, vms: &[&str]) -> Arc<Snapshot> {
    let routes = r#"{"once":{"path_prefix":"/once","service":"s","idempotent":false,
        "max_attempts":3,"deadline_ms":2000},"idem":{"path_prefix":"/idem","service":"s",
        "idempotent":true,"max_attempts":3,"deadline_ms":2000}}"#;
    support::snapshot(version, vms, r#"{"retry_budget_percent":20}"#, routes)
}

/// The outcome expected by the model.
#[derive(Debug, PartialEq)]
enum Expected {
    /// An attempt on one of these targets.
    Forward(Vec<&'static str>),
    /// A rejection with this code and any `retry_after`.
    NotRun(Code),
    Unknown(Code),
    Nothing,
}

#[derive(Clone)]
struct ModelCall {
    key: Option<RequestKey>,
    arrived: Time,
    tried: Vec<&'static str>,
    possibly_run: Option<Code>,
    crashes: u32,
}

/// Model of the entry node: a list of calls, and a retry budget in hundredths of a retry.
struct Model {
    vms: Vec<&'static str>,
    calls: HashMap<u64, ModelCall>,
    retry_units: u64,
}

/// Whether the next home in order may accept the key after this rejection.
fn goes_to_next_home(code: Code) -> bool {
    matches!(code, Code::NotHome | Code::GatekeeperUnreachable)
}

impl Model {
    fn home(&self, key: RequestKey) -> &'static str {
        let points = |vm: &&&str| rendezvous_score(&key.to_bytes(), vm.as_bytes());
        self.vms.iter().max_by_key(points).copied().unwrap()
    }

    /// The home and the next two in rendezvous order.
    fn homes(&self, key: RequestKey) -> Vec<&'static str> {
        let points =
            |vm: &&str| std::cmp::Reverse(rendezvous_score(&key.to_bytes(), vm.as_bytes()));
        let mut order = self.vms.clone();
        order.sort_by_key(points);
        order.truncate(3);
        order
    }

    fn arrive(&mut self, number: u64, now: Time, key: Option<RequestKey>) -> Expected {
        self.retry_units = (self.retry_units + 20).min(1_000);
        let call =
            ModelCall { key, arrived: now, tried: Vec::new(), possibly_run: None, crashes: 0 };
        self.calls.insert(number, call);
        Expected::Forward(key.map_or(self.vms.clone(), |key| vec![self.home(key)]))
    }

    fn end(&mut self, number: u64, now: Time, end: &AttemptEnd, replayable: bool) -> Expected {
        let Some(mut call) = self.calls.get(&number).cloned() else { return Expected::Nothing };
        let (code, retry_elsewhere, budgeted) = match end {
            // The model does not hedge.
            AttemptEnd::ResponseStarted { .. }
            | AttemptEnd::ErrorResponseStarted { .. }
            | AttemptEnd::LostToHedge => return Expected::Nothing,
            AttemptEnd::NotSent => (Code::GatekeeperUnreachable, true, false),
            AttemptEnd::ConnectionLost => (Code::AnswerLost, true, true),
            AttemptEnd::Failed { code, .. } => (*code, *code == Code::TargetFailed, true),
            AttemptEnd::Rejected { code, .. } => *CODES.iter().find(|row| row.0 == *code).unwrap(),
        };
        if let AttemptEnd::Failed { crashes, .. } | AttemptEnd::Rejected { crashes, .. } = end {
            call.crashes = call.crashes.max(*crashes);
        }
        if matches!(end, AttemptEnd::ConnectionLost | AttemptEnd::Failed { .. }) {
            call.possibly_run = call.possibly_run.or(Some(code));
        }
        let in_time = now + Duration::from_millis(1) <= call.arrived + DEADLINE;
        let may_retry = replayable && in_time && call.tried.len() < MAX_ATTEMPTS;
        let mut candidates: Vec<&str> = match call.key {
            Some(key) if goes_to_next_home(code) && call.possibly_run.is_none() => {
                let untried = |vm: &&&str| !call.tried.contains(*vm);
                self.homes(key).iter().find(untried).into_iter().copied().collect()
            }
            None if retry_elsewhere && call.crashes < 2 => self.vms.clone(),
            _ => Vec::new(),
        };
        candidates.retain(|vm| may_retry && !call.tried.contains(vm));
        let must_charge = call.key.is_none() && budgeted && !candidates.is_empty();
        if must_charge && self.retry_units < 100 {
            candidates.clear();
        } else if must_charge {
            self.retry_units -= 100;
        }
        self.calls.insert(number, call.clone());
        if !candidates.is_empty() {
            return Expected::Forward(candidates);
        }
        self.calls.remove(&number);
        call.possibly_run.map_or(Expected::NotRun(code), Expected::Unknown)
    }

    fn expire(&mut self, number: u64, sent: bool) -> Expected {
        let Some(call) = self.calls.remove(&number) else { return Expected::Nothing };
        let sent = sent.then_some(Code::DeadlinePassed);
        let unknown = call.possibly_run.or(sent);
        unknown.map_or(Expected::NotRun(Code::DeadlinePassed), Expected::Unknown)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(Option<u64>),
    End(usize, usize, bool),
    Expire(usize, bool),
    Close(usize),
    Configure(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => prop::option::of(any::<u64>()).prop_map(Step::Arrive),
        12 => (any::<usize>(), 0..CODES.len() + 5, prop::bool::weighted(0.9))
            .prop_map(|(at, end, replayable)| Step::End(at, end, replayable)),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(at, sent)| Step::Expire(at, sent)),
        1 => any::<usize>().prop_map(Step::Close),
        1 => (1u8..32).prop_map(Step::Configure),
        2 => (0u64..700).prop_map(Step::Pass),
    ]
}

fn attempt_end(kind: usize) -> AttemptEnd {
    let retry_after = Duration::from_millis(200);
    match kind.checked_sub(CODES.len()) {
        None => AttemptEnd::Rejected { code: CODES[kind].0, retry_after, load: None, crashes: 0 },
        Some(0) => AttemptEnd::ConnectionLost,
        Some(1) => AttemptEnd::NotSent,
        Some(2) => AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO },
        Some(3) => AttemptEnd::Failed { code: Code::TargetFailed, crashes: 1 },
        Some(_) => AttemptEnd::Failed { code: Code::TargetFailed, crashes: 2 },
    }
}

fn check_agreement(
    model: &mut Model,
    call: u64,
    expected: &Expected,
    actual: Option<Output>,
) -> Result<(), TestCaseError> {
    match (expected, actual) {
        (Expected::Nothing, None) => {}
        (Expected::Forward(candidates), Some(Output::Forward(Forward { vm, attempt, .. }))) => {
            let vm = candidates.iter().find(|candidate| **candidate == vm.as_str());
            prop_assert!(vm.is_some(), "target is not among {:?}", candidates);
            let known = model.calls.get_mut(&call).unwrap();
            known.tried.extend(vm);
            prop_assert_eq!(attempt as usize, known.tried.len());
        }
        (Expected::NotRun(code), Some(Output::Finish { outcome, .. })) => {
            let same = matches!(outcome, Outcome::NotRun { code: actual, .. } if actual == *code);
            prop_assert!(same, "{:?} for {:?}", outcome, expected);
        }
        (Expected::Unknown(code), Some(Output::Finish { outcome, .. })) => {
            prop_assert_eq!(outcome, Outcome::Unknown { code: *code });
        }
        (expected, actual) => prop_assert!(false, "{:?} for {:?}", actual, expected),
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against sequences of rejections, lost responses and new versions that lead to a wrong
    /// "not run" outcome or to more retries than the budget allows.
    #[test]
    fn entry_as_naive(steps in prop::collection::vec(step(), 1..150)) {
        let mut now = START;
        let place = Place { region: name("r"), zone: name("z") };
        let mut entry = Entry::new(place, 7);
        let mut model = Model { vms: VMS.to_vec(), calls: HashMap::new(), retry_units: 300 };
        let mut out = Vec::new();
        entry.handle(now, Input::Configure(snapshot(1, &VMS)), &mut out);
        let mut arrived = 0;
        for (index, step) in steps.into_iter().enumerate() {
            let at = |at: usize| if arrived == 0 { 0 } else { at as u64 % arrived + 1 };
            let (call, expected, input) = match &step {
                Step::Arrive(low) => {
                    arrived += 1;
                    let key = low.map(|low| RequestKey { high: now.as_millis() << 16, low });
                    let arrival = Arrival { host: "",
                        call: CallKey(arrived),
                        path: if key.is_some() { "/once" } else { "/idem" },
                        key,
                        timeout: None,
                        depth: 0,
                        body_bytes: None,
                        own_runs: Runs::default(),
                    };
                    (arrived, model.arrive(arrived, now, key), Input::Arrive(arrival))
                }
                Step::End(number, kind, replayable) => {
                    let (call, end, replayable) = (at(*number), attempt_end(*kind), *replayable);
                    let expected = model.end(call, now, &end, replayable);
                    (call, expected, Input::Attempt { call: CallKey(call), end, replayable })
                }
                Step::Expire(number, sent) => {
                    let (call, sent) = (at(*number), *sent);
                    (call, model.expire(call, sent), Input::Expire { call: CallKey(call), sent })
                }
                Step::Close(number) => {
                    let call = at(*number);
                    model.calls.remove(&call);
                    (call, Expected::Nothing, Input::Close(CallKey(call)))
                }
                Step::Configure(set) => {
                    let chosen = (0..VMS.len()).filter(|bit| set & 1 << bit != 0);
                    model.vms = chosen.map(|bit| VMS[bit]).collect();
                    let snapshot = snapshot(index as u64 + 2, &model.vms);
                    (0, Expected::Nothing, Input::Configure(snapshot))
                }
                Step::Pass(ms) => {
                    now = now + Duration::from_millis(*ms);
                    continue;
                }
            };
            entry.handle(now, input, &mut out);
            prop_assert!(out.len() <= 1, "{:?}", out);
            check_agreement(&mut model, call, &expected, out.pop())?;
            prop_assert_eq!(entry.open(), model.calls.len());
        }
    }
}
