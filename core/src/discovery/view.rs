//! Version and targets of a node, and deltas between two such views.
//!
//! A version is identified by its number, so the digest of a view covers only the number and the
//! targets. Targets are transferred per service, routes and limits individually.

use super::port::Publication;
use super::registry::ServiceTarget;
use crate::config::resource::{Resource, ResourceId, ResourceKind};
use crate::config::{InForce, Preset, Service, Target, validate};
use crate::hash::Hash;
use crate::spread::message::{Base, Delta, StoreMark, Summary};
use crate::{Code, Fault, Name, Result};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A version together with the known targets.
#[derive(Clone, Debug)]
pub struct View {
    pub published: Arc<Publication>,
    /// Targets of each service, sorted by VM.
    pub targets: BTreeMap<Name, Vec<Target>>,
    /// Equal for views with the same version and the same targets.
    pub digest: Hash,
}

impl View {
    /// View of a node that knows neither a version nor targets.
    pub fn unpublished() -> View {
        View::with_targets(Arc::new(Publication::none()), BTreeMap::new())
    }

    pub fn new(published: Arc<Publication>, listed: &[ServiceTarget]) -> View {
        let mut targets: BTreeMap<Name, Vec<Target>> = BTreeMap::new();
        for entry in listed {
            targets.entry(entry.service.clone()).or_default().push(entry.target.clone());
        }
        View::with_targets(published, targets)
    }

    fn with_targets(published: Arc<Publication>, mut targets: BTreeMap<Name, Vec<Target>>) -> View {
        targets.retain(|_, listed| !listed.is_empty());
        for listed in targets.values_mut() {
            listed.sort_by(|a, b| a.vm.cmp(&b.vm));
        }
        let mut text = published.version.to_be_bytes().to_vec();
        for (service, listed) in &targets {
            text.extend_from_slice(service.as_bytes());
            text.extend_from_slice(Resource::from_targets(listed).hash.as_bytes());
        }
        View { published, targets, digest: Hash::of(&text) }
    }

    /// Whether an older view has a target that accepts requests, and that by this view is leaving or
    /// has been removed since.
    pub fn is_reverted_by(&self, older: &View) -> bool {
        let stays = |service: &Name, target: &Target| {
            let listed = self.targets.get(service).map_or(&[][..], Vec::as_slice);
            let known = listed.binary_search_by(|known| known.vm.cmp(&target.vm));
            known.is_ok_and(|index| !listed[index].leaving)
        };
        let targets = older.targets.iter();
        let mut accepting = targets.flat_map(|(service, listed)| {
            listed.iter().filter(|target| !target.leaving).map(move |target| (service, target))
        });
        accepting.any(|(service, target)| !stays(service, target))
    }

    /// Summary of this view.
    pub fn summary(&self, mark: StoreMark) -> Summary {
        let preset: Name = self.published.preset.name.clone();
        let in_force = InForce { version: self.published.version, preset, digest: Hash::of(b"") };
        let manifest_digest = self.digest;
        let mut summary =
            Summary { in_force, manifest_digest, store_age_ms: None, store_revision: 0 };
        summary.set_store_mark(mark);
        summary
    }

