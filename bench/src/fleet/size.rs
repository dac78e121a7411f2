//! Size of messages on the wire, as encoded by the node's transport.

use indexmap::IndexMap;
use std::sync::Arc;
use sycamore_core::Name;
use sycamore_core::hash::Hash;
use sycamore_core::spread::message::{Delta, PeerMsg, ZoneList};
use sycamore_node::spread::codec;
use sycamore_node::spread::payload::PayloadCache;

/// Maximum number of cached sizes per kind of content.
const CACHE_CAPACITY: usize = 8_192;

/// Identifies the content of a delta: version, base digest and result digest.
type DeltaKey = (u64, Option<Hash>, Hash);

/// Identifies a VM list: zone and index.
type ListKey = (Name, u64);

/// Computes message sizes. Caches those of deltas and VM lists, since the same content is sent to
/// many nodes and compressing it each time is expensive.
#[derive(Debug, Default)]
pub struct SizeCache {
    payloads: PayloadCache,
    deltas: IndexMap<DeltaKey, u64>,
    lists: IndexMap<ListKey, u64>,
}

impl SizeCache {
    /// Size of a message including its HTTP call, without TCP and IP headers.
    pub fn wire_size(&mut self, msg: &PeerMsg) -> u64 {
        match msg {
            PeerMsg::Delta(delta) => self.delta_size(delta),
            PeerMsg::Lists(lists) => lists.iter().map(|list| self.list_size(list)).sum(),
            _ => self.encoded_size(msg),
        }
    }

    fn encoded_size(&mut self, msg: &PeerMsg) -> u64 {
        codec::size(msg, &mut self.payloads).unwrap_or(0)
    }

    fn delta_size(&mut self, delta: &Arc<Delta>) -> u64 {
        let base = delta.base.as_ref().map(|base| base.digest);
        let key = (delta.summary.in_force.version, base, delta.digest);
        if let Some(size) = self.deltas.get(&key) {
            return *size;
        }
        let size = self.encoded_size(&PeerMsg::Delta(delta.clone()));
        insert_bounded(&mut self.deltas, key, size)
    }

    fn list_size(&mut self, list: &Arc<ZoneList>) -> u64 {
        let key = (list.place.zone.clone(), list.index);
        if let Some(size) = self.lists.get(&key) {
            return *size;
        }
        let size = self.encoded_size(&PeerMsg::Lists(vec![list.clone()]));
        insert_bounded(&mut self.lists, key, size)
    }
}

/// Message kind, as used in the traffic counters.
pub fn kind(msg: &PeerMsg) -> &'static str {
    match msg {
        PeerMsg::Ping(_) | PeerMsg::Pong(_) => "ping and pong",
        PeerMsg::Notice(_) => "notice",
        PeerMsg::Pull(_) | PeerMsg::Missing(_) => "pull",
        PeerMsg::Delta(_) => "delta",
        PeerMsg::StateReports(_) => "words",
        PeerMsg::Lists(_) | PeerMsg::Zones(_) => "lists",
        PeerMsg::Note(_) => "note",
    }
}

/// Inserts a size and returns it. Clears a full cache first.
fn insert_bounded<K: std::hash::Hash + Eq>(cache: &mut IndexMap<K, u64>, key: K, size: u64) -> u64 {
    if cache.len() == CACHE_CAPACITY {
        cache.clear();
    }
    cache.insert(key, size);
    size
}
