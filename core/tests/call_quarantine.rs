//! Tests of the quarantine: requests that crash targets, and requests that ran at the same time.

#[path = "support/snapshot.rs"]
mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::gatekeeper::{Arrival, Input, Output, RunEnd};
use sycamore_core::call::quarantine::{MAX_SUSPECTS, SUSPICION_TTL, Suspects};
use sycamore_core::call::{CallKey, Fingerprint, Gatekeeper, Outcome};
use sycamore_core::config::Snapshot;
use sycamore_core::event::EventKind;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const VMS: [&str; 4] = ["a", "b", "c", "d"];
const CRASHING: Fingerprint = Fingerprint(666);

fn snapshot() -> Arc<Snapshot> {
    let routes = r#"{"idem":{"path_prefix":"/idem","service":"s","idempotent":true}}"#;
    support::snapshot(1, &VMS, "{}", routes)
}

struct Fleet {
    now: Time,
    last_call: u64,
    nodes: Vec<Gatekeeper>,
}

impl Fleet {
    fn new() -> Fleet {
        let nodes = VMS.iter().map(|vm| Gatekeeper::new(name(vm), START, 1)).collect();
        let mut fleet = Fleet { now: START, last_call: 0, nodes };
        (0..VMS.len()).for_each(|at| {
            fleet.handle(at, Input::Configure(snapshot()));
        });
        fleet
    }

    /// Handles an input and delivers the resulting notes.
    fn handle(&mut self, at: usize, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.nodes[at].handle(self.now, input, &mut out);
        for output in &out {
            if let Output::Send(note) = output {
                let to = VMS.iter().position(|vm| *vm == note.to.as_str()).unwrap();
                let from = name(VMS[at]);
                let input = Input::Note { from: &from, note: &note.note };
                self.nodes[to].handle(self.now, input, &mut Vec::new());
            }
        }
        out
    }

    fn submit(&mut self, at: usize, fingerprint: Fingerprint) -> Result<CallKey, Code> {
        self.last_call += 1;
        let call = CallKey(self.last_call);
        let deadline = self.now + Duration::from_secs(1);
        let (path, key, digest, crashes) = ("/idem", None, None, 0);
        let arrival = Arrival {
            host: "",
            terms: None,
            call,
            path,
            key,
            digest,
            fingerprint,
            crashes,
            depth: 0,
            deadline,
            run_by: None,
            known_limit: None,
        };
        for output in self.handle(at, Input::Arrive(arrival)) {
            match output {
                Output::Run { .. } => return Ok(call),
                Output::Reject { outcome: Outcome::NotRun { code, .. }, .. } => return Err(code),
                _ => {}
            }
        }
        panic!("the request was neither run nor rejected");
    }

    fn end(&mut self, at: usize, call: CallKey, end: RunEnd) {
        self.handle(at, Input::End { call, end });
        self.now = self.now + Duration::from_millis(700);
    }

    /// Lets each of these targets respond to a request.
    fn respond(&mut self, targets: &[usize], fingerprint: Fingerprint) {
        for at in targets {
            let call = self.submit(*at, fingerprint).unwrap();
            self.handle(*at, Input::End { call, end: RunEnd::Answered { cached: None } });
        }
    }

    /// Sends a request to these targets at once, each of which breaks its connection although it has
    /// just responded to another request.
    fn cut_answers(&mut self, targets: &[usize], fingerprint: Fingerprint) {
        self.respond(targets, Fingerprint(1));
        let calls: Vec<_> =
            targets.iter().map(|at| (*at, self.submit(*at, fingerprint).unwrap())).collect();
        for (at, call) in calls {
            self.handle(at, Input::End { call, end: RunEnd::Broken { target_gone: false } });
            self.now = self.now + Duration::from_millis(10);
        }
    }

