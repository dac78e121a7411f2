//! Calls to the platform stay under its limit in every storm.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Half of the platform's limit of 2,000 calls a second over all readers.
const MAX_CALLS_PER_S: usize = 1_000;

#[test]
fn calls_in_steady_state() {
    // Readers' waiting watches are all that is left once the fleet has settled.
    let mut fleet = Fleet::new(10, 4);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(20 * SECOND);
    fleet.platform.calls.clear();
    fleet.run(60 * SECOND);
    let calls = fleet.platform.calls.len();
    println!("{calls} calls in a minute, peak {}", fleet.platform.peak());
    // Ten readers, each with the keys in-force and zones and two lists, each asked twice a minute;
    // the two in the platform's region ask for in-force every two seconds.
    assert!(calls <= 10 * 4 * 2 + 2 * 30, "{calls} calls in a minute");
}

#[test]
fn calls_when_every_link_is_cut() {
    // Story: a fault in the network's configuration cuts every VM off from every other, and only
    // the platform is left. Each node is right to read it. Without a budget shared between all
    // that may be in the same state, 1,000 nodes would ask at once, and 23,000 be refused.
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
    println!("peak {} calls a second", fleet.platform.peak());
    assert!(fleet.platform.peak() < MAX_CALLS_PER_S, "{} calls in a second", fleet.platform.peak());
    fleet.heal();
    fleet.run(3 * SECOND);
    assert!(fleet.versions().iter().all(|version| *version == 3));
    fleet.check_never_back();
}

#[test]
fn calls_when_all_start_at_once_without_peers() {
    // Story: the whole fleet returns in one instant, has no seeds and holds no list, so that no
    // node knows another. All turn to the platform together.
    let mut fleet = Fleet::new(10, 50);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    println!("peak {} calls a second", fleet.platform.peak());
    assert!(fleet.platform.peak() < MAX_CALLS_PER_S, "{} calls in a second", fleet.platform.peak());
    assert!(fleet.versions().iter().all(|version| *version == 1));
}

#[test]
fn calls_when_the_platform_answers_at_once() {
    // Story: the platform's blocking queries are broken and return at once though nothing has
    // changed. Watches that were made again without a pause would use up the limit.
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    fleet.platform.calls.clear();
    fleet.platform.never_blocks = true;
    fleet.platform_wake_all();
    fleet.run(30 * SECOND);
    println!("peak {} calls a second", fleet.platform.peak());
    assert!(fleet.platform.peak() < 100, "{} calls in a second", fleet.platform.peak());
}

#[test]
fn calls_over_the_limit() {
    // Story: others use up the platform's limit, and every call is answered 429. Nodes back off;
    // they don't add to the storm that they are refused in.
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    fleet.platform.calls.clear();
    fleet.platform.over_limit = true;
    fleet.platform_wake_all();
    fleet.run(30 * SECOND);
    println!("peak {} calls a second", fleet.platform.peak());
    assert!(fleet.platform.peak() < 100, "{} calls in a second", fleet.platform.peak());
    fleet.publish(2, &preset(2));
    fleet.platform.over_limit = false;
    fleet.run(4 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
}

#[test]
fn start_without_lists_message_rate() {
    // Story: a whole fleet starts and its control traffic, paid by volume between regions, runs at
    // the speed of the links until the first list is read: two nodes without lists answered each
    // question of the other with a question of their own.
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.platform_down(true);
    let addresses: Vec<_> = fleet.nodes.iter().map(|slot| slot.cfg.address).collect();
    fleet.nodes.iter_mut().for_each(|slot| slot.cfg.seeds = addresses.clone());
    let sent = Rc::new(Cell::new(0));
    let counter = sent.clone();
    fleet.filter = Box::new(move |_, _, msg| {
        counter.set(counter.get() + 1);
        Some(msg.clone())
    });
    fleet.start_all();
    fleet.run(Duration::from_secs(5));
    let messages_per_node_per_s = sent.get() / (18 * 5);
    assert!(messages_per_node_per_s <= 40, "{messages_per_node_per_s} messages a node and second");
}

#[test]
fn start_without_version_message_rate() {
    // Story: a fleet starts before its first version is published. A node that ended its round of
    // questions with nothing began the next one at once, and the fleet asked itself at the speed
    // of its links until a version came.
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
    assert!(messages_per_node_per_s <= 40, "{messages_per_node_per_s} messages a node and second");
}
