//! A version as a node holds it in force: checked whole, immutable, shared by pointer.

use super::document::{Preset, Route, Service, ServiceLimits, Share, Target};
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
        /// The services of its split with their weights; empty if there is none.
        pub split: Vec<(ServiceKey, u32)>,
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
        // Longest prefix first; routes of any host under the empty text.
        by_host: IndexMap<String, Vec<RouteKey>>,
    }
}

impl Snapshot {
    /// Builds a snapshot from a preset that has passed [`validate::preset`].
    ///
    /// Fails as a whole if a route names a service that is missing, so that no version is applied
    /// in part.
    pub fn new(in_force: InForce, preset: &Preset) -> Result<Arc<Snapshot>> {
        let mut snapshot = Snapshot {
            in_force,
            services: Vec::new(),
            routes: Vec::new(),
            targets: Vec::new(),
            by_vm: IndexMap::new(),
            by_host: IndexMap::new(),
        };
        for (name, service) in &preset.services {
            snapshot.add_service(name, service);
        }
        for (name, route) in &preset.routes {
            snapshot.add_route(name, route, preset)?;
        }
        // Longest prefix first, so that the first match is the most specific one.
        snapshot.routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
        for (index, entry) in snapshot.routes.iter().enumerate() {
            let host = entry.route.host.clone().unwrap_or_default();
            snapshot.by_host.entry(host).or_default().push(RouteKey(index as u32));
        }
        Ok(Arc::new(snapshot))
    }

    /// Builds a snapshot from resources that came from a peer: puts the preset together again and
    /// checks it as if it had been read from the platform.
    pub fn from_resources(
        in_force: InForce,
        resources: &IndexMap<ResourceId, Resource>,
    ) -> Result<Arc<Snapshot>> {
        let preset = Snapshot::assemble_preset(&in_force.preset, resources)?;
        validate::preset(&preset)?;
        Snapshot::new(in_force, &preset)
    }

    /// The preset that resources were split from.
    pub fn assemble_preset(
        name: &Name,
        resources: &IndexMap<ResourceId, Resource>,
    ) -> Result<Preset> {
        let mut preset = Preset {
            name: name.clone(),
            services: IndexMap::new(),
            routes: IndexMap::new(),
            parts: Vec::new(),
        };
        for (id, resource) in resources {
            match id.kind {
                ResourceKind::Service => {
                    let limits = resource.parse(id)?;
                    service_or_default(&mut preset, &id.name).limits = limits;
                }
                ResourceKind::Targets => {
                    let targets = resource.parse(id)?;
                    service_or_default(&mut preset, &id.name).targets = targets;
                }
                ResourceKind::Route => {
                    preset.routes.insert(id.name.clone(), resource.parse(id)?);
                }
            }
        }
        Ok(preset)
    }

    /// The preset that this snapshot was built from.
    pub fn to_preset(&self) -> Preset {
        let targets = |keys: &[TargetKey]| -> Vec<Target> {
            keys.iter().map(|key| self.target(*key).target.clone()).collect()
        };
        let service = |entry: &ServiceEntry| {
            let targets = targets(&entry.targets);
            (entry.name.clone(), Service { limits: entry.limits.clone(), targets })
        };
        Preset {
            name: self.in_force.preset.clone(),
            services: self.services.iter().map(service).collect(),
            routes: self.routes.iter().map(|e| (e.name.clone(), e.route.clone())).collect(),
            parts: Vec::new(),
        }
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

    fn add_route(&mut self, name: &Name, route: &Route, preset: &Preset) -> Result<()> {
        let find = |service: &Name| match preset.services.get_index_of(service) {
            Some(index) => Ok(ServiceKey(index as u32)),
            None => Err(Fault::new(Code::RouteDangling).with_place(name).with_detail(service)),
        };
        let part = |share: &Share| Ok((find(&share.service)?, share.weight));
        let split = route.split.iter().map(part).collect::<Result<Vec<_>>>()?;
        let service = find(&route.service)?;
        self.routes.push(RouteEntry { name: name.clone(), route: route.clone(), service, split });
        Ok(())
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.in_force.version
    }

    /// The route for a host and a request path, without its query: the longest matching prefix
    /// among the routes of that host, else among those of any host.
    pub fn route_for(&self, host: &str, path: &str) -> Option<RouteKey> {
        let named = (!host.is_empty()).then(|| self.route_of_host(host, path)).flatten();
        named.or_else(|| self.route_of_host("", path))
    }

    fn route_of_host(&self, host: &str, path: &str) -> Option<RouteKey> {
        let routes = self.by_host.get(host)?.iter().copied();
        let mut matching =
            routes.filter(|key| prefix_matches(&self.route(*key).route.path_prefix, path));
        matching.next()
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

    /// The service with this name.
    pub fn service_named(&self, name: &Name) -> Option<ServiceKey> {
        let index = self.services.iter().position(|entry| entry.name == *name)?;
        Some(ServiceKey(index as u32))
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
fn prefix_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}

fn service_or_default<'a>(preset: &'a mut Preset, name: &Name) -> &'a mut Service {
    let empty = || Service { limits: ServiceLimits::default(), targets: Vec::new() };
    preset.services.entry(name.clone()).or_insert_with(empty)
}
