//! One node reads the store for many of its region: what it saves, and what becomes of the others
//! when it fails.

#[path = "support/store_fleet.rs"]
mod support;

use std::time::Duration;
use support::{Fleet, Node, config, ms, name, version, version_with_paths};
use sycamore_core::config::snapshot::TargetEntry;
use sycamore_core::discovery::{Change, Config, Input, Pace, TargetState};
use sycamore_core::place::Place;

/// Nodes, half of them in each of two regions; one in four has a wide link.
const NODES: usize = 40;

const FAST_LINK_KBPS: u64 = 140_000;
const SLOW_LINK_KBPS: u64 = 15_400;

/// Within this time each node must hold a change.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

fn place(node: usize) -> Place {
    let region = if node % 2 == 0 { "east" } else { "west" };
    Place { region: name(region), zone: name(format!("{region}-{}", node / 2 % 2)) }
}

fn settings(node: usize) -> Config {
    let fast = node / 2 % 4 == 0;
    let link_kbps = Some(if fast { FAST_LINK_KBPS } else { SLOW_LINK_KBPS });
    Config { link_kbps, ..config(node, place(node)) }
}

fn entry(node: usize, state: TargetState, sequence: u64) -> Change {
    support::entry(node, place(node), state, sequence)
}

/// A fleet that has read a version of a few routes and every target, and has settled.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(NODES, settings, ms(1), 0);
    fleet.store.changes.push(version(1, 10));
    fleet.store.changes.extend((0..NODES).map(|node| entry(node, TargetState::Ready, 1)));
    (0..NODES).for_each(|node| fleet.input(node, Input::Start));
    fleet.advance(ms(6_000));
    fleet
}

/// Nodes that read the store of late, for themselves or for others.
fn readers(fleet: &Fleet) -> Vec<usize> {
    let reads = |node: &usize| {
        fleet.nodes[*node].up && fleet.now.since(fleet.nodes[*node].last_call_at) < ms(1_100)
    };
    (0..NODES).filter(reads).collect()
}

/// Nodes that run, reach the store, and don't hold what it holds.
fn out_of_sync(fleet: &Fleet) -> Vec<usize> {
    let mut version = 0;
    let mut leaving = [false; NODES];
    for change in &fleet.store.changes {
        match change {
            Change::Published(Ok(published)) => version = published.version,
            Change::Target { id, entry: Some(entry) } => {
                let node: usize = id.as_str()[1..].parse().unwrap();
                leaving[node] = entry.state == TargetState::Draining;
            }
            _ => {}
        }
    }
    let holds = |node: &Node| {
        node.snapshot.as_ref().is_some_and(|snapshot| {
            let same = |target: &TargetEntry| {
                let node: usize = target.target.vm.as_str()[1..].parse().unwrap();
                target.target.leaving == leaving[node]
            };
            snapshot.version() == version && snapshot.targets().iter().all(same)
        })
    };
    let out_of_sync = |node: &usize| {
        let node = &fleet.nodes[*node];
        node.up && !node.store_unreachable && !holds(node)
    };
    (0..NODES).filter(out_of_sync).collect()
}

#[test]
fn relay_calls_saved() {
    // Story: sixty nodes that each watch the store pay for two thousand calls in half a minute.
    let mut fleet = fleet();
    let before = fleet.store.calls;
    fleet.advance(ms(30_000));
    let calls = fleet.store.calls - before;
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    // Two readers make two calls a second each.
    assert!(calls <= 150, "{calls}");
}

#[test]
fn relay_change_reaches_all() {
    let mut fleet = fleet();
    for step in 0..20 {
        fleet.store.changes.push(version(2 + step, 10 + step as usize));
        fleet.store.changes.push(entry(step as usize, TargetState::Draining, 2));
        fleet.advance(ms(700));
        assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "step {step}");
    }
}

