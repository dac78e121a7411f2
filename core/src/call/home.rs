//! Homes of keys: which gatekeeper may run a request that runs at most once.
//!
//! The right to run a key is at one gatekeeper at a time. Its home follows from the targets that
//! the version in force lists for the service; when a version lists others, the new home of a key
//! takes over the right only from the one before it, which must have taken up the same list (and
//! so no longer runs the key) and names the keys that it ran. docs/design/calls.md has the
//! argument and the ways weighed.

use super::note::{
    HomeList, ListId, Note, OutgoingNote, ReleaseRequest, ReleaseResponse, Unreleased,
};
use super::{KEY_LIFE, MAX_CLOCK_SKEW, Members, RequestKey};
use crate::hash::Hash;
use crate::member::VmState;
use crate::{Name, Time};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Earlier lists that are remembered.
const MAX_PREVIOUS_LISTS: usize = 16;

/// Keys in one part of an answer.
const MAX_KEYS_PER_PART: usize = 512;

/// No question has this number.
const NO_REQUEST: u64 = 0;

/// First and longest time until a question is asked again.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Whether this gatekeeper may run a key that it knows nothing of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermission {
    /// It may.
    Home,
    /// Another gatekeeper is the key's home.
    NotHome,
    /// It is the home, but an earlier home has not let go yet.
    Moving,
    /// It is the home, but the key may have run already.
    Unknown,
    /// It is leaving and has let go of every key.
    Draining,
}

/// Keys that another home may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyScope {
    // Any.
    All,
    // Those whose home this gatekeeper was not under a list. Not only those whose home the other
    // was: it may have taken others over from a home that left.
    List(Arc<HomeList>, Hash),
    // None yet: it is leaving and is asked for its keys.
    Leaving,
}

#[derive(Debug)]
struct PendingRelease {
    scopes: Vec<KeyScope>,
    request_id: u64,
    next_request_at: Time,
    retry_interval: Duration,
    parts: IndexSet<u32>,
}

#[derive(Debug)]
struct Inherited {
    vm: Name,
    scope: KeyScope,
    // When the VM let go of what this gatekeeper waited for.
    released: Option<Time>,
}

/// Keys minted up to `until` that may have run without anyone knowing.
#[derive(Debug)]
struct Fence {
    scope: KeyScope,
    until: Time,
}

/// What this gatekeeper knows of the homes of its service's keys.
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
    // VMs of the list in force that have left by their own word, so that the next home in order
    // has their keys.
    departed: IndexSet<Name>,
    // VMs that have come back since a view that calls them leaving.
    returned: IndexSet<Name>,
    // VMs that have started again since they were last asked whether they are leaving.
    restarted: IndexSet<Name>,
    leaving: bool,
    fences: Vec<Fence>,
    last_request_id: u64,
}

impl Homes {
    /// The homes as a gatekeeper sees them that has just started: any key may have run before,
    /// and any other target may hold a key.
    pub fn new(started: Time, own_vm: Name, service: Name, list: HomeList) -> Homes {
        let mut homes = Homes::joining(started, own_vm, service, list);
        for vm in homes.current.clone().vms.iter() {
            homes.wait_for(started, vm, KeyScope::All);
        }
        homes
    }

    /// The homes as a gatekeeper sees them whose VM is not among the targets of `list`, the one
    /// in force until now, but will be among those of the next.
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

    /// The service whose keys these are.
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// Takes up the list of a newer version. Returns whether homes move.
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

