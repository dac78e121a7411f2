//! Load pattern: for seconds, a target receives more requests than its slots or its link can carry,
//! from kinds whose objectives differ by several times.
//!
//! Holds the requests with ample slack: those in time by the latest start that meets their
//! objective, the late ones by the latest start that meets their deadline.

use super::Offer;
use crate::Time;
use crate::call::CallKey;
use crate::config::Class;
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};

/// Requests that share a minimum share of the starts. The most urgent is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Kind {
    pub class: u8,
    pub rank: u8,
}

impl Kind {
    pub fn of(offer: &Offer) -> Kind {
        Kind { class: offer.class as u8, rank: offer.rank }
    }
}

/// Position in the order of starts: the latest start, and a number that keeps the order of arrival.
pub(super) type Place = (Time, u64);

#[derive(Clone, Copy, Debug)]
pub(super) struct Parked {
    pub offer: Offer,
    /// Latest start that meets the objective.
    pub latest_start: Time,
    /// Latest start that meets the deadline.
    pub expires_at: Time,
}

#[derive(Clone, Copy, Debug)]
enum Spot {
    InTime(Kind, Place),
    Late(Place),
    Refused,
}

/// The parked requests of one target.
#[derive(Debug, Default)]
pub(super) struct ParkedRequests {
    // Kinds without a parked request are not listed.
    in_time: BTreeMap<Kind, BTreeMap<Place, Parked>>,
    late: BTreeMap<Place, Parked>,
    // To be reported as expired.
    refused: VecDeque<CallKey>,
    spots: IndexMap<CallKey, Spot>,
    // Last request that was removed as refused.
    last_refused: Option<CallKey>,
    newest: u64,
    peak: u32,
}

impl ParkedRequests {
    /// Number of parked requests, in time or late.
    pub fn len(&self) -> u32 {
        self.spots.len() as u32
    }

    /// The most requests that have been parked at once.
    pub fn peak(&self) -> u32 {
        self.peak
    }

    pub fn has_in_time(&self) -> bool {
        !self.in_time.is_empty()
    }

    /// Number of requests in time by class.
    pub fn in_time_by_class(&self) -> [u32; 3] {
        let mut counts = [0; 3];
        for (kind, parked) in &self.in_time {
            counts[usize::from(kind.class)] += parked.len() as u32;
        }
        counts
    }

    pub fn in_time_of(&self, kind: Kind) -> u32 {
        self.in_time.get(&kind).map_or(0, |parked| parked.len() as u32)
    }

    /// Kinds with a request that is in time, the most urgent first.
    pub fn kinds(&self) -> impl Iterator<Item = Kind> + Clone {
        self.in_time.keys().copied()
    }

    /// The first request of a kind that is in time.
    pub fn first(&self, kind: Kind) -> Option<&Parked> {
        self.in_time.get(&kind)?.first_key_value().map(|(_, parked)| parked)
    }

    /// The requests in time that start after one whose latest start is `latest_start`, in order.
    pub fn after(&self, latest_start: Time) -> Vec<Parked> {
        let later = self.in_time.values().flat_map(|kind| kind.range((latest_start, u64::MAX)..));
        let mut later: Vec<(Place, Parked)> = later.map(|(at, parked)| (*at, *parked)).collect();
        later.sort_unstable_by_key(|(place, _)| *place);
        later.into_iter().map(|(_, parked)| parked).collect()
    }

    /// The requests in time of less urgent kinds that start before `latest_start`, without the first
    /// of each kind: the least urgent first, and of a kind the last.
    pub fn less_urgent_before(
        &self,
        kind: Kind,
        latest_start: Time,
    ) -> impl Iterator<Item = &Parked> {
        let less_urgent = self.in_time.iter().rev().take_while(move |(other, _)| **other > kind);
        less_urgent.flat_map(move |(_, parked)| {
            let before = parked.iter().skip(1).take_while(move |(at, _)| at.0 <= latest_start);
            let before: Vec<&Parked> = before.map(|(_, parked)| parked).collect();
            before.into_iter().rev()
        })
    }

