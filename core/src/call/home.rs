//! Homes of keys: which gatekeeper may run a request that runs at most once.
//!
//! The right to run a key is at one gatekeeper at a time. Its home follows from the targets that
//! the version in force lists for the service; when a version lists others, the new home of a key
//! takes over the right only from the one before it, which must have taken up the same list (and
//! so no longer runs the key) and names the keys that it ran. docs/design/calls.md has the
//! argument and the ways weighed.

use super::note::{Ask, HomeList, ListId, Note, OutgoingNote, Release, Unreleased};
use super::{KEY_LIFETIME, MAX_CLOCK_SKEW, Members, RequestKey};
use crate::hash::Hash;
use crate::member::VmState;
use crate::{Name, Time};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Earlier lists that are remembered.
const MAX_LISTS: usize = 16;

/// Keys in one part of an answer.
const PART_KEYS: usize = 512;

/// No question has this number.
const NO_QUESTION: u64 = 0;

/// First and longest time until a question is asked again.
const FIRST_ASK_AGAIN: Duration = Duration::from_millis(200);
const LAST_ASK_AGAIN: Duration = Duration::from_secs(2);

/// Whether this gatekeeper may run a key that it knows nothing of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Right {
    /// It may.
    Home,
    /// Another gatekeeper is the key's home.
    NotHome,
    /// It is the home, but an earlier home has not let go yet.
    Moving,
    /// It is the home, but the key may have run already.
    Unknown,
    /// It is leaving and has let go of every key.
    Left,
}

/// Keys that another home may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Cover {
    // Any.
    All,
    // Those whose home this gatekeeper was not under a list. Not only those whose home the other
    // was: it may have taken others over from a home that left.
    List(Arc<HomeList>, Hash),
    // None yet: it is leaving and is asked for its keys.
    Leaving,
}

#[derive(Debug)]
struct Waiting {
    covers: Vec<Cover>,
    ask: u64,
    asked_again: Time,
    interval: Duration,
    parts: IndexSet<u32>,
}

#[derive(Debug)]
struct Inherited {
    vm: Name,
    cover: Cover,
    // When the VM let go of what this gatekeeper waited for.
    released: Option<Time>,
}

/// Keys minted up to `until` that may have run without anyone knowing.
#[derive(Debug)]
struct Fence {
    cover: Cover,
    until: Time,
}

/// What this gatekeeper knows of the homes of its service's keys.
#[derive(Debug)]
pub struct Homes {
    me: Name,
    service: Name,
    started: Time,
    current: Arc<HomeList>,
    digest: Hash,
    earlier: VecDeque<Arc<HomeList>>,
    waiting: IndexMap<Name, Waiting>,
    inherited: Vec<Inherited>,
    released: IndexSet<Name>,
    // VMs of the list in force that have left by their own word, so that the next home in order
    // has their keys.
    left: IndexSet<Name>,
    // VMs that have come back since a view that calls them leaving.
    returned: IndexSet<Name>,
    // VMs that have started again since they were last asked whether they are leaving.
    restarted: IndexSet<Name>,
    leaving: bool,
    fences: Vec<Fence>,
    next_ask: u64,
}

impl Homes {
    /// The homes as a gatekeeper sees them that has just started: any key may have run before,
    /// and any other target may hold a key.
    pub fn new(started: Time, me: Name, service: Name, list: HomeList) -> Homes {
        let mut homes = Homes::joining(started, me, service, list);
        for vm in homes.current.clone().vms.iter() {
            homes.wait_for(started, vm, Cover::All);
        }
        homes
    }

    /// The homes as a gatekeeper sees them whose VM is not among the targets of `list`, the one
    /// in force until now, but will be among those of the next.
    pub fn joining(started: Time, me: Name, service: Name, list: HomeList) -> Homes {
        Homes {
            me,
            service,
            started,
            digest: list.digest(),
            current: Arc::new(list),
            earlier: VecDeque::new(),
            waiting: IndexMap::new(),
            inherited: Vec::new(),
            released: IndexSet::new(),
            left: IndexSet::new(),
            returned: IndexSet::new(),
            restarted: IndexSet::new(),
            leaving: false,
            fences: Vec::new(),
            next_ask: started.0,
        }
    }

