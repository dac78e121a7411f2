//! The resources of one version that a node holds.

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
        pub resource: Resource,
        /// The service described by the resource, or the service that a route points to.
        pub service: Name,
    }

    /// Hash and service of a resource, without its body. Sufficient to compute which resources
    /// changed and which scopes are affected.
    pub struct ResourceDigest {
        /// Hash of the resource body.
        pub hash: Hash,
        pub service: Name,
    }

    /// Resources by id, with an index of the routes of each service.
    #[derive(Default)]
    pub struct ResourceSet {
        entries: BTreeMap<ResourceId, ResourceEntry>,
        routes_of: BTreeMap<Name, BTreeSet<Name>>,
    }
}

impl ResourceSet {
    /// Creates a set from resources, for example those of a split preset.
    pub fn new(resources: IndexMap<ResourceId, Resource>) -> Result<ResourceSet> {
        let mut content = ResourceSet::default();
        for (id, resource) in resources {
            content.insert(id, resource)?;
        }
        Ok(content)
    }

    /// Hashes `body` and inserts it as a resource, replacing any resource with the same id.
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

    /// Removes a resource, if present.
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

    pub fn get(&self, id: &ResourceId) -> Option<&ResourceEntry> {
        self.entries.get(id)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of all bodies in bytes.
    pub fn body_bytes(&self) -> usize {
        self.entries.values().map(|entry| entry.resource.body.len()).sum()
    }

    /// The resources within a scope, ordered by id.
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

    /// The manifest of the resources within a scope.
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

    /// Replaces bodies that are identical in `older` by references to them, so that both versions
    /// share memory.
    pub fn share_bodies(&mut self, older: &ResourceSet) {
        for (id, entry) in &mut self.entries {
            let same = older.get(id).filter(|old| old.resource.hash == entry.resource.hash);
            if let Some(same) = same {
                *entry = same.clone();
            }
        }
    }

    /// Removes all resources outside a scope.
    pub fn retain_scope(&mut self, scope: &Scope) {
        self.entries.retain(|_, entry| scope.covers(&entry.service));
        self.routes_of.retain(|service, _| scope.covers(service));
    }

    /// Resources that differ from `older`, with their digest in `older`, or `None` if they did not
    /// exist there.
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
    pub fn digest(&self) -> ResourceDigest {
        ResourceDigest { hash: self.resource.hash, service: self.service.clone() }
    }
}

fn owning_service(id: &ResourceId, resource: &Resource) -> Result<Name> {
    match id.kind {
        ResourceKind::Service | ResourceKind::Targets => Ok(id.name.clone()),
        ResourceKind::Route => {
            let route: Route = serde_json::from_slice(&resource.body).map_err(|e| {
                Fault::new(Code::PeerInvalid).with_location(&id.name).with_detail(e)
            })?;
            Ok(route.service)
        }
    }
}
