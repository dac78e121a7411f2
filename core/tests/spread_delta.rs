//! Deltas between versions, checked against a model that copies the full scope.

use bytes::Bytes;
use indexmap::IndexMap;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use sycamore_core::Name;
use sycamore_core::config::resource_set::ResourceSet;
use sycamore_core::config::{InForce, Resource, ResourceId, ResourceKind, Scope};
use sycamore_core::hash::Hash;
use sycamore_core::spread::Summary;
use sycamore_core::spread::store::{self, Store};

const SERVICES: u8 = 5;

fn name(text: String) -> Name {
    Name::new(text).unwrap()
}

/// One version: the content of each existing service, and the service of each route.
#[derive(Clone, Debug)]
struct Version {
    services: BTreeMap<u8, (u8, u8)>,
    routes: BTreeMap<u8, u8>,
}

fn version() -> impl Strategy<Value = Version> {
    let service = (0..SERVICES, (0..3u8, 0..3u8));
    let route = (0..8u8, 0..SERVICES);
    (
        prop::collection::btree_map(service.0, service.1, 0..5),
        prop::collection::btree_map(route.0, route.1, 0..6),
    )
        .prop_map(|(services, routes)| Version { services, routes })
}

fn scope() -> impl Strategy<Value = Scope> {
    prop_oneof![
        1 => Just(Scope::All),
        4 => prop::collection::btree_set(0..SERVICES, 0..4)
            .prop_map(|services| Scope::Only(services.into_iter().map(service_name).collect())),
    ]
}

fn service_name(service: u8) -> Name {
    name(format!("s{service}"))
}

