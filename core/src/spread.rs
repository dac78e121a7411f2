//! Distribution of configuration versions and VM lists across the fleet.
//!
//! [`Spread`] is the sans-I/O state machine of one node. It receives [`Input`]s and returns
//! [`Output`]s, which an adapter or an in-memory simulation executes. It manages its own timers:
//! the adapter delivers [`Input::Wake`] at the time given by the latest [`Output::WakeAt`].
//!
//! - `topology`: which nodes read the platform, and who can be whose parent
//! - `budget`: rate limiting and scheduling of platform calls; `source`: open calls and watches;
//!   `reading`: processing of the replies
//! - `attach`: choosing and monitoring the parent; `children`: nodes attached to this one
//! - `pings`: outstanding pings and their answers
//! - `fetch`: fetching versions from peers; `serve`: handling of peer messages
//! - `join`: queries to peers after a start or a clock gap
//! - `members`: known zones, VMs and VM states; `state_reports`: propagation of VM state reports
//! - `notes`: delivery of notes between call paths

pub mod limits;
pub mod message;
pub mod port;
pub mod store;
pub mod topology;

mod attach;
mod backoff;
mod budget;
mod children;
mod fetch;
mod join;
mod members;
mod notes;
mod pings;
mod reading;
mod serve;
mod source;
mod state_reports;

pub use message::{Delta, PeerMsg, StateReport, Summary};
pub use port::{Config, Input, Output, Peer, SourceCall, SourceReply, SourceValue, View};

use crate::config::{InForce, Scope, Snapshot, VersionFloor};
use crate::event::{Event, EventKind};
use crate::member::VmState;
use crate::place::Link;
use crate::status::Role;
use crate::{Fault, Name, Time};
use indexmap::IndexMap;
use limits::CLOCK_GAP;
use members::Members;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use store::Store;
use topology::Topology;

/// A fully validated version and the peer it was received from.
#[derive(Debug)]
struct VerifiedVersion {
    store: Store,
    snapshot: Arc<Snapshot>,
    /// `None` if the version was read from the platform.
    from: Option<Peer>,
}

/// State machine that distributes versions on one node.
#[derive(Debug)]
pub struct Spread {
    cfg: Config,
    scope: Scope,
    rng: Pcg64Mcg,
    own_report: StateReport,
    started: bool,
    wake_at: Option<Time>,
    members: Members,
    topology: Topology,
    topology_at: Time,
    not_live: IndexMap<Name, VmState>,
    floor: VersionFloor,
    in_force: Option<Store>,
    /// Validated, but not put into force until the join has finished.
    staged: Option<VerifiedVersion>,
    snapshot: Option<Arc<Snapshot>>,
    /// Earliest time to retry fetching resources missing from the current scope.
    scope_retry_at: Time,
    /// Peers that answered join pings. They serve as parent candidates until the node has a VM
    /// list, for example if the platform is down at startup.
    join_contacts: Vec<Peer>,
    removed_targets: notes::RemovedTargets,
    /// Zones whose VM lists are read because a removed target there may have failed.
    extra_zones: Vec<crate::place::Place>,
    newest_heard: u64,
    version_origin: Option<Name>,
    confirmed: bool,
    join: Option<join::Join>,
    attach: attach::Attach,
    pending_pings: pings::PendingPings,
    children: children::Children,
    fetch: Option<fetch::Fetch>,
    source: source::Source,
    pending_reports: state_reports::PendingReports,
    /// Earliest time to ping another unknown sender; see `contact_sender`.
    contact_at: Time,
    last_view: Option<View>,
}

impl Spread {
    /// Creates a node that has not started. `seed` initializes its random number generator.
    pub fn new(cfg: Config, seed: u64) -> Spread {
        let scope = Scope::new(cfg.scope.as_deref());
        let own_report = StateReport { vm: cfg.vm.clone(), incarnation: 0, state: VmState::Live };
        Spread {
            cfg,
            scope,
            rng: Pcg64Mcg::seed_from_u64(seed),
            own_report,
            started: false,
            wake_at: None,
            members: Members::default(),
            topology: Topology::unknown(),
            topology_at: Time::ZERO,
            not_live: IndexMap::new(),
            floor: VersionFloor::default(),
            in_force: None,
            staged: None,
            snapshot: None,
            scope_retry_at: Time::ZERO,
            join_contacts: Vec::new(),
            removed_targets: notes::RemovedTargets::default(),
            extra_zones: Vec::new(),
            newest_heard: 0,
            version_origin: None,
            confirmed: false,
            join: None,
            attach: attach::Attach::default(),
            pending_pings: pings::PendingPings::default(),
            children: children::Children::default(),
            fetch: None,
            source: source::Source::default(),
            pending_reports: state_reports::PendingReports::default(),
            contact_at: Time::ZERO,
            last_view: None,
        }
    }

