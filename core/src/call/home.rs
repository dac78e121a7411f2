//! Homes of idempotency keys: which gatekeeper may run a request that must run at most once.
//!
//! At most one gatekeeper at a time has the right to run a key. The home of a key is derived from
//! the targets that the version in force lists for the service. When a new version changes the
//! list, the new home of a key acquires the right only from the previous home, which must have
//! applied the same list (so that it no longer runs the key) and must report the keys that it ran.
//! docs/design/calls.md has the proof and the alternatives considered.

mod parts;
mod scope;

use super::note::{
    HomeList, ListId, Note, OutgoingNote, ReleaseRequest, ReleaseResponse, Unreleased,
};
use super::{KEY_LIFETIME, MAX_CLOCK_SKEW, Members, RequestKey};
use crate::hash::Hash;
use crate::member::VmState;
use crate::{Name, Time};
use indexmap::{IndexMap, IndexSet};
use parts::{ReceivedParts, split_into_parts};
use scope::KeyScope;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const MAX_PREVIOUS_LISTS: usize = 16;

/// Never used as the id of a release request.
const NO_REQUEST: u64 = 0;

/// Shortest and longest interval between release requests to the same VM.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Whether this gatekeeper may run a key that is not in its idempotency table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermission {
    /// This gatekeeper is the key's home and may run it.
    Home,
    /// Another gatekeeper is the key's home.
    NotHome,
    /// It is the home, but a previous home has not released the key yet.
    Moving,
    /// It is the home, but the key may already have run.
    Unknown,
    /// This gatekeeper is leaving and has released all of its keys.
    Draining,
}

#[derive(Debug)]
struct PendingRelease {
    scopes: Vec<KeyScope>,
    request_id: u64,
    next_request_at: Time,
    retry_interval: Duration,
    parts: ReceivedParts,
}

#[derive(Debug)]
struct Inherited {
    vm: Name,
    scope: KeyScope,
    // When the VM released the keys that this gatekeeper was waiting for.
    released: Option<Time>,
}

/// Keys created up to `until` may have run without a record of it.
#[derive(Debug)]
struct Fence {
    scope: KeyScope,
    until: Time,
}

/// The homes of a service's keys, as one gatekeeper knows them.
#[derive(Debug)]
pub struct Homes {
    own_vm: Name,
    service: Name,
    started: Time,
    current: Arc<HomeList>,
    digest: Hash,
    previous: VecDeque<Arc<HomeList>>,
    pending: IndexMap<Name, PendingRelease>,
    inherited: Vec<Inherited>,
    released: IndexSet<Name>,
    // VMs of the current list that are leaving and have released their keys to the next home in
    // rendezvous order.
    departed: IndexSet<Name>,
    // VMs known to have returned although the member view may still show them as leaving.
    returned: IndexSet<Name>,
    // VMs that have restarted since they were last asked for their keys as leaving VMs.
    restarted: IndexSet<Name>,
    leaving: bool,
    fences: Vec<Fence>,
    last_request_id: u64,
}

impl Homes {
    /// Creates the state of a gatekeeper that has just started: any key may already have run, and
    /// every other target may hold keys.
    pub fn new(started: Time, own_vm: Name, service: Name, list: HomeList) -> Homes {
        let mut homes = Homes::joining(started, own_vm, service, list);
        for vm in homes.current.clone().vms.iter() {
            homes.wait_for(started, vm, KeyScope::All);
        }
        homes
    }

    /// Creates the state of a gatekeeper whose VM is not a target in `list`, the list in force so
    /// far, but will be one in the next.
    pub fn joining(started: Time, own_vm: Name, service: Name, list: HomeList) -> Homes {
        Homes {
            own_vm,
            service,
            started,
            digest: list.digest(),
            current: Arc::new(list),
            previous: VecDeque::new(),
            pending: IndexMap::new(),
            inherited: Vec::new(),
            released: IndexSet::new(),
            departed: IndexSet::new(),
            returned: IndexSet::new(),
            restarted: IndexSet::new(),
            leaving: false,
            fences: Vec::new(),
            last_request_id: started.0,
        }
    }

    pub fn service(&self) -> &Name {
        &self.service
    }

