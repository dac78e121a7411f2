//! Invariants of versions in a small fleet: they are in force everywhere within seconds, never
//! replaced by older ones and never applied in part.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset, publication};
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::event::EventKind;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a fleet of 18 nodes with version 1 in force everywhere.
fn settled() -> Fleet {
    let mut fleet = Fleet::new(6, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
    fleet
}

#[test]
fn publish_reaches_all() {
    let mut fleet = settled();
    fleet.publish(2, &preset(2));
    fleet.run(SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
    fleet.assert_versions_never_decrease();
}

#[test]
fn publish_while_bodies_cross() {
    // Five versions are published within 100 ms, so that bodies and deltas overtake each other.
    // Applying them in order of arrival would end at an older version.
    let mut fleet = settled();
    for version in 2..=6 {
        fleet.publish(version, &preset(version as u32));
        fleet.run(SECOND / 50);
    }
    fleet.run(2 * SECOND);
    assert_eq!(fleet.versions(), vec![6; 18]);
    fleet.assert_versions_never_decrease();
}

#[test]
fn publish_bad_then_good() {
    // A preset with a dangling route must be rejected on every node, and a later valid one
    // accepted.
    let mut fleet = settled();
    let bad = preset(2).replace(r#""service":"maps""#, r#""service":"mops""#);
    fleet.publish(2, &bad);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
    let rejections: usize = (0..18)
        .map(|node| fleet.count(node, EventKind::VersionRefused, Some(Code::RouteDangling)))
        .sum();
    assert!(rejections >= 1, "no node reported the invalid version");
    let reads = fleet.platform.calls.iter().filter(|(_, key)| key.starts_with("preset/")).count();
    assert!(reads <= 18, "the invalid body was read {reads} times");
    fleet.publish(3, &preset(3));
    fleet.run(2 * SECOND);
    assert_eq!(fleet.versions(), vec![3; 18]);
}

#[test]
fn publish_torn_body() {
    // `in-force` already names the new version while the preset's key holds the old body. The two
    // must not be combined; the body is read again until it matches.
    let mut fleet = settled();
    fleet.set_in_force(&publication(2, &preset(2)));
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
    fleet.set("preset/ordinary", preset(2));
    fleet.run(30 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
    for sim in &fleet.nodes {
        let slots: Vec<u32> = sim
            .in_force
            .iter()
            .map(|s| s.services().iter().map(|e| e.limits.slots).max().unwrap_or(0))
            .collect();
        assert_eq!(slots, [12, 12], "the maps service must have the default of 12");
        let versions: Vec<u64> = sim.in_force.iter().map(|s| s.version()).collect();
        assert_eq!(versions, [1, 2]);
    }
}

#[test]
fn publish_conflict_late() {
    // Another body is published under the version in force. It must be rejected and reported, or
    // nodes would hold different content under the same version.
    let mut fleet = settled();
    fleet.publish(1, &preset(9));
    fleet.run(10 * SECOND);
    for sim in &fleet.nodes {
        assert_eq!(sim.in_force.len(), 1);
    }
    let reported = (0..18)
        .filter(|n| fleet.count(*n, EventKind::VersionRefused, Some(Code::VersionConflict)) > 0);
    assert!(reported.count() >= 6, "each reader must report it");
}

#[test]
fn publish_conflict_race() {
    // Two bodies are published under version 2 within milliseconds. Nodes may see either one first,
    // but must all end with the same one.
    for gap_ms in [0, 1, 2, 3, 5, 10, 50] {
        let mut fleet = settled();
        let body =
            |mark| preset(mark).replace("ordinary", if mark == 2 { "first" } else { "second" });
        for mark in [2, 3] {
            let key = if mark == 2 { "first" } else { "second" };
            fleet.set(&format!("preset/{key}"), body(mark));
        }
        for mark in [2, 3] {
            let mut chosen = publication(2, &body(mark));
            chosen.preset = fleet::name(if mark == 2 { "first" } else { "second" });
            fleet.set_in_force(&chosen);
            fleet.run(Duration::from_millis(gap_ms));
        }
        fleet.run(10 * SECOND);
        let last: Vec<_> =
            fleet.nodes.iter().map(|s| s.in_force.last().unwrap().in_force.clone()).collect();
        assert!(
            last.iter().all(|in_force| *in_force == last[0]),
            "nodes disagree after a gap of {gap_ms} ms: {last:?}"
        );
        fleet.assert_versions_never_decrease();
    }
}

#[test]
fn publish_conflict_in_two_halves() {
    // Each half of a partitioned fleet accepts another body under version 2. After the partition
    // heals, all nodes must agree on one of them.
    for (first, second) in [(2, 3), (3, 2)] {
        let mut fleet = settled();
        let zones = ["a", "b", "c", "d", "e", "f"];
        let is_first = |zone: &str| ["a", "b"].contains(&zone);
        fleet.filter = Box::new(move |from, to, msg| {
            let (from, to) = (from.cfg.place.zone.as_str(), to.cfg.place.zone.as_str());
            (is_first(from) == is_first(to)).then(|| msg.clone())
        });
        for (mark, reached) in [(first, true), (second, false)] {
            let cut = zones.iter().filter(|zone| is_first(zone) != reached);
            fleet.platform.unreachable_from = cut.map(|zone| fleet::name(*zone)).collect();
            fleet.platform_down(true);
            fleet.platform_down(false);
            fleet.publish(2, &preset(mark));
            fleet.run(8 * SECOND);
        }
        assert_eq!(fleet.versions(), vec![2; 18]);
        fleet.heal();
        fleet.run(10 * SECOND);
        let last = |sim: &fleet::SimNode| sim.in_force.last().unwrap().in_force.clone();
        let one = last(&fleet.nodes[0]);
        assert!(
            fleet.nodes.iter().all(|sim| last(sim) == one),
            "nodes still disagree after the partition"
        );
        let reported = (0..18).filter(|n| {
            fleet.count(*n, EventKind::VersionRefused, Some(Code::VersionConflict)) > 0
        });
        assert!(reported.count() > 0, "no node reported the conflict");
        fleet.publish(3, &preset(4));
        fleet.run(3 * SECOND);
        assert_eq!(fleet.versions(), vec![3; 18]);
    }
}

#[test]
fn source_goes_back() {
    // The platform is restored from a backup with an older index and version. Nodes must keep the
    // newer version.
    let mut fleet = settled();
    fleet.publish(2, &preset(2));
    fleet.run(2 * SECOND);
    fleet.platform.index = 3;
    fleet.publish(1, &preset(1));
    fleet.platform_down(true);
    fleet.run(SECOND);
    fleet.platform_down(false);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
    let reported = (0..18)
        .filter(|n| fleet.count(*n, EventKind::VersionRefused, Some(Code::SourceWentBack)) > 0);
    assert!(reported.count() >= 6, "each reader must report it");
    // New versions must be accepted although the restored indices are lower.
    fleet.publish(3, &preset(3));
    fleet.run(35 * SECOND);
    assert_eq!(fleet.versions(), vec![3; 18]);
}

#[test]
fn source_rubbish() {
    // The platform returns an unparsable publication, then an unparsable preset. Neither may change
    // the version in force.
    let mut fleet = settled();
    fleet.set("in-force", "<html>502</html>");
    fleet.run(5 * SECOND);
    fleet.publish(2, "not a preset");
    fleet.run(5 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
    assert!(
        fleet.platform.peak_calls_per_second() < 100,
        "{} calls in a second",
        fleet.platform.peak_calls_per_second()
    );
    fleet.publish(3, &preset(3));
    fleet.run(2 * SECOND);
    assert_eq!(fleet.versions(), vec![3; 18]);
}

#[test]
fn scope_leaves_nothing_out() {
    // A route moves to a service outside a leaf's content. The delta must include that service, not
    // only the route.
    let mut fleet = Fleet::new(2, 6);
    for sim in &mut fleet.nodes {
        sim.cfg.scope = Some(vec![fleet::name("maps")]);
    }
    fleet.publish(1, &preset(1));
    fleet.start_all();
    // Wait until nodes that acted as relays during startup are leaves again.
    fleet.run(20 * SECOND);
    let moved = preset(2).replace(
        r#""path_prefix":"/rosters","service":"roster""#,
        r#""path_prefix":"/rosters","service":"maps""#,
    );
    fleet.publish(2, &moved);
    fleet.run(2 * SECOND);
    fleet.publish(3, &preset(3));
    fleet.run(2 * SECOND);
    for sim in &fleet.nodes {
        let shapes: Vec<(usize, usize)> =
            sim.in_force.iter().map(|s| (s.services().len(), s.routes().len())).collect();
        assert_eq!(shapes, [(1, 1), (1, 2), (1, 1)], "{}", sim.cfg.vm);
        let held = sim.spread.as_ref().unwrap().store().unwrap().content().len();
        let leaf =
            sim.spread.as_ref().unwrap().topology().role == sycamore_core::status::Role::Leaf;
        assert_eq!(held, if leaf { 3 } else { 6 }, "{}", sim.cfg.vm);
    }
}
