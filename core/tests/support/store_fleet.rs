//! Single-threaded simulation of discovery nodes, their store and the messages between them, on a
//! simulated clock.

// Not every test file uses every helper.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::config::{Preset, Snapshot};
use sycamore_core::discovery::{
    Call, Change, Config, Discovery, Input, Output, Publication, ReadError, Reply, Request,
    TargetEntry, TargetState,
};
use sycamore_core::event::{Event, EventKind};
use sycamore_core::place::{Link, Place};
use sycamore_core::spread::message::Summary;
use sycamore_core::spread::{Peer, PeerMsg};
use sycamore_core::{Code, Name, Time};

pub const START: Time = Time(1_700_000_000_000_000);

/// Latency of a message, and of a call that the store responds to at once.
const MESSAGE_LATENCY: Duration = Duration::from_millis(2);

/// Links below this bandwidth are narrow, in kbit/s.
const NARROW_LINK_KBPS: u64 = 100_000;

/// Ports of the peer listener, the gatekeeper and the target of every node.
const PEERS_PORT: u16 = 7;
const GATE_PORT: u16 = 5;
const TARGET_PORT: u16 = 80;

pub fn name(text: impl Into<String>) -> Name {
    Name::new(text.into()).unwrap()
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(node: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = (node as u32 + 1).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from(ip) & 0xffff) as usize - 1,
        other => panic!("{other}"),
    }
}

pub fn gate_address(node: usize) -> SocketAddr {
    address(node, GATE_PORT)
}

/// Configuration of a node without seeds or a bandwidth limit.
pub fn config(node: usize, place: Place) -> Config {
    Config {
        place,
        address: address(node, PEERS_PORT),
        link_kbps: None,
        change_bound: Duration::from_millis(2_500),
        seeds: Vec::new(),
        gate_port: GATE_PORT,
        peers_port: PEERS_PORT,
    }
}

/// Peer addresses of these nodes.
pub fn seeds(nodes: std::ops::Range<usize>) -> Vec<SocketAddr> {
    nodes.map(|node| address(node, PEERS_PORT)).collect()
}

/// Entry written by the target of a node. The store sets its revision.
pub fn entry(node: usize, place: Place, state: TargetState) -> Change {
    let entry = TargetEntry {
        service: name("s"),
        address: address(node, TARGET_PORT),
        place,
        slots: 11,
        state,
        started_ms: 1_000 + node as u64,
        revision: 0,
        cold: false,
        evacuated: false,
    };
    Change::Target { id: name(format!("t{node}")), entry: Some(entry) }
}

/// Version with `routes` routes, plus one that names the version.
pub fn version(version: u64, routes: usize) -> Change {
    version_with_paths(version, routes, "r")
}

/// As [`version`], with paths that begin with `path`.
pub fn version_with_paths(version: u64, routes: usize, path: &str) -> Change {
    let route = |at| {
        format!(r#""r{at}":{{"path_prefix":"/{path}{at}/","service":"s","idempotent":true}},"#)
    };
    let routes: String = (0..routes).map(route).collect();
    let text = format!(
        r#"{{"name":"p","services":{{"s":{{"targets":[]}}}},"routes":{{{routes}
        "v":{{"path_prefix":"/v{version}/","service":"s","idempotent":true}}}}}}"#
    );
    let preset: Preset = serde_json::from_str(&text).unwrap();
    Change::Published(Ok(Arc::new(Publication::new(version, preset))))
}

/// Store contents: all changes in order. The revision is their number.
#[derive(Default)]
pub struct Store {
    pub changes: Vec<Change>,
    pub calls: usize,
    /// Number of list calls, stale or not.
    pub lists: usize,
    /// Number of calls that are not stale reads.
    pub fresh_calls: usize,
    /// Number of latest changes hidden from stale reads.
    pub stale_by: usize,
    /// Spans in which the store is silent: calls received then, and responses due then, are lost.
    pub silences: Vec<(Time, Time)>,
    /// Time that the store takes to begin a response.
    pub response_time: Duration,
    document_bytes: RefCell<HashMap<u64, u64>>,
}

impl Store {
    fn is_silent(&self, now: Time) -> bool {
        self.silences.iter().any(|(begin, end)| (*begin..*end).contains(&now))
    }

    /// Size of a response: values are JSON, encoded in Base64.
    fn response_bytes(&self, reply: &Reply) -> u64 {
        const ENTRY_BYTES: u64 = 300;
        let size = |change: &Change| match change {
            Change::Published(Ok(published)) => {
                let bytes = || serde_json::to_vec(&published.preset).unwrap().len() as u64 * 4 / 3;
                *self.document_bytes.borrow_mut().entry(published.version).or_insert_with(bytes)
            }
            _ => ENTRY_BYTES,
        };
        reply.changes.iter().map(size).sum()
    }

