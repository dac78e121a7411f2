//! Order, bounds and ends of parked requests.

#[path = "support/parking.rs"]
mod support;

use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::*;
use sycamore_core::call::CallKey;
use sycamore_core::call::admit::{Admission, Offer, Popped, RefusalReason, Slots};
use sycamore_core::call::link::LinkPacer;
use sycamore_core::call::policy::Policy;
use sycamore_core::config::Class;

/// Guards against the order of arrival, in which a request with little time left waits behind those
/// with much.
#[test]
fn parked_earliest_latest_start_first() {
    let mut slots = one_slot(Policy::new());
    for (call, objective_ms) in [(1, 5_000), (2, 2_000), (3, 9_000), (4, 1_500), (5, 2_000)] {
        let offer = offer(call, Class::Interactive, 0, objective_ms, 20_000);
        assert!(is_parked(slots.offer(at(0), offer)), "{call}");
    }
    assert_eq!(slots.parked().now, 5);
    assert_eq!(order_of_starts(&mut slots, 0), [4, 2, 5, 1, 3]);
    assert_eq!(slots.parked().now, 0);
}

/// Guards against parked requests that wait longer than the queue allows to others, or that make
/// others wait.
#[test]
fn parked_after_requests_without_slack() {
    let mut slots = one_slot(Policy::new());
    let patient = Offer { rank: 1, ..offer(1, Class::Interactive, 0, 2_000, 9_000) };
    assert!(is_parked(slots.offer(at(0), patient)));
    let queued = slots.load(at(0)).queued;
    assert!(is_parked(slots.offer(at(0), offer(2, Class::Interactive, 0, 500, 1_000))));
    assert_eq!((queued, slots.load(at(0)).queued), (0, 1));
    assert_eq!(order_of_starts(&mut slots, 0), [2, 1]);
}

/// Guards against a request that makes those late which are parked already, and against a more
/// urgent one that is refused because less urgent ones came first.
#[test]
fn parked_more_urgent_displaces_less_urgent() {
    let mut slots = one_slot(Policy::new());
    // The slot has been in use for a second, so that nothing is spare for late requests.
    let now = 1_000;
    assert_eq!(slots.pop(at(now)), None);
    let mut parked = 0;
    for call in 1..60 {
        let offer = offer(call, Class::Bulk, now, 3_000, 9_000);
        parked += u32::from(is_parked(slots.offer(at(now), offer)));
    }
    assert!((15..28).contains(&parked), "{parked}");
    assert_eq!(slots.parked().now, parked);
    // As urgent, and due earlier: once the margin is used up, they would make the others late.
    let due_earlier = (100..110).map(|call| offer(call, Class::Bulk, now, 2_000, 9_000));
    let parked = due_earlier.filter(|offer| is_parked(slots.offer(at(now), *offer))).count();
    assert!(parked < 6, "{parked}");
    assert_eq!(slots.pop(at(now)), None);
    let more_urgent = offer(200, Class::Interactive, now, 1_500, 9_000);
    assert!(is_parked(slots.offer(at(now), more_urgent)));
    assert!(matches!(slots.pop(at(now)), Some(Popped::Expired(_))));
    assert_eq!(slots.pop(at(now)), None);
    assert_eq!(slots.parked().refusals.of(Class::Bulk, RefusalReason::Displaced), 1);
}

/// Guards against a bound that is not kept, and against a limit of 0 that still parks.
#[test]
fn parked_at_most_the_limit() {
    for limit in [0, 3] {
        let mut slots = one_slot(Policy::new().with_parked_requests(limit));
        for call in 1..10 {
            slots.offer(at(0), offer(call, Class::Bulk, 0, 20_000, 60_000));
        }
        let report = slots.parked();
        assert_eq!((report.now, report.peak), (limit, limit));
        let full = report.refusals.of(Class::Bulk, RefusalReason::Full);
        assert_eq!(full, if limit == 0 { 0 } else { 6 });
    }
}

/// Guards against a kind that is never served while another one has the earlier start times.
#[test]
fn parked_minimum_share_of_each_kind() {
    let starts = |less_urgent: u8| {
        let mut slots = one_slot(Policy::new());
        let patient = offer(1, Class::Bulk, 0, 60_000, 120_000);
        for call in 1..30 {
            let patient = Offer { call: CallKey(call), rank: less_urgent, ..patient };
            assert!(is_parked(slots.offer(at(0), patient)));
        }
        let (mut running, mut of_patient) = (0, 0);
        for step in 1..100 {
            // Requests that are always due earlier keep the slot busy.
            let now = step * 100;
            for call in [step * 10 + 1_000, step * 10 + 1_001] {
                slots.offer(at(now), offer(call, Class::Interactive, now, 1_500, 9_000));
            }
            slots.end(at(now), CallKey(running));
            loop {
                match slots.pop(at(now)) {
                    Some(Popped::Run(CallKey(call))) => running = call,
                    Some(Popped::Expired(_)) => continue,
                    None => break,
                }
                of_patient += u32::from(running < 30);
            }
        }
        of_patient
    };
    let (urgent, patient) = (starts(0), starts(9));
    println!("starts of 100 for the patient kind at rank 0 and 9: {urgent}, {patient}");
    assert!((6..=25).contains(&urgent), "{urgent}");
    assert!((1..=urgent).contains(&patient), "{patient}");
}

