//! A target's rate limit, and a target that states that it is leaving.

#[path = "support/snapshot.rs"]
mod support;

#[path = "support/stating_target.rs"]
mod stating_target;

use proptest::prelude::*;
use stating_target::{StatingTarget, allowance, at, check_starts, limit, most_starts, states};
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::TargetProcess;
use sycamore_core::call::admit::{MAX_INTERVAL, StartLog, StartRate};
use sycamore_core::call::entry::{self, Forward};
use sycamore_core::call::gatekeeper::Input;
use sycamore_core::call::{CallKey, Entry, Outcome, RateLimit, RequestKey, StatedLimit, Statement};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

fn snapshot() -> Arc<Snapshot> {
    let limits = r#"{"slots":12,"queue":64,"queue_wait_ms":3000}"#;
    let routes = r#"{"idem":{"path_prefix":"/idem","service":"s","idempotent":true}}"#;
    support::snapshot(1, &["a"], limits, routes)
}

/// Guards against a target that gets several times the rate that it states in its responses.
#[test]
fn gatekeeper_stated_limit() {
    for per_second in [0.4, 1.9, 7.5, 13.1, 40.0] {
        let mut target = StatingTarget::new(snapshot());
        target.run(2_000, 20);
        target.statement = states(Some(per_second));
        target.run(1_000, 20);
        let told = target.now;
        target.run(12_000, 20);
        let most = most_starts(&target.starts, told);
        assert!(most <= allowance(per_second), "{per_second}: {most} in 4 s");
    }
}

/// Guards against new work for a target that says in its responses that it is leaving.
#[test]
fn gatekeeper_leaving_target() {
    let mut target = StatingTarget::new(snapshot());
    target.statement = Statement { leaving: true, ..Statement::default() };
    target.run(1_000, 20);
    let started = target.starts.len();
    target.rejections.clear();
    target.run(1_000, 20);
    assert_eq!(target.starts.len(), started);
    assert!(target.rejections.iter().all(|(code, _)| *code == Code::Draining));
    assert_eq!(target.rejections.len(), 50);
}

/// Guards against a limit that is forgotten with the gatekeeper's process while entry nodes still
/// know it.
#[test]
fn gatekeeper_restart_keeps_limit() {
    for per_second in [0.4, 7.5, 40.0] {
        let mut target = StatingTarget::new(snapshot());
        target.statement = states(Some(per_second));
        target.run(5_000, 20);
        for _ in 0..4 {
            target.restart_gatekeeper();
            target.run(2_500, 20);
        }
        check_starts(&target).unwrap();
    }
}

/// Guards against a target that stays limited after it has withdrawn its limit.
#[test]
fn gatekeeper_limit_ends() {
    for per_second in [0.0, 0.4, 7.5] {
        let mut target = StatingTarget::new(snapshot());
        target.statement = states(Some(per_second));
        target.run(4_000, 20);
        target.statement = states(None);
        target.run(MAX_INTERVAL.as_millis() as u64 + 500, 20);
        let answered = target.answered;
        target.run(2_000, 20);
        assert!(target.answered - answered >= 98, "{per_second}: {}", target.answered - answered);
    }
}

/// Guards against a limit that a late response to an earlier request withdraws.
#[test]
fn gatekeeper_late_response_without_limit() {
    let mut target = StatingTarget::new(snapshot());
    target.tick();
    target.arrive("/idem");
    target.tick();
    target.arrive("/idem");
    let stated = |call, statement| Input::Stated { call: CallKey(call), ran: true, statement };
    target.input(stated(2, states(Some(2.0))));
    target.input(stated(1, Statement::default()));
    assert_eq!(target.gatekeeper.statements().limit, Some(limit(2.0)));
}

/// Guards against a limit that is withdrawn by a rejection, or by a value that can't be read.
#[test]
fn gatekeeper_limit_kept() {
    let mut target = StatingTarget::new(snapshot());
    target.tick();
    target.arrive("/idem");
    let input = |ran, limit| {
        let statement = Statement { limit, leaving: false, pace: None };
        Input::Stated { call: CallKey(1), ran, statement }
    };
    target.input(input(true, StatedLimit::Limit(limit(2.0))));
    target.input(input(false, StatedLimit::Absent));
    target.input(input(true, StatedLimit::Unreadable));
    assert_eq!(target.gatekeeper.statements().limit, Some(limit(2.0)));
    target.input(input(true, StatedLimit::Absent));
    assert_eq!(target.gatekeeper.statements().limit, None);
}

/// Guards against an outdated limit of an entry node that replaces what the target has said since.
#[test]
fn gatekeeper_ignores_known_limit_after_response() {
    let mut target = StatingTarget::new(snapshot());
    target.told.push((0, Some(limit(0.4))));
    target.run(100, 20);
    assert_eq!(target.gatekeeper.statements().limit, Some(limit(0.4)));
    target.run(5_000, 20);
    assert_eq!(target.gatekeeper.statements().limit, None);
    target.told.push((target.now, Some(limit(0.4))));
    target.arrive("/idem");
    assert_eq!(target.gatekeeper.statements().limit, None);
}

