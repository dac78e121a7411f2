//! The values of the platform, with everything that they were before.

use bytes::Bytes;
use std::path::Path;

/// Suffix of files that hold values; not part of the key.
const SUFFIX: &str = ".json";

/// Every change of a value so far, so that the store can answer as of an earlier index.
#[derive(Clone, Debug, Default)]
pub struct Store {
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    value: Value,
}

/// A value and the index at which it last changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The value.
    pub body: Bytes,
    /// Index of the change that set it.
    pub index: u64,
}

impl Store {
    /// No values.
    pub fn new() -> Store {
        Store::default()
    }

    /// Reads a directory of values: `preset/peak.json` holds the key `preset/peak`.
    pub fn read_directory(directory: &Path) -> std::io::Result<Store> {
        let mut store = Store::new();
        store.read_recursive(directory, "")?;
        Ok(store)
    }

    fn read_recursive(&mut self, directory: &Path, prefix: &str) -> std::io::Result<()> {
        let mut entries: Vec<_> = std::fs::read_dir(directory)?.collect::<Result<_, _>>()?;
        entries.sort_by_key(std::fs::DirEntry::file_name);
        for entry in entries {
            let name = entry.file_name().to_string_lossy().into_owned();
            if entry.file_type()?.is_dir() {
                self.read_recursive(&entry.path(), &format!("{prefix}{name}/"))?;
            } else if let Some(key) = name.strip_suffix(SUFFIX) {
                self.put(&format!("{prefix}{key}"), std::fs::read(entry.path())?.into());
            }
        }
        Ok(())
    }

    /// Sets a value and returns the index of the change.
    pub fn put(&mut self, key: &str, body: Bytes) -> u64 {
        let index = self.index() + 1;
        self.changes.push(Change { key: key.to_string(), value: Value { body, index } });
        index
    }

    /// Index of the last change.
    pub fn index(&self) -> u64 {
        self.changes.len() as u64
    }

    /// The value of a key, as of an index.
    pub fn get(&self, key: &str, as_of: u64) -> Option<Value> {
        let visible = &self.changes[..as_of.min(self.index()) as usize];
        visible.iter().rev().find(|change| change.key == key).map(|change| change.value.clone())
    }
}
