//! After a suspension, only answers received afterwards confirm the version in force.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn pause_confirms_only_what_is_in_force() {
    // Guards against duplicate execution after a suspension: an answer buffered in the socket must
    // not confirm an outdated version, because the request key may have moved to another target
    // that has already executed the request.
    for offset_ms in (0..1_500).step_by(50) {
        let mut fleet = Fleet::new(6, 3);
        fleet.publish(1, &preset(1));
        fleet.start_all();
        fleet.run(10 * SECOND + Duration::from_millis(offset_ms));
        let node = 4;
        fleet.pause(node);
        let before = fleet.nodes[node].confirmed.len();
        assert!(before > 0, "not confirmed before the suspension, offset {offset_ms} ms");
        fleet.publish(2, &preset(2));
        fleet.run(8 * SECOND);
        fleet.resume(node);
        fleet.run(8 * SECOND);
        let after = &fleet.nodes[node].confirmed[before..];
        assert!(!after.is_empty(), "not confirmed after the suspension, offset {offset_ms} ms");
        assert!(after.iter().all(|version| *version == 2), "offset {offset_ms} ms: {after:?}");
    }
}
