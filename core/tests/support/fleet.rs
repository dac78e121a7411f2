//! Simulation of a small fleet: nodes in one thread with a time-ordered event queue, network
//! latency and partitions, and a platform that records its calls.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::config::{InForce, Snapshot};
use sycamore_core::event::{Event, EventKind};
use sycamore_core::hash::Hash;
use sycamore_core::member::{Member, VmList, VmState};
use sycamore_core::place::{Place, Zones};
use sycamore_core::spread::port::CallId;
use sycamore_core::spread::{
    Config, Input, Output, Peer, PeerMsg, SourceCall, SourceReply, SourceValue, Spread, View,
};
use sycamore_core::{Code, Name, Time};

/// Latency of the platform; default latency of links.
const LATENCY: Duration = Duration::from_millis(2);

/// A node with its recorded outputs, kept across restarts.
pub struct SimNode {
    pub cfg: Config,
    pub spread: Option<Spread>,
    pub paused: bool,
    pub in_force: Vec<Arc<Snapshot>>,
    pub events: Vec<Event>,
    pub members: IndexMap<Name, VmState>,
    pub view: Option<View>,
    /// The version in force at each [`Output::Confirmed`].
    pub confirmed: Vec<u64>,
    /// How far the node's clock is behind that of the others.
    pub clock_behind: Duration,
    generation: u64,
    wake: Option<Time>,
    queued_inputs: Vec<Input>,
}

enum Action {
    Wake(u64),
    Input(u64, Input),
    Timeout(u64, SourceCall),
}

/// Passes, alters or drops a message from the first node to the second.
pub type Filter = Box<dyn Fn(&SimNode, &SimNode, &PeerMsg) -> Option<PeerMsg>>;

/// A simulated platform. Each value is stored with the index of its last change.
#[derive(Default)]
pub struct Platform {
    pub values: BTreeMap<String, (u64, Bytes)>,
    pub index: u64,
    /// Zones that cannot reach the platform.
    pub unreachable_from: Vec<Name>,
    pub down: bool,
    /// Accepts calls but never responds.
    pub silent: bool,
    /// Responds to blocking reads immediately.
    pub answers_watches_at_once: bool,
    /// Responds to every call with status 429.
    pub over_limit: bool,
    /// Time and key of every call.
    pub calls: Vec<(Time, String)>,
    blocked_calls: Vec<(usize, u64, SourceCall)>,
}

pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<SimNode>,
    pub platform: Platform,
    pub filter: Filter,
    /// Latency of messages between nodes.
    pub latency: Duration,
    queue: BTreeMap<(Time, u64), (usize, Action)>,
    by_address: IndexMap<SocketAddr, usize>,
    event_seq: u64,
    seed: u64,
}

pub fn name(text: impl Into<String>) -> Name {
    Name::new(text.into()).unwrap()
}

/// Returns the seed from `SYCAMORE_SEED`, by default 1, and prints it.
pub fn seed() -> u64 {
    let seed = std::env::var("SYCAMORE_SEED").ok().and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("SYCAMORE_SEED={seed}");
    seed
}

/// Returns a preset with two services; `mark` makes bodies differ.
pub fn preset(mark: u32) -> String {
    format!(
        r#"{{"name":"ordinary","services":{{
"roster":{{"limits":{{"slots":{}}},"targets":[{{"vm":"a-0","region":"r1","zone":"a","gate":"127.0.0.1:1","peers":"127.0.0.1:9"}}]}},
"maps":{{"targets":[{{"vm":"b-0","region":"r1","zone":"b","gate":"127.0.0.1:2","peers":"127.0.0.1:9"}}]}}}},
"routes":{{"rosters":{{"path_prefix":"/rosters","service":"roster","idempotent":true}},
"maps":{{"path_prefix":"/maps","service":"maps","idempotent":true}}}}}}"#,
        mark % 100 + 1
    )
}

pub fn publication(version: u64, body: &str) -> InForce {
    InForce { version, preset: name("ordinary"), digest: Hash::of(body.as_bytes()) }
}

impl Platform {
    pub fn set(&mut self, key: &str, value: impl Into<Bytes>) {
        self.index += 1;
        self.values.insert(key.into(), (self.index, value.into()));
    }

