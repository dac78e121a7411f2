//! The limit of a cold target against late answers, late entries, and requests that are not sent.

#[path = "support/snapshot.rs"]
mod support;

use std::time::Duration;
use support::name;
use sycamore_core::Time;
use sycamore_core::call::gatekeeper::{Arrival, Input, Output, RunEnd, TICK};
use sycamore_core::call::{CallKey, Gatekeeper, RateLimit, StatedLimit, Statement, Terms};
use sycamore_core::config::{AtMostOnceMode, Class};

const START: Time = Time(1_700_000_000_000_000);
const COLD_MS: u64 = 3_000;
const COLD_STARTS: usize = 4;

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// A gatekeeper of a target with 9 slots that bears 4 requests in a second while it is cold.
struct Gate {
    gatekeeper: Gatekeeper,
    now: u64,
    calls: u64,
    version: u64,
    probes: usize,
    granted: Vec<CallKey>,
}

impl Gate {
    /// The target `i-1` is warm, and listed as such.
    fn new() -> Gate {
        let gatekeeper = Gatekeeper::new(name("a"), at(0), 1);
        let granted = Vec::new();
        let mut gate = Gate { gatekeeper, now: 0, calls: 0, version: 0, probes: 0, granted };
        gate.list(1, false);
        gate.advance(200);
        assert_eq!(gate.probes, 1);
        gate.answer_probe(0);
        assert!(!gate.is_cold());
        gate.advance(5_000);
        gate
    }

    fn input(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.gatekeeper.handle(at(self.now), input, &mut out);
        for output in &out {
            match output {
                Output::Run { call, .. } => self.granted.push(*call),
                Output::Probe => self.probes += 1,
                _ => {}
            }
        }
        out
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            if self.now % TICK.as_millis() as u64 == 0 {
                self.input(Input::Tick);
            }
        }
    }

    fn list(&mut self, id: u64, cold: bool) {
        self.version += 1;
        let limits = format!(
            r#"{{"slots":9,"queue":64,"queue_wait_ms":3000,"cold_ms":{COLD_MS},
            "cold_starts":{COLD_STARTS},"health_path":"/health"}}"#
        );
        let target = format!(
            r#"{{"vm":"a","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9",
            "incarnation":"i-{id}","started_ms":{id},"cold":{cold}}}"#
        );
        let services = format!(r#"{{"s":{{"limits":{limits},"targets":[{target}]}}}}"#);
        let routes = r#"{"r":{"path_prefix":"/r","service":"s","idempotent":true}}"#;
        let snapshot = support::version(self.version, &services, routes);
        self.input(Input::Configure(snapshot));
    }

    fn answer_probe(&mut self, left_ms: u64) {
        let cold_left = Some(Duration::from_millis(left_ms));
        self.input(Input::Probed { cold_left, statement: Statement::default() });
    }

    fn is_cold(&self) -> bool {
        self.gatekeeper.is_target_cold(at(self.now))
    }

    fn arrive(&mut self) {
        self.arrive_on(None);
    }

    /// A request as an entry node sends it.
    fn arrive_with_terms(&mut self) {
        self.arrive_on(Some(Terms {
            service: name("s"),
            idempotent: true,
            once: AtMostOnceMode::Attempt,
            class: Class::Interactive,
            rank: 0,
            objective: at(self.now + 800),
            may_exceed_objective: true,
            repeat: false,
            regions: Vec::new(),
        }));
    }

    fn arrive_on(&mut self, terms: Option<Terms>) {
        self.calls += 1;
        let plain = support::arrival(CallKey(self.calls), "/r", at(self.now + 1_500));
        let arrival = Arrival { terms, ..plain };
        self.input(Input::Arrive(arrival));
    }

    fn end(&mut self, call: CallKey, end: RunEnd) {
        self.input(Input::End { call, end });
    }

    fn restart(&mut self) {
        self.arrive();
        let call = self.granted.pop().unwrap();
        self.end(call, RunEnd::Broken { target_gone: true });
    }
}

/// Guards against a rejected request that removes the start of another one, which was sent, from what
/// is counted.
#[test]
fn cold_rate_with_rejected_late_sends() {
    let mut gate = Gate::new();
    (0..9).for_each(|_| gate.arrive());
    let granted: Vec<CallKey> = gate.granted.drain(..).collect();
    assert_eq!(granted.len(), 9);
    let (sent, late) = granted.split_at(COLD_STARTS);
    gate.advance(150);
    gate.list(1, true);
    // None may be sent: the target has got its 4 requests.
    late.iter().for_each(|call| {
        gate.input(Input::Connected(*call));
    });
    let allowed_late = gate.granted.len();
    sent.iter().for_each(|call| gate.end(*call, RunEnd::Answered { cached: None }));
    (0..9).for_each(|_| gate.arrive());
    let in_a_second = sent.len() + gate.granted.len();
    assert!(in_a_second <= COLD_STARTS, "{in_a_second}, {allowed_late} of them sent late");
}