    /// Returns the view that results from a delta. Fails if the delta has another base version, or
    /// if the result does not match the sender's digest.
    pub fn apply_delta(&self, delta: &Delta) -> Result<View> {
        let base = delta.base.as_ref().map(|base| base.version);
        if base != Some(self.published.version) {
            return Err(Fault::new(Code::PeerHashMismatch));
        }
        let mut targets = self.targets.clone();
        let mut preset = None;
        for (id, body) in &delta.changed {
            if id.kind == ResourceKind::Targets {
                targets.insert(id.name.clone(), Resource::new(body.clone()).parse(id)?);
                continue;
            }
            let preset: &mut Preset = preset.get_or_insert_with(|| self.published.preset.clone());
            apply_resource(preset, id, body)?;
        }
        for id in &delta.removed {
            let preset = preset.get_or_insert_with(|| self.published.preset.clone());
            match id.kind {
                ResourceKind::Route => preset.routes.shift_remove(&id.name).map(|_| ()),
                ResourceKind::Service => preset.services.shift_remove(&id.name).map(|_| ()),
                ResourceKind::Targets => targets.remove(&id.name).map(|_| ()),
            };
        }
        let version = delta.summary.in_force.version;
        let published = match preset {
            None if version == self.published.version => self.published.clone(),
            preset => {
                let preset = preset.unwrap_or_else(|| self.published.preset.clone());
                validate::preset_without_targets(&preset)?;
                Arc::new(Publication { version, preset })
            }
        };
        let view = View::with_targets(published, targets);
        match view.digest == delta.digest {
            true => Ok(view),
            false => Err(Fault::new(Code::PeerHashMismatch)),
        }
    }
}

/// Returns the delta from `base` to `view`. `base_version` and `base_view` are the version and the
/// view that `base` refers to, where known. Returns `None` if the versions differ and the base
/// version is unknown, or if the changed resources exceed `max_size` bytes.
pub fn delta_between(
    view: &View,
    base: &Base,
    base_version: Option<&Publication>,
    base_view: Option<&View>,
    max_size: usize,
    mark: StoreMark,
) -> Option<Delta> {
    let mut changed: Vec<(ResourceId, Bytes)> = Vec::new();
    let mut removed: Vec<ResourceId> = Vec::new();
    if base.version != view.published.version {
        diff_presets(&base_version?.preset, &view.published.preset, &mut changed, &mut removed);
    }
    let none = BTreeMap::new();
    let before = base_view.map_or(&none, |base_view| &base_view.targets);
    for (service, listed) in &view.targets {
        if before.get(service) != Some(listed) {
            let id = ResourceId::new(ResourceKind::Targets, service);
            changed.push((id, Resource::from_targets(listed).body));
        }
    }
    // If the targets of the base are unknown, any of its services may have some.
    let services = view.published.preset.services.keys().chain(before.keys());
    for service in services.filter(|service| !view.targets.contains_key(*service)) {
        removed.push(ResourceId::new(ResourceKind::Targets, service));
    }
    let size: usize = changed.iter().map(|(_, body)| body.len()).sum();
    (size <= max_size).then(|| Delta {
        summary: view.summary(mark),
        base: Some(base.clone()),
        changed,
        removed,
        digest: view.digest,
    })
}

fn diff_presets(
    before: &Preset,
    after: &Preset,
    changed: &mut Vec<(ResourceId, Bytes)>,
    removed: &mut Vec<ResourceId>,
) {
    for (name, service) in &after.services {
        let same = |old: &Service| old.limits == service.limits;
        if !before.services.get(name).is_some_and(same) {
            let id = ResourceId::new(ResourceKind::Service, name);
            changed.push((id, Resource::from_limits(&service.limits).body));
        }
    }
    for (name, route) in &after.routes {
        if before.routes.get(name) != Some(route) {
            let id = ResourceId::new(ResourceKind::Route, name);
            changed.push((id, Resource::from_route(route).body));
        }
    }
    let services = before.services.keys().filter(|name| !after.services.contains_key(*name));
    removed.extend(services.map(|name| ResourceId::new(ResourceKind::Service, name)));
    let routes = before.routes.keys().filter(|name| !after.routes.contains_key(*name));
    removed.extend(routes.map(|name| ResourceId::new(ResourceKind::Route, name)));
}

fn apply_resource(preset: &mut Preset, id: &ResourceId, body: &Bytes) -> Result<()> {
    let resource = Resource::new(body.clone());
    match id.kind {
        ResourceKind::Route => {
            preset.routes.insert(id.name.clone(), resource.parse(id)?);
        }
        ResourceKind::Service => {
            let service = Service { limits: resource.parse(id)?, targets: Vec::new() };
            preset.services.insert(id.name.clone(), service);
        }
        ResourceKind::Targets => {}
    }
    Ok(())
}
