//! Simulation of a run: event queue and event dispatch.

use super::mesh::{Mesh, Site};
use super::path::{AttemptResult, Call, GatekeeperAttempt, RunKey};
use super::scenario::{Kind, Scenario};
use super::tally::Tally;
use super::target::Target;
use super::trouble::Conditions;
use crate::links::{self, Links, Profile};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::call::entry::Forward;
use sycamore_core::call::gatekeeper::TICK;
use sycamore_core::call::{CallKey, Entry, Gatekeeper, Policy, entry, gatekeeper};
use sycamore_core::config::Snapshot;
use sycamore_core::{Name, Result, Time};

/// Initial time of the clock, large enough that subtracting durations does not underflow.
const START_TIME: Time = Time(1_000_000_000_000_000);

/// Bandwidth between two regions, shared by all traffic.
const CROSS_REGION_BYTES_PER_S: u64 = 500_000_000;

/// Delay until all nodes apply a change of the target list.
const PROPAGATION_DELAY: Duration = Duration::from_millis(700);

/// Time for the last requests to complete after callers stop issuing requests.
const DRAIN_TIME: Duration = Duration::from_secs(10);

/// A simulation event.
pub(super) enum Event {
    /// The next request of a kind arrives.
    RequestArrival(usize),
    /// A caller retries a request.
    Retry(usize),
    /// A caller abandons a request.
    Abandon(usize),
    /// An attempt arrives at its gatekeeper.
    AttemptArrived(Box<Forward>, CallKey),
    /// The result of an attempt arrives at the entry node.
    AttemptEnded(AttemptResult),
    /// The deadline of a call expires at its entry node.
    DeadlineExpired(CallKey),
    /// The hedge delay of an attempt expires.
    HedgeDue(CallKey, CallKey),
    /// The queue timeout of a request expires at its gatekeeper.
    QueueTimeout(CallKey),
    /// The entry node has closed the connection of an attempt.
    ConnectionClosed(CallKey),
    /// A run has completed a work step.
    WorkStepDone(RunKey),
    /// The response of a run has been sent; the flag marks an error response.
    ResponseSent(RunKey, bool),
    /// A fault starts (true) or ends (false).
    FaultToggled(usize, bool),
    /// A slow period of a node's target starts (true) or ends (false).
    SlowPeriod(usize, bool),
    /// The nodes apply a new configuration version.
    ConfigurationApplied(Arc<Snapshot>),
    /// Periodic tick of the gatekeepers.
    Tick,
    /// Free slots are sampled.
    SlotsSampled,
    /// A second of the run ends.
    SecondEnded(usize),
}

/// A node and its target.
pub(super) struct Node {
    pub entry: Entry,
    pub gatekeeper: Gatekeeper,
    pub target: Target,
    pub up: bool,
    // Times until which the node's CPU and its link are busy.
    pub busy_until: Time,
    pub link_until: Time,
    /// Bandwidth of its VM in Mbit/s; 0 for unlimited.
    pub mbps: f64,
}

/// A caller's request, including all of its attempts.
pub(super) struct Request {
    pub kind: usize,
    pub zone: usize,
    pub issued_at: Time,
    pub retries_left: u32,
    pub refusals: u32,
    pub abusive: bool,
    pub finished: bool,
    pub call: Option<CallKey>,
}

/// A kind of request with resolved references.
pub(super) struct ResolvedKind {
    pub name: Name,
    pub path: String,
    /// Index of its service, ordered by name.
    pub service: usize,
    pub cfg: Kind,
    /// Nested calls: kind index, number of calls, and share of the runs that make them.
    pub calls: Vec<(usize, u32, f64)>,
}

/// State of a run.
pub struct World<'a> {
    pub(super) cfg: &'a Scenario,
    pub(super) mesh: Mesh,
    pub(super) links: Links<Event>,
    pub(super) rng: Pcg64Mcg,
    pub(super) nodes: Vec<Node>,
    pub(super) kinds: Vec<ResolvedKind>,
    pub(super) requests: Vec<Request>,
    pub(super) calls: IndexMap<CallKey, Call>,
    pub(super) attempts: IndexMap<CallKey, GatekeeperAttempt>,
    pub(super) next_key: u64,
    pub(super) conditions: Conditions,
    pub(super) tally: Tally,
    /// Nodes whose targets had a free slot at the last sample.
    pub(super) free_nodes: Vec<usize>,
    /// Latest configuration version applied by the nodes.
    pub(super) latest_snapshot: Arc<Snapshot>,
    policy: Policy,
    pub(super) warm_up_end: Time,
    arrivals_end: Time,
}

/// Simulates a scenario with a seed.
pub fn simulate(scenario: &Scenario, policy: &Policy, seed: u64) -> Result<Tally> {
    let mut world = World::new(scenario, policy, seed)?;
    world.run();
    Ok(world.tally)
}

