//! The return of a fleet that has lost nearly all of its processes while the store is silent.

use proptest::prelude::*;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::config::{Preset, Snapshot};
use sycamore_core::discovery::{
    Call, Change, Config, Discovery, Input, Output, Publication, ReadError, Reply, Request,
    TargetEntry, TargetState,
};
use sycamore_core::place::Place;
use sycamore_core::spread::{Peer, PeerMsg};
use sycamore_core::{Code, Name, Time};

const START: Time = Time(1_700_000_000_000_000);
const NODES: usize = 18;
const SEEDS: usize = 3;

/// One step of time, which is also how long a message takes.
const STEP: Duration = Duration::from_millis(10);

/// A node's calls to others go to a random one of them this often.
const CALL_STEPS: usize = 5;

/// Within this time of their restart all processes hold everything again.
const BOUND: Duration = Duration::from_secs(2);

fn name(text: impl Into<String>) -> Name {
    Name::new(text.into()).unwrap()
}

fn address(node: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], port))
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        other => panic!("{other}"),
    }
}

fn place(node: usize) -> Place {
    let region = ["east", "mid", "west"][node % 3];
    Place { region: name(region), zone: name(format!("{region}-{}", node / 3 % 2)) }
}

fn target(node: usize, state: TargetState) -> Change {
    let entry = TargetEntry {
        service: name("s"),
        address: address(node, 80),
        place: place(node),
        slots: 6,
        state,
        started_ms: 1_000,
        sequence: if state == TargetState::Draining { 2 } else { 1 },
    };
    Change::Target { id: name(format!("t{node}")), entry: Some(entry) }
}

fn version(version: u64) -> Change {
    let text = r#"{"name":"p","services":{"s":{"targets":[]}},
        "routes":{"a":{"path_prefix":"/a/","service":"s","idempotent":true}}}"#;
    let preset: Preset = serde_json::from_str(text).unwrap();
    Change::Published(Ok(Arc::new(Publication::new(version, preset))))
}

struct Node {
    discovery: Discovery,
    up: bool,
    // Counts the starts, so that what was meant for the process before is dropped.
    life: u32,
    call: Option<(Call, Time)>,
    wake: Option<Time>,
    snapshot: Option<Arc<Snapshot>>,
}

struct Message {
    due: Time,
    from: usize,
    to: usize,
    life: u32,
    msg: PeerMsg,
}

/// Nodes in one thread, and a store that can be silent.
struct Fleet {
    now: Time,
    rng: Pcg64Mcg,
    changes: Vec<Change>,
    silent: bool,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    sent: usize,
}

fn discovery(node: usize, seed: u64) -> Discovery {
    let cfg = Config {
        place: place(node),
        address: address(node, 7),
        link_kbps: None,
        seeds: (0..SEEDS).map(|seed| address(seed, 7)).collect(),
        gate_port: 5,
        peers_port: 7,
    };
    Discovery::new(cfg, seed)
}

impl Fleet {
    /// A fleet that has read version 1 and every target.
    fn new(seed: u64) -> Fleet {
        let node = |node| Node {
            discovery: discovery(node, seed + node as u64),
            up: true,
            life: 0,
            call: None,
            wake: None,
            snapshot: None,
        };
        let mut changes = vec![version(1)];
        changes.extend((0..NODES).map(|node| target(node, TargetState::Ready)));
        let mut fleet = Fleet {
            now: START,
            rng: Pcg64Mcg::seed_from_u64(seed),
            changes,
            silent: false,
            nodes: (0..NODES).map(node).collect(),
            messages: Vec::new(),
            sent: 0,
        };
        (0..NODES).for_each(|node| fleet.input(node, Input::Start));
        fleet.pass(Duration::from_secs(1));
        assert_eq!(fleet.holding(1), NODES);
        fleet
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut out = Vec::new();
        self.nodes[node].wake = None;
        self.nodes[node].discovery.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Read(call) => {
                    let until = self.now + call.timeout;
                    self.nodes[node].call = Some((call, until));
                }
                Output::InForce(snapshot) => self.nodes[node].snapshot = Some(snapshot),
                Output::WakeAt(at) => self.nodes[node].wake = Some(at),
                Output::Send { to, msg, .. } => {
                    let to = node_at(to);
                    let life = self.nodes[to].life;
                    let due = self.now + STEP;
                    self.sent += 1;
                    self.messages.push(Message { due, from: node, to, life, msg });
                }
                _ => {}
            }
        }
    }

    /// What the store says to a call now, if anything.
    fn answer(&self, call: &Call, until: Time) -> Option<Result<Reply, ReadError>> {
        if self.now >= until {
            return Some(Err(ReadError::Failed(Code::SourceUnreachable)));
        }
        let (since, wait) = match call.request {
            _ if self.silent => return None,
            Request::List { .. } => (0, Duration::ZERO),
            Request::Watch { revision, wait } => (revision as usize, wait),
        };
        let revision = self.changes.len();
        let waited = call.timeout - until.since(self.now);
        let news = since < revision || waited >= wait;
        let changes = self.changes[since..].to_vec();
        news.then_some(Ok(Reply { revision: revision as u64, changes, next: None }))
    }

    fn step(&mut self, step: usize) {
        self.now = self.now + STEP;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.due <= self.now);
        self.messages = later;
        for Message { from, to, life, msg, .. } in due {
            if self.nodes[to].up && self.nodes[to].life == life {
                let peer = Peer {
                    vm: name(format!("n{from}")),
                    place: place(from),
                    address: address(from, 7),
                };
                self.input(to, Input::Peer { from: peer, msg });
            }
        }
        for node in 0..NODES {
            if !self.nodes[node].up {
                continue;
            }
            if self.nodes[node].wake.is_some_and(|wake| wake <= self.now) {
                self.input(node, Input::Wake);
            }
            if let Some((call, until)) = self.nodes[node].call.clone() {
                if let Some(result) = self.answer(&call, until) {
                    self.nodes[node].call = None;
                    self.input(node, Input::Reply { id: call.id, result });
                }
            }
            if step % CALL_STEPS == 0 {
                self.call_somebody(node);
            }
        }
    }

    /// The call path of a node that serves sends a call to some target, and finds its node gone.
    fn call_somebody(&mut self, node: usize) {
        let to = self.rng.random_range(0..NODES);
        if self.nodes[node].snapshot.is_some() && !self.nodes[to].up {
            self.input(node, Input::PeerLost(address(to, 5)));
        }
    }

    fn pass(&mut self, span: Duration) {
        for step in 0..(span.as_millis() / STEP.as_millis()) as usize {
            self.step(step);
        }
    }

    fn kill(&mut self, node: usize) {
        let killed = &mut self.nodes[node];
        (killed.up, killed.call, killed.wake, killed.snapshot) = (false, None, None, None);
        killed.life += 1;
    }

    fn restart(&mut self, node: usize) {
        let seed = self.rng.random();
        self.nodes[node].discovery = discovery(node, seed);
        self.nodes[node].up = true;
        self.input(node, Input::Start);
    }

    /// Kills these and restarts them 0.6 s later.
    fn lose(&mut self, killed: &[usize]) {
        killed.iter().for_each(|node| self.kill(*node));
        self.pass(Duration::from_millis(600));
        killed.iter().for_each(|node| self.restart(*node));
    }

    /// Nodes that hold this version with every target.
    fn holding(&self, version: u64) -> usize {
        let holds = |node: &&Node| {
            let snapshot = node.snapshot.as_ref();
            snapshot.is_some_and(|held| held.version() == version && held.targets().len() == NODES)
        };
        self.nodes.iter().filter(holds).count()
    }
}