/// Guards against a target that gets nothing at the rate that it states while a request waits for its
/// connection.
#[test]
fn stated_rate_beside_slow_connection() {
    let mut gate = Gate::new();
    gate.arrive();
    let call = gate.granted.pop().unwrap();
    let limit = StatedLimit::Limit(RateLimit::parse("4").unwrap());
    let statement = Statement { limit, ..Statement::default() };
    gate.input(Input::Stated { call, ran: true, statement });
    gate.end(call, RunEnd::Answered { cached: None });
    gate.advance(1_000);
    gate.arrive();
    let slow = gate.granted.pop().unwrap();
    gate.input(Input::Connecting(slow));
    for _ in 0..12 {
        gate.advance(100);
        gate.arrive();
    }
    assert!(!gate.granted.is_empty(), "none started in 1.2 s at 4 a second");
}
/// Guards against the response of an earlier process to a health request, handled after the entry of
/// the next one, that ends the limit.
#[test]
fn cold_after_late_probe_response() {
    let mut gate = Gate::new();
    gate.gatekeeper = Gatekeeper::new(name("a"), at(gate.now), 2);
    let before = gate.probes;
    gate.list(1, false);
    assert_eq!(gate.probes, before + 1);
    gate.advance(100);
    gate.list(2, true);
    gate.answer_probe(0);
    assert!(gate.is_cold());
}

/// Guards against the statement of an earlier process that it is leaving, handled after the entry of the
/// next one, which would get no request.
#[test]
fn leaving_after_late_probe_response() {
    let mut gate = Gate::new();
    gate.gatekeeper = Gatekeeper::new(name("a"), at(gate.now), 2);
    gate.list(1, false);
    gate.advance(100);
    gate.list(2, true);
    let statement = Statement { leaving: true, ..Statement::default() };
    gate.input(Input::Probed { cold_left: Some(Duration::ZERO), statement });
    assert!(!gate.gatekeeper.statements().leaving);
}

/// Guards against a limit on a target that is known to have started long ago, because its entry
/// arrives late.
#[test]
fn warm_target_with_late_entry() {
    let mut gate = Gate::new();
    gate.restart();
    gate.advance(400);
    gate.arrive();
    let call = gate.granted.pop().unwrap();
    gate.end(call, RunEnd::Answered { cached: None });
    assert!(gate.is_cold());
    gate.advance(10_000);
    assert!(!gate.is_cold());
    let before = gate.probes;
    gate.list(2, false);
    gate.advance(2 * TICK.as_millis() as u64);
    let asked = gate.probes > before;
    assert!(!gate.is_cold() || asked, "cold, and not asked");
}

/// Guards against a gatekeeper that sends a cold target as much as a warm one while it has no version.
#[test]
fn cold_rate_before_late_first_version() {
    let mut gate = Gate::new();
    let address = "127.0.0.1:1".parse().unwrap();
    gate.gatekeeper =
        Gatekeeper::new(name("a"), at(gate.now), 2).with_discovered_target(address, name("s"));
    let mut sent = 0;
    for _ in 0..20 {
        gate.advance(50);
        (0..6).for_each(|_| gate.arrive_with_terms());
        let started: Vec<CallKey> = gate.granted.drain(..).collect();
        sent += started.len();
        started.into_iter().for_each(|call| gate.end(call, RunEnd::Answered { cached: None }));
    }
    assert!(sent <= COLD_STARTS, "{sent}");
}

/// Guards against a limit on a warm target that has reset one connection and isn't asked.
#[test]
fn warm_target_after_failed_connection() {
    let mut gate = Gate::new();
    gate.arrive();
    let call = gate.granted.pop().unwrap();
    gate.end(call, RunEnd::NotSent);
    gate.advance(10);
    gate.arrive();
    let call = gate.granted.pop().unwrap();
    gate.end(call, RunEnd::Answered { cached: None });
    let before = gate.probes;
    gate.advance(2 * TICK.as_millis() as u64);
    let asked = gate.probes > before;
    assert!(!gate.is_cold() || asked, "cold, and not asked");
}

/// Guards against a target that becomes cold again while it is cold, and counts as warm by the clock
/// of the first time although its entry says that it is cold.
#[test]
fn cold_again_while_cold() {
    let mut gate = Gate::new();
    gate.list(2, true);
    let before = gate.probes;
    gate.advance(2_000);
    // Cold again for the whole time; the entry still says so at its next change.
    gate.list(2, true);
    gate.advance(COLD_MS - 2_000 + 10);
    gate.list(2, true);
    gate.advance(200);
    let asked = gate.probes > before;
    assert!(gate.is_cold() || asked, "warm, and not asked");
}
