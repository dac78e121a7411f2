//! Recovery of a fleet that lost nearly all processes while the store is unavailable.

#[path = "support/store_fleet.rs"]
mod support;

use proptest::prelude::*;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use support::{Fleet, Node, config, gate_address, ms, name, seeds, version};
use sycamore_core::discovery::{Change, Config, Input, TargetState};
use sycamore_core::place::Place;

const NODES: usize = 18;
const SEEDS: usize = 3;

/// Number of clock steps between two calls from a node to random targets.
const STEPS_PER_CALL: usize = 5;

/// Time after a restart within which every process must have recovered the full state.
const RECOVERY_BOUND: Duration = Duration::from_secs(2);

fn place(node: usize) -> Place {
    let region = ["east", "mid", "west"][node % 3];
    Place { region: name(region), zone: name(format!("{region}-{}", node / 3 % 2)) }
}

fn settings(node: usize) -> Config {
    Config { seeds: seeds(0..SEEDS), ..config(node, place(node)) }
}

fn entry(node: usize, state: TargetState) -> Change {
    support::entry(node, place(node), state)
}

/// Fleet whose nodes also call each other's targets, and so detect unreachable ones.
struct RecoveringFleet {
    inner: Fleet,
    rng: Pcg64Mcg,
}

impl RecoveringFleet {
    /// Creates a fleet whose nodes all hold version 1 with every target.
    fn new(seed: u64) -> RecoveringFleet {
        let mut inner = Fleet::new(NODES, settings, ms(10), seed);
        inner.store.changes.push(version(1, 1));
        inner.store.changes.extend((0..NODES).map(|node| entry(node, TargetState::Ready)));
        (0..NODES).for_each(|node| inner.input(node, Input::Start));
        let mut fleet = RecoveringFleet { inner, rng: Pcg64Mcg::seed_from_u64(seed) };
        fleet.advance(Duration::from_secs(1));
        assert_eq!(fleet.count_up_to_date(1), NODES);
        fleet
    }

    fn advance(&mut self, span: Duration) {
        for step in 0..(span.as_millis() / 10) as usize {
            self.inner.step();
            if step % STEPS_PER_CALL == 0 {
                (0..NODES).for_each(|node| self.call_random_target(node));
            }
        }
    }

    /// Simulates a call to a random target, which detects that its node is down.
    fn call_random_target(&mut self, node: usize) {
        let to = self.rng.random_range(0..NODES);
        if self.inner.nodes[node].snapshot.is_some() && !self.inner.nodes[to].up {
            self.inner.input(node, Input::PeerLost(gate_address(to)));
        }
    }

    /// Kills these nodes and restarts them 0.6 s later.
    fn kill_and_restart(&mut self, killed: &[usize]) {
        killed.iter().for_each(|node| self.inner.stop(*node));
        self.advance(ms(600));
        killed.iter().for_each(|node| self.inner.start(*node));
    }

    /// Counts the nodes that hold this version with every target.
    fn count_up_to_date(&self, version: u64) -> usize {
        let holds = |node: &&Node| {
            let snapshot = node.snapshot.as_ref();
            snapshot.is_some_and(|held| held.version() == version && held.targets().len() == NODES)
        };
        self.inner.nodes.iter().filter(holds).count()
    }
}

#[test]
fn recovery_from_two_survivors_without_seeds() {
    // Guards against nodes that reject calls until the store recovers, although two survivors hold
    // the state: the seeds were restarted too and know nothing.
    let mut fleet = RecoveringFleet::new(1);
    fleet.inner.set_store_unreachable(true);
    fleet.advance(Duration::from_secs(2));
    fleet.kill_and_restart(&(0..16).collect::<Vec<_>>());
    fleet.advance(RECOVERY_BOUND);
    assert_eq!(fleet.count_up_to_date(1), NODES);
}

#[test]
fn recovery_store_overrides_peers() {
    // Guards against nodes that keep the state received from peers once the store is reachable.
    let mut fleet = RecoveringFleet::new(2);
    fleet.inner.set_store_unreachable(true);
    fleet.advance(Duration::from_secs(2));
    fleet.kill_and_restart(&(0..16).collect::<Vec<_>>());
    fleet.advance(RECOVERY_BOUND);
    fleet.inner.store.changes.push(version(2, 1));
    fleet.inner.store.changes.push(entry(3, TargetState::Draining));
    fleet.inner.set_store_unreachable(false);
    fleet.advance(Duration::from_secs(6));
    assert_eq!(fleet.count_up_to_date(2), NODES);
    let leaving = |node: &Node| {
        let snapshot = node.snapshot.as_ref().unwrap();
        snapshot.targets().iter().filter(|entry| entry.target.leaving).count()
    };
    assert!(fleet.inner.nodes.iter().all(|node| leaving(node) == 1));
}

#[test]
fn recovery_ignores_outdated_survivor() {
    // Guards against restarted processes that adopt the version of the outdated one of two
    // survivors.
    let mut fleet = RecoveringFleet::new(3);
    let outdated = 17;
    fleet.inner.nodes[outdated].up = false;
    fleet.inner.store.changes.push(version(2, 1));
    fleet.advance(Duration::from_secs(5));
    fleet.inner.nodes[outdated].up = true;
    fleet.inner.set_store_unreachable(true);
    fleet.advance(Duration::from_secs(2));
    fleet.kill_and_restart(&(0..16).collect::<Vec<_>>());
    fleet.advance(RECOVERY_BOUND);
    assert!(fleet.count_up_to_date(2) >= NODES - 1, "{}", fleet.count_up_to_date(2));
}

#[test]
fn recovery_no_offers_while_nodes_are_up() {
    // Guards against state offers and cross-region messages while no node is unreachable.
    let mut fleet = RecoveringFleet::new(4);
    (fleet.inner.offers_sent, fleet.inner.cross_region_messages) = (0, 0);
    fleet.advance(Duration::from_secs(20));
    assert_eq!((fleet.inner.offers_sent, fleet.inner.cross_region_messages), (0, 0));
}

#[test]
fn recovery_offers_to_lost_node_end() {
    // Guards against state offers that are sent forever to a node that does not come back.
    let mut fleet = RecoveringFleet::new(5);
    fleet.inner.stop(3);
    fleet.advance(Duration::from_secs(1));
    assert!(fleet.inner.offers_sent > 0);
    fleet.inner.advance(Duration::from_secs(5));
    (fleet.inner.offers_sent, fleet.inner.cross_region_messages) = (0, 0);
    fleet.inner.advance(Duration::from_secs(5));
    assert_eq!((fleet.inner.offers_sent, fleet.inner.cross_region_messages), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 16, ..ProptestConfig::default()
    })]

    /// Any single survivor suffices, even if more processes are killed during the recovery.
    #[test]
    fn recovery_from_any_survivor(
        seed in any::<u32>(),
        killed in 9usize..NODES,
        killed_again in 0usize..6,
    ) {
        let mut fleet = RecoveringFleet::new(seed.into());
        fleet.inner.set_store_unreachable(true);
        fleet.advance(Duration::from_secs(2));
        let mut nodes: Vec<usize> = (0..NODES).collect();
        nodes.shuffle(&mut fleet.rng);
        fleet.kill_and_restart(&nodes[..killed]);
        fleet.advance(ms(700));
        fleet.kill_and_restart(&nodes[..killed_again]);
        fleet.advance(RECOVERY_BOUND);
        prop_assert_eq!(fleet.count_up_to_date(1), NODES);
    }
}
