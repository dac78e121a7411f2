//! Versions that follow each other quickly, over narrow links, without a reader, from a slow store.

#[path = "support/store_fleet.rs"]
mod support;

use std::time::Duration;
use support::{Fleet, START, config, ms, name, version_with_paths};
use sycamore_core::Time;
use sycamore_core::discovery::{Config, Input, TargetState};
use sycamore_core::event::EventKind;
use sycamore_core::hash::Hash;
use sycamore_core::place::Place;
use sycamore_core::spread::message::{Base, Pull};
use sycamore_core::spread::{Peer, PeerMsg};

/// Number of nodes, half of them in each of two regions. One in five has a fast link.
const NODES: usize = 40;

/// Nodes of a fleet that is too small for readers.
const SMALL_FLEET: usize = 14;

const FAST_LINK_KBPS: u64 = 200_000;
const SLOW_LINK_KBPS: u64 = 14_000;

/// Time within which every node must have applied a change.
const BOUND: Duration = Duration::from_millis(3_000);

/// Routes of a version, few and long, since the time of a transfer depends on the bytes alone.
const ROUTES: usize = 50;

/// Sizes of a document in the store, in bytes before Base64: as published on a common day, and
/// after it has grown.
const USUAL_DOCUMENT: usize = 150_000;
const LARGE_DOCUMENT: usize = 500_000;

/// Share of a link that is left beside the calls of an overloaded node.
const OVERLOADED_LINK: f64 = 0.4;

/// Time for which a packet waits in the queue of a full link, the longest at which a node does not
/// count as slowed.
const FULL_LINK_QUEUE: Duration = Duration::from_millis(500);

/// Response time of a slow store, 25 times the usual 4 ms.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(100);

fn place(node: usize) -> Place {
    let region = if node % 2 == 0 { "east" } else { "west" };
    Place { region: name(region), zone: name(format!("{region}-{}", node / 2 % 2)) }
}

fn is_fast(node: &usize) -> bool {
    node / 2 % 5 == 0
}

fn settings(node: usize) -> Config {
    let link_kbps = Some(if is_fast(&node) { FAST_LINK_KBPS } else { SLOW_LINK_KBPS });
    Config { link_kbps, change_bound: BOUND, ..config(node, place(node)) }
}

fn slow_settings(node: usize) -> Config {
    Config { link_kbps: Some(SLOW_LINK_KBPS), ..settings(node) }
}

/// Fleet to which versions of one size are published.
struct Trial {
    fleet: Fleet,
    route_bytes: usize,
    published: Vec<Time>,
    /// Nodes that have been running for the whole trial.
    observed: Vec<usize>,
}

impl Trial {
    fn new(nodes: usize, settings: fn(usize) -> Config, document: usize, seed: u64) -> Trial {
        let mut fleet = Fleet::new(nodes, settings, ms(4), seed);
        fleet.transfer_times = true;
        let entry = |node| support::entry(node, place(node), TargetState::Ready);
        let observed = (0..nodes).collect();
        let mut trial =
            Trial { fleet, route_bytes: document / ROUTES, published: Vec::new(), observed };
        trial.publish();
        trial.fleet.store.changes.extend((0..nodes).map(entry));
        (0..nodes).for_each(|node| trial.fleet.input(node, Input::Start));
        trial.fleet.advance(ms(8_000));
        trial
    }

    fn publish(&mut self) {
        self.published.push(self.fleet.now);
        let path = "r".repeat(self.route_bytes);
        let version = version_with_paths(self.published.len() as u64, ROUTES, &path);
        self.fleet.store.changes.push(version);
    }

    fn newest_due(&self) -> u64 {
        self.published.iter().filter(|at| **at + BOUND <= self.fleet.now).count() as u64
    }

    fn version(&self, node: usize) -> u64 {
        self.fleet.nodes[node].snapshot.as_ref().map_or(0, |snapshot| snapshot.version())
    }

    /// Advances the clock, checking that each observed node has every version that is due.
    fn advance(&mut self, span: Duration) {
        let until = self.fleet.now + span;
        while self.fleet.now < until {
            self.fleet.advance(ms(20));
            let due = self.newest_due();
            let now = self.fleet.now.since(START);
            for node in &self.observed {
                let held = self.version(*node);
                assert!(held >= due, "{now:?}: node {node} has version {held}, {due} is due");
            }
        }
    }

