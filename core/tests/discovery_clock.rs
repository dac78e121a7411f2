//! Targets whose clocks are set back: the store orders their entries, not their start times.

#[path = "support/store_node.rs"]
mod support;

use std::sync::Arc;
use support::*;
use sycamore_core::config::Preset;
use sycamore_core::discovery::{Change, Input, Publication, TargetEntry, TargetState};
use sycamore_core::spread::message::Pull;
use sycamore_core::spread::{Peer, PeerMsg};

const ADDRESS: &str = "10.0.0.2:80";

fn written(state: TargetState, started_ms: u64, revision: u64) -> Change {
    target("a", entry(ADDRESS, state, started_ms, revision))
}

fn targets_of(node: &Node) -> Vec<String> {
    let mut targets = node.targets();
    targets.sort();
    targets
}

/// Guards against requests to a draining target that restarted after its clock was set back.
#[test]
fn watch_draining_after_restart_with_earlier_clock() {
    let mut node = Node::with_targets(vec![ready("b", 1)]);
    node.reply(11, vec![written(TargetState::Ready, 9_000, 11)]);
    node.advance(ms(1_000));
    node.reply(12, vec![written(TargetState::Ready, 7_000, 12)]);
    assert_eq!(targets_of(&node), ["a", "b"]);
    node.advance(ms(1_000));
    node.reply(13, vec![written(TargetState::Draining, 7_000, 13)]);
    assert_eq!(targets_of(&node), ["b"]);
}

/// Guards against an ended target that hides the one that has taken over its address, because it
/// started later by its clock.
#[test]
fn watch_address_reassigned_with_earlier_clock() {
    let mut node = Node::with_targets(vec![ready("b", 1)]);
    node.reply(11, vec![written(TargetState::Draining, 9_000, 11)]);
    node.advance(ms(1_000));
    let next = entry(ADDRESS, TargetState::Ready, 7_000, 12);
    node.reply(12, vec![target("c", next)]);
    assert_eq!(targets_of(&node), ["b", "c"]);
}

/// Guards against requests that are rejected because a later entry, of a service that the version
/// lacks, names the address of a sound target.
#[test]
fn watch_unknown_service_hides_no_target() {
    let mut node = Node::with_targets(vec![ready("b", 1), written(TargetState::Ready, 9_000, 9)]);
    let other =
        TargetEntry { service: name("unlisted"), ..entry(ADDRESS, TargetState::Ready, 9_500, 11) };
    node.reply(11, vec![target("c", other)]);
    assert_eq!(targets_of(&node), ["a", "b"]);
}

/// Full state of a node that knows these targets up to `revision`.
fn state_of_peer(revision: u64, targets: Vec<Change>) -> PeerMsg {
    state_under(publication(1), revision, targets)
}

/// The same under another version.
fn state_under(version: Change, revision: u64, mut targets: Vec<Change>) -> PeerMsg {
    let mut peer = Node::new();
    targets.push(version);
    peer.reply_list(revision, targets);
    peer.sent.clear();
    let pull = Pull { version: 0, base: None, scope: None };
    peer.input(Input::Peer { from: sender(8), msg: PeerMsg::Pull(Box::new(pull)) });
    let state = peer.sent.into_iter().find(|(_, msg)| matches!(msg, PeerMsg::Delta(_)));
    state.expect("expected a full state").1
}

fn sender(ip: u8) -> Peer {
    let address = format!("10.0.0.{ip}:7").parse().unwrap();
    Peer { vm: name(&format!("n{ip}")), place: place(), address }
}

/// Targets of a node that starts and is sent these states by different peers.
fn targets_after(states: [&PeerMsg; 2]) -> Vec<String> {
    let mut node = Node::new();
    for (ip, state) in (21..).zip(states) {
        node.input(Input::Peer { from: sender(ip), msg: state.clone() });
    }
    targets_of(&node)
}

/// Guards against a node that starts and takes the older of two states of peers, since the target
/// started later by its clock there.
#[test]
fn rejoin_newer_state_wins_in_any_order() {
    let older = state_of_peer(20, vec![ready("b", 1), written(TargetState::Ready, 9_000, 15)]);
    let newer = state_of_peer(30, vec![ready("b", 1), written(TargetState::Draining, 7_000, 25)]);
    for states in [[&older, &newer], [&newer, &older]] {
        assert_eq!(targets_after(states), ["b"]);
    }
}

/// Guards against a target that is gone, but comes back to a starting node with an older state.
#[test]
fn rejoin_older_state_restores_no_target() {
    let older = state_of_peer(20, vec![ready("b", 1), written(TargetState::Ready, 9_000, 15)]);
    let newer = state_of_peer(30, vec![ready("b", 1)]);
    for states in [[&older, &newer], [&newer, &older]] {
        assert_eq!(targets_after(states), ["b"]);
    }
}

/// Guards against a peer's state that outweighs the store, because the target started later by its
/// clock there.
#[test]
fn rejoin_list_after_restart_with_earlier_clock() {
    let state = state_of_peer(20, vec![ready("b", 1), written(TargetState::Ready, 9_000, 15)]);
    let mut node = Node::new();
    node.input(Input::Peer { from: sender(21), msg: state });
    assert_eq!(targets_of(&node), ["a", "b"]);
    node.advance(ms(2_000));
    node.reply_list(30, vec![ready("b", 1), written(TargetState::Draining, 7_000, 25)]);
    assert_eq!(targets_of(&node), ["b"]);
}

/// Guards against the loss of the targets of a service to the state of a peer that has read the store
/// later, but holds an older version without that service.
#[test]
fn rejoin_newer_state_under_older_version() {
    let without_service = r#"{"name":"p","services":{"other":{"targets":[]}},
        "routes":{"a":{"path_prefix":"/a/","service":"other","idempotent":true}}}"#;
    let preset: Preset = serde_json::from_str(without_service).unwrap();
    let older = Change::Published(Ok(Arc::new(Publication { version: 1, preset })));
    let first = state_under(publication(2), 20, vec![ready("b", 1)]);
    let second = state_under(older, 30, vec![ready("b", 1)]);
    let mut node = Node::new();
    node.input(Input::Peer { from: sender(21), msg: first });
    node.input(Input::Peer { from: sender(22), msg: second });
    assert_eq!((node.version(), targets_of(&node)), (2, vec!["b".into()]));
}
