//! Benchmarks, load simulation and history checks of sycamorescale.

pub mod baseline;
pub mod calls;
pub mod demo;
pub mod fleet;
pub mod history;
pub mod http;
pub mod lab;
pub mod links;
pub mod process;
pub mod process_history;
pub mod stack;
