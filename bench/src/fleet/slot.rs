//! A place for a node's process: its decider, and what the transport knows of it.

use super::Setup;
use super::workload::vm_name;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use sycamore_core::call::{CallKey, Fingerprint, RequestKey, entry, gatekeeper};
use sycamore_core::config::InForce;
use sycamore_core::hash::Hash;
use sycamore_core::node::{self, Node};
use sycamore_core::spread::port::{CallId, View};
use sycamore_core::spread::{Config, Input, Peer, Spread};
use sycamore_core::status::Role;
use sycamore_core::{Name, Time};

/// Peers of its own zone that a node's settings name.
const ZONE_SEEDS: usize = 3;

/// Peers of other zones that a node's settings name.
const OTHER_SEEDS: usize = 2;

/// Inputs that a paused process's sockets hold back; further ones are lost.
const BACKLOG: usize = 4_096;

/// A neighbour as it was when a node started.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour {
    /// Number of the node.
    pub node: usize,
    /// Its life then.
    pub incarnation: u32,
    /// The version that it held.
    pub version: u64,
}

/// The start of a process.
#[derive(Clone, Debug)]
pub struct Start {
    /// When.
    pub at: Time,
    /// The neighbours that it could ask then.
    pub neighbours: Vec<Neighbour>,
}

/// What a node has carried since the counters were last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Bytes sent to peers and the platform.
    pub sent: u64,
    /// Bytes received from peers and the platform.
    pub received: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Time that its decider took.
    pub busy: Duration,
}

/// An input to a node that owns what it names, so that a paused process can get it later.
#[derive(Debug)]
pub enum NodeInput {
    /// To the spread.
    Spread(Input),
    /// A request from a caller.
    Request {
        /// The call at the entry node.
        call: CallKey,
        /// Its path.
        path: String,
        /// Its `Idempotency-Key`.
        key: Option<RequestKey>,
    },
    /// An attempt came to something.
    AttemptEnded {
        /// The call at the entry node.
        call: CallKey,
        /// What it came to.
        end: entry::AttemptEnd,
    },
    /// The answer has gone out.
    ResponseSent(CallKey),
    /// The deadline at the entry node.
    DeadlineExpired {
        /// The call at the entry node.
        call: CallKey,
    },
    /// A request from an entry node.
    GatekeeperRequest {
        /// The call at the gatekeeper.
        call: CallKey,
        /// Its path.
        path: String,
        /// Its `Idempotency-Key`.
        key: Option<RequestKey>,
        /// Its digest.
        digest: Hash,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// Crashes that the entry node knows of.
        crashes: u32,
        /// When its caller stops waiting.
        deadline: Time,
    },
    /// A waiting request's time is up.
    QueueTimeout(CallKey),
    /// The entry node of a waiting request has gone away.
    Withdraw(CallKey),
    /// A run has ended.
    RunEnded {
        /// The call at the gatekeeper.
        call: CallKey,
        /// How.
        end: gatekeeper::End,
    },
    /// Time passes for the gatekeeper.
    Tick,
}

/// What decides for a node.
enum StateMachine {
    /// All of it.
    Node(Box<Node>),
    /// Only the spread, where memory does not suffice for all.
    Spread(Box<Spread>),
}

/// One node.
pub struct Slot {
    /// How other nodes know it.
    pub peer: Peer,
    /// Nodes that its settings name.
    pub seeds: Vec<usize>,
    /// Services whose routes it needs.
    pub scope: Option<Vec<Name>>,
    /// Starts so far: what belongs to an earlier life is dropped.
    pub incarnation: u32,
    /// When the decider wants to be woken.
    pub wake: Option<Time>,
    /// When the next wake is queued.
    pub queued_wake: Option<Time>,
    /// Calls to the platform that have not ended.
    pub calls: HashSet<CallId>,
    /// The version in force.
    pub in_force: Option<InForce>,
    /// Since when.
    pub in_force_since: Option<Time>,
    /// What the decider shows on `/status`.
    pub view: Option<View>,
    /// Whether it takes questions and never answers.
    pub ignores_requests: bool,
    /// Whether what it sends does not match its hash.
    pub corrupts_messages: bool,
    /// When it last was paused, silent or lying.
    pub last_impaired: Time,
    /// What it has carried.
    pub load: Load,
    /// Its last start, while nothing is in force yet.
    pub start: Option<Start>,
    state_machine: Option<StateMachine>,
    spread_only: bool,
    paused: bool,
    backlog: Vec<NodeInput>,
    fleet_vms: u32,
    platform_region: Name,
    seed: u64,
}

