//! Resources: the units in which a preset is compared and transferred.
//!
//! The limits and the targets of a service are separate resources, so that changing one does not
//! retransmit the other.

use super::document::{Preset, Route, ServiceLimits, Target};
use crate::hash::Hash;
use crate::{Code, Fault, Name, Result};
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::BTreeMap;

kebab_enum! {
    pub enum ResourceKind {
        /// Limits of a service.
        Service,
        /// Targets of a service.
        Targets,
        Route,
    }
}

json! {
    /// Identifies a resource within a version.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ResourceId {
        pub kind: ResourceKind,
        /// Name of the service or the route.
        pub name: Name,
    }
}

data! {
    /// Canonical JSON body of a resource and its hash.
    pub struct Resource {
        /// Hash of `body`.
        pub hash: Hash,
        /// JSON text of [`ServiceLimits`], a list of [`Target`], or [`Route`].
        pub body: Bytes,
    }

    /// Hashes of all resources of a version, or of those within a scope.
    pub struct Manifest {
        /// Hashes ordered by resource id.
        pub entries: BTreeMap<ResourceId, Hash>,
    }
}

impl ResourceId {
    pub fn new(kind: ResourceKind, name: &Name) -> ResourceId {
        ResourceId { kind, name: name.clone() }
    }
}

impl Resource {
    /// Creates a resource, computing the hash of `body`.
    pub fn new(body: Bytes) -> Resource {
        Resource { hash: Hash::of(&body), body }
    }

    /// Deserializes the body. `T` must be the type that corresponds to the kind of `id`.
    pub fn parse<T: serde::de::DeserializeOwned>(&self, id: &ResourceId) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Fault::new(Code::PeerInvalid).with_location(&id.name).with_detail(e))
    }

    fn from_content<T: serde::Serialize>(content: &T) -> Resource {
        // Serialization cannot fail: the content types contain no maps with non-string keys.
        let body = serde_json::to_vec(content).unwrap_or_default();
        // Shrinks the buffer to its length, because bodies are long-lived.
        Resource::new(Bytes::from(body.into_boxed_slice()))
    }

    pub fn from_limits(limits: &ServiceLimits) -> Resource {
        Resource::from_content(limits)
    }

    pub fn from_targets(targets: &[Target]) -> Resource {
        Resource::from_content(&targets)
    }

    pub fn from_route(route: &Route) -> Resource {
        Resource::from_content(route)
    }
}

impl Manifest {
    /// A digest over all entries. Equal digests imply equal content.
    pub fn digest(&self) -> Hash {
        let mut hasher = blake3::Hasher::new();
        for (id, hash) in &self.entries {
            hasher.update(&[id.kind as u8]);
            hasher.update(id.name.as_bytes());
            hasher.update(&[0]);
            hasher.update(hash.as_bytes());
        }
        Hash::new(*hasher.finalize().as_bytes())
    }
}

/// Splits a validated preset into its resources.
pub fn split_preset(preset: &Preset) -> IndexMap<ResourceId, Resource> {
    let mut resources = IndexMap::new();
    for (name, service) in &preset.services {
        let limits = Resource::from_limits(&service.limits);
        resources.insert(ResourceId::new(ResourceKind::Service, name), limits);
        let targets = Resource::from_targets(&service.targets);
        resources.insert(ResourceId::new(ResourceKind::Targets, name), targets);
    }
    for (name, route) in &preset.routes {
        resources.insert(ResourceId::new(ResourceKind::Route, name), Resource::from_route(route));
    }
    resources
}

pub fn manifest(resources: &IndexMap<ResourceId, Resource>) -> Manifest {
    let entries = resources.iter().map(|(id, resource)| (id.clone(), resource.hash)).collect();
    Manifest { entries }
}
