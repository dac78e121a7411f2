//! Resources: the parts of a preset that are sent and compared on their own.
//!
//! The limits of a service and its targets are two resources, so that a change of targets does
//! not send the limits again, and the other way round.

use super::document::{Preset, Route, ServiceLimits, Target};
use crate::hash::Hash;
use crate::{Code, Fault, Name, Result};
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::BTreeMap;

kebab_enum! {
    /// Kind of a resource.
    pub enum ResourceKind {
        /// Limits of a service.
        Service,
        /// Targets of a service.
        Targets,
        /// A route.
        Route,
    }
}

json! {
    /// Names a resource within a version.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ResourceId {
        /// Kind of the resource.
        pub kind: ResourceKind,
        /// Name of the service or the route.
        pub name: Name,
    }
}

data! {
    /// The content of a resource: canonical JSON and the hash of it.
    pub struct Resource {
        /// Hash of `body`.
        pub hash: Hash,
        /// JSON text of [`ServiceLimits`], a list of [`Target`], or [`Route`].
        pub body: Bytes,
    }

    /// What one version consists of: the hash of every resource, or of those in a scope.
    pub struct Manifest {
        /// Hashes by resource, in the order of their ids.
        pub entries: BTreeMap<ResourceId, Hash>,
    }
}

impl ResourceId {
    /// Names a resource.
    pub fn new(kind: ResourceKind, name: &Name) -> ResourceId {
        ResourceId { kind, name: name.clone() }
    }
}

impl Resource {
    /// Takes a body and hashes it.
    pub fn new(body: Bytes) -> Resource {
        Resource { hash: Hash::of(&body), body }
    }

    /// The content, of the type that the kind of `id` says.
    pub fn parse<T: serde::de::DeserializeOwned>(&self, id: &ResourceId) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Fault::new(Code::PeerInvalid).with_place(&id.name).with_detail(e))
    }

    fn from_content<T: serde::Serialize>(content: &T) -> Resource {
        // The types given here hold no map with keys that are not text, so that writing them as
        // JSON can't fail.
        let body = serde_json::to_vec(content).unwrap_or_default();
        // Without the room that the writer left at its end: bodies are kept for long.
        Resource::new(Bytes::from(body.into_boxed_slice()))
    }

    /// The resource for the limits of a service.
    pub fn from_limits(limits: &ServiceLimits) -> Resource {
        Resource::from_content(limits)
    }

    /// The resource for the targets of a service.
    pub fn from_targets(targets: &[Target]) -> Resource {
        Resource::from_content(&targets)
    }

    /// The resource for a route.
    pub fn from_route(route: &Route) -> Resource {
        Resource::from_content(route)
    }
}

impl Manifest {
    /// One digest over all entries: equal digests mean equal content.
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

/// Splits a checked preset into its resources.
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

/// The manifest of a set of resources.
pub fn manifest(resources: &IndexMap<ResourceId, Resource>) -> Manifest {
    let entries = resources.iter().map(|(id, resource)| (id.clone(), resource.hash)).collect();
    Manifest { entries }
}
