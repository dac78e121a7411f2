//! Homes of keys: which gatekeeper may run a request that runs at most once.
//!
//! The right to run a key is at one gatekeeper at a time. Its home follows from the targets that
//! the version in force lists for the service; when a version lists others, the new home of a key
//! takes over the right only from the one before it, which must have taken up the same list (and
//! so no longer runs the key) and names the keys that it ran. docs/design/calls.md has the
//! argument and the ways weighed.

use super::note::{HomeList, ListId, Note, OutgoingNote, Unreleased};
use super::{KEY_LIFE, MAX_CLOCK_SKEW, Members, RequestKey};
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
}

/// Keys that an earlier home may hold: all, or those whose home it was under a list.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Cover {
    All,
    List(Arc<HomeList>, Hash),
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

/// Keys minted up to `until` that `vm` may have run without anyone knowing.
#[derive(Debug)]
struct Fence {
    vm: Name,
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
        if self.current.home_of(key) != Some(&self.me) {
            return Right::NotHome;
        }
        // First what may have run: a key that ran must never be called not run.
        if key.minted() <= self.started + MAX_CLOCK_SKEW {
            return Right::Unknown;
        }
        let fenced = |fence: &Fence| {
            key.minted() <= fence.until + MAX_CLOCK_SKEW && covers(&fence.cover, &fence.vm, key)
        };
        if self.fences.iter().any(fenced) {
            return Right::Unknown;
        }
        let held = |(vm, waiting): (&Name, &Waiting)| {
            waiting.covers.iter().any(|cover| covers(cover, vm, key))
        };
        if self.waiting.iter().any(held) { Right::Moving } else { Right::Home }
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
    }

    /// Asks again those who have not answered.
    pub fn tick(&mut self, now: Time, out: &mut Vec<OutgoingNote>) {
        self.fences.retain(|fence| now.since(fence.until) <= KEY_LIFE + MAX_CLOCK_SKEW * 2);
        self.inherited.retain(|entry| entry.released.is_none_or(|at| now.since(at) <= KEY_LIFE));
        let since = self.earlier.back().map(|list| list.id());
        for (vm, waiting) in &mut self.waiting {
            if waiting.asked_again > now {
                continue;
            }
            self.next_ask += 1;
            waiting.ask = self.next_ask;
            waiting.parts.clear();
            waiting.asked_again = now + waiting.interval;
            waiting.interval = (waiting.interval * 2).min(LAST_ASK_AGAIN);
            let note = Note::AskRelease {
                id: waiting.ask,
                service: self.service.clone(),
                list: self.digest,
                since: since.clone(),
            };
            out.push(OutgoingNote { to: vm.clone(), note });
        }
    }

    /// Whether an asker holds the same list, so that this gatekeeper has let go of its keys.
    ///
    /// Guards against two homes of one key: an asker with an older list could otherwise be told
    /// that it holds a key which this gatekeeper then also gives to the home under its own list.
    pub fn may_release(&self, service: &Name, list: &Hash) -> bool {
        *service == self.service && *list == self.digest
    }

    /// Whether `vm` is the home of a key under the list in force here.
    pub fn is_home(&self, vm: &Name, key: RequestKey) -> bool {
        self.current.home_of(key) == Some(vm)
    }

    /// The answer to an asker with the same list. `keys` are those that ran here or may have run
    /// and whose home is the asker; `forgotten` is the time up to which such keys were forgotten.
    pub fn release(
        &self,
        to: &Name,
        id: u64,
        since: Option<&ListId>,
        keys: &[RequestKey],
        forgotten: Time,
    ) -> Vec<OutgoingNote> {
        let known = self.fences.iter().map(|fence| fence.until).max().unwrap_or(Time::ZERO);
        let fence = known.max(self.started).max(forgotten);
        let lists: Vec<HomeList> = self.lists_since(since);
        let unreleased: Vec<Unreleased> = self.inherited.iter().map(Inherited::to_note).collect();
        let chunks: Vec<&[RequestKey]> =
            if keys.is_empty() { vec![keys] } else { keys.chunks(PART_KEYS).collect() };
        let parts = chunks.len() as u32;
        let part = |(index, chunk): (usize, &&[RequestKey])| Note::Released {
            id,
            part: index as u32,
            parts,
            keys: chunk.to_vec(),
            fence,
            lists: lists.clone(),
            unreleased: unreleased.clone(),
        };
        let notes = chunks.iter().enumerate().map(part);
        notes.map(|note| OutgoingNote { to: to.clone(), note }).collect()
    }

    /// Takes one part of an answer in. Returns false if it answers no open question.
    pub fn released(&mut self, now: Time, from: &Name, answer: &Answer<'_>) -> bool {
        let Some(waiting) = self.waiting.get_mut(from) else {
            return false;
        };
        if waiting.ask == NO_QUESTION || waiting.ask != answer.id {
            return false;
        }
        waiting.parts.insert(answer.part);
        let whole = waiting.parts.len() as u32 >= answer.parts;
        for list in answer.lists {
            let list = Arc::new(list.clone());
            let digest = list.digest();
            for vm in &list.vms {
                self.wait_for(now, vm, Cover::List(list.clone(), digest));
            }
        }
        for entry in answer.unreleased {
            self.wait_for(now, &entry.vm, Cover::of(entry.list.as_ref()));
        }
        if whole {
            self.let_go(now, from, answer.fence);
        }
        true
    }

    /// Guards against an answer that was given under the list before: it would count as a release
    /// under the list in force now.
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
    /// Guards against a home that skipped a version: a key whose home it was under the skipped
    /// list never came to it, and is still where the list before says.
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
            self.fences.push(Fence { vm: vm.clone(), cover, until: fence });
        }
        for entry in self.inherited.iter_mut().filter(|entry| entry.vm == *vm) {
            entry.released.get_or_insert(now);
        }
    }

    /// Remembers whom this gatekeeper still waits for under the list that it leaves: the next
    /// home of such a key must wait for them too.
    fn inherit(&mut self) {
        for (vm, waiting) in &self.waiting {
            for cover in &waiting.covers {
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
        if *vm == self.me || self.released.contains(vm) {
            return;
        }
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

/// One part of an answer, as the note carries it.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The question.
    pub id: u64,
    /// Which part.
    pub part: u32,
    /// How many parts.
    pub parts: u32,
    /// Keys minted up to this time may have run unknown to the sender.
    pub fence: Time,
    /// Lists that the sender held before.
    pub lists: &'a [HomeList],
    /// Homes that the sender was waiting for.
    pub unreleased: &'a [Unreleased],
}

impl Cover {
    fn of(list: Option<&HomeList>) -> Cover {
        match list {
            Some(list) => Cover::List(Arc::new(list.clone()), list.digest()),
            None => Cover::All,
        }
    }
}

impl Inherited {
    fn to_note(&self) -> Unreleased {
        let list = match &self.cover {
            Cover::All => None,
            Cover::List(list, _) => Some(HomeList::clone(list)),
        };
        Unreleased { vm: self.vm.clone(), list }
    }
}

fn covers(cover: &Cover, vm: &Name, key: RequestKey) -> bool {
    match cover {
        Cover::All => true,
        Cover::List(list, _) => list.home_of(key) == Some(vm),
    }
}
