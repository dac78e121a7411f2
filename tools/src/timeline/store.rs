//! Records of all processes, in memory and persisted to a directory.
//!
//! A node keeps its events in memory only and loses them when it exits; saved records keep them.

use super::record::{ProcessId, ProcessRecord};
use crate::client::Reply;
use crate::command_line::output_failed;
use crate::input;
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;
use sycamore_core::status::Events;
use sycamore_core::{Code, Fault, Result};

/// Records by process.
#[derive(Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<ProcessId, ProcessRecord>,
    dirty: BTreeSet<ProcessId>,
}

/// Distinguishes a saved record from a `/events` response by a field that only records have.
#[derive(Deserialize)]
struct FormatProbe {
    last_seen: Option<IgnoredAny>,
}

impl RecordStore {
    pub fn new() -> RecordStore {
        RecordStore::default()
    }

    /// Iterates over the records, ordered by VM and start time.
    pub fn records(&self) -> impl Iterator<Item = &ProcessRecord> {
        self.records.values()
    }

    /// Adds the `/events` response of a node.
    pub fn insert_reply(&mut self, reply: Reply<Events>) {
        let record = ProcessRecord::from_reply(reply);
        self.dirty.insert(record.id());
        self.merge(record);
    }

    /// Loads a file: a `/events` response, or a record written by [`RecordStore::save`].
    pub fn load_file(&mut self, path: &Path) -> Result<()> {
        let probe: FormatProbe = input::read_json(path)?;
        let record = match probe.last_seen {
            Some(_) => input::read_json(path)?,
            None => ProcessRecord::new(input::read_json(path)?),
        };
        self.merge(record);
        Ok(())
    }

    /// Loads every JSON file of a directory. A missing directory is treated as empty.
    pub fn load_dir(&mut self, dir: &Path) -> Result<()> {
        if !dir.exists() {
            return Ok(());
        }
        for entry in fs::read_dir(dir).map_err(|e| unreadable(dir, e))? {
            let path = entry.map_err(|e| unreadable(dir, e))?.path();
            if path.extension().is_some_and(|extension| extension == "json") {
                self.load_file(&path)?;
            }
        }
        Ok(())
    }

    /// Writes the records that changed since the last save, one file each. Files are replaced
    /// atomically, so that a reader never sees a truncated one, even if this tool is killed.
    pub fn save(&mut self, dir: &Path) -> Result<()> {
        fs::create_dir_all(dir).map_err(|e| output_failed(e).with_location(dir.display()))?;
        for id in std::mem::take(&mut self.dirty) {
            let json = serde_json::to_vec(&self.records[&id]).map_err(output_failed)?;
            let path = dir.join(format!("{}-{}.json", sanitized_vm_name(&id), id.started.0));
            let temp_path = path.with_extension("partial");
            fs::write(&temp_path, json)
                .and_then(|()| fs::rename(&temp_path, &path))
                .map_err(|e| output_failed(e).with_location(path.display()))?;
        }
        Ok(())
    }

    fn merge(&mut self, record: ProcessRecord) {
        match self.records.get_mut(&record.id()) {
            Some(existing) => existing.merge(record),
            None => {
                self.records.insert(record.id(), record);
            }
        }
    }
}

/// Replaces characters of the VM name that are unsafe in a file name.
fn sanitized_vm_name(id: &ProcessId) -> String {
    let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    id.vm.as_str().chars().map(safe).collect()
}

fn unreadable(path: &Path, cause: impl std::fmt::Display) -> Fault {
    Fault::new(Code::InputUnreadable).with_location(path.display()).with_detail(cause)
}
