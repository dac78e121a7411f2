//! Readers that read the store for their region: calls saved, and recovery from failures.

#[path = "support/store_fleet.rs"]
mod support;

use std::time::Duration;
use support::{Fleet, Node, config, ms, name, version, version_with_paths};
use sycamore_core::config::snapshot::TargetEntry;
use sycamore_core::discovery::{Change, Config, Input, Pace, TargetState};
use sycamore_core::place::Place;

/// Number of nodes, half of them in each of two regions. One in four has a fast link.
const NODES: usize = 40;

const FAST_LINK_KBPS: u64 = 140_000;
const SLOW_LINK_KBPS: u64 = 15_400;

/// Time within which every node must have applied a change.
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

fn entry(node: usize, state: TargetState) -> Change {
    support::entry(node, place(node), state)
}

/// Fleet in steady state with a small version and one target per node.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(NODES, settings, ms(1), 0);
    fleet.store.changes.push(version(1, 10));
    fleet.store.changes.extend((0..NODES).map(|node| entry(node, TargetState::Ready)));
    (0..NODES).for_each(|node| fleet.input(node, Input::Start));
    fleet.advance(ms(6_000));
    fleet
}

/// Nodes that called the store recently, for themselves or as readers.
fn readers(fleet: &Fleet) -> Vec<usize> {
    let reads = |node: &usize| {
        fleet.nodes[*node].up && fleet.now.since(fleet.nodes[*node].last_call_at) < ms(1_100)
    };
    (0..NODES).filter(reads).collect()
}

/// Running nodes with access to the store whose state differs from it.
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
    // Guards against a number of store calls that grows with the fleet.
    let mut fleet = fleet();
    let before = fleet.store.calls;
    fleet.advance(ms(30_000));
    let calls = fleet.store.calls - before;
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    // Two readers make about two calls a second each.
    assert!(calls <= 150, "{calls}");
}

#[test]
fn relay_change_reaches_all() {
    let mut fleet = fleet();
    for step in 0..20 {
        fleet.store.changes.push(version(2 + step, 10 + step as usize));
        fleet.store.changes.push(entry(step as usize, TargetState::Draining));
        fleet.advance(ms(700));
        assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "step {step}");
    }
}

/// Guards against a full list by every node at every start.
#[test]
fn relay_start_few_calls() {
    let fleet = fleet();
    let slow = (0..NODES).filter(|node| settings(*node).link_kbps == Some(SLOW_LINK_KBPS)).count();
    let (lists, calls) = (fleet.store.lists, fleet.store.calls);
    assert!(lists <= NODES, "{lists} pages");
    // Only nodes with fast links list the store and read the changes since; the others get their
    // state from a reader.
    let fresh = calls - lists;
    assert!(fresh <= 6 * (NODES - slow) + 2 * 6, "{fresh} calls beside them");
}

/// Guards against a reader with followers that yields to every newly started node of a higher rank.
#[test]
fn relay_joining_node_follows() {
    let mut fleet = fleet();
    let first = readers(&fleet);
    first.iter().for_each(|node| fleet.stop(*node));
    fleet.advance(ms(5_000));
    let second = readers(&fleet);
    assert_eq!(second.len(), 2, "one reader per region");
    first.iter().for_each(|node| fleet.start(*node));
    fleet.advance(ms(5_000));
    assert_eq!(readers(&fleet), second);
}

/// Guards against followers that detect a planned stop of their reader only by timeout.
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
        fleet.store.changes.push(entry(3, TargetState::Draining));
        fleet.advance(ms(700));
        assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "phase {phase}");
    }
}

/// Guards against followers that keep returning to a reader that has lost the store and announces
/// outdated state.
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

/// Guards against a version that saturates a reader's link for a second.
#[test]
fn relay_large_version_within_link() {
    let mut fleet = fleet();
    let before = fleet.store.calls;
    fleet.store.changes.push(version(2, 1_200));
    fleet.advance(ms(1_500));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    // DEFLATE is assumed to compress JSON to an eighth.
    let followers = NODES as u64 / 2 - 1;
    let link_ms = fleet.largest_delta as u64 / 8 * followers * 8 / FAST_LINK_KBPS;
    assert!(link_ms <= 500, "{link_ms} ms of a reader's link");
    let calls = fleet.store.calls - before;
    assert!(calls <= 12, "{calls}: followers must not all read the store");
}

