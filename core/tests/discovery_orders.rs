//! Orders of starts, clock steps, draining and removal of a target, against all ways by which nodes
//! learn of them.

#[path = "support/store_fleet.rs"]
mod support;

use proptest::prelude::*;
use std::time::Duration;
use support::{Fleet, config, ms, name, seeds, version};
use sycamore_core::discovery::{Change, Config, Input, RECOVERY_GRACE, TargetState};
use sycamore_core::place::Place;

/// Enough nodes for readers. One in four has a link that is fast enough for one.
const NODES: usize = 36;

const FAST_LINK_KBPS: u64 = 140_000;
const SLOW_LINK_KBPS: u64 = 10_000;

/// Node whose target starts, leaves and returns.
const CHANGING: usize = 3;

/// Time within which every node must have applied a change.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

const STEP: Duration = Duration::from_millis(10);

/// Start of the target's first process by its clock.
const FIRST_START_MS: u64 = 100_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The target starts again. Its clock was stepped by this many milliseconds.
    Restart(i64),
    Drain,
    Remove,
    /// Stale reads lack this many of the latest changes.
    Stale(usize),
    /// The process of a node is killed and started.
    Kill(usize),
    /// The processes of all nodes with fast links, and so all readers, are killed and started.
    KillReaders,
    /// The store loses all calls and responses.
    Silence,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => prop_oneof![Just(-2_000_i64), Just(-1), Just(0), Just(2_000)].prop_map(Step::Restart),
        3 => Just(Step::Drain),
        1 => Just(Step::Remove),
        1 => (0..6_usize).prop_map(Step::Stale),
        2 => (0..NODES).prop_map(Step::Kill),
        1 => Just(Step::KillReaders),
        1 => Just(Step::Silence),
        2 => (10..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 2..10)
}

fn place(node: usize) -> Place {
    Place { region: name("east"), zone: name(format!("east-{}", node % 2)) }
}

fn is_fast(node: &usize) -> bool {
    node % 4 == 0
}

fn settings(node: usize) -> Config {
    let link_kbps = Some(if is_fast(&node) { FAST_LINK_KBPS } else { SLOW_LINK_KBPS });
    Config { link_kbps, seeds: seeds(0..4), ..config(node, place(node)) }
}

/// Entry of the changing target.
fn written(state: TargetState, started_ms: u64) -> Change {
    let mut change = support::entry(CHANGING, place(CHANGING), state);
    if let Change::Target { entry: Some(entry), .. } = &mut change {
        entry.started_ms = started_ms;
    }
    change
}

/// Numbers of running nodes that would send a request to the changing target, and that would not.
fn senders(fleet: &Fleet) -> (usize, usize) {
    let vm = name(format!("t{CHANGING}"));
    let sends = |node: &&support::Node| {
        let mut targets = node.snapshot.iter().flat_map(|snapshot| snapshot.targets().iter());
        targets.any(|entry| entry.target.vm == vm && !entry.target.leaving)
    };
    let up = fleet.nodes.iter().filter(|node| node.up);
    let count = up.clone().filter(sends).count();
    (count, up.count() - count)
}

fn kill(fleet: &mut Fleet, nodes: impl Iterator<Item = usize> + Clone) {
    nodes.clone().for_each(|node| fleet.stop(node));
    fleet.advance(ms(300));
    nodes.for_each(|node| fleet.start(node));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against requests to a leaving target, and against a target that gets none, because
    /// start times or messages of different ages are taken for the order of its entries.
    #[test]
    fn target_state_after_any_order(steps in steps(), seed in 0..1_000_u64) {
        let mut fleet = Fleet::new(NODES, settings, STEP, seed);
        fleet.store.changes.push(version(1, 3));
        let others = (0..NODES).filter(|node| *node != CHANGING);
        let others = others.map(|node| support::entry(node, place(node), TargetState::Ready));
        fleet.store.changes.extend(others);
        fleet.store.changes.push(written(TargetState::Ready, FIRST_START_MS));
        (0..NODES).for_each(|node| fleet.input(node, Input::Start));
        fleet.advance(ms(6_000));
        let (mut started_ms, mut accepts_requests, mut listed) = (FIRST_START_MS, true, true);
        let mut silent_until = fleet.now;
        for step in &steps {
            match *step {
                Step::Restart(clock_step) => {
                    started_ms = started_ms.saturating_add_signed(clock_step);
                    fleet.store.changes.push(written(TargetState::Ready, started_ms));
                    (accepts_requests, listed) = (true, true);
                }
                Step::Drain if listed => {
                    fleet.store.changes.push(written(TargetState::Draining, started_ms));
                    accepts_requests = false;
                }
                Step::Drain => {}
                Step::Remove => {
                    fleet.store.changes.push(Change::Removed { id: name(format!("t{CHANGING}")) });
                    (accepts_requests, listed) = (false, false);
                }
                Step::Stale(changes) => fleet.store.stale_by = changes,
                Step::Kill(node) => kill(&mut fleet, std::iter::once(node)),
                Step::KillReaders => kill(&mut fleet, (0..NODES).filter(is_fast)),
                Step::Silence => {
                    silent_until = fleet.now + ms(1_500);
                    fleet.store.silences.push((fleet.now, silent_until));
                }
                Step::Wait(span) => fleet.advance(ms(span)),
            }
        }
        // Entries that expired during an outage are retained for a while after it.
        let retained = match silent_until > fleet.now - ms(6_000) {
            true => silent_until.since(fleet.now) + RECOVERY_GRACE + CHANGE_BOUND,
            false => Duration::ZERO,
        };
        fleet.advance(CHANGE_BOUND + retained);
        let all = match accepts_requests {
            true => (NODES, 0),
            false => (0, NODES),
        };
        prop_assert_eq!(senders(&fleet), all);
    }
}