/// Guards against requests that wait in the queue although a new limit leaves no time for them.
#[test]
fn gatekeeper_rejects_hopeless_at_once() {
    let mut target = StatingTarget::new(snapshot());
    target.tick();
    for _ in 0..40 {
        target.arrive("/idem");
    }
    let queued = 40 - target.starts.len() - target.rejections.len();
    assert!(queued > 4, "{queued}");
    target.rejections.clear();
    let statement = states(Some(0.5));
    target.input(Input::Stated { call: CallKey(1), ran: true, statement });
    assert_eq!(target.rejections.len(), queued);
    let in_time = |(code, wait): &(Code, Duration)| {
        *code == Code::TargetLimited && *wait >= Duration::from_secs(1)
    };
    assert!(target.rejections.iter().all(in_time), "{:?}", target.rejections);
}

/// Guards against a target that looks idle because its limit keeps it from being busy.
#[test]
fn gatekeeper_load_of_limited_target() {
    let mut target = StatingTarget::new(snapshot());
    target.run(2_000, 20);
    assert_eq!(target.gatekeeper.load(at(target.now)).slots, 12);
    target.statement = states(Some(11.0));
    target.run(2_000, 20);
    assert_eq!(target.gatekeeper.load(at(target.now)).slots, 2);
}

#[test]
fn start_rate_from_limit() {
    let cases = [
        (0.0, 1, 4_000),
        (0.1, 1, 4_000),
        (0.4, 1, 2_500),
        (7.5, 1, 133),
        (8.0, 2, 250),
        (100.0, 4, 40),
        (1e9, 4, 0),
    ];
    for (per_second, count, interval_ms) in cases {
        let rate = StartRate::from_limit(limit(per_second));
        assert_eq!((rate.count, rate.interval.as_millis()), (count, interval_ms), "{per_second}");
    }
}

/// The announced delay is the time at which the start becomes possible.
#[test]
fn start_log_delay() {
    let rate = StartRate { count: 2, interval: Duration::from_millis(100), counts_unknown: false };
    let mut log = StartLog::new();
    assert_eq!(log.delay(at(0), rate, 1), Duration::ZERO);
    assert_eq!(log.delay(at(0), rate, 2), Duration::from_millis(100));
    for ms in [0, 10, 200, 230] {
        log.record(at(ms));
    }
    assert_eq!(log.delay(at(250), rate, 0), Duration::from_millis(50));
    assert_eq!(log.delay(at(250), rate, 3), Duration::from_millis(180));
    log.withdraw(at(230));
    assert_eq!(log.delay(at(250), rate, 0), Duration::ZERO);
}

#[derive(Clone, Debug)]
enum Step {
    /// The target states this limit from now on.
    State(Option<f64>),
    Restart,
    /// Requests arrive for this long, one in so many milliseconds.
    Run(u64, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let rates = prop_oneof![Just(0.0), 0.1..1.0, 1.0..20.0, 20.0..80.0];
    prop_oneof![
        3 => prop::option::weighted(0.9, rates).prop_map(Step::State),
        1 => Just(Step::Restart),
        6 => (500u64..3_000, 5u64..60).prop_map(|(ms, gap)| Step::Run(ms, gap)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// No sequence of limits, restarts and loads exceeds what the target accepts in any four
    /// seconds.
    #[test]
    fn stated_limit_never_exceeded(steps in prop::collection::vec(step(), 1..24)) {
        let mut target = StatingTarget::new(snapshot());
        for step in steps {
            match step {
                Step::State(rate) => target.statement = states(rate),
                Step::Restart => {
                    target.restart_gatekeeper();
                    // A process takes a moment to start.
                    target.run(500, 1_000);
                }
                Step::Run(ms, gap) => target.run(ms, gap),
            }
        }
        if let Err(excess) = check_starts(&target) {
            prop_assert!(false, "{excess}");
        }
    }
}

/// An entry node, and what it forwards.
struct EntryNode {
    entry: Entry,
    now: Time,
    next: u64,
}

fn listed(version: u64, targets: &str) -> Arc<Snapshot> {
    let routes = r#"{"idem":{"path_prefix":"/idem","service":"s","idempotent":true},
        "once":{"path_prefix":"/once","service":"s","idempotent":false}}"#;
    support::version(
        version,
        &format!(r#"{{"s":{{"limits":{{}},"targets":[{targets}]}}}}"#),
        routes,
    )
}

fn target(vm: &str, started_ms: u64) -> String {
    format!(
        r#"{{"vm":"{vm}","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9",
        "incarnation":"{vm}","started_ms":{started_ms}}}"#
    )
}

fn process(vm: &str, started_ms: u64) -> TargetProcess {
    TargetProcess { incarnation: Some(name(vm)), started_ms: Some(started_ms) }
}

impl EntryNode {
    fn new(targets: &str) -> EntryNode {
        let place = Place { region: name("r"), zone: name("z") };
        let mut node = EntryNode { entry: Entry::new(place, 3), now: at(0), next: 0 };
        node.input(entry::Input::Configure(listed(1, targets)));
        node
    }

