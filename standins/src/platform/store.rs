//! Versioned key-value store of the platform stand-in.

use bytes::Bytes;
use std::path::Path;

/// Suffix of value files, which is not part of the key.
const SUFFIX: &str = ".json";

/// Values with their full change history, so that reads can be served as of an earlier index.
#[derive(Clone, Debug, Default)]
pub struct Store {
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    value: Value,
}

/// A value and the index of the change that set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub body: Bytes,
    pub index: u64,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Store {
        Store::default()
    }

    /// Loads values from a directory: the file `preset/peak.json` holds the key `preset/peak`.
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

    pub fn put(&mut self, key: &str, body: Bytes) -> u64 {
        let index = self.index() + 1;
        self.changes.push(Change { key: key.to_string(), value: Value { body, index } });
        index
    }

    /// Index of the latest change.
    pub fn index(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the value of a key as of an index.
    pub fn get(&self, key: &str, as_of: u64) -> Option<Value> {
        let visible = &self.changes[..as_of.min(self.index()) as usize];
        visible.iter().rev().find(|change| change.key == key).map(|change| change.value.clone())
    }
}
