//! Quarantine of a request that crashes its targets, across restarts of gatekeepers.

#[path = "support/snapshot.rs"]
mod support;

use indexmap::IndexMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::gatekeeper::{Arrival, Gatekeeper, Input, Output, RunEnd};
use sycamore_core::call::note::OutgoingNote;
use sycamore_core::call::quarantine::SUSPICION_TTL;
use sycamore_core::call::{CallKey, Fingerprint, Outcome};
use sycamore_core::config::Snapshot;
use sycamore_core::{Code, Name, Time};

const VMS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const START: Time = Time(1_700_000_000_000_000);
const CRASHING: Fingerprint = Fingerprint(666);

/// Time for which a killed process is away.
const RESTART: Duration = Duration::from_millis(300);

fn snapshot(version: u64, vms: &[&str]) -> Arc<Snapshot> {
    let target = |vm: &&str| {
        format!(
            r#"{{"vm":"{vm}","region":"r","zone":"z","gate":"127.0.0.1:1",
            "peers":"127.0.0.1:9","incarnation":"{vm}","started_ms":1}}"#
        )
    };
    let targets: Vec<String> = vms.iter().map(target).collect();
    let services = format!(r#"{{"s":{{"targets":[{}]}}}}"#, targets.join(","));
    let routes = r#"{"r":{"path_prefix":"/r","service":"s","idempotent":true}}"#;
    support::version(version, &services, routes)
}

/// The gatekeepers of a service, and the notes between them.
struct Service {
    gatekeepers: IndexMap<Name, Gatekeeper>,
    now: Time,
    notes: VecDeque<(Name, OutgoingNote)>,
    calls: u64,
    decisions: IndexMap<CallKey, Result<(), Code>>,
}

impl Service {
    fn new(vms: &[&str]) -> Service {
        let mut service = Service {
            gatekeepers: IndexMap::new(),
            now: START,
            notes: VecDeque::new(),
            calls: 0,
            decisions: IndexMap::new(),
        };
        vms.iter().for_each(|vm| service.start(vm, snapshot(1, vms)));
        service.advance(Duration::from_secs(1));
        service
    }

    /// Starts the gatekeeper's process on a VM, again if it runs already.
    fn start(&mut self, vm: &str, snapshot: Arc<Snapshot>) {
        let gatekeeper = Gatekeeper::new(name(vm), self.now, 1);
        self.gatekeepers.insert(name(vm), gatekeeper);
        self.input(vm, Input::Configure(snapshot));
    }

    fn restart(&mut self, vms: &[&str]) {
        vms.iter().for_each(|vm| {
            self.gatekeepers.swap_remove(&name(vm));
        });
        self.now = self.now + RESTART;
        self.notes.clear();
        vms.iter().for_each(|vm| self.start(vm, snapshot(1, &VMS)));
        self.advance(Duration::from_secs(1));
    }