fn resources(version: &Version) -> IndexMap<ResourceId, Resource> {
    let mut resources = IndexMap::new();
    let mut add = |kind, name: &Name, text: String| {
        resources.insert(ResourceId::new(kind, name), Resource::new(Bytes::from(text)));
    };
    for (service, (limits, targets)) in &version.services {
        add(ResourceKind::Service, &service_name(*service), format!("limits {limits}"));
        add(ResourceKind::Targets, &service_name(*service), format!("targets {targets}"));
    }
    for (route, service) in &version.routes {
        let text =
            format!(r#"{{"path_prefix":"/{route}","service":"s{service}","idempotent":true}}"#);
        add(ResourceKind::Route, &name(format!("r{route}")), text);
    }
    resources
}

/// All resources of the version that belong to a service in scope.
fn expected_resources(version: &Version, scope: &Scope) -> BTreeMap<ResourceId, Hash> {
    let belongs = |id: &ResourceId| match id.kind {
        ResourceKind::Service | ResourceKind::Targets => scope.covers(&id.name),
        ResourceKind::Route => {
            let route: u8 = id.name.as_str()[1..].parse().unwrap();
            scope.covers(&service_name(version.routes[&route]))
        }
    };
    let all = resources(version);
    all.iter().filter(|(id, _)| belongs(id)).map(|(id, r)| (id.clone(), r.hash)).collect()
}

fn summary(number: u64) -> Summary {
    let in_force = InForce {
        version: number,
        preset: name("p".into()),
        digest: Hash::of(&number.to_le_bytes()),
    };
    Summary { in_force, manifest_digest: Hash::of(b""), store_age_ms: None, store_revision: 0 }
}

fn held(content: &ResourceSet) -> BTreeMap<ResourceId, Hash> {
    content.manifest(&Scope::All).entries
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    #[test]
    fn delta_against_whole(
        versions in prop::collection::vec(version(), 1..8),
        scope in scope(),
        skips in prop::collection::vec(any::<bool>(), 8),
    ) {
        // The relay takes every version; a child with a smaller scope skips some.
        let mut relay: Option<Store> = None;
        let mut child: Option<Store> = None;
        for (index, version) in versions.iter().enumerate() {
            let number = index as u64 + 1;
            let content = ResourceSet::new(resources(version)).unwrap();
            relay = Some(Store::new(summary(number), Scope::All, content).with_history_of(relay.take()));
            if skips[index] {
                continue;
            }
            let base = child.as_ref().map(Store::base);
            let delta = relay.as_mut().unwrap().delta(base.as_ref(), &scope).unwrap();
            let content = store::apply(&delta, child.as_ref(), &scope).unwrap();
            prop_assert_eq!(held(&content), expected_resources(version, &scope));
            if let Some(before) = base.as_ref().filter(|_| delta.base.is_some()) {
                // Resources that the child already holds are not sent again.
                let before = expected_resources(&versions[before.version as usize - 1], &scope);
                for (id, body) in &delta.changed {
                    prop_assert_ne!(before.get(id), Some(&Hash::of(body)));
                }
            }
            child = Some(Store::new(summary(number), scope.clone(), content).with_history_of(child.take()));
        }
    }

    #[test]
    fn delta_with_any_fault_is_refused(
        first in version(),
        second in version(),
        fault in 0..4u8,
        pick in any::<prop::sample::Index>(),
    ) {
        let mut relay = Store::new(summary(1), Scope::All, ResourceSet::new(resources(&first)).unwrap());
        let child = Store::new(summary(1), Scope::All, ResourceSet::new(resources(&first)).unwrap());
        relay = Store::new(summary(2), Scope::All, ResourceSet::new(resources(&second)).unwrap())
            .with_history_of(Some(relay));
        let mut delta =
            relay.delta(Some(&child.base()), &Scope::All).unwrap().as_ref().clone();
        let changed = delta.changed.len();
        match fault {
            0 if changed > 0 => {
                delta.changed.remove(pick.index(changed));
            }
            1 if !delta.removed.is_empty() => {
                delta.removed.remove(pick.index(delta.removed.len()));
            }
            2 if changed > 0 => {
                let (_, body) = &mut delta.changed[pick.index(changed)];
                let mut text = body.to_vec();
                text.insert(0, b' ');
                *body = text.into();
            }
            3 => delta.digest = Hash::of(b"other"),
            _ => return Ok(()),
        }
        prop_assert!(store::apply(&delta, Some(&child), &Scope::All).is_err());
    }
}

#[test]
fn delta_of_endpoint_churn() {
    // Replacing one target must send only the targets of that service. Otherwise traffic grows with
    // the size of the configuration instead of the change.
    let version = |targets| Version {
        services: (0..SERVICES).map(|s| (s, (1, if s == 2 { targets } else { 0 }))).collect(),
        routes: (0..8).map(|route| (route, route % SERVICES)).collect(),
    };
    let content = |targets| ResourceSet::new(resources(&version(targets))).unwrap();
    let old = Store::new(summary(1), Scope::All, content(1));
    let base = old.base();
    let mut new = Store::new(summary(2), Scope::All, content(2)).with_history_of(Some(old));
    let delta = new.delta(Some(&base), &Scope::All).unwrap();
    let sent: Vec<&ResourceId> = delta.changed.iter().map(|(id, _)| id).collect();
    assert_eq!(sent, [&ResourceId::new(ResourceKind::Targets, &service_name(2))]);
    assert!(delta.removed.is_empty());
    let elsewhere = Scope::Only(BTreeSet::from([service_name(1)]));
    let digest = content(1).manifest(&elsewhere).digest();
    let base = sycamore_core::spread::message::Base { version: 1, digest };
    let delta = new.delta(Some(&base), &elsewhere).unwrap();
    assert!(delta.changed.is_empty(), "a scope without changes must get an empty delta");
}

#[test]
fn delta_from_base_under_one_number() {
    // After a conflict, the child's version 1 differs from the relay's. A delta from the relay's
    // version 1 would leave the child with mixed content.
    let version = |limits| Version {
        services: (0..SERVICES).map(|s| (s, (limits, 0))).collect(),
        routes: BTreeMap::new(),
    };
    let content = |limits| ResourceSet::new(resources(&version(limits))).unwrap();
    let child = Store::new(summary(1), Scope::All, content(7));
    let relay = Store::new(summary(1), Scope::All, content(1));
    let mut relay = Store::new(summary(2), Scope::All, content(1)).with_history_of(Some(relay));
    let delta = relay.delta(Some(&child.base()), &Scope::All).unwrap();
    assert_eq!(delta.base, None, "the full scope must be sent");
    let content = store::apply(&delta, Some(&child), &Scope::All).unwrap();
    assert_eq!(held(&content), expected_resources(&version(1), &Scope::All));
}
