//! Explores all orders of the events around a recall, with the state machines of an entry node and
//! of two gatekeepers: a request that may run once runs at most once, and "not run" stays true.

#[path = "support/snapshot.rs"]
mod support;

#[path = "support/orders.rs"]
mod orders;

#[path = "support/once_arrival.rs"]
mod once_arrival;

#[path = "support/recall_world.rs"]
mod recall_world;

use recall_world::{Bug, Connections, Event, World};

/// Number of events after the first send in the longest order that is explored.
const DEPTH: usize = 6;

/// Overrides the depth; each further event takes about six times as long.
const DEPTH_VARIABLE: &str = "SYCAMORE_RECALL_DEPTH";

/// What an exploration has seen.
#[derive(Debug, Default)]
struct Explored {
    states: usize,
    violation: Option<(String, Vec<Event>)>,
    // States in which the request runs at another target than the first.
    moved: usize,
    // Those of them that were moved by a second question, after a break.
    moved_after_break: usize,
    // States in which the call has ended as unknown after the answer that the run is over.
    lost: usize,
    // States in which the caller was told that the request has not run.
    not_run: usize,
}

/// Explores breadth first. Orders that give each state machine the same inputs and leave the same
/// messages in transit lead to the same state and are explored once.
fn explore(bug: Bug, connections: Connections, depth: usize) -> Explored {
    explore_after(&[], bug, connections, depth)
}

/// Explores the orders that begin with `first`, with `depth` further events.
fn explore_after(first: &[Event], bug: Bug, connections: Connections, depth: usize) -> Explored {
    let mut explored = Explored::default();
    let new = || World::new(bug, connections);
    let exploration = orders::explore(new, first, depth, |world: &World| {
        explored.moved += usize::from(world.has_moved());
        explored.moved_after_break += usize::from(world.has_moved_after_break());
        explored.lost += usize::from(world.is_lost());
        explored.not_run += usize::from(world.is_not_run());
    });
    Explored { states: exploration.states, violation: exploration.violation, ..explored }
}

/// Guards against a second run, and against "not run" for a request that ran or runs later.
#[test]
fn recall_exactly_one_holder() {
    let depth = std::env::var(DEPTH_VARIABLE).ok().and_then(|text| text.parse().ok());
    let explored = explore(Bug::None, Connections::Idle, depth.unwrap_or(DEPTH));
    println!("{explored:?}");
    assert_eq!(explored.violation, None);
    let Explored { states, moved, lost, not_run, .. } = explored;
    assert!(states > 10_000 && moved > 0 && lost > 0 && not_run > 0, "{explored:?}");
}

/// Guards against a second run, a false "not run", and a slot that is freed twice or never, when a
/// request waits for a connection to its target.
#[test]
fn recall_awaiting_connection_exactly_one_holder() {
    let depth = std::env::var(DEPTH_VARIABLE).ok().and_then(|text| text.parse().ok());
    let explored = explore(Bug::None, Connections::Awaited, depth.unwrap_or(DEPTH));
    println!("{explored:?}");
    assert_eq!(explored.violation, None);
    let Explored { states, moved, lost, not_run, .. } = explored;
    assert!(states > 10_000 && moved > 0 && lost > 0 && not_run > 0, "{explored:?}");
}

/// Guards against a second run, and against a false "not run", when an attempt is asked about again
/// after its connection has broken. Whole orders of this kind are longer than [`DEPTH`], so these
/// explorations begin after the break.
#[test]
fn recall_asked_again_exactly_one_holder() {
    let depth = std::env::var(DEPTH_VARIABLE).ok().and_then(|text| text.parse().ok());
    let depth = depth.unwrap_or(DEPTH - 1);
    let in_flight = [Event::Due, Event::ConnectionLost];
    for connections in [Connections::Idle, Connections::Awaited] {
        let explored = explore_after(&in_flight, Bug::None, connections, depth);
        println!("{connections:?}: {explored:?}");
        assert_eq!(explored.violation, None);
        assert!(explored.states > 10_000 && explored.moved_after_break > 0, "{explored:?}");
    }
    // The request is delivered and waits, its slot is freed, and the first answer is `running`.
    let world = World::new(Bug::None, Connections::Idle);
    let gate = world.current_gate();
    let answered = [
        Event::Deliver(0),
        Event::End(gate),
        Event::Due,
        Event::Deliver(0),
        Event::Deliver(0),
        Event::ConnectionLost,
    ];
    let explored = explore_after(&answered, Bug::None, Connections::Idle, depth);
    println!("running: {explored:?}");
    assert_eq!((explored.violation, explored.moved), (None, 0));
    assert!(explored.states > 1_000 && explored.lost > 0);
}

/// Guards against a check that passes regardless of what the state machines do.
#[test]
fn recall_check_finds_injected_bugs() {
    for bug in Bug::ALL {
        let connections = match bug {
            Bug::RejectionMissed => Connections::Awaited,
            _ => Connections::Idle,
        };
        let explored = explore(bug, connections, DEPTH);
        println!("{bug:?}: {} states, {:?}", explored.states, explored.violation);
        assert!(
            explored.violation.is_some(),
            "{bug:?} was not found in {} states",
            explored.states
        );
    }
}