    /// The first `count` changes. Each entry has the revision at which it was written.
    fn numbered(&self, count: usize) -> Vec<Change> {
        let numbered = |(index, change): (usize, &Change)| match change {
            Change::Target { id, entry: Some(entry) } => {
                let entry = TargetEntry { revision: index as u64 + 1, ..entry.clone() };
                Change::Target { id: id.clone(), entry: Some(entry) }
            }
            change => change.clone(),
        };
        self.changes[..count].iter().enumerate().map(numbered).collect()
    }

    fn changes_since(&self, revision: u64) -> Reply {
        let changes = self.numbered(self.changes.len()).split_off(revision as usize);
        Reply { revision: self.changes.len() as u64, changes, next: None }
    }

    fn list(&self, stale: bool) -> Reply {
        let hidden = if stale { self.stale_by } else { 0 };
        let visible = &self.changes[..self.changes.len().saturating_sub(hidden)];
        let mut changes = self.numbered(visible.len());
        changes.retain(|change| !matches!(change, Change::Evacuation { .. }));
        let removed = removed_targets(visible);
        changes.retain(|change| match change {
            Change::Target { id, .. } | Change::Removed { id } => !removed.contains(id),
            Change::Published(_) | Change::Evacuation { .. } => true,
        });
        // Each key is listed once, with what was written last.
        let mut listed = std::collections::HashSet::new();
        changes.reverse();
        changes.retain(|change| match change {
            Change::Target { id, .. } | Change::Removed { id } => listed.insert(id.to_string()),
            Change::Published(_) | Change::Evacuation { .. } => listed.insert(String::new()),
        });
        changes.reverse();
        changes.extend(evacuations(visible));
        Reply { revision: visible.len() as u64, changes, next: None }
    }

    fn entries_since(&self, revision: u64) -> Reply {
        let mut reply = self.changes_since(revision);
        reply
            .changes
            .retain(|change| !matches!(change, Change::Published(_) | Change::Evacuation { .. }));
        reply
    }

    fn document(&self) -> Reply {
        let published = |change: &&Change| matches!(change, Change::Published(_));
        let document = self.changes.iter().rfind(published).cloned();
        let changes = document.into_iter().chain(evacuations(&self.changes)).collect();
        Reply { revision: self.changes.len() as u64, changes, next: None }
    }
}

/// Targets whose entries are gone after these changes.
fn removed_targets(changes: &[Change]) -> std::collections::HashSet<Name> {
    let mut removed = std::collections::HashSet::new();
    for change in changes {
        match change {
            Change::Removed { id } => removed.insert(id.clone()),
            Change::Target { id, .. } => removed.remove(id),
            Change::Published(_) | Change::Evacuation { .. } => false,
        };
    }
    removed
}

/// Evacuations in force after these changes.
fn evacuations(changes: &[Change]) -> Vec<Change> {
    let mut zones = std::collections::BTreeMap::new();
    for change in changes {
        if let Change::Evacuation { zone, active } = change {
            zones.insert(zone.clone(), *active);
        }
    }
    let in_force = zones.into_iter().filter(|(_, active)| *active);
    in_force.map(|(zone, active)| Change::Evacuation { zone, active }).collect()
}

pub struct PendingCall {
    call: Call,
    since: Time,
    /// The response that the store has begun to send.
    response: Option<Response>,
    /// The call or its response was lost.
    lost: bool,
}

struct Response {
    reply: Reply,
    bytes: u64,
    /// Bytes that have not been received.
    left: f64,
}

pub struct Node {
    pub discovery: Discovery,
    pub up: bool,
    /// Calls to the store get no response.
    pub store_unreachable: bool,
    /// Calls that have not ended.
    pub calls: Vec<PendingCall>,
    /// Time of the last call.
    pub last_call_at: Time,
    pub wake: Option<Time>,
    pub snapshot: Option<Arc<Snapshot>>,
    /// Events recorded since the start.
    pub events: Vec<Event>,
    // Number of restarts. Messages to an earlier process are dropped.
    incarnation: u32,
}

struct Message {
    due: Time,
    from: usize,
    to: usize,
    incarnation: u32,
    msg: PeerMsg,
}

pub struct Fleet {
    pub now: Time,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// Messages due before this time are dropped.
    pub drop_messages_until: Time,
    /// Size of the largest delta sent, in bytes.
    pub largest_delta: usize,
    /// Numbers of offers and of cross-region messages sent.
    pub offers_sent: usize,
    pub cross_region_messages: usize,
    /// Whether responses of the store take the time that their size needs over the node's link,
    /// which they share.
    pub transfer_times: bool,
    /// Share of each link that is left beside other traffic.
    pub link_share: f64,
    /// Time for which what a node with a narrow link sends waits behind other traffic.
    pub queue_delay: Duration,
    config: fn(usize) -> Config,
    step: Duration,
    seed: u64,
    messages: VecDeque<Message>,
}