    /// Publishes a version every `interval`.
    fn publish_series(&mut self, interval: Duration, span: Duration) {
        for _ in 0..span.as_millis() / interval.as_millis() {
            self.publish();
            self.advance(interval);
        }
    }

    /// Kills the nodes with a fast link that read the store.
    fn stop_serving_readers(&mut self) -> Vec<usize> {
        let reads = |node: &usize| {
            let reader = &self.fleet.nodes[*node];
            reader.up && self.fleet.now.since(reader.last_call_at) < ms(1_200)
        };
        let readers: Vec<usize> =
            (0..self.fleet.nodes.len()).filter(is_fast).filter(reads).collect();
        self.observed.retain(|node| !readers.contains(node));
        readers.iter().for_each(|node| self.fleet.stop(*node));
        readers
    }

    /// Kills all nodes with a fast link.
    fn stop_readers(&mut self) {
        let readers: Vec<usize> = (0..self.fleet.nodes.len()).filter(is_fast).collect();
        self.observed.retain(|node| !readers.contains(node));
        readers.into_iter().for_each(|node| self.fleet.stop(node));
    }
}

/// Guards against a watch that has to bring every version since the last one: it takes longer than
/// the call may, and the next one has to bring even more.
#[test]
fn series_without_reader_on_narrow_links() {
    for (nodes, interval) in [(SMALL_FLEET, 600), (SMALL_FLEET, 100), (NODES, 600)] {
        let mut trial = Trial::new(nodes, slow_settings, USUAL_DOCUMENT, interval);
        trial.fleet.link_share = OVERLOADED_LINK;
        trial.publish_series(ms(interval), ms(12_000));
        trial.advance(BOUND + ms(100));
    }
}

/// Guards against a response that holds more versions than the client accepts, which is asked for
/// again and again.
#[test]
fn series_larger_than_a_response() {
    let mut trial = Trial::new(NODES, settings, LARGE_DOCUMENT, 1);
    trial.fleet.set_store_unreachable(true);
    for _ in 0..10 {
        trial.publish();
        trial.fleet.advance(ms(60));
    }
    trial.fleet.set_store_unreachable(false);
    trial.fleet.advance(BOUND);
    trial.advance(ms(1_000));
}

/// Guards against followers that lose their readers and have no time left to read the document.
#[test]
fn series_while_readers_are_lost() {
    for document in [USUAL_DOCUMENT, LARGE_DOCUMENT] {
        for after in (0..1_800).step_by(300) {
            let mut trial = Trial::new(NODES, settings, document, after);
            trial.fleet.link_share = OVERLOADED_LINK;
            trial.publish_series(ms(600), ms(1_200));
            trial.advance(ms(after));
            trial.stop_readers();
            trial.publish_series(ms(600), ms(6_000));
            trial.advance(BOUND + ms(100));
        }
    }
}

/// Guards against a node that reads the store in several round trips after its reader is lost, each
/// of which waits behind what its own link has queued.
#[test]
fn series_while_readers_are_lost_behind_full_links() {
    for after in (0..1_800).step_by(600) {
        let mut trial = Trial::new(NODES, settings, USUAL_DOCUMENT, after);
        trial.fleet.queue_delay = FULL_LINK_QUEUE;
        trial.publish_series(ms(600), ms(1_200));
        trial.advance(ms(after));
        trial.stop_readers();
        trial.publish_series(ms(600), ms(6_000));
        trial.advance(BOUND + ms(100));
    }
}

/// Guards against waits that each begin anew when one reader after the other is lost.
#[test]
fn series_while_readers_are_lost_in_turn() {
    for interval in (1_200..3_000).step_by(300) {
        let mut trial = Trial::new(NODES, settings, USUAL_DOCUMENT, interval);
        trial.fleet.queue_delay = FULL_LINK_QUEUE;
        trial.publish_series(ms(600), ms(1_200));
        for _ in 0..4 {
            let stopped = trial.stop_serving_readers();
            trial.publish_series(ms(interval / 3), ms(interval));
            stopped.into_iter().for_each(|node| trial.fleet.start(node));
        }
        trial.advance(BOUND + ms(100));
    }
}

