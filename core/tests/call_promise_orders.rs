//! Explores orders of what can happen to a request on its way to a target and back: "not run" is true,
//! and a request that may run once runs at most once.

#[path = "support/snapshot.rs"]
mod support;

#[path = "support/orders.rs"]
mod orders;

#[path = "support/once_arrival.rs"]
mod once_arrival;

#[path = "support/promise_world.rs"]
mod promise_world;

use promise_world::{Answer, Bug, Event, World};

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

fn explore(bug: Bug, slot_taken: bool) -> Explored {
    let mut explored = Explored::default();
    let new = || World::new(bug, slot_taken);
    let exploration = orders::explore(new, &[], DEPTH, |world: &World| {
        explored.runs += usize::from(world.runs() > 0);
        explored.not_run += usize::from(world.answer == Some(Answer::NotRun));
        explored.unknown += usize::from(world.answer == Some(Answer::Unknown));
        explored.success += usize::from(world.answer == Some(Answer::Success));
    });
    Explored { states: exploration.states, violation: exploration.violation, ..explored }
}

/// Guards against "not run" for a request that ran or runs later, and against a second run.
#[test]
fn promise_holds_in_any_order() {
    for slot_taken in [false, true] {
        let explored = explore(Bug::None, slot_taken);
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
        let explored = explore(bug, slot_taken);
        println!("{bug:?}: {} states, {:?}", explored.states, explored.violation);
        assert!(
            explored.violation.is_some(),
            "{bug:?} was not found in {} states",
            explored.states
        );
    }
}
