//! Responses of the store that do not come: what is recorded of them.

#[path = "support/store_node.rs"]
mod support;

use std::time::Duration;
use support::*;
use sycamore_core::discovery::Request;
use sycamore_core::event::EventKind;

fn node_with_pending_watch() -> (Node, Duration) {
    let node = Node::with_targets(vec![ready("a", 1)]);
    let Request::Watch { wait, .. } = node.calls[0].request else {
        panic!("{:?}", node.calls);
    };
    (node, wait)
}

/// Guards against a lost response that leaves no trace before the call times out.
#[test]
fn overdue_watch_is_recorded_once() {
    let (mut node, wait) = node_with_pending_watch();
    node.advance(wait);
    assert_eq!(node.count(EventKind::SourceOverdue), 0);
    node.advance(ms(1_000));
    assert_eq!(node.count(EventKind::SourceOverdue), 1);
}

/// Guards against a store that seems current for as long as it is silent.
#[test]
fn overdue_watch_keeps_time_of_last_response() {
    let (mut node, wait) = node_with_pending_watch();
    let responded_at = node.discovery.store_responded_at().unwrap();
    node.advance(wait + ms(1_000));
    assert_eq!(node.discovery.store_responded_at(), Some(responded_at));
    node.reply(11, vec![]);
    assert_eq!(node.discovery.store_responded_at(), Some(node.now));
}

#[test]
fn answered_watch_is_not_overdue() {
    let (mut node, wait) = node_with_pending_watch();
    node.advance(wait);
    node.reply(11, vec![]);
    node.advance(ms(1_000));
    assert_eq!(node.count(EventKind::SourceOverdue), 0);
}
