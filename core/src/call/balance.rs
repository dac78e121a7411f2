//! Load balancing across the targets of a service: the cheapest of a few random choices, preferring
//! nearby targets.
//!
//! Each zone serves its own callers. A request leaves the zone only if it saves more waiting time
//! than the distance costs.

mod failure_rate;
mod latency;
mod peer;
mod request;
mod run_times;
mod shared;
mod stated;
mod tiers;
mod zones;

pub use request::PickRequest;

use super::entry::TargetEstimate;
use super::policy::{Mechanism, Policy};
use super::{Load, Members, TargetProcess, Terms};
use crate::config::{Class, Snapshot, allows_region};
use crate::member::VmState;
use crate::place::{Link, Place};
use crate::{Name, Time};
use failure_rate::{FailureRate, SERVICE_EWMA_DIVISOR};
use indexmap::IndexMap;
use latency::LatencyStats;
use peer::{Peer, TargetFilter, assumed_network_latency};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use run_times::RequestInterval;
use shared::SharedWait;
use stated::StatedTargets;
use std::net::SocketAddr;
use std::time::Duration;
use zones::ZoneView;

/// A target counts as cheaper if its cost is below this percentage of the other's. Targets of
/// similar cost share the load, which also keeps their measurements current.
const CHEAPER_PERCENT: u32 = 80;

/// Mean deviations above the mean at which an attempt is considered slow enough to hedge.
const HEDGE_DELAY_DEVIATIONS: u32 = 4;

/// Maximum expected latency of a hedge's target, in percent of the typical latency. A slower target
/// is unlikely to respond before the primary, unless that has been silent for even longer.
const MAX_HEDGE_LATENCY_PERCENT: u32 = 150;

/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 2;

/// Bounds of the ejection time.
const MIN_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// How long a target is avoided after it reported that it is draining, unless another process of it
/// is listed before. A gatekeeper reports so until its process exits and may be back soon after, which
/// nothing announces; asking one that is still draining costs only a rejection.
const DRAINING_TTL: Duration = Duration::from_millis(1_000);

/// Random targets of which the cheapest is taken.
const CANDIDATES: usize = 3;

/// Random draws before the list of targets is searched linearly.
const MAX_DRAWS: usize = 4;

/// Upper bound for `retry_after` of an overloaded target.
const MAX_OVERLOAD_BACKOFF: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Default)]
struct ServiceTargets {
    // Indexes into `Balancer::peers`, by distance.
    by_link: [Vec<usize>; 3],
    // Set if the membership view reports most targets of the service as not live.
    ignore_membership: bool,
    shared_wait: SharedWait,
}

/// Kept when a configuration version changes the targets of a service.
#[derive(Clone, Debug, Default)]
struct ServiceStatistics {
    // Typical latency by class, without the network.
    latency: [LatencyStats; 3],
    // Of all attempts of this node.
    failure_rate: FailureRate,
    request_interval: RequestInterval,
    // Views by zone. A zone that is no longer listed keeps its index.
    zones: IndexMap<Name, ZoneView>,
}

/// Load balancer of one entry node.
#[derive(Debug)]
pub struct Balancer {
    place: Place,
    rng: Pcg64Mcg,
    peers: IndexMap<Name, Peer>,
    services: Vec<ServiceTargets>,
    // What is known of all targets of a service. Same order as `services`.
    statistics: IndexMap<Name, ServiceStatistics>,
    stated: StatedTargets,
    policy: Policy,
}

impl Balancer {
    /// Creates a balancer without targets. `place` is the location of the entry node.
    pub fn new(place: Place, seed: u64) -> Balancer {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (peers, statistics) = (IndexMap::new(), IndexMap::new());
        let (services, stated, policy) = (Vec::new(), StatedTargets::new(), Policy::new());
        Balancer { place, rng, peers, services, statistics, stated, policy }
    }

    pub fn with_policy(mut self, policy: Policy) -> Balancer {
        self.policy = policy;
        self
    }

