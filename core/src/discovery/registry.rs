//! Which targets there are, by the entries that they write themselves.

use super::port::{Change, Config, TargetEntry, TargetState};
use crate::config::Target;
use crate::{Name, Time};
use indexmap::IndexMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How long after the store's return an entry that is missing may still come back: entries lapse
/// while the store is away, and targets that live write them again within about two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_100);

/// A store that fails for longer than this was away. A single call that breaks, as a watch that
/// is cut, is no sign that entries have lapsed.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(600);

/// The targets known to this node.
#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<Name, KnownTarget>,
    failing_since: Option<Time>,
    // The store was away and has answered again since this time.
    recovered_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    missing: bool,
}

/// A target and the service that it runs.
#[derive(Clone, Debug)]
pub struct ServiceTarget {
    /// The service.
    pub service: Name,
    /// The target, as a version would list it.
    pub target: Target,
}

impl Registry {
    /// No target.
    pub fn new() -> Registry {
        Registry::default()
    }

    /// A call to the store failed.
    pub fn on_store_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
        let outage = self.failing_since.is_some_and(|since| now.since(since) >= OUTAGE_THRESHOLD);
        if outage {
            self.recovered_at = None;
        }
    }

    /// A call to the store was answered.
    pub fn on_store_success(&mut self, now: Time) {
        let outage =
            self.failing_since.take().is_some_and(|since| now.since(since) >= OUTAGE_THRESHOLD);
        if outage {
            self.recovered_at = Some(now);
        }
    }

    /// Takes changes in. Returns whether any target changed.
    pub fn apply_changes(&mut self, now: Time, changes: Vec<Change>) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Target { id, entry: Some(entry) } => self.upsert(id, entry),
                // An entry that can't be read names no target, whoever wrote it.
                Change::Target { id, entry: None } => self.entries.shift_remove(&id).is_some(),
                Change::Removed { id } => self.remove(now, &id),
                Change::Published(_) => false,
            };
        }
        changed
    }

    /// Takes the whole list in: what it lacks is missing.
    pub fn apply_list(&mut self, now: Time, changes: Vec<Change>) -> bool {
        let listed: HashSet<Name> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Target { id, .. } => Some(id.clone()),
                Change::Removed { .. } | Change::Published(_) => None,
            })
            .collect();
        let known: Vec<Name> = self.entries.keys().cloned().collect();
        let mut changed = false;
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            changed |= self.remove(now, id);
        }
        self.apply_changes(now, changes) || changed
    }

    /// Takes the targets that a peer knows, for a node that knows none.
    pub fn merge_from_peer(&mut self, now: Time, entries: Vec<(Name, TargetEntry)>) -> bool {
        // What the store says next goes before it, and may lack what lapsed meanwhile.
        self.failing_since.get_or_insert(now);
        let mut changed = false;
        for (id, entry) in entries {
            // One peer may not have heard yet of a leaving that another has.
            let leaving = self
                .entries
                .get(&id)
                .is_some_and(|known| known.entry.state == TargetState::Draining);
            if !leaving {
                changed |= self.upsert(id, entry);
            }
        }
        changed
    }

    /// Takes the targets that a reader of the store holds, in place of all that were known.
    pub fn replace_from_reader(&mut self, entries: Vec<(Name, TargetEntry)>) {
        let known = |(id, entry)| (id, KnownTarget { entry, missing: false });
        self.entries = entries.into_iter().map(known).collect();
        self.failing_since = None;
        self.recovered_at = None;
    }

    /// Drops what did not come back in time. Returns whether any target changed.
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

    /// Whether targets are kept whose entries are missing.
    pub fn has_missing(&self) -> bool {
        self.entries.values().any(|known| known.missing)
    }

    /// When [`Registry::expire_missing`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        let since = self.recovered_at.filter(|_| self.failing_since.is_none())?;
        Some(since + RECOVERY_GRACE)
    }

    /// Every target, in the order of their starts, as a version would list it.
    ///
    /// Of several entries with one address the latest start holds: the others' processes have
    /// ended, and their address was given away before their entries lapsed.
    pub fn targets(&self, cfg: &Config) -> Vec<ServiceTarget> {
        let mut entries: Vec<(&Name, &KnownTarget)> = self.entries.iter().collect();
        entries.sort_by_key(|(_, known)| known.entry.started_ms);
        let mut addresses: HashSet<SocketAddr> = HashSet::new();
        let mut listed: Vec<ServiceTarget> = Vec::with_capacity(entries.len());
        for (id, known) in entries.into_iter().rev() {
            if addresses.insert(known.entry.address) {
                listed.push(known.entry.to_service_target(id, cfg));
            }
        }
        listed.reverse();
        listed
    }

    /// An entry of an earlier run of the process, or an older one, changes nothing: a leaving
    /// target would look ready again.
    fn upsert(&mut self, id: Name, entry: TargetEntry) -> bool {
        let age = |entry: &TargetEntry| (entry.started_ms, entry.sequence);
        let known = self.entries.get(&id);
        if known.is_some_and(|known| age(&known.entry) > age(&entry)) {
            return false;
        }
        let same = |known: &KnownTarget| known.entry.eq_ignoring_sequence(&entry);
        let changed = !known.is_some_and(same);
        self.entries.insert(id, KnownTarget { entry, missing: false });
        changed
    }

    /// While the store fails, and for [`RECOVERY_GRACE`] after, an entry that goes missing is kept:
    /// entries lapse then although their targets live.
    fn remove(&mut self, now: Time, id: &Name) -> bool {
        let in_grace_period =
            self.recovered_at.is_some_and(|since| now.since(since) < RECOVERY_GRACE);
        if self.failing_since.is_none() && !in_grace_period {
            return self.entries.shift_remove(id).is_some();
        }
        if let Some(known) = self.entries.get_mut(id) {
            known.missing = true;
        }
        false
    }
}

impl TargetEntry {
    fn to_service_target(&self, id: &Name, cfg: &Config) -> ServiceTarget {
        let ip = self.address.ip();
        let target = Target {
            vm: id.clone(),
            region: self.place.region.clone(),
            zone: self.place.zone.clone(),
            gate: SocketAddr::new(ip, cfg.gate_port),
            peers: SocketAddr::new(ip, cfg.peers_port),
            incarnation: Some(id.clone()),
            slots: Some(self.slots),
            leaving: self.state == TargetState::Draining,
        };
        ServiceTarget { service: self.service.clone(), target }
    }

    /// Whether both say the same, the time of their writing aside.
    fn eq_ignoring_sequence(&self, other: &TargetEntry) -> bool {
        let rest = |entry: &TargetEntry| TargetEntry { sequence: 0, ..entry.clone() };
        rest(self) == rest(other)
    }
}
