//! Which target a request goes to: the cheaper of two drawn at random, near ones first.

use super::{Load, Members};
use crate::config::{ServiceKey, Snapshot};
use crate::member::VmState;
use crate::place::{Link, Place};
use crate::{Name, Time};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;

/// Answer time assumed of a target that has not been measured lately, by the link to it: the
/// least that it can be, since one that is assumed slower than its neighbours would never be tried.
const ZONE_ANSWER_TIME: Duration = Duration::from_millis(1);
const REGION_ANSWER_TIME: Duration = Duration::from_millis(2);
const ACROSS_ANSWER_TIME: Duration = Duration::from_millis(40);

/// Shortest answer time that is told from a shorter one; below it the load decides.
const MIN_ANSWER_TIME: Duration = ZONE_ANSWER_TIME;

/// Share of the other's cost, in percent, under which a target counts as cheaper. Nearly equal
/// ones share the work, and so each stays measured.
const CHEAPER_PERCENT: u32 = 80;

/// Weight of the newest answer time in the running mean, as one part in so many.
const ANSWER_TIME_WEIGHT: u32 = 8;

/// How long a measured answer time counts, ever less. A target that was slow is tried again the
/// sooner the less slow it was, and after this time as if new.
const ANSWER_TIME_LIFE: Duration = Duration::from_secs(5);

/// How long a reported load counts.
const LOAD_LIFE: Duration = Duration::from_secs(1);

/// Slots assumed of a target that has reported none.
const UNKNOWN_SLOTS: u32 = 8;

/// Failures in a row after which a target is avoided.
const MAX_FAILURES: u32 = 2;

/// Shortest and longest time that a target is avoided after failures.
const MIN_AVOID: Duration = Duration::from_millis(500);
const MAX_AVOID: Duration = Duration::from_secs(8);

/// How long a target that said that it is leaving is avoided without hearing so again.
const LEAVING_LIFE: Duration = Duration::from_secs(30);

/// Random draws for a usable target before all are looked through.
const DRAWS: usize = 4;

/// Most that a queue at one target is avoided for.
const MAX_FULL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Peer {
    gate: SocketAddr,
    link: Link,
    in_flight: u32,
    load: Option<(Load, Time)>,
    answer_time: Option<(Duration, Time)>,
    failures: u32,
    avoid_until: Time,
    full_until: Time,
    leaving_until: Time,
    // By the view of members.
    leaving: bool,
}

#[derive(Clone, Debug, Default)]
struct Tiers {
    // Indexes of peers by link, nearest first.
    by_link: [Vec<usize>; 3],
    // Whether the view of members calls most of the service's targets unusable.
    distrust: bool,
}

/// How strictly targets are chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Strictness {
    // Neither leaving nor failing nor full.
    Healthy,
    // Not leaving by its own word.
    Staying,
}

/// What a target is picked for.
#[derive(Clone, Copy)]
struct Want<'a> {
    now: Time,
    service: ServiceKey,
    tried: &'a [Name],
    strictness: Strictness,
}

/// What one entry node knows of the targets it sends to.
#[derive(Debug)]
pub struct Balancer {
    place: Place,
    rng: Pcg64Mcg,
    peers: IndexMap<Name, Peer>,
    services: Vec<Tiers>,
}

impl Balancer {
    /// Knows no target. `place` is where the entry node is.
    pub fn new(place: Place, seed: u64) -> Balancer {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Balancer { place, rng, peers: IndexMap::new(), services: Vec::new() }
    }

    /// Takes the targets of a version up. What is known of those that stay is kept.
    pub fn configure(&mut self, snapshot: &Snapshot, members: &Members) {
        let mut before = std::mem::take(&mut self.peers);
        for entry in snapshot.targets() {
            let link = self.place.link_to(&entry.target.place());
            let known = before.swap_remove(&entry.target.vm);
            let mut peer = known.unwrap_or_else(|| Peer::new(entry.target.gate, link));
            peer.gate = entry.target.gate;
            peer.link = link;
            self.peers.insert(entry.target.vm.clone(), peer);
        }
        self.services = snapshot.services().iter().map(|_| Tiers::default()).collect();
        for (index, entry) in snapshot.targets().iter().enumerate() {
            let link = self.peers[index].link;
            self.services[entry.service.0 as usize].by_link[link as usize].push(index);
        }
        self.view(members);
    }

    /// Takes the states of VMs up, as a hint.
    ///
    /// Guards against a list that wrongly calls most targets of a service gone, as after a
    /// partition of whoever keeps it: sending everything to the few left would break them too.
    pub fn view(&mut self, members: &Members) {
        for (vm, peer) in &mut self.peers {
            peer.leaving = members.get(vm).is_some_and(|state| *state != VmState::Live);
        }
        for tiers in &mut self.services {
            let all = tiers.by_link.iter().flatten();
            let leaving = all.clone().filter(|index| self.peers[**index].leaving).count();
            tiers.distrust = leaving * 2 > all.count();
        }
    }

    /// The target for a request to a service, other than those tried.
    pub fn pick(&mut self, now: Time, service: ServiceKey, tried: &[Name]) -> Option<Name> {
        let healthy = Want { now, service, tried, strictness: Strictness::Healthy };
        let staying = Want { strictness: Strictness::Staying, ..healthy };
        let index = self.pick_among(healthy).or_else(|| self.pick_among(staying))?;
        self.peers.get_index(index).map(|(vm, _)| vm.clone())
    }

