//! Encodes and decodes peer messages.

use super::payload::{self, PayloadCache};
use super::spread_capnp as wire;
use capnp::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use sycamore_core::Name;
use sycamore_core::call::Note;
use sycamore_core::config::InForce;
use sycamore_core::hash::Hash;
use sycamore_core::member::VmState;
use sycamore_core::place::Place;
use sycamore_core::spread::Peer;
use sycamore_core::spread::message::{
    Base, Delta, ListVersion, PeerMsg, Ping, PingKind, Pong, Pull, StateReport, Summary,
};

type Result<T> = std::result::Result<T, Error>;

/// Cap'n Proto RPC overhead per message: call (112), empty return (72) and finish (40).
const RPC_OVERHEAD_BYTES: u64 = 112 + 72 + 40;

/// Encoded store age of a sender that does not read the store.
const NO_STORE_AGE: u32 = u32::MAX;

fn invalid(what: &str) -> Error {
    Error::failed(format!("peer message contains an invalid {what}"))
}

pub(super) fn read_name(data: &[u8]) -> Result<Name> {
    Name::new(data.to_vec()).ok_or_else(|| invalid("name"))
}

fn read_hash(data: &[u8]) -> Result<Hash> {
    let raw: [u8; 32] = data.try_into().map_err(|_| invalid("hash"))?;
    Ok(Hash::new(raw))
}

/// Encodes the identity of a node.
pub fn write_peer(peer: &Peer, mut to: wire::peer::Builder<'_>) {
    to.set_vm(peer.vm.as_bytes());
    to.set_region(peer.place.region.as_bytes());
    to.set_zone(peer.place.zone.as_bytes());
    to.set_address(peer.address.to_string());
}

/// Decodes the identity of a node.
pub fn read_peer(from: wire::peer::Reader<'_>) -> Result<Peer> {
    let place =
        Place { region: read_name(from.get_region()?)?, zone: read_name(from.get_zone()?)? };
    let text = from.get_address()?.to_str()?;
    let address: SocketAddr = text.parse().map_err(|_| invalid("address"))?;
    Ok(Peer { vm: read_name(from.get_vm()?)?, place, address })
}

/// Encodes a message.
pub fn write(
    msg: &PeerMsg,
    payloads: &mut PayloadCache,
    to: wire::message::Builder<'_>,
) -> Result<()> {
    let mut to = to;
    match msg {
        PeerMsg::Ping(ping) => write_ping(ping, to.init_ping()),
        PeerMsg::Pong(pong) => write_pong(pong, to.init_pong()),
        PeerMsg::Notice(summary) => write_summary(summary, to.init_notice()),
        PeerMsg::Pull(pull) => write_pull(pull, to.init_pull()),
        PeerMsg::Delta(delta) => write_delta(delta, payloads, to.init_delta())?,
        PeerMsg::Missing(version) => to.set_missing(*version),
        PeerMsg::StateReports(reports) => {
            write_reports(reports, to.init_words(reports.len() as u32))
        }
        PeerMsg::Lists(lists) => {
            let mut to = to.init_lists(lists.len() as u32);
            for (index, list) in lists.iter().enumerate() {
                let mut to = to.reborrow().get(index as u32);
                to.set_region(list.place.region.as_bytes());
                to.set_zone(list.place.zone.as_bytes());
                to.set_index(list.index);
                to.set_vms(&payloads.list(list)?);
            }
        }
        PeerMsg::Zones(zones) => {
            let mut to = to.init_zones();
            to.set_index(zones.index);
            to.set_zones(&payload::encode_zones(zones)?);
        }
        PeerMsg::Note(note) => {
            let json = serde_json::to_vec(note).map_err(|e| Error::failed(e.to_string()))?;
            to.set_note(&json);
        }
    }
    Ok(())
}

/// Encoded size of a message in bytes, including the Cap'n Proto RPC overhead.
pub fn size(msg: &PeerMsg, payloads: &mut PayloadCache) -> Result<u64> {
    let mut message = capnp::message::Builder::new_default();
    write(msg, payloads, message.init_root())?;
    Ok(RPC_OVERHEAD_BYTES + (message.size_in_words() * size_of::<capnp::Word>()) as u64)
}

