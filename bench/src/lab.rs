//! A lab for load decisions: the call path's real deciders under modelled load, in virtual time.
//!
//! Everything that decides is core's own: [`Entry`](sycamore_core::call::Entry) and
//! [`Gatekeeper`](sycamore_core::call::Gatekeeper) of every node. The lab models what is around
//! them: callers, links, targets and what goes wrong. The same seed gives the same run.
//!
//! - `scenario`: what a run is made of, read from JSON and checked
//! - `mesh`: the nodes of a scenario, and the versions that list their targets
//! - `world`: the run: one queue of events, and what happens at each
//! - `path`: the way of a call through entry node and gatekeeper
//! - `target`: a target's slots, speed and faults
//! - `caller`: who asks, and who asks again
//! - `trouble`: what goes wrong, and when
//! - `tally`: what callers saw, and what crossed between zones
//! - `bound`: the smallest traffic between zones that a load allows
//! - `trial`: seeds, comparisons by pairs, and every mechanism off in turn
//! - `report`, `plot`: tables and pictures

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
