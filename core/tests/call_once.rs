//! Requests that run at most once: the table of keys.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::once::{KeptAnswer, MAX_KEPT_BYTES, Once, Seen};
use sycamore_core::call::{CallKey, KEY_LIFETIME, MAX_CLOCK_SKEW, MAX_DEADLINE, RequestKey};
use sycamore_core::hash::Hash;

const START: Time = Time(1_700_000_000_000_000);

fn key(minted_ms: u64, low: u64) -> RequestKey {
    let minted = START + Duration::from_millis(minted_ms);
    RequestKey { high: minted.as_millis() << 16 | 7 << 12, low: low | 2 << 62 }
}

fn answer(size: usize) -> Arc<KeptAnswer> {
    Arc::new(KeptAnswer { status: 200, headers: vec![], body: vec![b'x'; size].into() })
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
    // Story: the table is full, and the oldest record goes. Its caller asks again; the key is no
    // longer known, but it ran.
    let mut once = Once::new().with_max_records(2);
    for n in 0..3 {
        once.wait(START, key(n, n), digest(), CallKey(n));
        once.run(key(n, n), CallKey(n));
        once.end(key(n, n), Some(answer(1)));
    }
    assert_eq!(once.len(), 2);
    assert_eq!(once.look_up(START, key(0, 0), &digest()), Seen::Unknown);
    assert_eq!(once.look_up(START, key(0, 9), &digest()), Seen::Unknown);
    assert!(matches!(once.look_up(START, key(2, 2), &digest()), Seen::Answered(_)));
    assert_eq!(once.look_up(START, key(9, 9), &digest()), Seen::New);
}

#[test]
fn once_old_key_is_unknown() {
    let once = Once::new();
    let now = START + KEY_LIFETIME + MAX_CLOCK_SKEW * 2;
    assert_eq!(once.look_up(now, key(0, 0), &digest()), Seen::Unknown);
}

#[test]
fn once_answers_bounded() {
    let mut once = Once::new();
    let count = MAX_KEPT_BYTES as u64 / 100_000 + 5;
    for n in 0..count {
        once.wait(START, key(n, n), digest(), CallKey(n));
        once.end(key(n, n), Some(answer(100_000)));
    }
    assert_eq!(once.look_up(START, key(0, 0), &digest()), Seen::Unknown);
    let newest = once.look_up(START, key(count - 1, count - 1), &digest());
    assert!(matches!(newest, Seen::Answered(_)));
    assert_eq!(once.len() as u64, count);
}

#[test]
fn once_reused() {
    let mut once = Once::new();
    once.wait(START, key(1, 1), digest(), CallKey(1));
    assert_eq!(once.look_up(START, key(1, 1), &Hash::of(b"other")), Seen::Reused);
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u64),
    End(usize, bool),
    NotRun(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..12).prop_map(Step::Submit),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(at, kept)| Step::End(at, kept)),
        1 => any::<usize>().prop_map(Step::NotRun),
        1 => (0u64..400_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Against a naive table that never forgets: the real one may say "unknown" where the naive
    /// one knows more, but never lets a key run that has run.
    #[test]
    fn once_like_naive(most in 1usize..8, steps in prop::collection::vec(step(), 1..200)) {
        let mut real = Once::new().with_max_records(most);
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
                        prop_assert!(matches!(seen, Seen::InProgress | Seen::Unknown));
                    }
                    if seen == Seen::New {
                        real.wait(now, key, digest(), call);
                        real.run(key, call);
                        open.push((key, call));
                        *ran.entry(key).or_default() += 1;
                    }
                }
                Step::End(at, kept) if !open.is_empty() => {
                    let (key, _) = open.remove(at % open.len());
                    real.end(key, kept.then(|| answer(3)));
                }
                Step::NotRun(at) if !open.is_empty() => {
                    let (key, call) = open.remove(at % open.len());
                    real.not_run(key, call);
                    ran.remove(&key);
                }
                Step::Pass(ms) => now = now + Duration::from_millis(ms),
                _ => {}
            }
            prop_assert!(real.len() <= most);
            prop_assert!(ran.values().all(|runs| *runs <= 1), "{:?}", ran);
        }
    }
}
