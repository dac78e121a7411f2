//! The resources of one version, as far as a node holds them.

use super::document::Route;
use super::resource::{Manifest, Resource, ResourceId, ResourceKind};
use super::scope::Scope;
use crate::hash::Hash;
use crate::{Code, Fault, Name, Result};
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet};

data! {
    /// A resource and the service that it belongs to.
    pub struct ResourceEntry {
        /// The resource.
        pub resource: Resource,
        /// The service described, or the one that a route leads to.
        pub service: Name,
    }

    /// What a change left behind or brought: enough to tell who needs it.
    pub struct ResourceDigest {
        /// Hash of the content.
        pub hash: Hash,
        /// The service that the resource belonged to.
        pub service: Name,
    }

    /// Resources by id, with the routes of each service at hand.
    #[derive(Default)]
    pub struct ResourceSet {
        entries: BTreeMap<ResourceId, ResourceEntry>,
        routes_of: BTreeMap<Name, BTreeSet<Name>>,
    }
}

impl ResourceSet {
    /// Takes resources, for example those of a preset that was split.
    pub fn new(resources: IndexMap<ResourceId, Resource>) -> Result<ResourceSet> {
        let mut content = ResourceSet::default();
        for (id, resource) in resources {
            content.insert(id, resource)?;
        }
        Ok(content)
    }

    /// Adds or replaces a resource by its body.
    pub fn insert_body(&mut self, id: ResourceId, body: Bytes) -> Result<()> {
        self.insert(id, Resource::new(body))
    }

    fn insert(&mut self, id: ResourceId, resource: Resource) -> Result<()> {
        let service = owning_service(&id, &resource)?;
        self.remove(&id);
        if id.kind == ResourceKind::Route {
            self.routes_of.entry(service.clone()).or_default().insert(id.name.clone());
        }
        self.entries.insert(id, ResourceEntry { resource, service });
        Ok(())
    }

    /// Removes a resource, if it is there.
    pub fn remove(&mut self, id: &ResourceId) {
        let Some(entry) = self.entries.remove(id) else { return };
        if id.kind != ResourceKind::Route {
            return;
        }
        if let Some(routes) = self.routes_of.get_mut(&entry.service) {
            routes.remove(&id.name);
            if routes.is_empty() {
                self.routes_of.remove(&entry.service);
            }
        }
    }

    /// A resource.
    pub fn get(&self, id: &ResourceId) -> Option<&ResourceEntry> {
        self.entries.get(id)
    }

    /// Number of resources held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all bodies held.
    pub fn body_bytes(&self) -> usize {
        self.entries.values().map(|entry| entry.resource.body.len()).sum()
    }

    /// The resources within a scope, in the order of their ids.
    pub fn in_scope(&self, scope: &Scope) -> IndexMap<ResourceId, Resource> {
        let take =
            |(id, entry): (&ResourceId, &ResourceEntry)| (id.clone(), entry.resource.clone());
        match scope {
            Scope::All => self.entries.iter().map(take).collect(),
            Scope::Only(services) => {
                let ids = services.iter().flat_map(|service| self.ids_of(service));
                let mut found: Vec<_> = ids.collect();
                found.sort();
                found.iter().filter_map(|id| self.entries.get_key_value(id)).map(take).collect()
            }
        }
    }

    /// The hashes within a scope.
    pub fn manifest(&self, scope: &Scope) -> Manifest {
        let hash = |id: &ResourceId| Some((id.clone(), self.entries.get(id)?.resource.hash));
        let entries = match scope {
            Scope::All => self.entries.keys().filter_map(hash).collect(),
            Scope::Only(services) => {
                let ids = services.iter().flat_map(|service| self.ids_of(service));
                ids.filter_map(|id| hash(&id)).collect()
            }
        };
        Manifest { entries }
    }

    /// Takes the bodies that are equal from `older`, so that two versions share them.
    pub fn share_bodies(&mut self, older: &ResourceSet) {
        for (id, entry) in &mut self.entries {
            let same = older.get(id).filter(|old| old.resource.hash == entry.resource.hash);
            if let Some(same) = same {
                *entry = same.clone();
            }
        }
    }

    /// Drops what is outside a scope.
    pub fn retain_scope(&mut self, scope: &Scope) {
        self.entries.retain(|_, entry| scope.covers(&entry.service));
        self.routes_of.retain(|service, _| scope.covers(service));
    }

    /// What differs from `older`: by resource, what was there; `None` if nothing was.
    pub fn changes_since(
        &self,
        older: &ResourceSet,
    ) -> BTreeMap<ResourceId, Option<ResourceDigest>> {
        let mut changes = BTreeMap::new();
        for (id, entry) in &self.entries {
            let before = older.get(id).map(ResourceEntry::digest);
            if before.as_ref() != Some(&entry.digest()) {
                changes.insert(id.clone(), before);
            }
        }
        for (id, entry) in &older.entries {
            if !self.entries.contains_key(id) {
                changes.insert(id.clone(), Some(entry.digest()));
            }
        }
        changes
    }

    fn ids_of(&self, service: &Name) -> impl Iterator<Item = ResourceId> + '_ {
        let own = [ResourceKind::Service, ResourceKind::Targets];
        let own = own.map(|kind| ResourceId::new(kind, service));
        let routes = self.routes_of.get(service).into_iter().flatten();
        own.into_iter().chain(routes.map(|name| ResourceId::new(ResourceKind::Route, name)))
    }
}

impl ResourceEntry {
    /// The trace that the resource leaves in the history.
    pub fn digest(&self) -> ResourceDigest {
        ResourceDigest { hash: self.resource.hash, service: self.service.clone() }
    }
}

/// The service that a resource belongs to.
fn owning_service(id: &ResourceId, resource: &Resource) -> Result<Name> {
    match id.kind {
        ResourceKind::Service | ResourceKind::Targets => Ok(id.name.clone()),
        ResourceKind::Route => {
            let route: Route = serde_json::from_slice(&resource.body)
                .map_err(|e| Fault::new(Code::PeerInvalid).with_place(&id.name).with_detail(e))?;
            Ok(route.service)
        }
    }
}
