//! Benches and history checks of sycamorescale.

pub mod baseline;
pub mod fleet;
pub mod history;
pub mod links;