    fn input(&mut self, input: entry::Input<'_>) -> Option<entry::Output> {
        let mut out = Vec::new();
        self.entry.handle(self.now, input, &mut out);
        out.pop()
    }

    fn list(&mut self, targets: &str) {
        self.input(entry::Input::Configure(listed(2, targets)));
    }

    fn hear(&mut self, vm: &str, started_ms: u64, answered: bool, statement: Statement) {
        let (vm, process) = (name(vm), process(vm, started_ms));
        self.input(entry::Input::Stated { vm: &vm, process: &process, answered, statement });
    }

    fn arrive(&mut self) -> Result<Forward, Code> {
        self.next += 1;
        let arrival = entry::Arrival::new(CallKey(self.next), "", "/idem");
        match self.input(entry::Input::Arrive(arrival)) {
            Some(entry::Output::Forward(forward)) => Ok(forward),
            Some(entry::Output::Finish { outcome: Outcome::NotRun { code, .. }, .. }) => Err(code),
            other => panic!("{other:?}"),
        }
    }

    fn known_limit(&mut self) -> Option<RateLimit> {
        self.arrive().unwrap().estimate.known_limit
    }
}

const LEAVING: Statement = Statement { limit: StatedLimit::Absent, leaving: true, pace: None };

/// Guards against requests to a target that has said that it is leaving, after its rejections are
/// forgotten and although lists show it as ready, lapsed or back.
#[test]
fn entry_leaving_target() {
    let both = [target("a", 1), target("b", 1)].join(",");
    let mut node = EntryNode::new(&both);
    node.hear("a", 1, true, LEAVING);
    for targets in [&both, &target("b", 1), &both] {
        node.list(targets);
        for _ in 0..50 {
            node.now = node.now + Duration::from_secs(1);
            assert_eq!(node.arrive().unwrap().vm.as_str(), "b");
        }
    }
    node.list(&target("a", 1));
    assert_eq!(node.arrive().map(|forward| forward.vm), Err(Code::NoTarget));
}

/// Guards against a keyed request that goes to a target which has said that it is leaving, because
/// no other target is home to its key.
#[test]
fn entry_leaving_home() {
    let mut node = EntryNode::new(&target("a", 1));
    node.hear("a", 1, true, LEAVING);
    let key = RequestKey { high: at(0).as_millis() << 16, low: 1 };
    let arrival = entry::Arrival { key: Some(key), ..entry::Arrival::new(CallKey(1), "", "/once") };
    let output = node.input(entry::Input::Arrive(arrival));
    assert!(matches!(output, Some(entry::Output::Finish { .. })), "{output:?}");
}

/// Guards against a restarted target that gets nothing because its last process was leaving, or is
/// limited by what that process stated.
#[test]
fn entry_restarted_target() {
    let mut node = EntryNode::new(&target("a", 1));
    node.hear("a", 1, true, states(Some(2.0)));
    node.hear("a", 1, true, LEAVING);
    node.list(&target("a", 2));
    assert_eq!(node.known_limit(), None);
    // A late response of the first process.
    node.hear("a", 1, true, LEAVING);
    assert!(node.arrive().is_ok());
}

/// Guards against a restarted target that gets nothing for ever because lists do not identify its
/// processes.
#[test]
fn entry_leaving_target_without_identity() {
    let unidentified =
        target("a", 1).replace(r#""incarnation":"a","started_ms":1"#, r#""leaving":false"#);
    let mut node = EntryNode::new(&unidentified);
    let (vm, process) = (name("a"), TargetProcess { incarnation: None, started_ms: None });
    let statement = LEAVING;
    let input = entry::Input::Stated { vm: &vm, process: &process, answered: true, statement };
    node.input(input);
    assert_eq!(node.arrive().map(|forward| forward.vm), Err(Code::NoTarget));
    node.now = node.now + Duration::from_secs(3);
    assert!(node.arrive().is_ok());
}

/// Guards against a limit that is forgotten because a gatekeeper rejects before it knows it.
#[test]
fn entry_limit_after_rejection() {
    let mut node = EntryNode::new(&target("a", 1));
    node.hear("a", 1, true, states(Some(2.0)));
    node.hear("a", 1, false, Statement::default());
    assert_eq!(node.known_limit(), Some(limit(2.0)));
    node.hear("a", 1, true, Statement::default());
    assert_eq!(node.known_limit(), None);
}
