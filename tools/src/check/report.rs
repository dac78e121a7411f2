//! What `sycamore-check` reports.

use super::difference::Difference;
use super::publication::Publication;
use serde::Serialize;
use std::fmt;
use std::path::Path;
use sycamore_core::config::{Decision, InForce, VersionFloor};
use sycamore_core::hash::Hash;
use sycamore_core::{Code, Fault};

/// A failure that makes nodes refuse the publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Number of the code, as in docs/ERRORS.md.
    pub code: u16,
    /// What the code means.
    pub message: String,
    /// The file.
    pub file: String,
    /// JSON path in the file; empty for the whole file.
    pub path: String,
    /// What was found and what is allowed.
    pub detail: String,
}

/// Size of a preset, its parts included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Services.
    pub services: usize,
    /// Routes.
    pub routes: usize,
    /// Targets over all services.
    pub targets: usize,
}

/// The report.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Whether nodes would accept the publication.
    pub accepted: bool,
    /// Why not; empty if accepted.
    pub findings: Vec<Finding>,
    /// Digest of the preset's body.
    pub digest: Hash,
    /// Size of the preset's body, without its parts.
    pub body_bytes: usize,
    /// Size of the preset; null if it can't be parsed.
    pub size: Option<Size>,
    /// Value to publish under the key `in-force`; null if refused.
    pub in_force: Option<InForce>,
    /// The publication in force that it was judged against; null if none was given.
    pub judged_against: Option<InForce>,
    /// Whether it is the publication in force already.
    pub in_force_already: bool,
    /// What it changes; null if nothing was given to compare with.
    pub difference: Option<Difference>,
}

impl Report {
    /// The report on a publication by itself.
    pub fn new(publication: &Publication) -> Report {
        let size = publication.preset.as_ref().map(|preset| Size {
            services: preset.services.len(),
            routes: preset.routes.len(),
            targets: preset.services.values().map(|service| service.targets.len()).sum(),
        });
        Report {
            accepted: publication.findings.is_empty(),
            findings: publication.findings.clone(),
            digest: publication.digest,
            body_bytes: publication.body_bytes,
            size,
            in_force: None,
            judged_against: None,
            in_force_already: false,
            difference: None,
        }
    }

    /// The same report with the judgement of a node that holds `in_force_now`.
    pub fn with_evaluation(
        mut self,
        in_force: Option<InForce>,
        in_force_now: Option<InForce>,
        mut floor: VersionFloor,
    ) -> Report {
        let decision = in_force.as_ref().map(|in_force| floor.evaluate(in_force, None));
        if let (Some(Decision::Reject(code)), Some(now), Some(new)) =
            (&decision, &in_force_now, &in_force)
        {
            self.reject(*code, now, new);
        }
        self.in_force_already = decision == Some(Decision::AlreadyKnown);
        self.in_force = in_force.filter(|_| self.accepted);
        self.judged_against = in_force_now;
        self
    }

    /// The same report with what the publication changes.
    pub fn with_difference(mut self, difference: Option<Difference>) -> Report {
        self.difference = difference;
        self
    }

    fn reject(&mut self, code: Code, now: &InForce, new: &InForce) {
        let detail = match code {
            Code::VersionConflict => {
                format!("version {} is in force with digest {}", now.version, now.digest)
            }
            _ => format!("found {}, allowed from {}", new.version, now.version.saturating_add(1)),
        };
        let fault = Fault::new(code).with_location("version").with_detail(detail);
        self.findings.push(Finding::new(Path::new("in-force"), &fault));
        self.accepted = false;
    }
}

impl Finding {
    /// A failure in a file.
    pub fn new(file: &Path, fault: &Fault) -> Finding {
        Finding {
            code: fault.code.number(),
            message: fault.code.to_string(),
            file: file.display().to_string(),
            path: fault.location.clone(),
            detail: fault.detail.clone(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}: {} at {}", self.code, self.message, self.file)?;
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        Ok(())
    }
}
