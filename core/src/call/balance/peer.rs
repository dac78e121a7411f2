//! State of a target as seen by an entry node, and the estimated cost of sending a request to it.

use super::failure_rate::{FAILURE_SCALE, FailureRate};
use super::run_times::ReportedRunTimes;
use crate::call::{Load, TargetStatements};
use crate::config::Class;
use crate::place::Link;
use crate::{Name, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// Assumed network latency by distance, used until a target has been measured. A lower bound,
/// because a target assumed to be slower than its neighbors would never be tried.
const ZONE_LATENCY: Duration = Duration::from_millis(1);
const REGION_LATENCY: Duration = Duration::from_millis(2);
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(40);

/// Response times below this are treated as equal, so that the load decides.
const MIN_RESPONSE_TIME: Duration = ZONE_LATENCY;

/// How long a measured response time or failure rate is used. Its weight decays over this time, so
/// that slow or failing targets are tried again: the sooner the less slow they were, and after this
/// time as if they were new.
const MEASUREMENT_TTL: Duration = Duration::from_secs(5);

/// The newest response time contributes 1/n to the moving average.
const RESPONSE_TIME_WEIGHT: u32 = 8;

/// How long a load report is used.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

/// Slots assumed for a target that has not reported any.
const DEFAULT_SLOTS: u32 = 8;

/// The newest attempt is weighted by the reciprocal of this in the moving failure rate.
const FAILURE_EWMA_DIVISOR: u32 = 8;

/// Cost added for a target that fails every request, as a multiple of its expected response time.
/// Keeps requests away from a target that often fails although its health check passes. One that
/// fails half of its requests is used only when the others are far from free.
const FAILURE_COST_FACTOR: u32 = 8;

/// A target that requests can be sent to, as seen by this node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of the target's gatekeeper.
    pub gatekeeper: SocketAddr,
    /// Expected incarnation of the target process.
    pub incarnation: Option<Name>,
    /// When the target process started, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// What the target process has stated.
    pub stated: TargetStatements,
    /// Index of the service.
    pub service: usize,
    /// Index of the zone among those of the service.
    pub zone: usize,
    /// Region of the target.
    pub region: Name,
    /// Distance to the target.
    pub link: Link,
    /// Configured slots, used until the target reports its own.
    pub slots: Option<u32>,
    /// Requests sent by this node that are in progress.
    pub in_flight: u32,
    /// Last load report, and when it was received.
    pub load: Option<(Load, Time)>,
    /// Mean response time by class as measured by this node, and when it was last measured.
    pub response_time: [Option<(Duration, Time)>; 3],
    /// Mean run times reported by the gatekeeper.
    pub run_times: ReportedRunTimes,
    pub(super) failure_rate: FailureRate,
    /// Consecutive failures.
    pub failures: u32,
    /// End of the ejection.
    pub ejected_until: Time,
    /// Most recent rejection because of load, by class.
    pub overload: [Option<Overload>; 3],
    /// When the gatekeeper's report that the target is draining expires.
    pub draining_until: Time,
    /// Whether the membership view reports a state other than live.
    pub not_live: bool,
    /// Whether the configuration says that the target accepts no new requests.
    pub closed: bool,
    /// Whether requests that are bound to regions may use the target.
    pub shared: bool,
}

/// A rejection because of load.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Lowest rank, that is the highest priority, that was rejected.
    pub rank: u8,
    /// When requests may be sent again.
    pub until: Time,
}

/// Which targets are eligible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFilter {
    /// Neither draining nor ejected.
    Healthy,
    /// Not draining, but possibly ejected.
    NotDraining,
}

impl Peer {
    pub fn new(gatekeeper: SocketAddr, region: &Name, link: Link) -> Peer {
        Peer {
            gatekeeper,
            incarnation: None,
            started_ms: None,
            stated: TargetStatements::default(),
            service: 0,
            zone: 0,
            region: region.clone(),
            link,
            slots: None,
            in_flight: 0,
            load: None,
            response_time: [None; 3],
            run_times: ReportedRunTimes::new(),
            failure_rate: FailureRate::default(),
            failures: 0,
            ejected_until: Time::ZERO,
            overload: [None; 3],
            draining_until: Time::ZERO,
            not_live: false,
            closed: false,
            shared: false,
        }
    }

    /// Whether requests may be sent to this target.
    pub fn is_usable(&self, now: Time, filter: TargetFilter, ignore_membership: bool) -> bool {
        if self.draining_until > now || self.closed || self.stated.leaving {
            return false;
        }
        match filter {
            TargetFilter::Healthy => {
                let live = !self.not_live || ignore_membership;
                live && self.ejected_until <= now
            }
            TargetFilter::NotDraining => true,
        }
    }

    /// Whether a request of this class and of this or a higher priority was recently rejected because
    /// of load.
    pub fn is_overloaded(&self, now: Time, class: Class, rank: u8) -> bool {
        self.overload[class as usize]
            .is_some_and(|overload| overload.until > now && overload.rank <= rank)
    }

    pub fn set_overloaded(&mut self, now: Time, class: Class, rank: u8, wait: Duration) {
        let known = &mut self.overload[class as usize];
        let active = known.filter(|overload| overload.until > now);
        let rank = active.map_or(rank, |overload| overload.rank.min(rank));
        *known = Some(Overload { rank, until: now + wait });
    }

