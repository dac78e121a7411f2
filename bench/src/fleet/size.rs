//! Bytes that a message takes on the wire.

use flate2::Compression;
use flate2::write::DeflateEncoder;
use indexmap::IndexMap;
use std::io::Write;
use sycamore_core::Name;
use sycamore_core::hash::Hash;
use sycamore_core::spread::{Delta, PeerMsg};

/// Bytes of a call over Cap'n Proto RPC besides its argument: call, return and finish, and the
/// heads of the TCP segments that carry them.
const CALL_BYTES: u64 = 300;

/// Sizes of messages, with those of deltas kept: one delta goes to many nodes.
#[derive(Debug, Default)]
pub struct Sizes {
    deltas: IndexMap<(u64, Option<Hash>, Hash), u64>,
}

/// Deltas whose size is kept.
const KEPT_DELTAS: usize = 4_096;

impl Sizes {
    /// Bytes of a message with everything that its call adds.
    pub fn of(&mut self, msg: &PeerMsg) -> u64 {
        CALL_BYTES + self.argument(msg)
    }

    fn argument(&mut self, msg: &PeerMsg) -> u64 {
        match msg {
            PeerMsg::Ping(ping) => {
                let lists =
                    ping.lists.iter().flatten().map(|mark| text(&mark.zone) + 24).sum::<u64>();
                64 + text(&ping.word.vm) + ping.have.as_ref().map_or(0, |_| SUMMARY) + lists
            }
            PeerMsg::Pong(pong) => {
                let summaries = u64::from(pong.have.is_some()) + u64::from(pong.floor.is_some());
                64 + text(&pong.word.vm) + summaries * SUMMARY
            }
            PeerMsg::Notice(_) => 16 + SUMMARY,
            PeerMsg::Pull(pull) => {
                let scope = pull.scope.iter().flatten().map(text).sum::<u64>();
                72 + pull.base.as_ref().map_or(0, |_| 48) + scope
            }
            PeerMsg::Delta(delta) => self.delta(delta),
            PeerMsg::Missing(_) => 16,
            PeerMsg::Words(words) => 16 + words.iter().map(|word| 32 + text(&word.vm)).sum::<u64>(),
            PeerMsg::Lists(lists) => {
                let vms: usize = lists.iter().map(|list| list.vms.len()).sum();
                16 + lists.len() as u64 * 64 + vms as u64 * MEMBER
            }
            PeerMsg::Zones(zones) => 32 + zones.zones.len() as u64 * 48,
            PeerMsg::Note(_) => 32,
        }
    }

    fn delta(&mut self, delta: &Delta) -> u64 {
        let base = delta.base.as_ref().map(|base| base.digest);
        let key = (delta.summary.in_force.version, base, delta.digest);
        if let Some(size) = self.deltas.get(&key) {
            return *size;
        }
        if self.deltas.len() == KEPT_DELTAS {
            self.deltas.clear();
        }
        let size = 160 + SUMMARY + compressed(delta);
        self.deltas.insert(key, size);
        size
    }
}

/// Bytes of a version's name and digests.
const SUMMARY: u64 = 32 + 2 * 40 + 24;

/// Bytes of a VM in a list: three names, two addresses and a state.
const MEMBER: u64 = 3 * 24 + 2 * 40 + 16;

/// Bytes of a name: a pointer, and the text up to the next word.
fn text(name: &Name) -> u64 {
    8 + (name.as_bytes().len() as u64 + 1).next_multiple_of(8)
}

fn compressed(delta: &Delta) -> u64 {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to a `Vec` can't fail.
    for (id, body) in &delta.changed {
        let _ = encoder.write_all(id.name.as_bytes());
        let _ = encoder.write_all(body);
    }
    for id in &delta.removed {
        let _ = encoder.write_all(id.name.as_bytes());
    }
    encoder.finish().unwrap_or_default().len() as u64
}
