//! What a node that has just started asks its peers until it has read the store or follows a
//! reader.
//!
//! A node keeps nothing over its end, but its peers still hold the version in force and the
//! targets.

use super::port::{Publication, TargetEntry, TargetState};
use crate::config::document::Target;
use crate::config::{Preset, ResourceId, Snapshot, resource, validate};
use crate::hash::Hash;
use crate::spread::message::{Delta, PeerMsg, Pull, Summary};
use crate::{Code, Fault, Name, Result, Time};
use bytes::Bytes;
use indexmap::IndexMap;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two questions, up to a quarter longer by chance. Peers may be starting themselves.
const PAUSE: Duration = Duration::from_millis(200);

/// Pause after a peer has told everything: who reads the store speaks by itself then.
const PAUSE_INFORMED: Duration = Duration::from_secs(2);

/// The questions of a node after its start.
#[derive(Debug)]
pub struct Rejoin {
    next: Option<Time>,
    asked: usize,
}

impl Rejoin {
    /// Asks nothing.
    pub fn new() -> Rejoin {
        Rejoin { next: None, asked: 0 }
    }

    /// The node has started.
    pub fn start(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        self.next = Some(now);
        self.asked = rng.random_range(0..usize::from(u8::MAX));
    }

    /// The store has told everything.
    pub fn stop(&mut self) {
        self.next = None;
    }

    /// A peer has told everything.
    pub fn told_by_peer(&mut self, now: Time) {
        self.next = self.next.map(|next| next.max(now + PAUSE_INFORMED));
    }

    /// When the next question is due.
    pub fn wake_at(&self) -> Option<Time> {
        self.next
    }

    /// Whom to ask now: one seed after the other, since each answers with everything.
    pub fn question_for(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        rng: &mut Pcg64Mcg,
    ) -> Option<SocketAddr> {
        if self.next.is_none_or(|next| next > now) {
            return None;
        }
        self.next = Some(now + PAUSE * rng.random_range(100..=125) / 100);
        self.asked += 1;
        seeds.get(self.asked % seeds.len().max(1)).copied()
    }
}

/// Asks for all that a peer holds.
pub fn question(held: Option<u64>) -> PeerMsg {
    let version = held.unwrap_or(0);
    PeerMsg::Pull(Box::new(Pull { version, base: None, scope: None }))
}

/// Everything that a snapshot holds, as one message.
pub fn whole(snapshot: &Snapshot) -> PeerMsg {
    let resources = resource::split_preset(&snapshot.to_preset());
    let digest = resource::manifest(&resources).digest();
    let summary = Summary {
        in_force: snapshot.in_force.clone(),
        manifest_digest: digest,
        store_age_ms: None,
    };
    let changed = resources.into_iter().map(|(id, resource)| (id, resource.body)).collect();
    PeerMsg::Delta(Arc::new(Delta { summary, base: None, changed, removed: Vec::new(), digest }))
}

/// Reads a peer's answer: the version without its targets, and the targets.
pub fn read(delta: &Delta) -> Result<(Publication, Vec<(Name, TargetEntry)>)> {
    let preset = Snapshot::assemble_preset(&delta.summary.in_force.preset, &resources(delta)?)?;
    let mut entries = Vec::new();
    for (service, content) in &preset.services {
        let targets = content.targets.iter();
        entries.extend(targets.map(|target| (target.vm.clone(), entry(service, target))));
    }
    let preset = without_targets(preset);
    validate::preset_without_targets(&preset)?;
    Ok((Publication { version: delta.summary.in_force.version, preset }, entries))
}

/// The whole must match its digest.
fn resources(delta: &Delta) -> Result<IndexMap<ResourceId, resource::Resource>> {
    let content =
        |(id, body): &(ResourceId, Bytes)| (id.clone(), resource::Resource::new(body.clone()));
    let resources: IndexMap<_, _> = delta.changed.iter().map(content).collect();
    let digest: Hash = resource::manifest(&resources).digest();
    if digest != delta.digest {
        return Err(Fault::new(Code::PeerHashMismatch));
    }
    Ok(resources)
}

/// The entry of a target as another node lists it.
pub fn entry(service: &Name, target: &Target) -> TargetEntry {
    TargetEntry {
        service: service.clone(),
        // Only its IP counts: the ports of nodes are the same everywhere.
        address: target.gate,
        place: target.place(),
        slots: target.slots.unwrap_or(1),
        state: if target.leaving { TargetState::Draining } else { TargetState::Ready },
        // Older than whatever the target itself writes next.
        started_ms: 0,
        sequence: 0,
    }
}

fn without_targets(mut preset: Preset) -> Preset {
    for service in preset.services.values_mut() {
        service.targets.clear();
    }
    preset
}
