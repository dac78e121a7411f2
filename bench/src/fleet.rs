//! A fleet in memory: the spread's decisions of many nodes in one thread, over in-memory links.
//!
//! The fleet does what a node's adapters do: it carries messages, makes calls to the platform and
//! wakes deciders. It decides nothing.

pub mod calls;
pub mod fault;
pub mod measure;
pub mod memory;
mod operator;
pub mod platform;
pub mod publication;
mod record;
pub mod run;
pub mod setup;
pub mod size;
pub mod slopes;
pub mod slot;
mod source;
pub mod table;
pub mod workload;

pub use setup::Setup;

use crate::history::Record;
use crate::links::{Links, PLATFORM_ZONE, Site};
use calls::{CallLoad, Step};
use fault::{Action, PublicationKind};
use indexmap::IndexMap;
use measure::Convergence;
use platform::{Answer, Platform};
use slot::{Load, NodeInput, Slot};
use source::SourceCallKey;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_core::config::{InForce, Preset};
use sycamore_core::event::Event;
use sycamore_core::member::VmState;
use sycamore_core::node;
use sycamore_core::spread::{Input, Output, PeerMsg, SourceCall};
use sycamore_core::status::Role;
use sycamore_core::{Code, Time};
use workload::{Size, Workload};

/// Where the platform stands.
pub const PLATFORM: Site = Site { region: 0, zone: PLATFORM_ZONE };

/// When a fleet's clock starts: late enough that differences of times don't reach zero.
pub const START: Time = Time(1_000_000_000_000_000);

/// How long a connection to a host that does not answer is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

enum FleetEvent {
    Wake(usize, Time),
    Resume(usize),
    PeerMessage { from: usize, to: usize, incarnation: u32, msg: PeerMsg },
    PeerRefused { node: usize, incarnation: u32, to: SocketAddr },
    SourceRequest(SourceCallKey, SourceCall),
    SourceResponse(SourceCallKey, Answer),
    SourceTimeout(SourceCallKey),
    CheckWatches,
    Action(Action),
    CallStep(Step),
}

/// A fleet and its platform.
pub struct Fleet {
    setup: Setup,
    links: Links<FleetEvent>,
    platform: Platform<SourceCallKey>,
    slots: Vec<Slot>,
    workload: Workload,
    convergence: Convergence,
    history: Vec<Record>,
    events: Vec<(usize, Event)>,
    published_presets: IndexMap<InForce, Preset>,
    last_cut: Vec<Time>,
    listed_states: Vec<Option<VmState>>,
    last_valid_version: u64,
    min_update_bytes: u64,
    sizes: size::SizeCache,
    cross_region_bytes: IndexMap<&'static str, u64>,
    call_load: Option<CallLoad>,
    outputs: Vec<node::Output>,
}

impl Fleet {
    /// A fleet whose nodes have not started, with version 1 published.
    pub fn new(setup: Setup) -> Fleet {
        let size = setup.size;
        let slots = (0..size.nodes).map(|node| Slot::new(&setup, node)).collect();
        let mut fleet = Fleet {
            links: Links::new(setup.profile, START, setup.seed),
            platform: Platform::new(),
            slots,
            workload: Workload::new(setup.preset_size, setup.seed),
            convergence: Convergence::new(size.nodes),
            history: Vec::new(),
            events: Vec::new(),
            published_presets: IndexMap::new(),
            last_cut: vec![Time::ZERO; size.zones],
            listed_states: vec![Some(VmState::Live); size.nodes],
            last_valid_version: 0,
            min_update_bytes: 0,
            sizes: size::SizeCache::default(),
            cross_region_bytes: IndexMap::new(),
            call_load: None,
            outputs: Vec::new(),
            setup,
        };
        fleet.publish_places();
        fleet.publish(PublicationKind::First);
        fleet
    }

    /// The size of the fleet.
    pub fn size(&self) -> Size {
        self.setup.size
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.links.now()
    }

    /// What went over the links so far.
    pub fn traffic(&self) -> crate::links::Traffic {
        self.links.traffic()
    }

    /// The platform's counters.
    pub fn calls(&self) -> platform::CallCounts {
        self.platform.calls()
    }

    /// The measure of convergence.
    pub fn convergence(&mut self) -> &mut Convergence {
        &mut self.convergence
    }

    /// Starts the count of the platform's busiest second anew.
    pub fn take_peak(&mut self) -> u64 {
        self.platform.take_peak()
    }

