//! Baseline for configuration distribution: every node polls the platform for the full document at
//! a fixed interval.

use crate::fleet::measure::{Convergence, Figures};
use crate::fleet::platform::{Answer, CALLS_PER_S, Get, Platform};
use crate::fleet::publication::Publication;
use crate::fleet::run::DisruptionFigures;
use crate::fleet::workload::{Size, Workload, name};
use crate::links::{Links, PLATFORM_ZONE, Profile, Site};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::config::document::MAX_DOCUMENT_BYTES;

/// Minimum polling interval of a node.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the platform's rate limit that polling may use, in percent.
const RATE_LIMIT_PERCENT: u64 = 80;

/// Maximum time for restarted nodes to reach the latest version.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(600);

/// Header size of a request or response, in bytes.
const HEADER_BYTES: u64 = 120;

/// Location of the platform.
const PLATFORM: Site = Site { region: 0, zone: PLATFORM_ZONE };

enum Event {
    Poll(usize, u32),
    RequestReceived(usize),
    ResponseReceived(usize, u64),
    Publish,
}

/// A fleet of polling nodes.
pub struct Baseline {
    size: Size,
    links: Links<Event>,
    platform: Platform<usize>,
    workload: Workload,
    convergence: Convergence,
    document_bytes: u64,
    interval: Duration,
    generations: Vec<u32>,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// Creates a fleet that holds version 1 and polls as often as the platform's rate limit allows.
    pub fn new(size: Size, profile: Profile, seed: u64) -> Baseline {
        let mut workload = Workload::new(size, seed);
        let first = workload.publish();
        let links = Links::new(profile, Time::from_millis(0), seed);
        let convergence = Convergence::new(size.nodes);
        let interval = poll_interval(size.nodes, first.preset_bytes);
        let document_bytes = first.preset_bytes;
        let platform = Platform::new();
        let generations = vec![0; size.nodes];
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = Baseline {
            size,
            links,
            platform,
            workload,
            convergence,
            document_bytes,
            interval,
            generations,
            rng,
        };
        fleet.publish(&first);
        for node in 0..size.nodes {
            let phase = fleet.rng.random_range(0..interval.as_micros() as u64);
            fleet.links.after(Duration::from_micros(phase), Event::Poll(node, 0));
            fleet.convergence.record_in_force(node, 1, Time::ZERO);
        }
        fleet
    }

    /// Polling interval of a node.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Publishes `versions` changes, one every `pause`, and measures until every node has polled
    /// after the last one.
    pub fn run(mut self, versions: usize, pause: Duration) -> Figures {
        let started = self.links.now();
        for index in 1..=versions {
            self.links.after(pause * index as u32, Event::Publish);
        }
        let changing = started + pause * versions as u32;
        let mut figures = Figures::default();
        let mut measured = false;
        let end = changing + self.interval * 2 + Duration::from_secs(2);
        while self.links.next_at().is_some_and(|at| at <= end) {
            // Rates cover only the period of the changes, as in the measurement of the system.
            if !measured && self.links.next_at() >= Some(changing) {
                measured = true;
                figures = self.rates(versions, changing.since(started));
            }
            let Some(event) = self.links.pop() else { break };
            self.handle(event);
        }
        let times = Figures::new(&self.convergence);
        Figures {
            versions: times.versions,
            p50_ms: times.p50_ms,
            p99_ms: times.p99_ms,
            max_ms: times.max_ms,
            behind: times.behind,
            ..figures
        }
    }

