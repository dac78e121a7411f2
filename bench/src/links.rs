//! In-memory links between nodes and the platform: one time-ordered queue with latency,
//! bandwidth, loss and cuts, and a clock that jumps to the next event.
//!
//! Runs are deterministic: events at one time come out in the order in which they went in, and
//! loss and jitter are drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::place::Link;

/// Zone number of the platform, which stands in a region but in no zone of the fleet.
pub const PLATFORM_ZONE: u16 = u16::MAX;

/// Where an end of a link stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Site {
    /// Number of the region.
    pub region: u16,
    /// Number of the availability zone, unique over all regions.
    pub zone: u16,
}

impl Site {
    /// The class of the link to another site.
    pub fn link_to(self, other: Site) -> Link {
        if self.region != other.region {
            Link::CrossRegion
        } else if self.zone != other.zone {
            Link::Region
        } else {
            Link::Zone
        }
    }
}

/// What the links are like.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// One way within a zone.
    pub zone: Duration,
    /// One way between two zones of a region.
    pub region: Duration,
    /// One way between two regions.
    pub across: Duration,
    /// Bytes a second each way between two regions, shared by all traffic.
    pub across_bytes_per_s: u64,
    /// Further latency, drawn evenly from zero to this share of the latency; lets messages cross.
    pub jitter_percent: u32,
    /// Messages lost, in parts per million.
    pub loss_ppm: u32,
}

impl Profile {
    /// Links of the Franchise Office: 0.5 ms between zones, 20 ms and 4 Gbit/s between regions.
    pub fn franchise() -> Profile {
        Profile {
            zone: Duration::from_micros(100),
            region: Duration::from_micros(500),
            across: Duration::from_millis(20),
            across_bytes_per_s: 500_000_000,
            jitter_percent: 0,
            loss_ppm: 0,
        }
    }

    /// Links of the Cooperative: 1.4 ms between zones, else as [`Profile::franchise`].
    pub fn cooperative() -> Profile {
        Profile { region: Duration::from_micros(1_400), ..Profile::franchise() }
    }

    /// The same links that lose `loss_ppm` messages in a million and delay some.
    pub fn with_trouble(mut self, loss_ppm: u32, jitter_percent: u32) -> Profile {
        self.loss_ppm = loss_ppm;
        self.jitter_percent = jitter_percent;
        self
    }

    fn latency(&self, link: Link) -> Duration {
        match link {
            Link::Zone => self.zone,
            Link::Region => self.region,
            Link::CrossRegion => self.across,
        }
    }
}

/// What went over the links, by class in the order of [`Link::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages: [u64; 3],
    /// Bytes sent.
    pub bytes: [u64; 3],
}

impl Traffic {
    /// What was added since an earlier reading.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let minus = |a: &[u64; 3], b: &[u64; 3]| std::array::from_fn(|i| a[i] - b[i]);
        Traffic {
            messages: minus(&self.messages, &earlier.messages),
            bytes: minus(&self.bytes, &earlier.bytes),
        }
    }

    /// Bytes between regions.
    pub fn across_bytes(&self) -> u64 {
        self.bytes[Link::CrossRegion as usize]
    }
}

struct Queued<E> {
    at: Time,
    order: u64,
    event: E,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    /// Reversed, since [`BinaryHeap`] takes out the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// The queue, the clock and the state of every link.
pub struct Links<E> {
    profile: Profile,
    now: Time,
    order: u64,
    queue: BinaryHeap<Queued<E>>,
    busy_until: HashMap<(u16, u16), Time>,
    cuts: HashSet<(u16, u16)>,
    rng: Pcg64Mcg,
    traffic: Traffic,
}

impl<E> Links<E> {
    /// Links without cuts, with the clock at `start`.
    pub fn new(profile: Profile, start: Time, seed: u64) -> Links<E> {
        Links {
            profile,
            now: start,
            order: 0,
            queue: BinaryHeap::new(),
            busy_until: HashMap::new(),
            cuts: HashSet::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            traffic: Traffic::default(),
        }
    }

