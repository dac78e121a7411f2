//! Compares two presets by service and route.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use serde_json::Value;
use sycamore_core::Name;
use sycamore_core::call::note::HomeList;
use sycamore_core::config::document::{Preset, Route, Service, Target};
use sycamore_core::config::resource;

/// Number of sample keys used to estimate how many keys change their home target.
const SAMPLE_KEYS: u32 = 4_096;

/// Kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Present only in the new preset.
    Added,
    /// Present only in the old preset.
    Removed,
    /// Present in both presets with different content.
    Changed,
}

/// Differences between two presets. Unchanged items are omitted.
#[derive(Debug, Serialize)]
pub struct Difference {
    /// Changed services.
    pub services: Vec<ServiceChange>,
    /// Changed routes.
    pub routes: Vec<RouteChange>,
    /// Resources that nodes fetch and drop.
    pub resources: ResourceChange,
}

/// Change of a service.
#[derive(Debug, Serialize)]
pub struct ServiceChange {
    pub name: Name,
    /// Kind of change.
    pub change: Change,
    /// Limits whose values differ.
    pub limits: Vec<FieldChange>,
    /// Targets present only in the new preset.
    pub targets_added: Vec<Target>,
    /// Targets present only in the old preset.
    pub targets_removed: Vec<Target>,
    /// Targets on the same VM whose location or address differs.
    pub targets_moved: Vec<TargetMove>,
    /// Percentage of idempotency keys whose home target changes, estimated from a sample.
    pub moved_keys_percent: f64,
}

/// A target that stays on its VM but whose location or address changes.
#[derive(Debug, Serialize)]
pub struct TargetMove {
    pub vm: Name,
    /// Fields whose values differ.
    pub fields: Vec<FieldChange>,
}

/// Change of a route.
#[derive(Debug, Serialize)]
pub struct RouteChange {
    pub name: Name,
    /// Kind of change.
    pub change: Change,
    /// Fields whose values differ.
    pub fields: Vec<FieldChange>,
}

/// Change of a field.
#[derive(Debug, Serialize)]
pub struct FieldChange {
    /// JSON name of the field.
    pub field: String,
    /// Value in the old preset; null if absent.
    pub before: Value,
    /// Value in the new preset; null if absent.
    pub after: Value,
}

/// Resources that a node fetches and drops if its scope covers the whole configuration.
#[derive(Debug, Serialize)]
pub struct ResourceChange {
    /// Number of resources to fetch.
    pub fetched: usize,
    /// Uncompressed size of the resources to fetch.
    pub fetched_bytes: usize,
    /// Number of resources to drop.
    pub dropped: usize,
    /// Number of resources in the new preset.
    pub total: usize,
}

impl Difference {
    /// Compares two presets.
    pub fn new(before: &Preset, after: &Preset) -> Difference {
        Difference {
            services: union_of_names(&before.services, &after.services)
                .filter_map(|name| {
                    service(name, before.services.get(name), after.services.get(name))
                })
                .collect(),
            routes: union_of_names(&before.routes, &after.routes)
                .filter_map(|name| route(name, before.routes.get(name), after.routes.get(name)))
                .collect(),
            resources: resources(before, after),
        }
    }

    /// Whether the presets have the same services and routes.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.routes.is_empty()
    }
}

/// The names in either map, starting with those in `before`.
fn union_of_names<'a, T>(
    before: &'a IndexMap<Name, T>,
    after: &'a IndexMap<Name, T>,
) -> impl Iterator<Item = &'a Name> {
    before.keys().chain(after.keys()).collect::<IndexSet<_>>().into_iter()
}

fn change_kind<T: PartialEq>(before: Option<&T>, after: Option<&T>) -> Option<Change> {
    match (before, after) {
        (None, Some(_)) => Some(Change::Added),
        (Some(_), None) => Some(Change::Removed),
        (before, after) if before != after => Some(Change::Changed),
        _ => None,
    }
}

fn service(
    name: &Name,
    before: Option<&Service>,
    after: Option<&Service>,
) -> Option<ServiceChange> {
    let change = change_kind(before, after)?;
    let old = before.map_or(&[][..], |service| &service.targets);
    let new = after.map_or(&[][..], |service| &service.targets);
    Some(ServiceChange {
        name: name.clone(),
        change,
        limits: changed_fields(before.map(|s| &s.limits), after.map(|s| &s.limits)),
        targets_added: targets_missing_from(new, old),
        targets_removed: targets_missing_from(old, new),
        targets_moved: moved_targets(old, new),
        moved_keys_percent: moved_keys_percent(old, new),
    })
}

fn route(name: &Name, before: Option<&Route>, after: Option<&Route>) -> Option<RouteChange> {
    let change = change_kind(before, after)?;
    Some(RouteChange { name: name.clone(), change, fields: changed_fields(before, after) })
}

/// The elements of `targets` on VMs that host no target of `reference`.
fn targets_missing_from(targets: &[Target], reference: &[Target]) -> Vec<Target> {
    let known: IndexSet<_> = reference.iter().map(|target| &target.vm).collect();
    targets.iter().filter(|target| !known.contains(&target.vm)).cloned().collect()
}

fn moved_targets(before: &[Target], after: &[Target]) -> Vec<TargetMove> {
    let old: IndexMap<_, _> = before.iter().map(|target| (&target.vm, target)).collect();
    let pairs = after.iter().filter_map(|new| Some((*old.get(&new.vm)?, new)));
    pairs
        .filter(|(old, new)| old != new)
        .map(|(old, new)| TargetMove {
            vm: new.vm.clone(),
            fields: changed_fields(Some(old), Some(new)),
        })
        .collect()
}

/// Compares the top-level fields of the JSON representations.
fn changed_fields<T: Serialize>(before: Option<&T>, after: Option<&T>) -> Vec<FieldChange> {
    let before = json_object(before);
    let after = json_object(after);
    let names: IndexSet<_> = before.keys().chain(after.keys()).cloned().collect();
    names
        .into_iter()
        .map(|field| FieldChange {
            before: before.get(&field).cloned().unwrap_or_default(),
            after: after.get(&field).cloned().unwrap_or_default(),
            field,
        })
        .filter(|change| change.before != change.after)
        .collect()
}

fn json_object<T: Serialize>(content: Option<&T>) -> serde_json::Map<String, Value> {
    match serde_json::to_value(content) {
        Ok(Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    }
}

/// Percentage of sample keys whose home target differs; zero if either side has no targets.
fn moved_keys_percent(before: &[Target], after: &[Target]) -> f64 {
    if before.is_empty() || after.is_empty() {
        return 0.0;
    }
    let home_differs = |key: &u32| home(before, *key) != home(after, *key);
    let moved = (0..SAMPLE_KEYS).filter(home_differs).count();
    100.0 * moved as f64 / f64::from(SAMPLE_KEYS)
}

/// The home target of a sample key, chosen as nodes do.
fn home(targets: &[Target], key: u32) -> Option<&Name> {
    HomeList::choose(&key.to_le_bytes(), targets.iter().map(|target| &target.vm))
}

fn resources(before: &Preset, after: &Preset) -> ResourceChange {
    let old = resource::split_preset(before);
    let new = resource::split_preset(after);
    let fetched: Vec<_> =
        new.iter().filter(|(id, resource)| old.get(*id) != Some(resource)).collect();
    ResourceChange {
        fetched: fetched.len(),
        fetched_bytes: fetched.iter().map(|(_, resource)| resource.body.len()).sum(),
        dropped: old.keys().filter(|id| !new.contains_key(*id)).count(),
        total: new.len(),
    }
}
