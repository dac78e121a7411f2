//! A version as a node holds it in force: checked whole, immutable, shared by pointer.

use super::document::{Preset, Route, Service, ServiceLimits, Target};
use super::in_force::InForce;
use super::resource::{Resource, ResourceId, ResourceKind};
use super::validate;
use crate::{Code, Fault, Name, Result};
use indexmap::IndexMap;
use std::sync::Arc;

key! {
    /// Index of a service in one [`Snapshot`].
    pub struct ServiceKey(pub u32);
    /// Index of a route in one [`Snapshot`].
    pub struct RouteKey(pub u32);
    /// Index of a target in one [`Snapshot`], over all services.
    pub struct TargetKey(pub u32);
}

data! {
    /// A service in a snapshot.
    pub struct ServiceEntry {
        /// Name of the service.
        pub name: Name,
        /// Limits of each of its targets.
        pub limits: ServiceLimits,
        /// Its targets, in the order of the document.
        pub targets: Vec<TargetKey>,
    }

    /// A route in a snapshot.
    pub struct RouteEntry {
        /// Name of the route.
        pub name: Name,
        /// The route as published.
        pub route: Route,
        /// The service that answers; always in the same snapshot.
        pub service: ServiceKey,
    }

    /// A target in a snapshot.
    pub struct TargetEntry {
        /// The target as published.
        pub target: Target,
        /// The service that it runs.
        pub service: ServiceKey,
    }

    /// One version of the configuration, whole and closed: every route's service is in it.
    pub struct Snapshot {
        /// Version, preset and digest of the preset's body.
        pub in_force: InForce,
        services: Vec<ServiceEntry>,
        routes: Vec<RouteEntry>,
        targets: Vec<TargetEntry>,
        by_vm: IndexMap<Name, TargetKey>,
    }
}

impl Snapshot {
    /// Builds a snapshot from a preset that has passed [`validate::preset`].
    ///
    /// Guards against a version applied in part: a route whose service is missing makes the whole
    /// version fail, so that a node never holds a route which points at nothing.
    pub fn new(in_force: InForce, preset: &Preset) -> Result<Arc<Snapshot>> {
        let mut snapshot = Snapshot {
            in_force,
            services: Vec::new(),
            routes: Vec::new(),
            targets: Vec::new(),
            by_vm: IndexMap::new(),
        };
        for (name, service) in &preset.services {
            snapshot.add_service(name, service);
        }
        for (name, route) in &preset.routes {
            let Some(index) = preset.services.get_index_of(&route.service) else {
                let fault = Fault::new(Code::RouteDangling);
                return Err(fault.with_place(name).with_detail(&route.service));
            };
            let service = ServiceKey(index as u32);
            snapshot.routes.push(RouteEntry { name: name.clone(), route: route.clone(), service });
        }
        // Longest prefix first, so that the first match is the most specific one.
        snapshot.routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
        Ok(Arc::new(snapshot))
    }

    /// Builds a snapshot from resources that came from a peer: puts the preset together again and
    /// checks it as if it had been read from the platform.
    pub fn from_resources(
        in_force: InForce,
        resources: &IndexMap<ResourceId, Resource>,
    ) -> Result<Arc<Snapshot>> {
        let preset = join(&in_force.preset, resources)?;
        validate::preset(&preset)?;
        Snapshot::new(in_force, &preset)
    }

    fn add_service(&mut self, name: &Name, service: &Service) {
        let key = ServiceKey(self.services.len() as u32);
        let mut targets = Vec::with_capacity(service.targets.len());
        for target in &service.targets {
            let target_key = TargetKey(self.targets.len() as u32);
            self.by_vm.insert(target.vm.clone(), target_key);
            self.targets.push(TargetEntry { target: target.clone(), service: key });
            targets.push(target_key);
        }
        let entry = ServiceEntry { name: name.clone(), limits: service.limits.clone(), targets };
        self.services.push(entry);
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.in_force.version
    }

    /// The route for a request path, without its query: the longest matching prefix.
    pub fn route_for(&self, path: &str) -> Option<RouteKey> {
        let index = self.routes.iter().position(|entry| matches(&entry.route.path_prefix, path))?;
        Some(RouteKey(index as u32))
    }

    /// A route of this snapshot.
    pub fn route(&self, key: RouteKey) -> &RouteEntry {
        &self.routes[key.0 as usize]
    }

    /// A service of this snapshot.
    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.0 as usize]
    }

    /// A target of this snapshot.
    pub fn target(&self, key: TargetKey) -> &TargetEntry {
        &self.targets[key.0 as usize]
    }

    /// The target on a VM.
    pub fn target_on(&self, vm: &Name) -> Option<TargetKey> {
        self.by_vm.get(vm).copied()
    }

    /// All services.
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// All routes, longest prefix first.
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }

    /// All targets.
    pub fn targets(&self) -> &[TargetEntry] {
        &self.targets
    }
}

/// Whether `path` starts with `prefix` at a `/` boundary.
fn matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}

fn join(name: &Name, resources: &IndexMap<ResourceId, Resource>) -> Result<Preset> {
    let mut preset = Preset {
        name: name.clone(),
        services: IndexMap::new(),
        routes: IndexMap::new(),
        parts: Vec::new(),
    };
    for (id, resource) in resources {
        match id.kind {
            ResourceKind::Service => {
                let limits = parse(id, resource)?;
                service_of(&mut preset, &id.name).limits = limits;
            }
            ResourceKind::Targets => {
                let targets = parse(id, resource)?;
                service_of(&mut preset, &id.name).targets = targets;
            }
            ResourceKind::Route => {
                preset.routes.insert(id.name.clone(), parse(id, resource)?);
            }
        }
    }
    Ok(preset)
}

fn service_of<'a>(preset: &'a mut Preset, name: &Name) -> &'a mut Service {
    let empty = || Service { limits: ServiceLimits::default(), targets: Vec::new() };
    preset.services.entry(name.clone()).or_insert_with(empty)
}

fn parse<T: serde::de::DeserializeOwned>(id: &ResourceId, resource: &Resource) -> Result<T> {
    serde_json::from_slice(&resource.body)
        .map_err(|e| Fault::new(Code::PeerInvalid).with_place(&id.name).with_detail(e))
}
