//! The history checker on histories with one known violation each.

use sycamore_bench::history::{Content, Publication, Record, Violation, check};
use sycamore_core::hash::Hash;
use sycamore_core::{Name, Time};

fn publication(version: u64, body: &str) -> Publication {
    Publication { version, digest: Hash::of(body.as_bytes()) }
}

fn published(version: u64, valid: bool) -> Record {
    let publication = publication(version, "body");
    Record::Published { at: Time(version), publication, valid }
}

fn started(node: usize) -> Record {
    Record::Started { at: Time(1), node }
}

fn stopped(node: usize) -> Record {
    Record::Stopped { at: Time(9), node }
}

fn in_force_with(node: usize, version: u64, body: &str, content: Content) -> Record {
    let publication = publication(version, body);
    Record::InForce { at: Time(9), node, publication, content }
}

fn in_force(node: usize, version: u64) -> Record {
    in_force_with(node, version, "body", Content::Complete)
}

fn neighbour_version(node: usize, version: u64) -> Record {
    Record::NeighbourVersion { at: Time(8), node, version }
}

#[test]
fn check_no_violations() {
    let history = [
        published(1, true),
        started(0),
        started(1),
        in_force(0, 1),
        published(2, true),
        in_force(0, 2),
        in_force(1, 2),
        Record::VersionDue { at: Time(20), version: 2 },
        stopped(0),
        published(3, true),
        in_force(1, 3),
        Record::VersionDue { at: Time(30), version: 3 },
        started(0),
        neighbour_version(0, 3),
        in_force(0, 3),
        Record::PlatformPeak { at: Time(31), peak: 5, limit: 5 },
    ];
    assert_eq!(check(&history), []);
}

#[test]
fn check_version_regressed() {
    let history = [published(1, true), published(2, true), in_force(0, 2), in_force(0, 1)];
    let expected = Violation::VersionRegressed { at: Time(9), node: 0, from: 2, to: 1 };
    assert_eq!(check(&history), [expected]);
}

#[test]
fn check_restart_version_lost() {
    let history = [
        published(1, true),
        published(2, true),
        in_force(0, 2),
        stopped(0),
        started(0),
        neighbour_version(0, 2),
        in_force(0, 1),
    ];
    let expected = Violation::VersionLost { at: Time(9), node: 0, recoverable: 2, to: 1 };
    assert_eq!(check(&history), [expected]);
}

#[test]
fn check_restart_version_unrecoverable() {
    let history = [
        published(1, true),
        published(2, true),
        in_force(0, 2),
        stopped(0),
        started(0),
        neighbour_version(0, 1),
        in_force(0, 1),
    ];
    assert_eq!(check(&history), []);
}

#[test]
fn check_invalid_version() {
    let history = [published(1, false), in_force(0, 1)];
    assert_eq!(check(&history), [Violation::InvalidVersion { at: Time(9), node: 0, version: 1 }]);
}

#[test]
fn check_content_mismatch() {
    let name = Name::new("lookup").unwrap();
    for content in
        [Content::DanglingRoute(name.clone()), Content::Mismatch(name), Content::Unpublished]
    {
        let history = [published(1, true), in_force_with(0, 1, "body", content.clone())];
        let expected = Violation::ContentMismatch { at: Time(9), node: 0, version: 1, content };
        assert_eq!(check(&history), [expected]);
    }
}

/// Two contents of one version, ordered by digest.
fn conflicting_bodies() -> [&'static str; 2] {
    let mut bodies = ["body", "rival"];
    bodies.sort_by_key(|body| Hash::of(body.as_bytes()));
    bodies
}

#[test]
fn check_divergence_at_due() {
    let due = Record::VersionDue { at: Time(20), version: 1 };
    let history = [
        started(0),
        started(1),
        in_force(0, 1),
        in_force_with(1, 1, "rival", Content::Complete),
        due,
    ];
    let expected = Violation::Divergence { at: Time(20), node: 1, other: 0, version: 1 };
    assert_eq!(check(&history), [expected]);
}

#[test]
fn check_divergence_resolved() {
    let [lower, higher] = conflicting_bodies();
    let history = [
        started(0),
        started(1),
        in_force_with(0, 1, higher, Content::Complete),
        in_force_with(1, 1, lower, Content::Complete),
        in_force_with(1, 1, higher, Content::Complete),
        Record::VersionDue { at: Time(20), version: 1 },
    ];
    assert_eq!(check(&history), []);
}

#[test]
fn check_divergence_lower_digest() {
    let [lower, higher] = conflicting_bodies();
    let history = [
        in_force_with(0, 1, higher, Content::Complete),
        in_force_with(0, 1, lower, Content::Complete),
    ];
    let expected = Violation::Divergence { at: Time(9), node: 0, other: 0, version: 1 };
    assert_eq!(check(&history), [expected]);
}

#[test]
fn check_version_overdue() {
    let history = [
        published(1, true),
        published(2, true),
        started(0),
        started(1),
        started(2),
        in_force(0, 2),
        in_force(1, 1),
        stopped(2),
        Record::VersionDue { at: Time(10), version: 2 },
    ];
    let expected = Violation::VersionOverdue { at: Time(10), node: 1, held: 1, due: 2 };
    assert_eq!(check(&history), [expected]);
}

#[test]
fn check_platform_over_limit() {
    let history = [Record::PlatformPeak { at: Time(10), peak: 2_001, limit: 2_000 }];
    let expected = Violation::PlatformOverLimit { at: Time(10), peak: 2_001, limit: 2_000 };
    assert_eq!(check(&history), [expected]);
}
