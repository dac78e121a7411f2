//! After a pause a node counts its version as confirmed only by answers that came after it.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn pause_confirms_only_what_is_in_force() {
    // Story: a signing reaches a VM that has just woken from a pause. Meanwhile a version came
    // into force that gives the signing's key to another target, which has run it. Were an answer
    // that lay in the socket during the pause taken as a confirmation, it would run twice.
    for offset_ms in (0..1_500).step_by(50) {
        let mut fleet = Fleet::new(6, 3);
        fleet.publish(1, &preset(1));
        fleet.start_all();
        fleet.run(10 * SECOND + Duration::from_millis(offset_ms));
        let node = 4;
        fleet.freeze(node);
        let before = fleet.nodes[node].confirmed.len();
        assert!(before > 0, "confirmed before the pause");
        fleet.publish(2, &preset(2));
        fleet.run(8 * SECOND);
        fleet.thaw(node);
        fleet.run(8 * SECOND);
        let after = &fleet.nodes[node].confirmed[before..];
        assert!(!after.is_empty(), "confirmed again, offset {offset_ms} ms");
        assert!(after.iter().all(|version| *version == 2), "offset {offset_ms} ms: {after:?}");
    }
}
