//! Scheduled actions: faults, repairs and operator activity.

use super::platform::Health;
use super::{Fleet, FleetEvent};
use crate::history::Record;
use crate::links::PLATFORM_ZONE;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::member::VmState;
use sycamore_core::spread::PeerMsg;

/// Kind of version that an operator publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublicationKind {
    /// The first version.
    First,
    /// The next version, with one valid change.
    Next,
    /// The next version, with content that fails validation.
    Invalid,
    /// The current version number again with different content, as when two operators publish
    /// concurrently.
    Conflicting,
}

/// An action on the fleet or the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Publish a version.
    Publish(PublicationKind),
    /// Start or restart these processes.
    Start(Vec<usize>),
    /// Kill these processes.
    Kill(Vec<usize>),
    /// Kill every relay and platform reader of a region and restart them after the given time.
    RestartRelays(u16, Duration),
    /// Start every stopped process.
    StartStopped,
    /// Suspend these processes for the given time.
    Pause(Vec<usize>, Duration),
    /// Make a process ignore requests from peers, or answer them again.
    SetUnresponsive(usize, bool),
    /// Make a process send content that does not match its hash, or correct content again.
    SetCorrupting(usize, bool),
    /// Cut the link between two zones, or between a zone and the platform if `None`.
    CutLink(u16, Option<u16>),
    /// Cut the links between a zone and all other zones.
    CutZone(u16),
    /// Cut the links between two regions, or between the zones of one region.
    CutRegions(u16, u16),
    /// Restore all links.
    HealLinks,
    /// Set how the platform responds.
    SetPlatformHealth(Health),
    /// Make the platform serve its state as of this many changes ago.
    RollBackPlatform(u64),
    /// Set the state of these VMs in the platform's VM lists; `None` removes them.
    SetListedState(Vec<usize>, Option<VmState>),
    /// Set the loss (parts per million) and jitter (percent) of all links.
    DegradeLinks(u32, u32),
    /// Record that every running node must hold at least this version now.
    CheckVersion(u64),
    /// Record that every running node must hold the newest valid version now.
    CheckLastValidVersion,
    /// Record, after the given time, that every running node must hold the newest version currently
    /// held by any node.
    CheckAgreementAfter(Duration),
}

