//! Compressed payloads of peer messages: cached when sent to several peers, and size-limited when
//! decompressed.

use super::codec::read_name;
use super::spread_capnp as wire;
use bytes::Bytes;
use capnp::Error;
use capnp::message::{Builder, ReaderOptions};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::io::Read;
use std::rc::Rc;
use std::sync::Arc;
use sycamore_core::config::{ResourceId, ResourceKind};
use sycamore_core::member::VmList;
use sycamore_core::place::{Place, Zones};
use sycamore_core::spread::message::{Delta, ZonesList};

pub use sycamore_core::spread::message::ZoneList;

type Result<T> = std::result::Result<T, Error>;

/// Maximum payload size after decompression. Guards against decompression bombs.
pub const MAX_DECOMPRESSED_BYTES: u64 = 16 << 20;

/// Maximum number of cached payloads.
const MAX_CACHED_PAYLOADS: usize = 32;

/// Maximum total size of cached payloads, in bytes.
const MAX_CACHED_BYTES: usize = 2 << 20;

/// Recently encoded payloads.
#[derive(Debug, Default)]
pub struct PayloadCache {
    changes: VecDeque<(Arc<Delta>, Rc<Vec<u8>>)>,
    lists: VecDeque<(Arc<ZoneList>, Rc<Vec<u8>>)>,
}

impl PayloadCache {
    /// Encoded changes of a delta.
    pub fn changes(&mut self, delta: &Arc<Delta>) -> Result<Rc<Vec<u8>>> {
        get_or_encode(&mut self.changes, delta, encode_changes)
    }

    /// Encoded VM list of a zone.
    pub fn list(&mut self, list: &Arc<ZoneList>) -> Result<Rc<Vec<u8>>> {
        get_or_encode(&mut self.lists, list, |list| {
            compress_json(&VmList { vms: list.vms.clone() })
        })
    }
}

fn get_or_encode<T>(
    cache: &mut VecDeque<(Arc<T>, Rc<Vec<u8>>)>,
    content: &Arc<T>,
    encode: impl Fn(&T) -> Result<Vec<u8>>,
) -> Result<Rc<Vec<u8>>> {
    if let Some((_, compressed)) = cache.iter().find(|(cached, _)| Arc::ptr_eq(cached, content)) {
        return Ok(compressed.clone());
    }
    let compressed = Rc::new(encode(content)?);
    cache.push_back((content.clone(), compressed.clone()));
    let mut bytes: usize = cache.iter().map(|(_, compressed)| compressed.len()).sum();
    while cache.len() > MAX_CACHED_PAYLOADS || bytes > MAX_CACHED_BYTES {
        let Some((_, oldest)) = cache.pop_front() else { break };
        bytes -= oldest.len();
    }
    Ok(compressed)
}

fn compress(raw: &[u8]) -> Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(raw, Compression::default())
        .read_to_end(&mut compressed)
        .map_err(|e| Error::failed(e.to_string()))?;
    Ok(compressed)
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>> {
    let mut raw = Vec::new();
    DeflateDecoder::new(compressed)
        .take(MAX_DECOMPRESSED_BYTES + 1)
        .read_to_end(&mut raw)
        .map_err(|e| Error::failed(e.to_string()))?;
    if raw.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(Error::failed(format!(
            "decompressed payload is too large: exceeds {MAX_DECOMPRESSED_BYTES} bytes"
        )));
    }
    Ok(raw)
}

fn compress_json<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let json = serde_json::to_vec(value).map_err(|e| Error::failed(e.to_string()))?;
    compress(&json)
}

fn decompress_json<T: DeserializeOwned>(compressed: &[u8]) -> Result<T> {
    serde_json::from_slice(&decompress(compressed)?).map_err(|e| Error::failed(e.to_string()))
}

/// Decodes a VM list.
pub fn decode_list(place: Place, index: u64, compressed: &[u8]) -> Result<ZoneList> {
    let list: VmList = decompress_json(compressed)?;
    Ok(ZoneList { place, index, vms: list.vms })
}

/// Encodes a list of zones.
pub fn encode_zones(list: &ZonesList) -> Result<Vec<u8>> {
    compress_json(&Zones { zones: list.zones.clone() })
}

/// Decodes a list of zones.
pub fn decode_zones(index: u64, compressed: &[u8]) -> Result<ZonesList> {
    let list: Zones = decompress_json(compressed)?;
    Ok(ZonesList { index, zones: list.zones })
}

fn encode_changes(delta: &Delta) -> Result<Vec<u8>> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<wire::changes::Builder<'_>>();
    let mut changed = root.reborrow().init_changed(delta.changed.len() as u32);
    for (index, (id, body)) in delta.changed.iter().enumerate() {
        let mut to = changed.reborrow().get(index as u32);
        to.set_body(body);
        write_id(id, to.init_id());
    }
    let mut removed = root.init_removed(delta.removed.len() as u32);
    for (index, id) in delta.removed.iter().enumerate() {
        write_id(id, removed.reborrow().get(index as u32));
    }
    compress(&capnp::serialize::write_message_to_words(&message))
}

/// Changed resources with their bodies, and removed resources.
type Changes = (Vec<(ResourceId, Bytes)>, Vec<ResourceId>);

/// Decodes the changes of a delta.
pub fn decode_changes(compressed: &[u8]) -> Result<Changes> {
    let raw = decompress(compressed)?;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(raw.len().max(8)));
    let message = capnp::serialize::read_message(raw.as_slice(), options)?;
    let root = message.get_root::<wire::changes::Reader<'_>>()?;
    let mut changed = Vec::new();
    for resource in root.get_changed()? {
        let id = read_id(resource.get_id()?)?;
        changed.push((id, Bytes::copy_from_slice(resource.get_body()?)));
    }
    let removed = root.get_removed()?.iter().map(read_id).collect::<Result<Vec<_>>>()?;
    Ok((changed, removed))
}

fn write_id(id: &ResourceId, mut to: wire::resource_id::Builder<'_>) {
    to.set_name(id.name.as_bytes());
    to.set_kind(match id.kind {
        ResourceKind::Service => wire::Kind::Service,
        ResourceKind::Targets => wire::Kind::Targets,
        ResourceKind::Route => wire::Kind::Route,
    });
}

fn read_id(from: wire::resource_id::Reader<'_>) -> Result<ResourceId> {
    let kind = match from.get_kind()? {
        wire::Kind::Service => ResourceKind::Service,
        wire::Kind::Targets => ResourceKind::Targets,
        wire::Kind::Route => ResourceKind::Route,
    };
    Ok(ResourceId { kind, name: read_name(from.get_name()?)? })
}