    /// Restarts the given nodes simultaneously and measures until each holds the latest version.
    pub fn measure_restart(
        mut self,
        disruption: &'static str,
        nodes: &[usize],
    ) -> DisruptionFigures {
        let since = self.links.now();
        for node in nodes {
            self.generations[*node] += 1;
            self.convergence.record_restart(*node, since);
            self.links.after(Duration::ZERO, Event::Poll(*node, self.generations[*node]));
        }
        let end = since + RECOVERY_TIMEOUT;
        let mut last = since;
        while self.convergence.behind(1) > 0 && self.links.next_at() <= Some(end) {
            // Checking all nodes after every event would dominate the run time.
            for _ in 0..nodes.len() {
                let Some(event) = self.links.pop() else { break };
                if let Event::ResponseReceived(node, 1..) = event {
                    last = if self.convergence.held(node) == 0 { self.links.now() } else { last };
                }
                self.handle(event);
            }
        }
        let behind = self.convergence.behind(1);
        let span = last.since(since);
        let calls = self.platform.calls();
        let bytes = self.links.traffic().bytes;
        DisruptionFigures {
            disruption,
            recovered_ms: (behind == 0).then_some(span.as_micros() as f64 / 1_000.0),
            behind,
            platform_calls_peak: calls.peak,
            platform_over_limit: calls.over_limit,
            cross_region_bytes: self.links.traffic().cross_region_bytes(),
            bytes_per_node: bytes.iter().sum::<u64>() as f64 / self.size.nodes as f64,
        }
    }

    fn rates(&self, versions: usize, span: Duration) -> Figures {
        let calls = self.platform.calls();
        let figures = Figures { versions, ..Figures::default() };
        figures.with_traffic(&self.links.traffic(), self.size.nodes, span).with_calls(
            calls.total,
            calls.over_limit,
            calls.peak,
            span,
        )
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poll(node, generation) if generation == self.generations[node] => {
                let site = self.size.site(node);
                self.links.send(
                    site,
                    PLATFORM,
                    HEADER_BYTES * self.value_count(),
                    Event::RequestReceived(node),
                );
                self.links.after(self.interval, Event::Poll(node, generation));
            }
            Event::Poll(..) => {}
            Event::RequestReceived(node) => self.answer(node),
            Event::ResponseReceived(node, version) => {
                if version > self.convergence.held(node) {
                    self.convergence.record_in_force(node, version, self.links.now());
                }
            }
            Event::Publish => {
                let publication = self.workload.publish_change();
                self.publish(&publication);
            }
        }
    }

    fn answer(&mut self, node: usize) {
        let now = self.links.now();
        let mut index = None;
        for _ in 0..self.value_count() {
            let key = name("document".to_owned());
            let get = Get { caller: node, key, min_index_exclusive: None, until: now };
            match self.platform.get(now, get) {
                Some(Answer::Value(_, found)) => index = Some(found),
                _ => return self.reschedule_poll(node),
            }
        }
        // Each version writes one value, so the platform's index equals the version.
        if let Some(version) = index {
            let bytes = self.document_bytes + HEADER_BYTES * self.value_count();
            let site = self.size.site(node);
            self.links.send(PLATFORM, site, bytes, Event::ResponseReceived(node, version));
        }
    }

    /// Reschedules a rejected node at a random phase, so that the same nodes are not rejected in
    /// every interval.
    fn reschedule_poll(&mut self, node: usize) {
        self.generations[node] += 1;
        let phase = self.rng.random_range(0..self.interval.as_micros() as u64);
        self.links.after(Duration::from_micros(phase), Event::Poll(node, self.generations[node]));
    }

    fn publish(&mut self, publication: &Publication) {
        self.document_bytes = publication.preset_bytes;
        self.platform.put(name("document".to_owned()), Bytes::new());
        self.convergence.record_published(publication.in_force.version, self.links.now());
        if publication.in_force.version == 1 {
            self.convergence.reset();
        }
    }

    fn value_count(&self) -> u64 {
        value_count(self.document_bytes)
    }
}

/// Minimum number of platform values needed to store a document.
fn value_count(document_bytes: u64) -> u64 {
    document_bytes.div_ceil(MAX_DOCUMENT_BYTES as u64)
}

fn poll_interval(nodes: usize, document_bytes: u64) -> Duration {
    let calls = nodes as u64 * value_count(document_bytes);
    let span = Duration::from_millis(calls * 1_000 * 100 / (CALLS_PER_S * RATE_LIMIT_PERCENT));
    span.max(MIN_POLL_INTERVAL)
}