#[test]
fn return_two_survivors_seeds_lost() {
    // Story: the store falls silent, and two seconds later 16 of 18 processes are killed, the seeds
    // among them. They are back after 0.6 s and ask their seeds, which know nothing either. Callers
    // of 16 nodes get refusals until the store is back, although two nodes hold everything.
    let mut fleet = Fleet::new(1);
    fleet.silent = true;
    fleet.pass(Duration::from_secs(2));
    fleet.lose(&(0..16).collect::<Vec<_>>());
    fleet.pass(BOUND);
    assert_eq!(fleet.holding(1), NODES);
}

#[test]
fn return_store_takes_over() {
    // What the store says when it is back goes before what peers have handed on.
    let mut fleet = Fleet::new(2);
    fleet.silent = true;
    fleet.pass(Duration::from_secs(2));
    fleet.lose(&(0..16).collect::<Vec<_>>());
    fleet.pass(BOUND);
    fleet.changes.push(version(2));
    fleet.changes.push(target(3, TargetState::Draining));
    fleet.silent = false;
    fleet.pass(Duration::from_secs(6));
    assert_eq!(fleet.holding(2), NODES);
    let leaving = |node: &Node| {
        let snapshot = node.snapshot.as_ref().unwrap();
        snapshot.targets().iter().filter(|entry| entry.target.leaving).count()
    };
    assert!(fleet.nodes.iter().all(|node| leaving(node) == 1));
}

#[test]
fn return_older_survivor_pulls_nobody_back() {
    // Story: one survivor was cut off while version 2 was published. Processes that start between
    // it and one that holds version 2 end up with version 2.
    let mut fleet = Fleet::new(3);
    let behind = 17;
    fleet.nodes[behind].up = false;
    fleet.changes.push(version(2));
    fleet.pass(Duration::from_secs(5));
    fleet.nodes[behind].up = true;
    fleet.silent = true;
    fleet.pass(Duration::from_secs(2));
    fleet.lose(&(0..16).collect::<Vec<_>>());
    fleet.pass(BOUND);
    assert!(fleet.holding(2) >= NODES - 1, "{}", fleet.holding(2));
}

#[test]
fn return_quiet_times_no_offer() {
    // Offers cost bytes between zones, so that none is made while nothing is lost.
    let mut fleet = Fleet::new(4);
    fleet.sent = 0;
    fleet.pass(Duration::from_secs(20));
    assert_eq!(fleet.sent, 0);
}

#[test]
fn return_offers_end() {
    // A node that does not come back is not called for ever.
    let mut fleet = Fleet::new(5);
    fleet.kill(3);
    fleet.pass(Duration::from_secs(1));
    assert!(fleet.sent > 0);
    // Its target stays listed until its entry lapses, but nobody calls it any more.
    fleet.nodes[3].up = true;
    fleet.pass(Duration::from_secs(5));
    fleet.sent = 0;
    fleet.pass(Duration::from_secs(5));
    assert_eq!(fleet.sent, 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 16, ..ProptestConfig::default()
    })]

    /// Any one survivor is enough, whichever it is, and kills may go on during the return.
    #[test]
    fn return_any_survivor(seed in any::<u32>(), killed in 9usize..NODES, again in 0usize..6) {
        let mut fleet = Fleet::new(seed.into());
        fleet.silent = true;
        fleet.pass(Duration::from_secs(2));
        let mut nodes: Vec<usize> = (0..NODES).collect();
        nodes.shuffle(&mut fleet.rng);
        fleet.lose(&nodes[..killed]);
        fleet.pass(Duration::from_millis(700));
        fleet.lose(&nodes[..again]);
        fleet.pass(BOUND);
        prop_assert_eq!(fleet.holding(1), NODES);
    }
}