    /// Applies the list of a newer version. Returns whether homes move.
    pub fn apply_list(&mut self, now: Time, list: HomeList) -> bool {
        let digest = list.digest();
        if digest == self.digest {
            return false;
        }
        let before = std::mem::replace(&mut self.current, Arc::new(list));
        let before_digest = std::mem::replace(&mut self.digest, digest);
        self.inherit();
        self.released.clear();
        self.departed.clear();
        self.reset_requests(now);
        for vm in &before.vms {
            self.wait_for(now, vm, KeyScope::List(before.clone(), before_digest));
        }
        self.previous.push_back(before);
        if self.previous.len() > MAX_PREVIOUS_LISTS {
            self.previous.pop_front();
        }
        true
    }

    /// Whether this gatekeeper may run a key that is not in its idempotency table.
    pub fn permission(&self, key: RequestKey) -> RunPermission {
        if self.leaving {
            return RunPermission::Draining;
        }
        if self.current.home_excluding(key, &self.departed) != Some(&self.own_vm) {
            return RunPermission::NotHome;
        }
        // Unknown outcomes are checked first: a key that ran must never be reported as not run.
        if key.created_at() <= self.started + MAX_CLOCK_SKEW {
            return RunPermission::Unknown;
        }
        let is_fenced = |fence: &Fence| {
            key.created_at() <= fence.until + MAX_CLOCK_SKEW && self.in_scope(&fence.scope, key)
        };
        if self.fences.iter().any(is_fenced) {
            return RunPermission::Unknown;
        }
        let mut scopes = self.pending.values().flat_map(|pending| &pending.scopes);
        if scopes.any(|scope| self.in_scope(scope, key)) {
            RunPermission::Moving
        } else {
            RunPermission::Home
        }
    }

    fn in_scope(&self, scope: &KeyScope, key: RequestKey) -> bool {
        match scope {
            KeyScope::All => true,
            KeyScope::List(list, _) => list.home_of(key) != Some(&self.own_vm),
            KeyScope::Leaving => false,
        }
    }

    /// Releases all keys because this gatekeeper is leaving. This cannot be undone.
    pub fn leave(&mut self) -> Vec<OutgoingNote> {
        self.leaving = true;
        let others = self.current.vms.iter().filter(|vm| **vm != self.own_vm);
        others.map(|vm| OutgoingNote { to: vm.clone(), note: Note::Leaving }).collect()
    }

    /// Handles the announcement that a gatekeeper is leaving.
    pub fn peer_leaving(&mut self, now: Time, vm: &Name) {
        self.returned.swap_remove(vm);
        self.request_from_leaving(now, vm);
    }

    /// Requests the keys of a gatekeeper that is leaving. Discards the id of any earlier request,
    /// whose response may come from an earlier process on that VM.
    fn request_from_leaving(&mut self, now: Time, vm: &Name) {
        let listed = self.current.vms.contains(vm) && *vm != self.own_vm;
        let requested =
            self.pending.get(vm).is_some_and(|pending| pending.scopes.contains(&KeyScope::Leaving));
        if !listed || requested || self.departed.contains(vm) || self.leaving {
            return;
        }
        self.restarted.swap_remove(vm);
        self.add_scope(now, vm, KeyScope::Leaving);
        if let Some(pending) = self.pending.get_mut(vm) {
            pending.request_id = NO_REQUEST;
            pending.next_request_at = now;
            pending.parts.clear();
        }
    }