/// Guards against sending followers a version too large for the reader's link.
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
    // Guards against requests to a draining target when the reader of the region is killed at the
    // same time.
    let mut fleet = fleet();
    let readers = readers(&fleet);
    assert_eq!(readers.len(), 2, "one reader per region");
    for node in readers {
        fleet.stop(node);
    }
    fleet.store.changes.push(entry(3, TargetState::Draining));
    fleet.advance(CHANGE_BOUND);
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    // Other readers take over, so that the number of calls drops again.
    fleet.advance(ms(8_000));
    let before = fleet.store.calls;
    fleet.advance(ms(10_000));
    assert!(fleet.store.calls - before <= 60, "{}", fleet.store.calls - before);
}

#[test]
fn relay_reader_cut_from_store() {
    // Guards against followers of a reader that alone has lost the store: to them, it looks like a
    // store without changes.
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
    // Guards against a lost delta that followers never notice because the reader keeps sending
    // messages.
    let mut fleet = fleet();
    // Skip the periodic lease renewal, which would also detect the lost delta.
    fleet.advance(ms(500));
    fleet.store.changes.push(entry(3, TargetState::Draining));
    fleet.drop_messages_until = fleet.now + ms(50);
    fleet.advance(ms(1_200));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}

#[test]
fn relay_reader_wakes_from_pause() {
    // Guards against a reader that resumes from a pause and reverts its followers to an older
    // version.
    let mut fleet = fleet();
    let readers = readers(&fleet);
    let mut calls: Vec<_> =
        readers.iter().map(|node| std::mem::take(&mut fleet.nodes[*node].calls)).collect();
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
        fleet.nodes[*node].calls = std::mem::take(&mut calls[at]);
        fleet.nodes[*node].wake = wakes[at];
    }
    for _ in 0..100 {
        fleet.advance(ms(20));
        let old = |node: &&Node| node.snapshot.as_ref().is_some_and(|held| held.version() < 2);
        let old = fleet.nodes.iter().filter(old).count();
        assert!(old <= readers.len(), "{old} nodes reverted to an older version");
    }
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}

#[test]
fn relay_random_failures() {
    // Random restarts and losses of the store while versions and targets change. Every node that
    // runs and reaches the store must apply each change in time.
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
            fleet.store.changes.push(entry(target, TargetState::Draining));
            fleet.advance(
                CHANGE_BOUND + Pace::for_bound(CHANGE_BOUND).reader_timeout * next(2) as u32,
            );
            // A node that has just regained the store may still wait for a call to time out.
            if !out_of_sync(&fleet).is_empty() {
                fleet.advance(ms(4_000));
            }
            assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "seed {seed}, step {step}");
        }
    }
}

fn evacuation(zone: &str, active: bool) -> Change {
    Change::Evacuation { zone: name(zone), active }
}

/// Running nodes that do not hold exactly the targets of `zone` as evacuated.
fn without_order(fleet: &Fleet, zone: Option<&str>) -> Vec<usize> {
    let holds = |node: &usize| {
        fleet.nodes[*node].snapshot.as_ref().is_some_and(|snapshot| {
            let targets = snapshot.targets().iter();
            targets.len() == NODES
                && targets.into_iter().all(|entry| {
                    entry.target.evacuated == (Some(entry.target.zone.as_str()) == zone)
                })
        })
    };
    (0..NODES).filter(|node| fleet.nodes[*node].up && !holds(node)).collect()
}

/// Guards against an order that reaches only the nodes that read the store.
#[test]
fn relay_evacuation_reaches_all() {
    let mut fleet = fleet();
    for _ in 0..3 {
        fleet.store.changes.push(evacuation("east-0", true));
        fleet.advance(CHANGE_BOUND);
        assert_eq!(without_order(&fleet, Some("east-0")), Vec::<usize>::new());
        fleet.store.changes.push(evacuation("east-0", false));
        fleet.advance(CHANGE_BOUND);
        assert_eq!(without_order(&fleet, None), Vec::<usize>::new());
    }
}

/// Guards against an order that is lost when a reader fails, while the store is silent, or in a
/// process that starts then.
#[test]
fn relay_evacuation_survives_failures() {
    let mut fleet = fleet();
    fleet.store.changes.push(evacuation("west-1", true));
    fleet.advance(ms(100));
    for reader in readers(&fleet) {
        fleet.stop(reader);
    }
    fleet.advance(CHANGE_BOUND);
    assert_eq!(without_order(&fleet, Some("west-1")), Vec::<usize>::new());
    fleet.set_store_unreachable(true);
    fleet.advance(ms(3_000));
    (0..NODES).filter(|node| !fleet.nodes[*node].up).collect::<Vec<_>>().into_iter().for_each(
        |node| {
            fleet.start(node);
            fleet.nodes[node].store_unreachable = true;
        },
    );
    fleet.advance(ms(3_000));
    assert_eq!(without_order(&fleet, Some("west-1")), Vec::<usize>::new());
    fleet.store.changes.push(evacuation("west-1", false));
    fleet.set_store_unreachable(false);
    fleet.advance(ms(6_000));
    assert_eq!(without_order(&fleet, None), Vec::<usize>::new());
}