    /// Expected response time, scaled by the load and the failure rate of the target.
    pub fn cost(&self, now: Time, class: Class, typical_latency: Duration) -> Duration {
        let response_time = self.expected_response_time(now, class, typical_latency);
        let (outstanding, slots) = self.outstanding(now);
        let waiting = outstanding.saturating_sub(slots);
        // Requests beyond the slots count three times.
        let requests = slots.saturating_add(outstanding).saturating_add(waiting.saturating_mul(2));
        let time = response_time * requests / slots;
        time + time * FAILURE_COST_FACTOR * self.failure_rate.decayed(now) / FAILURE_SCALE
    }

    /// Expected response time, scaled by the failure rate but not by the load.
    pub fn unloaded_cost(&self, now: Time, class: Class, typical_latency: Duration) -> Duration {
        self.cost_beyond(now, class, typical_latency, 0)
    }

    /// Like [`Peer::unloaded_cost`], scaled only by how far the failure rate exceeds that of the
    /// service.
    pub(super) fn cost_beyond(
        &self,
        now: Time,
        class: Class,
        typical_latency: Duration,
        service_rate: u32,
    ) -> Duration {
        let time = self.expected_response_time(now, class, typical_latency);
        let excess = self.failure_rate.decayed(now).saturating_sub(service_rate);
        time + time * FAILURE_COST_FACTOR * excess / FAILURE_SCALE
    }

    /// Expected queueing time of a request of a class from the last load report. Returns `None` if
    /// the report is too old.
    pub fn reported_wait(&self, now: Time, class: Class) -> Option<Duration> {
        let (load, at) = self.load?;
        let wait_ms = match class {
            Class::Bulk => load.bulk_wait_ms.unwrap_or(load.wait_ms),
            Class::Gating | Class::Interactive => load.wait_ms,
        };
        (now.since(at) < LOAD_REPORT_TTL).then(|| Duration::from_millis(wait_ms.into()))
    }

    /// Whether fewer requests than slots are known to be at the target.
    pub fn has_room(&self, now: Time) -> bool {
        let (outstanding, slots) = self.outstanding(now);
        outstanding < slots
    }

    /// Returns the number of requests known to be at the target, and its slots.
    fn outstanding(&self, now: Time) -> (u32, u32) {
        let recent = |at: Time| now.since(at) < LOAD_REPORT_TTL;
        let load = self.load.filter(|(_, at)| recent(*at)).map(|(load, _)| load);
        let slots = load.map(|load| load.slots).or(self.slots).unwrap_or(DEFAULT_SLOTS);
        let reported = load.map_or(0, |load| load.in_flight.saturating_add(load.queued));
        (reported.max(self.in_flight), slots.max(1))
    }

    fn expected_response_time(
        &self,
        now: Time,
        class: Class,
        typical_latency: Duration,
    ) -> Duration {
        let assumed = self.assumed_response_time(now, class, typical_latency);
        let Some((mean, at)) = self.response_time[class as usize] else {
            return self.run_times.scale_to_pace(now, assumed);
        };
        let age = now.since(at).min(MEASUREMENT_TTL);
        // The difference from the assumed latency decays, so that the target is tried again.
        let (left, ttl) =
            ((MEASUREMENT_TTL - age).as_millis() as u32, MEASUREMENT_TTL.as_millis() as u32);
        let expected = match mean > assumed {
            true => assumed + (mean - assumed) * left / ttl,
            false => assumed - (assumed - mean) * left / ttl,
        };
        self.run_times.scale_to_pace(now, expected).max(MIN_RESPONSE_TIME)
    }

    /// Records a measured response time. A target that has not been measured recently starts from
    /// what its gatekeeper reports: a single response says little about its latency.
    pub fn record_response_time(
        &mut self,
        now: Time,
        class: Class,
        took: Duration,
        typical_latency: Duration,
    ) {
        let recent = self.response_time[class as usize]
            .filter(|(_, at)| now.since(*at) < MEASUREMENT_TTL)
            .map(|(mean, _)| mean);
        let reported = self.run_times.is_known(class);
        let assumed = || reported.then(|| self.assumed_response_time(now, class, typical_latency));
        let mean = match recent.or_else(assumed) {
            Some(mean) => (mean * (RESPONSE_TIME_WEIGHT - 1) + took) / RESPONSE_TIME_WEIGHT,
            None => took,
        };
        self.response_time[class as usize] = Some((mean, now));
    }

    /// Response time expected without a measurement of this node.
    fn assumed_response_time(
        &self,
        now: Time,
        class: Class,
        typical_latency: Duration,
    ) -> Duration {
        let run_time = self.run_times.usual(now, class, typical_latency);
        assumed_network_latency(self.link) + run_time
    }

    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        self.failure_rate.record(now, failed, FAILURE_EWMA_DIVISOR);
    }
}

/// Network latency assumed for a distance.
pub fn assumed_network_latency(link: Link) -> Duration {
    match link {
        Link::Zone => ZONE_LATENCY,
        Link::Region => REGION_LATENCY,
        Link::CrossRegion => CROSS_REGION_LATENCY,
    }
}