impl Slot {
    /// A node whose process has not started.
    pub fn new(setup: &Setup, node: usize) -> Slot {
        let size = &setup.size;
        let member = size.member(node);
        let peer = Peer { vm: vm_name(node), place: member.place(), address: member.peers };
        Slot {
            peer,
            seeds: seeds(setup, node),
            scope: setup.preset_size.scope(node, setup.called_services),
            incarnation: 0,
            wake: None,
            queued_wake: None,
            calls: HashSet::new(),
            in_force: None,
            in_force_since: None,
            view: None,
            ignores_requests: false,
            corrupts_messages: false,
            last_impaired: Time::ZERO,
            load: Load::default(),
            start: None,
            state_machine: None,
            spread_only: setup.spread_only,
            paused: false,
            backlog: Vec::new(),
            fleet_vms: size.nodes as u32,
            platform_region: size.place(0).region,
            seed: setup.seed ^ (node as u64) << 20,
        }
    }

    /// Whether the process runs, paused or not.
    pub fn is_running(&self) -> bool {
        self.state_machine.is_some()
    }

    /// Whether the process does not run for now.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Whether it can't be expected to answer well.
    pub fn is_impaired(&self) -> bool {
        self.paused || self.ignores_requests || self.corrupts_messages
    }

    /// The version in force; zero if none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |in_force| in_force.version)
    }

    /// What it does for the spread.
    pub fn role(&self) -> Role {
        self.view.as_ref().map_or(Role::Leaf, |view| view.role)
    }

    /// How it looks to a node that starts now.
    pub fn as_neighbour(&self, node: usize) -> Neighbour {
        Neighbour { node, incarnation: self.incarnation, version: self.version() }
    }

    /// Starts the process.
    pub fn start(&mut self, start: Start) {
        self.stop();
        let cfg = Config {
            vm: self.peer.vm.clone(),
            place: self.peer.place.clone(),
            address: self.peer.address,
            seeds: self.seeds.iter().map(|node| super::workload::address(*node, 7_003)).collect(),
            scope: self.scope.clone(),
            platform_region: Some(self.platform_region.clone()),
            fleet_vms: self.fleet_vms,
            first_configuration: Duration::from_secs(5),
        };
        let now = start.at;
        self.start = Some(start);
        let seed = self.seed + u64::from(self.incarnation);
        self.state_machine = Some(match self.spread_only {
            true => StateMachine::Spread(Box::new(Spread::new(cfg, seed))),
            false => StateMachine::Node(Box::new(Node::new(cfg, now, seed))),
        });
    }

    /// Ends the process: it forgets everything.
    pub fn stop(&mut self) {
        self.incarnation += 1;
        self.state_machine = None;
        self.wake = None;
        self.queued_wake = None;
        self.calls.clear();
        self.in_force = None;
        self.view = None;
        self.start = None;
        self.paused = false;
        self.backlog.clear();
    }

    /// Stops the process from running until [`Slot::resume`].
    pub fn pause(&mut self, now: Time) {
        self.paused = true;
        self.last_impaired = now;
    }

    /// Lets the process run again. Returns what came in meanwhile.
    pub fn resume(&mut self, now: Time) -> Vec<NodeInput> {
        if self.paused {
            self.last_impaired = now;
        }
        self.paused = false;
        std::mem::take(&mut self.backlog)
    }

    /// A version has come into force.
    pub fn set_in_force(&mut self, in_force: InForce, at: Time) {
        self.in_force = Some(in_force);
        self.in_force_since = Some(at);
        self.start = None;
    }

    /// Hands an input to the deciders; a paused process gets it later.
    pub fn handle(&mut self, now: Time, input: NodeInput, out: &mut Vec<node::Output>) {
        if self.paused {
            if self.backlog.len() < BACKLOG && !matches!(input, NodeInput::Tick) {
                self.backlog.push(input);
            }
            return;
        }
        let started = Instant::now();
        match &mut self.state_machine {
            Some(StateMachine::Node(node)) => handle_full(node, now, input, out),
            Some(StateMachine::Spread(spread)) => handle_spread_only(spread, now, input, out),
            None => return,
        }
        self.load.busy += started.elapsed();
    }
}

