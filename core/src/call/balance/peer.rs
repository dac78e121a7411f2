//! What an entry node knows of one target, and what a request there is expected to cost.

use crate::call::Load;
use crate::config::Class;
use crate::place::Link;
use crate::{Name, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// Answer time assumed of a target that has not been measured lately, by the link to it: the
/// least that it can be, since one that is assumed slower than its neighbours would never be tried.
const ZONE_ANSWER_TIME: Duration = Duration::from_millis(1);
const REGION_ANSWER_TIME: Duration = Duration::from_millis(2);
const ACROSS_ANSWER_TIME: Duration = Duration::from_millis(40);

/// Shortest answer time that is told from a shorter one; below it the load decides.
const MIN_ANSWER_TIME: Duration = ZONE_ANSWER_TIME;

/// How long a measured answer time counts, ever less. A target that was slow is tried again the
/// sooner the less slow it was, and after this time as if new.
pub const ANSWER_TIME_LIFE: Duration = Duration::from_secs(5);

/// How long a reported load counts.
const LOAD_LIFE: Duration = Duration::from_secs(1);

/// Slots assumed of a target that has reported none.
const UNKNOWN_SLOTS: u32 = 8;

/// Weight of the newest attempt in the running share of failures, as one part in so many.
const FAILED_WEIGHT: u32 = 8;

/// Parts of the share of failures; the share is counted in these.
const FAILED_WHOLE: u32 = 1_024;

/// How much dearer a target counts that fails every request, as a multiple. One that fails half
/// of them while its health check is good then gets work only when the others are far from free.
const FAILED_COST: u32 = 8;

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
    pub answer_time: [Option<(Duration, Time)>; 3],
    /// Share of attempts that failed of late, and when the last one ended.
    pub failed_share: (u32, Time),
    /// In a row.
    pub failures: u32,
    /// After failures.
    pub avoid_until: Time,
    /// By its gatekeeper's word, for requests of a class from a rank on.
    pub full: [Option<Full>; 3],
    /// By its gatekeeper's word.
    pub leaving_until: Time,
    /// By the view of members.
    pub leaving: bool,
    /// By the target's own entry.
    pub listed_leaving: bool,
}

/// A refusal for load that still holds.
#[derive(Clone, Copy, Debug)]
pub struct Full {
    /// The most urgent rank that was refused.
    pub rank: u8,
    /// When a request may be tried again.
    pub until: Time,
}

/// How strictly targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// Neither leaving nor failing nor full.
    Healthy,
    /// Not leaving by its own word.
    Staying,
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
            answer_time: [None; 3],
            failed_share: (0, Time::ZERO),
            failures: 0,
            avoid_until: Time::ZERO,
            full: [None; 3],
            leaving_until: Time::ZERO,
            leaving: false,
            listed_leaving: false,
        }
    }

    /// Whether requests may go there.
    pub fn is_usable(&self, now: Time, strictness: Strictness, distrust: bool) -> bool {
        if self.leaving_until > now || self.listed_leaving {
            return false;
        }
        match strictness {
            Strictness::Healthy => {
                let listed = !self.leaving || distrust;
                listed && self.avoid_until <= now
            }
            Strictness::Staying => true,
        }
    }

    /// Whether a request like this one has been refused for load just now.
    pub fn is_full(&self, now: Time, class: Class, rank: u8) -> bool {
        self.full[class as usize].is_some_and(|full| full.until > now && full.rank <= rank)
    }

    /// Takes a refusal for load in.
    pub fn set_full(&mut self, now: Time, class: Class, rank: u8, wait: Duration) {
        let known = &mut self.full[class as usize];
        let held = known.filter(|full| full.until > now);
        let rank = held.map_or(rank, |full| full.rank.min(rank));
        *known = Some(Full { rank, until: now + wait });
    }

    /// Expected time to an answer: the measured time, stretched by how full the target is and by
    /// how often it has failed of late.
    pub fn cost(&self, now: Time, class: Class, typical: Duration) -> Duration {
        let answer_time = self.expected_answer_time(now, class, typical);
        let (outstanding, slots) = self.outstanding(now);
        let waiting = outstanding.saturating_sub(slots);
        let time = answer_time * (slots + outstanding + waiting * 2) / slots;
        time + time * FAILED_COST * self.failed(now) / FAILED_WHOLE
    }

    /// Expected time to an answer without regard to load: what tells a target that is slow, or
    /// fails, from a sound one.
    pub fn speed(&self, now: Time, class: Class, typical: Duration) -> Duration {
        let time = self.expected_answer_time(now, class, typical);
        time + time * FAILED_COST * self.failed(now) / FAILED_WHOLE
    }

    /// How long a request would wait there by its last report; `None` if that is too old.
    pub fn reported_wait(&self, now: Time) -> Option<Duration> {
        let (load, at) = self.load?;
        (now.since(at) < LOAD_LIFE).then(|| Duration::from_millis(load.wait_ms.into()))
    }

    /// Requests known to be there, and its slots.
    fn outstanding(&self, now: Time) -> (u32, u32) {
        let recent = |at: Time| now.since(at) < LOAD_LIFE;
        let load = self.load.filter(|(_, at)| recent(*at)).map(|(load, _)| load);
        let slots = load.map(|load| load.slots).or(self.slots).unwrap_or(UNKNOWN_SLOTS);
        let reported = load.map_or(0, |load| load.in_flight + load.queued);
        (reported.max(self.in_flight), slots.max(1))
    }

    fn expected_answer_time(&self, now: Time, class: Class, typical: Duration) -> Duration {
        let first = first_answer_time(self.link) + typical;
        let Some((mean, at)) = self.answer_time[class as usize] else {
            return first;
        };
        let age = now.since(at).min(ANSWER_TIME_LIFE);
        let left = (ANSWER_TIME_LIFE - age).as_millis() as u32;
        let above = mean.saturating_sub(first) * left / ANSWER_TIME_LIFE.as_millis() as u32;
        (mean.min(first) + above).max(MIN_ANSWER_TIME)
    }

    /// Counts an attempt that ended.
    pub fn count_end(&mut self, now: Time, failed: bool) {
        let newest = if failed { FAILED_WHOLE } else { 0 };
        let share = self.failed(now) * (FAILED_WEIGHT - 1) + newest;
        self.failed_share = (share / FAILED_WEIGHT, now);
    }

    /// The share of failures, which counts ever less while nothing is tried.
    fn failed(&self, now: Time) -> u32 {
        let (share, at) = self.failed_share;
        let age = now.since(at).min(ANSWER_TIME_LIFE);
        let left = (ANSWER_TIME_LIFE - age).as_millis() as u32;
        share * left / ANSWER_TIME_LIFE.as_millis() as u32
    }
}

/// Answer time assumed over such a link, the target's own time left out.
pub fn first_answer_time(link: Link) -> Duration {
    match link {
        Link::Zone => ZONE_ANSWER_TIME,
        Link::Region => REGION_ANSWER_TIME,
        Link::CrossRegion => ACROSS_ANSWER_TIME,
    }
}