/// Decodes a message.
pub fn read(from: wire::message::Reader<'_>) -> Result<PeerMsg> {
    use wire::message::Which;
    Ok(match from.which()? {
        Which::Ping(ping) => PeerMsg::Ping(Box::new(read_ping(ping?)?)),
        Which::Pong(pong) => PeerMsg::Pong(Box::new(read_pong(pong?)?)),
        Which::Notice(summary) => PeerMsg::Notice(Box::new(read_summary(summary?)?)),
        Which::Pull(pull) => PeerMsg::Pull(Box::new(read_pull(pull?)?)),
        Which::Delta(delta) => PeerMsg::Delta(Arc::new(read_delta(delta?)?)),
        Which::Missing(version) => PeerMsg::Missing(version),
        Which::Words(reports) => PeerMsg::StateReports(read_reports(reports?)?),
        Which::Lists(lists) => {
            let lists = lists?.iter().map(read_list).collect::<Result<Vec<_>>>()?;
            PeerMsg::Lists(lists)
        }
        Which::Zones(zones) => {
            let zones = zones?;
            let list = payload::decode_zones(zones.get_index(), zones.get_zones()?)?;
            PeerMsg::Zones(Arc::new(list))
        }
        Which::Note(note) => {
            let note: Note =
                serde_json::from_slice(note?).map_err(|e| Error::failed(e.to_string()))?;
            PeerMsg::Note(note)
        }
    })
}

fn read_list(from: wire::zone_list::Reader<'_>) -> Result<Arc<payload::ZoneList>> {
    let place =
        Place { region: read_name(from.get_region()?)?, zone: read_name(from.get_zone()?)? };
    Ok(Arc::new(payload::decode_list(place, from.get_index(), from.get_vms()?)?))
}

fn write_in_force(in_force: &InForce, mut to: wire::in_force::Builder<'_>) {
    to.set_version(in_force.version);
    to.set_preset(in_force.preset.as_bytes());
    to.set_digest(in_force.digest.as_bytes());
}

fn read_in_force(from: wire::in_force::Reader<'_>) -> Result<InForce> {
    Ok(InForce {
        version: from.get_version(),
        preset: read_name(from.get_preset()?)?,
        digest: read_hash(from.get_digest()?)?,
    })
}

fn write_summary(summary: &Summary, mut to: wire::summary::Builder<'_>) {
    to.set_whole(summary.manifest_digest.as_bytes());
    to.set_store_age(summary.store_age_ms.unwrap_or(NO_STORE_AGE));
    to.set_store_revision(summary.store_revision);
    write_in_force(&summary.in_force, to.init_in_force());
}

fn read_summary(from: wire::summary::Reader<'_>) -> Result<Summary> {
    Ok(Summary {
        in_force: read_in_force(from.get_in_force()?)?,
        manifest_digest: read_hash(from.get_whole()?)?,
        store_age_ms: Some(from.get_store_age()).filter(|age| *age != NO_STORE_AGE),
        store_revision: from.get_store_revision(),
    })
}

fn write_report(report: &StateReport, mut to: wire::word::Builder<'_>) {
    to.set_vm(report.vm.as_bytes());
    to.set_incarnation(report.incarnation);
    to.set_state(match report.state {
        VmState::Live => wire::State::Live,
        VmState::Leaving => wire::State::Leaving,
        VmState::Gone => wire::State::Gone,
    });
}

fn read_report(from: wire::word::Reader<'_>) -> Result<StateReport> {
    let state = match from.get_state()? {
        wire::State::Live => VmState::Live,
        wire::State::Leaving => VmState::Leaving,
        wire::State::Gone => VmState::Gone,
    };
    Ok(StateReport { vm: read_name(from.get_vm()?)?, incarnation: from.get_incarnation(), state })
}

fn write_reports(
    reports: &[StateReport],
    mut to: capnp::struct_list::Builder<'_, wire::word::Owned>,
) {
    for (index, report) in reports.iter().enumerate() {
        write_report(report, to.reborrow().get(index as u32));
    }
}

fn read_reports(
    from: capnp::struct_list::Reader<'_, wire::word::Owned>,
) -> Result<Vec<StateReport>> {
    from.iter().map(read_report).collect()
}

fn write_ping(ping: &Ping, mut to: wire::ping::Builder<'_>) {
    to.set_seq(ping.seq);
    to.set_zones(ping.zones);
    to.set_ask(match ping.kind {
        PingKind::Join => wire::Ask::Join,
        PingKind::Attach => wire::Ask::Attach,
        PingKind::Compare => wire::Ask::Compare,
    });
    write_report(&ping.report, to.reborrow().init_word());
    if let Some(have) = &ping.have {
        write_summary(have, to.reborrow().init_have());
    }
    if let Some(versions) = &ping.lists {
        let mut lists = to.init_lists(versions.len() as u32);
        for (index, version) in versions.iter().enumerate() {
            let mut to = lists.reborrow().get(index as u32);
            to.set_zone(version.zone.as_bytes());
            to.set_index(version.index);
        }
    }
}