    /// Sends a request to these targets one after the other, each of which ends.
    fn crash(&mut self, targets: &[usize], fingerprint: Fingerprint) {
        for at in targets {
            let call = self.submit(*at, fingerprint).unwrap();
            self.end(*at, call, RunEnd::Broken { target_gone: true });
        }
    }
}

#[test]
fn quarantine_third_target() {
    // A request that crashed two targets must not reach a third; other requests of its route must.
    let mut fleet = Fleet::new();
    fleet.crash(&[0, 1], CRASHING);
    for at in 0..4 {
        assert_eq!(fleet.submit(at, CRASHING), Err(Code::Quarantined));
    }
    for at in 2..4 {
        assert!(fleet.submit(at, Fingerprint(1)).is_ok());
    }
    fleet.now = fleet.now + SUSPICION_TTL;
    assert!(fleet.submit(2, CRASHING).is_ok());
}

/// Guards against a hot request that is turned away for a minute because living targets cut some of
/// the answers to it.
#[test]
fn quarantine_cut_answers_at_living_targets() {
    let mut fleet = Fleet::new();
    fleet.respond(&[0, 1], CRASHING);
    for _ in 0..10 {
        fleet.cut_answers(&[0, 1], CRASHING);
    }
    assert!(fleet.submit(2, CRASHING).is_ok());
}

/// Guards against a request that is new, and that is turned away everywhere for a minute because
/// living targets sent broken responses to it.
#[test]
fn quarantine_broken_responses_of_living_targets() {
    let mut fleet = Fleet::new();
    for at in [0, 1].repeat(10) {
        let call = fleet.submit(at, CRASHING).unwrap();
        fleet.end(at, call, RunEnd::BrokenResponse);
    }
    assert!(fleet.submit(2, CRASHING).is_ok());
}

/// Guards against a broken response that speaks for its request as a whole one does, so that later
/// crashes at targets that are back at once are not counted.
#[test]
fn quarantine_crashes_after_broken_response() {
    let mut fleet = Fleet::new();
    for at in [0, 1] {
        let call = fleet.submit(at, CRASHING).unwrap();
        fleet.handle(at, Input::End { call, end: RunEnd::BrokenResponse });
    }
    fleet.cut_answers(&[0, 1], CRASHING);
    assert_eq!(fleet.submit(2, CRASHING), Err(Code::Quarantined));
}

/// Guards against a target that counts as crashed, with all requests that it runs, because its responses
/// are broken.
#[test]
fn quarantine_target_with_broken_responses_lives() {
    let mut fleet = Fleet::new();
    fleet.now = fleet.now + SUSPICION_TTL;
    let calls = [2, 3].map(|fingerprint| fleet.submit(0, Fingerprint(fingerprint)).unwrap());
    fleet.handle(0, Input::End { call: calls[0], end: RunEnd::BrokenResponse });
    let end = RunEnd::Broken { target_gone: false };
    let out = fleet.handle(0, Input::End { call: calls[1], end });
    assert!(!out.contains(&Output::Record(EventKind::TargetLost)), "{out:?}");
}

/// Guards against a request that was answered once and that crashes any number of targets later.
#[test]
fn quarantine_crashes_after_answer() {
    let mut fleet = Fleet::new();
    fleet.respond(&[0, 1, 2], CRASHING);
    fleet.crash(&[0, 1], CRASHING);
    assert_eq!(fleet.submit(2, CRASHING), Err(Code::Quarantined));
}

/// Guards against a response of long ago that speaks for a request.
#[test]
fn quarantine_answer_expires() {
    let mut fleet = Fleet::new();
    fleet.respond(&[0, 1], CRASHING);
    fleet.now = fleet.now + SUSPICION_TTL * 2;
    fleet.cut_answers(&[0, 1], CRASHING);
    assert_eq!(fleet.submit(2, CRASHING), Err(Code::Quarantined));
}

