//! Faults and operators' acts, as a plan that a run carries out.

use super::platform::Health;
use super::{Fleet, Happening};
use crate::history::Record;
use crate::links::PLATFORM_ZONE;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::member::VmState;
use sycamore_core::spread::PeerMsg;

/// What an operator publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edition {
    /// The first version.
    First,
    /// The next version, with one change.
    Change,
    /// The next version, which must be refused.
    Bad,
    /// The last version again with another body: a second operator raced.
    Rival,
}

/// Something done to the fleet or the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// An operator publishes.
    Publish(Edition),
    /// These processes start, or start again.
    Start(Vec<usize>),
    /// These processes are killed.
    Kill(Vec<usize>),
    /// Every relay and reader of a region is killed, and starts again after a while.
    KillRelays(u16, Duration),
    /// Every process that does not run starts.
    StartStopped,
    /// These processes don't run for a while, and then go on.
    Pause(Vec<usize>, Duration),
    /// This process takes questions and never answers, or answers again.
    Silence(usize, bool),
    /// What this process sends does not match its hash, or does again.
    Lie(usize, bool),
    /// No traffic between two zones; `None` stands for the platform.
    Cut(u16, Option<u16>),
    /// No traffic between a zone and every other zone.
    CutZone(u16),
    /// No traffic between two regions, or between the zones of one.
    CutRegions(u16, u16),
    /// Every link works again.
    HealLinks,
    /// The platform behaves so.
    Platform(Health),
    /// The platform answers with a state so many changes ago.
    PlatformBack(u64),
    /// The platform's list says so of these VMs; `None` leaves them out.
    List(Vec<usize>, Option<VmState>),
    /// Links lose so many messages in a million, and delay some.
    Trouble(u32, u32),
    /// Every running node must hold at least this version by now.
    RecordDue(u64),
    /// Every running node must hold the last good version by now.
    DemandLastGood,
    /// Every running node must, a span from now, hold what the newest of them holds now.
    DemandAgreement(Duration),
}

impl Fleet {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Publish(edition) => self.publish(edition),
            Action::Start(nodes) => nodes.into_iter().for_each(|node| self.start(node)),
            Action::Kill(nodes) => nodes.into_iter().for_each(|node| self.kill(node)),
            Action::KillRelays(region, away) => {
                let relays = self.relays(Some(region));
                self.plan(away, Action::Start(relays.clone()));
                relays.into_iter().for_each(|node| self.kill(node));
            }
            Action::StartStopped => {
                let stopped = |node: &usize| !self.slots[*node].is_running();
                let nodes: Vec<usize> = (0..self.slots.len()).filter(stopped).collect();
                nodes.into_iter().for_each(|node| self.start(node));
            }
            Action::Pause(nodes, span) => nodes.into_iter().for_each(|n| self.pause(n, span)),
            Action::Silence(node, silent) => {
                self.slots[node].silent = silent;
                self.slots[node].troubled = self.links.now();
            }
            Action::Lie(node, lies) => {
                self.slots[node].lies = lies;
                self.slots[node].troubled = self.links.now();
            }
            Action::Cut(zone, other) => self.cut(zone, other.unwrap_or(PLATFORM_ZONE)),
            Action::CutZone(zone) => self.cut_zone(zone),
            Action::CutRegions(a, b) => self.cut_regions(a, b),
            Action::HealLinks => self.links.heal_all(),
            Action::Platform(health) => self.platform.set_health(health),
            Action::PlatformBack(changes) => {
                let index = self.platform.index().saturating_sub(changes);
                self.platform.set_health(Health::AsOf(index));
            }
            Action::List(nodes, state) => self.list(&nodes, state),
            Action::Trouble(loss_ppm, jitter_percent) => {
                let profile = self.setup.profile.with_loss_and_jitter(loss_ppm, jitter_percent);
                self.links.set_profile(profile);
            }
            Action::RecordDue(version) => self.record_due(version),
            Action::DemandLastGood => self.record_due(self.last_good),
            Action::DemandAgreement(span) => {
                let newest = self.newest_held();
                self.plan(span, Action::RecordDue(newest));
            }
        }
    }

    fn list(&mut self, nodes: &[usize], state: Option<VmState>) {
        for node in nodes {
            self.listed[*node] = state;
        }
        let mut zones: Vec<u16> = nodes.iter().map(|node| self.site(*node).zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().for_each(|zone| self.publish_list(zone));
        self.answer_watches();
    }

    fn record_due(&mut self, version: u64) {
        self.history.push(Record::Due { at: self.links.now(), version });
    }

    fn start(&mut self, node: usize) {
        self.kill(node);
        let start = self.start_of(node);
        self.slots[node].start(start);
        self.convergence.restarted(node, self.links.now());
        if self.setup.recorded {
            self.history.push(Record::Started { at: self.links.now(), node });
        }
        self.hand_in(node, sycamore_core::spread::Input::Start);
    }

    fn kill(&mut self, node: usize) {
        if !self.slots[node].is_running() {
            return;
        }
        self.slots[node].stop();
        self.break_calls(node);
        self.convergence.restarted(node, self.links.now());
        if self.setup.recorded {
            self.history.push(Record::Stopped { at: self.links.now(), node });
        }
        self.platform.forget(|caller| caller.node == node);
    }

    fn pause(&mut self, node: usize, span: Duration) {
        let now = self.links.now();
        if self.slots[node].is_running() {
            self.slots[node].pause(now);
            self.links.after(span, Happening::Resume(node));
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
            self.platform.forget(|caller| size.site(caller.node).zone == a);
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
            (0..size.zones as u16).filter(move |zone| size.place_of(*zone).region == region)
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