    /// Address of the gatekeeper beside a target.
    pub fn gate(&self, vm: &Name) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.gate)
    }

    /// A request goes to this target.
    pub fn begin(&mut self, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.in_flight += 1;
        }
    }

    /// A request that went to this target is over.
    pub fn finish(&mut self, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }

    /// The target's answer began after `took`.
    pub fn answered(&mut self, now: Time, vm: &Name, took: Duration) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.failures = 0;
        peer.avoid_until = Time::ZERO;
        let mean = match peer.answer_time {
            Some((mean, at)) if now.since(at) < ANSWER_TIME_LIFE => {
                (mean * (ANSWER_TIME_WEIGHT - 1) + took) / ANSWER_TIME_WEIGHT
            }
            _ => took,
        };
        peer.answer_time = Some((mean, now));
    }

    /// The target's gatekeeper reported its load.
    pub fn reported(&mut self, now: Time, vm: &Name, load: Load) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.load = Some((load, now));
        }
    }

    /// The target failed or could not be reached.
    pub fn failed(&mut self, now: Time, vm: &Name) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.failures = peer.failures.saturating_add(1);
        if peer.failures >= MAX_FAILURES {
            let doublings = (peer.failures - MAX_FAILURES).min(8);
            peer.avoid_until = now + (MIN_AVOID * (1 << doublings)).min(MAX_AVOID);
        }
    }

    /// The target's gatekeeper refused for load.
    pub fn full(&mut self, now: Time, vm: &Name, retry_after: Duration) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.full_until = now + retry_after.min(MAX_FULL);
        }
    }

    /// The target's gatekeeper said that it is leaving.
    pub fn leaving(&mut self, now: Time, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.leaving_until = now + LEAVING_LIFE;
        }
    }

    /// Whether a target is leaving, by its own word or by the view of members.
    pub fn is_leaving(&self, now: Time, vm: &Name) -> bool {
        self.peers.get(vm).is_some_and(|peer| peer.leaving || peer.leaving_until > now)
    }

    /// The nearest tier's pick, or a farther one's if that is cheaper by what was measured.
    fn pick_among(&mut self, want: Want<'_>) -> Option<usize> {
        let mut best: Option<(usize, Duration)> = None;
        for link in Link::ALL {
            let Some(index) = self.draw_two(want, link) else {
                continue;
            };
            let cost = self.peers[index].cost(want.now);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        best.map(|(index, _)| index)
    }

    /// The cheaper of two usable targets drawn at random.
    fn draw_two(&mut self, want: Want<'_>, link: Link) -> Option<usize> {
        let first = self.draw(want, link, None)?;
        let Some(second) = self.draw(want, link, Some(first)) else {
            return Some(first);
        };
        let limit = self.peers[first].cost(want.now) * CHEAPER_PERCENT / 100;
        let cheaper = self.peers[second].cost(want.now) < limit;
        Some(if cheaper { second } else { first })
    }

    fn draw(&mut self, want: Want<'_>, link: Link, not: Option<usize>) -> Option<usize> {
        let tiers = self.services.get(want.service.0 as usize)?;
        let tier = &tiers.by_link[link as usize];
        if tier.is_empty() {
            return None;
        }
        let usable = |index: &usize| {
            let Some((vm, peer)) = self.peers.get_index(*index) else {
                return false;
            };
            Some(*index) != not
                && !want.tried.contains(vm)
                && peer.is_usable(want.now, want.strictness, tiers.distrust)
        };
        for _ in 0..DRAWS {
            let index = tier[self.rng.random_range(0..tier.len())];
            if usable(&index) {
                return Some(index);
            }
        }
        // Few are usable: look through all, from a random place on.
        let start = self.rng.random_range(0..tier.len());
        tier[start..].iter().chain(&tier[..start]).copied().find(usable)
    }
}

impl Peer {
    fn new(gate: SocketAddr, link: Link) -> Peer {
        Peer {
            gate,
            link,
            in_flight: 0,
            load: None,
            answer_time: None,
            failures: 0,
            avoid_until: Time::ZERO,
            full_until: Time::ZERO,
            leaving_until: Time::ZERO,
            leaving: false,
        }
    }

    fn is_usable(&self, now: Time, strictness: Strictness, distrust: bool) -> bool {
        if self.leaving_until > now {
            return false;
        }
        match strictness {
            Strictness::Healthy => {
                let listed = !self.leaving || distrust;
                listed && self.avoid_until <= now && self.full_until <= now
            }
            Strictness::Staying => true,
        }
    }

    /// Expected time to an answer: the measured time, stretched by how full the target is.
    fn cost(&self, now: Time) -> Duration {
        let recent = |at: Time, life: Duration| now.since(at) < life;
        let answer_time = self.expected_answer_time(now);
        let load = self.load.filter(|(_, at)| recent(*at, LOAD_LIFE)).map(|(load, _)| load);
        let slots = load.map_or(UNKNOWN_SLOTS, |load| load.slots.max(1));
        let reported = load.map_or(0, |load| load.in_flight + load.queued);
        let outstanding = reported.max(self.in_flight);
        let waiting = outstanding.saturating_sub(slots);
        answer_time * (slots + outstanding + waiting * 2) / slots
    }
}

impl Peer {
    fn expected_answer_time(&self, now: Time) -> Duration {
        let first = first_answer_time(self.link);
        let Some((mean, at)) = self.answer_time else {
            return first;
        };
        let age = now.since(at).min(ANSWER_TIME_LIFE);
        let left = (ANSWER_TIME_LIFE - age).as_millis() as u32;
        let above = mean.saturating_sub(first) * left / ANSWER_TIME_LIFE.as_millis() as u32;
        (mean.min(first) + above).max(MIN_ANSWER_TIME)
    }
}

fn first_answer_time(link: Link) -> Duration {
    match link {
        Link::Zone => ZONE_ANSWER_TIME,
        Link::Region => REGION_ANSWER_TIME,
        Link::Across => ACROSS_ANSWER_TIME,
    }
}
