//! Validates a preset before it is published, with the same code as nodes, and shows what it
//! changes.

pub mod config;
pub mod difference;
pub mod output;
pub mod publication;
pub mod report;

pub use config::Config;

use difference::Difference;
use publication::Publication;
use report::Report;
use std::io::Write;
use sycamore_core::Result;
use sycamore_core::config::{InForce, VersionFloor};

/// Version of the first publication.
const FIRST_VERSION: u64 = 1;

/// Validates the candidate, compares it with the previous publication and writes the report.
/// Returns whether nodes would accept the preset.
pub fn run(cfg: &Config, out: &mut dyn Write) -> Result<bool> {
    let candidate = Publication::read(&cfg.candidate)?;
    let previous = cfg.previous.as_ref().map(Publication::read).transpose()?;
    let in_force_now = previous.as_ref().and_then(|previous| previous.in_force.clone());
    let in_force = in_force(cfg, &candidate, in_force_now.as_ref());
    let report = Report::new(&candidate)
        .with_evaluation(in_force, in_force_now, floor(previous.as_ref()))
        .with_difference(previous.as_ref().and_then(|previous| difference(previous, &candidate)));
    output::write(&report, cfg.format, out)?;
    Ok(report.accepted)
}

/// The `in-force` value for the candidate: the given one, or one with the next version.
fn in_force(
    cfg: &Config,
    candidate: &Publication,
    in_force_now: Option<&InForce>,
) -> Option<InForce> {
    if cfg.candidate.in_force.is_some() {
        return candidate.in_force.clone();
    }
    let next = in_force_now.map_or(FIRST_VERSION, |now| now.version.saturating_add(1));
    let preset = candidate.preset.as_ref()?.name.clone();
    let version = cfg.publish_version.unwrap_or(next);
    Some(InForce { version, preset, digest: candidate.digest })
}

/// The version floor of a node that holds the previous publication.
fn floor(previous: Option<&Publication>) -> VersionFloor {
    let mut floor = VersionFloor::default();
    if let Some(in_force) = previous.and_then(|previous| previous.in_force.clone()) {
        floor.accept(in_force);
    }
    floor
}

fn difference(previous: &Publication, candidate: &Publication) -> Option<Difference> {
    Some(Difference::new(previous.preset.as_ref()?, candidate.preset.as_ref()?))
}