/// Guards against a fleet that lists the store once a node at every start, page by page.
#[test]
fn relay_start_few_calls() {
    let fleet = fleet();
    let slow = (0..NODES).filter(|node| settings(*node).link_kbps == Some(SLOW_LINK_KBPS)).count();
    let (lists, calls) = (fleet.store.lists, fleet.store.calls);
    assert!(lists <= NODES, "{lists} pages");
    // Nodes with wide links list the store and read what has changed since; the others are told.
    let fresh = calls - lists;
    assert!(fresh <= 6 * (NODES - slow) + 2 * 6, "{fresh} calls beside them");
}

/// Guards against a reader that gives way to every node before it in the order that starts, though
/// all nodes of the region follow it.
#[test]
fn relay_newcomer_follows() {
    let mut fleet = fleet();
    let first = readers(&fleet);
    first.iter().for_each(|node| fleet.stop(*node));
    fleet.advance(ms(5_000));
    let second = readers(&fleet);
    assert_eq!(second.len(), 2, "one a region");
    first.iter().for_each(|node| fleet.start(*node));
    fleet.advance(ms(5_000));
    assert_eq!(readers(&fleet), second);
}

/// Guards against followers that find out only by silence that their reader has stopped.
#[test]
fn relay_reader_stops_as_planned() {
    for phase in 0..9 {
        let mut fleet = fleet();
        fleet.advance(ms(100 * phase));
        for node in readers(&fleet) {
            fleet.input(node, Input::Leaving);
            fleet.advance(ms(20));
            fleet.stop(node);
        }
        fleet.store.changes.push(entry(3, TargetState::Draining, 2));
        fleet.advance(ms(700));
        assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "phase {phase}");
    }
}

/// Guards against a follower that turns again and again to a reader which has lost the store and
/// announces what it held.
#[test]
fn relay_disconnected_reader_gets_no_followers() {
    for phase in 0..9 {
        let mut fleet = fleet();
        for node in readers(&fleet) {
            fleet.nodes[node].store_unreachable = true;
        }
        fleet.advance(ms(900 + 200 * phase));
        fleet.store.changes.push(version(2, 10));
        fleet.advance(CHANGE_BOUND);
        assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "phase {phase}");
    }
}

/// Guards against a reader whose link is full of one version for a second.
#[test]
fn relay_large_version_within_link() {
    let mut fleet = fleet();
    let before = fleet.store.calls;
    fleet.store.changes.push(version(2, 1_200));
    fleet.advance(ms(1_500));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    // Of JSON text, DEFLATE leaves at most an eighth.
    let followers = NODES as u64 / 2 - 1;
    let link_ms = fleet.largest_delta as u64 / 8 * followers * 8 / FAST_LINK_KBPS;
    assert!(link_ms <= 500, "{link_ms} ms of a reader's link");
    let calls = fleet.store.calls - before;
    assert!(calls <= 12, "{calls}: followers must not all read the store");
}

/// Guards against a version that no link takes for every follower.
#[test]
fn relay_huge_version_read_from_store() {
    let mut fleet = fleet();
    fleet.store.changes.push(version_with_paths(2, 6_000, &"r".repeat(800)));
    fleet.advance(ms(2_500));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    let followers = NODES as u64 / 2 - 1;
    let link_ms = fleet.largest_delta as u64 / 8 * followers * 8 / FAST_LINK_KBPS;
    assert!(link_ms <= 500, "{link_ms} ms of a reader's link");
}

#[test]
fn relay_reader_killed() {
    // Story: a target reports that it leaves, and in the same instant the node that reads the
    // store for the region is killed. Its followers would go on sending work to that target.
    let mut fleet = fleet();
    let readers = readers(&fleet);
    assert_eq!(readers.len(), 2, "one a region");
    for node in readers {
        fleet.stop(node);
    }
    fleet.store.changes.push(entry(3, TargetState::Draining, 2));
    fleet.advance(CHANGE_BOUND);
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    // Others take over, so that the calls do not stay many.
    fleet.advance(ms(8_000));
    let before = fleet.store.calls;
    fleet.advance(ms(10_000));
    assert!(fleet.store.calls - before <= 60, "{}", fleet.store.calls - before);
}

