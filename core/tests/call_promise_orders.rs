//! Explores orders of what can happen to a request on its way to a target and back: "not run" is true,
//! and a request that may run once runs at most once.

#[path = "support/snapshot.rs"]
mod support;

#[path = "support/promise_world.rs"]
mod promise_world;

use promise_world::{Answer, Bug, Event, World};
use std::collections::HashSet;

/// Number of events in the longest order that is explored.
const DEPTH: usize = 10;

/// What an exploration has seen.
#[derive(Debug, Default)]
struct Explored {
    states: usize,
    violation: Option<(String, Vec<Event>)>,
    // States in which the caller has each answer.
    not_run: usize,
    unknown: usize,
    success: usize,
    // States in which the request has run.
    runs: usize,
}

/// Explores breadth first.
fn explore(bug: Bug, slot_taken: bool, depth: usize) -> Explored {
    let mut explored = Explored::default();
    let mut seen = HashSet::new();
    let mut frontier: Vec<Vec<Event>> = vec![Vec::new()];
    for length in 0..=depth {
        let mut next = Vec::new();
        for order in frontier {
            let mut world = World::new(bug, slot_taken);
            order.iter().for_each(|event| world.apply(*event));
            if !seen.insert(world.state_key(&order)) {
                continue;
            }
            explored.states += 1;
            explored.runs += usize::from(world.runs() > 0);
            explored.not_run += usize::from(world.answer == Some(Answer::NotRun));
            explored.unknown += usize::from(world.answer == Some(Answer::Unknown));
            explored.success += usize::from(world.answer == Some(Answer::Success));
            if let Some(violation) = world.violation() {
                explored.violation = Some((violation, order));
                return explored;
            }
            if length < depth {
                for event in world.possible_events() {
                    next.push(order.iter().copied().chain([event]).collect());
                }
            }
        }
        frontier = next;
    }
    explored
}

/// Guards against "not run" for a request that ran or runs later, and against a second run.
#[test]
fn promise_holds_in_any_order() {
    for slot_taken in [false, true] {
        let explored = explore(Bug::None, slot_taken, DEPTH);
        println!("slot taken {slot_taken}: {explored:?}");
        assert_eq!(explored.violation, None);
        let Explored { states, not_run, unknown, success, runs, .. } = explored;
        assert!(states > 5_000, "{states}");
        assert!(not_run > 0 && unknown > 0 && success > 0 && runs > 0, "{states}");
    }
}

/// Guards against a check that passes whatever a place that says "not run" does.
#[test]
fn promise_check_finds_injected_bugs() {
    for bug in Bug::ALL {
        let slot_taken = bug == Bug::WaitEndsAlone;
        let explored = explore(bug, slot_taken, DEPTH);
        println!("{bug:?}: {} states, {:?}", explored.states, explored.violation);
        assert!(
            explored.violation.is_some(),
            "{bug:?} was not found in {} states",
            explored.states
        );
    }
}
