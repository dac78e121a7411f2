//! Simulated links and platform.

use std::time::Duration;
use sycamore_bench::fleet::platform::{Answer, CALLS_PER_S, Get, Health, Platform};
use sycamore_bench::links::{Links, Profile, Site};
use sycamore_core::{Name, Time};

const HERE: Site = Site { region: 0, zone: 0 };
const NEAR: Site = Site { region: 0, zone: 1 };
const FAR: Site = Site { region: 1, zone: 2 };

fn links() -> Links<u32> {
    Links::new(Profile::franchise(), Time(1_000), 1)
}

fn key() -> Name {
    Name::new("in-force").unwrap()
}

fn get(caller: u32, min_index_exclusive: Option<u64>) -> Get<u32> {
    Get { caller, key: key(), min_index_exclusive, until: Time(5_000_000) }
}

fn platform() -> Platform<u32> {
    let mut platform = Platform::new();
    platform.put(key(), "one".into());
    platform
}

#[test]
fn send_latency() {
    let mut links = links();
    links.send(HERE, FAR, 0, 3);
    links.send(HERE, NEAR, 0, 2);
    links.send(HERE, HERE, 0, 1);
    let arrivals: Vec<(u32, u64)> =
        std::iter::from_fn(|| links.pop().map(|event| (event, links.now().0))).collect();
    assert_eq!(arrivals, [(1, 1_100), (2, 1_500), (3, 21_000)]);
}

#[test]
fn send_bandwidth_shared() {
    let mut links = links();
    // 5 MB take 10 ms at 4 Gbit/s; the second message is transmitted after the first.
    links.send(HERE, FAR, 5_000_000, 1);
    links.send(NEAR, FAR, 5_000_000, 2);
    links.pop();
    assert_eq!(links.now(), Time(31_000));
    links.pop();
    assert_eq!(links.now(), Time(41_000));
    assert_eq!(links.traffic().cross_region_bytes(), 10_000_000);
}

#[test]
fn send_cut_and_healed() {
    let mut links = links();
    links.cut(HERE.zone, FAR.zone);
    assert!(!links.send(FAR, HERE, 0, 1));
    assert!(links.send(NEAR, HERE, 0, 2));
    links.heal_all();
    assert!(links.send(FAR, HERE, 0, 3));
    assert_eq!((links.pop(), links.pop(), links.pop()), (Some(2), Some(3), None));
}

#[test]
fn send_loss_by_seed() {
    let arrivals = |seed| {
        let profile = Profile::franchise().with_loss_and_jitter(500_000, 20);
        let mut links = Links::new(profile, Time(0), seed);
        (0..64).filter(|event| links.send(HERE, NEAR, 0, *event)).collect::<Vec<u32>>()
    };
    assert_eq!(arrivals(1), arrivals(1));
    assert_ne!(arrivals(1), arrivals(2));
}

#[test]
fn get_watch() {
    let mut platform = platform();
    assert_eq!(platform.get(Time(0), get(1, None)), Some(Answer::Value("one".into(), 1)));
    assert_eq!(platform.get(Time(0), get(1, Some(1))), None);
    assert_eq!(platform.take_due_watches(Time(10)), []);
    platform.put(key(), "two".into());
    assert_eq!(platform.take_due_watches(Time(20)), [(1, Answer::Value("two".into(), 2))]);
    assert_eq!(platform.take_due_watches(Time(30)), []);
}

#[test]
fn get_watch_timeout() {
    let mut platform = platform();
    assert_eq!(platform.get(Time(0), get(1, Some(1))), None);
    assert_eq!(platform.take_due_watches(Time(5_000_000)), [(1, Answer::Value("one".into(), 1))]);
}

#[test]
fn get_over_limit() {
    let mut platform = platform();
    for _ in 0..CALLS_PER_S {
        assert_ne!(platform.get(Time(0), get(1, None)), Some(Answer::OverLimit));
    }
    assert_eq!(platform.get(Time(999_999), get(1, None)), Some(Answer::OverLimit));
    assert_ne!(platform.get(Time(1_000_000), get(1, None)), Some(Answer::OverLimit));
    let calls = platform.calls();
    assert_eq!((calls.peak, calls.over_limit), (CALLS_PER_S + 1, 1));
}

#[test]
fn get_outage_and_stale() {
    let mut platform = platform();
    platform.put(key(), "two".into());
    platform.set_health(Health::AsOf(1));
    assert_eq!(platform.get(Time(0), get(1, None)), Some(Answer::Value("one".into(), 1)));
    platform.set_health(Health::Refusing);
    assert_eq!(platform.get(Time(0), get(1, None)), Some(Answer::Refused));
    platform.set_health(Health::Down);
    assert_eq!(platform.get(Time(0), get(1, None)), None);
    assert_eq!(platform.take_due_watches(Time(9_000_000_000)), []);
    platform.set_health(Health::Up);
    assert_eq!(platform.get(Time(0), get(1, None)), Some(Answer::Value("two".into(), 2)));
}

#[test]
fn peak_counts_watches() {
    let mut platform = platform();
    for caller in 0..3 {
        platform.get(Time(0), get(caller, Some(1)));
    }
    platform.take_peak();
    platform.get(Time(Duration::from_secs(2).as_micros() as u64), get(9, None));
    assert_eq!(platform.take_peak(), 4);
}
