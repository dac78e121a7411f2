//! Requests with ample slack at a target whose slots or link are overloaded for seconds.

#[path = "support/parking.rs"]
mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use support::*;
use sycamore_core::call::Load;
use sycamore_core::call::admit::{Admission, Offer, RefusalReason, Slots};
use sycamore_core::call::link::LinkPacer;
use sycamore_core::call::policy::{Mechanism, Policy};
use sycamore_core::config::Class;

/// Guards against refusing bundles for seconds that could wait for the link and still be in time.
#[test]
fn burst_over_link_in_time() {
    let (with, without) = (replay(&burst(), Policy::new()), replay(&burst(), without()));
    let counts = [&with, &without].map(|replay| replay.count(Class::Bulk, 0, 0..15_000));
    println!("with and without: {counts:?}");
    let [parked, today] = counts;
    assert!(parked.in_time * 100 >= parked.offered * 86, "{parked:?}");
    assert!(parked.in_time >= today.in_time + 30, "{parked:?} {today:?}");
    assert_eq!(parked.late, 0);
    assert_eq!(with.slots.parked().now, 0);
    assert!((15..60).contains(&with.slots.parked().peak), "{:?}", with.slots.parked());
}

/// Guards against the order of arrival, in which all requests of a burst become late together.
#[test]
fn burst_over_link_first_come_first_served() {
    let in_order = without().without(Mechanism::StandingQueue);
    let [parked, in_order] = [Policy::new(), in_order]
        .map(|policy| replay(&burst(), policy).count(Class::Bulk, 0, 0..15_000));
    println!("parked and first come, first served: {parked:?}, {in_order:?}");
    assert!(parked.in_time > in_order.in_time * 2, "{parked:?} {in_order:?}");
}

/// Guards against requests that are held until their deadline while the target is overloaded for
/// long, and against callers that come back while it still is.
#[test]
fn lasting_overload_refused_at_once() {
    let requests = bundles(2_080, 0, 60_000);
    let with = replay(&requests, Policy::new());
    let counts = with.count(Class::Bulk, 0, 5_000..60_000);
    println!("{counts:?}");
    // 95 % of the link carries 13.2 bundles per second.
    assert!(counts.in_time >= 13 * 55 * 95 / 100, "{counts:?}");
    assert_eq!(counts.late, 0, "{counts:?}");
    let mut waits = Vec::new();
    for end in with.ends.values() {
        if let End::Refused { after_ms, retry_after_ms } = end {
            assert!(*after_ms <= 100, "refused after {after_ms} ms");
            waits.push(*retry_after_ms);
        }
    }
    let (first, last) = (waits[0], *waits.last().unwrap());
    assert!((500..3_000).contains(&first) && last > 10_000, "{first} ms, {last} ms");
}

/// Guards against refused requests that come back with little time left, and are served before those
/// that are parked, which become late.
#[test]
fn burst_with_retries_in_time() {
    let with_retries = burst().into_iter().map(|request| Request { retries: 2, ..request });
    let requests: Vec<Request> = with_retries.collect();
    let (with, without) = (replay(&requests, Policy::new()), replay(&requests, without()));
    let counts = [&with, &without].map(|replay| replay.count(Class::Bulk, 0, 0..15_000));
    let again = [with.refused_again(), without.refused_again()];
    println!("with and without, callers retry: {counts:?}, refused again: {again:?}");
    let [parked, today] = counts;
    assert!(parked.in_time >= today.in_time + 30, "{parked:?} {today:?}");
    assert_eq!(parked.late, 0, "{parked:?}");
    assert!(again[0] * 2 <= again[1], "{again:?}");
    assert_eq!(with.slots.parked().refusals.of(Class::Bulk, RefusalReason::Overdue), 0);
}

/// Requests with ample slack whose runs differ by several times, at this many times the capacity of
/// six slots.
fn uneven_runs(seed: u64, seconds: u64, percent: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let number = seconds * 23 * percent / 100;
    let gap = seconds * 1_000_000 / number;
    let request = |index: u64| {
        let at_ms = index * gap / 1_000;
        let offer = offer(0, Class::Interactive, at_ms, 4_000, 9_000);
        Request {
            at_ms,
            offer,
            run_ms: rng.random_range(60..460),
            bytes: 0,
            retries: 0,
            first: None,
        }
    };
    (0..number).map(request).collect()
}