    fn read(&self, call: &SourceCall) -> SourceValue {
        match self.values.get(call.key.as_str()) {
            Some((index, body)) => SourceValue { index: *index, body: Some(body.clone()) },
            None => SourceValue { index: 0, body: None },
        }
    }

    /// Maximum number of calls within any second.
    pub fn peak_calls_per_second(&self) -> usize {
        let mut start = 0;
        let mut peak = 0;
        for (end, (at, _)) in self.calls.iter().enumerate() {
            while at.since(self.calls[start].0) >= Duration::from_secs(1) {
                start += 1;
            }
            peak = peak.max(end - start + 1);
        }
        peak
    }
}

impl Fleet {
    /// Creates a fleet of `per_zone` VMs in each zone: a and b in region r1, c and d in r2, and so
    /// on. No node is started.
    pub fn new(zones: usize, per_zone: usize) -> Fleet {
        Fleet::with_regions(zones, per_zone, 2)
    }

    /// [`Fleet::new`] with `per_region` zones in each region.
    pub fn with_regions(zones: usize, per_zone: usize, per_region: usize) -> Fleet {
        let seed = seed();
        let mut fleet = Fleet {
            now: Time::from_millis(1_000_000),
            nodes: Vec::new(),
            platform: Platform::default(),
            filter: Box::new(|_, _, msg| Some(msg.clone())),
            latency: LATENCY,
            queue: BTreeMap::new(),
            by_address: IndexMap::new(),
            event_seq: 0,
            seed,
        };
        let letters = "abcdefghij";
        let mut places = Vec::new();
        for (number, letter) in letters.chars().take(zones).enumerate() {
            let region = name(format!("r{}", number / per_region + 1));
            let place = Place { region, zone: name(letter) };
            for vm in 0..per_zone {
                fleet.add(&place, number, vm, (zones * per_zone) as u32);
            }
            places.push(place);
        }
        for place in &places {
            fleet.publish_vm_list(place, |_| Some(VmState::Live));
        }
        let zones = serde_json::to_vec(&Zones { zones: places }).unwrap();
        fleet.platform.set("zones", zones);
        fleet
    }

    fn add(&mut self, place: &Place, zone: usize, vm: usize, fleet_vms: u32) {
        let address = SocketAddr::from(([127, 1, zone as u8, vm as u8], 1));
        let cfg = Config {
            vm: name(format!("{}-{vm}", place.zone)),
            place: place.clone(),
            address,
            seeds: Vec::new(),
            scope: None,
            platform_region: Some(name("r1")),
            fleet_vms,
            first_configuration: Duration::from_secs(5),
        };
        self.by_address.insert(address, self.nodes.len());
        self.nodes.push(SimNode {
            cfg,
            spread: None,
            paused: false,
            in_force: Vec::new(),
            events: Vec::new(),
            members: IndexMap::new(),
            view: None,
            confirmed: Vec::new(),
            clock_behind: Duration::ZERO,
            generation: 0,
            wake: None,
            queued_inputs: Vec::new(),
        });
    }

    /// Publishes the VM list of a zone with the given states; VMs without a state are omitted.
    pub fn publish_vm_list(&mut self, place: &Place, state: impl Fn(&Name) -> Option<VmState>) {
        let members = self.nodes.iter().filter(|sim| sim.cfg.place == *place);
        let member = |sim: &SimNode| {
            Some(Member {
                vm: sim.cfg.vm.clone(),
                region: place.region.clone(),
                zone: place.zone.clone(),
                peers: sim.cfg.address,
                admin: sim.cfg.address,
                state: state(&sim.cfg.vm)?,
            })
        };
        let list = VmList { vms: members.filter_map(member).collect() };
        let body = serde_json::to_vec(&list).unwrap();
        self.set(&format!("vms/{}", place.zone), body);
    }

    /// Writes a key and responds to the calls that block on it.
    pub fn set(&mut self, key: &str, value: impl Into<Bytes>) {
        self.platform.set(key, value);
        let (wake, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut self.platform.blocked_calls)
            .into_iter()
            .partition(|(_, _, call)| call.key.as_str() == key);
        self.platform.blocked_calls = wait;
        for (node, generation, call) in wake {
            self.reply(node, generation, &call);
        }
    }

    /// Publishes a body as the given version.
    pub fn publish(&mut self, version: u64, body: &str) {
        self.set("preset/ordinary", body.to_owned());
        self.set_in_force(&publication(version, body));
    }

