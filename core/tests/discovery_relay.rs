//! One node reads the store for many of its region: what it saves, and what becomes of the others
//! when it fails.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::config::{Preset, Snapshot};
use sycamore_core::discovery::{
    Call, Change, Config, Discovery, Input, LAPSE, Output, Publication, ReadError, Reply, Request,
    TargetEntry, TargetState,
};
use sycamore_core::place::Place;
use sycamore_core::spread::{Peer, PeerMsg};
use sycamore_core::{Code, Name, Time};

const START: Time = Time(1_700_000_000_000_000);

/// Time of a message or of a call that the store answers at once.
const WAY: Duration = Duration::from_millis(2);

/// Nodes, half of them in each of two regions; one in four has a wide link.
const NODES: usize = 40;

const WIDE_KBPS: u64 = 140_000;
const NARROW_KBPS: u64 = 15_400;

/// Within this time each node must hold a change.
const BOUND: Duration = Duration::from_millis(2_500);

fn name(text: impl Into<String>) -> Name {
    Name::new(text.into()).unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(node: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], port))
}

fn place(node: usize) -> Place {
    let region = if node % 2 == 0 { "east" } else { "west" };
    Place { region: name(region), zone: name(format!("{region}-{}", node / 2 % 2)) }
}

fn entry(node: usize, state: TargetState, sequence: u64) -> Change {
    let entry = TargetEntry {
        service: name("s"),
        address: address(node, 80),
        place: place(node),
        slots: 11,
        state,
        started_ms: 1_000 + node as u64,
        sequence,
    };
    Change::Target { id: name(format!("t{node}")), entry: Some(entry) }
}

/// A version with so many routes.
fn version(version: u64, routes: usize) -> Change {
    let route =
        |at| format!(r#""r{at}":{{"path_prefix":"/r{at}/","service":"s","idempotent":true}}"#);
    let routes: Vec<String> = (0..routes).map(route).collect();
    let routes = routes.join(",");
    let text = format!(
        r#"{{"name":"p","services":{{"s":{{"targets":[]}}}},"routes":{{{routes},
        "v":{{"path_prefix":"/v{version}/","service":"s","idempotent":true}}}}}}"#
    );
    let preset: Preset = serde_json::from_str(&text).unwrap();
    Change::Published(Ok(Arc::new(Publication::new(version, preset))))
}

/// What the store holds: every change in order; its revision is their number.
#[derive(Default)]
struct Store {
    changes: Vec<Change>,
    calls: usize,
}

impl Store {
    fn changes_since(&self, revision: u64) -> Reply {
        let changes = self.changes[revision as usize..].to_vec();
        Reply { revision: self.changes.len() as u64, changes, next: None }
    }
}

struct Node {
    discovery: Discovery,
    up: bool,
    // Can't reach the store, which does not answer.
    cut: bool,
    call: Option<(Call, Time)>,
    // When it last made a call.
    called: Time,
    wake: Option<Time>,
    snapshot: Option<Arc<Snapshot>>,
}

/// Nodes in one thread, with time that the test lets pass.
struct Fleet {
    now: Time,
    store: Store,
    nodes: Vec<Node>,
    messages: VecDeque<(Time, usize, usize, PeerMsg)>,
    // Drops every message until then.
    deaf_until: Time,
    // Bytes of the largest difference sent.
    largest: usize,
}

fn discovery(node: usize) -> Discovery {
    let wide = node / 2 % 4 == 0;
    let cfg = Config {
        place: place(node),
        address: address(node, 7),
        link_kbps: Some(if wide { WIDE_KBPS } else { NARROW_KBPS }),
        seeds: Vec::new(),
        gate_port: 5,
        peers_port: 7,
    };
    Discovery::new(cfg, node as u64)
}

impl Fleet {
    /// A fleet that has read a version of a few routes and every target, and has settled.
    fn new() -> Fleet {
        let node = |node| Node {
            discovery: discovery(node),
            up: true,
            cut: false,
            call: None,
            called: START,
            wake: None,
            snapshot: None,
        };
        let mut fleet = Fleet {
            now: START,
            store: Store::default(),
            nodes: (0..NODES).map(node).collect(),
            messages: VecDeque::new(),
            deaf_until: START,
            largest: 0,
        };
        fleet.store.changes.push(version(1, 10));
        fleet.store.changes.extend((0..NODES).map(|node| entry(node, TargetState::Ready, 1)));
        for node in 0..NODES {
            fleet.input(node, Input::Start);
        }
        fleet.pass(ms(6_000));
        fleet
    }

