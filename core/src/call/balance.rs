//! Which target a request goes to: the cheaper of two drawn at random, near ones first.
//!
//! Each zone serves its own callers. A request leaves it only if the wait that it saves is longer than
//! what the way costs.

mod peer;

use super::entry::Reason;
use super::policy::{Mechanism, Policy};
use super::{Load, Members, Terms};
use crate::config::{Class, ServiceKey, Snapshot};
use crate::member::VmState;
use crate::place::{Link, Place};
use crate::{Name, Time};
use indexmap::IndexMap;
use peer::{Peer, RESPONSE_TIME_TTL, TargetFilter, assumed_network_latency};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the other's cost, in percent, under which a target counts as cheaper. Nearly equal
/// ones share the work, and so each stays measured.
const CHEAPER_PERCENT: u32 = 80;

/// Weight of the newest answer time in the running mean, as one part in so many.
const RESPONSE_TIME_WEIGHT: u32 = 8;

/// The same for the usual answer time of a service, which changes more slowly than a target's.
const TYPICAL_LATENCY_WEIGHT: u32 = 32;

/// A time above the usual by so many mean deviations is one that few answers take.
const HEDGE_DELAY_DEVIATIONS: u32 = 4;

/// Share of a service's usual time, in percent, in which a target must be expected to answer for a
/// second attempt: one that is slow as well would not overtake the first.
const MAX_HEDGE_LATENCY_PERCENT: u32 = 150;

/// Failures in a row after which a target is avoided.
const EJECTION_FAILURES: u32 = 2;

/// Shortest and longest time that a target is avoided after failures.
const MIN_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// How long a target that said that it is leaving is avoided without hearing so again. A node that
/// is stopped and started again is back after two to three seconds; asking one that is still
/// leaving costs a refusal, after which the request goes elsewhere.
const DRAINING_TTL: Duration = Duration::from_millis(2_500);

/// How much more a way costs a class (gating, interactive, bulk): large answers fill links.
const DISTANCE_FACTOR: [u32; 3] = [1, 1, 10];

/// Random draws for a usable target before all are looked through.
const MAX_DRAWS: usize = 4;

/// Most that a queue at one target is avoided for.
const MAX_OVERLOAD_BACKOFF: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Default)]
struct ServiceTargets {
    // Indexes of peers by link, nearest first.
    by_link: [Vec<usize>; 3],
    // Whether the view of members calls most of the service's targets unusable.
    ignore_membership: bool,
}

/// What a target is picked for.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    now: Time,
    service: ServiceKey,
    class: Class,
    rank: u8,
    tried: &'a [Name],
    filter: TargetFilter,
}

impl<'a> PickRequest<'a> {
    /// A target of a service for a request with these terms.
    pub fn new(now: Time, service: ServiceKey, terms: &Terms) -> PickRequest<'a> {
        let (class, rank, filter) = (terms.class, terms.rank, TargetFilter::Healthy);
        PickRequest { now, service, class, rank, tried: &[], filter }
    }

    /// The same, but none of those tried.
    pub fn with_tried(self, tried: &'a [Name]) -> PickRequest<'a> {
        PickRequest { tried, ..self }
    }

    /// The same, or one that fails.
    fn with_failing(self) -> PickRequest<'a> {
        PickRequest { filter: TargetFilter::NotDraining, ..self }
    }
}

/// Usual time of an answer, the way to the target left out, and its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyStats {
    mean: Duration,
    deviation: Duration,
}

impl LatencyStats {
    fn record(&mut self, took: Duration) {
        if self.mean.is_zero() {
            *self = LatencyStats { mean: took, deviation: took / 2 };
            return;
        }
        let newest = took.abs_diff(self.mean);
        let weigh = |known: Duration, newest| {
            (known * (TYPICAL_LATENCY_WEIGHT - 1) + newest) / TYPICAL_LATENCY_WEIGHT
        };
        self.deviation = weigh(self.deviation, newest);
        self.mean = weigh(self.mean, took);
    }
}

/// What one entry node knows of the targets it sends to.
#[derive(Debug)]
pub struct Balancer {
    place: Place,
    rng: Pcg64Mcg,
    peers: IndexMap<Name, Peer>,
    services: Vec<ServiceTargets>,
    // Usual time of an answer by service and class, the way to the target left out; in the order
    // of `services`.
    typical_latency: IndexMap<Name, [LatencyStats; 3]>,
    policy: Policy,
}