    /// The time of the last event taken out.
    pub fn now(&self) -> Time {
        self.now
    }

    /// What went over the links so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Puts in an event that happens at a known time, now at the earliest.
    pub fn at(&mut self, at: Time, event: E) {
        self.order += 1;
        self.queue.push(Queued { at: at.max(self.now), order: self.order, event });
    }

    /// Puts in an event that happens after `span`.
    pub fn after(&mut self, span: Duration, event: E) {
        self.at(self.now + span, event);
    }

    /// Takes out the next event and moves the clock to it.
    pub fn pop(&mut self) -> Option<E> {
        let queued = self.queue.pop()?;
        self.now = queued.at;
        Some(queued.event)
    }

    /// When the next event is due.
    pub fn next_at(&self) -> Option<Time> {
        self.queue.peek().map(|queued| queued.at)
    }

    /// Sends `size` bytes from one site to another; `event` happens when they arrive. Returns
    /// whether they will: a cut or loss swallows them without a word.
    pub fn send(&mut self, from: Site, to: Site, size: u64, event: E) -> bool {
        let link = from.link_to(to);
        self.traffic.messages[link as usize] += 1;
        self.traffic.bytes[link as usize] += size;
        if self.is_cut(from, to) || self.lost() {
            return false;
        }
        let sent = self.transmitted(self.now, from, to, size);
        let latency = self.profile.latency(link);
        let at = sent + latency + self.jitter(latency);
        self.at(at, event);
        true
    }

    /// Sends a call's bytes: like [`Links::send`], but not counted as control traffic, and never
    /// lost, since a lost segment of a connection is sent again.
    pub fn send_call(&mut self, from: Site, to: Site, size: u64, event: E) {
        self.send_call_at(self.now, from, to, size, event);
    }

    /// The same for bytes that leave their node only at `departs`.
    pub fn send_call_at(&mut self, departs: Time, from: Site, to: Site, size: u64, event: E) {
        if !self.is_cut(from, to) {
            let latency = self.profile.latency(from.link_to(to));
            let sent = self.transmitted(departs, from, to, size);
            let at = sent + latency + self.jitter(latency);
            self.at(at, event);
        }
    }

    /// Whether nothing passes between two sites.
    pub fn is_cut(&self, from: Site, to: Site) -> bool {
        self.cuts.contains(&(from.zone, to.zone))
    }

    /// Cuts two zones from each other, both ways; [`PLATFORM_ZONE`] stands for the platform.
    pub fn cut(&mut self, a: u16, b: u16) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Heals the link between two zones.
    pub fn heal(&mut self, a: u16, b: u16) {
        self.cuts.remove(&(a, b));
        self.cuts.remove(&(b, a));
    }

    /// Heals every link.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Changes what the links are like from now on.
    pub fn set_profile(&mut self, profile: Profile) {
        self.profile = profile;
    }

    /// When the last byte has left: links between regions send one message after another.
    fn transmitted(&mut self, departs: Time, from: Site, to: Site, size: u64) -> Time {
        if from.region == to.region {
            return departs;
        }
        let span = Duration::from_micros(size * 1_000_000 / self.profile.across_bytes_per_s);
        let busy = self.busy_until.entry((from.region, to.region)).or_insert(departs);
        *busy = (*busy).max(departs) + span;
        *busy
    }

    fn lost(&mut self) -> bool {
        let loss = self.profile.loss_ppm;
        loss > 0 && self.rng.random_range(0..1_000_000) < loss
    }

    fn jitter(&mut self, latency: Duration) -> Duration {
        let most = latency.as_micros() as u64 * u64::from(self.profile.jitter_percent) / 100;
        if most == 0 {
            Duration::ZERO
        } else {
            Duration::from_micros(self.rng.random_range(0..=most))
        }
    }
}
