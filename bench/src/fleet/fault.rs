//! Faults and operators' acts, as a plan that a run carries out.

use super::platform::Health;
use super::{Fleet, FleetEvent};
use crate::history::Record;
use crate::links::PLATFORM_ZONE;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::member::VmState;
use sycamore_core::spread::PeerMsg;

/// What an operator publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublicationKind {
    /// The first version.
    First,
    /// The next version, with one change.
    Next,
    /// The next version, which must be refused.
    Invalid,
    /// The last version again with another body: a second operator raced.
    Conflicting,
}

/// Something done to the fleet or the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// An operator publishes.
    Publish(PublicationKind),
    /// These processes start, or start again.
    Start(Vec<usize>),
    /// These processes are killed.
    Kill(Vec<usize>),
    /// Every relay and reader of a region is killed, and starts again after a while.
    RestartRelays(u16, Duration),
    /// Every process that does not run starts.
    StartStopped,
    /// These processes don't run for a while, and then go on.
    Pause(Vec<usize>, Duration),
    /// This process takes questions and never answers, or answers again.
    SetUnresponsive(usize, bool),
    /// What this process sends does not match its hash, or does again.
    SetCorrupting(usize, bool),
    /// No traffic between two zones; `None` stands for the platform.
    CutLink(u16, Option<u16>),
    /// No traffic between a zone and every other zone.
    CutZone(u16),
    /// No traffic between two regions, or between the zones of one.
    CutRegions(u16, u16),
    /// Every link works again.
    HealLinks,
    /// The platform behaves so.
    SetPlatformHealth(Health),
    /// The platform answers with a state so many changes ago.
    RollBackPlatform(u64),
    /// The platform's list says so of these VMs; `None` leaves them out.
    SetListedState(Vec<usize>, Option<VmState>),
    /// Links lose so many messages in a million, and delay some.
    DegradeLinks(u32, u32),
    /// Every running node must hold at least this version by now.
    CheckVersion(u64),
    /// Every running node must hold the last good version by now.
    CheckLastValidVersion,
    /// Every running node must, a span from now, hold what the newest of them holds now.
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
                let profile = self.setup.profile.with_trouble(loss_ppm, jitter_percent);
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
            // A connection that is cut is given up by the platform; its caller only times out.
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

/// Every number of a fleet's nodes in a zone.
pub fn nodes_in_zone(size: &super::workload::Size, zone: u16) -> Vec<usize> {
    (zone as usize..size.nodes).step_by(size.zones).collect()
}

/// The message as a peer with broken memory sends it: content that does not match its hash.
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