    fn input(&mut self, vm: &str, input: Input<'_>) {
        let mut out = Vec::new();
        let Some(gatekeeper) = self.gatekeepers.get_mut(&name(vm)) else { return };
        gatekeeper.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send(note) => self.notes.push_back((name(vm), note)),
                Output::Run { call, .. } => {
                    self.decisions.insert(call, Ok(()));
                }
                Output::Reject { call, outcome: Outcome::NotRun { code, .. }, .. } => {
                    self.decisions.insert(call, Err(code));
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

    fn advance(&mut self, time: Duration) {
        self.deliver_notes();
        self.now = self.now + time;
        let vms: Vec<Name> = self.gatekeepers.keys().cloned().collect();
        vms.iter().for_each(|vm| {
            self.input(vm.as_str(), Input::Tick);
        });
    }

    /// Sends a request to a target.
    fn arrive(&mut self, vm: &str, fingerprint: Fingerprint) -> CallKey {
        self.calls += 1;
        let call = CallKey(self.calls);
        let plain = support::arrival(call, "/r", self.now + Duration::from_secs(3));
        let arrival = Arrival { fingerprint, ..plain };
        self.input(vm, Input::Arrive(arrival));
        call
    }

    /// Sends a request to a target that is not busy: it runs or is rejected.
    fn send(&mut self, vm: &str, fingerprint: Fingerprint) -> Result<CallKey, Code> {
        let call = self.arrive(vm, fingerprint);
        self.decisions[&call].map(|()| call)
    }

    /// Sends a request that ends the target's process if it runs. Returns whether it has run.
    fn crash(&mut self, vm: &str) -> bool {
        let sent = self.send(vm, CRASHING);
        if let Ok(call) = sent {
            self.input(vm, Input::End { call, end: RunEnd::Broken { target_gone: true } });
        }
        self.advance(Duration::from_secs(1));
        sent.is_ok()
    }

    /// The target is back, and responds to a request.
    fn respond(&mut self, vm: &str) {
        let call = self.send(vm, Fingerprint(1)).unwrap();
        self.input(vm, Input::End { call, end: RunEnd::Answered { cached: None } });
        self.advance(Duration::from_secs(1));
    }
}

/// Guards against a quarantined request that crashes a target whose gatekeeper has been restarted
/// since.
#[test]
fn quarantine_kept_by_restarted_gatekeeper() {
    let mut service = Service::new(&VMS);
    assert!(service.crash("a") && service.crash("b"));
    service.restart(&["c"]);
    assert!(!service.crash("c"));
}

/// Guards against a quarantined request that crashes one more target after each restart while all
/// gatekeepers are restarted in turn.
#[test]
fn quarantine_kept_when_all_restart_in_turn() {
    let mut service = Service::new(&VMS);
    assert!(service.crash("a") && service.crash("b"));
    let mut crashes = 0;
    for vm in VMS {
        service.restart(&[vm]);
        crashes += usize::from(service.crash(vm));
    }
    assert_eq!(crashes, 0);
}

/// Guards against a quarantined request that arrives while a restarted gatekeeper holds requests, and
/// runs once the peers have told about it.
#[test]
fn quarantine_of_request_held_after_restart() {
    let mut service = Service::new(&VMS);
    assert!(service.crash("a") && service.crash("b"));
    service.start("c", snapshot(1, &VMS));
    let call = service.arrive("c", CRASHING);
    assert_eq!(service.decisions.get(&call), None);
    service.advance(Duration::from_secs(1));
    assert_eq!(service.decisions[&call], Err(Code::Quarantined));
}

/// Guards against a quarantined request that crashes a target which has joined since.
#[test]
fn quarantine_kept_by_new_target() {
    let mut service = Service::new(&VMS[..5]);
    assert!(service.crash("a") && service.crash("b"));
    service.start("f", snapshot(2, &VMS));
    service.advance(Duration::from_secs(1));
    assert!(!service.crash("f"));
}

/// Guards against a request that a restarted gatekeeper rejects although it has been answered since.
#[test]
fn quarantine_of_cleared_request_ends() {
    let mut service = Service::new(&VMS);
    assert!(service.crash("a"));
    let call = service.send("b", CRASHING).unwrap();
    service.input("b", Input::End { call, end: RunEnd::Answered { cached: None } });
    service.restart(&["c"]);
    assert!(service.send("c", CRASHING).is_ok());
    assert!(service.crash("a"));
    assert!(service.send("d", CRASHING).is_ok());
}

/// Guards against a quarantine that lasts at restarted gatekeepers after the others have ended it and
/// a target has answered the request.
#[test]
fn quarantine_after_restart_ends_with_response() {
    let mut service = Service::new(&VMS);
    assert!(service.crash("a") && service.crash("b"));
    service.advance(SUSPICION_TTL - Duration::from_secs(10));
    service.restart(&["c"]);
    service.advance(Duration::from_secs(10));
    assert_eq!(service.send("c", CRASHING), Err(Code::Quarantined));
    let call = service.send("a", CRASHING).unwrap();
    service.input("a", Input::End { call, end: RunEnd::Answered { cached: None } });
    service.deliver_notes();
    assert!(service.send("c", CRASHING).is_ok());
}

/// Guards against a request that crashes more targets than are needed to quarantine it, once nobody knows
/// it any more because all gatekeepers have restarted at once.
#[test]
fn quarantine_after_all_restart_at_once() {
    let mut service = Service::new(&VMS);
    assert!(service.crash("a") && service.crash("b"));
    service.restart(&VMS);
    let crashes = VMS.iter().filter(|vm| service.crash(vm)).count();
    assert_eq!(crashes, 2);
}

/// Guards against two crashes counted against requests that ran during one: some of their connections
/// break only after the target is back.
#[test]
fn quarantine_late_break_of_one_crash() {
    let mut service = Service::new(&VMS);
    service.respond("a");
    let calls: Vec<CallKey> = (0..3).map(|_| service.send("a", CRASHING).unwrap()).collect();
    let gone = RunEnd::Broken { target_gone: true };
    service.input("a", Input::End { call: calls[0], end: gone });
    let first = service.send("a", Fingerprint(1)).unwrap();
    service.input("a", Input::Connecting(first));
    service.input("a", Input::Connected(first));
    for call in &calls[1..] {
        let gone = RunEnd::Broken { target_gone: true };
        service.input("a", Input::End { call: *call, end: gone });
    }
    service.deliver_notes();
    assert!(service.send("b", CRASHING).is_ok());
}

/// Guards against a request that crashes the only target time and again: each time it is the first
/// request after the target's return, so that no response separates two crashes.
#[test]
fn quarantine_crashes_of_one_target_without_response() {
    let mut service = Service::new(&VMS);
    let mut crashes = 0;
    for _ in 0..6 {
        let Ok(call) = service.send("a", CRASHING) else { break };
        service.input("a", Input::Connecting(call));
        service.input("a", Input::Connected(call));
        service.input("a", Input::End { call, end: RunEnd::Broken { target_gone: true } });
        service.advance(Duration::from_secs(2));
        crashes += 1;
    }
    assert_eq!(crashes, 2);
}