    fn input(&mut self, node: usize, input: Input) {
        if !self.nodes[node].up {
            return;
        }
        let mut out = Vec::new();
        self.nodes[node].wake = None;
        self.nodes[node].discovery.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Read(call) => {
                    self.store.calls += 1;
                    self.nodes[node].call = Some((call, self.now));
                    self.nodes[node].called = self.now;
                }
                Output::Send { to, msg, .. } => {
                    if let PeerMsg::Delta(delta) = &msg {
                        let size = delta.changed.iter().map(|(_, body)| body.len()).sum();
                        self.largest = self.largest.max(size);
                    }
                    let to = (0..NODES).find(|node| address(*node, 7) == to).unwrap();
                    self.messages.push_back((self.now + WAY, node, to, msg));
                }
                Output::InForce(snapshot) => self.nodes[node].snapshot = Some(snapshot),
                Output::WakeAt(at) => self.nodes[node].wake = Some(at),
                _ => {}
            }
        }
    }

    /// Lets time pass in steps of a millisecond.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + ms(1);
            while self.messages.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, from, to, msg) = self.messages.pop_front().unwrap();
                let from = Peer {
                    vm: name(format!("t{from}")),
                    place: place(from),
                    address: address(from, 7),
                };
                if self.now >= self.deaf_until {
                    self.input(to, Input::Peer { from, msg });
                }
            }
            for node in 0..NODES {
                self.answer(node);
                if self.nodes[node].wake.is_some_and(|wake| wake <= self.now) {
                    self.input(node, Input::Wake);
                }
            }
        }
    }

    /// Ends the node's call to the store, if it is answered or has passed its time-out now.
    fn answer(&mut self, node: usize) {
        let Some((call, since)) = self.nodes[node].call.clone() else {
            return;
        };
        let late = self.now >= since + call.timeout;
        let reply = match call.request {
            Request::List { .. } => Some(self.store.changes_since(0)),
            Request::Watch { revision, wait } => {
                let reply = self.store.changes_since(revision);
                let over = self.now >= since + wait;
                (over || !reply.changes.is_empty()).then_some(reply)
            }
        };
        let reply = reply.filter(|_| self.now >= since + WAY && !self.nodes[node].cut);
        let result = match reply {
            Some(reply) => Ok(reply),
            None if late => Err(ReadError::Failed(Code::SourceUnreachable)),
            None => return,
        };
        self.nodes[node].call = None;
        self.input(node, Input::Reply { id: call.id, result });
    }

    /// Nodes that read the store of late, for themselves or for others.
    fn readers(&self) -> Vec<usize> {
        let reads = |node: &usize| {
            self.nodes[*node].up && self.now.since(self.nodes[*node].called) < ms(1_100)
        };
        (0..NODES).filter(reads).collect()
    }

    fn stop(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.nodes[node].call = None;
        self.nodes[node].wake = None;
    }

    fn start(&mut self, node: usize) {
        let started = Node {
            discovery: discovery(node),
            up: true,
            cut: false,
            call: None,
            called: START,
            wake: None,
            snapshot: None,
        };
        self.nodes[node] = started;
        self.input(node, Input::Start);
    }

    /// Nodes that run, reach the store, and don't hold what it holds.
    fn behind(&self) -> Vec<usize> {
        let mut version = 0;
        let mut leaving = [false; NODES];
        for change in &self.store.changes {
            match change {
                Change::Published(Ok(published)) => version = published.version,
                Change::Target { id, entry: Some(entry) } => {
                    let node: usize = id.as_str()[1..].parse().unwrap();
                    leaving[node] = entry.state == TargetState::Draining;
                }
                _ => {}
            }
        }
        let holds = |node: &Node| {
            node.snapshot.as_ref().is_some_and(|snapshot| {
                let same = |target: &sycamore_core::config::snapshot::TargetEntry| {
                    let node: usize = target.target.vm.as_str()[1..].parse().unwrap();
                    target.target.leaving == leaving[node]
                };
                snapshot.version() == version && snapshot.targets().iter().all(same)
            })
        };
        let behind = |node: &usize| {
            let node = &self.nodes[*node];
            node.up && !node.cut && !holds(node)
        };
        (0..NODES).filter(behind).collect()
    }
}

#[test]
fn relay_calls_saved() {
    // Story: sixty nodes that each watch the store pay for two thousand calls in half a minute.
    let mut fleet = Fleet::new();
    let before = fleet.store.calls;
    fleet.pass(ms(30_000));
    let calls = fleet.store.calls - before;
    assert_eq!(fleet.behind(), Vec::<usize>::new());
    // Two readers make two calls a second each.
    assert!(calls <= 150, "{calls}");
}

#[test]
fn relay_change_reaches_all() {
    let mut fleet = Fleet::new();
    for step in 0..20 {
        fleet.store.changes.push(version(2 + step, 10 + step as usize));
        fleet.store.changes.push(entry(step as usize, TargetState::Draining, 2));
        fleet.pass(ms(700));
        assert_eq!(fleet.behind(), Vec::<usize>::new(), "step {step}");
    }
}

