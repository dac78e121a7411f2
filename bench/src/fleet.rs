//! In-memory simulation of a fleet: runs the state machines of many nodes in one thread and
//! exchanges their messages over simulated links in simulated time.
//!
//! [`Fleet`] takes the part of a node's I/O adapters: it delivers messages, calls the platform and
//! fires timers. It makes no decisions about version distribution itself.

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

/// Location of the platform.
pub const PLATFORM: Site = Site { region: 0, zone: PLATFORM_ZONE };

/// Initial clock value, large enough that subtracting a timeout never saturates at zero.
pub const START: Time = Time(1_000_000_000_000_000);

/// Timeout for connecting to a host that does not answer.
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

/// The simulated nodes, the links between them and the platform.
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
    /// Creates a fleet with version 1 published and all processes stopped.
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

    pub fn size(&self) -> Size {
        self.setup.size
    }

    pub fn now(&self) -> Time {
        self.links.now()
    }

    /// Traffic counters of all links since the start.
    pub fn traffic(&self) -> crate::links::Traffic {
        self.links.traffic()
    }

    /// Call counters of the platform.
    pub fn calls(&self) -> platform::CallCounts {
        self.platform.calls()
    }

    /// Convergence measurements of the run.
    pub fn convergence(&mut self) -> &mut Convergence {
        &mut self.convergence
    }

    /// Returns the peak number of platform calls in one second and resets it.
    pub fn take_peak(&mut self) -> u64 {
        self.platform.take_peak()
    }

    /// Total size of the smallest messages that could carry all changes published so far.
    pub fn min_update_bytes(&self) -> u64 {
        self.min_update_bytes
    }

    /// Newest published version that passes validation.
    pub fn last_valid_version(&self) -> u64 {
        self.last_valid_version
    }

    /// Records so far, in the order of time.
    pub fn history(&self) -> &[Record] {
        &self.history
    }

    /// Events emitted by the nodes, with the node numbers.
    pub fn events(&self) -> &[(usize, Event)] {
        &self.events
    }

    /// Schedules an action `after` the current time.
    pub fn schedule(&mut self, after: Duration, action: Action) {
        self.links.after(after, FleetEvent::Action(action));
    }

    /// Processes all events up to and including `end`.
    pub fn run_until(&mut self, end: Time) {
        while self.links.next_at().is_some_and(|at| at <= end) {
            let Some(event) = self.links.pop() else { break };
            self.handle_event(event);
        }
    }

    /// Processes all events within `span` from now. Queues an event at the end so that the clock
    /// advances that far.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now() + span;
        self.links.at(end, FleetEvent::CheckWatches);
        self.run_until(end);
    }

    /// Runs until every running node holds at least `version`, but no longer than `span`. Returns
    /// the time until the last node had it in force, or `None` on timeout.
    pub fn run_until_converged(&mut self, version: u64, span: Duration) -> Option<Duration> {
        let since = self.now();
        let end = since + span;
        self.links.at(end, FleetEvent::CheckWatches);
        while self.behind(version) > 0 {
            if self.links.next_at().is_none_or(|at| at > end) {
                return None;
            }
            // Checks only every few events, since the check visits all nodes.
            for _ in 0..self.slots.len().max(16) / 16 {
                let Some(event) = self.links.pop() else { break };
                self.handle_event(event);
            }
        }
        Some(self.last_in_force_at().since(since))
    }

    /// Number of running nodes that hold a version older than `version`.
    pub fn behind(&self, version: u64) -> usize {
        self.slots.iter().filter(|slot| slot.is_running() && slot.version() < version).count()
    }

    /// Newest version held by any running node.
    pub fn newest_version_in_force(&self) -> u64 {
        self.slots.iter().filter(|slot| slot.is_running()).map(Slot::version).max().unwrap_or(0)
    }

    /// Numbers of the nodes whose role is not leaf, optionally of one region only.
    pub fn relays(&self, region: Option<u16>) -> Vec<usize> {
        let wanted = |node: &usize| region.is_none_or(|r| self.site(*node).region == r);
        (0..self.slots.len())
            .filter(wanted)
            .filter(|node| self.slots[*node].role() != Role::Leaf)
            .collect()
    }

    pub fn record_platform_peak(&mut self) {
        let peak = self.platform.calls().peak;
        let limit = platform::CALLS_PER_S;
        self.history.push(Record::PlatformPeak { at: self.now(), peak, limit });
    }

    /// Role and load of each node since the last reset.
    pub fn loads(&self) -> Vec<(Role, Load)> {
        self.slots.iter().map(|slot| (slot.role(), slot.load)).collect()
    }

    /// Resets the load counters of every node.
    pub fn reset_loads(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.load = Load::default());
        self.cross_region_bytes.clear();
    }

    /// Bytes sent between regions since the last reset, by message kind.
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
            let is_request = matches!(msg, PeerMsg::Ping(_) | PeerMsg::Pull(_));
            if !(is_request && self.slots[to].ignores_requests) {
                let from = self.slots[from].peer.clone();
                self.handle_spread_input(to, Input::Peer { from, msg });
            }
            return;
        }
        // The process is down, so its host refuses the connection.
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

    /// Passes an input to the node's state machines and executes the resulting outputs.
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
            Output::Confirmed | Output::Note { .. } | Output::Members(_) | Output::Rejected(_) => {}
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
        let delivery = FleetEvent::PeerMessage { from, to: to_node, incarnation, msg };
        self.count_traffic(from, size, 0);
        self.count_traffic(to_node, 0, size);
        self.links.send(sites.0, sites.1, size, delivery);
    }
}