impl Fleet {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Publish(kind) => self.publish(kind),
            Action::Start(nodes) => nodes.into_iter().for_each(|node| self.start(node)),
            Action::Kill(nodes) => nodes.into_iter().for_each(|node| self.kill(node)),
            Action::RestartRelays(region, downtime) => {
                let relays = self.relays(Some(region));
                self.schedule(downtime, Action::Start(relays.clone()));
                relays.into_iter().for_each(|node| self.kill(node));
            }
            Action::StartStopped => {
                let stopped = |node: &usize| !self.slots[*node].is_running();
                let nodes: Vec<usize> = (0..self.slots.len()).filter(stopped).collect();
                nodes.into_iter().for_each(|node| self.start(node));
            }
            Action::Pause(nodes, span) => nodes.into_iter().for_each(|n| self.pause(n, span)),
            Action::SetUnresponsive(node, ignores_requests) => {
                self.slots[node].ignores_requests = ignores_requests;
                self.slots[node].last_impaired = self.links.now();
            }
            Action::SetCorrupting(node, corrupts_messages) => {
                self.slots[node].corrupts_messages = corrupts_messages;
                self.slots[node].last_impaired = self.links.now();
            }
            Action::CutLink(zone, other) => self.cut(zone, other.unwrap_or(PLATFORM_ZONE)),
            Action::CutZone(zone) => self.cut_zone(zone),
            Action::CutRegions(a, b) => self.cut_regions(a, b),
            Action::HealLinks => self.links.heal_all(),
            Action::SetPlatformHealth(health) => self.platform.set_health(health),
            Action::RollBackPlatform(changes) => {
                let index = self.platform.index().saturating_sub(changes);
                self.platform.set_health(Health::AsOf(index));
            }
            Action::SetListedState(nodes, state) => self.set_listed_state(&nodes, state),
            Action::DegradeLinks(loss_ppm, jitter_percent) => {
                let profile = self.setup.profile.with_loss_and_jitter(loss_ppm, jitter_percent);
                self.links.set_profile(profile);
            }
            Action::CheckVersion(version) => self.record_due_version(version),
            Action::CheckLastValidVersion => self.record_due_version(self.last_valid_version),
            Action::CheckAgreementAfter(span) => {
                let newest = self.newest_version_in_force();
                self.schedule(span, Action::CheckVersion(newest));
            }
        }
    }

    fn set_listed_state(&mut self, nodes: &[usize], state: Option<VmState>) {
        for node in nodes {
            self.listed_states[*node] = state;
        }
        let mut zones: Vec<u16> = nodes.iter().map(|node| self.site(*node).zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().for_each(|zone| self.publish_list(zone));
        self.answer_watches();
    }

    fn record_due_version(&mut self, version: u64) {
        self.history.push(Record::VersionDue { at: self.links.now(), version });
    }

    fn start(&mut self, node: usize) {
        self.kill(node);
        let start = self.capture_start(node);
        self.slots[node].start(start);
        self.convergence.record_restart(node, self.links.now());
        if self.setup.record_history {
            self.history.push(Record::Started { at: self.links.now(), node });
        }
        self.handle_spread_input(node, sycamore_core::spread::Input::Start);
    }

    fn kill(&mut self, node: usize) {
        if !self.slots[node].is_running() {
            return;
        }
        self.slots[node].stop();
        self.break_calls(node);
        self.convergence.record_restart(node, self.links.now());
        if self.setup.record_history {
            self.history.push(Record::Stopped { at: self.links.now(), node });
        }
        self.platform.drop_watches(|caller| caller.node == node);
    }

    fn pause(&mut self, node: usize, span: Duration) {
        let now = self.links.now();
        if self.slots[node].is_running() {
            self.slots[node].pause(now);
            self.links.after(span, FleetEvent::Resume(node));
        }
    }

    fn cut(&mut self, a: u16, b: u16) {
        let now = self.links.now();
        self.links.cut(a, b);
        for zone in [a, b] {
            if zone != PLATFORM_ZONE {
                self.last_cut[zone as usize] = now;
            }
        }
        if b == PLATFORM_ZONE {
            let size = self.setup.size;
            // The platform drops the watches of cut connections. The callers notice only by
            // timeout.
            self.platform.drop_watches(|caller| size.site(caller.node).zone == a);
        }
    }

    fn cut_zone(&mut self, zone: u16) {
        for other in 0..self.setup.size.zones as u16 {
            if other != zone {
                self.cut(zone, other);
            }
        }
    }

    fn cut_regions(&mut self, a: u16, b: u16) {
        let size = self.setup.size;
        let zones = |region: u16| {
            (0..size.zones as u16).filter(move |zone| size.site_of_zone(*zone).region == region)
        };
        for zone in zones(a) {
            for other in zones(b).filter(|other| *other != zone) {
                self.cut(zone, other);
            }
        }
    }
}

/// Numbers of the nodes in a zone.
pub fn nodes_in_zone(size: &super::workload::Size, zone: u16) -> Vec<usize> {
    (zone as usize..size.nodes).step_by(size.zones).collect()
}

/// Alters a delta so that its content does not match its hash. Other messages are unchanged.
pub fn corrupt(msg: PeerMsg) -> PeerMsg {
    match msg {
        PeerMsg::Delta(delta) => {
            let mut delta = (*delta).clone();
            match delta.changed.first_mut() {
                Some((_, body)) => *body = Bytes::from(body.to_ascii_uppercase()),
                None => delta.removed.clear(),
            }
            PeerMsg::Delta(Arc::new(delta))
        }
        other => other,
    }
}
