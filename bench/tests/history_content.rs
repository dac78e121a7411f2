//! Comparison of a node's configuration with the published one, with known differences.

use std::sync::Arc;
use sycamore_bench::fleet::workload::{Size, Workload, name, service_name};
use sycamore_bench::history::{Content, compare_content};
use sycamore_core::config::{InForce, Preset, Snapshot};

const SIZE: Size = Size { nodes: 18, services: 3, zones: 6, regions: 3 };

fn published() -> (InForce, Preset) {
    let mut workload = Workload::new(SIZE, 1);
    let publication = workload.publish();
    (publication.in_force, workload.preset().clone())
}

fn snapshot(change: impl FnOnce(&mut Preset)) -> Arc<Snapshot> {
    let (in_force, mut preset) = published();
    change(&mut preset);
    Snapshot::new(in_force, &preset).unwrap()
}

fn mismatch(text: &str) -> Content {
    Content::Mismatch(name(text.to_owned()))
}

#[test]
fn content_complete() {
    let held = snapshot(|_| {});
    assert_eq!(compare_content(&held, &published().1, None), Content::Complete);
}

#[test]
fn content_complete_in_scope() {
    let held = snapshot(|preset| {
        preset.routes.retain(|_, route| route.service == service_name(0));
        preset.services.retain(|service, _| *service == service_name(0));
    });
    assert_eq!(compare_content(&held, &published().1, Some(&[service_name(0)])), Content::Complete);
    assert_eq!(compare_content(&held, &published().1, None), mismatch("lookup-0001"));
}

#[test]
fn content_route_of_another_version() {
    let held = snapshot(|preset| preset.routes[0].deadline_ms += 1);
    assert_eq!(compare_content(&held, &published().1, None), mismatch("lookup-0000"));
}

#[test]
fn content_route_not_published() {
    let held = snapshot(|preset| {
        let mut route = preset.routes[0].clone();
        route.path_prefix = "/other".to_owned();
        preset.routes.insert(name("other".to_owned()), route);
    });
    assert_eq!(compare_content(&held, &published().1, None), mismatch("other"));
}

#[test]
fn content_targets_of_another_version() {
    let held = snapshot(|preset| {
        preset.services[1].targets.pop();
    });
    assert_eq!(compare_content(&held, &published().1, None), mismatch("service-0001"));
}

#[test]
fn content_limits_of_another_version() {
    let held = snapshot(|preset| preset.services[2].limits.slots += 1);
    assert_eq!(compare_content(&held, &published().1, None), mismatch("service-0002"));
}