    pub fn late(&self) -> impl Iterator<Item = &Parked> {
        self.late.values()
    }

    pub fn has_late(&self) -> bool {
        !self.late.is_empty()
    }

    pub fn insert_in_time(&mut self, parked: Parked) {
        let (kind, place) = (Kind::of(&parked.offer), self.place(parked.latest_start));
        self.in_time.entry(kind).or_default().insert(place, parked);
        self.note(parked.offer.call, Spot::InTime(kind, place));
    }

    pub fn insert_late(&mut self, parked: Parked) {
        let place = self.place(parked.expires_at);
        self.late.insert(place, parked);
        self.note(parked.offer.call, Spot::Late(place));
    }

    /// Reports a request that has been removed as expired.
    pub fn refuse(&mut self, call: CallKey) {
        self.refused.push_back(call);
        self.note(call, Spot::Refused);
    }

    pub fn pop_refused(&mut self) -> Option<CallKey> {
        while let Some(call) = self.refused.pop_front() {
            if self.remove(call) {
                self.last_refused = Some(call);
                return Some(call);
            }
        }
        None
    }

    /// Whether this request was the last to be refused.
    pub fn was_refused(&self, call: CallKey) -> bool {
        self.last_refused == Some(call)
    }

    /// Removes a request whose time has passed. Returns its class if it is parked.
    pub fn expire(&mut self, call: CallKey) -> Option<Class> {
        let class = match *self.spots.get(&call)? {
            Spot::InTime(kind, place) => self.in_time.get(&kind)?.get(&place)?.offer.class,
            Spot::Late(place) => self.late.get(&place)?.offer.class,
            // Has been counted.
            Spot::Refused => return None,
        };
        self.remove(call);
        self.last_refused = Some(call);
        Some(class)
    }

    /// Removes a request. Returns false if it is not parked.
    pub fn remove(&mut self, call: CallKey) -> bool {
        let Some(spot) = self.spots.swap_remove(&call) else {
            return false;
        };
        match spot {
            Spot::InTime(kind, place) => self.remove_in_time(kind, place),
            Spot::Late(place) => drop(self.late.remove(&place)),
            Spot::Refused => {}
        }
        if self.spots.is_empty() {
            // Returns the memory of a burst.
            self.spots = IndexMap::new();
            self.refused = VecDeque::new();
        }
        true
    }

    /// Removes and returns the requests that can no longer meet their objective.
    pub fn take_overdue(&mut self, now: Time) -> Vec<Parked> {
        let overdue = self.in_time.values().flat_map(|kind| kind.range(..(now, 0)));
        let overdue: Vec<Parked> = overdue.map(|(_, parked)| *parked).collect();
        for parked in &overdue {
            self.remove(parked.offer.call);
        }
        overdue
    }

    /// The parked requests by the order of their starts within a kind, and the late ones.
    pub fn all(&self) -> impl Iterator<Item = &Parked> {
        self.in_time.values().flat_map(BTreeMap::values).chain(self.late.values())
    }

    /// Estimated memory in bytes of this many parked requests. A node of a tree is at least half
    /// full, and the table and the list have at most twice the entries.
    pub fn estimated_bytes(count: usize) -> usize {
        let in_tree = size_of::<(Place, Parked)>() * 2;
        let listed = (size_of::<(CallKey, Spot)>() + 2 * size_of::<usize>()) * 2;
        count * (in_tree + listed + 2 * size_of::<CallKey>())
    }

    fn place(&mut self, start: Time) -> Place {
        self.newest += 1;
        (start, self.newest)
    }

    fn note(&mut self, call: CallKey, spot: Spot) {
        self.spots.insert(call, spot);
        self.peak = self.peak.max(self.len());
    }

    fn remove_in_time(&mut self, kind: Kind, place: Place) {
        if let Some(parked) = self.in_time.get_mut(&kind) {
            parked.remove(&place);
            if parked.is_empty() {
                self.in_time.remove(&kind);
            }
        }
    }
}

/// Whether a class precedes a kind of parked requests.
pub(super) fn precedes(class: Class, kind: Kind) -> bool {
    class as u8 <= kind.class
}
