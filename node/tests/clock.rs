//! Clock implementations.

use futures_lite::future;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_node::clock::Clock;

const HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn system_clock_follows_wall_clock_after_suspend() {
    // Guards against a node that stays behind the wall clock after its VM was suspended and rejects
    // new signing requests, since their keys appear to come from the future.
    let wall = Clock::new().now();
    let clock = Clock::starting_at(wall - HOUR);
    assert!(clock.now() >= wall);
}

#[test]
fn system_clock_never_goes_back() {
    // Guards against time going backwards when the wall clock is corrected, which would revive
    // expired leases and cached responses.
    let wall = Clock::new().now();
    let clock = Clock::starting_at(wall + HOUR);
    let first = clock.now();
    assert!(first >= wall + HOUR);
    assert!(clock.now() >= first);
}

#[test]
fn manual_clock_advances_only_on_request() {
    let clock = Clock::manual(Time::from_millis(7));
    assert_eq!(clock.now(), Time::from_millis(7));
    assert_eq!(clock.now(), Time::from_millis(7));
    clock.advance(Duration::from_millis(3));
    assert_eq!(clock.now(), Time::from_millis(10));
}

#[test]
fn manual_sleep_ends_when_advanced() {
    let clock = Clock::manual(Time::ZERO);
    let sleeper = clock.clone();
    let sleep = async {
        sleeper.sleep(Duration::from_secs(5)).await;
        sleeper.now()
    };
    let advance = async {
        for _ in 0..5 {
            future::yield_now().await;
            clock.advance(Duration::from_secs(1));
        }
    };
    let (woken, ()) = future::block_on(future::zip(sleep, advance));
    assert_eq!(woken, Time::from_millis(5_000));
}
