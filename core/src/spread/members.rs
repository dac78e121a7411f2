//! A node's view of the fleet: the platform's VM lists, which may be stale, combined with the
//! states that nodes report about themselves.

use super::limits::{
    LIST_LAG, MAX_FLOORS, MAX_REPORTED_VMS, MAX_REPORTS_PER_PONG, REPORT_REPEAT_PERIOD,
};
use super::message::{ListVersion, StateReport, Summary, ZoneList, ZonesList};
use crate::config::InForce;
use crate::member::{Member, VmState};
use crate::place::Place;
use crate::{Name, Time};
use indexmap::IndexMap;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;

/// The latest state that a node reported about itself, received directly or through other nodes.
#[derive(Debug)]
struct ReportedState {
    report: StateReport,
    at: Time,
    changed: Time,
}

/// Members of the fleet as known to one node.
#[derive(Debug, Default)]
pub struct Members {
    zones: Option<Arc<ZonesList>>,
    lists: IndexMap<Name, Arc<ZoneList>>,
    /// When the listed state of a VM last changed, for VMs whose listed state has changed.
    listed: IndexMap<Name, Time>,
    reports: IndexMap<Name, ReportedState>,
    floors: IndexMap<Name, InForce>,
}

impl Members {
    pub fn zones(&self) -> Option<&Arc<ZonesList>> {
        self.zones.as_ref()
    }

    /// Stores a list of zones if it is newer than the current one. Returns whether it was newer.
    pub fn update_zones(&mut self, zones: Arc<ZonesList>) -> bool {
        let newer = self.zones.as_ref().is_none_or(|held| zones.index > held.index);
        if newer {
            self.zones = Some(zones);
        }
        newer
    }

    pub fn list(&self, zone: &Name) -> Option<&Arc<ZoneList>> {
        self.lists.get(zone)
    }

    pub fn lists(&self) -> impl Iterator<Item = &Arc<ZoneList>> {
        self.lists.values()
    }

    /// Stores the VM list of a zone if it is newer than the current one. Returns whether it was
    /// newer.
    pub fn update_list(&mut self, now: Time, list: Arc<ZoneList>) -> bool {
        let zone = list.place.zone.clone();
        match self.lists.get(&zone) {
            Some(held) if held.index >= list.index => return false,
            Some(held) => {
                let before: IndexMap<&Name, VmState> =
                    held.vms.iter().map(|member| (&member.vm, member.state)).collect();
                for member in &list.vms {
                    let changed = before.get(&member.vm).is_some_and(|s| *s != member.state);
                    if changed {
                        self.listed.insert(member.vm.clone(), now);
                    }
                }
            }
            None => {}
        }
        self.lists.insert(zone, list);
        true
    }

    /// The index of each stored list, plus index zero for each list in `wanted` that is missing.
    pub fn list_versions(&self, wanted: &[Place]) -> Vec<ListVersion> {
        let version_of =
            |list: &Arc<ZoneList>| ListVersion { zone: list.place.zone.clone(), index: list.index };
        let mut versions: Vec<ListVersion> = self.lists().map(version_of).collect();
        for place in wanted {
            if !self.lists.contains_key(&place.zone) {
                versions.push(ListVersion { zone: place.zone.clone(), index: 0 });
            }
        }
        versions
    }

    /// Lists that are newer than `held`, or that belong to `region` and are missing from `held`.
    pub fn newer_lists(&self, held: &[ListVersion], region: &Name) -> Vec<Arc<ZoneList>> {
        let lacks = |list: &&Arc<ZoneList>| match held
            .iter()
            .find(|version| version.zone == list.place.zone)
        {
            Some(version) => version.index < list.index,
            None => list.place.region == *region,
        };
        self.lists().filter(lacks).cloned().collect()
    }

