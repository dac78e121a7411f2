//! Configuration: published documents, their validation, and the snapshots that nodes hold.

pub mod document;
pub mod in_force;
pub mod resource;
pub mod resource_set;
pub mod scope;
pub mod snapshot;
pub mod validate;

pub use document::{
    AtMostOnceMode, Class, Preset, Route, Service, ServiceLimits, Target, WeightedService,
    allows_region,
};
pub use in_force::{Decision, InForce, VersionFloor};
pub use resource::{Manifest, Resource, ResourceId, ResourceKind};
pub use resource_set::ResourceSet;
pub use scope::Scope;
pub use snapshot::{RouteKey, ServiceKey, Snapshot, TargetKey, without_port};