    /// Whether this gatekeeper may run a key that it knows nothing of.
    pub fn permission(&self, key: RequestKey) -> RunPermission {
        if self.leaving {
            return RunPermission::Draining;
        }
        if self.current.home_excluding(key, &self.departed) != Some(&self.own_vm) {
            return RunPermission::NotHome;
        }
        // First what may have run: a key that ran must never be called not run.
        if key.minted() <= self.started + MAX_CLOCK_SKEW {
            return RunPermission::Unknown;
        }
        let is_fenced = |fence: &Fence| {
            key.minted() <= fence.until + MAX_CLOCK_SKEW && self.in_scope(&fence.scope, key)
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

    /// Lets go of every key, since this gatekeeper is leaving. Final.
    pub fn leave(&mut self) -> Vec<OutgoingNote> {
        self.leaving = true;
        let others = self.current.vms.iter().filter(|vm| **vm != self.own_vm);
        others.map(|vm| OutgoingNote { to: vm.clone(), note: Note::Leaving }).collect()
    }

    /// A gatekeeper says that it is leaving.
    pub fn peer_leaving(&mut self, now: Time, vm: &Name) {
        self.returned.swap_remove(vm);
        self.request_from_leaving(now, vm);
    }

    /// Asks a gatekeeper that is leaving for its keys. Only its answer to a question that is asked
    /// from now on is heard: an earlier process on its VM may have answered long ago.
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

    /// Whether an earlier home is still waited for.
    pub fn moving(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Stops waiting for VMs that are gone for good.
    ///
    /// Such a VM runs nothing any more, but what it ran is not known: keys minted before now that
    /// it may have held count as unknown.
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

    /// Asks again those who have not answered.
    pub fn tick(&mut self, now: Time, out: &mut Vec<OutgoingNote>) {
        self.fences.retain(|fence| now.since(fence.until) <= KEY_LIFE + MAX_CLOCK_SKEW * 2);
        self.inherited.retain(|entry| entry.released.is_none_or(|at| now.since(at) <= KEY_LIFE));
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

    /// Whether an asker holds the same list, so that this gatekeeper has let go of its keys.
    ///
    /// A release counts only under the list that it was asked for: under another list the key may
    /// have another home.
    pub fn may_release(&self, service: &Name, list: &Hash) -> bool {
        *service == self.service && *list == self.digest
    }

    /// Whether `vm` gets a key from here: it is the home once those whose keys it has taken over
    /// don't count. A gatekeeper that is leaving gives every key to everyone, since it can't know
    /// who will be next.
    pub fn hands_over(&self, vm: &Name, departed: &IndexSet<Name>, key: RequestKey) -> bool {
        self.leaving || self.current.home_excluding(key, departed) == Some(vm)
    }

    /// A gatekeeper that has started again asks for its keys. They go back to it, and what its
    /// earlier process still has to say of them is not heard.
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

    /// The answer to an asker with the same list. `keys` are those that ran here or may have run
    /// and that the asker gets; `forgotten` is the time up to which such keys were forgotten.
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
        let chunks: Vec<&[RequestKey]> =
            if keys.is_empty() { vec![keys] } else { keys.chunks(MAX_KEYS_PER_PART).collect() };
        let parts = chunks.len() as u32;
        let part = |(index, chunk): (usize, &&[RequestKey])| ReleaseResponse {
            id: request.id,
            part: index as u32,
            parts,
            keys: chunk.to_vec(),
            fence,
            lists: lists.clone(),
            unreleased: unreleased.clone(),
            left: self.leaving,
        };
        let notes = chunks.iter().enumerate().map(part).map(|part| Note::Released(Box::new(part)));
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

    /// Takes one part of an answer in. Returns false if it answers no open question.
    pub fn apply_response(&mut self, now: Time, from: &Name, response: &ReleaseResponse) -> bool {
        let Some(pending) = self.pending.get_mut(from) else {
            return false;
        };
        let stale = response.left && self.restarted.contains(from);
        if pending.request_id == NO_REQUEST || pending.request_id != response.id || stale {
            return false;
        }
        pending.parts.insert(response.part);
        let complete = pending.parts.len() as u32 >= response.parts;
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
                // It let go before the home that is leaving was known to be: it is asked again,
                // once, or two homes that leave would have each other asked for ever.
                self.released.swap_remove(&entry.vm);
            }
            self.wait_for(now, &entry.vm, KeyScope::from_list(entry.list.as_ref()));
        }
        if complete {
            self.mark_released(now, from, response.fence);
            if response.left {
                self.take_over(from, response.fence);
            } else {
                // It is not leaving, whatever a view says that lags: it isn't asked for that again.
                self.returned.insert(from.clone());
            }
        }
        true
    }

    /// The next home in order has the keys of `vm` from here on.
    fn take_over(&mut self, vm: &Name, fence: Time) {
        self.departed.insert(vm.clone());
        let scope = KeyScope::List(self.current.clone(), self.digest);
        self.fences.push(Fence { scope, until: fence });
    }

    /// Answers to questions of the previous list don't count as releases under the new one.
    fn reset_requests(&mut self, now: Time) {
        for pending in self.pending.values_mut() {
            pending.request_id = NO_REQUEST;
            pending.next_request_at = now;
            pending.retry_interval = MIN_RETRY_INTERVAL;
            pending.parts.clear();
        }
    }

    /// Lists that an asker must know of who held the list `since` before the one in force: those
    /// that this gatekeeper held after it, and, if this gatekeeper never held that list, the one
    /// that it held instead.
    ///
    /// Lists since the given one. A key that should have moved under a skipped version is still at
    /// its earlier home.
    fn lists_since(&self, since: Option<&ListId>) -> Vec<HomeList> {
        let version = since.map_or(0, |list| list.version);
        let newer = self.previous.partition_point(|list| list.version <= version);
        let held = newer.checked_sub(1).map(|index| &self.previous[index]);
        let same =
            since.is_some_and(|since| held.is_some_and(|list| list.digest() == since.digest));
        let first = if same { newer } else { newer.saturating_sub(1) };
        self.previous.range(first..).map(|list| HomeList::clone(list)).collect()
    }

    /// `vm` holds nothing of ours any more; what it may have run up to `fence` is not known.
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

    /// Remembers whom this gatekeeper still waits for under the list that it leaves: the next
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
        // A VM that has let go under this list has let go of every key that is ours under it.
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
            parts: IndexSet::new(),
        };
        let pending = self.pending.entry(vm.clone()).or_insert_with(fresh);
        if !pending.scopes.contains(&scope) {
            pending.scopes.push(scope);
        }
    }
}

impl KeyScope {
    fn from_list(list: Option<&HomeList>) -> KeyScope {
        match list {
            Some(list) => KeyScope::List(Arc::new(list.clone()), list.digest()),
            None => KeyScope::All,
        }
    }

    fn to_unreleased(&self, vm: &Name) -> Option<Unreleased> {
        let list = match self {
            KeyScope::All => None,
            KeyScope::List(list, _) => Some(HomeList::clone(list)),
            KeyScope::Leaving => return None,
        };
        Some(Unreleased { vm: vm.clone(), list })
    }
}

impl Inherited {
    fn to_unreleased(&self) -> Option<Unreleased> {
        self.scope.to_unreleased(&self.vm)
    }
}
