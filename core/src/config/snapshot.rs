//! Immutable, validated configuration snapshots.

use super::document::{Preset, Route, Service, ServiceLimits, Target, WeightedService};
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
        pub name: Name,
        /// Limits applied to each target.
        pub limits: ServiceLimits,
        /// Targets in document order.
        pub targets: Vec<TargetKey>,
    }

    /// A route in a snapshot.
    pub struct RouteEntry {
        pub name: Name,
        /// The route as published.
        pub route: Route,
        /// The service that handles the requests; always part of the same snapshot. Of a split, one
        /// that gets requests.
        pub service: ServiceKey,
        /// Services of the traffic split that get requests, and their weights; empty if there is no
        /// split, or if the route is closed.
        pub split: Vec<(ServiceKey, u32)>,
    }

    /// A target in a snapshot.
    pub struct TargetEntry {
        /// The target as published.
        pub target: Target,
        pub service: ServiceKey,
    }

    /// One complete configuration version. Every service referenced by a route is included.
    pub struct Snapshot {
        /// Version, preset and digest of the preset's body.
        pub in_force: InForce,
        services: Vec<ServiceEntry>,
        routes: Vec<RouteEntry>,
        targets: Vec<TargetEntry>,
        by_vm: IndexMap<Name, TargetKey>,
        // Whether any route is bound to regions.
        has_bound_routes: bool,
        // Longest prefix first. Routes that match any host are stored under the empty string.
        by_host: IndexMap<String, Vec<RouteKey>>,
    }
}

impl RouteEntry {
    pub fn is_closed(&self) -> bool {
        self.route.is_closed()
    }
}

impl Snapshot {
    /// Builds a snapshot from a preset that has passed [`validate::preset`].
    ///
    /// Fails if a route refers to a missing service, so that a version is never partially applied.
    pub fn new(in_force: InForce, preset: &Preset) -> Result<Arc<Snapshot>> {
        let mut snapshot = Snapshot {
            in_force,
            services: Vec::new(),
            routes: Vec::new(),
            targets: Vec::new(),
            by_vm: IndexMap::new(),
            has_bound_routes: preset.routes.values().any(|route| !route.regions.is_empty()),
            by_host: IndexMap::new(),
        };
        for (name, service) in &preset.services {
            snapshot.add_service(name, service);
        }
        for (name, route) in &preset.routes {
            snapshot.add_route(name, route, preset)?;
        }
        // Sort by descending prefix length, so that the first match is the most specific one.
        snapshot.routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
        for (index, entry) in snapshot.routes.iter().enumerate() {
            let host = entry.route.host.clone().unwrap_or_default();
            snapshot.by_host.entry(host).or_default().push(RouteKey(index as u32));
        }
        Ok(Arc::new(snapshot))
    }

    /// Reassembles a preset from resources received from a peer, validates it and builds a snapshot.
    pub fn from_resources(
        in_force: InForce,
        resources: &IndexMap<ResourceId, Resource>,
    ) -> Result<Arc<Snapshot>> {
        let preset = Snapshot::assemble_preset(&in_force.preset, resources)?;
        validate::preset(&preset)?;
        Snapshot::new(in_force, &preset)
    }

    /// Reassembles the preset that the resources were split from.
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

    /// Converts the snapshot back to a preset.
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
            None => Err(Fault::new(Code::RouteDangling).with_location(name).with_detail(service)),
        };
        let part = |weighted: &WeightedService| Ok((find(&weighted.service)?, weighted.weight));
        let mut split = route.split.iter().map(part).collect::<Result<Vec<_>>>()?;
        split.retain(|(_, weight)| *weight > 0);
        let named = find(&route.service)?;
        let gets_requests = |service: ServiceKey| split.iter().any(|(part, _)| *part == service);
        let service = match split.first() {
            Some((first, _)) if !gets_requests(named) => *first,
            _ => named,
        };
        self.routes.push(RouteEntry { name: name.clone(), route: route.clone(), service, split });
        Ok(())
    }

    pub fn version(&self) -> u64 {
        self.in_force.version
    }

    /// Finds the route with the longest matching prefix. Routes for `host` with its port take
    /// precedence over those for the host alone, and these over routes that match any host. `path`
    /// must not include the query.
    pub fn route_for(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = without_port(host);
        let with_port = (name != host).then(|| self.route_of_host(host, path)).flatten();
        let of_name = || (!name.is_empty()).then(|| self.route_of_host(name, path)).flatten();
        with_port.or_else(of_name).or_else(|| self.route_of_host("", path))
    }

    fn route_of_host(&self, host: &str, path: &str) -> Option<RouteKey> {
        let routes = self.by_host.get(host)?.iter().copied();
        let mut matching =
            routes.filter(|key| prefix_matches(&self.route(*key).route.path_prefix, path));
        matching.next()
    }

    pub fn route(&self, key: RouteKey) -> &RouteEntry {
        &self.routes[key.0 as usize]
    }

    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.0 as usize]
    }

    pub fn target(&self, key: TargetKey) -> &TargetEntry {
        &self.targets[key.0 as usize]
    }

    /// The target that runs on a VM.
    pub fn target_on(&self, vm: &Name) -> Option<TargetKey> {
        self.by_vm.get(vm).copied()
    }

    pub fn service_named(&self, name: &Name) -> Option<ServiceKey> {
        let index = self.services.iter().position(|entry| entry.name == *name)?;
        Some(ServiceKey(index as u32))
    }

    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// All routes, longest prefix first.
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }

    /// Whether any route is bound to regions.
    pub fn has_bound_routes(&self) -> bool {
        self.has_bound_routes
    }

    pub fn targets(&self) -> &[TargetEntry] {
        &self.targets
    }
}

/// A host without the port that may follow it. The colons of an IPv6 address stand in brackets.
pub fn without_port(host: &str) -> &str {
    let end = host.rfind(':').filter(|colon| !host[*colon..].contains(']'));
    &host[..end.unwrap_or(host.len())]
}

/// Whether `path` starts with `prefix` and the match ends at a `/` boundary.
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
