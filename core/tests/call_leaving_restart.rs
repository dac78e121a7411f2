//! Gatekeepers that restart beside a target which has stated that it is leaving.

#[path = "support/snapshot.rs"]
mod support;

use indexmap::IndexMap;
use std::collections::VecDeque;
use std::sync::Arc;
use support::name;
use sycamore_core::call::gatekeeper::{Gatekeeper, Input, Output};
use sycamore_core::call::note::OutgoingNote;
use sycamore_core::call::{CallKey, Outcome, Statement};
use sycamore_core::config::Snapshot;
use sycamore_core::{Code, Name, Time};

const VMS: [&str; 5] = ["a", "b", "c", "d", "e"];

const START_MS: u64 = 1_700_000_000_000;
const TICK_MS: u64 = 100;

/// A version in which the target `a` started at `started_ms`.
fn snapshot(version: u64, started_ms: u64) -> Arc<Snapshot> {
    let target = |vm: &&str| {
        let started_ms = if *vm == "a" { started_ms } else { 1 };
        format!(
            r#"{{"vm":"{vm}","region":"r","zone":"z","gate":"127.0.0.1:1",
            "peers":"127.0.0.1:9","started_ms":{started_ms}}}"#
        )
    };
    let targets: Vec<String> = VMS.iter().map(target).collect();
    let services = format!(r#"{{"s":{{"targets":[{}]}}}}"#, targets.join(","));
    let routes = r#"{"r":{"path_prefix":"/r","service":"s","idempotent":true}}"#;
    support::version(version, &services, routes)
}

/// The gatekeepers of a service, and the notes between them.
struct Service {
    gatekeepers: IndexMap<Name, Gatekeeper>,
    snapshot: Arc<Snapshot>,
    now_ms: u64,
    notes: VecDeque<(Name, OutgoingNote)>,
    runs: Vec<Name>,
    rejections: Vec<Code>,
    calls: u64,
}

impl Service {
    fn new() -> Service {
        let mut service = Service {
            gatekeepers: IndexMap::new(),
            snapshot: snapshot(1, 1),
            now_ms: START_MS,
            notes: VecDeque::new(),
            runs: Vec::new(),
            rejections: Vec::new(),
            calls: 0,
        };
        VMS.iter().for_each(|vm| service.start(vm));
        service.advance(1_000);
        service
    }

    /// Starts the gatekeeper's process on a VM, again if it runs already.
    fn start(&mut self, vm: &str) {
        let gatekeeper = Gatekeeper::new(name(vm), self.now(), self.now_ms);
        self.gatekeepers.insert(name(vm), gatekeeper);
        self.input(vm, Input::Configure(self.snapshot.clone()));
    }

    fn now(&self) -> Time {
        Time(self.now_ms * 1_000)
    }

    fn input(&mut self, vm: &str, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now();
        self.gatekeepers[&name(vm)].handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Send(note) => self.notes.push_back((name(vm), note)),
                Output::Run { .. } => self.runs.push(name(vm)),
                Output::Reject { outcome: Outcome::NotRun { code, .. }, .. } => {
                    self.rejections.push(code);
                }
                _ => {}
            }
        }
    }

    fn deliver_notes(&mut self) {
        while let Some((from, OutgoingNote { to, note })) = self.notes.pop_front() {
            self.input(to.as_str(), Input::Note { from: &from, note: &note });
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.deliver_notes();
            VMS.iter().for_each(|vm| self.input(vm, Input::Tick));
        }
    }

    fn arrive(&mut self, vm: &str) -> CallKey {
        self.calls += 1;
        let call = CallKey(self.calls);
        let arrival = support::arrival(call, "/r", Time((self.now_ms + 3_000) * 1_000));
        self.input(vm, Input::Arrive(arrival));
        call
    }

    /// The target `a` states in a response that it is leaving.
    fn state_leaving(&mut self) {
        let call = self.arrive("a");
        assert_eq!(self.runs.len(), 1);
        let statement = Statement { leaving: true, ..Statement::default() };
        self.input("a", Input::Stated { call, ran: true, statement });
        self.advance(1_000);
        self.runs.clear();
    }
}

/// Guards against work that a restarted gatekeeper sends for its own callers to a target that has
/// stated that it is leaving.
#[test]
fn leaving_kept_by_restarted_gatekeeper() {
    let mut service = Service::new();
    service.state_leaving();
    service.start("a");
    service.arrive("a");
    service.deliver_notes();
    service.arrive("a");
    service.advance(1_000);
    assert_eq!(service.runs, Vec::<Name>::new());
    assert_eq!(service.rejections, [Code::Draining, Code::Draining]);
}

/// Guards against a second version that ends the wait for the peers' answers.
#[test]
fn leaving_kept_after_second_version() {
    let mut service = Service::new();
    service.state_leaving();
    service.start("a");
    service.input("a", Input::Configure(snapshot(2, 1)));
    service.arrive("a");
    service.advance(1_000);
    assert_eq!(service.runs, Vec::<Name>::new());
    assert_eq!(service.rejections, [Code::Draining]);
}

/// Guards against peers that have forgotten the statement because they were restarted themselves.
#[test]
fn leaving_kept_when_all_restart_in_turn() {
    let mut service = Service::new();
    service.state_leaving();
    for vm in ["b", "c", "d", "e", "a"] {
        service.start(vm);
        service.advance(2_000);
    }
    service.arrive("a");
    service.advance(1_000);
    assert_eq!(service.runs, Vec::<Name>::new());
}

/// Guards against a new process of a target that gets no work because the previous one left.
#[test]
fn leaving_ends_with_process() {
    let mut service = Service::new();
    service.state_leaving();
    service.snapshot = snapshot(2, 2);
    service.start("a");
    service.arrive("a");
    service.deliver_notes();
    assert_eq!(service.runs, [name("a")]);
}

/// Guards against requests that wait for the answers of peers that are gone.
#[test]
fn leaving_unknown_without_peers() {
    let mut service = Service::new();
    service.start("a");
    service.notes.clear();
    service.arrive("a");
    service.advance(200);
    assert_eq!(service.runs, [name("a")]);
}
