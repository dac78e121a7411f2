//! Rate limits on calls to the platform and on messages between peers.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Half of the platform's limit of 2,000 calls per second for the whole fleet.
const MAX_CALLS_PER_S: usize = 1_000;

#[test]
fn calls_in_steady_state() {
    // In steady state, only the readers' watches remain.
    let mut fleet = Fleet::new(10, 4);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(20 * SECOND);
    fleet.platform.calls.clear();
    fleet.run(60 * SECOND);
    let calls = fleet.platform.calls.len();
    println!("{calls} calls per minute, peak {}", fleet.platform.peak_calls_per_second());
    // Ten readers watch `in-force`, `zones` and two VM lists, each renewed twice per minute. The two
    // readers in the platform's region renew `in-force` every two seconds.
    assert!(calls <= 10 * 4 * 2 + 2 * 30, "{calls} calls per minute");
}

#[test]
fn calls_when_every_link_is_cut() {
    // Guards against overloading the platform when all links between VMs fail and every node falls
    // back to reading the platform at the same time.
    let mut fleet = Fleet::new(10, 100);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(12 * SECOND);
    fleet.platform.calls.clear();
    fleet.filter = Box::new(|_, _, _| None);
    fleet.run(15 * SECOND);
    for version in 2..4 {
        fleet.publish(version, &preset(version as u32));
        fleet.run(5 * SECOND);
    }
    println!("peak {} calls per second", fleet.platform.peak_calls_per_second());
    assert!(
        fleet.platform.peak_calls_per_second() < MAX_CALLS_PER_S,
        "peak {} calls per second",
        fleet.platform.peak_calls_per_second()
    );
    fleet.heal();
    fleet.run(3 * SECOND);
    assert!(fleet.versions().iter().all(|version| *version == 3));
    fleet.assert_versions_never_decrease();
}

#[test]
fn calls_when_all_start_at_once_without_peers() {
    // Guards against overloading the platform when the whole fleet starts simultaneously without
    // seeds or VM lists.
    let mut fleet = Fleet::new(10, 50);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    println!("peak {} calls per second", fleet.platform.peak_calls_per_second());
    assert!(
        fleet.platform.peak_calls_per_second() < MAX_CALLS_PER_S,
        "peak {} calls per second",
        fleet.platform.peak_calls_per_second()
    );
    assert!(fleet.versions().iter().all(|version| *version == 1));
}

#[test]
fn calls_when_the_platform_answers_at_once() {
    // Guards against a busy loop when the platform's blocking queries return immediately although
    // nothing has changed.
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    fleet.platform.calls.clear();
    fleet.platform.answers_watches_at_once = true;
    fleet.platform_wake_all();
    fleet.run(30 * SECOND);
    println!("peak {} calls per second", fleet.platform.peak_calls_per_second());
    assert!(
        fleet.platform.peak_calls_per_second() < 100,
        "peak {} calls per second",
        fleet.platform.peak_calls_per_second()
    );
}

#[test]
fn calls_over_the_limit() {
    // Guards against retrying without backoff while the platform responds to every call with 429.
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    fleet.platform.calls.clear();
    fleet.platform.over_limit = true;
    fleet.platform_wake_all();
    fleet.run(30 * SECOND);
    println!("peak {} calls per second", fleet.platform.peak_calls_per_second());
    assert!(
        fleet.platform.peak_calls_per_second() < 100,
        "peak {} calls per second",
        fleet.platform.peak_calls_per_second()
    );
    fleet.publish(2, &preset(2));
    fleet.platform.over_limit = false;
    fleet.run(4 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
}

#[test]
fn start_without_lists_message_rate() {
    // Guards against a message loop between nodes without VM lists that answer each ping with a
    // ping of their own.
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.platform_down(true);
    let addresses: Vec<_> = fleet.nodes.iter().map(|sim| sim.cfg.address).collect();
    fleet.nodes.iter_mut().for_each(|sim| sim.cfg.seeds = addresses.clone());
    let sent = Rc::new(Cell::new(0));
    let counter = sent.clone();
    fleet.filter = Box::new(move |_, _, msg| {
        counter.set(counter.get() + 1);
        Some(msg.clone())
    });
    fleet.start_all();
    fleet.run(Duration::from_secs(5));
    let messages_per_node_per_s = sent.get() / (18 * 5);
    assert!(
        messages_per_node_per_s <= 40,
        "{messages_per_node_per_s} messages per node and second"
    );
}

#[test]
fn start_without_version_message_rate() {
    // Guards against join rounds without a pause in between while no version has been published.
    let mut fleet = Fleet::new(6, 3);
    let sent = Rc::new(Cell::new(0));
    let counter = sent.clone();
    fleet.filter = Box::new(move |_, _, msg| {
        counter.set(counter.get() + 1);
        Some(msg.clone())
    });
    fleet.start_all();
    fleet.run(Duration::from_secs(5));
    let messages_per_node_per_s = sent.get() / (18 * 5);
    assert!(
        messages_per_node_per_s <= 40,
        "{messages_per_node_per_s} messages per node and second"
    );
}
