//! Start rate of cold targets.

use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;
use sycamore_core::call::CallKey;
use sycamore_core::call::admit::{Admission, ColdChange, Offer, Popped, Slots, StartLimits};
use sycamore_core::config::{Class, ServiceLimits};
use sycamore_core::event::ColdEvidence;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const COLD_MS: u64 = 3_000;
const COLD_STARTS: usize = 16;

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn limits() -> ServiceLimits {
    ServiceLimits {
        slots: 6,
        queue: 64,
        queue_wait_ms: 3_000,
        cold_ms: COLD_MS as u32,
        cold_starts: COLD_STARTS as u32,
        ..ServiceLimits::default()
    }
}

fn cold_starts() -> StartLimits {
    let mut cold = StartLimits::new();
    cold.set_limits(&limits());
    cold
}

fn offer(call: u64, now: Time) -> Offer {
    Offer {
        call: CallKey(call),
        class: Class::Interactive,
        rank: 0,
        depth: 0,
        deadline: now + Duration::from_secs(2),
        run_by: None,
        objective: None,
    }
}

/// Starts as many requests as possible at each of these times.
fn start_all(cold: &mut StartLimits, times: impl Iterator<Item = u64>) -> usize {
    let mut started = 0;
    for now in times.map(at) {
        while started < 1_000 && cold.delay(now, 0).is_zero() {
            cold.record_start(now);
            started += 1;
        }
    }
    started
}

#[test]
fn cold_after_outage() {
    let mut cold = cold_starts();
    assert!(!cold.is_cold(at(0)));
    cold.target_down(at(0));
    assert!(cold.is_cold(at(60_000)));
    cold.target_responded(at(60_000));
    assert!(cold.is_cold(at(60_000 + COLD_MS - 1)));
    assert!(!cold.is_cold(at(60_000 + COLD_MS)));
}

/// Guards against a restarted gatekeeper that takes its target for warm although both have lost
/// power.
#[test]
fn cold_after_start_of_gatekeeper() {
    let mut cold = cold_starts();
    cold.gatekeeper_started(at(0));
    assert!(cold.is_cold(at(COLD_MS)));
    assert!(!cold.is_cold(at(2 * COLD_MS)));
}

/// Guards against limits on a target that is warm or was asked, and against asking one whose start
/// was observed.
#[test]
fn cold_presumed_until_probed() {
    let mut cold = cold_starts();
    cold.gatekeeper_started(at(0));
    assert!(cold.is_presumed(at(10)));
    cold.probed(at(20), Duration::ZERO);
    assert!(!cold.is_presumed(at(20)) && !cold.is_cold(at(20)));
    cold.evacuation_ended(at(1_000));
    cold.probed(at(1_100), Duration::from_millis(700));
    assert!(cold.is_cold(at(1_849)) && !cold.is_presumed(at(1_200)));
    assert!(!cold.is_cold(at(1_850)));
    cold.target_down(at(0));
    cold.probed(at(2_000), Duration::ZERO);
    assert!(cold.is_cold(at(2_000)));
}

/// Guards against requests that waited for the end of the cold time and are sent together just before
/// it: the target states the time in whole milliseconds.
#[test]
fn cold_until_stated_time_has_passed() {
    let mut cold = cold_starts();
    cold.gatekeeper_started(at(0));
    cold.probed(at(2_000), Duration::from_millis(700));
    let end = at(2_700) + Duration::from_micros(999);
    (0..COLD_STARTS).for_each(|_| cold.record_start(at(2_500)));
    assert!(!cold.delay(end, 0).is_zero());
    assert!(cold.delay(end + Duration::from_millis(50), 0).is_zero());
}

/// Guards against health requests beyond the limit, one after the other while they have no response.
#[test]
fn cold_probes_within_limit() {
    let mut cold = cold_starts();
    cold.gatekeeper_started(at(0));
    assert!(cold.needs_probe(at(100)));
    cold.probe_sent(at(100));
    assert!(!cold.needs_probe(at(600)));
    (0..COLD_STARTS).for_each(|_| cold.record_start(at(1_200)));
    assert!(cold.needs_probe(at(1_300)));
    cold.probe_sent(at(1_300));
    assert!(!cold.needs_probe(at(1_800)));
}

/// Guards against a report that arrives after the start was observed and extends the cold time.
#[test]
fn cold_report_after_observed_start() {
    let mut cold = cold_starts();
    cold.target_down(at(0));
    cold.target_responded(at(0));
    cold.listed_cold(at(2_000));
    assert!(!cold.is_cold(at(COLD_MS)));
    cold.listed_cold(at(10_000));
    assert!(cold.is_cold(at(10_000 + COLD_MS - 1)));
}

