//! The configuration version held by a node, and computation of deltas for peers.

use super::message::{Base, Delta, Summary};
use crate::config::resource_set::{ResourceDigest, ResourceSet};
use crate::config::{ResourceId, Scope};
use crate::hash::Hash;
use crate::{Code, Fault, Result};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of past versions from which a delta can be made. Peers further behind get their
/// full scope.
const MAX_HISTORY_STEPS: usize = 64;

/// Maximum number of changes in the history; bounds its memory.
const MAX_HISTORY_CHANGES: usize = 20_000;

/// Maximum number of cached deltas.
const MAX_CACHED_DELTAS: usize = 32;

/// Maximum number of resources in all cached deltas; bounds their memory.
const MAX_CACHED_RESOURCES: usize = 15_000;

/// Maximum number of resources in a delta accepted from a peer.
pub const MAX_DELTA_RESOURCES: usize = 100_000;

type Changes = BTreeMap<ResourceId, Option<ResourceDigest>>;

/// The changes from one held version to the next.
#[derive(Debug)]
struct HistoryStep {
    from: u64,
    /// The previous values, by resource.
    changes: Changes,
}

/// A delta cached for other peers with the same base and scope.
#[derive(Debug)]
struct CachedDelta {
    base: Option<Base>,
    scope: Scope,
    delta: Arc<Delta>,
}

/// One version within a scope, with the history of earlier versions.
#[derive(Debug)]
pub struct Store {
    summary: Summary,
    scope: Scope,
    content: ResourceSet,
    digest: Hash,
    history: VecDeque<HistoryStep>,
    cached: VecDeque<CachedDelta>,
}

impl Store {
    /// Creates a store without history.
    pub fn new(summary: Summary, scope: Scope, content: ResourceSet) -> Store {
        let digest = content.manifest(&scope).digest();
        Store { summary, scope, content, digest, history: VecDeque::new(), cached: VecDeque::new() }
    }
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// The held version number.
    pub fn version(&self) -> u64 {
        self.summary.in_force.version
    }
    pub fn scope(&self) -> &Scope {
        &self.scope
    }
    pub fn content(&self) -> &ResourceSet {
        &self.content
    }

    /// The version and digest that identify the held content as the base of a delta.
    pub fn base(&self) -> Base {
        Base { version: self.version(), digest: self.digest }
    }

    /// Takes over the history of the store that this one replaces.
    pub fn with_history_of(mut self, older: Option<Store>) -> Store {
        let Some(older) = older else { return self };
        // The history does not cover resources outside the older scope.
        if older.scope != self.scope || older.version() == self.version() {
            return self;
        }
        let changes = self.content.changes_since(&older.content);
        self.history = older.history;
        self.history.push_back(HistoryStep { from: older.summary.in_force.version, changes });
        self.trim_history();
        self
    }

    fn trim_history(&mut self) {
        let count =
            |history: &VecDeque<HistoryStep>| history.iter().map(|step| step.changes.len()).sum();
        let mut changes: usize = count(&self.history);
        while self.history.len() > MAX_HISTORY_STEPS || changes > MAX_HISTORY_CHANGES {
            let Some(step) = self.history.pop_front() else { return };
            changes -= step.changes.len();
        }
    }

    /// Returns the delta from `base` within `scope`, or the full scope if the base is unknown.
    /// Returns `None` if this store does not cover the scope.
    pub fn delta(&mut self, base: Option<&Base>, scope: &Scope) -> Option<Arc<Delta>> {
        if !self.scope.includes(scope) {
            return None;
        }
        let hit = self.cached.iter().find(|c| c.base.as_ref() == base && c.scope == *scope);
        if let Some(hit) = hit {
            return Some(hit.delta.clone());
        }
        let delta = base.and_then(|base| self.delta_since(base, scope));
        let delta = Arc::new(delta.unwrap_or_else(|| self.full_delta(scope)));
        let base = base.cloned();
        self.cached.push_back(CachedDelta { base, scope: scope.clone(), delta: delta.clone() });
        self.trim_cache();
        Some(delta)
    }

