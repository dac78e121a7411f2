//! Recovery of the state from peers after a start, until this node has read the store or follows a
//! reader.
//!
//! A node persists nothing, but its peers still hold the current version and targets.

use super::port::{Publication, TargetEntry, TargetState};
use super::relay::CACHED_DELTA_TTL;
use crate::config::document::Target;
use crate::config::{Preset, ResourceId, Snapshot, resource, validate};
use crate::hash::Hash;
use crate::spread::message::{Delta, PeerMsg, Pull, StoreMark, Summary};
use crate::{Code, Fault, Name, Result, Time};
use bytes::Bytes;
use indexmap::IndexMap;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between requests, plus up to 25 % jitter. Peers may be starting too.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a peer has sent the full state, or a stale list has been read: from then on, a reader
/// announces itself.
const INFORMED_PULL_DELAY: Duration = Duration::from_secs(3);

/// Schedule of the requests to seeds after a start.
#[derive(Debug)]
pub struct Rejoin {
    next_pull_at: Option<Time>,
    seed_index: usize,
}

impl Rejoin {
    pub fn new() -> Rejoin {
        Rejoin { next_pull_at: None, seed_index: 0 }
    }

    /// Schedules the first request, to a random seed.
    pub fn start(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        self.next_pull_at = Some(now);
        self.seed_index = rng.random_range(0..usize::from(u8::MAX));
    }

    /// Cancels further requests: the state is known from the store or a reader.
    pub fn stop(&mut self) {
        self.next_pull_at = None;
    }

    /// Leaves time for a reader to announce itself.
    pub fn postpone(&mut self, now: Time) {
        self.next_pull_at = self.next_pull_at.map(|next| next.max(now + INFORMED_PULL_DELAY));
    }

    pub fn wake_at(&self) -> Option<Time> {
        self.next_pull_at
    }

    /// Returns the seed to ask now, if a request is due. Seeds are asked in turn, since each one
    /// replies with the full state.
    pub fn next_seed(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        rng: &mut Pcg64Mcg,
    ) -> Option<SocketAddr> {
        if self.next_pull_at.is_none_or(|next| next > now) {
            return None;
        }
        self.next_pull_at = Some(now + PULL_INTERVAL * rng.random_range(100..=125) / 100);
        self.seed_index += 1;
        seeds.get(self.seed_index % seeds.len().max(1)).copied()
    }
}

/// Request for the full state of a peer.
pub fn full_state_request(held: Option<u64>) -> PeerMsg {
    let version = held.unwrap_or(0);
    PeerMsg::Pull(Box::new(Pull { version, base: None, scope: None }))
}

/// Full state of a node, built once, and encoded once for peers that request it together.
#[derive(Debug)]
pub struct FullState {
    content: Delta,
    // The last message, and when it was made.
    sent: Option<(Time, Arc<Delta>)>,
}

impl FullState {
    pub fn new(snapshot: &Snapshot) -> FullState {
        FullState { content: full_state(snapshot), sent: None }
    }

    /// Message with this state.
    pub fn message(&mut self, now: Time, mark: StoreMark) -> Arc<Delta> {
        let recent = |(at, _): &(Time, _)| now.since(*at) < CACHED_DELTA_TTL;
        let (at, msg) = self.sent.take().filter(recent).unwrap_or_else(|| {
            let mut msg = self.content.clone();
            msg.summary.set_store_mark(mark);
            (now, Arc::new(msg))
        });
        self.sent = Some((at, msg.clone()));
        msg
    }
}

/// The full state of a snapshot, of unknown age.
fn full_state(snapshot: &Snapshot) -> Delta {
    let resources = resource::split_preset(&snapshot.to_preset());
    let digest = resource::manifest(&resources).digest();
    let in_force = snapshot.in_force.clone();
    let summary =
        Summary { in_force, manifest_digest: digest, store_age_ms: None, store_revision: 0 };
    let changed = resources.into_iter().map(|(id, resource)| (id, resource.body)).collect();
    Delta { summary, base: None, changed, removed: Vec::new(), digest }
}

/// Parses a full state into the version without targets and the target entries.
pub fn parse_full_state(delta: &Delta) -> Result<(Publication, Vec<(Name, TargetEntry)>)> {
    let revision = delta.summary.store_revision;
    let preset =
        Snapshot::assemble_preset(&delta.summary.in_force.preset, &verified_resources(delta)?)?;
    let mut entries = Vec::new();
    for (service, content) in &preset.services {
        let targets = content.targets.iter();
        let entry = |target: &Target| (target.vm.clone(), target_entry(service, target, revision));
        entries.extend(targets.map(entry));
    }
    let preset = without_targets(preset);
    validate::preset_without_targets(&preset)?;
    Ok((Publication { version: delta.summary.in_force.version, preset }, entries))
}

/// Fails if the resources do not match their digest.
fn verified_resources(delta: &Delta) -> Result<IndexMap<ResourceId, resource::Resource>> {
    let content =
        |(id, body): &(ResourceId, Bytes)| (id.clone(), resource::Resource::new(body.clone()));
    let resources: IndexMap<_, _> = delta.changed.iter().map(content).collect();
    let digest: Hash = resource::manifest(&resources).digest();
    if digest != delta.digest {
        return Err(Fault::new(Code::PeerHashMismatch));
    }
    Ok(resources)
}

/// Converts a target listed by another node, which knew all targets up to `revision`, into an entry.
pub fn target_entry(service: &Name, target: &Target, revision: u64) -> TargetEntry {
    TargetEntry {
        service: service.clone(),
        // Only the IP is used; node ports are the same everywhere.
        address: target.gate,
        place: target.place(),
        slots: target.slots.unwrap_or(1),
        state: if target.leaving { TargetState::Draining } else { TargetState::Ready },
        started_ms: target.started_ms.unwrap_or(0),
        revision,
        cold: target.cold,
        evacuated: target.evacuated,
    }
}

fn without_targets(mut preset: Preset) -> Preset {
    for service in preset.services.values_mut() {
        service.targets.clear();
    }
    preset
}
