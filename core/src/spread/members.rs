//! What a node knows of the fleet's VMs: the platform's lists, which lag, and the nodes' own words.

use super::limits::{LIST_LAG, MAX_FLOORS, MAX_HEARD, MAX_WORDS, WORDS_REPEAT};
use super::message::{ListMark, Summary, Word, ZoneList, ZonesList};
use crate::config::InForce;
use crate::member::{Member, VmState};
use crate::place::Place;
use crate::{Name, Time};
use indexmap::IndexMap;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;

/// A node's own word and when it was last reported, directly or through others.
#[derive(Debug)]
struct ReportedState {
    word: Word,
    at: Time,
    changed: Time,
}

/// Members of the fleet as one node knows them.
#[derive(Debug, Default)]
pub struct Members {
    zones: Option<Arc<ZonesList>>,
    lists: IndexMap<Name, Arc<ZoneList>>,
    /// When the listed state of a VM last changed, for those seen to change.
    listed: IndexMap<Name, Time>,
    reports: IndexMap<Name, ReportedState>,
    floors: IndexMap<Name, InForce>,
}

impl Members {
    /// The list of zones.
    pub fn zones(&self) -> Option<&Arc<ZonesList>> {
        self.zones.as_ref()
    }

    /// Takes a list of zones. Returns whether it was newer.
    pub fn update_zones(&mut self, zones: Arc<ZonesList>) -> bool {
        let newer = self.zones.as_ref().is_none_or(|held| zones.index > held.index);
        if newer {
            self.zones = Some(zones);
        }
        newer
    }

    /// The list of a zone.
    pub fn list(&self, zone: &Name) -> Option<&Arc<ZoneList>> {
        self.lists.get(zone)
    }

    /// Every list held.
    pub fn lists(&self) -> impl Iterator<Item = &Arc<ZoneList>> {
        self.lists.values()
    }

    /// Takes a list of VMs. Returns whether it was newer.
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

    /// Which lists are held, and which are wanted beside them.
    pub fn marks(&self, wanted: &[Place]) -> Vec<ListMark> {
        let mark =
            |list: &Arc<ZoneList>| ListMark { zone: list.place.zone.clone(), index: list.index };
        let mut marks: Vec<ListMark> = self.lists().map(mark).collect();
        for place in wanted {
            if !self.lists.contains_key(&place.zone) {
                marks.push(ListMark { zone: place.zone.clone(), index: 0 });
            }
        }
        marks
    }

    /// The lists that a node in `region` which holds `marks` lacks.
    pub fn newer_lists(&self, marks: &[ListMark], region: &Name) -> Vec<Arc<ZoneList>> {
        let lacks =
            |list: &&Arc<ZoneList>| match marks.iter().find(|mark| mark.zone == list.place.zone) {
                Some(mark) => mark.index < list.index,
                None => list.place.region == *region,
            };
        self.lists().filter(lacks).cloned().collect()
    }

    /// Takes a node's word about its own VM; `direct` if it came from that node itself. Returns
    /// whether anything changed that others should hear of.
    pub fn apply_report(&mut self, now: Time, word: &Word, direct: bool) -> bool {
        if let Some(reported) = self.reports.get_mut(&word.vm) {
            let newer =
                (word.incarnation, word.state) > (reported.word.incarnation, reported.word.state);
            let same = *word == reported.word;
            if newer || (same && direct) {
                reported.at = now;
            }
            let changed = newer && word.state != reported.word.state;
            if newer {
                reported.word = word.clone();
            }
            if changed {
                reported.changed = now;
            }
            return changed;
        }
        let listed = self.find(&word.vm).map_or(VmState::Live, |member| member.state);
        let differs = word.state != listed;
        if !differs && !direct {
            return false;
        }
        if self.reports.len() >= MAX_HEARD {
            self.reports.swap_remove_index(0);
        }
        let changed = if differs { now } else { Time::ZERO };
        self.reports
            .insert(word.vm.clone(), ReportedState { word: word.clone(), at: now, changed });
        differs
    }

    /// Words that changed of late.
    pub fn recent_reports(&self, now: Time) -> Vec<Word> {
        let recent = |reported: &&ReportedState| {
            reported.changed > Time::ZERO && now.since(reported.changed) < WORDS_REPEAT
        };
        self.reports.values().filter(recent).take(MAX_WORDS).map(|h| h.word.clone()).collect()
    }

    /// State of a listed VM.
    ///
    /// A node's own word goes before a list, which lags. The list is believed only if the listed
    /// state changed later and the node has been silent for longer than a list lags.
    pub fn state(&self, now: Time, member: &Member) -> VmState {
        let Some(reported) = self.reports.get(&member.vm) else { return member.state };
        let listed = self.listed.get(&member.vm).copied().unwrap_or(Time::ZERO);
        if listed > reported.at && now.since(reported.at) > LIST_LAG {
            return member.state;
        }
        reported.word.state
    }

    /// Every VM that is known not to be live.
    pub fn not_live(&self, now: Time) -> IndexMap<Name, VmState> {
        let mut states = IndexMap::new();
        for reported in self.reports.values() {
            if reported.word.state != VmState::Live {
                states.insert(reported.word.vm.clone(), reported.word.state);
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

    /// The listed member of this name.
    pub fn find(&self, vm: &Name) -> Option<&Member> {
        self.lists().flat_map(|list| &list.vms).find(|member| member.vm == *vm)
    }

    /// The listed member that takes messages at this address.
    pub fn at(&self, address: SocketAddr) -> Option<&Member> {
        self.lists().flat_map(|list| &list.vms).find(|member| member.peers == address)
    }

    /// A random live VM of a zone other than `own`.
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

    /// Remembers the version that a neighbour has in force.
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

    /// The newest version that a neighbour has confirmed.
    pub fn floor_of(&self, vm: &Name) -> Option<&InForce> {
        self.floors.get(vm)
    }
}
