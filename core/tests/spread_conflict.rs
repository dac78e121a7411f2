//! Conflicting publications under one version during a network partition.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, name, preset};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const NODES: usize = 18;

#[test]
fn conflict_accepted_on_both_sides_of_a_cut() {
    // Guards against a permanently split fleet: both sides of a partition accept different bodies of
    // version 2 and must converge on one of them once the partition heals.
    for (first, second) in [(2, 3), (3, 2)] {
        let mut fleet = Fleet::new(6, 3);
        fleet.publish(1, &preset(1));
        fleet.start_all();
        fleet.run(10 * SECOND);
        fleet.partition_zones(&["a"]);
        fleet.platform.unreachable_from = ["b", "c", "d", "e", "f"].map(name).to_vec();
        // Terminates open watches, which the partition alone would leave pending.
        fleet.platform_down(true);
        fleet.run(SECOND);
        fleet.platform_down(false);
        fleet.publish(2, &preset(first));
        fleet.run(10 * SECOND);
        fleet.platform.unreachable_from = vec![name("a")];
        fleet.platform_down(true);
        fleet.run(SECOND);
        fleet.platform_down(false);
        fleet.publish(2, &preset(second));
        fleet.run(10 * SECOND);
        let held = |fleet: &Fleet, node: usize| {
            fleet.nodes[node].in_force.last().unwrap().in_force.clone()
        };
        assert_eq!(fleet.versions(), vec![2; NODES]);
        assert_ne!(held(&fleet, 0), held(&fleet, NODES - 1), "both sides hold the same body");
        fleet.heal();
        fleet.run(30 * SECOND);
        let all: Vec<_> = (0..NODES).map(|node| held(&fleet, node)).collect();
        assert!(all.iter().all(|other| *other == all[0]), "split: {all:?}");
        fleet.assert_versions_never_decrease();
    }
}