fn read_ping(from: wire::ping::Reader<'_>) -> Result<Ping> {
    let kind = match from.get_ask()? {
        wire::Ask::Join => PingKind::Join,
        wire::Ask::Attach => PingKind::Attach,
        wire::Ask::Compare => PingKind::Compare,
    };
    let have = if from.has_have() { Some(read_summary(from.get_have()?)?) } else { None };
    let version = |version: wire::list_mark::Reader<'_>| {
        Ok(ListVersion { zone: read_name(version.get_zone()?)?, index: version.get_index() })
    };
    let lists = if from.has_lists() {
        Some(from.get_lists()?.iter().map(version).collect::<Result<Vec<_>>>()?)
    } else {
        None
    };
    Ok(Ping {
        seq: from.get_seq(),
        kind,
        report: read_report(from.get_word()?)?,
        have,
        zones: from.get_zones(),
        lists,
    })
}

fn write_pong(pong: &Pong, mut to: wire::pong::Builder<'_>) {
    to.set_seq(pong.seq);
    to.set_attached(pong.attached);
    to.set_hops(pong.hops);
    write_report(&pong.report, to.reborrow().init_word());
    if let Some(have) = &pong.have {
        write_summary(have, to.reborrow().init_have());
    }
    if let Some(floor) = &pong.floor {
        write_in_force(floor, to.reborrow().init_floor());
    }
    write_reports(&pong.reports, to.init_words(pong.reports.len() as u32));
}

fn read_pong(from: wire::pong::Reader<'_>) -> Result<Pong> {
    let have = if from.has_have() { Some(read_summary(from.get_have()?)?) } else { None };
    let floor = if from.has_floor() { Some(read_in_force(from.get_floor()?)?) } else { None };
    Ok(Pong {
        seq: from.get_seq(),
        attached: from.get_attached(),
        hops: from.get_hops(),
        report: read_report(from.get_word()?)?,
        have,
        floor,
        reports: read_reports(from.get_words()?)?,
    })
}

fn write_base(base: &Base, mut to: wire::base::Builder<'_>) {
    to.set_version(base.version);
    to.set_digest(base.digest.as_bytes());
}

fn read_base(from: wire::base::Reader<'_>) -> Result<Base> {
    Ok(Base { version: from.get_version(), digest: read_hash(from.get_digest()?)? })
}

fn write_pull(pull: &Pull, mut to: wire::pull::Builder<'_>) {
    to.set_version(pull.version);
    if let Some(base) = &pull.base {
        write_base(base, to.reborrow().init_base());
    }
    if let Some(scope) = &pull.scope {
        let mut to = to.init_scope(scope.len() as u32);
        for (index, service) in scope.iter().enumerate() {
            to.set(index as u32, service.as_bytes());
        }
    }
}

fn read_pull(from: wire::pull::Reader<'_>) -> Result<Pull> {
    let base = if from.has_base() { Some(read_base(from.get_base()?)?) } else { None };
    let scope = if from.has_scope() {
        let names = from.get_scope()?.iter().map(|name| read_name(name?));
        Some(names.collect::<Result<Vec<_>>>()?)
    } else {
        None
    };
    Ok(Pull { version: from.get_version(), base, scope })
}

fn write_delta(
    delta: &Arc<Delta>,
    payloads: &mut PayloadCache,
    mut to: wire::delta::Builder<'_>,
) -> Result<()> {
    write_summary(&delta.summary, to.reborrow().init_summary());
    if let Some(base) = &delta.base {
        write_base(base, to.reborrow().init_base());
    }
    to.set_digest(delta.digest.as_bytes());
    to.set_changes(&payloads.changes(delta)?);
    Ok(())
}

fn read_delta(from: wire::delta::Reader<'_>) -> Result<Delta> {
    let base = if from.has_base() { Some(read_base(from.get_base()?)?) } else { None };
    let (changed, removed) = payload::decode_changes(from.get_changes()?)?;
    Ok(Delta {
        summary: read_summary(from.get_summary()?)?,
        base,
        changed,
        removed,
        digest: read_hash(from.get_digest()?)?,
    })
}
