//! Evacuated zones, as a single node learns of them from the store.

#[path = "support/store_node.rs"]
mod support;

use support::*;
use sycamore_core::discovery::{Change, TargetState};

fn evacuation(zone: &str, active: bool) -> Change {
    Change::Evacuation { zone: name(zone), active }
}

fn is_evacuated(node: &Node) -> bool {
    let snapshot = node.snapshot.as_ref().unwrap();
    assert!(!snapshot.targets().is_empty());
    snapshot.targets().iter().all(|entry| entry.target.evacuated)
}

#[test]
fn watch_order_and_end() {
    let mut node = Node::with_targets(vec![ready("a", 2)]);
    assert!(!is_evacuated(&node));
    node.reply(11, vec![evacuation("z", true)]);
    assert!(is_evacuated(&node));
    node.advance(ms(700));
    node.reply(12, vec![evacuation("z", false)]);
    assert!(!is_evacuated(&node));
}

#[test]
fn watch_order_for_another_zone() {
    let mut node = Node::with_targets(vec![ready("a", 2)]);
    node.reply(11, vec![evacuation("elsewhere", true)]);
    assert!(!is_evacuated(&node));
}

/// Guards against targets that join an evacuated zone and get requests.
#[test]
fn watch_target_after_order() {
    let mut node = Node::with_targets(vec![ready("a", 2)]);
    node.reply(11, vec![evacuation("z", true)]);
    node.advance(ms(700));
    node.reply(12, vec![ready("b", 3)]);
    assert!(is_evacuated(&node));
}

/// Guards against a stale page that hides an order or shows one that has ended.
#[test]
fn list_stale_pages() {
    for (in_pages, in_force) in [(true, false), (false, true), (true, true)] {
        let mut node = Node::new();
        let mut pages = vec![publication(1), ready("a", 2)];
        pages.extend(in_pages.then(|| evacuation("z", true)));
        node.reply(10, pages);
        let document = in_force.then(|| evacuation("z", true));
        node.finish_list(10, vec![], document.into_iter().collect());
        assert_eq!(is_evacuated(&node), in_force, "{in_pages}");
    }
}

/// Guards against an order that is forgotten, or kept for ever, over an outage of the store.
#[test]
fn outage_keeps_order_until_list() {
    for still_in_force in [true, false] {
        let mut node = Node::with_targets(vec![ready("a", 2)]);
        node.reply(11, vec![evacuation("z", true)]);
        node.outage(ms(5_000));
        assert!(is_evacuated(&node));
        node.advance(ms(1_500));
        node.finish_call(Err(sycamore_core::discovery::ReadError::HistoryGone));
        let mut listed = vec![publication(1), ready("a", 2)];
        listed.extend(still_in_force.then(|| evacuation("z", true)));
        node.reply(40, listed);
        assert_eq!(is_evacuated(&node), still_in_force);
    }
}

/// A target's report that it is cold reaches the snapshot, and so does its end.
#[test]
fn watch_cold_report() {
    let mut node = Node::with_targets(vec![ready("a", 2)]);
    let mut report = entry("10.0.0.2:80", TargetState::Ready, 2_000, 1);
    report.cold = true;
    node.reply(11, vec![target("a", report.clone())]);
    let cold = |node: &Node| node.snapshot.as_ref().unwrap().targets()[0].target.cold;
    assert!(cold(&node));
    node.advance(ms(700));
    node.reply(
        12,
        vec![target(
            "a",
            sycamore_core::discovery::TargetEntry { cold: false, revision: 12, ..report },
        )],
    );
    assert!(!cold(&node));
}
