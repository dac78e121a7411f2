//! Bytes that a message takes on the wire, as a node's adapter encodes it.

use indexmap::IndexMap;
use std::sync::Arc;
use sycamore_core::Name;
use sycamore_core::hash::Hash;
use sycamore_core::spread::message::{Delta, PeerMsg, ZoneList};
use sycamore_node::spread::codec;
use sycamore_node::spread::payload::PayloadCache;

/// Contents whose size is kept.
const CACHE_CAPACITY: usize = 8_192;

/// Names the content of a delta: its version, base and result.
type DeltaKey = (u64, Option<Hash>, Hash);

/// Names a list of VMs: its zone and index.
type ListKey = (Name, u64);

/// Sizes of messages, with those of large contents kept: one content goes to many nodes, each of
/// which holds its own copy, and is compressed here only once.
#[derive(Debug, Default)]
pub struct SizeCache {
    payloads: PayloadCache,
    deltas: IndexMap<DeltaKey, u64>,
    lists: IndexMap<ListKey, u64>,
}

impl SizeCache {
    /// Bytes of a message and of the call that carries it, without the heads of TCP and IP.
    pub fn wire_size(&mut self, msg: &PeerMsg) -> u64 {
        match msg {
            PeerMsg::Delta(delta) => self.delta(delta),
            PeerMsg::Lists(lists) => lists.iter().map(|list| self.list(list)).sum(),
            _ => self.encoded(msg),
        }
    }

    fn encoded(&mut self, msg: &PeerMsg) -> u64 {
        codec::size(msg, &mut self.payloads).unwrap_or(0)
    }

    fn delta(&mut self, delta: &Arc<Delta>) -> u64 {
        let base = delta.base.as_ref().map(|base| base.digest);
        let key = (delta.summary.in_force.version, base, delta.digest);
        if let Some(size) = self.deltas.get(&key) {
            return *size;
        }
        let size = self.encoded(&PeerMsg::Delta(delta.clone()));
        insert_bounded(&mut self.deltas, key, size)
    }

    fn list(&mut self, list: &Arc<ZoneList>) -> u64 {
        let key = (list.place.zone.clone(), list.index);
        if let Some(size) = self.lists.get(&key) {
            return *size;
        }
        let size = self.encoded(&PeerMsg::Lists(vec![list.clone()]));
        insert_bounded(&mut self.lists, key, size)
    }
}

/// Kind of a message, for the counters.
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

fn insert_bounded<K: std::hash::Hash + Eq>(cache: &mut IndexMap<K, u64>, key: K, size: u64) -> u64 {
    if cache.len() == CACHE_CAPACITY {
        cache.clear();
    }
    cache.insert(key, size);
    size
}