#[test]
fn relay_large_version_read_from_store() {
    // Story: a version with a thousand new routes is sent by a reader to each of its followers,
    // and fills its link for a second.
    let mut fleet = Fleet::new();
    fleet.store.changes.push(version(2, 1_200));
    fleet.pass(ms(1_500));
    assert_eq!(fleet.behind(), Vec::<usize>::new());
    assert!(fleet.largest <= 65_536, "{} bytes to each follower", fleet.largest);
}

#[test]
fn relay_reader_killed() {
    // Story: a target reports that it leaves, and in the same instant the node that reads the
    // store for the region is killed. Its followers would go on sending work to that target.
    let mut fleet = Fleet::new();
    let readers = fleet.readers();
    assert_eq!(readers.len(), 2, "one a region");
    for node in readers {
        fleet.stop(node);
    }
    fleet.store.changes.push(entry(3, TargetState::Draining, 2));
    fleet.pass(BOUND);
    assert_eq!(fleet.behind(), Vec::<usize>::new());
    // Others take over, so that the calls do not stay many.
    fleet.pass(ms(8_000));
    let before = fleet.store.calls;
    fleet.pass(ms(10_000));
    assert!(fleet.store.calls - before <= 60, "{}", fleet.store.calls - before);
}

#[test]
fn relay_reader_cut_from_store() {
    // Story: only the reader loses the store, which does not answer it any more. Its followers
    // hear nothing wrong, since silence is what a store without changes looks like.
    let mut fleet = Fleet::new();
    for node in fleet.readers() {
        fleet.nodes[node].cut = true;
    }
    fleet.store.changes.push(version(2, 10));
    fleet.pass(BOUND);
    assert_eq!(fleet.behind(), Vec::<usize>::new());
}

#[test]
fn relay_message_lost() {
    // Story: a connection breaks just as a reader tells of a change. The reader goes on speaking,
    // so that its followers see nothing wrong, and do without the change.
    let mut fleet = Fleet::new();
    // Past the question that every follower asks each two seconds and that would tell it too.
    fleet.pass(ms(500));
    fleet.store.changes.push(entry(3, TargetState::Draining, 2));
    fleet.deaf_until = fleet.now + ms(50);
    fleet.pass(ms(1_200));
    assert_eq!(fleet.behind(), Vec::<usize>::new());
}

#[test]
fn relay_reader_wakes_from_pause() {
    // Story: a reader is paused for four seconds. Its followers read the store meanwhile and hold
    // newer versions; what it says when it wakes must not take them back.
    let mut fleet = Fleet::new();
    let readers = fleet.readers();
    let calls: Vec<_> = readers.iter().map(|node| fleet.nodes[*node].call.take()).collect();
    let wakes: Vec<_> = readers.iter().map(|node| fleet.nodes[*node].wake.take()).collect();
    for node in &readers {
        fleet.nodes[*node].up = false;
    }
    fleet.pass(ms(1_000));
    fleet.store.changes.push(version(2, 10));
    fleet.pass(ms(3_000));
    assert_eq!(fleet.behind(), Vec::<usize>::new());
    for (at, node) in readers.iter().enumerate() {
        fleet.nodes[*node].up = true;
        fleet.nodes[*node].call = calls[at].clone();
        fleet.nodes[*node].wake = wakes[at];
    }
    for _ in 0..100 {
        fleet.pass(ms(20));
        let old = |node: &&Node| node.snapshot.as_ref().is_some_and(|held| held.version() < 2);
        let old = fleet.nodes.iter().filter(old).count();
        assert!(old <= readers.len(), "{old} nodes went back");
    }
    assert_eq!(fleet.behind(), Vec::<usize>::new());
}

#[test]
fn relay_random_failures() {
    // Nodes end and start, lose the store and reach it again, while versions and targets change.
    // Whoever has run and reached the store for long enough holds each change in time.
    for seed in 0..6u64 {
        let mut random = seed * 7_919 + 1;
        let mut next = |most: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695);
            (random >> 33) % most
        };
        let mut fleet = Fleet::new();
        let mut newest = 1;
        for step in 0..25 {
            let readers = fleet.readers();
            for _ in 0..next(3) {
                let any = next(NODES as u64) as usize;
                let reader = readers.get(next(4) as usize).copied().unwrap_or(any);
                match next(4) {
                    0 => fleet.stop(reader),
                    1 => fleet.nodes[reader].cut = true,
                    2 if !fleet.nodes[any].up => fleet.start(any),
                    _ => fleet.nodes[any].cut = false,
                }
            }
            newest += 1;
            fleet.store.changes.push(version(newest, 5 + next(20) as usize));
            let target = next(NODES as u64) as usize;
            fleet.store.changes.push(entry(target, TargetState::Draining, 2));
            fleet.pass(BOUND + LAPSE * next(2) as u32);
            // A node that has just reached the store again may still wait for a time-out.
            let behind = fleet.behind();
            if !behind.is_empty() {
                fleet.pass(ms(4_000));
            }
            assert_eq!(fleet.behind(), Vec::<usize>::new(), "seed {seed}, step {step}");
        }
    }
}
