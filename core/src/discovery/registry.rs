//! Registry of targets, built from the entries that they write to the store.

use super::port::{Change, Config, Publication, TargetEntry, TargetState};
use super::progress::EntryState;
use crate::config::Target;
use crate::{Name, Time};
use indexmap::IndexMap;
use std::collections::{BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// How long missing entries are retained after the store has recovered. Entries expire during an
/// outage, and live targets rewrite theirs within about two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_100);

/// Failures for longer than this count as an outage. A single failed call, such as an interrupted
/// watch, does not mean that entries have expired.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<Name, KnownTarget>,
    evacuated_zones: BTreeSet<Name>,
    // Revision of the store up to which all entries are known; 0 if unknown.
    revision: u64,
    failing_since: Option<Time>,
    // When the store responded again after an outage.
    recovered_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    missing: bool,
}

/// Target together with its service.
#[derive(Clone, Debug)]
pub struct ServiceTarget {
    pub service: Name,
    pub target: Target,
}

impl Registry {
    pub fn new() -> Registry {
        Registry::default()
    }

    /// Revision of the store up to which all targets are known; 0 if unknown.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that all targets are known up to this revision of the store.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Records a call without a response. The store may have been failing since `since`.
    pub fn on_store_failure(&mut self, now: Time, since: Time) {
        self.failing_since.get_or_insert(since);
        let outage = self.failing_since.is_some_and(|since| now.since(since) >= OUTAGE_THRESHOLD);
        if outage {
            self.recovered_at = None;
        }
    }

    /// Records a successful store call.
    pub fn on_store_success(&mut self, now: Time) {
        let outage =
            self.failing_since.take().is_some_and(|since| now.since(since) >= OUTAGE_THRESHOLD);
        if outage {
            self.recovered_at = Some(now);
        }
    }

