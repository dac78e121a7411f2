//! Benches and history checks of sycamorescale.

pub mod calls;
pub mod demo;
pub mod http;
pub mod process;
pub mod stack;
