//! Codec of peer messages: round trips, and robustness against corrupted and random input.

use capnp::message::{Builder, Reader, ReaderOptions};
use capnp::serialize::{OwnedSegments, read_message_from_flat_slice, write_message_to_words};
use flate2::Compression;
use flate2::read::DeflateEncoder;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use std::io::Read;
use std::sync::Arc;
use sycamore_core::Name;
use sycamore_core::call::{Fingerprint, Note};
use sycamore_core::config::{InForce, ResourceId, ResourceKind};
use sycamore_core::hash::Hash;
use sycamore_core::member::{Member, VmState};
use sycamore_core::place::Place;
use sycamore_core::spread::PeerMsg;
use sycamore_core::spread::message::{
    Base, Delta, ListVersion, Ping, PingKind, Pong, Pull, StateReport, Summary, ZoneList, ZonesList,
};
use sycamore_node::spread::codec;
use sycamore_node::spread::payload::{MAX_DECOMPRESSED_BYTES, PayloadCache, decode_list};

fn name() -> impl Strategy<Value = Name> {
    "[!-~]{1,12}".prop_map(|text| Name::new(text).unwrap())
}

fn hash() -> impl Strategy<Value = Hash> {
    any::<[u8; 32]>().prop_map(Hash::new)
}

fn place() -> impl Strategy<Value = Place> {
    (name(), name()).prop_map(|(region, zone)| Place { region, zone })
}

fn state() -> impl Strategy<Value = VmState> {
    prop::sample::select(vec![VmState::Live, VmState::Leaving, VmState::Gone])
}

fn in_force() -> impl Strategy<Value = InForce> {
    (any::<u64>(), name(), hash()).prop_map(|(version, preset, digest)| InForce {
        version,
        preset,
        digest,
    })
}

fn summary() -> impl Strategy<Value = Summary> {
    (in_force(), hash(), proptest::option::of(0..u32::MAX), any::<u64>()).prop_map(
        |(in_force, manifest_digest, store_age_ms, store_revision)| Summary {
            in_force,
            manifest_digest,
            store_age_ms,
            store_revision,
        },
    )
}

fn report() -> impl Strategy<Value = StateReport> {
    (name(), any::<u64>(), state()).prop_map(|(vm, incarnation, state)| StateReport {
        vm,
        incarnation,
        state,
    })
}

fn base() -> impl Strategy<Value = Base> {
    (any::<u64>(), hash()).prop_map(|(version, digest)| Base { version, digest })
}

fn member() -> impl Strategy<Value = Member> {
    (name(), place(), any::<[u16; 2]>(), state()).prop_map(|(vm, place, ports, state)| Member {
        vm,
        region: place.region,
        zone: place.zone,
        peers: ([127, 0, 0, 1], ports[0]).into(),
        admin: ([127, 0, 0, 1], ports[1]).into(),
        state,
    })
}

fn resource() -> impl Strategy<Value = ResourceId> {
    let kinds = vec![ResourceKind::Service, ResourceKind::Targets, ResourceKind::Route];
    (prop::sample::select(kinds), name()).prop_map(|(kind, name)| ResourceId { kind, name })
}

fn ping() -> impl Strategy<Value = PeerMsg> {
    let kind = prop::sample::select(vec![PingKind::Join, PingKind::Attach, PingKind::Compare]);
    let list_version = (name(), any::<u64>()).prop_map(|(zone, index)| ListVersion { zone, index });
    let lists = option::of(vec(list_version, 0..4));
    (any::<u32>(), kind, report(), option::of(summary()), any::<u64>(), lists).prop_map(
        |(seq, kind, report, have, zones, lists)| {
            PeerMsg::Ping(Box::new(Ping { seq, kind, report, have, zones, lists }))
        },
    )
}

fn pong() -> impl Strategy<Value = PeerMsg> {
    let head = (any::<u32>(), any::<bool>(), any::<u8>(), report());
    (head, option::of(summary()), option::of(in_force()), vec(report(), 0..4)).prop_map(
        |((seq, attached, hops, report), have, floor, reports)| {
            PeerMsg::Pong(Box::new(Pong { seq, attached, hops, report, have, floor, reports }))
        },
    )
}

fn delta() -> impl Strategy<Value = PeerMsg> {
    let body = vec(any::<u8>(), 0..200).prop_map(bytes::Bytes::from);
    let changed = vec((resource(), body), 0..4);
    (summary(), option::of(base()), changed, vec(resource(), 0..4), hash()).prop_map(
        |(summary, base, changed, removed, digest)| {
            PeerMsg::Delta(Arc::new(Delta { summary, base, changed, removed, digest }))
        },
    )
}