impl<'a> World<'a> {
    fn new(cfg: &'a Scenario, policy: &Policy, seed: u64) -> Result<World<'a>> {
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        let profile = Profile {
            zone: ms(cfg.links.zone_ms),
            region: ms(cfg.links.region_ms),
            cross_region: ms(cfg.links.across_ms),
            cross_region_bytes_per_s: CROSS_REGION_BYTES_PER_S,
            jitter_percent: 0,
            loss_ppm: 0,
        };
        let mut mesh = Mesh::new(cfg);
        let snapshot = mesh.publish()?;
        let mut world = World {
            links: Links::new(profile, START_TIME, seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            kinds: kinds(cfg),
            requests: Vec::new(),
            calls: IndexMap::new(),
            attempts: IndexMap::new(),
            next_key: 0,
            conditions: Conditions::none(),
            tally: Tally::new(mesh.zones.len(), cfg.seconds.ceil() as usize),
            free_nodes: Vec::new(),
            policy: policy.clone(),
            warm_up_end: START_TIME + Duration::from_secs_f64(cfg.warm_up_s),
            arrivals_end: START_TIME + Duration::from_secs_f64(cfg.seconds),
            latest_snapshot: snapshot.clone(),
            mesh,
            cfg,
        };
        for node in 0..world.mesh.sites.len() {
            let new_node = world.new_node(node)?;
            world.nodes.push(new_node);
        }
        world.configure(&snapshot);
        world.schedule_initial_events();
        Ok(world)
    }

    fn new_node(&mut self, node: usize) -> Result<Node> {
        let site = &self.mesh.sites[node];
        let Some(model) = self.cfg.services.values().nth(site.service) else {
            return Err(sycamore_core::Fault::new(sycamore_core::Code::InputInvalid));
        };
        let target = Target::new(model, site.rank);
        let mbps = model.vm_mbps(site.rank, &self.cfg.links);
        let (entry, gatekeeper) = self.new_deciders(node, mbps)?;
        let (busy_until, link_until) = (Time::ZERO, Time::ZERO);
        Ok(Node { entry, gatekeeper, target, up: true, busy_until, link_until, mbps })
    }

    /// Creates the entry and gatekeeper of a newly started process.
    pub(super) fn new_deciders(&mut self, node: usize, mbps: f64) -> Result<(Entry, Gatekeeper)> {
        let place = self.mesh.sites[node].place.clone();
        let seed = self.rng.random();
        let entry = Entry::new(place, seed).with_policy(self.policy.clone());
        let kbps = (mbps > 0.0).then_some((mbps * 1e3) as u64);
        let now = self.links.now();
        let gatekeeper = Gatekeeper::new(super::mesh::vm_name(node)?, now, seed)
            .with_link(kbps)
            .with_policy(self.policy.clone());
        Ok((entry, gatekeeper))
    }

    fn schedule_initial_events(&mut self) {
        for kind in 0..self.kinds.len() {
            if self.kinds[kind].cfg.per_s > 0.0 {
                self.links.at(START_TIME, Event::RequestArrival(kind));
            }
        }
        for (index, trouble) in self.cfg.troubles.iter().enumerate() {
            let begin = START_TIME + Duration::from_secs_f64(trouble.at_s);
            let end = begin + Duration::from_secs_f64(trouble.for_s);
            self.links.at(begin, Event::FaultToggled(index, true));
            self.links.at(end, Event::FaultToggled(index, false));
        }
        for node in 0..self.nodes.len() {
            self.toggle_slow_period(node, false);
        }
        self.links.after(TICK, Event::Tick);
        self.links.after(super::path::waits::SAMPLE_INTERVAL, Event::SlotsSampled);
        self.links.after(Duration::from_secs(1), Event::SecondEnded(0));
    }

    fn toggle_slow_period(&mut self, node: usize, starts: bool) {
        let next = self.nodes[node].target.toggle_slow_period(starts, &mut self.rng);
        if let Some(span) = next {
            self.links.after(span, Event::SlowPeriod(node, !starts));
        }
    }

    fn run(&mut self) {
        let stop = self.arrivals_end + DRAIN_TIME;
        while self.links.next_at().is_some_and(|at| at <= stop) {
            let Some(event) = self.links.pop() else { break };
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::RequestArrival(kind) => self.issue_request(kind),
            Event::Retry(request) => self.submit(request),
            Event::Abandon(request) => self.abandon(request),
            Event::AttemptArrived(forward, attempt_key) => {
                self.receive_attempt(*forward, attempt_key)
            }
            Event::AttemptEnded(result) => self.receive_result(result),
            Event::DeadlineExpired(call) => self.expire_call(call),
            Event::HedgeDue(call, attempt_key) => self.hedge_due(call, attempt_key),
            Event::QueueTimeout(attempt_key) => self.queue_timeout(attempt_key),
            Event::ConnectionClosed(attempt_key) => self.connection_closed(attempt_key),
            Event::WorkStepDone(run) => self.work_step_done(run),
            Event::ResponseSent(run, failed) => self.response_sent(run, failed),
            Event::FaultToggled(index, starts) => self.toggle_fault(index, starts),
            Event::SlowPeriod(node, starts) => self.toggle_slow_period(node, starts),
            Event::ConfigurationApplied(snapshot) => self.configure(&snapshot),
            Event::Tick => self.tick(),
            Event::SlotsSampled => self.sample_slots(),
            Event::SecondEnded(second) => self.sample_second(second),
        }
    }

    fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].up {
                self.gatekeeper_input(node, gatekeeper::Input::Tick);
            }
        }
        if self.links.now() < self.arrivals_end + DRAIN_TIME {
            self.links.after(TICK, Event::Tick);
        }
    }

    fn sample_second(&mut self, second: usize) {
        let now = self.links.now();
        let queued =
            self.nodes.iter().map(|node| u64::from(node.gatekeeper.load(now).queued)).sum();
        if let Some(second) = self.tally.seconds.get_mut(second) {
            second.queued = queued;
        }
        if now < self.arrivals_end {
            self.links.after(Duration::from_secs(1), Event::SecondEnded(second + 1));
        }
    }

    /// Applies a configuration version on every running node.
    pub(super) fn configure(&mut self, snapshot: &Arc<Snapshot>) {
        self.latest_snapshot = snapshot.clone();
        for node in 0..self.nodes.len() {
            if self.nodes[node].up {
                self.configure_node(node, snapshot);
            }
        }
    }

    /// Applies a configuration version on one node.
    pub(super) fn configure_node(&mut self, node: usize, snapshot: &Arc<Snapshot>) {
        self.gatekeeper_input(node, gatekeeper::Input::Configure(snapshot.clone()));
        self.entry_input(node, entry::Input::Configure(snapshot.clone()));
    }

    /// Publishes a changed target list, which nodes apply after a delay.
    pub(super) fn publish_targets(&mut self) {
        if let Ok(snapshot) = self.mesh.publish() {
            self.links.after(PROPAGATION_DELAY, Event::ConfigurationApplied(snapshot));
        }
    }

    /// Whether callers still issue requests.
    pub(super) fn callers_active(&self) -> bool {
        self.links.now() < self.arrivals_end
    }

    /// Whether an event at this time is past the warm-up and included in the results.
    pub(super) fn is_measured(&self, issued_at: Time) -> bool {
        issued_at >= self.warm_up_end
    }

    /// Time since the start of the run, in seconds.
    pub(super) fn run_time(&self, at: Time) -> f64 {
        at.since(START_TIME).as_secs_f64()
    }

    /// Index of the second of the run that contains a time.
    pub(super) fn second_of(&self, at: Time) -> usize {
        at.since(START_TIME).as_secs() as usize
    }

    pub(super) fn next_call_key(&mut self) -> CallKey {
        self.next_key += 1;
        CallKey(self.next_key)
    }

    /// Location of a node in the link model.
    pub(super) fn link_site(&self, node: usize) -> links::Site {
        let site: &Site = &self.mesh.sites[node];
        let region =
            self.mesh.sites.iter().position(|other| other.place.region == site.place.region);
        links::Site { region: region.unwrap_or_default() as u16, zone: site.zone as u16 }
    }

    /// Counts bytes sent from one node to another.
    pub(super) fn count_bytes(&mut self, from: usize, to: usize, bytes: u64) {
        if !self.is_measured(self.links.now()) {
            return;
        }
        let (a, b) = (&self.mesh.sites[from], &self.mesh.sites[to]);
        self.tally.bytes[a.zone][b.zone] += bytes;
        if a.place.region != b.place.region {
            self.tally.crossed.1 += bytes;
        } else if a.zone != b.zone {
            self.tally.crossed.0 += bytes;
        }
    }
}

fn kinds(cfg: &Scenario) -> Vec<ResolvedKind> {
    let number = |name: &Name| cfg.kinds.keys().position(|known| known == name).unwrap_or_default();
    let info = |(name, kind): (&Name, &Kind)| ResolvedKind {
        name: name.clone(),
        path: super::mesh::request_path(name),
        service: cfg.services.keys().position(|of| *of == kind.service).unwrap_or_default(),
        calls: kind.calls.iter().map(|call| (number(&call.kind), call.times, call.share)).collect(),
        cfg: kind.clone(),
    };
    cfg.kinds.iter().map(info).collect()
}