    /// Applies changes. Returns whether any target changed.
    pub fn apply_changes(&mut self, now: Time, changes: Vec<Change>) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Target { id, entry: Some(entry) } if entry.is_plausible() => {
                    self.upsert(id, entry)
                }
                // A malformed entry removes the target.
                Change::Target { id, .. } => self.entries.shift_remove(&id).is_some(),
                Change::Removed { id } => self.remove(now, &id),
                Change::Evacuation { zone, active: true } => self.evacuated_zones.insert(zone),
                Change::Evacuation { zone, active: false } => self.evacuated_zones.remove(&zone),
                Change::Published(_) => false,
            };
        }
        changed
    }

    /// Applies a complete list; known targets that it lacks count as removed. Returns whether any
    /// target changed.
    pub fn apply_list(&mut self, now: Time, changes: Vec<Change>) -> bool {
        let changed = self.apply_evacuations(&changes);
        self.apply_targets(now, changes) || changed
    }

    /// Applies all targets of a list; known targets that it lacks count as removed. Returns whether
    /// any target changed.
    pub fn apply_targets(&mut self, now: Time, changes: Vec<Change>) -> bool {
        let listed: HashSet<Name> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Target { id, .. } => Some(id.clone()),
                Change::Removed { .. } | Change::Published(_) | Change::Evacuation { .. } => None,
            })
            .collect();
        let changed = self.remove_unlisted(now, &listed);
        self.apply_changes(now, changes) || changed
    }

    fn remove_unlisted(&mut self, now: Time, listed: &HashSet<Name>) -> bool {
        let known: Vec<Name> = self.entries.keys().cloned().collect();
        let mut changed = false;
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            changed |= self.remove(now, id);
        }
        changed
    }

    /// Applies the evacuated zones of a complete list. Returns whether they changed.
    pub fn apply_evacuations(&mut self, changes: &[Change]) -> bool {
        let evacuated: BTreeSet<Name> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Evacuation { zone, active: true } => Some(zone.clone()),
                _ => None,
            })
            .collect();
        let changed = self.evacuated_zones != evacuated;
        self.evacuated_zones = evacuated;
        changed
    }

    /// Merges the targets known to a peer, while the store has not been read yet. Returns whether
    /// any target changed. `confirmed` tells whether the store recently responded to that peer, and
    /// `revision` up to which revision of the store `entries` are complete; 0 if unknown.
    pub fn merge_from_peer(
        &mut self,
        now: Time,
        entries: Vec<(Name, TargetEntry)>,
        confirmed: bool,
        revision: u64,
    ) -> bool {
        if !confirmed {
            // Treat the store as failing: its next list takes precedence but may lack entries that
            // expired during the outage.
            self.failing_since.get_or_insert(now);
        }
        let supersedes = self.revision > 0 && revision > self.revision;
        self.revision = self.revision.max(revision);
        let mut changed = false;
        if supersedes {
            let listed = entries.iter().map(|(id, _)| id.clone()).collect();
            changed |= self.remove_unlisted(now, &listed);
        }
        self.evacuated_zones.extend(evacuated_zones(&entries));
        for (id, entry) in entries {
            // A peer that knows no more may not know yet that the target is draining.
            let leaving = self
                .entries
                .get(&id)
                .is_some_and(|known| known.entry.state == TargetState::Draining);
            if supersedes || !leaving {
                changed |= self.upsert(id, entry);
            }
        }
        changed
    }

    /// Replaces all targets by those of the reader.
    ///
    /// The reader reports evacuated zones with their targets. Of a zone that has none at the moment it
    /// says nothing, so that what is known of the zone stays.
    pub fn replace_from_reader(&mut self, entries: Vec<(Name, TargetEntry)>) {
        let reported: HashSet<&Name> = entries.iter().map(|(_, entry)| &entry.place.zone).collect();
        self.evacuated_zones.retain(|zone| !reported.contains(zone));
        self.evacuated_zones.extend(evacuated_zones(&entries));
        let known = |(id, entry)| (id, KnownTarget { entry, missing: false });
        self.entries = entries.into_iter().map(known).collect();
        self.failing_since = None;
        self.recovered_at = None;
    }

    /// Whether a zone without targets counts as evacuated. A reader does not report the end of that.
    pub fn has_empty_evacuated_zone(&self) -> bool {
        let has_target =
            |zone: &Name| self.entries.values().any(|known| known.entry.place.zone == *zone);
        !self.evacuated_zones.iter().all(has_target)
    }

    /// Whether entries of live targets may be missing in the store, since it has not responded for a
    /// while or has only just recovered.
    pub fn in_outage(&self, now: Time) -> bool {
        let outage = |since: Time| now.since(since) >= OUTAGE_THRESHOLD;
        self.failing_since.is_some_and(outage) || self.in_grace_period(now)
    }

    fn in_grace_period(&self, now: Time) -> bool {
        self.recovered_at.is_some_and(|since| now.since(since) < RECOVERY_GRACE)
    }

    /// Drops missing targets after the grace period. Returns whether any target changed.
    pub fn expire_missing(&mut self, now: Time) -> bool {
        let over = |since: Time| now.since(since) >= RECOVERY_GRACE;
        if self.failing_since.is_some() || !self.recovered_at.is_some_and(over) {
            return false;
        }
        self.recovered_at = None;
        let before = self.entries.len();
        self.entries.retain(|_, known| !known.missing);
        self.entries.len() != before
    }

    /// Whether any target is retained although its entry is missing.
    pub fn has_missing(&self) -> bool {
        self.missing().next().is_some()
    }

    /// Targets that are retained although their entries are missing.
    pub fn missing(&self) -> impl Iterator<Item = &Name> {
        self.entries.iter().filter(|(_, known)| known.missing).map(|(id, _)| id)
    }

    /// What the latest entry of a target with this IP says; `None` without an entry.
    pub fn entry_state(&self, ip: IpAddr) -> Option<EntryState> {
        let of_target = self.entries.values().filter(|known| known.entry.address.ip() == ip);
        let latest = of_target.max_by_key(|known| known.entry.revision)?;
        Some(match latest.entry.state {
            _ if latest.missing => EntryState::Missing,
            TargetState::Ready => EntryState::Ready,
            TargetState::Draining => EntryState::Leaving,
        })
    }

    /// When [`Registry::expire_missing`] is due.
    pub fn wake_at(&self) -> Option<Time> {
        let since = self.recovered_at.filter(|_| self.failing_since.is_none())?;
        Some(since + RECOVERY_GRACE)
    }

    /// All targets, in order of their IDs.
    ///
    /// If several entries have the same address, the one written last wins: the other processes have
    /// ended, and their address was reassigned before their entries expired. Entries of services that
    /// `published` lacks win over no other: no route uses them, and any writer may have made them.
    pub fn targets(&self, cfg: &Config, published: &Publication) -> Vec<ServiceTarget> {
        let services = &published.preset.services;
        let mut entries: Vec<(&Name, &KnownTarget)> = self.entries.iter().collect();
        entries.sort_by_cached_key(|(_, KnownTarget { entry, .. })| {
            (services.contains_key(&entry.service), entry.revision)
        });
        let mut addresses: HashSet<SocketAddr> = HashSet::new();
        let mut listed: Vec<ServiceTarget> = Vec::with_capacity(entries.len());
        for (id, known) in entries.into_iter().rev() {
            if addresses.insert(known.entry.address) {
                let evacuated = self.evacuated_zones.contains(&known.entry.place.zone);
                listed.push(known.entry.to_service_target(id, cfg, evacuated));
            }
        }
        listed.sort_by(|a, b| a.target.vm.cmp(&b.target.vm));
        listed
    }

    /// Inserts an entry unless it was written before the known one, which would make a draining
    /// target look ready again. Returns whether the target changed.
    fn upsert(&mut self, id: Name, entry: TargetEntry) -> bool {
        if let Some(known) = self.entries.get_mut(&id) {
            if (1..known.entry.revision).contains(&entry.revision) {
                known.missing = false;
                return false;
            }
        }
        let known = self.entries.get(&id);
        let same = |known: &KnownTarget| known.entry.eq_ignoring_revision(&entry);
        let changed = !known.is_some_and(same);
        self.entries.insert(id, KnownTarget { entry, missing: false });
        changed
    }

    /// Removes an entry. During an outage and for [`RECOVERY_GRACE`] after it, the entry is only
    /// marked as missing, since entries of live targets expire too.
    fn remove(&mut self, now: Time, id: &Name) -> bool {
        if self.failing_since.is_none() && !self.in_grace_period(now) {
            return self.entries.shift_remove(id).is_some();
        }
        if let Some(known) = self.entries.get_mut(id) {
            known.missing = true;
        }
        false
    }
}

/// Zones that a peer reports as evacuated.
fn evacuated_zones(entries: &[(Name, TargetEntry)]) -> impl Iterator<Item = Name> + '_ {
    entries.iter().filter(|(_, entry)| entry.evacuated).map(|(_, entry)| entry.place.zone.clone())
}

impl TargetEntry {
    fn to_service_target(&self, id: &Name, cfg: &Config, evacuated: bool) -> ServiceTarget {
        let ip = self.address.ip();
        let target = Target {
            vm: id.clone(),
            region: self.place.region.clone(),
            zone: self.place.zone.clone(),
            gate: SocketAddr::new(ip, cfg.gate_port),
            peers: SocketAddr::new(ip, cfg.peers_port),
            incarnation: Some(id.clone()),
            started_ms: (self.started_ms > 0).then_some(self.started_ms),
            slots: Some(self.slots),
            leaving: self.state == TargetState::Draining,
            evacuated,
            cold: self.cold,
        };
        ServiceTarget { service: self.service.clone(), target }
    }

    fn eq_ignoring_revision(&self, other: &TargetEntry) -> bool {
        let rest = |entry: &TargetEntry| TargetEntry { revision: 0, ..entry.clone() };
        rest(self) == rest(other)
    }
}