    /// Applies a configuration version. Keeps the state of targets that remain.
    pub fn configure(&mut self, snapshot: &Snapshot, members: &Members) {
        let mut before = std::mem::take(&mut self.peers);
        for entry in snapshot.targets() {
            let link = self.place.link_to(&entry.target.place());
            let known = before.swap_remove(&entry.target.vm);
            let region = &entry.target.region;
            let mut peer = known.unwrap_or_else(|| Peer::new(entry.target.gate, region, link));
            peer.gatekeeper = entry.target.gate;
            self.stated.apply_process(&mut peer, &entry.target);
            peer.service = entry.service.0 as usize;
            peer.slots = entry.target.slots;
            peer.closed = !entry.target.accepts_requests();
            peer.region = region.clone();
            peer.link = link;
            self.peers.insert(entry.target.vm.clone(), peer);
        }
        let mut statistics = std::mem::take(&mut self.statistics);
        self.services.clear();
        for entry in snapshot.services() {
            let known = statistics.swap_remove(&entry.name).unwrap_or_default();
            self.statistics.insert(entry.name.clone(), known);
            self.services.push(ServiceTargets::default());
        }
        for (index, entry) in snapshot.targets().iter().enumerate() {
            let link = self.peers[index].link;
            self.services[entry.service.0 as usize].by_link[link as usize].push(index);
        }
        self.assign_zones(snapshot);
        self.mark_shared(snapshot);
        self.update_members(members);
    }

    /// Applies a membership view, which is only a hint.
    ///
    /// A view that reports most targets of a service as gone is ignored: routing all requests to
    /// the remaining few would overload them.
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

    /// Selects one of the nearest targets, regardless of its load.
    pub fn pick_nearest(&mut self, request: PickRequest<'_>) -> Option<Name> {
        let mut nearest =
            |request| Link::ALL.into_iter().find_map(|link| self.draw_any(request, link));
        let index = nearest(request).or_else(|| nearest(request.with_failing()))?;
        self.name_of(index)
    }

    /// Selects a target that is not known to be overloaded, or else one of the nearest.
    pub fn pick(&mut self, request: PickRequest<'_>) -> Option<Name> {
        self.pick_available(request).or_else(|| self.pick_nearest(request))
    }

    /// Returns the address of a target's gatekeeper and the expected process of the target.
    pub fn gate(&self, vm: &Name) -> Option<(SocketAddr, TargetProcess)> {
        self.peers.get(vm).map(|peer| (peer.gatekeeper, TargetProcess::of(peer)))
    }