impl Balancer {
    /// Knows no target. `place` is where the entry node is.
    pub fn new(place: Place, seed: u64) -> Balancer {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (peers, typical_latency) = (IndexMap::new(), IndexMap::new());
        Balancer { place, rng, peers, services: Vec::new(), typical_latency, policy: Policy::new() }
    }

    /// The same balancer with other mechanisms at work.
    pub fn with_policy(mut self, policy: Policy) -> Balancer {
        self.policy = policy;
        self
    }

    /// Takes the targets of a version up. What is known of those that stay is kept.
    pub fn configure(&mut self, snapshot: &Snapshot, members: &Members) {
        let mut before = std::mem::take(&mut self.peers);
        for entry in snapshot.targets() {
            let link = self.place.link_to(&entry.target.place());
            let known = before.swap_remove(&entry.target.vm);
            let mut peer = known.unwrap_or_else(|| Peer::new(entry.target.gate, link));
            peer.gate = entry.target.gate;
            peer.incarnation = entry.target.incarnation.clone();
            peer.service = entry.service.0 as usize;
            peer.slots = entry.target.slots;
            peer.marked_leaving = entry.target.leaving;
            peer.link = link;
            self.peers.insert(entry.target.vm.clone(), peer);
        }
        let mut typical_latency = std::mem::take(&mut self.typical_latency);
        self.services.clear();
        for entry in snapshot.services() {
            let times = typical_latency.swap_remove(&entry.name).unwrap_or_default();
            self.typical_latency.insert(entry.name.clone(), times);
            self.services.push(ServiceTargets::default());
        }
        for (index, entry) in snapshot.targets().iter().enumerate() {
            let link = self.peers[index].link;
            self.services[entry.service.0 as usize].by_link[link as usize].push(index);
        }
        self.update_members(members);
    }

    /// Takes the states of VMs up, as a hint.
    ///
    /// A list that calls most targets of a service gone is not believed: sending everything to the
    /// few left would overload them.
    pub fn update_members(&mut self, members: &Members) {
        for (vm, peer) in &mut self.peers {
            peer.not_live = members.get(vm).is_some_and(|state| *state != VmState::Live);
        }
        for tiers in &mut self.services {
            let all = tiers.by_link.iter().flatten();
            let not_live = all.clone().filter(|index| self.peers[**index].not_live).count();
            tiers.ignore_membership = not_live * 2 > all.count();
        }
    }

    /// A target that is not known to be full: one of the nearest tier, or a farther one that saves
    /// more time than its distance costs.
    pub fn pick_available(&mut self, request: PickRequest<'_>) -> Option<Name> {
        let nearest = self.nearest_tier(request)?;
        let stays = request.class == Class::Bulk && self.policy.is_enabled(Mechanism::BulkStays);
        let mut best: Option<(usize, Duration)> = None;
        for link in
            Link::ALL.into_iter().filter(|link| !stays || *link <= nearest.max(Link::Region))
        {
            let Some(index) = self.draw_two_available(request, link) else {
                continue;
            };
            let wait = self.peers[index].reported_wait(request.now).unwrap_or_default();
            let cost = self.unloaded_cost(request, index)
                + wait
                + self.distance_cost(request, nearest, link);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        best.and_then(|(index, _)| self.name_of(index))
    }

    /// One of the nearest targets, however full it is.
    pub fn pick_nearest(&mut self, request: PickRequest<'_>) -> Option<Name> {
        let mut nearest =
            |request| Link::ALL.into_iter().find_map(|link| self.draw_two(request, link));
        let index = nearest(request).or_else(|| nearest(request.with_failing()))?;
        self.name_of(index)
    }

    /// A target that is not known to be full, or else one of the nearest.
    pub fn pick(&mut self, request: PickRequest<'_>) -> Option<Name> {
        self.pick_available(request).or_else(|| self.pick_nearest(request))
    }

    /// Address of the gatekeeper beside a target, and the run of the target that is meant.
    pub fn gate(&self, vm: &Name) -> Option<(SocketAddr, Option<Name>)> {
        self.peers.get(vm).map(|peer| (peer.gate, peer.incarnation.clone()))
    }

    /// What is known of a target, for the log.
    pub fn reason(&self, now: Time, vm: &Name, class: Class) -> Reason {
        let Some(peer) = self.peers.get(vm) else {
            return Reason::default();
        };
        let times = self.typical_latency.get_index(peer.service);
        let typical_latency = times.map_or(Duration::ZERO, |(_, times)| times[class as usize].mean);
        Reason { expected: peer.cost(now, class, typical_latency), load: peer.load }
    }

    /// A request goes to this target.
    pub fn request_started(&mut self, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.in_flight += 1;
        }
    }

