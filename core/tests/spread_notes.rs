//! Delivery of notes between the nodes of a service.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, name, preset};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use sycamore_core::call::Fingerprint;
use sycamore_core::call::note::{Note, OutgoingNote};
use sycamore_core::spread::{Input, PeerMsg};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn note_reaches_removed_target_in_another_zone() {
    // Guards against notes that never reach a removed target: its keys could not be released, and
    // requests with these keys would be rejected with E458 indefinitely. The target's address is
    // only part of the previous version, and a leaf has no VM list of other zones.
    let mut fleet = Fleet::new(6, 3);
    let old_home = fleet.index("b-0");
    let address = fleet.nodes[old_home].cfg.address.to_string();
    let with_address = |body: String| body.replace("127.0.0.1:9", &address);
    fleet.publish(1, &with_address(preset(1)));
    fleet.start_all();
    fleet.run(10 * SECOND);
    let without = preset(2).replace(r#""vm":"b-0""#, r#""vm":"b-1""#);
    fleet.publish(2, &without);
    fleet.run(2 * SECOND);
    let delivered = Rc::new(Cell::new(0));
    let counter = delivered.clone();
    fleet.filter = Box::new(move |_, to, msg| {
        let note = matches!(msg, PeerMsg::Note(_)) && to.cfg.vm == name("b-0");
        counter.set(counter.get() + u32::from(note));
        Some(msg.clone())
    });
    for node in 0..fleet.nodes.len() {
        let note = Note::Cleared { fingerprint: Fingerprint(1) };
        fleet.input(node, Input::Note(OutgoingNote { to: name("b-0"), note }));
    }
    assert_eq!(delivered.get(), 18);
}
