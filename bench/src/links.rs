//! Simulated network links between nodes and the platform: a discrete-event queue with latency,
//! bandwidth, message loss and partitions, and a clock that jumps to the next event.
//!
//! Runs are deterministic: events at the same time are processed in insertion order, and loss and
//! jitter are drawn from a seeded generator.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::place::Link;

/// Zone number of the platform, which is in a region but in no zone of the fleet.
pub const PLATFORM_ZONE: u16 = u16::MAX;

/// Location of a link endpoint.
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

/// Characteristics of the links.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// One-way latency within a zone.
    pub zone: Duration,
    /// One-way latency between zones of a region.
    pub region: Duration,
    /// One-way latency between regions.
    pub cross_region: Duration,
    /// Bandwidth in each direction between two regions, shared by all traffic.
    pub cross_region_bytes_per_s: u64,
    /// Maximum additional latency in percent, uniformly distributed. Jitter can reorder messages.
    pub jitter_percent: u32,
    /// Message loss, in parts per million.
    pub loss_ppm: u32,
}

impl Profile {
    /// Links of the Franchise Office: 0.5 ms between zones, 20 ms and 4 Gbit/s between regions.
    pub fn franchise() -> Profile {
        Profile {
            zone: Duration::from_micros(100),
            region: Duration::from_micros(500),
            cross_region: Duration::from_millis(20),
            cross_region_bytes_per_s: 500_000_000,
            jitter_percent: 0,
            loss_ppm: 0,
        }
    }

    /// Links of the Cooperative: 1.4 ms between zones, otherwise equal to [`Profile::franchise`].
    pub fn cooperative() -> Profile {
        Profile { region: Duration::from_micros(1_400), ..Profile::franchise() }
    }

    /// Sets message loss and jitter.
    pub fn with_loss_and_jitter(mut self, loss_ppm: u32, jitter_percent: u32) -> Profile {
        self.loss_ppm = loss_ppm;
        self.jitter_percent = jitter_percent;
        self
    }

    fn latency(&self, link: Link) -> Duration {
        match link {
            Link::Zone => self.zone,
            Link::Region => self.region,
            Link::CrossRegion => self.cross_region,
        }
    }
}

/// Traffic counters by link class, in the order of [`Link::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages: [u64; 3],
    /// Bytes sent.
    pub bytes: [u64; 3],
}

impl Traffic {
    /// Difference from an earlier reading.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let subtract = |a: &[u64; 3], b: &[u64; 3]| std::array::from_fn(|i| a[i] - b[i]);
        Traffic {
            messages: subtract(&self.messages, &earlier.messages),
            bytes: subtract(&self.bytes, &earlier.bytes),
        }
    }

    /// Bytes sent between regions.
    pub fn cross_region_bytes(&self) -> u64 {
        self.bytes[Link::CrossRegion as usize]
    }
}

struct ScheduledEvent<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    /// Reversed, since [`BinaryHeap`] is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Event queue, clock and state of all links.
pub struct Links<E> {
    profile: Profile,
    now: Time,
    sequence: u64,
    queue: BinaryHeap<ScheduledEvent<E>>,
    busy_until: HashMap<(u16, u16), Time>,
    partitions: HashSet<(u16, u16)>,
    rng: Pcg64Mcg,
    traffic: Traffic,
}

impl<E> Links<E> {
    /// Creates links without partitions, with the clock at `start`.
    pub fn new(profile: Profile, start: Time, seed: u64) -> Links<E> {
        Links {
            profile,
            now: start,
            sequence: 0,
            queue: BinaryHeap::new(),
            busy_until: HashMap::new(),
            partitions: HashSet::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            traffic: Traffic::default(),
        }
    }

    /// Time of the last event popped.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Traffic sent so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Schedules an event at a time, or now if that time has passed.
    pub fn at(&mut self, at: Time, event: E) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Schedules an event after `span`.
    pub fn after(&mut self, span: Duration, event: E) {
        self.at(self.now + span, event);
    }

    /// Removes the next event and advances the clock to it.
    pub fn pop(&mut self) -> Option<E> {
        let scheduled = self.queue.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }

    /// Time of the next event.
    pub fn next_at(&self) -> Option<Time> {
        self.queue.peek().map(|scheduled| scheduled.at)
    }

    /// Sends `size` bytes and schedules `event` for their arrival. Returns false if a partition or
    /// message loss drops them, in which case no event occurs.
    pub fn send(&mut self, from: Site, to: Site, size: u64, event: E) -> bool {
        let link = from.link_to(to);
        self.traffic.messages[link as usize] += 1;
        self.traffic.bytes[link as usize] += size;
        if self.is_cut(from, to) || self.draw_loss() {
            return false;
        }
        let sent = self.transmission_end(self.now, from, to, size);
        let latency = self.profile.latency(link);
        let at = sent + latency + self.draw_jitter(latency);
        self.at(at, event);
        true
    }

    /// Like [`Links::send`] for a call's data: not counted as control traffic, and not subject to
    /// message loss, since TCP retransmits lost segments.
    pub fn send_call(&mut self, from: Site, to: Site, size: u64, event: E) {
        self.send_call_at(self.now, from, to, size, event);
    }

    /// Like [`Links::send_call`], but the data leaves its node at `departs`.
    pub fn send_call_at(&mut self, departs: Time, from: Site, to: Site, size: u64, event: E) {
        if !self.is_cut(from, to) {
            let latency = self.profile.latency(from.link_to(to));
            let sent = self.transmission_end(departs, from, to, size);
            let at = sent + latency + self.draw_jitter(latency);
            self.at(at, event);
        }
    }

    /// Whether two sites are partitioned.
    pub fn is_cut(&self, from: Site, to: Site) -> bool {
        self.partitions.contains(&(from.zone, to.zone))
    }

    /// Partitions two zones in both directions. Use [`PLATFORM_ZONE`] for the platform.
    pub fn cut(&mut self, a: u16, b: u16) {
        self.partitions.insert((a, b));
        self.partitions.insert((b, a));
    }

    /// Removes the partition between two zones.
    pub fn heal(&mut self, a: u16, b: u16) {
        self.partitions.remove(&(a, b));
        self.partitions.remove(&(b, a));
    }

    /// Removes all partitions.
    pub fn heal_all(&mut self) {
        self.partitions.clear();
    }

    /// Changes the link characteristics for future messages.
    pub fn set_profile(&mut self, profile: Profile) {
        self.profile = profile;
    }

    /// Returns when the last byte has been transmitted. Links between regions transmit messages
    /// sequentially.
    fn transmission_end(&mut self, departs: Time, from: Site, to: Site, size: u64) -> Time {
        if from.region == to.region {
            return departs;
        }
        let span = Duration::from_micros(size * 1_000_000 / self.profile.cross_region_bytes_per_s);
        let busy = self.busy_until.entry((from.region, to.region)).or_insert(departs);
        *busy = (*busy).max(departs) + span;
        *busy
    }

    fn draw_loss(&mut self) -> bool {
        let loss = self.profile.loss_ppm;
        loss > 0 && self.rng.random_range(0..1_000_000) < loss
    }

    fn draw_jitter(&mut self, latency: Duration) -> Duration {
        let max_us = latency.as_micros() as u64 * u64::from(self.profile.jitter_percent) / 100;
        if max_us == 0 {
            Duration::ZERO
        } else {
            Duration::from_micros(self.rng.random_range(0..=max_us))
        }
    }
}