/// A zone is evacuated and loses all of its targets. The order may end then; the readers stop, and the
/// targets return. Returns the fleet after that.
fn evacuated_zone_emptied(ends: bool) -> Fleet {
    let mut fleet = fleet();
    fleet.store.changes.push(evacuation("west-1", true));
    fleet.advance(CHANGE_BOUND);
    let in_zone = |node: &usize| place(*node).zone.as_str() == "west-1";
    let zone: Vec<usize> = (0..NODES).filter(in_zone).collect();
    for node in &zone {
        fleet.store.changes.push(Change::Removed { id: name(format!("t{node}")) });
    }
    fleet.advance(CHANGE_BOUND);
    if ends {
        fleet.store.changes.push(evacuation("west-1", false));
        fleet.advance(CHANGE_BOUND);
    }
    let fast = |node: &usize| settings(*node).link_kbps == Some(FAST_LINK_KBPS);
    (0..NODES).filter(fast).for_each(|node| fleet.stop(node));
    fleet.advance(CHANGE_BOUND);
    for node in &zone {
        fleet.store.changes.push(entry(*node, TargetState::Ready));
    }
    fleet.advance(CHANGE_BOUND);
    fleet
}

/// Guards against an order that followers forget together with the last target of its zone, so that
/// targets which return there get requests from nodes that read the store on their own by then.
#[test]
fn relay_evacuation_outlives_targets_of_zone() {
    let mut fleet = evacuated_zone_emptied(false);
    assert_eq!(without_order(&fleet, Some("west-1")), Vec::<usize>::new());
    fleet.store.changes.push(evacuation("west-1", false));
    fleet.advance(CHANGE_BOUND);
    assert_eq!(without_order(&fleet, None), Vec::<usize>::new());
}

/// Guards against targets that get no request because their zone was evacuated until they were gone.
#[test]
fn relay_evacuation_ends_without_targets_of_zone() {
    let fleet = evacuated_zone_emptied(true);
    assert_eq!(without_order(&fleet, None), Vec::<usize>::new());
}

#[test]
fn relay_stale_list_after_reader_loss() {
    // Guards against a new reader that announces the view of a stale list, because the list that
    // completed it brought nothing new.
    let mut fleet = fleet();
    let readers = readers(&fleet);
    assert_eq!(readers.len(), 2, "one reader per region");
    fleet.store.changes.push(entry(3, TargetState::Draining));
    fleet.advance(CHANGE_BOUND);
    fleet.store.stale_by = 1;
    for node in readers {
        fleet.stop(node);
    }
    fleet.advance(ms(8_000));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}

#[test]
fn relay_last_reader_killed() {
    // Guards against followers that wait for another reader twice, before and after their list, and
    // miss the bound because there is none.
    let fast = |node: &usize| settings(*node).link_kbps == Some(FAST_LINK_KBPS);
    for since_response in (0..1_000).step_by(100) {
        let mut fleet = fleet();
        fleet.advance(ms(since_response));
        for node in (0..NODES).filter(fast) {
            fleet.stop(node);
        }
        fleet.store.changes.push(entry(3, TargetState::Draining));
        fleet.advance(CHANGE_BOUND);
        assert_eq!(out_of_sync(&fleet), Vec::<usize>::new(), "after {since_response} ms");
    }
}

/// Guards against a node that waits for targets to register long after its start, once its own
/// target has left and its reader stops.
#[test]
fn relay_node_without_target_keeps_bound() {
    let mut fleet = Fleet::new(NODES, settings, ms(1), 0);
    let ready = |node| entry(node, TargetState::Ready);
    fleet.store.changes.extend((4..NODES / 2).map(ready));
    (0..NODES).for_each(|node| fleet.input(node, Input::Start));
    fleet.advance(ms(1_000));
    fleet.store.changes.push(version(1, 10));
    fleet.store.changes.extend((0..4).chain(NODES / 2..NODES).map(ready));
    fleet.advance(ms(8_000));
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
    let without_target = [2, 3];
    for node in without_target {
        assert_eq!(settings(node).link_kbps, Some(SLOW_LINK_KBPS));
        fleet.store.changes.push(Change::Removed { id: name(format!("t{node}")) });
    }
    fleet.advance(ms(2_000));
    for node in readers(&fleet) {
        fleet.input(node, Input::Leaving);
        fleet.advance(ms(20));
        fleet.stop(node);
    }
    fleet.store.changes.push(version(2, 10));
    fleet.advance(CHANGE_BOUND);
    assert_eq!(out_of_sync(&fleet), Vec::<usize>::new());
}