    /// Applies a state that a node reported about its own VM. `direct` means that the report was
    /// received from that node itself. Returns whether the change should be propagated.
    pub fn apply_report(&mut self, now: Time, report: &StateReport, direct: bool) -> bool {
        if let Some(reported) = self.reports.get_mut(&report.vm) {
            let newer = report.supersedes(&reported.report);
            let same = *report == reported.report;
            if newer || (same && direct) {
                reported.at = now;
            }
            let changed = newer && report.state != reported.report.state;
            if newer {
                reported.report = report.clone();
            }
            if changed {
                reported.changed = now;
            }
            return changed;
        }
        let listed = self.find(&report.vm).map_or(VmState::Live, |member| member.state);
        let differs = report.state != listed;
        if !differs && !direct {
            return false;
        }
        if self.reports.len() >= MAX_REPORTED_VMS {
            self.reports.swap_remove_index(0);
        }
        let changed = if differs { now } else { Time::ZERO };
        self.reports
            .insert(report.vm.clone(), ReportedState { report: report.clone(), at: now, changed });
        differs
    }

    /// The report held about a VM, if its node has to supersede that: its own report is older.
    fn superseding_report(&self, own: &StateReport) -> Option<&StateReport> {
        let held = self.reports.get(&own.vm).map(|reported| &reported.report);
        held.filter(|held| held.supersedes(own))
    }

    /// Reports for a node that sent its own one: what it has to supersede, and reports that changed
    /// recently. Limited to the most that one message carries.
    pub fn reports_for(&self, now: Time, own: &StateReport) -> Vec<StateReport> {
        let recent = |reported: &&ReportedState| {
            reported.changed > Time::ZERO && now.since(reported.changed) < REPORT_REPEAT_PERIOD
        };
        let recent = self.reports.values().filter(recent).map(|reported| &reported.report);
        let recent = recent.filter(|report| report.vm != own.vm);
        let reports = self.superseding_report(own).into_iter().chain(recent);
        reports.take(MAX_REPORTS_PER_PONG).cloned().collect()
    }

    /// Effective state of a listed VM.
    ///
    /// A state reported by the node takes precedence over the list, which may be stale. The list
    /// wins only if its state changed after the last report and the last report is older than the
    /// maximum list lag.
    pub fn state(&self, now: Time, member: &Member) -> VmState {
        let Some(reported) = self.reports.get(&member.vm) else { return member.state };
        let listed = self.listed.get(&member.vm).copied().unwrap_or(Time::ZERO);
        if listed > reported.at && now.since(reported.at) > LIST_LAG {
            return member.state;
        }
        reported.report.state
    }

    /// All VMs that are known not to be live.
    pub fn not_live(&self, now: Time) -> IndexMap<Name, VmState> {
        let mut states = IndexMap::new();
        for reported in self.reports.values() {
            if reported.report.state != VmState::Live {
                states.insert(reported.report.vm.clone(), reported.report.state);
            }
        }
        for member in self.lists().flat_map(|list| &list.vms) {
            match self.state(now, member) {
                VmState::Live => states.shift_remove(&member.vm),
                state => states.insert(member.vm.clone(), state),
            };
        }
        states.sort_unstable_keys();
        states
    }

    pub fn find(&self, vm: &Name) -> Option<&Member> {
        self.lists().flat_map(|list| &list.vms).find(|member| member.vm == *vm)
    }

    /// The listed member with this peer address.
    pub fn at(&self, address: SocketAddr) -> Option<&Member> {
        self.lists().flat_map(|list| &list.vms).find(|member| member.peers == address)
    }

    /// A random live VM in `zone`, excluding `own`.
    pub fn random_live(
        &self,
        now: Time,
        zone: &Name,
        own: &Name,
        rng: &mut Pcg64Mcg,
    ) -> Option<&Member> {
        const TRIES: usize = 8;
        let vms = &self.list(zone)?.vms;
        if vms.is_empty() {
            return None;
        }
        let pick = |_| &vms[rng.random_range(0..vms.len())];
        let fits = |member: &&Member| member.vm != *own && self.state(now, member) == VmState::Live;
        (0..TRIES).map(pick).find(fits)
    }

    /// Records the version that a peer has in force.
    pub fn record_floor(&mut self, vm: &Name, have: &Summary) {
        if let Some(floor) = self.floors.get_mut(vm) {
            if have.in_force.replaces(floor) {
                *floor = have.in_force.clone();
            }
            return;
        }
        if self.floors.len() >= MAX_FLOORS {
            self.floors.swap_remove_index(0);
        }
        self.floors.insert(vm.clone(), have.in_force.clone());
    }

    /// The newest version that a peer is known to have had in force.
    pub fn floor_of(&self, vm: &Name) -> Option<&InForce> {
        self.floors.get(vm)
    }
}
