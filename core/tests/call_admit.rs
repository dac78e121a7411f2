//! Admission: slots exactly, a bounded queue, order by class, early refusals.

use proptest::prelude::*;
use std::time::Duration;
use sycamore_core::call::CallKey;
use sycamore_core::call::admit::{Admission, Popped, Slots};
use sycamore_core::config::{Class, ServiceLimits};
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);

fn limits(slots: u32, queue: u32) -> ServiceLimits {
    ServiceLimits { slots, queue, queue_wait_ms: 1_000, ..ServiceLimits::default() }
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn offer(slots: &mut Slots, call: u64, class: Class) -> Admission {
    slots.offer(START, CallKey(call), class, after(10_000))
}

#[test]
fn slots_gating_first() {
    // Story: a target is busy with ledgers and lookups wait behind them, although a sign-up waits
    // for each lookup. Gating work goes first.
    let mut slots = Slots::new(limits(1, 10));
    assert_eq!(offer(&mut slots, 0, Class::Bulk), Admission::Run);
    for (call, class) in [(1, Class::Bulk), (2, Class::Interactive), (3, Class::Gating)] {
        assert_eq!(offer(&mut slots, call, class), Admission::Queue(after(1_000)));
    }
    let mut order = Vec::new();
    for running in [0, 3, 2] {
        slots.end(after(1), CallKey(running));
        order.push(slots.pop(after(1)));
    }
    assert_eq!(order, [3, 2, 1].map(|call| Some(Popped::Run(CallKey(call)))));
}

#[test]
fn slots_bulk_share() {
    let mut slots = Slots::new(limits(4, 10));
    let bulk: Vec<_> = (0..4).map(|call| offer(&mut slots, call, Class::Bulk)).collect();
    assert_eq!(bulk[..2], [Admission::Run; 2]);
    assert!(matches!(bulk[2], Admission::Queue(_)));
    assert_eq!(slots.pop(START), None);
    assert_eq!(slots.load(START).in_flight, 2);
}

#[test]
fn slots_bulk_not_starved() {
    // Story: lookups come without pause, and a route map that must arrive before dawn waits for
    // ever behind them.
    let mut slots = Slots::new(limits(1, 100));
    offer(&mut slots, 0, Class::Gating);
    offer(&mut slots, 1, Class::Bulk);
    let mut running = 0;
    for call in 2..30 {
        offer(&mut slots, call, Class::Gating);
        slots.end(START, CallKey(running));
        match slots.pop(START) {
            Some(Popped::Run(CallKey(1))) => return,
            Some(Popped::Run(next)) => running = next.0,
            other => panic!("{other:?}"),
        }
    }
    panic!("the bulk request never ran");
}

#[test]
fn slots_expired_not_run() {
    // Story: the process is paused for longer than callers wait. Work whose caller has given up
    // must not run when it wakes.
    let mut slots = Slots::new(limits(1, 10));
    offer(&mut slots, 0, Class::Interactive);
    offer(&mut slots, 1, Class::Interactive);
    slots.end(after(60_000), CallKey(0));
    assert_eq!(slots.pop(after(60_000)), Some(Popped::Expired(CallKey(1))));
    assert_eq!(slots.pop(after(60_000)), None);
    assert_eq!(slots.load(after(60_000)).in_flight, 0);
}

#[test]
fn slots_refused_early() {
    // A request that could not end in time is refused at once, with the time to come back.
    let mut slots = Slots::new(limits(1, 100));
    for call in 0..8 {
        slots.offer(START, CallKey(call), Class::Interactive, after(60_000));
        slots.end(after(900), CallKey(call));
    }
    assert_eq!(offer(&mut slots, 10, Class::Interactive), Admission::Run);
    assert!(matches!(offer(&mut slots, 11, Class::Interactive), Admission::Queue(_)));
    match offer(&mut slots, 12, Class::Interactive) {
        Admission::Refuse(Code::QueueFull, wait) => assert!(wait > Duration::from_millis(500)),
        other => panic!("{other:?}"),
    }
    let late = slots.offer(after(5), CallKey(13), Class::Gating, after(5));
    assert!(matches!(late, Admission::Refuse(Code::DeadlinePassed, _)));
}

#[test]
fn slots_cold() {
    // Story: a target has just started and is slow at first; given its full share it would
    // collapse before it is warm.
    let mut slots = Slots::new(limits(12, 0));
    slots.set_cold(START);
    assert_eq!(slots.load(START).slots, 3);
    assert_eq!(slots.load(after(2_500)).slots, 7);
    assert_eq!(slots.load(after(5_000)).slots, 12);
}

/// An obviously right version: one list of everything, looked through each time.
#[derive(Default)]
struct Naive {
    waiting: Vec<(u64, Class, Time)>,
    running: Vec<(u64, Class)>,
    turn: u32,
}

impl Naive {
    fn free(&self, limits: &ServiceLimits, class: Class) -> bool {
        let bulk = self.running.iter().filter(|(_, class)| *class == Class::Bulk).count() as u32;
        let most = (limits.slots * limits.bulk_share_percent / 100).max(1);
        (self.running.len() as u32) < limits.slots && (class != Class::Bulk || bulk < most)
    }

    fn pop(&mut self, limits: &ServiceLimits, now: Time) -> Option<Popped> {
        let by_class = |class: Class| move |entry: &(u64, Class, Time)| entry.1 == class;
        for class in [Class::Gating, Class::Interactive, Class::Bulk] {
            if let Some(at) = self.waiting.iter().position(by_class(class)) {
                if self.waiting[at].2 <= now {
                    return Some(Popped::Expired(CallKey(self.waiting.remove(at).0)));
                }
            }
        }
        let bulk_waits = self.waiting.iter().any(by_class(Class::Bulk));
        let mut order = vec![Class::Gating, Class::Interactive, Class::Bulk];
        if bulk_waits && self.turn >= 7 {
            order.insert(0, Class::Bulk);
        }
        for class in order {
            let at = self.waiting.iter().position(by_class(class));
            if let Some(at) = at.filter(|_| self.free(limits, class)) {
                self.turn = if bulk_waits && class != Class::Bulk { self.turn + 1 } else { 0 };
                let (call, class, _) = self.waiting.remove(at);
                self.running.push((call, class));
                return Some(Popped::Run(CallKey(call)));
            }
        }
        None
    }
}

#[derive(Clone, Debug)]
enum Step {
    Offer(Class),
    End(usize),
    Withdraw(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![Just(Class::Gating), Just(Class::Interactive), Just(Class::Bulk)];
    prop_oneof![
        5 => class.prop_map(Step::Offer),
        4 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Withdraw),
        1 => (0u64..800).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The same random sequence through the real decision and the naive one.
    #[test]
    fn slots_like_naive(
        slots in 1u32..6,
        queue in 0u32..8,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let limits = limits(slots, queue);
        let mut real = Slots::new(limits.clone());
        let mut naive = Naive::default();
        let mut now = START;
        for (number, step) in steps.into_iter().enumerate() {
            let call = number as u64;
            match step {
                Step::Offer(class) => {
                    let deadline = now + Duration::from_secs(3_600);
                    match real.offer(now, CallKey(call), class, deadline) {
                        Admission::Run => {
                            prop_assert!(naive.waiting.is_empty() && naive.free(&limits, class));
                            naive.running.push((call, class));
                        }
                        Admission::Queue(until) => {
                            prop_assert!((naive.waiting.len() as u32) < queue);
                            naive.waiting.push((call, class, until));
                        }
                        Admission::Refuse(code, _) => {
                            // Early refusals depend on the mean run time; a full queue must refuse.
                            prop_assert_eq!(code, Code::QueueFull);
                            prop_assert!(!naive.waiting.is_empty() || !naive.free(&limits, class));
                        }
                    }
                    prop_assert!(naive.waiting.len() as u32 <= queue);
                }
                Step::End(at) if !naive.running.is_empty() => {
                    let (ended, _) = naive.running.remove(at % naive.running.len());
                    real.end(now, CallKey(ended));
                }
                Step::Withdraw(at) if !naive.waiting.is_empty() => {
                    let (gone, ..) = naive.waiting.remove(at % naive.waiting.len());
                    prop_assert!(real.withdraw(CallKey(gone)));
                }
                Step::Pass(ms) => now = now + Duration::from_millis(ms),
                _ => {}
            }
            loop {
                let expected = naive.pop(&limits, now);
                prop_assert_eq!(real.pop(now), expected);
                if expected.is_none() {
                    break;
                }
            }
            let load = real.load(now);
            prop_assert_eq!(load.in_flight as usize, naive.running.len());
            prop_assert_eq!(load.queued as usize, naive.waiting.len());
            prop_assert!(load.in_flight <= slots);
        }
    }
}
