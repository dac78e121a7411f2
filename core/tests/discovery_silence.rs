//! Short silences of the store, in which calls and responses are lost without an error.

#[path = "support/store_fleet.rs"]
mod support;

use proptest::prelude::*;
use std::time::Duration;
use support::{Fleet, config, entry, ms, name, version};
use sycamore_core::Time;
use sycamore_core::discovery::{Config, Input, TargetState};
use sycamore_core::place::Place;

/// Fleets without readers, one in which any node may read for the others, and one in which most
/// have links that are too narrow for that.
#[derive(Clone, Copy, Debug)]
enum Size {
    Three,
    Eighteen,
    WithReaders,
    WithNarrowLinks,
}

const SIZES: [Size; 4] = [Size::Three, Size::Eighteen, Size::WithReaders, Size::WithNarrowLinks];

const NARROW_LINK_KBPS: u64 = 15_400;

/// Time within which every node must have applied a change.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

/// Longer than any cycle of calls.
const LONGEST_CYCLE_MS: u64 = 6_000;

const STEP: Duration = Duration::from_millis(10);

fn place(node: usize) -> Place {
    Place { region: name("east"), zone: name(format!("east-{}", node % 3)) }
}

fn settings(node: usize) -> Config {
    Config { change_bound: CHANGE_BOUND, ..config(node, place(node)) }
}

fn narrow_settings(node: usize) -> Config {
    let link_kbps = (node % 4 > 0).then_some(NARROW_LINK_KBPS);
    Config { link_kbps, ..settings(node) }
}

fn fleet(size: Size, seed: u64) -> Fleet {
    let (nodes, config): (usize, fn(usize) -> Config) = match size {
        Size::Three => (3, settings),
        Size::Eighteen => (18, settings),
        Size::WithReaders => (45, settings),
        Size::WithNarrowLinks => (45, narrow_settings),
    };
    let mut fleet = Fleet::new(nodes, config, STEP, seed);
    fleet.store.changes.push(version(1, 3));
    let entries = (0..nodes).map(|node| entry(node, place(node), TargetState::Ready));
    fleet.store.changes.extend(entries);
    (0..nodes).for_each(|node| fleet.input(node, Input::Start));
    fleet.advance(ms(5_000));
    fleet
}

/// Nodes that do not hold `version`, or do not know that target 0 is leaving.
fn outdated(fleet: &Fleet, version: u64) -> Vec<usize> {
    let up_to_date = |node: &usize| {
        fleet.nodes[*node].snapshot.as_ref().is_some_and(|snapshot| {
            let leaving = snapshot.targets().iter().any(|known| known.target.leaving);
            snapshot.version() == version && leaving
        })
    };
    (0..fleet.nodes.len()).filter(|node| !up_to_date(node)).collect()
}

/// One or more silences, and a change that the store acknowledges between or after them.
#[derive(Clone, Debug)]
struct Scenario {
    size: Size,
    seed: u64,
    /// Whether an earlier version has made all nodes call the store at the same time.
    in_step: bool,
    /// Pauses before the silences, and their lengths, in milliseconds.
    silences: Vec<(u64, u64)>,
    /// Time from the last silence to the change, in milliseconds.
    change_after: u64,
}

/// Plays a scenario. Returns the nodes that lack the change once its bound has passed.
fn play(scenario: &Scenario) -> Vec<usize> {
    let mut fleet = fleet(scenario.size, scenario.seed);
    let mut in_force = 1;
    if scenario.in_step {
        in_force += 1;
        fleet.store.changes.push(version(in_force, 3));
    }
    let mut end = fleet.now;
    for (pause, length) in &scenario.silences {
        let begin = end + ms(*pause);
        end = begin + ms(*length);
        fleet.store.silences.push((begin, end));
    }
    let acknowledged = end + ms(scenario.change_after);
    advance_to(&mut fleet, acknowledged);
    fleet.store.changes.push(version(in_force + 1, 3));
    fleet.store.changes.push(entry(0, place(0), TargetState::Draining));
    advance_to(&mut fleet, acknowledged + CHANGE_BOUND);
    outdated(&fleet, in_force + 1)
}

fn advance_to(fleet: &mut Fleet, time: Time) {
    fleet.advance(time.since(fleet.now));
}

/// Guards against routes missing, and requests to leaving targets, after one lost response: a
/// silence of any length, at any moment of the cycle of calls.
#[test]
fn silence_change_in_force_within_bound() {
    for size in SIZES {
        for in_step in [true, false] {
            for begin in (0..LONGEST_CYCLE_MS).step_by(410) {
                for length in [20, 500, 1_400] {
                    let silences = vec![(begin, length)];
                    let scenario = Scenario { size, seed: 1, in_step, silences, change_after: 0 };
                    assert_eq!(play(&scenario), Vec::<usize>::new(), "{scenario:?}");
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..Default::default() })]

    /// Guards against retries that are lost in the next silence and wait for a timeout of their own.
    #[test]
    fn silences_in_series_change_in_force_within_bound(
        size in prop::sample::select(SIZES.to_vec()),
        seed in 0..1_000_u64,
        in_step: bool,
        silences in prop::collection::vec((0..LONGEST_CYCLE_MS, 20..3_000_u64), 1..5),
        change_after in 0..500_u64,
    ) {
        let scenario = Scenario { size, seed, in_step, silences, change_after };
        prop_assert_eq!(play(&scenario), Vec::<usize>::new(), "{:?}", scenario);
    }
}
