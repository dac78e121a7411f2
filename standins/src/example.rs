//! Generates the files under `examples/`, which describe both deployments at their current size.

mod deployment;
mod files;
mod presets;

pub use deployment::{COOPERATIVE, Deployment, FRANCHISE_OFFICE, RouteRow, TARGET_PORT, Vm};
pub use files::{File, files, write};