    /// A request that went to this target is over.
    pub fn request_finished(&mut self, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }

    /// The target's answer began after `took`.
    pub fn record_response(&mut self, now: Time, vm: &Name, class: Class, took: Duration) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.failures = 0;
        peer.ejected_until = Time::ZERO;
        peer.record_outcome(now, false);
        if !self.policy.is_enabled(Mechanism::AnswerTimes) {
            return;
        }
        let known = &mut peer.response_time[class as usize];
        let mean = match *known {
            Some((mean, at)) if now.since(at) < RESPONSE_TIME_TTL => {
                (mean * (RESPONSE_TIME_WEIGHT - 1) + took) / RESPONSE_TIME_WEIGHT
            }
            _ => took,
        };
        *known = Some((mean, now));
        let service_time = took.saturating_sub(assumed_network_latency(peer.link));
        if let Some((_, stats)) = self.typical_latency.get_index_mut(peer.service) {
            stats[class as usize].record(service_time);
        }
    }

    /// The target had not answered after `took`, and the request was answered by another.
    pub fn record_lost_to_hedge(&mut self, now: Time, vm: &Name, class: Class, took: Duration) {
        let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::AnswerTimes))
        else {
            return;
        };
        let known = &mut peer.response_time[class as usize];
        let mean = known.map_or(took, |(mean, _)| mean.max(took));
        *known = Some((mean, now));
        if let Some((_, stats)) = self.typical_latency.get_index_mut(peer.service) {
            stats[class as usize].record(took);
        }
    }

    /// How long an attempt is waited for before it is hedged: until nearly all answers of the service
    /// have come, or until just before a hedge that takes the usual time would miss the objective.
    /// `None` before any answer has come.
    pub fn hedge_delay(&self, vm: &Name, class: Class, objective: Duration) -> Option<Duration> {
        let peer = self.peers.get(vm)?;
        let (_, stats) = self.typical_latency.get_index(peer.service)?;
        let LatencyStats { mean, deviation } = stats[class as usize];
        let network_latency = assumed_network_latency(peer.link);
        let slowest_expected = mean + deviation * HEDGE_DELAY_DEVIATIONS + network_latency;
        let latest_useful =
            objective.saturating_sub(mean * MAX_HEDGE_LATENCY_PERCENT / 100 + network_latency);
        let hedge_delay =
            slowest_expected.min(latest_useful.max(mean + deviation + network_latency));
        (!mean.is_zero()).then_some(hedge_delay)
    }

    /// A target that is not known to be full and is expected to answer as fast as is usual. Large
    /// answers stay in their zone: one of two is thrown away.
    pub fn pick_for_hedge(&mut self, request: PickRequest<'_>) -> Option<Name> {
        let vm = self.pick_available(request)?;
        let peer = self.peers.get(&vm)?;
        if request.class == Class::Bulk && peer.link != Link::Zone {
            return None;
        }
        let wait = peer.reported_wait(request.now).unwrap_or_default();
        let typical_latency = self.typical_latency(request);
        let expected = peer.unloaded_cost(request.now, request.class, typical_latency) + wait;
        let most = (typical_latency + assumed_network_latency(peer.link))
            * MAX_HEDGE_LATENCY_PERCENT
            / 100;
        (expected <= most).then_some(vm)
    }

    /// The target answered with a failure of its own, or not before the deadline.
    pub fn record_request_failure(&mut self, now: Time, vm: &Name) {
        if let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::FailureShare))
        {
            peer.record_outcome(now, true);
        }
    }

    /// The target's gatekeeper reported its load.
    pub fn record_load(&mut self, now: Time, vm: &Name, load: Load) {
        if let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::ReportedLoads))
        {
            peer.load = Some((load, now));
        }
    }

    /// The target failed or could not be reached.
    pub fn record_failure(&mut self, now: Time, vm: &Name) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.failures = peer.failures.saturating_add(1);
        if peer.failures >= EJECTION_FAILURES {
            let doublings = (peer.failures - EJECTION_FAILURES).min(8);
            peer.ejected_until = now + (MIN_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        }
    }

    /// The target's gatekeeper can't be reached. Unlike a request that failed, this is no matter of
    /// chance: the next would wait for a connection in vain as well.
    pub fn record_unreachable(&mut self, now: Time, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.failures = peer.failures.max(EJECTION_FAILURES - 1);
        }
        self.record_failure(now, vm);
    }

    /// The target's gatekeeper refused for load.
    pub fn record_overload(&mut self, now: Time, vm: &Name, terms: &Terms, retry_after: Duration) {
        if let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::FullKnown))
        {
            peer.set_overloaded(
                now,
                terms.class,
                terms.rank,
                retry_after.min(MAX_OVERLOAD_BACKOFF),
            );
        }
    }

    /// The target itself refused a request.
    pub fn record_rejection(&mut self, now: Time, vm: &Name) {
        if let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::FailureShare))
        {
            peer.record_outcome(now, true);
        }
    }

    /// The target's gatekeeper said that it is leaving.
    pub fn record_draining(&mut self, now: Time, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.draining_until = now + DRAINING_TTL;
        }
    }

    /// Whether a target is leaving, by its own word or by the view of members.
    pub fn is_draining(&self, now: Time, vm: &Name) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|peer| peer.not_live || peer.marked_leaving || peer.draining_until > now)
    }

    fn name_of(&self, index: usize) -> Option<Name> {
        self.peers.get_index(index).map(|(vm, _)| vm.clone())
    }

    /// The nearest tier with a target that can be reached and stays, however full it is.
    ///
    /// A way beyond it has its price even where every target is full: each zone's requests would
    /// otherwise wait at the other zones' targets, and cross in both directions.
    fn nearest_tier(&self, request: PickRequest<'_>) -> Option<Link> {
        let tiers = self.services.get(request.service.0 as usize)?;
        let usable = |index: &usize| {
            let peer = &self.peers[*index];
            peer.is_usable(request.now, TargetFilter::NotDraining, false)
                && peer.ejected_until <= request.now
        };
        let has_usable = |link: &Link| tiers.by_link[*link as usize].iter().any(usable);
        Link::ALL.into_iter().find(has_usable).or(Some(Link::CrossRegion))
    }

    /// What a way beyond the nearest tier costs.
    fn distance_cost(&self, request: PickRequest<'_>, nearest: Link, link: Link) -> Duration {
        if link <= nearest || !self.policy.is_enabled(Mechanism::Distance) {
            return Duration::ZERO;
        }
        let percent = self.policy.distance_percent[link as usize - 1];
        let factor = DISTANCE_FACTOR[request.class as usize];
        self.typical_latency(request) * percent * factor / 100
    }

    fn unloaded_cost(&self, request: PickRequest<'_>, index: usize) -> Duration {
        self.peers[index].unloaded_cost(request.now, request.class, self.typical_latency(request))
    }

    /// The cheaper of two usable targets drawn at random.
    fn draw_two(&mut self, request: PickRequest<'_>, link: Link) -> Option<usize> {
        self.draw_cheaper(request, link, |_| true)
    }

    /// The same among those that have not refused for load just now.
    fn draw_two_available(&mut self, request: PickRequest<'_>, link: Link) -> Option<usize> {
        self.draw_cheaper(request, link, |peer| {
            !peer.is_overloaded(request.now, request.class, request.rank)
        })
    }

    fn draw_cheaper(
        &mut self,
        request: PickRequest<'_>,
        link: Link,
        accept: impl Fn(&Peer) -> bool,
    ) -> Option<usize> {
        let first = self.draw(request, link, None, &accept)?;
        let Some(second) = self.draw(request, link, Some(first), &accept) else {
            return Some(first);
        };
        let limit = self.cost(request, first) * CHEAPER_PERCENT / 100;
        let cheaper = self.cost(request, second) < limit;
        Some(if cheaper { second } else { first })
    }

    fn cost(&self, request: PickRequest<'_>, index: usize) -> Duration {
        self.peers[index].cost(request.now, request.class, self.typical_latency(request))
    }

    fn typical_latency(&self, request: PickRequest<'_>) -> Duration {
        let times = self.typical_latency.get_index(request.service.0 as usize);
        times.map_or(Duration::ZERO, |(_, times)| times[request.class as usize].mean)
    }

    fn draw(
        &mut self,
        request: PickRequest<'_>,
        link: Link,
        excluded: Option<usize>,
        accept: &impl Fn(&Peer) -> bool,
    ) -> Option<usize> {
        let tiers = self.services.get(request.service.0 as usize)?;
        let tier = &tiers.by_link[link as usize];
        if tier.is_empty() {
            return None;
        }
        let usable = |index: &usize| {
            let Some((vm, peer)) = self.peers.get_index(*index) else {
                return false;
            };
            Some(*index) != excluded
                && !request.tried.contains(vm)
                && peer.is_usable(request.now, request.filter, tiers.ignore_membership)
                && accept(peer)
        };
        for _ in 0..MAX_DRAWS {
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
