//! Makes the files under `examples/`: both deployments of the users at their sizes of today.

mod deployment;
mod files;
mod presets;

pub use deployment::{COOPERATIVE, Deployment, FRANCHISE_OFFICE, RouteRow, TARGET_PORT, Vm};
pub use files::{File, files, write};