    /// Bytes of the smallest messages that could have carried all changes so far.
    pub fn min_update_bytes(&self) -> u64 {
        self.min_update_bytes
    }

    /// The newest version that nodes must accept.
    pub fn last_valid_version(&self) -> u64 {
        self.last_valid_version
    }

    /// The record so far.
    pub fn history(&self) -> &[Record] {
        &self.history
    }

    /// What the nodes recorded for the time line, with their numbers.
    pub fn events(&self) -> &[(usize, Event)] {
        &self.events
    }

    /// Plans an action at a time from now.
    pub fn schedule(&mut self, after: Duration, action: Action) {
        self.links.after(after, FleetEvent::Action(action));
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Time) {
        while self.links.next_at().is_some_and(|at| at <= end) {
            let Some(event) = self.links.pop() else { break };
            self.handle_event(event);
        }
    }

    /// Runs for a span from now. An event at its end keeps the clock moving.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now() + span;
        self.links.at(end, FleetEvent::CheckWatches);
        self.run_until(end);
    }

    /// Runs until every running node holds at least `version`, at most for `span`. Returns how
    /// long it took.
    pub fn run_until_converged(&mut self, version: u64, span: Duration) -> Option<Duration> {
        let since = self.now();
        let end = since + span;
        self.links.at(end, FleetEvent::CheckWatches);
        while self.behind(version) > 0 {
            if self.links.next_at().is_none_or(|at| at > end) {
                return None;
            }
            // Looking at every node after each event would cost more than the run.
            for _ in 0..self.slots.len().max(16) / 16 {
                let Some(event) = self.links.pop() else { break };
                self.handle_event(event);
            }
        }
        Some(self.last_in_force_at().since(since))
    }

    /// Running nodes that hold less than `version`.
    pub fn behind(&self, version: u64) -> usize {
        self.slots.iter().filter(|slot| slot.is_running() && slot.version() < version).count()
    }

    /// The newest version that any running node holds.
    pub fn newest_version_in_force(&self) -> u64 {
        self.slots.iter().filter(|slot| slot.is_running()).map(Slot::version).max().unwrap_or(0)
    }

    /// Numbers of the nodes that the spread shows in a role above leaf, for faults that aim at
    /// relays.
    pub fn relays(&self, region: Option<u16>) -> Vec<usize> {
        let wanted = |node: &usize| region.is_none_or(|r| self.site(*node).region == r);
        (0..self.slots.len())
            .filter(wanted)
            .filter(|node| self.slots[*node].role() != Role::Leaf)
            .collect()
    }

    /// Records the platform's busiest second.
    pub fn record_platform_peak(&mut self) {
        let peak = self.platform.calls().peak;
        let limit = platform::CALLS_PER_S;
        self.history.push(Record::PlatformPeak { at: self.now(), peak, limit });
    }

    /// What each node has carried since the last reset, with its role.
    pub fn loads(&self) -> Vec<(Role, Load)> {
        self.slots.iter().map(|slot| (slot.role(), slot.load)).collect()
    }

    /// Starts the counters of every node anew.
    pub fn reset_loads(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.load = Load::default());
        self.cross_region_bytes.clear();
    }

    /// Bytes between regions since the last reset, by kind of message.
    pub fn cross_region_bytes(&self) -> &IndexMap<&'static str, u64> {
        &self.cross_region_bytes
    }

    fn count_cross_region(&mut self, sites: (Site, Site), kind: &'static str, size: u64) {
        if sites.0.region != sites.1.region {
            *self.cross_region_bytes.entry(kind).or_default() += size;
        }
    }

    fn count_traffic(&mut self, node: usize, sent: u64, received: u64) {
        let load = &mut self.slots[node].load;
        load.sent += sent;
        load.received += received;
        load.messages += 1;
    }

    fn last_in_force_at(&self) -> Time {
        self.slots.iter().filter_map(|slot| slot.in_force_since).max().unwrap_or(START)
    }

    fn site(&self, node: usize) -> Site {
        self.setup.size.site(node)
    }

    fn handle_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Wake(node, at) => self.wake(node, at),
            FleetEvent::Resume(node) => self.resume(node),
            FleetEvent::PeerMessage { from, to, incarnation, msg } => {
                self.receive(from, to, incarnation, msg)
            }
            FleetEvent::PeerRefused { node, incarnation, to } => {
                if self.slots[node].incarnation == incarnation {
                    self.handle_spread_input(node, Input::PeerFailed { to });
                }
            }
            FleetEvent::SourceRequest(caller, call) => self.handle_source_request(caller, call),
            FleetEvent::SourceResponse(caller, answer) => {
                self.handle_source_response(caller, answer)
            }
            FleetEvent::SourceTimeout(caller) => {
                self.complete_source_call(caller, Err(Code::SourceUnreachable))
            }
            FleetEvent::CheckWatches => self.answer_watches(),
            FleetEvent::Action(action) => self.perform(action),
            FleetEvent::CallStep(step) => self.step(step),
        }
    }

    fn wake(&mut self, node: usize, at: Time) {
        let slot = &mut self.slots[node];
        if slot.queued_wake != Some(at) {
            return;
        }
        slot.queued_wake = None;
        let Some(wanted) = slot.wake else { return };
        if wanted > at {
            slot.queued_wake = Some(wanted);
            self.links.at(wanted, FleetEvent::Wake(node, wanted));
            return;
        }
        slot.wake = None;
        self.handle_spread_input(node, Input::Wake);
    }

    fn resume(&mut self, node: usize) {
        let backlog = self.slots[node].resume(self.links.now());
        for input in backlog {
            self.handle_input(node, input);
        }
    }

    fn receive(&mut self, from: usize, to: usize, incarnation: u32, msg: PeerMsg) {
        if self.slots[to].is_running() {
            let question = matches!(msg, PeerMsg::Ping(_) | PeerMsg::Pull(_));
            if !(question && self.slots[to].ignores_requests) {
                let from = self.slots[from].peer.clone();
                self.handle_spread_input(to, Input::Peer { from, msg });
            }
            return;
        }
        // The host answers that nothing listens on the port.
        let to = self.slots[to].peer.address;
        let sites = (self.site(slot::node_at(to)), self.site(from));
        self.links.send(
            sites.0,
            sites.1,
            0,
            FleetEvent::PeerRefused { node: from, incarnation, to },
        );
    }

    fn handle_spread_input(&mut self, node: usize, input: Input) {
        self.handle_input(node, NodeInput::Spread(input));
    }

    /// Hands an input to a node's deciders and carries out what they want done.
    fn handle_input(&mut self, node: usize, input: NodeInput) {
        let now = self.links.now();
        let mut outputs = std::mem::take(&mut self.outputs);
        self.slots[node].handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                node::Output::Spread(output) => self.apply_spread_output(node, output),
                node::Output::Entry(output) => self.apply_entry_output(node, output),
                node::Output::Gatekeeper(output) => self.apply_gatekeeper_output(node, output),
                node::Output::Event(event) => self.record_event(node, event),
            }
        }
        self.outputs = outputs;
    }

    fn record_event(&mut self, node: usize, event: Event) {
        if self.setup.record_history {
            self.events.push((node, event));
        }
    }

    fn apply_spread_output(&mut self, node: usize, output: Output) {
        match output {
            Output::ReadSource(call) => self.send_source_request(node, call),
            Output::DropSource(id) => self.cancel_source_call(node, id),
            Output::Send { to, msg, .. } => self.send(node, to, msg),
            Output::InForce(snapshot) => self.handle_in_force(node, &snapshot),
            Output::WakeAt(at) => self.wake_at(node, at),
            Output::View(view) => self.slots[node].view = Some(view),
            Output::Event(event) => self.record_event(node, event),
            Output::Confirmed | Output::Note { .. } | Output::Members(_) | Output::Refused(_) => {}
        }
    }

    fn wake_at(&mut self, node: usize, at: Time) {
        let at = at.max(self.links.now());
        let slot = &mut self.slots[node];
        slot.wake = Some(at);
        if slot.queued_wake.is_none_or(|queued| queued > at) {
            slot.queued_wake = Some(at);
            self.links.at(at, FleetEvent::Wake(node, at));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, msg: PeerMsg) {
        let to_node = slot::node_at(to);
        let incarnation = self.slots[from].incarnation;
        if to_node >= self.slots.len() {
            self.links
                .after(CONNECT_TIMEOUT, FleetEvent::PeerRefused { node: from, incarnation, to });
            return;
        }
        let msg = if self.slots[from].corrupts_messages { fault::corrupt(msg) } else { msg };
        let sites = (self.site(from), self.site(to_node));
        let size = self.sizes.wire_size(&msg);
        self.count_cross_region(sites, size::kind(&msg), size);
        let arrive = FleetEvent::PeerMessage { from, to: to_node, incarnation, msg };
        self.count_traffic(from, size, 0);
        self.count_traffic(to_node, 0, size);
        self.links.send(sites.0, sites.1, size, arrive);
    }
}
