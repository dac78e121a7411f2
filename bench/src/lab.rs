//! Load simulator: runs the call path's decision logic under simulated load, in virtual time.
//!
//! Each simulated node uses [`Entry`](sycamore_core::call::Entry) and
//! [`Gatekeeper`](sycamore_core::call::Gatekeeper) from the core crate. Callers, links, targets and
//! faults are models. Runs with the same seed are identical.
//!
//! - `scenario`: scenario definition, parsed from JSON and validated
//! - `mesh`: nodes of a scenario and the configuration versions that list their targets
//! - `world`: event queue and event dispatch of a run
//! - `path`: path of a call through entry node and gatekeeper
//! - `target`: target model with slots, speed and faults
//! - `caller`: caller model with arrivals and retries
//! - `trouble`: start and end of injected faults
//! - `path/waits`: waits of requests while slots are free
//! - `tally`: results seen by callers, and traffic between zones
//! - `bound`: lower bound of traffic between zones
//! - `trial`: runs over several seeds, paired comparisons and ablation
//! - `report`, `plot`: tables and plots

pub mod bound;
mod caller;
mod mesh;
mod path;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod tally;
mod target;
pub mod trial;
mod trouble;
pub mod world;

pub use scenario::Scenario;
pub use tally::Tally;
pub use trial::Trial;