/// Parks bundles whose objective passes while the target is stalled for three seconds, with this
/// many further runs in the second before that.
fn overdue(busy_ms: u64) -> (u32, u32, Vec<u64>) {
    let mut slots = one_slot(Policy::new());
    slots.end(at(100), CallKey(0));
    let occupied = offer(1, Class::Gating, 1_000, 0, 60_000);
    assert_eq!(slots.offer(at(1_000), Offer { objective: None, ..occupied }), Admission::Run);
    for call in 10..13 {
        assert!(is_parked(slots.offer(at(1_000), offer(call, Class::Bulk, 1_000, 2_000, 9_000))));
    }
    slots.pop(at(1_000));
    slots.end(at(1_000 + busy_ms), CallKey(1));
    let at_once = slots.pop(at(1_000 + busy_ms));
    let mut order = Vec::new();
    let mut refused = 0;
    let mut next = at_once;
    let mut now = 1_000 + busy_ms;
    loop {
        match next {
            Some(Popped::Run(CallKey(call))) => {
                order.push(call);
                now += 100;
                slots.end(at(now), CallKey(call));
            }
            Some(Popped::Expired(_)) => refused += 1,
            None => break,
        }
        next = slots.pop(at(now));
    }
    assert_eq!(slots.parked().now, 0);
    (order.len() as u32, refused, order)
}

/// Guards against requests that become late and are held for capacity that never comes, and against
/// late ones that run before those in time.
#[test]
fn late_refused_without_spare_rate() {
    assert_eq!(overdue(500), (3, 0, vec![10, 11, 12]));
    // The slot has been in use for all of the last second.
    assert_eq!(overdue(3_000), (0, 3, vec![]));
}

/// Guards against late requests that are refused although the target is idle for a part of the time,
/// and against late ones that take a slot from those in time.
#[test]
fn late_kept_for_spare_rate() {
    let mut slots = Slots::new(limits(2));
    for number in 0..40 {
        let earlier = START - Duration::from_secs(100 - number);
        let call = CallKey(1_000_000 + number);
        let warm = Offer { call, objective: None, ..offer(0, Class::Interactive, 0, 0, 1_000) };
        assert_eq!(slots.offer(earlier, warm), Admission::Run);
        slots.end(earlier + Duration::from_millis(100), call);
    }
    // A pause of the process of two seconds, in which the slots were not used.
    for call in 0..2 {
        let occupied = Offer { objective: None, ..offer(call, Class::Gating, 0, 0, 60_000) };
        assert_eq!(slots.offer(at(0), occupied), Admission::Run);
    }
    for call in 10..14 {
        assert!(is_parked(slots.offer(at(0), offer(call, Class::Interactive, 0, 1_000, 9_000))));
    }
    slots.end(at(50), CallKey(1));
    assert_eq!(slots.pop(at(50)), Some(Popped::Run(CallKey(10))));
    slots.end(at(150), CallKey(10));
    let in_time = offer(20, Class::Interactive, 2_000, 1_000, 9_000);
    // One slot of two has been idle since: one of the four is served at a time.
    assert_eq!(slots.offer(at(2_000), in_time), Admission::Queue(at(10_900)));
    assert_eq!(slots.pop(at(2_000)), Some(Popped::Run(CallKey(20))));
    let late = slots.parked().now;
    assert_eq!(late, 3);
    slots.end(at(2_100), CallKey(20));
    assert_eq!(slots.pop(at(2_100)), Some(Popped::Run(CallKey(11))));
    assert_eq!(slots.pop(at(2_100)), None);
}

/// Guards against places that are kept for callers that have gone.
#[test]
fn cancelled_and_expired_leave_no_trace() {
    let mut slots = one_slot(Policy::new());
    for call in 1..10 {
        assert!(is_parked(slots.offer(at(0), offer(call, Class::Bulk, 0, 4_000, 9_000))));
    }
    for call in 1..8 {
        assert!(slots.withdraw(CallKey(call)));
        assert!(!slots.withdraw(CallKey(call)));
    }
    assert!(slots.expire(at(0), CallKey(8)));
    assert!(!slots.expire(at(0), CallKey(8)));
    assert_eq!(slots.parked().now, 1);
    assert_eq!(slots.parked().refusals.of(Class::Bulk, RefusalReason::Expired), 1);
    assert_eq!(order_of_starts(&mut slots, 0), [9]);
    assert_eq!(slots.pop(at(60_000)), None);
    assert_eq!(slots.parked().now, 0);
}

