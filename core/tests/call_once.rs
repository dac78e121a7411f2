//! Tests of the idempotency table.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::once::{CachedResponse, IdempotencyTable, KeyStatus, MAX_CACHED_BYTES};
use sycamore_core::call::{CallKey, KEY_LIFETIME, MAX_CLOCK_SKEW, MAX_DEADLINE, RequestKey};
use sycamore_core::hash::Hash;

const START: Time = Time(1_700_000_000_000_000);

fn key(created_ms: u64, low: u64) -> RequestKey {
    let created = START + Duration::from_millis(created_ms);
    RequestKey { high: created.as_millis() << 16 | 7 << 12, low: low | 2 << 62 }
}

fn response(size: usize) -> Arc<CachedResponse> {
    Arc::new(CachedResponse { status: 200, headers: vec![], body: vec![b'x'; size].into() })
}

fn digest() -> Hash {
    Hash::of(b"request")
}

#[test]
fn key_life_longer_than_any_deadline() {
    assert!(KEY_LIFETIME > MAX_DEADLINE + MAX_CLOCK_SKEW * 2);
}

#[test]
fn request_key_parse() {
    let good = "0190b5c0-0000-7000-8000-000000000001";
    let key = RequestKey::parse(good.as_bytes()).unwrap();
    assert_eq!(key.created_at().as_millis(), 0x0190_b5c0_0000);
    for bad in ["", "x", "0190b5c0-0000-4000-8000-000000000001", &good[1..], "{}"] {
        assert_eq!(RequestKey::parse(bad.as_bytes()), None, "{bad}");
    }
}

#[test]
fn once_forgotten_is_unknown() {
    // An evicted key must not be treated as new, because it may have run.
    let mut table = IdempotencyTable::new().with_max_records(2);
    for n in 0..3 {
        table.insert_waiting(START, key(n, n), digest(), CallKey(n));
        table.mark_running(key(n, n), CallKey(n));
        table.finish(key(n, n), Some(response(1)));
    }
    assert_eq!(table.len(), 2);
    assert_eq!(table.look_up(START, key(0, 0), &digest()), KeyStatus::Unknown);
    assert_eq!(table.look_up(START, key(0, 9), &digest()), KeyStatus::Unknown);
    assert!(matches!(table.look_up(START, key(2, 2), &digest()), KeyStatus::Answered(_)));
    assert_eq!(table.look_up(START, key(9, 9), &digest()), KeyStatus::New);
}

#[test]
fn once_old_key_is_unknown() {
    let table = IdempotencyTable::new();
    let now = START + KEY_LIFETIME + MAX_CLOCK_SKEW * 2;
    assert_eq!(table.look_up(now, key(0, 0), &digest()), KeyStatus::Unknown);
}

#[test]
fn once_responses_bounded() {
    let mut table = IdempotencyTable::new();
    let count = MAX_CACHED_BYTES as u64 / 100_000 + 5;
    for n in 0..count {
        table.insert_waiting(START, key(n, n), digest(), CallKey(n));
        table.finish(key(n, n), Some(response(100_000)));
    }
    assert_eq!(table.look_up(START, key(0, 0), &digest()), KeyStatus::Unknown);
    let newest = table.look_up(START, key(count - 1, count - 1), &digest());
    assert!(matches!(newest, KeyStatus::Answered(_)));
    assert_eq!(table.len() as u64, count);
}

#[test]
fn once_reused() {
    let mut table = IdempotencyTable::new();
    table.insert_waiting(START, key(1, 1), digest(), CallKey(1));
    assert_eq!(table.look_up(START, key(1, 1), &Hash::of(b"other")), KeyStatus::Reused);
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u64),
    End(usize, bool),
    NotRun(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..12).prop_map(Step::Submit),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(at, cached)| Step::End(at, cached)),
        1 => any::<usize>().prop_map(Step::NotRun),
        1 => (0u64..400_000).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares the table with an unbounded model: the table may report an unknown outcome where
    /// the model knows more, but it must never let a key run twice.
    #[test]
    fn once_like_naive(max_records in 1usize..8, steps in prop::collection::vec(step(), 1..200)) {
        let mut real = IdempotencyTable::new().with_max_records(max_records);
        let mut ran: BTreeMap<RequestKey, u32> = BTreeMap::new();
        let mut open: Vec<(RequestKey, CallKey)> = Vec::new();
        let mut now = START;
        for (number, step) in steps.into_iter().enumerate() {
            let call = CallKey(number as u64);
            match step {
                Step::Submit(low) => {
                    let key = key(low * 30_000, low);
                    let seen = real.look_up(now, key, &digest());
                    if open.iter().any(|(other, _)| *other == key) {
                        prop_assert!(matches!(seen, KeyStatus::InProgress | KeyStatus::Unknown));
                    }
                    if seen == KeyStatus::New {
                        real.insert_waiting(now, key, digest(), call);
                        real.mark_running(key, call);
                        open.push((key, call));
                        *ran.entry(key).or_default() += 1;
                    }
                }
                Step::End(at, cached) if !open.is_empty() => {
                    let (key, _) = open.remove(at % open.len());
                    real.finish(key, cached.then(|| response(3)));
                }
                Step::NotRun(at) if !open.is_empty() => {
                    let (key, call) = open.remove(at % open.len());
                    real.remove_not_run(key, call);
                    ran.remove(&key);
                }
                Step::Advance(ms) => now = now + Duration::from_millis(ms),
                _ => {}
            }
            prop_assert!(real.len() <= max_records);
            prop_assert!(ran.values().all(|runs| *runs <= 1), "{:?}", ran);
        }
    }
}
