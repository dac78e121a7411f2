//! Encoding of a version as key-value pairs on the platform.

use bytes::Bytes;
use flate2::Compression;
use flate2::write::DeflateEncoder;
use indexmap::IndexMap;
use std::io::Write;
use sycamore_core::Name;
use sycamore_core::config::document::{Part, PartRef, Preset};
use sycamore_core::config::in_force::InForce;
use sycamore_core::hash::Hash;

/// Presets larger than this are split into parts, to limit how much readers fetch per change. The
/// platform itself accepts ten times this size.
const MAX_SINGLE_VALUE_BYTES: usize = 100_000;

/// Target size of a part. At the two-year fleet size, the root that lists the parts has about the
/// same size, which minimizes the bytes rewritten per change.
const TARGET_PART_BYTES: usize = 20_000;

/// The values of one version, to be written in this order so that `in-force` never refers to
/// missing keys.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Keys and values; `in-force` comes last.
    pub values: Vec<(Name, Bytes)>,
    pub in_force: InForce,
    /// The complete preset, including the content of all parts.
    pub preset: Preset,
    /// Size of the smallest message that could carry the change: compressed version, digest and
    /// changed item.
    pub min_update_bytes: u64,
    /// Total size of the preset's values.
    pub preset_bytes: u64,
}

/// Encodes presets and writes only values that have changed.
pub struct Writer {
    version: u64,
    services_per_part: Option<usize>,
    written: IndexMap<Name, Hash>,
}

impl Writer {
    /// Creates a writer whose partitioning suits the size of `preset`.
    pub fn new(preset: &Preset) -> Writer {
        let size = encode(preset).len();
        let per_part = preset.services.len() * TARGET_PART_BYTES / size.max(1);
        let services_per_part = (size > MAX_SINGLE_VALUE_BYTES).then_some(per_part.max(1));
        Writer { version: 0, services_per_part, written: IndexMap::new() }
    }

    /// Encodes the next version. `changed` is the item that differs from the previous version.
    pub fn publish(&mut self, preset: &Preset, changed: &[u8]) -> Publication {
        self.version += 1;
        self.write(preset, changed)
    }

    /// Encodes different content under the current version.
    pub fn publish_conflicting(&mut self, preset: &Preset) -> Publication {
        self.write(preset, b"")
    }

    fn write(&mut self, preset: &Preset, changed: &[u8]) -> Publication {
        let mut values = Vec::new();
        let mut preset_bytes = 0;
        let body = match self.services_per_part {
            None => encode(preset),
            Some(count) => {
                let (root, parts) = split_into_parts(preset, count);
                for (key, value) in parts {
                    preset_bytes += value.len() as u64;
                    self.add(&mut values, key, value);
                }
                encode(&root)
            }
        };
        preset_bytes += body.len() as u64;
        let digest = Hash::of(&body);
        let in_force = InForce { version: self.version, preset: preset.name.clone(), digest };
        self.add(&mut values, key(format!("preset/{}", preset.name)), body);
        values.push((key("in-force".to_owned()), encode(&in_force)));
        let min_update_bytes = min_update_bytes(&in_force, changed);
        Publication { values, in_force, preset: preset.clone(), min_update_bytes, preset_bytes }
    }

    fn add(&mut self, values: &mut Vec<(Name, Bytes)>, key: Name, value: Bytes) {
        let hash = Hash::of(&value);
        if self.written.insert(key.clone(), hash) != Some(hash) {
            values.push((key, value));
        }
    }
}

/// Splits a preset into a root and parts of `count` services with their routes.
fn split_into_parts(preset: &Preset, count: usize) -> (Preset, Vec<(Name, Bytes)>) {
    let part_of = |service: &Name| preset.services.get_index_of(service).unwrap_or(0) / count;
    let parts = preset.services.len().div_ceil(count);
    let mut contents = vec![Part { services: IndexMap::new(), routes: IndexMap::new() }; parts];
    for (name, service) in &preset.services {
        contents[part_of(name)].services.insert(name.clone(), service.clone());
    }
    for (name, route) in &preset.routes {
        contents[part_of(&route.service)].routes.insert(name.clone(), route.clone());
    }
    let mut root = Preset {
        name: preset.name.clone(),
        services: IndexMap::new(),
        routes: IndexMap::new(),
        parts: Vec::new(),
    };
    let mut values = Vec::new();
    for (index, part) in contents.iter().enumerate() {
        let value = encode(part);
        let key = key(format!("part/{}-{index:02}", preset.name));
        root.parts.push(PartRef { key: key.clone(), digest: Hash::of(&value) });
        values.push((key, value));
    }
    (root, values)
}

fn min_update_bytes(in_force: &InForce, changed: &[u8]) -> u64 {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    // Writing to a `Vec` can't fail.
    let _ = encoder.write_all(&in_force.version.to_be_bytes()[3..]);
    let _ = encoder.write_all(in_force.digest.as_bytes());
    let _ = encoder.write_all(changed);
    encoder.finish().unwrap_or_default().len() as u64
}

fn encode<T: serde::Serialize>(content: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(content).unwrap_or_default())
}

fn key(text: String) -> Name {
    super::workload::name(text)
}