fn message() -> impl Strategy<Value = PeerMsg> {
    let list = (place(), any::<u64>(), vec(member(), 0..4))
        .prop_map(|(place, index, vms)| Arc::new(ZoneList { place, index, vms }));
    let zones = (any::<u64>(), vec(place(), 0..4))
        .prop_map(|(index, zones)| PeerMsg::Zones(Arc::new(ZonesList { index, zones })));
    let pull = (any::<u64>(), option::of(base()), option::of(vec(name(), 0..4)))
        .prop_map(|(version, base, scope)| PeerMsg::Pull(Box::new(Pull { version, base, scope })));
    let note = (any::<u64>(), vec(any::<u64>().prop_map(Fingerprint), 0..4))
        .prop_map(|(crash, fingerprints)| PeerMsg::Note(Note::Suspect { crash, fingerprints }));
    prop_oneof![
        ping(),
        pong(),
        delta(),
        zones,
        pull,
        note,
        summary().prop_map(|summary| PeerMsg::Notice(Box::new(summary))),
        any::<u64>().prop_map(PeerMsg::Missing),
        vec(report(), 0..4).prop_map(PeerMsg::StateReports),
        vec(list, 0..3).prop_map(PeerMsg::Lists),
    ]
}

fn encode(msg: &PeerMsg) -> Vec<u8> {
    let mut message = Builder::new_default();
    codec::write(msg, &mut PayloadCache::default(), message.init_root()).unwrap();
    write_message_to_words(&message)
}

fn decode(raw: &[u8]) -> capnp::Result<PeerMsg> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(1 << 20));
    let message = capnp::serialize::read_message(raw, options)?;
    read(&message)
}

fn read(message: &Reader<OwnedSegments>) -> capnp::Result<PeerMsg> {
    codec::read(message.get_root()?)
}

fn compress(raw: impl Read) -> Vec<u8> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(raw, Compression::fast()).read_to_end(&mut compressed).unwrap();
    compressed
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn message_written_and_read(msg in message()) {
        prop_assert_eq!(decode(&encode(&msg)).unwrap(), msg);
    }

    /// Guards against a corrupted message that crashes the node or is accepted in part.
    #[test]
    fn message_mutated(
        msg in message(),
        flips in vec((any::<prop::sample::Index>(), 1u8..=255), 1..8),
        length in any::<prop::sample::Index>(),
        cut in any::<bool>(),
    ) {
        let mut raw = encode(&msg);
        for (at, flip) in flips {
            let at = at.index(raw.len());
            raw[at] ^= flip;
        }
        raw.truncate(if cut { length.index(raw.len()) } else { raw.len() });
        // A message that still decodes must survive a round trip.
        if let Ok(read) = decode(&raw) {
            prop_assert_eq!(decode(&encode(&read)).unwrap(), read);
        }
    }

    #[test]
    fn message_random_bytes(raw in vec(any::<u8>(), 0..600), segments in 0u32..2) {
        // A matching segment table gets the input past the framing check.
        let words = raw.len() as u32 / 8;
        let mut framed = [segments, words].map(u32::to_le_bytes).concat();
        framed.extend_from_slice(&raw);
        let _ = decode(&framed);
        let _ = decode(&raw);
        let mut rest = &raw[..];
        let _ = read_message_from_flat_slice(&mut rest, ReaderOptions::new());
    }

    /// Payloads are compressed, so random bytes are fed both to the decompressor and, compressed,
    /// to the decoder behind it.
    #[test]
    fn content_random_bytes(raw in vec(any::<u8>(), 0..600)) {
        let place = Place { region: Name::new("r").unwrap(), zone: Name::new("z").unwrap() };
        let _ = decode_list(place.clone(), 1, &raw);
        let _ = decode_list(place, 1, &compress(&raw[..]));
        let _ = sycamore_node::spread::payload::decode_changes(&raw);
        let _ = sycamore_node::spread::payload::decode_changes(&compress(&raw[..]));
    }
}

#[test]
fn content_larger_than_allowed() {
    // Guards against decompression bombs.
    let compressed = compress(std::io::repeat(b' ').take(MAX_DECOMPRESSED_BYTES + 1));
    assert!(compressed.len() < 1 << 20, "{} bytes", compressed.len());
    let place = Place { region: Name::new("r").unwrap(), zone: Name::new("z").unwrap() };
    let error = decode_list(place, 1, &compressed).unwrap_err();
    assert!(error.to_string().contains("too large"), "{error}");
}