/// Guards against estimates that hold for equal runs only: requests that wait for seconds and are
/// refused then, or answered late.
#[test]
fn lasting_overload_of_slots_with_uneven_runs() {
    for seed in 1..4 {
        let requests = uneven_runs(seed, 60, 170);
        let replay = |policy: Policy| {
            let slots = warm(Slots::new(limits(6)).with_policy(policy));
            Replay::new(slots, requests.clone()).run(75_000)
        };
        let [with, without] = [replay(Policy::new()), replay(without())];
        let counts = [&with, &without].map(|one| one.count(Class::Interactive, 0, 0..60_000));
        let [parked, today] = counts;
        let waited = |end: &&End| matches!(end, End::Refused { after_ms, .. } if *after_ms > 200);
        let held = with.ends.values().filter(waited).count() as u32;
        println!("seed {seed}: {counts:?}, {held} refused after a wait");
        assert!(parked.in_time > today.in_time + 30, "{parked:?} {today:?}");
        assert!(parked.late <= 5, "{parked:?}");
        assert!(held * 100 <= parked.refused * 4, "{held} of {parked:?}");
    }
}

/// Guards against a less urgent kind that is served better because its objective is shorter, against
/// a more urgent one that is served worse than without parking, and against one that gets nothing.
#[test]
fn more_urgent_kind_served_better() {
    for seed in 5..8 {
        let mut requests = uneven_runs(seed, 30, 200);
        for request in requests.iter_mut().step_by(2) {
            // A shorter objective, but the lower priority.
            request.offer = offer(0, Class::Interactive, request.at_ms, 2_600, 9_000);
            request.offer.rank = 4;
        }
        let counts = |policy: Policy| {
            let slots = warm(Slots::new(limits(6)).with_policy(policy));
            let replay = Replay::new(slots, requests.clone()).run(45_000);
            [0, 4].map(|rank| replay.count(Class::Interactive, rank, 0..30_000))
        };
        let ([urgent, other], today) = (counts(Policy::new()), counts(without()));
        println!("urgent {urgent:?}, less urgent {other:?}, without {today:?}");
        assert!(urgent.in_time * other.offered >= other.in_time * urgent.offered);
        assert!(urgent.in_time >= today[0].in_time, "{urgent:?} {today:?}");
        assert!(other.in_time >= today[1].in_time, "{other:?} {today:?}");
        assert!(other.in_time * 100 >= other.offered * 4, "{other:?}");
    }
}

/// Guards against a target that stays late after it has been slow for some seconds, because it first
/// serves what has waited.
#[test]
fn slow_target_recovers() {
    let mut requests = bundles(1_225, 0, 20_000);
    for request in &mut requests {
        if (5_000..8_000).contains(&request.at_ms) {
            request.run_ms *= 8;
        }
    }
    let replay = replay(&requests, Policy::new());
    let before = replay.count(Class::Bulk, 0, 0..4_000);
    let during = replay.count(Class::Bulk, 0, 4_000..11_000);
    let after = replay.count(Class::Bulk, 0, 11_000..20_000);
    println!("before {before:?}, during {during:?}, after {after:?}");
    assert_eq!(before.in_time, before.offered);
    assert_eq!(after.in_time, after.offered);
}

/// Guards against bundles that delay the look-ups of other services beside them.
#[test]
fn look_ups_not_delayed_by_parked() {
    let mut requests = burst();
    requests.extend((0..1_500).map(|index| {
        let at_ms = index * 10;
        Request { at_ms, offer: look_up(0, at_ms), run_ms: 55, bytes: 300, retries: 0, first: None }
    }));
    let [with, without] = [Policy::new(), without()].map(|policy| replay(&requests, policy));
    let look_ups = with.count(Class::Interactive, 0, 0..15_000);
    assert_eq!(look_ups.in_time, 1_500);
    // Time to the last byte, of all look-ups in order.
    let times = |replay: &Replay| {
        let of_look_up = |call: &u64| replay.requests[*call as usize].offer.depth > 0;
        let ends = replay.ends.iter().filter(|(call, _)| of_look_up(call));
        let took = ends.filter_map(|(_, end)| match end {
            End::Answered(took) => Some(*took),
            End::Refused { .. } => None,
        });
        let mut took: Vec<u64> = took.collect();
        took.sort_unstable();
        took
    };
    let with_and_without = [times(&with), times(&without)];
    let [mean, without_mean] =
        with_and_without.clone().map(|took| took.iter().sum::<u64>() / 1_500);
    let [p99, without_p99] = with_and_without.clone().map(|took| took[1_484]);
    let [longest, without_longest] = with_and_without.map(|took| took[1_499]);
    println!("look-ups, mean, 99 in 100 and longest: {mean} {p99} {longest} ms with parking");
    println!("and {without_mean} {without_p99} {without_longest} ms without");
    // More bundles are served, so that the link is in use for a larger part of the time: a tenth of
    // the objective of 200 ms is allowed for that.
    assert!(mean <= without_mean + 4, "{mean} {without_mean}");
    assert!(longest <= without_longest + 20, "{longest} {without_longest}");
    println!(
        "waits for a slot: {} {}",
        with.longest_look_up_wait_ms, without.longest_look_up_wait_ms
    );
    assert!(with.longest_look_up_wait_ms <= 20, "{}", with.longest_look_up_wait_ms);
    let bundles = with.count(Class::Bulk, 0, 0..15_000);
    assert!(bundles.in_time * 100 >= bundles.offered * 84, "{bundles:?}");
}