    pub fn set_in_force(&mut self, in_force: &InForce) {
        self.set("in-force", serde_json::to_vec(in_force).unwrap());
    }

    pub fn index(&self, vm: &str) -> usize {
        self.nodes.iter().position(|sim| sim.cfg.vm.as_str() == vm).unwrap()
    }

    pub fn start(&mut self, node: usize) {
        let sim = &mut self.nodes[node];
        sim.generation += 1;
        sim.paused = false;
        sim.queued_inputs.clear();
        let seed = self.seed.wrapping_mul(1_000_003) ^ (node as u64) << 20 ^ sim.generation;
        sim.spread = Some(Spread::new(sim.cfg.clone(), seed));
        self.input(node, Input::Start);
    }

    pub fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].spread = None;
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Resumes a paused node: first its overdue timer, then the queued inputs.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        self.input(node, Input::Wake);
        for input in std::mem::take(&mut self.nodes[node].queued_inputs) {
            self.input(node, input);
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (node, action) = entry.remove();
            self.now = at;
            self.act(node, action);
        }
        self.now = end;
    }

    fn act(&mut self, node: usize, action: Action) {
        let sim = &self.nodes[node];
        match action {
            Action::Wake(generation) => {
                let due = sim.wake == Some(self.now) && sim.generation == generation;
                if due && !sim.paused {
                    self.input(node, Input::Wake);
                }
            }
            Action::Input(generation, input) => {
                let reply = matches!(input, Input::Source(_) | Input::PeerFailed { .. });
                if reply && sim.generation != generation {
                    return;
                }
                if sim.paused {
                    self.nodes[node].queued_inputs.push(input);
                } else {
                    self.input(node, input);
                }
            }
            Action::Timeout(generation, call) => {
                let waiting = &mut self.platform.blocked_calls;
                let before = waiting.len();
                waiting.retain(|(n, s, c)| (*n, *s, c.id) != (node, generation, call.id));
                if waiting.len() < before {
                    self.reply(node, generation, &call);
                }
            }
        }
    }

    /// Delivers an input to a node; ignored if it is not running.
    pub fn input(&mut self, node: usize, input: Input) {
        let sim = &mut self.nodes[node];
        let now = self.now - sim.clock_behind;
        let Some(spread) = &mut sim.spread else { return };
        let mut out = Vec::new();
        spread.handle(now, input, &mut out);
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        let now = self.now;
        let sim = &mut self.nodes[node];
        match output {
            Output::Send { to, msg, .. } => self.send(node, to, msg),
            Output::ReadSource(call) => self.read(node, call),
            Output::DropSource(id) => self.drop_call(node, id),
            Output::InForce(snapshot) => sim.in_force.push(snapshot),
            Output::Event(event) => sim.events.push(event),
            Output::Members(members) => sim.members = members,
            Output::View(view) => sim.view = Some(view),
            Output::Confirmed => {
                let version = self.version(node);
                self.nodes[node].confirmed.push(version);
            }
            Output::WakeAt(at) => {
                let at = at + sim.clock_behind;
                sim.wake = Some(at);
                let generation = sim.generation;
                self.push(at.max(now), node, Action::Wake(generation));
            }
            Output::Rejected(_) | Output::Note { .. } => {}
        }
    }

    fn push(&mut self, at: Time, node: usize, action: Action) {
        self.event_seq += 1;
        self.queue.insert((at, self.event_seq), (node, action));
    }

    fn send(&mut self, from: usize, to: SocketAddr, msg: PeerMsg) {
        let Some(node) = self.by_address.get(&to).copied() else { return };
        let sender = &self.nodes[from];
        let Some(msg) = (self.filter)(sender, &self.nodes[node], &msg) else { return };
        let generation = sender.generation;
        if self.nodes[node].spread.is_none() {
            let failed = Input::PeerFailed { to };
            return self.push(self.now + LATENCY, from, Action::Input(generation, failed));
        }
        let cfg = &sender.cfg;
        let peer = Peer { vm: cfg.vm.clone(), place: cfg.place.clone(), address: cfg.address };
        let input = Input::Peer { from: peer, msg };
        self.push(self.now + self.latency, node, Action::Input(0, input));
    }

    fn read(&mut self, node: usize, call: SourceCall) {
        let sim = &self.nodes[node];
        let generation = sim.generation;
        self.platform.calls.push((self.now, call.key.to_string()));
        if self.platform.silent {
            return;
        }
        if self.platform.down || self.platform.unreachable_from.contains(&sim.cfg.place.zone) {
            let result = Err(Code::SourceUnreachable);
            let reply = Input::Source(SourceReply { id: call.id, result });
            return self.push(self.now + LATENCY, node, Action::Input(generation, reply));
        }
        if self.platform.over_limit {
            let reply = SourceReply { id: call.id, result: Err(Code::SourceOverLimit) };
            return self.push(
                self.now + LATENCY,
                node,
                Action::Input(generation, Input::Source(reply)),
            );
        }
        let index = self.platform.read(&call).index;
        if call.index > 0 && index == call.index && !self.platform.answers_watches_at_once {
            self.push(self.now + call.wait, node, Action::Timeout(generation, call.clone()));
            self.platform.blocked_calls.push((node, generation, call));
        } else {
            self.reply(node, generation, &call);
        }
    }

    fn drop_call(&mut self, node: usize, id: CallId) {
        let generation = self.nodes[node].generation;
        self.platform.blocked_calls.retain(|(n, s, c)| (*n, *s, c.id) != (node, generation, id));
    }

    fn reply(&mut self, node: usize, generation: u64, call: &SourceCall) {
        let result = Ok(self.platform.read(call));
        let reply = Input::Source(SourceReply { id: call.id, result });
        self.push(self.now + LATENCY, node, Action::Input(generation, reply));
    }

    /// Responds to all blocked calls although no value has changed.
    pub fn platform_wake_all(&mut self) {
        for (node, generation, call) in std::mem::take(&mut self.platform.blocked_calls) {
            self.reply(node, generation, &call);
        }
    }

    /// Sets whether the platform leaves all open and new calls without a response.
    pub fn platform_silent(&mut self, silent: bool) {
        self.platform.silent = silent;
        self.platform.blocked_calls.clear();
    }

    /// Starts or ends an outage; an outage fails all open calls.
    pub fn platform_down(&mut self, down: bool) {
        self.platform.down = down;
        if down {
            for (node, generation, call) in std::mem::take(&mut self.platform.blocked_calls) {
                let result = Err(Code::SourceUnreachable);
                let reply = Input::Source(SourceReply { id: call.id, result });
                self.push(self.now + LATENCY, node, Action::Input(generation, reply));
            }
        }
    }

    /// The version in force on a running node; zero if there is none.
    pub fn version(&self, node: usize) -> u64 {
        let spread = self.nodes[node].spread.as_ref();
        spread.and_then(|spread| spread.in_force()).map_or(0, |in_force| in_force.version)
    }

    /// The versions in force on all running nodes.
    pub fn versions(&self) -> Vec<u64> {
        let running = (0..self.nodes.len()).filter(|node| self.nodes[*node].spread.is_some());
        running.map(|node| self.version(node)).collect()
    }

    /// Number of events of a kind recorded by a node.
    pub fn count(&self, node: usize, kind: EventKind, code: Option<Code>) -> usize {
        let code = code.map(Code::number);
        let fits = |event: &&Event| event.kind == kind && (code.is_none() || event.code == code);
        self.nodes[node].events.iter().filter(fits).count()
    }

    /// Panics if any VM went back to an older version, restarts included.
    pub fn assert_versions_never_decrease(&self) {
        for sim in &self.nodes {
            let versions: Vec<u64> = sim.in_force.iter().map(|s| s.version()).collect();
            assert!(
                versions.is_sorted(),
                "{} went back to an older version: {versions:?}",
                sim.cfg.vm
            );
        }
    }

    /// Drops all messages between the zones in `cut` and any other zone.
    pub fn partition_zones(&mut self, cut: &[&str]) {
        let cut: Vec<Name> = cut.iter().map(|zone| name(*zone)).collect();
        self.filter = Box::new(move |from, to, msg| {
            let (from, to) = (&from.cfg.place.zone, &to.cfg.place.zone);
            (from == to || cut.contains(from) == cut.contains(to) && !cut.contains(from))
                .then(|| msg.clone())
        });
    }

    pub fn heal(&mut self) {
        self.filter = Box::new(|_, _, msg| Some(msg.clone()));
        self.platform.unreachable_from.clear();
    }
}
