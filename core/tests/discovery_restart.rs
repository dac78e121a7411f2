//! Nodes that restart beside their targets while the store and the other nodes go on.

#[path = "support/store_fleet.rs"]
mod support;

use std::time::Duration;
use support::{Fleet, config, ms, name, seeds, version, version_with_paths};
use sycamore_core::discovery::{Change, Config, Input, TargetState};
use sycamore_core::place::Place;

/// Number of nodes, half of them in each of two regions. One in four has a fast link.
const NODES: usize = 40;

const FAST_LINK_KBPS: u64 = 140_000;
const SLOW_LINK_KBPS: u64 = 10_000;

/// Node with a slow link whose target leaves.
const LEAVING: usize = 3;

/// Time within which every node must have applied a change.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

fn place(node: usize) -> Place {
    let region = if node % 2 == 0 { "east" } else { "west" };
    Place { region: name(region), zone: name(format!("{region}-{}", node / 2 % 2)) }
}

fn is_fast(node: &usize) -> bool {
    node / 2 % 4 == 0
}

fn settings(node: usize) -> Config {
    let link_kbps = Some(if is_fast(&node) { FAST_LINK_KBPS } else { SLOW_LINK_KBPS });
    Config { link_kbps, seeds: seeds(0..8), ..config(node, place(node)) }
}

fn entry(node: usize, state: TargetState) -> Change {
    support::entry(node, place(node), state)
}

fn removed(node: usize) -> Change {
    Change::Removed { id: name(format!("t{node}")) }
}

/// Fleet in steady state with one target per node.
fn fleet(published: Change, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(NODES, settings, ms(1), seed);
    fleet.store.changes.push(published);
    fleet.store.changes.extend((0..NODES).map(|node| entry(node, TargetState::Ready)));
    (0..NODES).for_each(|node| fleet.input(node, Input::Start));
    fleet.advance(ms(6_000));
    fleet
}

/// Advances the clock while one of the other targets changes every 100 ms, as in a release.
fn advance_busy(fleet: &mut Fleet, span: Duration) {
    const CHANGING: usize = 20;
    for _ in 0..span.as_millis() / 100 {
        let count = fleet.store.changes.len();
        let state = [TargetState::Draining, TargetState::Ready][count / CHANGING % 2];
        let node = NODES - CHANGING + count % CHANGING;
        fleet.store.changes.push(entry(node, state));
        fleet.advance(ms(100));
    }
}

/// Restarts a node as planned, without an effect on its target.
fn restart(fleet: &mut Fleet, node: usize) {
    fleet.input(node, Input::Leaving);
    fleet.stop(node);
    advance_busy(fleet, ms(500));
    fleet.start(node);
}

/// Running nodes that would send a new request to the target of [`LEAVING`].
fn senders(fleet: &Fleet) -> Vec<usize> {
    let sends = |node: &usize| {
        let snapshot = fleet.nodes[*node].snapshot.as_ref();
        let mut targets = snapshot.iter().flat_map(|snapshot| snapshot.targets().iter());
        let vm = name(format!("t{LEAVING}"));
        targets.any(|entry| entry.target.vm == vm && !entry.target.leaving)
    };
    (0..NODES).filter(|node| fleet.nodes[*node].up && sends(node)).collect()
}

/// Guards against a node that keeps a target for the grace after an outage, although there was
/// none, because the entry is gone when the node reads the store for the first time.
#[test]
fn restart_beside_removed_target() {
    for after in (100..1_600).step_by(300) {
        let mut fleet = fleet(version(1, 10), after);
        // The node finds no reader: from the store alone it has to learn of the change.
        (0..NODES).filter(is_fast).for_each(|node| fleet.stop(node));
        advance_busy(&mut fleet, ms(4_000));
        restart(&mut fleet, LEAVING);
        advance_busy(&mut fleet, ms(after));
        fleet.store.changes.push(removed(LEAVING));
        advance_busy(&mut fleet, CHANGE_BOUND);
        assert_eq!(senders(&fleet), Vec::<usize>::new(), "removed {after} ms after the start");
    }
}

/// Guards against the same with a reader, which does not announce itself to a node whose target has
/// left.
#[test]
fn restart_beside_removed_target_with_reader() {
    for after in (100..1_600).step_by(300) {
        let mut fleet = fleet(version(1, 10), after);
        restart(&mut fleet, LEAVING);
        advance_busy(&mut fleet, ms(after));
        fleet.store.changes.push(removed(LEAVING));
        advance_busy(&mut fleet, CHANGE_BOUND);
        assert_eq!(senders(&fleet), Vec::<usize>::new(), "removed {after} ms after the start");
    }
}

/// Guards against a reader that takes a restarted node for its follower and tells it changes only,
/// which mean nothing to it.
#[test]
fn restart_follows_reader_in_busy_store() {
    for node in (0..NODES).filter(|node| !is_fast(node)) {
        let mut fleet = fleet(version(1, 10), node as u64);
        let before = fleet.nodes[node].last_call_at;
        restart(&mut fleet, node);
        advance_busy(&mut fleet, ms(5_000));
        assert_eq!(fleet.nodes[node].last_call_at, before, "node {node} has called the store");
    }
}

/// Guards against a node that restarts with the state of a peer that has just lost its reader, and
/// then waits as long as if that state were new.
#[test]
fn restart_with_aged_state() {
    for after in (0..1_500).step_by(100) {
        let mut fleet = fleet(version(1, 10), after);
        fleet.stop(LEAVING);
        (0..NODES).filter(is_fast).for_each(|node| fleet.stop(node));
        fleet.store.changes.push(entry(LEAVING, TargetState::Draining));
        fleet.advance(ms(after));
        fleet.start(LEAVING);
        fleet.advance(CHANGE_BOUND - ms(after));
        assert_eq!(senders(&fleet), Vec::<usize>::new(), "started {after} ms after the change");
    }
}

/// Guards against a large document in front of the targets: a node with a slow link reads it twice
/// before it knows that a target leaves.
#[test]
fn restart_with_large_document() {
    // Nearly 1 MB, the most that the store accepts.
    let document = version_with_paths(1, 1_000, &"r".repeat(900));
    for after in (0..1_500).step_by(300) {
        let mut fleet = fleet(document.clone(), after);
        fleet.transfer_times = true;
        fleet.stop(LEAVING);
        (0..NODES).filter(is_fast).for_each(|node| fleet.stop(node));
        fleet.store.changes.push(entry(LEAVING, TargetState::Draining));
        fleet.advance(ms(after));
        fleet.start(LEAVING);
        fleet.advance(CHANGE_BOUND - ms(after));
        assert_eq!(senders(&fleet), Vec::<usize>::new(), "started {after} ms after the change");
    }
}