/// Guards against a second start that is taken for the first one, and against a limit that begins anew
/// when the entry of a start arrives that was observed.
#[test]
fn cold_entry_after_observed_start() {
    let mut cold = cold_starts();
    cold.target_down(at(0));
    cold.target_responded(at(0));
    cold.process_listed(at(1_000));
    assert!(cold.needs_probe(at(1_000)));
    assert!(cold.is_cold(at(COLD_MS - 1)) && !cold.is_cold(at(COLD_MS)));
    cold.process_listed(at(2_000));
    assert!(cold.is_cold(at(2_000 + COLD_MS - 1)) && !cold.is_cold(at(2_000 + COLD_MS)));
}

/// Guards against a limit that begins anew with the entry of a start that a rejection told of, and
/// against one that doesn't begin with the entry of the next process.
#[test]
fn cold_entry_after_rejection() {
    let mut cold = cold_starts();
    cold.process_rejected(at(0));
    cold.process_listed(at(1_000));
    assert!(!cold.is_cold(at(COLD_MS)));
    cold.process_listed(at(10_000));
    assert!(cold.is_cold(at(10_000)));
}

/// Guards against a limit whose begin, reason and end can't be found in the log.
#[test]
fn cold_changes_reported() {
    let mut cold = cold_starts();
    let change = |evidence, left: u64| {
        Some(ColdChange::Cold { evidence, left: Duration::from_millis(left) })
    };
    assert_eq!(cold.take_change(at(0)), None);
    cold.process_rejected(at(0));
    assert_eq!(cold.take_change(at(10)), change(ColdEvidence::Rejection, COLD_MS - 10));
    assert_eq!(cold.take_change(at(20)), None);
    cold.probed(at(100), Duration::from_millis(500));
    assert_eq!(cold.take_change(at(100)), change(ColdEvidence::Health, 550));
    assert_eq!(cold.take_change(at(650)), Some(ColdChange::Warm));
    cold.target_down(at(0));
    assert_eq!(cold.take_change(at(700)), None);
    cold.target_responded(at(800));
    assert_eq!(cold.take_change(at(800)), change(ColdEvidence::Response, COLD_MS));
}

#[test]
fn cold_starts_in_a_second() {
    let mut cold = cold_starts();
    cold.target_down(at(0));
    cold.target_responded(at(0));
    assert_eq!(start_all(&mut cold, 0..1_000), COLD_STARTS);
    assert_eq!(start_all(&mut cold, 1_000..2_000), COLD_STARTS);
}

/// Guards against a burst after a report, on top of the requests sent just before it.
#[test]
fn cold_counts_starts_before_report() {
    let mut cold = cold_starts();
    (0..COLD_STARTS).for_each(|_| cold.record_start(at(0)));
    cold.listed_cold(at(100));
    assert_eq!(start_all(&mut cold, 100..1_000), 0);
}

#[test]
fn cold_start_withdrawn() {
    let mut cold = cold_starts();
    cold.listed_cold(at(0));
    assert_eq!(start_all(&mut cold, 0..1), COLD_STARTS);
    cold.withdraw_start(at(0));
    assert_eq!(start_all(&mut cold, 1..1_000), 1);
}

/// The announced delay is the time at which the start becomes possible.
#[test]
fn cold_delay_of_queued() {
    let mut cold = cold_starts();
    cold.listed_cold(at(0));
    for start in 0..COLD_STARTS {
        cold.record_start(at(10 * start as u64));
    }
    let first = cold.delay(at(200), 0);
    assert_eq!(cold.delay(at(200), 3), first + Duration::from_millis(30));
    let (before, due) = (first - Duration::from_millis(1), at(200) + first);
    assert!(!cold.delay(at(200) + before, 0).is_zero());
    assert!(cold.delay(due, 0).is_zero());
    assert!(cold.delay(at(200), 1_000) <= Duration::from_millis(COLD_MS - 200));
}

#[test]
fn slots_reject_cold_at_once() {
    let mut slots = Slots::starting(limits(), START);
    slots.set_limits(limits());
    let mut codes = Vec::new();
    for call in 0..200 {
        match slots.offer(START, offer(call, START)) {
            Admission::Run => slots.end(at(1), CallKey(call)),
            Admission::Queue(_) => {}
            Admission::Reject(code, wait) => codes.push((code, wait)),
        }
    }
    let (code, wait) = codes[0];
    assert_eq!(code, Code::TargetCold);
    assert!(wait > Duration::from_secs(1), "{wait:?}");
}

/// A target that crashes when it is sent too many requests while it is cold.
struct FragileTarget {
    slots: Slots,
    up_at: u64,
    starts: VecDeque<u64>,
    running: VecDeque<(u64, u64)>,
    crashes: u32,
    answered_late_in_run: u32,
}