/// Guards against a request that crashes targets whose processes are back at once, and reaches a
/// third one.
#[test]
fn quarantine_crashes_at_living_targets() {
    let mut fleet = Fleet::new();
    fleet.cut_answers(&[0, 1], CRASHING);
    assert_eq!(fleet.submit(2, CRASHING), Err(Code::Quarantined));
}

/// Guards against a request that crashes a third target because it waited for its connection while the
/// second crash was reported.
#[test]
fn quarantine_waiting_request() {
    let mut fleet = Fleet::new();
    let waiting = fleet.submit(2, CRASHING).unwrap();
    let other = fleet.submit(2, Fingerprint(1)).unwrap();
    for call in [waiting, other] {
        fleet.handle(2, Input::Connecting(call));
    }
    fleet.crash(&[0, 1], CRASHING);
    let runs = [waiting, other].map(|call| {
        let out = fleet.handle(2, Input::Connected(call));
        out.iter().any(|output| matches!(output, Output::Run { .. }))
    });
    assert_eq!(runs, [false, true]);
}

#[test]
fn quarantine_bystanders() {
    // Requests that ran during a crash and succeed elsewhere must not be quarantined by the
    // next crash.
    let mut fleet = Fleet::new();
    let bystanders: Vec<Fingerprint> = (0..5).map(Fingerprint).collect();
    for at in 0..2 {
        let calls: Vec<_> =
            bystanders.iter().map(|bystander| fleet.submit(at, *bystander).unwrap()).collect();
        let crashing = fleet.submit(at, CRASHING).unwrap();
        fleet.end(at, crashing, RunEnd::Broken { target_gone: true });
        calls
            .into_iter()
            .for_each(|call| fleet.end(at, call, RunEnd::Broken { target_gone: true }));
        for bystander in &bystanders {
            let call = fleet.submit(3, *bystander).unwrap();
            fleet.end(3, call, RunEnd::Answered { cached: None });
        }
    }
    assert_eq!(fleet.submit(2, CRASHING), Err(Code::Quarantined));
    assert!(bystanders.iter().all(|bystander| fleet.submit(2, *bystander).is_ok()));
}

#[test]
fn quarantine_one_crash_counts_once() {
    // The requests of a crashed target fail one after another but count as one crash.
    let mut fleet = Fleet::new();
    let calls: Vec<_> = (0..5).map(|_| fleet.submit(0, CRASHING).unwrap()).collect();
    for call in calls {
        fleet.handle(0, Input::End { call, end: RunEnd::Broken { target_gone: true } });
    }
    assert!(fleet.submit(1, CRASHING).is_ok());
}

#[test]
fn quarantine_recorded() {
    // Each gatekeeper records an event once when it quarantines a request, so that operators can
    // see it.
    let mut fleet = Fleet::new();
    let mut recorded = Vec::new();
    for at in 0..2 {
        let call = fleet.submit(at, CRASHING).unwrap();
        let end = RunEnd::Broken { target_gone: true };
        let out = fleet.handle(at, Input::End { call, end });
        let is_record = |output: &&Output| matches!(output, Output::Record(EventKind::Quarantined));
        recorded.push(out.iter().filter(is_record).count());
    }
    assert_eq!(recorded, [0, 1]);
    let out = fleet.handle(1, Input::Tick);
    assert!(!out.contains(&Output::Record(EventKind::Quarantined)));
}

#[test]
fn suspects_bounded() {
    let mut suspects = Suspects::new();
    for n in 0..MAX_SUSPECTS as u64 * 2 {
        suspects.record_crash(START, n, &[Fingerprint(n)]);
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
}

#[test]
fn fingerprint_of_parts() {
    let parts: [&[&[u8]]; 4] = [&[b"a", b"b"], &[b"ab"], &[b"", b"ab"], &[b"b", b"a"]];
    let distinct: BTreeSet<Fingerprint> =
        parts.iter().map(|parts| Fingerprint::of(parts)).collect();
    assert_eq!(distinct.len(), 4);
}
