//! The report of `sycamore-check`.

use super::difference::Difference;
use super::publication::Publication;
use serde::Serialize;
use std::fmt;
use std::path::Path;
use sycamore_core::config::{Decision, InForce, VersionFloor};
use sycamore_core::hash::Hash;
use sycamore_core::{Code, Fault};

/// A problem that makes nodes reject the publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Error code, as listed in docs/ERRORS.md.
    pub code: u16,
    /// Description of the error code.
    pub message: String,
    /// File in which the problem was found.
    pub file: String,
    /// JSON path within the file; empty if the finding concerns the whole file.
    pub path: String,
    /// Details, such as the value found and the allowed values.
    pub detail: String,
}

/// Size of a preset, including its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Number of services.
    pub services: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of targets of all services.
    pub targets: usize,
}

/// Result of a check.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Whether nodes would accept the publication.
    pub accepted: bool,
    /// Reasons for rejection; empty if accepted.
    pub findings: Vec<Finding>,
    /// Digest of the preset's body.
    pub digest: Hash,
    /// Size of the preset's body, without its parts.
    pub body_bytes: usize,
    /// Size of the preset; null if it can't be parsed.
    pub size: Option<Size>,
    /// Value to publish under the key `in-force`; null if rejected.
    pub in_force: Option<InForce>,
    /// The publication in force that it was evaluated against; null if none was given.
    #[serde(rename = "judged_against")]
    pub evaluated_against: Option<InForce>,
    /// Whether the publication is already in force.
    pub in_force_already: bool,
    /// Changes from the previous preset; null if none was given.
    pub difference: Option<Difference>,
}

impl Report {
    /// Creates a report from the findings of a publication.
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
            evaluated_against: None,
            in_force_already: false,
            difference: None,
        }
    }

    /// Adds the decision of a node that holds `in_force_now`.
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
        self.evaluated_against = in_force_now;
        self
    }

    /// Adds the changes from the previous preset.
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
    /// Creates a finding from a fault in a file.
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
