//! Configuration: what operators publish, what is checked, and what a node holds.

pub mod document;
pub mod in_force;
pub mod resource;
pub mod snapshot;
pub mod validate;

pub use document::{Class, Preset, Route, Service, ServiceLimits, Target};
pub use in_force::{Floor, InForce, Verdict};
pub use resource::{Manifest, Resource, ResourceId, ResourceKind};
pub use snapshot::{RouteKey, ServiceKey, Snapshot, TargetKey};