fn handle_spread_only(
    spread: &mut Spread,
    now: Time,
    input: NodeInput,
    out: &mut Vec<node::Output>,
) {
    if let NodeInput::Spread(input) = input {
        let mut outputs = Vec::new();
        spread.handle(now, input, &mut outputs);
        out.extend(outputs.into_iter().map(node::Output::Spread));
    }
}

fn handle_full(node: &mut Node, now: Time, input: NodeInput, out: &mut Vec<node::Output>) {
    let input = match input {
        NodeInput::Spread(input) => node::Input::Spread(input),
        NodeInput::Request { call, ref path, key } => {
            let arrival =
                entry::Arrival { key, body_bytes: Some(0), ..entry::Arrival::new(call, "", path) };
            node::Input::Entry(entry::Input::Arrive(arrival))
        }
        NodeInput::AttemptEnded { call, end } => {
            node::Input::Entry(entry::Input::Attempt { call, end, replayable: true })
        }
        NodeInput::ResponseSent(call) => node::Input::Entry(entry::Input::Close(call)),
        NodeInput::DeadlineExpired { call } => {
            node::Input::Entry(entry::Input::Expire { call, sent: true })
        }
        NodeInput::GatekeeperRequest {
            call,
            ref path,
            key,
            digest,
            fingerprint,
            crashes,
            deadline,
        } => {
            let digest = Some(digest);
            let arrival = gatekeeper::Arrival {
                host: "",
                terms: None,
                call,
                path,
                key,
                digest,
                fingerprint,
                crashes,
                depth: 0,
                deadline,
            };
            node::Input::Gatekeeper(gatekeeper::Input::Arrive(arrival))
        }
        NodeInput::QueueTimeout(call) => node::Input::Gatekeeper(gatekeeper::Input::Expire(call)),
        NodeInput::Withdraw(call) => node::Input::Gatekeeper(gatekeeper::Input::Withdraw(call)),
        NodeInput::RunEnded { call, end } => {
            node::Input::Gatekeeper(gatekeeper::Input::End { call, end })
        }
        NodeInput::Tick => node::Input::Gatekeeper(gatekeeper::Input::Tick),
    };
    node.handle(now, input, out);
}

/// The number of the node with an address, from [`super::workload::address`].
pub fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, b, c, d] = ip.octets();
            (u32::from_be_bytes([0, b, c, d]) as usize).wrapping_sub(1)
        }
        IpAddr::V6(_) => usize::MAX,
    }
}

/// Seeds of a node: some of its zone and some of other zones, its own region first.
fn seeds(setup: &Setup, node: usize) -> Vec<usize> {
    let size = &setup.size;
    let site = size.site(node);
    let mut rng = Pcg64Mcg::seed_from_u64(setup.seed ^ node as u64);
    let in_zone: Vec<usize> = (node % size.zones..size.nodes).step_by(size.zones).collect();
    let same_zone =
        in_zone.sample(&mut rng, ZONE_SEEDS + 1).copied().filter(|other| *other != node);
    let mut seeds: Vec<usize> = same_zone.take(ZONE_SEEDS).collect();
    let mut zones: Vec<usize> = (0..size.zones).filter(|z| *z != site.zone as usize).collect();
    zones.sort_by_key(|zone| (zone % size.regions != site.region as usize, *zone));
    for zone in zones.into_iter().take(OTHER_SEEDS) {
        let others: Vec<usize> = (zone..size.nodes).step_by(size.zones).collect();
        seeds.extend(others.choose(&mut rng));
    }
    seeds
}