/// Cold target rate above which it crashes, and how long it is down after a crash.
const CRASH_RATE: usize = 20;
const DOWN_MS: u64 = 1_000;
const REPLAY_MS: u64 = 20_000;

impl FragileTarget {
    fn crash(&mut self, now: u64) {
        self.crashes += 1;
        self.up_at = now + DOWN_MS;
        self.slots.start_limits_mut().target_down(at(now));
        for (call, _) in std::mem::take(&mut self.running) {
            self.slots.abandon(CallKey(call));
        }
    }

    fn run(&mut self, now: u64, call: u64) {
        if now < self.up_at {
            return self.slots.release(CallKey(call));
        }
        self.slots.start_limits_mut().target_responded(at(now));
        self.starts.push_back(now);
        while self.starts.front().is_some_and(|start| *start + 1_000 <= now) {
            self.starts.pop_front();
        }
        let is_cold = now < self.up_at + COLD_MS;
        self.running.push_back((call, now + 160));
        if is_cold && self.starts.len() > CRASH_RATE {
            self.crash(now);
        }
    }
}

/// All targets have just started; requests come at the full rate of a warm target.
fn replay_power_loss(limits: ServiceLimits) -> FragileTarget {
    let mut target = FragileTarget {
        slots: Slots::starting(limits.clone(), START),
        up_at: 0,
        starts: VecDeque::new(),
        running: VecDeque::new(),
        crashes: 0,
        answered_late_in_run: 0,
    };
    target.slots.set_limits(limits);
    for now in 0..REPLAY_MS {
        while target.running.front().is_some_and(|(_, end)| *end <= now) {
            let (call, _) = target.running.pop_front().unwrap();
            target.slots.end(at(now), CallKey(call));
            target.answered_late_in_run += u32::from(now > REPLAY_MS / 2);
        }
        let arrives = now % 28 == 0;
        if arrives && target.slots.offer(at(now), offer(now, at(now))) == Admission::Run {
            target.run(now, now);
        }
        while let Some(popped) = target.slots.pop(at(now)) {
            if let Popped::Run(CallKey(call)) = popped {
                target.run(now, call);
            }
        }
    }
    target
}

/// Guards against targets that are crashed again each time they come back.
#[test]
fn cold_target_recovers() {
    let unlimited = replay_power_loss(ServiceLimits { cold_ms: 0, ..limits() });
    let limited = replay_power_loss(limits());
    assert!(unlimited.crashes > 5, "{}", unlimited.crashes);
    assert_eq!(limited.crashes, 0);
    let ratio = limited.answered_late_in_run as f64 / unlimited.answered_late_in_run.max(1) as f64;
    assert!(ratio > 1.5, "{ratio}");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer,
    EndOldest,
    Pop,
    Down,
    Report,
}

proptest! {
    /// No start exceeds the rate within the last second, compared with a list of all starts.
    #[test]
    fn cold_rate_never_exceeded(
        steps in prop::collection::vec(
            (0u64..120, prop_oneof![
                12 => Just(Step::Offer), 6 => Just(Step::EndOldest), 6 => Just(Step::Pop),
                1 => Just(Step::Down), 1 => Just(Step::Report),
            ]),
            1..400,
        ),
    ) {
        let mut slots = Slots::starting(limits(), START);
        slots.set_limits(limits());
        let mut starts: Vec<(u64, u64)> = Vec::new();
        let mut running: VecDeque<u64> = VecDeque::new();
        let mut now = 0;
        for (call, (gap, step)) in steps.into_iter().enumerate() {
            now += gap;
            let call = call as u64;
            let cold = slots.start_limits_mut().is_cold(at(now));
            let started = match step {
                Step::Offer => (slots.offer(at(now), offer(call, at(now))) == Admission::Run)
                    .then_some(call),
                Step::Pop => match slots.pop(at(now)) {
                    Some(Popped::Run(CallKey(call))) => Some(call),
                    _ => None,
                },
                Step::EndOldest => {
                    if let Some(call) = running.pop_front() {
                        slots.end(at(now), CallKey(call));
                        slots.start_limits_mut().target_responded(at(now));
                    }
                    None
                }
                Step::Down => { slots.start_limits_mut().target_down(at(now)); None }
                Step::Report => { slots.start_limits_mut().listed_cold(at(now)); None }
            };
            if let Some(call) = started {
                starts.push((call, now));
                running.push_back(call);
                let recent = starts.iter().filter(|(_, start)| start + 1_000 > now).count();
                prop_assert!(!cold || recent <= COLD_STARTS, "{recent} starts at {now} ms");
            }
        }
    }
}