/// Guards against requests that run for nobody after the process was paused.
#[test]
fn expired_in_a_pause_not_run() {
    let mut slots = one_slot(Policy::new());
    for call in 1..10 {
        assert!(is_parked(slots.offer(at(0), offer(call, Class::Bulk, 0, 4_000, 9_000))));
    }
    let resumed = at(60_000);
    slots.end(resumed, CallKey(0));
    let popped: Vec<Popped> = std::iter::from_fn(|| slots.pop(resumed)).collect();
    assert_eq!(popped.len(), 9);
    assert!(popped.iter().all(|popped| matches!(popped, Popped::Expired(_))), "{popped:?}");
    assert_eq!(slots.parked().now, 0);
}

/// Guards against arithmetic that fails on absent, reversed, equal and huge values.
#[test]
fn bad_values_end_once() {
    let times = [0, 1, 2_000, u64::MAX / 2_000_000, u64::MAX / 1_000];
    let mut slots = one_slot(Policy::new());
    let mut offered = 0;
    let mut ended = 0;
    for (rank, objective_ms, deadline_ms) in
        times.iter().flat_map(|a| times.map(|b| [(0, *a, b), (255, *a, b)])).flatten()
    {
        offered += 1;
        let offer = Offer { rank, ..offer(offered, Class::Bulk, 0, objective_ms, deadline_ms) };
        // The objective counts as the deadline if it is later.
        match slots.offer(at(0), offer) {
            Admission::Queue(until) => assert!(until <= offer.deadline),
            Admission::Reject(..) => ended += 1,
            Admission::Run => panic!("no slot is free"),
        }
    }
    for call in 1..=offered {
        ended += u64::from(slots.withdraw(CallKey(call)));
    }
    assert_eq!(ended, offered);
    assert_eq!(slots.parked().now, 0);
}

/// Guards against memory that a node of 160 MB does not have.
#[test]
fn parked_memory_bounded() {
    let mut slots = one_slot(Policy::new().with_parked_requests(10_000));
    for call in 1..=10_000 {
        let offer = offer(call, Class::Bulk, 0, 100_000_000, 200_000_000);
        assert!(is_parked(slots.offer(at(0), offer)), "{call}");
    }
    assert_eq!(slots.parked().now, 10_000);
    let bytes = Slots::estimated_parked_bytes(10_000);
    println!("{bytes} bytes for 10,000 parked requests in the slots");
    assert!(bytes < 6_000_000, "{bytes}");
}
fn request() -> impl Strategy<Value = Request> {
    let classes = prop_oneof![Just(Class::Gating), Just(Class::Interactive), Just(Class::Bulk)];
    let times = (0..3_000u64, 1..4_000u64, 1..6_000u64, 1..400u64);
    (classes, 0..3u8, 0..2u8, times, any::<bool>()).prop_map(|(class, rank, depth, times, last)| {
        let (at_ms, objective_ms, deadline_ms, run_ms) = times;
        let mut offer = offer(0, class, at_ms, objective_ms, deadline_ms);
        offer.rank = rank;
        offer.depth = depth;
        offer.objective = offer.objective.filter(|_| depth == 0);
        if let Some(objective) = &mut offer.objective {
            objective.may_exceed_objective = last;
        }
        let bytes = if class == Class::Bulk { BUNDLE_BYTES } else { 500 };
        Request { at_ms, offer, run_ms, bytes, retries: 0, first: None }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against runs beyond the slots, and requests that end twice or never.
    #[test]
    fn parked_each_ends_once(
        requests in prop::collection::vec(request(), 1..150),
        slots in 1..6u32,
        limit in 0..40u32,
    ) {
        let policy = Policy::new().with_parked_requests(limit);
        let link = LinkPacer::new(Some(LINK_KBPS));
        let offered = requests.len();
        let target = warm(Slots::new(limits(slots)).with_link(link).with_policy(policy));
        let replay = Replay::new(target, requests).run(30_000);
        prop_assert!(replay.running_peak <= slots as usize);
        prop_assert!(replay.slots.parked().peak <= limit);
        prop_assert_eq!(replay.ends.len(), offered);
        prop_assert_eq!(replay.slots.parked().now, 0);
        let distinct: BTreeSet<u64> = replay.started.iter().copied().collect();
        prop_assert_eq!(distinct.len(), replay.started.len());
        for (call, end) in &replay.ends {
            let offer = replay.requests[*call as usize].offer;
            let left = offer.deadline.since(at(replay.requests[*call as usize].at_ms));
            if let End::Refused { after_ms, .. } = end {
                prop_assert!(u128::from(*after_ms) <= left.as_millis(), "held for {} ms", after_ms);
            }
        }
    }
}