#[test]
fn relay_reader_cut_from_store() {
    // Story: only the reader loses the store, which does not answer it any more. Its followers
    // hear nothing wrong, since silence is what a store without changes looks like.
    let mut fleet = fleet();
    for node in readers(&fleet) {
        fleet.nodes[node].store_unreachable = true;
    }
    fleet.store.changes.push(version(2, 10));
    fleet.advance(CHANGE_BOUND);
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}

#[test]
fn relay_message_lost() {
    // Story: a connection breaks just as a reader tells of a change. The reader goes on speaking,
    // so that its followers see nothing wrong, and do without the change.
    let mut fleet = fleet();
    // Past the question that every follower asks each two seconds and that would tell it too.
    fleet.advance(ms(500));
    fleet.store.changes.push(entry(3, TargetState::Draining, 2));
    fleet.drop_messages_until = fleet.now + ms(50);
    fleet.advance(ms(1_200));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}

#[test]
fn relay_reader_wakes_from_pause() {
    // Story: a reader is paused for four seconds. Its followers read the store meanwhile and hold
    // newer versions; what it says when it wakes must not take them back.
    let mut fleet = fleet();
    let readers = readers(&fleet);
    let calls: Vec<_> = readers.iter().map(|node| fleet.nodes[*node].call.take()).collect();
    let wakes: Vec<_> = readers.iter().map(|node| fleet.nodes[*node].wake.take()).collect();
    for node in &readers {
        fleet.nodes[*node].up = false;
    }
    fleet.advance(ms(1_000));
    fleet.store.changes.push(version(2, 10));
    fleet.advance(ms(3_000));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    for (at, node) in readers.iter().enumerate() {
        fleet.nodes[*node].up = true;
        fleet.nodes[*node].call = calls[at].clone();
        fleet.nodes[*node].wake = wakes[at];
    }
    for _ in 0..100 {
        fleet.advance(ms(20));
        let old = |node: &&Node| node.snapshot.as_ref().is_some_and(|held| held.version() < 2);
        let old = fleet.nodes.iter().filter(old).count();
        assert!(old <= readers.len(), "{old} nodes went back");
    }
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}

#[test]
fn relay_random_failures() {
    // Nodes end and start, lose the store and reach it again, while versions and targets change.
    // Whoever has run and reached the store for long enough holds each change in time.
    for seed in 0..6u64 {
        let mut random = seed * 7_919 + 1;
        let mut next = |most: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695);
            (random >> 33) % most
        };
        let mut fleet = fleet();
        let mut newest = 1;
        for step in 0..25 {
            let readers = readers(&fleet);
            for _ in 0..next(3) {
                let any = next(NODES as u64) as usize;
                let reader = readers.get(next(4) as usize).copied().unwrap_or(any);
                match next(4) {
                    0 => fleet.stop(reader),
                    1 => fleet.nodes[reader].store_unreachable = true,
                    2 if !fleet.nodes[any].up => fleet.start(any),
                    _ => fleet.nodes[any].store_unreachable = false,
                }
            }
            newest += 1;
            fleet.store.changes.push(version(newest, 5 + next(20) as usize));
            let target = next(NODES as u64) as usize;
            fleet.store.changes.push(entry(target, TargetState::Draining, 2));
            fleet.advance(
                CHANGE_BOUND + Pace::for_bound(CHANGE_BOUND).reader_timeout * next(2) as u32,
            );
            // A node that has just reached the store again may still wait for a time-out.
            if !out_of_sync(&fleet).is_empty() {
                fleet.advance(ms(4_000));
            }
            assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "seed {seed}, step {step}");
        }
    }
}
