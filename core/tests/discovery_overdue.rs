//! Responses of the store that do not come: what is recorded of them.

#[path = "support/store_node.rs"]
mod support;

use std::time::Duration;
use support::*;
use sycamore_core::Code;
use sycamore_core::discovery::{Change, Input, Pace, ReadError, Reply, Request};
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

/// Guards against a slow store that is never heard, since each call is abandoned for the next.
#[test]
fn overdue_watch_answered_late_counts() {
    let (mut node, wait) = node_with_pending_watch();
    let overdue = node.calls[0].id;
    node.advance(wait + ms(300));
    assert_ne!(node.calls[0].id, overdue, "no call beside the overdue one");
    let reply = Reply { revision: 11, changes: vec![publication(2)], next: None };
    node.input(Input::Reply { id: overdue, result: Ok(reply) });
    assert_eq!(node.version(), 2);
    node.reply(10, vec![publication(3)]);
    assert_eq!(node.version(), 2, "the other call no longer counts");
}

/// Guards against a late failure of an overdue call that ends the one made beside it.
#[test]
fn overdue_watch_fails_late() {
    let (mut node, wait) = node_with_pending_watch();
    let overdue = node.calls[0].id;
    node.advance(wait + ms(300));
    let failure = Err(ReadError::Failed(Code::SourceUnreachable));
    node.input(Input::Reply { id: overdue, result: failure });
    node.reply(11, vec![publication(2)]);
    assert_eq!((node.version(), node.count(EventKind::SourceLost)), (2, 0));
}

/// Guards against dropping live targets whose entries expired in a silence that was over before the
/// node noticed it.
#[test]
fn overdue_watch_keeps_expired_targets() {
    let (mut node, wait) = node_with_pending_watch();
    node.advance(wait + ms(300));
    node.reply(12, vec![Change::Removed { id: name("a") }]);
    assert_eq!(node.targets(), ["a"], "it may come back");
    node.quiet(12, ms(2_200));
    assert!(node.targets().is_empty(), "{:?}", node.targets());
}

/// Guards against a store that is asked ever more often while it is silent.
#[test]
fn overdue_watch_backs_off() {
    let (mut node, wait) = node_with_pending_watch();
    node.advance(wait);
    let mut calls = 0;
    for _ in 0..100 {
        let pending = node.calls.first().map(|call| (call.id, call.timeout));
        node.advance(ms(100));
        calls += usize::from(node.calls.first().map(|call| (call.id, call.timeout)) != pending);
    }
    // Two calls in the first second, one in the next, then one every two seconds.
    assert!((3..=9).contains(&calls), "{calls} calls");
}

/// Guards against watches that end later than a change may take, whatever the bound.
#[test]
fn overdue_watch_wait_derived_from_bound() {
    for bound in [2_000, 2_500, 3_000, 5_000, 60_000] {
        let pace = Pace::for_bound(ms(bound));
        for since_response in [0, 700, 1_500, bound] {
            let wait = pace.watch_wait(ms(since_response));
            let latest = ms(since_response) + wait;
            assert!(latest < ms(bound) || since_response == bound, "{bound} {since_response}");
        }
        assert!(pace.max_call_interval < ms(bound), "{bound}");
    }
}
