//! Versions over a small fleet: in force everywhere, never back, never in part.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn publish_reaches_all() {
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
    fleet.publish(2, &preset(2));
    fleet.run(SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
    for slot in &fleet.nodes {
        println!(
            "{} {:?} {:?}",
            slot.cfg.vm,
            slot.spread.as_ref().unwrap().topology().role,
            slot.spread.as_ref().unwrap().parent().map(|p| p.vm.clone())
        );
    }
    println!("{:?}", fleet.platform.calls.len());
    fleet.check_never_back();
}