/// Guards against a fixed share for bulk responses, which leaves a part of the link unused, or gives
/// away what small responses use.
#[test]
fn link_share_follows_small_responses() {
    let transmit_ms = |small_bytes: u64, measured: bool| {
        let mut link = LinkPacer::new(Some(LINK_KBPS)).with_measured_share(measured);
        for _ in 0..100 {
            link.record_size(BUNDLE_BYTES);
        }
        for step in 0..100 {
            link.schedule_write(at(step * 10), Class::Gating, small_bytes);
        }
        link.expected_transmit_time(at(1_000)).as_millis()
    };
    assert_eq!(transmit_ms(10, false), 84);
    assert_eq!(transmit_ms(10, true), 75);
    // A quarter of the link is used by small responses.
    assert!((100..106).contains(&transmit_ms(3_125, true)), "{}", transmit_ms(3_125, true));
    // Estimates stay finite when small responses use all of it.
    assert!(transmit_ms(50_000, true) <= 4 * 76, "{}", transmit_ms(50_000, true));
}

/// Guards against bulk responses that fill the link while the node also forwards requests over it, so
/// that nested calls wait behind them beyond their deadline.
#[test]
fn link_share_follows_other_traffic() {
    const LINK_BYTES_PER_S: u64 = LINK_KBPS * 1_000 / 8;
    for other_percent in [0, 10, 25] {
        let mut link = LinkPacer::new(Some(LINK_KBPS)).with_measured_share(true);
        let (mut now, mut sent) = (at(0), 0);
        while now < at(10_000) {
            let next = link.schedule_write(now, Class::Bulk, CHUNK_BYTES);
            sent += CHUNK_BYTES;
            let passed_us = next.since(now).as_micros() as u64;
            let others = LINK_BYTES_PER_S * other_percent / 100 * passed_us / 1_000_000;
            link.record_written(next, CHUNK_BYTES + others);
            now = next;
        }
        let bulk = sent * 100 / (LINK_BYTES_PER_S * 10);
        let left = 95 - 2 * other_percent;
        assert!((left - 2..=left + 1).contains(&bulk), "{bulk} in 100 beside {other_percent}");
    }
}

/// Guards against a change for requests without ample slack, and for targets without parking.
#[test]
fn no_effect_without_ample_slack() {
    let interactive = |at_ms: u64| {
        let offer = offer(0, Class::Interactive, at_ms, 800, 2_500);
        Request { at_ms, offer, run_ms: 160, bytes: 0, retries: 0, first: None }
    };
    let requests: Vec<Request> = (0..640).map(|number| interactive(number * 15)).collect();
    let ends = |slots: Slots| Replay::new(slots, requests.clone()).run(15_000).ends;
    // Runs of 160 ms are known, so that 800 ms are not ample.
    let known = |policy: Policy| {
        let mut slots = Slots::new(limits(9)).with_policy(policy);
        let warm = Offer { objective: None, ..offer(9_999, Class::Interactive, 0, 0, 1_000) };
        assert_eq!(slots.offer(START - Duration::from_secs(9), warm), Admission::Run);
        slots.end(START - Duration::from_millis(8_840), warm.call);
        slots
    };
    assert_eq!(ends(known(Policy::new())), ends(known(without())));
    let bundles = burst();
    let bundles = |policy: Policy| replay(&bundles, policy).ends;
    assert_eq!(bundles(Policy::new().with_parked_requests(0)), bundles(without()));
}

/// Guards against entry nodes that do not know how long a bulk request waits for the link, and
/// against reports that nodes of another version cannot read.
#[test]
fn load_reports_wait_of_bulk() {
    let mut slots = bundle_slots(Policy::new());
    assert_eq!(slots.load(at(0)).bulk_wait_ms, Some(0));
    for call in 0..30 {
        slots.offer(at(0), bundle(call, 0));
    }
    let load = slots.load(at(0));
    let wait = load.bulk_wait_ms.unwrap();
    assert!((1_000..2_500).contains(&wait), "{wait}");
    assert_eq!(Load::parse(&load.to_string()), Some(load));
    assert_eq!(bundle_slots(without()).load(at(0)).bulk_wait_ms, None);
    for (text, bulk_wait_ms) in
        [("1/2/3/4", None), ("1/2/3/4/5/6/7/100", None), ("1/2/3/4/5/6/7/100/8/9", Some(8))]
    {
        assert_eq!(Load::parse(text).map(|load| load.bulk_wait_ms), Some(bulk_wait_ms), "{text}");
    }
    for text in ["", "1/2/3", "1/2/3/4/5", "1/2/3/4/5/6/7", "1/2/3/4/5/6/7/100/x"] {
        assert_eq!(Load::parse(text), None, "{text}");
    }
}