    fn trim_cache(&mut self) {
        let mut resources: usize = self.cached.iter().map(|c| c.delta.changed.len()).sum();
        while self.cached.len() > MAX_CACHED_DELTAS || resources > MAX_CACHED_RESOURCES {
            let Some(oldest) = self.cached.pop_front() else { return };
            resources -= oldest.delta.changed.len();
        }
    }

    fn full_delta(&self, scope: &Scope) -> Delta {
        let resources = self.content.in_scope(scope);
        Delta {
            summary: self.summary.clone(),
            base: None,
            changed: resources.into_iter().map(|(id, resource)| (id, resource.body)).collect(),
            removed: Vec::new(),
            digest: self.content.manifest(scope).digest(),
        }
    }

    fn delta_since(&self, base: &Base, scope: &Scope) -> Option<Delta> {
        let before = self.values_at(base.version)?;
        let mut manifest = self.content.manifest(scope);
        let digest = manifest.digest();
        let covers = |digest: &&ResourceDigest| scope.covers(&digest.service);
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for (id, old) in before {
            let old = old.filter(covers);
            let new = self.content.get(id).filter(|entry| scope.covers(&entry.service));
            match (old, new) {
                (None, None) => continue,
                (Some(old), None) => {
                    removed.push(id.clone());
                    manifest.entries.insert(id.clone(), old.hash);
                }
                (Some(old), Some(new)) if old.hash == new.resource.hash => continue,
                (Some(old), Some(new)) => {
                    changed.push((id.clone(), new.resource.body.clone()));
                    manifest.entries.insert(id.clone(), old.hash);
                }
                (None, Some(new)) => {
                    changed.push((id.clone(), new.resource.body.clone()));
                    manifest.entries.remove(id);
                }
            }
        }
        // After a conflict, a base with the same version number may have different content. Undoing
        // the changes must yield the manifest of the peer's base.
        if manifest.digest() != base.digest {
            return None;
        }
        let summary = self.summary.clone();
        Some(Delta { summary, base: Some(base.clone()), changed, removed, digest })
    }

    /// Returns each resource that has changed since `version` with its value at that version, or
    /// `None` if the history does not reach back that far.
    fn values_at(&self, version: u64) -> Option<BTreeMap<&ResourceId, Option<&ResourceDigest>>> {
        if version == self.version() {
            return Some(BTreeMap::new());
        }
        let start = self.history.iter().position(|step| step.from == version)?;
        let mut before = BTreeMap::new();
        for step in self.history.iter().skip(start) {
            for (id, old) in &step.changes {
                before.entry(id).or_insert(old.as_ref());
            }
        }
        Some(before)
    }
}

/// Applies a delta and verifies the resulting manifest.
///
/// All hashes are computed from the received bodies, so a corrupted or incomplete delta is
/// rejected.
pub fn apply(delta: &Delta, held: Option<&Store>, scope: &Scope) -> Result<ResourceSet> {
    let fault = |code: Code| Fault::new(code).with_location(delta.summary.in_force.version);
    let resources = delta.changed.len() + delta.removed.len();
    if resources > MAX_DELTA_RESOURCES {
        let detail = format!("delta has {resources} resources, limit is {MAX_DELTA_RESOURCES}");
        return Err(fault(Code::PeerInvalid).with_detail(detail));
    }
    let mut content = match (&delta.base, held) {
        (None, _) => ResourceSet::default(),
        (Some(base), Some(held)) if *base == held.base() && held.scope == *scope => {
            held.content.clone()
        }
        (Some(_), _) => {
            return Err(
                fault(Code::PeerInvalid).with_detail("delta base does not match the held content")
            );
        }
    };
    for id in &delta.removed {
        content.remove(id);
    }
    for (id, body) in &delta.changed {
        content.insert_body(id.clone(), body.clone())?;
    }
    if content.manifest(&Scope::All).digest() != delta.digest {
        return Err(fault(Code::PeerHashMismatch));
    }
    Ok(content)
}