    /// Processes one input at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if self.started {
            self.check_clock_gap(now, out);
        }
        match input {
            Input::Start => self.start(now),
            Input::Wake => {}
            Input::Source(reply) => self.handle_reply(now, reply, out),
            Input::Peer { from, msg } => self.handle_message(now, &from, msg, out),
            Input::PeerFailed { to } => self.peer_failed(now, to, out),
            Input::Note(note) => self.send_note(note, out),
            Input::Stop => self.stop(now, out),
        }
        if self.started {
            self.tick(now, out);
        }
    }

    /// The version in force; `None` before the first one.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref().map(|store| &store.summary().in_force)
    }

    /// The store of the version in force.
    pub fn store(&self) -> Option<&Store> {
        self.in_force.as_ref()
    }

    /// This node's position in the distribution topology.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// The current parent, which sends version notices.
    pub fn parent(&self) -> Option<&Peer> {
        self.attach.parent()
    }

    fn start(&mut self, now: Time) {
        self.started = true;
        self.own_report.incarnation = now.0;
        self.start_join(now);
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.own_report.state != VmState::Live {
            return;
        }
        self.own_report.state = VmState::Leaving;
        self.announce(now, out);
        self.topology_at = Time::ZERO;
    }

    /// After a pause of the process, local state may be stale. Drops all children and rejoins
    /// before the node acts as a relay again.
    fn check_clock_gap(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(expected) = self.wake_at else { return };
        if now.since(expected) < CLOCK_GAP {
            return;
        }
        out.push(Output::Event(
            Event::new(now, EventKind::ClockGap).with_code(crate::Code::ClockGap),
        ));
        self.children.clear();
        self.pending_pings.clear();
        self.attach.forget(now);
        self.confirmed = false;
        self.start_join(now);
    }

    /// Runs all due timers and schedules the next wake.
    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.refresh_topology(now, out);
        self.expire_pings(now, out);
        self.tick_join(now, out);
        self.tick_attach(now, out);
        self.tick_fetch(now, out);
        self.tick_source(now, out);
        self.tick_state_reports(now, out);
        self.emit_view(out);
        let wake = self.next_wake(now);
        self.wake_at = Some(wake);
        out.push(Output::WakeAt(wake));
    }

    fn next_wake(&self, now: Time) -> Time {
        let times = [
            Some(self.topology_at),
            self.pending_pings.next_deadline(),
            self.join_wake(now),
            self.attach_wake(now),
            self.fetch.as_ref().map(|fetch| fetch.deadline),
            self.source_wake(),
            self.pending_reports.next_send(),
        ];
        let first = times.into_iter().flatten().min().unwrap_or(now);
        first.max(now + limits::MIN_WAKE_DELAY)
    }

    /// Recomputes the topology when it is due or has been invalidated.
    fn refresh_topology(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.topology_at {
            return;
        }
        self.topology_at = now + limits::TOPOLOGY_REFRESH_INTERVAL;
        // The VM list lags behind. Without its own report, a node listed as not live would not rank
        // itself, and the first ranks of its zone could stay vacant.
        self.members.apply_report(now, &self.own_report, true);
        let in_service = self.own_report.state == VmState::Live;
        let mut topology = Topology::new(now, &self.cfg, &self.members, in_service);
        if self.members.list(&self.cfg.place.zone).is_none() {
            topology.parent_candidates = self.join_contacts.clone();
        }
        if topology.parent_candidates != self.topology.parent_candidates {
            self.attach.candidates_changed(now);
        }
        self.topology = topology;
        let mut not_live = self.members.not_live(now);
        // The call path tracks the state of the local node itself.
        not_live.shift_remove(&self.cfg.vm);
        if not_live != self.not_live {
            self.not_live = not_live.clone();
            out.push(Output::Members(not_live));
        }
    }

    fn invalidate_topology(&mut self) {
        self.topology_at = Time::ZERO;
    }

    fn emit_view(&mut self, out: &mut Vec<Output>) {
        let view = View {
            newest_heard: self.newest_heard,
            role: self.topology.role,
            parent: self.version_origin.clone(),
            platform_reachable: self.source.reachable,
            confirmed: self.confirmed,
        };
        if self.last_view.as_ref() != Some(&view) {
            self.last_view = Some(view.clone());
            out.push(Output::View(view));
        }
    }

    /// The scope this node should hold. Relays hold all resources so that they can serve any child;
    /// so does a leaf that has children or watches the platform.
    fn wanted_scope(&self) -> Scope {
        let acts_as_relay = !self.children.is_empty() || self.source.is_watching();
        match self.topology.role {
            Role::Leaf if acts_as_relay => Scope::All,
            Role::Leaf => self.scope.clone(),
            Role::Relay | Role::ZoneRelay | Role::RegionReader => Scope::All,
        }
    }

    fn report_rejected(
        &self,
        now: Time,
        version: u64,
        from: Option<&Peer>,
        fault: Fault,
        out: &mut Vec<Output>,
    ) {
        let mut event =
            Event::new(now, EventKind::VersionRefused).with_version(version).with_code(fault.code);
        if let Some(from) = from {
            event = event.with_peer(&from.vm);
        }
        out.push(Output::Event(event));
        out.push(Output::Rejected(fault));
    }

    fn observe_version(
        &mut self,
        now: Time,
        version: u64,
        from: Option<&Peer>,
        out: &mut Vec<Output>,
    ) {
        if version <= self.newest_heard {
            return;
        }
        self.newest_heard = version;
        let mut event = Event::new(now, EventKind::VersionHeard).with_version(version);
        if let Some(from) = from {
            event = event.with_peer(&from.vm);
        }
        out.push(Output::Event(event));
    }

    fn send(&self, to: &Peer, msg: PeerMsg, out: &mut Vec<Output>) {
        let link = self.cfg.place.link_to(&to.place);
        out.push(Output::Send { to: to.address, link, msg });
    }

    /// Sends to an address whose location is unknown. Metrics count it as a cross-region link.
    fn send_to_address(&self, to: SocketAddr, msg: PeerMsg, out: &mut Vec<Output>) {
        out.push(Output::Send { to, link: Link::CrossRegion, msg });
    }
}