/// What makes versions late, each for the rest of a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    /// Calls fill the links.
    Overload,
    /// The store takes many times its usual latency to respond.
    SlowStore,
    /// All nodes with fast links are killed, and with them every possible reader.
    ReadersLost,
    /// Versions follow each other faster than nodes read them.
    Series,
}

fn orders(conditions: &[Condition]) -> Vec<Vec<Condition>> {
    if conditions.is_empty() {
        return vec![Vec::new()];
    }
    let begin_with = |first: &Condition| {
        let rest: Vec<_> = conditions.iter().copied().filter(|other| other != first).collect();
        let with_first = |rest: Vec<Condition>| [vec![*first], rest].concat();
        orders(&rest).into_iter().map(with_first).collect::<Vec<_>>()
    };
    conditions.iter().flat_map(begin_with).collect()
}

/// Asserts that all versions are in force in time, whatever the order of the conditions.
fn assert_in_time_in_every_order(document: usize) {
    use Condition::*;
    for (seed, order) in orders(&[Overload, SlowStore, ReadersLost, Series]).iter().enumerate() {
        println!("{order:?}");
        let mut trial = Trial::new(NODES, settings, document, seed as u64);
        let mut interval = ms(600);
        for condition in order {
            match condition {
                Overload => trial.fleet.link_share = OVERLOADED_LINK,
                SlowStore => trial.fleet.store.response_time = SLOW_RESPONSE_TIME,
                ReadersLost => trial.stop_readers(),
                Series => interval = ms(100),
            }
            trial.publish_series(interval, ms(1_200));
        }
        trial.advance(BOUND + ms(100));
    }
}

/// Guards against a step between the store and a node whose time is sufficient only as long as
/// nothing else goes wrong before it.
#[test]
fn conditions_in_every_order_usual_document() {
    assert_in_time_in_every_order(USUAL_DOCUMENT);
}

/// Guards against the same with a document that has grown.
#[test]
fn conditions_in_every_order_large_document() {
    assert_in_time_in_every_order(LARGE_DOCUMENT);
}

/// Guards against a follower that leaves a sound reader because a difference arrives that leads to
/// the state it already has.
#[test]
fn follower_keeps_reader_after_late_difference() {
    let mut trial = Trial::new(NODES, settings, 10_000, 1);
    let calls_store = |trial: &Trial, node: usize| {
        trial.fleet.now.since(trial.fleet.nodes[node].last_call_at) < ms(1_500)
    };
    let lost = trial.fleet.count(EventKind::ParentLost);
    for follower in (0..NODES).filter(|node| !is_fast(node)).take(6) {
        assert!(!calls_store(&trial, follower));
        let serves = |reader: &usize| {
            calls_store(&trial, *reader) && place(*reader).region == place(follower).region
        };
        let readers: Vec<usize> = (0..NODES).filter(serves).collect();
        let held = trial.version(follower);
        trial.publish();
        while readers.iter().any(|reader| trial.version(*reader) == held) {
            trial.fleet.step();
        }
        assert_eq!(trial.version(follower), held, "the difference is on its way");
        // Asked for by the follower just before it gets that.
        for reader in readers {
            let from = Peer {
                vm: name(format!("t{follower}")),
                place: place(follower),
                address: settings(follower).address,
            };
            let base = Some(Base { version: held, digest: Hash::of(b"other targets") });
            let msg = PeerMsg::Pull(Box::new(Pull { version: held, base, scope: None }));
            trial.fleet.input(reader, Input::Peer { from, msg });
        }
        trial.advance(ms(2_500));
        assert_eq!(trial.fleet.count(EventKind::ParentLost), lost, "node {follower}");
    }
}

/// Guards against a reader that sends a follower away because it asks from a version that the reader
/// no longer keeps, although it could send everything.
#[test]
fn follower_keeps_reader_after_many_versions() {
    let long_bound = |node| Config { change_bound: ms(6_000), ..settings(node) };
    let mut trial = Trial::new(NODES, long_bound, 10_000, 1);
    let lost = trial.fleet.count(EventKind::ParentLost);
    trial.publish();
    trial.fleet.advance(ms(500));
    trial.fleet.drop_messages_until = trial.fleet.now + ms(2_800);
    for _ in 0..12 {
        trial.publish();
        trial.fleet.advance(ms(500));
    }
    assert_eq!(trial.fleet.count(EventKind::ParentLost), lost);
}