    /// Whether response times of the target's service were measured.
    pub fn is_measured(&self, vm: &Name, class: Class) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| !self.typical_latency_of(peer.service, class).is_zero())
    }

    /// Returns what is known of a target.
    pub fn estimate(&self, now: Time, vm: &Name, class: Class) -> TargetEstimate {
        let Some(peer) = self.peers.get(vm) else {
            return TargetEstimate::default();
        };
        let expected = peer.cost(now, class, self.typical_latency_of(peer.service, class));
        let (load, known_limit) = (peer.load, peer.stated.limit);
        TargetEstimate { expected, load, known_limit, recall_delay_ms: None }
    }

    pub fn request_started(&mut self, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.in_flight += 1;
        }
    }

    pub fn request_finished(&mut self, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }

    /// Records that a response started after `took`.
    pub fn record_response(&mut self, now: Time, vm: &Name, class: Class, took: Duration) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.failures = 0;
        peer.ejected_until = Time::ZERO;
        peer.record_outcome(now, false);
        let Some((_, statistics)) = self.statistics.get_index_mut(peer.service) else {
            return;
        };
        statistics.failure_rate.record(now, false, SERVICE_EWMA_DIVISOR);
        if !self.policy.is_enabled(Mechanism::AnswerTimes) {
            return;
        }
        let service_time = took.saturating_sub(assumed_network_latency(peer.link));
        let latency = &mut statistics.latency[class as usize];
        peer.record_response_time(now, class, took, latency.mean);
        latency.record(service_time);
    }

    /// Records that the target had not responded after `took`, when its hedge received a response.
    pub fn record_lost_to_hedge(&mut self, now: Time, vm: &Name, class: Class, took: Duration) {
        let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::AnswerTimes))
        else {
            return;
        };
        let known = &mut peer.response_time[class as usize];
        let mean = known.map_or(took, |(mean, _)| mean.max(took));
        *known = Some((mean, now));
        if let Some((_, statistics)) = self.statistics.get_index_mut(peer.service) {
            statistics.latency[class as usize].record(took);
        }
    }

    /// Returns the delay before an attempt is hedged: the time by which nearly all responses
    /// arrive, or less if a hedge of typical latency would otherwise miss the objective. Returns
    /// `None` until a response has been measured.
    pub fn hedge_delay(&self, vm: &Name, class: Class, objective: Duration) -> Option<Duration> {
        let peer = self.peers.get(vm)?;
        let (_, statistics) = self.statistics.get_index(peer.service)?;
        let LatencyStats { mean, deviation } = statistics.latency[class as usize];
        let network_latency = assumed_network_latency(peer.link);
        let slowest_expected = mean + deviation * HEDGE_DELAY_DEVIATIONS + network_latency;
        let latest_useful =
            objective.saturating_sub(mean * MAX_HEDGE_LATENCY_PERCENT / 100 + network_latency);
        let hedge_delay =
            slowest_expected.min(latest_useful.max(mean + deviation + network_latency));
        (!mean.is_zero()).then_some(hedge_delay)
    }

    /// Selects a target that is not known to be overloaded and is expected to respond with typical
    /// latency. Within the zone, a slower one is accepted if the primary has been silent for longer
    /// than it is expected to take. Bulk requests stay within the zone because one of the two
    /// responses is discarded.
    pub fn pick_for_hedge(
        &mut self,
        request: PickRequest<'_>,
        silent_for: Duration,
    ) -> Option<Name> {
        let vm = self.pick_available(request)?;
        let peer = self.peers.get(&vm)?;
        if request.class == Class::Bulk && peer.link != Link::Zone {
            return None;
        }
        let wait = peer.reported_wait(request.now, request.class).unwrap_or_default();
        let typical_latency = self.typical_latency(request);
        let expected = peer.unloaded_cost(request.now, request.class, typical_latency) + wait;
        let max_expected = (typical_latency + assumed_network_latency(peer.link))
            * MAX_HEDGE_LATENCY_PERCENT
            / 100;
        // Bytes across zones are billed, and a slow target is less likely to respond first.
        let is_better = peer.link == Link::Zone && expected <= silent_for;
        (expected <= max_expected || is_better).then_some(vm)
    }

    /// Last reported wait for a slot of a class at a target; zero if it is not known.
    pub fn reported_wait(&self, now: Time, vm: &Name, class: Class) -> Duration {
        self.peers.get(vm).and_then(|peer| peer.reported_wait(now, class)).unwrap_or_default()
    }

    /// Whether a target is not known to have a request for each of its slots.
    pub fn has_room(&self, now: Time, vm: &Name) -> bool {
        self.peers.get(vm).is_some_and(|peer| peer.has_room(now))
    }

    /// Records an error response, or that the deadline passed without a response.
    pub fn record_request_failure(&mut self, now: Time, vm: &Name) {
        let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::FailureShare))
        else {
            return;
        };
        peer.record_outcome(now, true);
        if let Some((_, statistics)) = self.statistics.get_index_mut(peer.service) {
            statistics.failure_rate.record(now, true, SERVICE_EWMA_DIVISOR);
        }
    }

    pub fn record_load(&mut self, now: Time, vm: &Name, load: Load) {
        let Some(peer) =
            self.peers.get_mut(vm).filter(|_| self.policy.is_enabled(Mechanism::ReportedLoads))
        else {
            return;
        };
        peer.load = Some((load, now));
        self.statistics[peer.service].zones[peer.zone].record(now, load);
        if self.policy.is_enabled(Mechanism::ReportedRunTimes) {
            let targets = self.services[peer.service].by_link[peer.link as usize].len();
            let known = self.statistics.get_index(peer.service);
            let interval = known.map(|(_, known)| known.request_interval).unwrap_or_default();
            peer.run_times.record(now, load, interval.report_ttl(targets));
        }
        if peer.shared {
            self.services[peer.service].shared_wait.record(now, load);
        }
    }

    /// Records that the target failed or could not be reached. Ejects it after repeated failures.
    ///
    /// Failures during an ejection are those of attempts that were sent before it. They say nothing
    /// about how long the target will be unreachable.
    pub fn record_failure(&mut self, now: Time, vm: &Name) {
        let Some(peer) = self.peers.get_mut(vm).filter(|peer| peer.ejected_until <= now) else {
            return;
        };
        peer.failures = peer.failures.saturating_add(1);
        if peer.failures >= EJECTION_FAILURES {
            let doublings = (peer.failures - EJECTION_FAILURES).min(8);
            peer.ejected_until = now + (MIN_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        }
    }

    /// Records that the gatekeeper could not be reached, which ejects the target immediately:
    /// further requests would also wait for a connection in vain.
    pub fn record_unreachable(&mut self, now: Time, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.failures = peer.failures.max(EJECTION_FAILURES - 1);
        }
        self.record_failure(now, vm);
    }

    /// Records that the gatekeeper rejected a request because of load.
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

    /// Records that the target itself rejected a request.
    pub fn record_rejection(&mut self, now: Time, vm: &Name) {
        self.record_request_failure(now, vm);
    }

    /// Records that the gatekeeper reported the target as draining.
    pub fn record_draining(&mut self, now: Time, vm: &Name) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.draining_until = now + DRAINING_TTL;
        }
    }

    /// Whether a target is draining, according to its gatekeeper, the configuration or the
    /// membership view.
    pub fn is_draining(&self, now: Time, vm: &Name) -> bool {
        self.peers.get(vm).is_some_and(|peer| {
            peer.not_live || !peer.is_usable(now, TargetFilter::NotDraining, true)
        })
    }

    fn name_of(&self, index: usize) -> Option<Name> {
        self.peers.get_index(index).map(|(vm, _)| vm.clone())
    }

    fn unloaded_cost(&self, request: PickRequest<'_>, index: usize) -> Duration {
        self.peers[index].unloaded_cost(request.now, request.class, self.typical_latency(request))
    }

    /// Expected response time with the reported wait, without the cost of the distance.
    fn waiting_cost(&self, request: PickRequest<'_>, index: usize) -> Duration {
        let wait = self.peers[index].reported_wait(request.now, request.class).unwrap_or_default();
        self.unloaded_cost(request, index) + wait
    }

    /// Draws the cheapest of a few random usable targets.
    fn draw_any(&mut self, request: PickRequest<'_>, link: Link) -> Option<usize> {
        self.draw_cheapest(request, link, |_| true)
    }

    /// Like `draw_any`, but skips targets that recently rejected because of load.
    fn draw_available(&mut self, request: PickRequest<'_>, link: Link) -> Option<usize> {
        self.draw_cheapest(request, link, |peer| {
            !peer.is_overloaded(request.now, request.class, request.rank)
        })
    }

    fn draw_cheapest(
        &mut self,
        request: PickRequest<'_>,
        link: Link,
        accept: impl Fn(&Peer) -> bool,
    ) -> Option<usize> {
        let mut best = self.draw(request, link, &[], &accept)?;
        let mut drawn = [best; CANDIDATES];
        for count in 1..CANDIDATES {
            let Some(next) = self.draw(request, link, &drawn[..count], &accept) else {
                break;
            };
            drawn[count] = next;
            if self.cost(request, next) < self.cost(request, best) * CHEAPER_PERCENT / 100 {
                best = next;
            }
        }
        Some(best)
    }

    fn cost(&self, request: PickRequest<'_>, index: usize) -> Duration {
        self.peers[index].cost(request.now, request.class, self.typical_latency(request))
    }

    fn typical_latency(&self, request: PickRequest<'_>) -> Duration {
        self.typical_latency_of(request.service.0 as usize, request.class)
    }

    fn typical_latency_of(&self, service: usize, class: Class) -> Duration {
        let known = self.statistics.get_index(service);
        known.map_or(Duration::ZERO, |(_, known)| known.latency[class as usize].mean)
    }

    fn draw(
        &mut self,
        request: PickRequest<'_>,
        link: Link,
        excluded: &[usize],
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
            !excluded.contains(index)
                && !request.tried.contains(vm)
                && allows_region(request.regions, &peer.region)
                && peer.is_usable(request.now, request.filter, tiers.ignore_membership)
                && accept(peer)
        };
        for _ in 0..MAX_DRAWS {
            let index = tier[self.rng.random_range(0..tier.len())];
            if usable(&index) {
                return Some(index);
            }
        }
        // Few targets are usable: search linearly from a random position.
        let start = self.rng.random_range(0..tier.len());
        tier[start..].iter().chain(&tier[..start]).copied().find(usable)
    }
}