    /// The service whose keys these are.
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// Takes up the list of a newer version. Returns whether homes move.
    pub fn take_up(&mut self, now: Time, list: HomeList) -> bool {
        let digest = list.digest();
        if digest == self.digest {
            return false;
        }
        let before = std::mem::replace(&mut self.current, Arc::new(list));
        let before_digest = std::mem::replace(&mut self.digest, digest);
        self.inherit();
        self.released.clear();
        self.left.clear();
        self.close_questions(now);
        for vm in &before.vms {
            self.wait_for(now, vm, Cover::List(before.clone(), before_digest));
        }
        self.earlier.push_back(before);
        if self.earlier.len() > MAX_LISTS {
            self.earlier.pop_front();
        }
        true
    }

    /// Whether this gatekeeper may run a key that it knows nothing of.
    pub fn right(&self, key: RequestKey) -> Right {
        if self.leaving {
            return Right::Left;
        }
        if self.current.home_without(key, &self.left) != Some(&self.me) {
            return Right::NotHome;
        }
        // First what may have run: a key that ran must never be called not run.
        if key.created_at() <= self.started + MAX_CLOCK_SKEW {
            return Right::Unknown;
        }
        let fenced = |fence: &Fence| {
            key.created_at() <= fence.until + MAX_CLOCK_SKEW && self.covers(&fence.cover, key)
        };
        if self.fences.iter().any(fenced) {
            return Right::Unknown;
        }
        let mut covers = self.waiting.values().flat_map(|waiting| &waiting.covers);
        if covers.any(|cover| self.covers(cover, key)) { Right::Moving } else { Right::Home }
    }

    fn covers(&self, cover: &Cover, key: RequestKey) -> bool {
        match cover {
            Cover::All => true,
            Cover::List(list, _) => list.home_of(key) != Some(&self.me),
            Cover::Leaving => false,
        }
    }

    /// Lets go of every key, since this gatekeeper is leaving. Final.
    pub fn leave(&mut self) -> Vec<OutgoingNote> {
        self.leaving = true;
        let others = self.current.vms.iter().filter(|vm| **vm != self.me);
        others.map(|vm| OutgoingNote { to: vm.clone(), note: Note::Leaving }).collect()
    }

    /// A gatekeeper says that it is leaving.
    pub fn says_leaving(&mut self, now: Time, vm: &Name) {
        self.returned.swap_remove(vm);
        self.leaves(now, vm);
    }

    /// Asks a gatekeeper that is leaving for its keys. Only its answer to a question that is asked
    /// from now on is heard: an earlier process on its VM may have answered long ago.
    fn leaves(&mut self, now: Time, vm: &Name) {
        let listed = self.current.vms.contains(vm) && *vm != self.me;
        let asked = self.waiting.get(vm).is_some_and(|w| w.covers.contains(&Cover::Leaving));
        if !listed || asked || self.left.contains(vm) || self.leaving {
            return;
        }
        self.restarted.swap_remove(vm);
        self.add_cover(now, vm, Cover::Leaving);
        if let Some(waiting) = self.waiting.get_mut(vm) {
            waiting.ask = NO_QUESTION;
            waiting.asked_again = now;
            waiting.parts.clear();
        }
    }

