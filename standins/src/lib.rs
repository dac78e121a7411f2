//! Stand-ins for the systems around sycamorescale, for tests and demonstrations only: the
//! platform's configuration service, and targets.

pub mod command;
pub mod example;
pub mod http;
pub mod platform;
pub mod target;