    /// Whether this gatekeeper still waits for a previous home.
    pub fn moving(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Stops waiting for VMs that are gone permanently.
    ///
    /// Such a VM runs nothing any more, but the keys that it ran are lost: keys created before now
    /// that it may have held count as unknown.
    pub fn update_members(&mut self, now: Time, members: &Members) {
        let gone = |vm: &Name| members.get(vm) == Some(&VmState::Gone);
        let gone_vms: Vec<Name> = self.pending.keys().filter(|vm| gone(vm)).cloned().collect();
        for vm in gone_vms {
            self.mark_released(now, &vm, now);
        }
        let leaving = |vm: &Name| members.get(vm) == Some(&VmState::Leaving);
        self.returned.retain(|vm| leaving(vm));
        for vm in self.current.clone().vms.iter().filter(|vm| leaving(vm)) {
            if !self.returned.contains(vm) {
                self.request_from_leaving(now, vm);
            }
        }
    }

    /// Sends release requests that are due and drops expired entries.
    pub fn tick(&mut self, now: Time, out: &mut Vec<OutgoingNote>) {
        self.fences.retain(|fence| now.since(fence.until) <= KEY_LIFETIME + MAX_CLOCK_SKEW * 2);
        self.inherited
            .retain(|entry| entry.released.is_none_or(|at| now.since(at) <= KEY_LIFETIME));
        if self.leaving {
            return;
        }
        let since = self.previous.back().map(|list| list.id());
        let left: Vec<Name> = self.departed.iter().cloned().collect();
        for (vm, pending) in &mut self.pending {
            if pending.next_request_at > now {
                continue;
            }
            self.last_request_id += 1;
            pending.request_id = self.last_request_id;
            pending.parts.clear();
            pending.next_request_at = now + pending.retry_interval;
            pending.retry_interval = (pending.retry_interval * 2).min(MAX_RETRY_INTERVAL);
            let request = ReleaseRequest {
                id: pending.request_id,
                service: self.service.clone(),
                list: self.digest,
                since: since.clone(),
                left: left.clone(),
            };
            out.push(OutgoingNote { to: vm.clone(), note: Note::AskRelease(Box::new(request)) });
        }
    }

    /// Whether the requester has the same list, which means that this gatekeeper has released its
    /// keys.
    ///
    /// A release is valid only under the list that it was requested for, because the key may have
    /// another home under a different list.
    pub fn may_release(&self, service: &Name, list: &Hash) -> bool {
        *service == self.service && *list == self.digest
    }

    /// Whether `vm` receives a key from this gatekeeper: it is the key's home if the departed VMs
    /// are excluded. A gatekeeper that is leaving hands every key to every requester, because it
    /// cannot know which one will be the next home.
    pub fn hands_over(&self, vm: &Name, departed: &IndexSet<Name>, key: RequestKey) -> bool {
        self.leaving || self.current.home_excluding(key, departed) == Some(vm)
    }

    /// Handles a gatekeeper that has restarted and asks for its keys. They return to it, and
    /// responses from its earlier process are ignored.
    pub fn peer_restarted(&mut self, vm: &Name) {
        self.departed.swap_remove(vm);
        self.returned.insert(vm.clone());
        self.restarted.insert(vm.clone());
        if let Some(pending) = self.pending.get_mut(vm) {
            pending.scopes.retain(|scope| *scope != KeyScope::Leaving);
            if pending.scopes.is_empty() {
                self.pending.swap_remove(vm);
            }
        }
    }

    /// Builds the response to a requester with the same list. `keys` are the requester's keys that
    /// ran or may have run here; `forgotten` is the time up to which such keys may have been
    /// evicted.
    pub fn release(
        &self,
        to: &Name,
        request: &ReleaseRequest,
        keys: &[RequestKey],
        forgotten: Time,
    ) -> Vec<OutgoingNote> {
        let known = self.fences.iter().map(|fence| fence.until).max().unwrap_or(Time::ZERO);
        let fence = known.max(self.started).max(forgotten);
        let lists = self.lists_since(request.since.as_ref());
        let unreleased = self.unreleased();
        let chunks = split_into_parts(keys);
        let parts = chunks.len() as u32;
        let part = |(index, keys): (usize, Vec<RequestKey>)| ReleaseResponse {
            id: request.id,
            part: index as u32,
            parts,
            keys,
            fence,
            lists: lists.clone(),
            unreleased: unreleased.clone(),
            left: self.leaving,
        };
        let notes = chunks.into_iter().enumerate().map(part);
        let notes = notes.map(|part| Note::Released(Box::new(part)));
        notes.map(|note| OutgoingNote { to: to.clone(), note }).collect()
    }

    fn unreleased(&self) -> Vec<Unreleased> {
        let mut all: Vec<Unreleased> =
            self.inherited.iter().filter_map(Inherited::to_unreleased).collect();
        if self.leaving {
            for (vm, pending) in &self.pending {
                all.extend(pending.scopes.iter().filter_map(|scope| scope.to_unreleased(vm)));
            }
        }
        all
    }

    /// Applies one part of a response. Returns false if it does not match an open request.
    pub fn apply_response(&mut self, now: Time, from: &Name, response: &ReleaseResponse) -> bool {
        let Some(pending) = self.pending.get_mut(from) else {
            return false;
        };
        let stale = response.left && self.restarted.contains(from);
        if pending.request_id == NO_REQUEST || pending.request_id != response.id || stale {
            return false;
        }
        let complete = pending.parts.add(response);
        let fence = pending.parts.fence;
        let newly_departed = response.left && !self.departed.contains(from);
        for list in &response.lists {
            let list = Arc::new(list.clone());
            let digest = list.digest();
            for vm in &list.vms {
                self.wait_for(now, vm, KeyScope::List(list.clone(), digest));
            }
        }
        for entry in &response.unreleased {
            if newly_departed && entry.vm != *from {
                // This VM released its keys before the departure was known, so it is asked again.
                // Only once: two leaving homes would otherwise have each other asked repeatedly
                // without end.
                self.released.swap_remove(&entry.vm);
            }
            self.wait_for(now, &entry.vm, KeyScope::from_list(entry.list.as_ref()));
        }
        if complete {
            self.mark_released(now, from, fence);
            if response.left {
                self.take_over(from, fence);
            } else {
                // The VM is not leaving, even if an outdated member view says so. Do not ask again.
                self.returned.insert(from.clone());
            }
        }
        true
    }

    /// Records that the next home in rendezvous order has the keys of `vm` from now on.
    fn take_over(&mut self, vm: &Name, fence: Time) {
        self.departed.insert(vm.clone());
        let scope = KeyScope::List(self.current.clone(), self.digest);
        self.fences.push(Fence { scope, until: fence });
    }

    /// Discards open requests: responses requested under the previous list are not valid under the
    /// new one.
    fn reset_requests(&mut self, now: Time) {
        for pending in self.pending.values_mut() {
            pending.request_id = NO_REQUEST;
            pending.next_request_at = now;
            pending.retry_interval = MIN_RETRY_INTERVAL;
            pending.parts.clear();
        }
    }

    /// Lists that a requester with the previous list `since` needs: those that this gatekeeper held
    /// after it and, if it never held that list, the one that it held instead.
    ///
    /// A key that should have moved under a version that this gatekeeper skipped is still at its
    /// earlier home.
    fn lists_since(&self, since: Option<&ListId>) -> Vec<HomeList> {
        let version = since.map_or(0, |list| list.version);
        let newer = self.previous.partition_point(|list| list.version <= version);
        let held = newer.checked_sub(1).map(|index| &self.previous[index]);
        let same =
            since.is_some_and(|since| held.is_some_and(|list| list.digest() == since.digest));
        let first = if same { newer } else { newer.saturating_sub(1) };
        self.previous.range(first..).map(|list| HomeList::clone(list)).collect()
    }

    /// Records that `vm` holds no keys of this gatekeeper any more. Keys that it may have run up to
    /// `fence` count as unknown.
    fn mark_released(&mut self, now: Time, vm: &Name, fence: Time) {
        let Some(pending) = self.pending.swap_remove(vm) else {
            return;
        };
        self.released.insert(vm.clone());
        for scope in pending.scopes {
            if scope != KeyScope::Leaving {
                self.fences.push(Fence { scope, until: fence });
            }
        }
        for entry in self.inherited.iter_mut().filter(|entry| entry.vm == *vm) {
            entry.released.get_or_insert(now);
        }
    }

    /// Records the VMs that this gatekeeper still waits for under the list being replaced. The next
    /// home of such a key must wait for them too.
    fn inherit(&mut self) {
        for (vm, pending) in &self.pending {
            for scope in pending.scopes.iter().filter(|scope| **scope != KeyScope::Leaving) {
                let entry = Inherited { vm: vm.clone(), scope: scope.clone(), released: None };
                let same = |other: &&mut Inherited| other.vm == *vm && other.scope == *scope;
                match self.inherited.iter_mut().find(same) {
                    Some(known) => known.released = None,
                    None => self.inherited.push(entry),
                }
            }
        }
    }

    fn wait_for(&mut self, now: Time, vm: &Name, scope: KeyScope) {
        // A VM that has released its keys under this list holds none that belong to this
        // gatekeeper.
        if *vm != self.own_vm && !self.released.contains(vm) {
            self.add_scope(now, vm, scope);
        }
    }

    fn add_scope(&mut self, now: Time, vm: &Name, scope: KeyScope) {
        let fresh = || PendingRelease {
            scopes: Vec::new(),
            request_id: NO_REQUEST,
            next_request_at: now,
            retry_interval: MIN_RETRY_INTERVAL,
            parts: ReceivedParts::default(),
        };
        let pending = self.pending.entry(vm.clone()).or_insert_with(fresh);
        if !pending.scopes.contains(&scope) {
            pending.scopes.push(scope);
        }
    }
}

impl Inherited {
    fn to_unreleased(&self) -> Option<Unreleased> {
        self.scope.to_unreleased(&self.vm)
    }
}