impl Fleet {
    /// Creates `nodes` nodes that have not started. The clock advances in units of `step`.
    pub fn new(nodes: usize, config: fn(usize) -> Config, step: Duration, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: START,
            store: Store::default(),
            nodes: Vec::new(),
            drop_messages_until: START,
            largest_delta: 0,
            offers_sent: 0,
            cross_region_messages: 0,
            transfer_times: false,
            link_share: 1.0,
            queue_delay: Duration::ZERO,
            config,
            step,
            seed,
            messages: VecDeque::new(),
        };
        fleet.nodes = (0..nodes).map(|node| fleet.new_node(node, 0)).collect();
        fleet
    }

    fn new_node(&mut self, node: usize, incarnation: u32) -> Node {
        self.seed += 1;
        Node {
            discovery: Discovery::new((self.config)(node), self.seed),
            up: true,
            store_unreachable: false,
            calls: Vec::new(),
            last_call_at: START,
            wake: None,
            snapshot: None,
            events: Vec::new(),
            incarnation,
        }
    }

    pub fn input(&mut self, node: usize, input: Input) {
        if !self.nodes[node].up {
            return;
        }
        let mut out = Vec::new();
        self.nodes[node].wake = None;
        self.nodes[node].discovery.handle(self.now, input, &mut out);
        for output in out {
            self.apply_output(node, output);
        }
    }

    fn apply_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Read(call) => {
                self.store.calls += 1;
                self.store.lists += usize::from(matches!(call.request, Request::List { .. }));
                let stale = matches!(call.request, Request::List { stale: true, .. });
                self.store.fresh_calls += usize::from(!stale);
                let lost = self.store.is_silent(self.now);
                self.nodes[node].calls.push(PendingCall {
                    call,
                    since: self.now,
                    response: None,
                    lost,
                });
                self.nodes[node].last_call_at = self.now;
            }
            Output::Send { to, msg, link } => {
                if let PeerMsg::Delta(delta) = &msg {
                    let size = delta.changed.iter().map(|(_, body)| body.len()).sum();
                    self.largest_delta = self.largest_delta.max(size);
                }
                let offer = |summary: &Summary| summary.store_age_ms.is_none();
                let offers = matches!(&msg, PeerMsg::Notice(summary) if offer(summary));
                self.offers_sent += usize::from(offers);
                self.cross_region_messages += usize::from(link == Link::CrossRegion);
                let to = node_at(to);
                let latency = MESSAGE_LATENCY + self.queue_delay(node);
                let due = self.now + latency + self.message_time(node, to, &msg);
                let incarnation = self.nodes[to].incarnation;
                let message = Message { due, from: node, to, incarnation, msg };
                let at = self.messages.partition_point(|other| other.due <= due);
                self.messages.insert(at, message);
            }
            Output::InForce(snapshot) => self.nodes[node].snapshot = Some(snapshot),
            Output::WakeAt(at) => self.nodes[node].wake = Some(at),
            Output::Event(event) => self.nodes[node].events.push(event),
            _ => {}
        }
    }

    /// Time that a message needs over the narrower of the two links. Messages between two nodes
    /// keep their order.
    fn message_time(&self, from: usize, to: usize, msg: &PeerMsg) -> Duration {
        const COMPRESSION_RATIO: f64 = 8.0;
        let PeerMsg::Delta(delta) = msg else { return Duration::ZERO };
        if !self.transfer_times {
            return Duration::ZERO;
        }
        let size: usize = delta.changed.iter().map(|(_, body)| body.len()).sum();
        let rate = self.received_bytes(from).min(self.received_bytes(to)) / self.step.as_secs_f64();
        let time = Duration::from_secs_f64(size as f64 / COMPRESSION_RATIO / rate);
        let earlier = self.messages.iter().filter(|other| (other.from, other.to) == (from, to));
        let last = earlier.map(|other| other.due).max().unwrap_or(self.now);
        time.max(last.since(self.now).saturating_sub(MESSAGE_LATENCY))
    }

    /// Advances the clock by `span`.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the clock by one step.
    pub fn step(&mut self) {
        self.now = self.now + self.step;
        while self.messages.front().is_some_and(|message| message.due <= self.now) {
            let Message { from, to, incarnation, msg, .. } = self.messages.pop_front().unwrap();
            if self.now >= self.drop_messages_until && self.nodes[to].incarnation == incarnation {
                let cfg = (self.config)(from);
                let (vm, address) = (name(format!("t{from}")), cfg.address);
                let from = Peer { vm, place: cfg.place, address };
                self.input(to, Input::Peer { from, msg });
            }
        }
        for node in 0..self.nodes.len() {
            self.answer(node);
            if self.nodes[node].wake.is_some_and(|wake| wake <= self.now) {
                self.input(node, Input::Wake);
            }
        }
    }

    /// Ends the calls of a node that receive a response or time out now.
    fn answer(&mut self, node: usize) {
        let mut calls = std::mem::take(&mut self.nodes[node].calls);
        let mut ended = Vec::new();
        let receiving = calls.iter().filter(|pending| pending.response.is_some()).count();
        let received = self.received_bytes(node) / receiving.max(1) as f64;
        for pending in &mut calls {
            if let Some(response) = &mut pending.response {
                response.left -= received;
            }
        }
        calls.retain_mut(|pending| match self.result(node, pending) {
            Some(result) => {
                ended.push(Input::Reply { id: pending.call.id, result });
                false
            }
            None => true,
        });
        self.nodes[node].calls = calls;
        ended.into_iter().for_each(|reply| self.input(node, reply));
    }

    /// Returns the result of a call that ends now.
    fn result(&self, node: usize, pending: &mut PendingCall) -> Option<Result<Reply, ReadError>> {
        let (call, since) = (&pending.call, pending.since);
        if pending.response.is_none() && !pending.lost {
            let reply = match call.request {
                Request::List { stale, targets_only, .. } => {
                    let mut reply = self.store.list(stale);
                    let is_target = |change: &Change| {
                        matches!(change, Change::Target { .. } | Change::Removed { .. })
                    };
                    reply.changes.retain(|change| !targets_only || is_target(change));
                    Some(reply)
                }
                Request::Entries { revision } => Some(self.store.entries_since(revision)),
                Request::Document => Some(self.store.document()),
                Request::Watch { revision, wait } => {
                    let reply = self.store.changes_since(revision);
                    let wait_elapsed = self.now >= since + wait;
                    (wait_elapsed || !reply.changes.is_empty()).then_some(reply)
                }
            };
            let latency = MESSAGE_LATENCY + self.queue_delay(node);
            let begins = self.now >= since + latency + self.store.response_time
                && !self.nodes[node].store_unreachable;
            pending.response = reply.filter(|_| begins).map(|reply| {
                let bytes = if self.transfer_times { self.store.response_bytes(&reply) } else { 0 };
                Response { reply, bytes, left: bytes as f64 }
            });
        }
        if pending.response.as_ref().is_some_and(|response| response.bytes > call.max_bytes) {
            return Some(Err(ReadError::TooLarge));
        }
        let reply = pending.response.take_if(|response| response.left <= 0.0);
        let reply = reply.map(|response| response.reply);
        pending.lost |= reply.is_some() && self.store.is_silent(self.now);
        match reply.filter(|_| !pending.lost) {
            Some(reply) => Some(Ok(reply)),
            None if self.now >= since + call.timeout => {
                Some(Err(ReadError::Failed(Code::SourceUnreachable)))
            }
            None => None,
        }
    }

    /// Time for which what this node sends waits in the queue of its link.
    fn queue_delay(&self, node: usize) -> Duration {
        let is_narrow = |kbps: u64| kbps < NARROW_LINK_KBPS;
        match (self.config)(node).link_kbps.is_some_and(is_narrow) {
            true => self.queue_delay,
            false => Duration::ZERO,
        }
    }

    /// Bytes that a node receives in one step.
    fn received_bytes(&self, node: usize) -> f64 {
        let kbps = (self.config)(node).link_kbps.unwrap_or(1_000_000) as f64;
        kbps * self.link_share / 8.0 * self.step.as_secs_f64() * 1_000.0
    }

    /// Number of events of a kind that all nodes have recorded.
    pub fn count(&self, kind: EventKind) -> usize {
        let events = self.nodes.iter().flat_map(|node| &node.events);
        events.filter(|event| event.kind == kind).count()
    }

    /// Kills the process of a node.
    pub fn stop(&mut self, node: usize) {
        let ended = &mut self.nodes[node];
        (ended.up, ended.wake, ended.snapshot) = (false, None, None);
        ended.calls.clear();
    }

    /// Starts a new process on the same VM. Its connectivity to the store is unchanged.
    pub fn start(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let store_unreachable = self.nodes[node].store_unreachable;
        let started = self.new_node(node, incarnation);
        self.nodes[node] = Node { store_unreachable, ..started };
        self.input(node, Input::Start);
    }

    /// Disconnects all nodes from the store, or reconnects them.
    pub fn set_store_unreachable(&mut self, unreachable: bool) {
        self.nodes.iter_mut().for_each(|node| node.store_unreachable = unreachable);
    }
}
