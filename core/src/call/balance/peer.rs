//! What an entry node knows of one target, and what a request there is expected to cost.

use crate::call::Load;
use crate::config::Class;
use crate::place::Link;
use crate::{Name, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// Answer time assumed of a target that has not been measured lately, by the link to it: the
/// least that it can be, since one that is assumed slower than its neighbours would never be tried.
const ZONE_LATENCY: Duration = Duration::from_millis(1);
const REGION_LATENCY: Duration = Duration::from_millis(2);
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(40);

/// Shortest answer time that is told from a shorter one; below it the load decides.
const MIN_RESPONSE_TIME: Duration = ZONE_LATENCY;

/// How long a measured answer time counts, ever less. A target that was slow is tried again the
/// sooner the less slow it was, and after this time as if new.
pub const RESPONSE_TIME_TTL: Duration = Duration::from_secs(5);

/// How long a reported load counts.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

/// Slots assumed of a target that has reported none.
const DEFAULT_SLOTS: u32 = 8;

/// Weight of the newest attempt in the running share of failures, as one part in so many.
const FAILURE_WEIGHT: u32 = 8;

/// Parts of the share of failures; the share is counted in these.
const FAILURE_SCALE: u32 = 1_024;

/// How much dearer a target counts that fails every request, as a multiple. One that fails half
/// of them while its health check is good then gets work only when the others are far from free.
const FAILURE_COST_FACTOR: u32 = 8;

/// One target as an entry node sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of the gatekeeper beside it.
    pub gate: SocketAddr,
    /// The run of the target that is meant.
    pub incarnation: Option<Name>,
    /// Index of its service.
    pub service: usize,
    /// How far away it is.
    pub link: Link,
    /// By the configuration, until the target reports its own.
    pub slots: Option<u32>,
    /// Requests of this node that are there.
    pub in_flight: u32,
    /// Its last report, and when it came.
    pub load: Option<(Load, Time)>,
    /// Mean time of its answers by class, and when it was measured.
    pub response_time: [Option<(Duration, Time)>; 3],
    /// Share of attempts that failed of late, and when the last one ended.
    pub failure_rate: (u32, Time),
    /// In a row.
    pub failures: u32,
    /// After failures.
    pub ejected_until: Time,
    /// By its gatekeeper's word, for requests of a class from a rank on.
    pub overload: [Option<Overload>; 3],
    /// By its gatekeeper's word.
    pub draining_until: Time,
    /// By the view of members.
    pub not_live: bool,
    /// By the target's own entry.
    pub marked_leaving: bool,
}

/// A refusal for load that still holds.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// The most urgent rank that was refused.
    pub rank: u8,
    /// When a request may be tried again.
    pub until: Time,
}

/// How strictly targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFilter {
    /// Neither leaving nor failing nor full.
    Healthy,
    /// Not leaving by its own word.
    NotDraining,
}

impl Peer {
    /// A target of which nothing is known.
    pub fn new(gate: SocketAddr, link: Link) -> Peer {
        Peer {
            gate,
            incarnation: None,
            service: 0,
            link,
            slots: None,
            in_flight: 0,
            load: None,
            response_time: [None; 3],
            failure_rate: (0, Time::ZERO),
            failures: 0,
            ejected_until: Time::ZERO,
            overload: [None; 3],
            draining_until: Time::ZERO,
            not_live: false,
            marked_leaving: false,
        }
    }

    /// Whether requests may go there.
    pub fn is_usable(&self, now: Time, filter: TargetFilter, ignore_membership: bool) -> bool {
        if self.draining_until > now || self.marked_leaving {
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

    /// Whether a request like this one has been refused for load just now.
    pub fn is_overloaded(&self, now: Time, class: Class, rank: u8) -> bool {
        self.overload[class as usize]
            .is_some_and(|overload| overload.until > now && overload.rank <= rank)
    }

    /// Takes a refusal for load in.
    pub fn set_overloaded(&mut self, now: Time, class: Class, rank: u8, wait: Duration) {
        let known = &mut self.overload[class as usize];
        let active = known.filter(|overload| overload.until > now);
        let rank = active.map_or(rank, |overload| overload.rank.min(rank));
        *known = Some(Overload { rank, until: now + wait });
    }

    /// Expected time to an answer: the measured time, stretched by how full the target is and by
    /// how often it has failed of late.
    pub fn cost(&self, now: Time, class: Class, typical_latency: Duration) -> Duration {
        let response_time = self.expected_response_time(now, class, typical_latency);
        let (outstanding, slots) = self.outstanding(now);
        let waiting = outstanding.saturating_sub(slots);
        let time = response_time * (slots + outstanding + waiting * 2) / slots;
        time + time * FAILURE_COST_FACTOR * self.decayed_failure_rate(now) / FAILURE_SCALE
    }

    /// Expected time to an answer without regard to load: what tells a target that is slow, or
    /// fails, from a sound one.
    pub fn unloaded_cost(&self, now: Time, class: Class, typical_latency: Duration) -> Duration {
        let time = self.expected_response_time(now, class, typical_latency);
        time + time * FAILURE_COST_FACTOR * self.decayed_failure_rate(now) / FAILURE_SCALE
    }

    /// How long a request would wait there by its last report; `None` if that is too old.
    pub fn reported_wait(&self, now: Time) -> Option<Duration> {
        let (load, at) = self.load?;
        (now.since(at) < LOAD_REPORT_TTL).then(|| Duration::from_millis(load.wait_ms.into()))
    }

    /// Requests known to be there, and its slots.
    fn outstanding(&self, now: Time) -> (u32, u32) {
        let recent = |at: Time| now.since(at) < LOAD_REPORT_TTL;
        let load = self.load.filter(|(_, at)| recent(*at)).map(|(load, _)| load);
        let slots = load.map(|load| load.slots).or(self.slots).unwrap_or(DEFAULT_SLOTS);
        let reported = load.map_or(0, |load| load.in_flight + load.queued);
        (reported.max(self.in_flight), slots.max(1))
    }

    fn expected_response_time(
        &self,
        now: Time,
        class: Class,
        typical_latency: Duration,
    ) -> Duration {
        let assumed = assumed_network_latency(self.link) + typical_latency;
        let Some((mean, at)) = self.response_time[class as usize] else {
            return assumed;
        };
        let age = now.since(at).min(RESPONSE_TIME_TTL);
        let left = (RESPONSE_TIME_TTL - age).as_millis() as u32;
        let above = mean.saturating_sub(assumed) * left / RESPONSE_TIME_TTL.as_millis() as u32;
        (mean.min(assumed) + above).max(MIN_RESPONSE_TIME)
    }

    /// Counts an attempt that ended.
    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        let newest = if failed { FAILURE_SCALE } else { 0 };
        let share = self.decayed_failure_rate(now) * (FAILURE_WEIGHT - 1) + newest;
        self.failure_rate = (share / FAILURE_WEIGHT, now);
    }

    /// The share of failures, which counts ever less while nothing is tried.
    fn decayed_failure_rate(&self, now: Time) -> u32 {
        let (share, at) = self.failure_rate;
        let age = now.since(at).min(RESPONSE_TIME_TTL);
        let left = (RESPONSE_TIME_TTL - age).as_millis() as u32;
        share * left / RESPONSE_TIME_TTL.as_millis() as u32
    }
}

/// Answer time assumed over such a link, the target's own time left out.
pub fn assumed_network_latency(link: Link) -> Duration {
    match link {
        Link::Zone => ZONE_LATENCY,
        Link::Region => REGION_LATENCY,
        Link::CrossRegion => CROSS_REGION_LATENCY,
    }
}
