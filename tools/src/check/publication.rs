//! Reads a publication from files and validates it.

use super::config::{Files, PartFile};
use super::report::Finding;
use crate::command_line::usage;
use crate::input;
use bytes::Bytes;
use std::path::Path;
use sycamore_core::config::document::{PartRef, Preset};
use sycamore_core::config::{InForce, Snapshot, validate};
use sycamore_core::hash::Hash;
use sycamore_core::{Code, Fault, Result};

/// A publication and its validation findings.
#[derive(Debug)]
pub struct Publication {
    /// Size of the preset's body, without its parts.
    pub body_bytes: usize,
    /// Digest of the preset's body.
    pub digest: Hash,
    /// Value of the key `in-force`; `None` if no file was given or the value is invalid.
    pub in_force: Option<InForce>,
    /// Preset with its parts; `None` if it can't be parsed.
    pub preset: Option<Preset>,
    /// All findings, in the order of the files.
    pub findings: Vec<Finding>,
}

impl Publication {
    /// Reads and validates the files. Returns an error only if a file can't be read or a part is
    /// not referenced by the preset; anything that nodes would reject is reported as a finding.
    pub fn read(files: &Files) -> Result<Publication> {
        let body = input::read(&files.preset)?;
        let mut publication = Publication {
            body_bytes: body.len(),
            digest: Hash::of(&body),
            in_force: None,
            preset: None,
            findings: Vec::new(),
        };
        publication.parse_body(&files.preset, &body);
        if let Some(path) = &files.in_force {
            publication.parse_in_force(path, &files.preset, &body)?;
        }
        publication.parse_parts(&files.preset, &files.parts)?;
        publication.validate_content(&files.preset);
        Ok(publication)
    }

    fn parse_body(&mut self, path: &Path, body: &Bytes) {
        match validate::parse_body(body) {
            Ok(preset) => self.preset = Some(preset),
            Err(fault) => self.add_finding(path, fault),
        }
    }

    fn parse_in_force(&mut self, path: &Path, preset: &Path, body: &Bytes) -> Result<()> {
        match validate::parse_in_force(&input::read(path)?) {
            Ok(in_force) => {
                // Parse the body again as nodes do, to detect a wrong digest or name.
                if let Err(fault) = validate::parse_preset(body, &in_force) {
                    self.add_finding(preset, fault);
                }
                self.in_force = Some(in_force);
            }
            Err(fault) => self.add_finding(path, fault),
        }
        Ok(())
    }

    fn parse_parts(&mut self, path: &Path, files: &[PartFile]) -> Result<()> {
        let Some(preset) = &self.preset else {
            return Ok(());
        };
        let refs = preset.parts.clone();
        if let Some(extra) = files.iter().find(|file| refs.iter().all(|r| r.key != file.key)) {
            let detail = format!("{} does not reference the part {}", path.display(), extra.key);
            return Err(usage(detail));
        }
        for (index, part) in refs.iter().enumerate() {
            match files.iter().find(|file| file.key == part.key) {
                Some(file) => self.parse_part(part, file)?,
                None => {
                    let fault = Fault::new(Code::PartMissing).with_detail(&part.key);
                    self.add_finding(path, fault.with_location(format!("parts[{index}].key")));
                }
            }
        }
        Ok(())
    }

    fn parse_part(&mut self, part: &PartRef, file: &PartFile) -> Result<()> {
        let buf = input::read(&file.path)?;
        let Some(preset) = &mut self.preset else {
            return Ok(());
        };
        let result = validate::parse_part(&buf, &part.digest)
            .and_then(|part| validate::add_part(preset, part));
        if let Err(fault) = result {
            self.add_finding(&file.path, fault);
        }
        Ok(())
    }

    fn validate_content(&mut self, path: &Path) {
        let Some(preset) = &self.preset else {
            return;
        };
        let mut faults = validate::faults(preset);
        if faults.is_empty() {
            let in_force = InForce { version: 0, preset: preset.name.clone(), digest: self.digest };
            faults.extend(Snapshot::new(in_force, preset).err());
        }
        for fault in faults {
            self.add_finding(path, fault);
        }
    }

    fn add_finding(&mut self, path: &Path, fault: Fault) {
        let finding = Finding::new(path, &fault);
        if !self.findings.contains(&finding) {
            self.findings.push(finding);
        }
    }
}
