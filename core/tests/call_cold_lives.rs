//! The rate of a cold target over restarts of the target and of its gatekeeper.

#[path = "support/cold_world.rs"]
mod cold_world;
#[path = "support/snapshot.rs"]
mod support;

use cold_world::{ALLOWED, COLD_MS, DOWN_MS, World};
use proptest::prelude::*;

/// Guards against a restarted gatekeeper that sends a second's worth of requests on top of what its
/// previous process has just sent.
#[test]
fn cold_rate_over_restart_of_gatekeeper() {
    let mut world = World::new();
    world.restart_target(true);
    world.advance(DOWN_MS + 900);
    world.restart_gatekeeper(300);
    world.advance(COLD_MS);
    assert!(world.most_in_a_second() <= ALLOWED, "{}", world.most_in_a_second());
}

/// Guards against a hold after each restart: a target that started after its gatekeeper has got
/// nothing from an earlier process.
#[test]
fn cold_target_started_after_gatekeeper_served_at_once() {
    let mut world = World::new();
    world.crash_target();
    world.restart_gatekeeper(100);
    world.advance(300);
    let before = world.arrivals().len();
    world.return_target(true);
    world.advance(200);
    assert!(world.arrivals().len() > before + 9, "{}", world.arrivals().len() - before);
}

/// Guards against a hold of requests to a target that is warm.
#[test]
fn warm_target_served_after_restart_of_gatekeeper() {
    let mut world = World::new();
    world.restart_gatekeeper(300);
    let before = world.arrivals().len();
    world.advance(1_000);
    assert!(world.arrivals().len() > before + ALLOWED, "{}", world.arrivals().len() - before);
}

/// Guards against requests that are counted when they get a slot and sent a while later, beside those
/// that the limit allows by then.
#[test]
fn cold_rate_with_slow_connections() {
    let mut world = World::new();
    world.restart_target(true);
    world.advance(1_000);
    world.set_connection_delay(400);
    world.advance(150);
    world.set_connection_delay(0);
    world.advance(COLD_MS);
    assert!(world.most_in_a_second() <= ALLOWED, "{}", world.most_in_a_second());
}

/// Guards against requests that a stopped process sends long after the limit let them start.
#[test]
fn cold_rate_with_late_sends() {
    let mut world = World::new();
    world.restart_target(true);
    world.advance(1_200);
    world.pause_sends(1_300);
    world.advance(COLD_MS);
    assert!(world.most_in_a_second() <= ALLOWED, "{}", world.most_in_a_second());
}

/// Guards against a target that crashes while it is cold and is taken for warm by the clock of its
/// first start.
#[test]
fn cold_after_second_start() {
    for new_id in [true, false] {
        for gap in [500, 1_500, 2_500] {
            let mut world = World::new();
            world.restart_target_unnoticed(new_id);
            world.advance(gap);
            world.restart_target_unnoticed(new_id);
            world.advance(2 * COLD_MS);
            let most = world.most_in_a_second();
            assert!(most <= ALLOWED, "new id {new_id}, {gap} ms: {most}");
        }
    }
}

/// Guards against a health request on top of a second's worth of requests, again and again while it
/// has no answer.
#[test]
fn cold_rate_with_unanswered_probes() {
    let mut world = World::new();
    world.set_answers_probes(false);
    world.restart_target(true);
    world.advance(DOWN_MS + 900);
    world.restart_gatekeeper(300);
    world.advance(2 * COLD_MS);
    assert!(world.most_in_a_second() <= ALLOWED, "{}", world.most_in_a_second());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance,
    RestartGatekeeper,
    RestartTarget { new_id: bool },
    RestartTargetUnnoticed { new_id: bool },
    DelayConnections(u64),
    PauseSends(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Advance),
        2 => Just(Step::RestartGatekeeper),
        2 => any::<bool>().prop_map(|new_id| Step::RestartTarget { new_id }),
        1 => any::<bool>().prop_map(|new_id| Step::RestartTargetUnnoticed { new_id }),
        1 => (0u64..500).prop_map(Step::DelayConnections),
        1 => (0u64..1_500).prop_map(Step::PauseSends),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against orders of restarts, delays and pauses that let a cold target get more requests
    /// than it tolerates.
    #[test]
    fn cold_rate_in_any_order(steps in prop::collection::vec((step(), 0u64..1_200), 1..10)) {
        let mut world = World::new();
        for (step, ms) in steps {
            match step {
                Step::Advance => {}
                Step::RestartGatekeeper => world.restart_gatekeeper(300),
                Step::RestartTarget { new_id } => world.restart_target(new_id),
                Step::RestartTargetUnnoticed { new_id } => world.restart_target_unnoticed(new_id),
                Step::DelayConnections(delay) => world.set_connection_delay(delay),
                Step::PauseSends(pause) => world.pause_sends(pause),
            }
            world.advance(ms);
        }
        world.advance(COLD_MS);
        prop_assert!(world.most_in_a_second() <= ALLOWED, "{}", world.most_in_a_second());
    }
}