    /// Whether an earlier home is still waited for.
    pub fn moving(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Stops waiting for VMs that are gone for good.
    ///
    /// Such a VM runs nothing any more, but what it ran is not known: keys minted before now that
    /// it may have held count as unknown.
    pub fn view(&mut self, now: Time, members: &Members) {
        let gone = |vm: &Name| members.get(vm) == Some(&VmState::Gone);
        let lost: Vec<Name> = self.waiting.keys().filter(|vm| gone(vm)).cloned().collect();
        for vm in lost {
            self.let_go(now, &vm, now);
        }
        let leaving = |vm: &Name| members.get(vm) == Some(&VmState::Leaving);
        self.returned.retain(|vm| leaving(vm));
        for vm in self.current.clone().vms.iter().filter(|vm| leaving(vm)) {
            if !self.returned.contains(vm) {
                self.leaves(now, vm);
            }
        }
    }

    /// Asks again those who have not answered.
    pub fn tick(&mut self, now: Time, out: &mut Vec<OutgoingNote>) {
        self.fences.retain(|fence| now.since(fence.until) <= KEY_LIFETIME + MAX_CLOCK_SKEW * 2);
        self.inherited
            .retain(|entry| entry.released.is_none_or(|at| now.since(at) <= KEY_LIFETIME));
        if self.leaving {
            return;
        }
        let since = self.earlier.back().map(|list| list.id());
        let left: Vec<Name> = self.left.iter().cloned().collect();
        for (vm, waiting) in &mut self.waiting {
            if waiting.asked_again > now {
                continue;
            }
            self.next_ask += 1;
            waiting.ask = self.next_ask;
            waiting.parts.clear();
            waiting.asked_again = now + waiting.interval;
            waiting.interval = (waiting.interval * 2).min(LAST_ASK_AGAIN);
            let ask = Ask {
                id: waiting.ask,
                service: self.service.clone(),
                list: self.digest,
                since: since.clone(),
                left: left.clone(),
            };
            out.push(OutgoingNote { to: vm.clone(), note: Note::AskRelease(Box::new(ask)) });
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
    pub fn gives(&self, vm: &Name, left: &IndexSet<Name>, key: RequestKey) -> bool {
        self.leaving || self.current.home_without(key, left) == Some(vm)
    }

    /// A gatekeeper that has started again asks for its keys. They go back to it, and what its
    /// earlier process still has to say of them is not heard.
    pub fn returns(&mut self, vm: &Name) {
        self.left.swap_remove(vm);
        self.returned.insert(vm.clone());
        self.restarted.insert(vm.clone());
        if let Some(waiting) = self.waiting.get_mut(vm) {
            waiting.covers.retain(|cover| *cover != Cover::Leaving);
            if waiting.covers.is_empty() {
                self.waiting.swap_remove(vm);
            }
        }
    }

    /// The answer to an asker with the same list. `keys` are those that ran here or may have run
    /// and that the asker gets; `forgotten` is the time up to which such keys were forgotten.
    pub fn release(
        &self,
        to: &Name,
        ask: &Ask,
        keys: &[RequestKey],
        forgotten: Time,
    ) -> Vec<OutgoingNote> {
        let known = self.fences.iter().map(|fence| fence.until).max().unwrap_or(Time::ZERO);
        let fence = known.max(self.started).max(forgotten);
        let lists = self.lists_since(ask.since.as_ref());
        let unreleased = self.unreleased();
        let chunks: Vec<&[RequestKey]> =
            if keys.is_empty() { vec![keys] } else { keys.chunks(PART_KEYS).collect() };
        let parts = chunks.len() as u32;
        let part = |(index, chunk): (usize, &&[RequestKey])| Release {
            id: ask.id,
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
            self.inherited.iter().filter_map(Inherited::to_note).collect();
        if self.leaving {
            for (vm, waiting) in &self.waiting {
                all.extend(waiting.covers.iter().filter_map(|cover| cover.to_note(vm)));
            }
        }
        all
    }

    /// Takes one part of an answer in. Returns false if it answers no open question.
    pub fn released(&mut self, now: Time, from: &Name, answer: &Release) -> bool {
        let Some(waiting) = self.waiting.get_mut(from) else {
            return false;
        };
        let stale = answer.left && self.restarted.contains(from);
        if waiting.ask == NO_QUESTION || waiting.ask != answer.id || stale {
            return false;
        }
        waiting.parts.insert(answer.part);
        let whole = waiting.parts.len() as u32 >= answer.parts;
        let just_left = answer.left && !self.left.contains(from);
        for list in &answer.lists {
            let list = Arc::new(list.clone());
            let digest = list.digest();
            for vm in &list.vms {
                self.wait_for(now, vm, Cover::List(list.clone(), digest));
            }
        }
        for entry in &answer.unreleased {
            if just_left && entry.vm != *from {
                // It let go before the home that is leaving was known to be: it is asked again,
                // once, or two homes that leave would have each other asked for ever.
                self.released.swap_remove(&entry.vm);
            }
            self.wait_for(now, &entry.vm, Cover::of(entry.list.as_ref()));
        }
        if whole {
            self.let_go(now, from, answer.fence);
            if answer.left {
                self.take_over(from, answer.fence);
            } else {
                // It is not leaving, whatever a view says that lags: it isn't asked for that again.
                self.returned.insert(from.clone());
            }
        }
        true
    }

    /// The next home in order has the keys of `vm` from here on.
    fn take_over(&mut self, vm: &Name, fence: Time) {
        self.left.insert(vm.clone());
        let cover = Cover::List(self.current.clone(), self.digest);
        self.fences.push(Fence { cover, until: fence });
    }

    /// Answers to questions of the previous list don't count as releases under the new one.
    fn close_questions(&mut self, now: Time) {
        for waiting in self.waiting.values_mut() {
            waiting.ask = NO_QUESTION;
            waiting.asked_again = now;
            waiting.interval = FIRST_ASK_AGAIN;
            waiting.parts.clear();
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
        let newer = self.earlier.partition_point(|list| list.version <= version);
        let held = newer.checked_sub(1).map(|index| &self.earlier[index]);
        let same =
            since.is_some_and(|since| held.is_some_and(|list| list.digest() == since.digest));
        let first = if same { newer } else { newer.saturating_sub(1) };
        self.earlier.range(first..).map(|list| HomeList::clone(list)).collect()
    }

    /// `vm` holds nothing of ours any more; what it may have run up to `fence` is not known.
    fn let_go(&mut self, now: Time, vm: &Name, fence: Time) {
        let Some(waiting) = self.waiting.swap_remove(vm) else {
            return;
        };
        self.released.insert(vm.clone());
        for cover in waiting.covers {
            if cover != Cover::Leaving {
                self.fences.push(Fence { cover, until: fence });
            }
        }
        for entry in self.inherited.iter_mut().filter(|entry| entry.vm == *vm) {
            entry.released.get_or_insert(now);
        }
    }

    /// Remembers whom this gatekeeper still waits for under the list that it leaves: the next
    /// home of such a key must wait for them too.
    fn inherit(&mut self) {
        for (vm, waiting) in &self.waiting {
            for cover in waiting.covers.iter().filter(|cover| **cover != Cover::Leaving) {
                let entry = Inherited { vm: vm.clone(), cover: cover.clone(), released: None };
                let same = |other: &&mut Inherited| other.vm == *vm && other.cover == *cover;
                match self.inherited.iter_mut().find(same) {
                    Some(known) => known.released = None,
                    None => self.inherited.push(entry),
                }
            }
        }
    }

    fn wait_for(&mut self, now: Time, vm: &Name, cover: Cover) {
        // A VM that has let go under this list has let go of every key that is ours under it.
        if *vm != self.me && !self.released.contains(vm) {
            self.add_cover(now, vm, cover);
        }
    }

    fn add_cover(&mut self, now: Time, vm: &Name, cover: Cover) {
        let fresh = || Waiting {
            covers: Vec::new(),
            ask: NO_QUESTION,
            asked_again: now,
            interval: FIRST_ASK_AGAIN,
            parts: IndexSet::new(),
        };
        let waiting = self.waiting.entry(vm.clone()).or_insert_with(fresh);
        if !waiting.covers.contains(&cover) {
            waiting.covers.push(cover);
        }
    }
}

impl Cover {
    fn of(list: Option<&HomeList>) -> Cover {
        match list {
            Some(list) => Cover::List(Arc::new(list.clone()), list.digest()),
            None => Cover::All,
        }
    }

    fn to_note(&self, vm: &Name) -> Option<Unreleased> {
        let list = match self {
            Cover::All => None,
            Cover::List(list, _) => Some(HomeList::clone(list)),
            Cover::Leaving => return None,
        };
        Some(Unreleased { vm: vm.clone(), list })
    }
}

impl Inherited {
    fn to_note(&self) -> Option<Unreleased> {
        self.cover.to_note(&self.vm)
    }
}
