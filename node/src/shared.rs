//! What the threads of one node share.

use crate::calls::dialect::Dialect;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::output;
use crate::settings::Settings;
use parking_lot::{Mutex, RwLock};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use sycamore_core::call::Runs;
use sycamore_core::call::note::OutgoingNote;
use sycamore_core::config::{ServiceLimits, Snapshot};
use sycamore_core::event::{Event, EventKind, EventRing};
use sycamore_core::member::VmState;
use sycamore_core::status::Status;
use sycamore_core::{Fault, Name, Time};

/// State that the threads of a node share. Each part has its own lock, which is never held across
/// an await.
#[derive(Debug)]
pub struct Shared {
    /// Settings, as read at the start. What may change later is in [`Shared::current_settings`].
    pub settings: Settings,
    /// The clock port.
    pub clock: Clock,
    /// Names of headers towards callers and the target.
    pub dialect: Dialect,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Notes from the call path to other nodes; the spread sends them.
    pub notes: Queue<OutgoingNote>,
    /// Gatekeepers that the call path could not reach, or whose connection broke.
    pub lost_gates: Queue<SocketAddr>,
    current: RwLock<Arc<Settings>>,
    in_force: RwLock<Option<Arc<Snapshot>>>,
    members: RwLock<Arc<MemberView>>,
    events: Mutex<EventRing>,
    spread: Mutex<SpreadView>,
    draining: AtomicBool,
    drain_started: event_listener::Event,
    // Microseconds since the Unix epoch; the end of time before the planned stop.
    draining_since: AtomicU64,
    calls_open: AtomicU64,
    own_runs: Mutex<Runs>,
    // Each connection that calls come in on holds a clone.
    connections: Arc<()>,
    started: Time,
}

/// What one part of the node has for another. Bounded: what no longer fits is dropped, and whoever
/// waits for its effect asks again, or sees the same once more.
#[derive(Debug)]
pub struct Queue<T> {
    tx: async_channel::Sender<T>,
    rx: async_channel::Receiver<T>,
}

/// Notes that may wait at once.
const MAX_NOTES: usize = 4_096;

/// Lost gatekeepers that may wait at once.
const MAX_LOST_GATES: usize = 32;

impl<T> Queue<T> {
    fn new(most: usize) -> Queue<T> {
        let (tx, rx) = async_channel::bounded(most);
        Queue { tx, rx }
    }

    /// Puts an item on its way. Returns false if it was dropped.
    pub fn send(&self, item: T) -> bool {
        self.tx.try_send(item).is_ok()
    }

    /// The next item.
    pub async fn next(&self) -> Option<T> {
        self.rx.recv().await.ok()
    }
}

/// States of VMs that this node knows of; a VM not named counts as live.
pub type MemberView = indexmap::IndexMap<Name, VmState>;

/// What the spread of versions shows on `/status`.
#[derive(Clone, Debug)]
pub struct SpreadView {
    /// When the version in force came into force here.
    pub in_force_since: Option<Time>,
    /// The newest version heard of.
    pub newest_heard: u64,
    /// The last version refused, and why.
    pub last_refusal: Option<Fault>,
    /// What this node does for the spread.
    pub role: sycamore_core::status::Role,
    /// Where the last version came from.
    pub parent: Option<Name>,
    /// Whether the platform answered the last call.
    pub platform_answers: Option<bool>,
    /// Whether a peer has been asked about the version in force.
    pub confirmed: bool,
}

impl Shared {
    /// The shared state of a node that has just started.
    pub fn new(settings: Settings, clock: Clock) -> Arc<Shared> {
        Shared::with_dialect(settings, clock, Dialect::new())
    }

    /// The same for callers and a target with header names of their own.
    pub fn with_dialect(settings: Settings, clock: Clock, dialect: Dialect) -> Arc<Shared> {
        let started = clock.now();
        let events = Mutex::new(EventRing::new(settings.limits.event_ring));
        let shared = Arc::new(Shared {
            current: RwLock::new(Arc::new(settings.clone())),
            settings,
            clock,
            dialect,
            metrics: Metrics::new(),
            notes: Queue::new(MAX_NOTES),
            lost_gates: Queue::new(MAX_LOST_GATES),
            in_force: RwLock::new(None),
            members: RwLock::new(Arc::new(MemberView::new())),
            events,
            spread: Mutex::new(SpreadView {
                in_force_since: None,
                newest_heard: 0,
                last_refusal: None,
                role: sycamore_core::status::Role::Leaf,
                parent: None,
                platform_answers: None,
                confirmed: false,
            }),
            draining: AtomicBool::new(false),
            drain_started: event_listener::Event::new(),
            draining_since: AtomicU64::new(u64::MAX),
            calls_open: AtomicU64::new(0),
            own_runs: Mutex::new(Runs::default()),
            connections: Arc::new(()),
            started,
        });
        shared.record(Event::new(started, EventKind::Started));
        shared
    }

    /// The settings as last read. A running node follows `service`, `seeds`, `zones` and
    /// `fleet_retries`; the rest holds from its next start.
    pub fn current_settings(&self) -> Arc<Settings> {
        self.current.read().clone()
    }

    /// Takes settings up that were read again. Returns whether they differ.
    pub fn update_settings(&self, settings: Settings) -> bool {
        let mut current = self.current.write();
        let differ = **current != settings;
        *current = Arc::new(settings);
        differ
    }

    /// The configuration in force; none before the first.
    pub fn in_force(&self) -> Option<Arc<Snapshot>> {
        self.in_force.read().clone()
    }

    /// Puts a configuration into force: one pointer is swapped, so that each call sees one
    /// version whole. The decider has checked that it is newer.
    pub fn put_in_force(&self, snapshot: Arc<Snapshot>) {
        self.metrics.version_in_force.set(snapshot.version() as i64);
        *self.in_force.write() = Some(snapshot);
    }

    /// States of VMs that this node knows of.
    pub fn members(&self) -> Arc<MemberView> {
        self.members.read().clone()
    }

    /// Replaces the states of VMs.
    pub fn set_members(&self, members: MemberView) {
        *self.members.write() = Arc::new(members);
    }

    /// Records a change of state: counts it, keeps it for the time line and writes a log line.
    pub fn record(&self, event: Event) {
        self.metrics.count_event(&event);
        output::log_event(self.settings.vm.as_str(), &event);
        self.events.lock().push(event);
    }

    /// The events kept and how many were dropped.
    pub fn events(&self) -> (Vec<Event>, u64) {
        let ring = self.events.lock();
        (ring.iter().cloned().collect(), ring.dropped())
    }

    /// When the process started.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Changes what the spread shows on `/status`.
    pub fn update_spread(&self, change: impl FnOnce(&mut SpreadView)) {
        change(&mut self.spread.lock());
    }

    /// Whether the node takes no new work.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Starts the planned stop. Returns false if it had started before.
    pub fn start_draining(&self) -> bool {
        let first = !self.draining.swap(true, Ordering::AcqRel);
        if first {
            self.draining_since.store(self.clock.now().0, Ordering::Release);
            self.drain_started.notify(usize::MAX);
            self.record(Event::new(self.clock.now(), EventKind::Draining));
        }
        first
    }

    /// Waits until the planned stop starts.
    pub async fn drain_started(&self) {
        while !self.draining() {
            // Listens before it looks again, so that no start falls between the two.
            let started = self.drain_started.listen();
            if !self.draining() {
                started.await;
            }
        }
    }

    /// Whether callers' requests are taken: always before a planned stop, and for a while after
    /// its start, since callers learn of it only by and by.
    pub fn accepts_calls(&self) -> bool {
        self.within_drain_period(self.settings.limits.serve_while_leaving_ms)
    }

    /// Whether the local target still runs what other nodes forward.
    pub fn accepts_forwards(&self) -> bool {
        self.within_drain_period(self.settings.limits.run_while_leaving_ms)
    }

    fn within_drain_period(&self, ms: u64) -> bool {
        let since = Time(self.draining_since.load(Ordering::Acquire));
        !self.draining() || self.clock.now() < since + Duration::from_millis(ms)
    }

    /// Limits of the local target's service; none while they are not known.
    pub fn own_limits(&self) -> Option<ServiceLimits> {
        let snapshot = self.in_force()?;
        let by_name = || snapshot.service_named(self.settings.service.as_ref()?);
        let listed = snapshot.target_on(&self.settings.vm);
        let service = listed.map(|target| snapshot.target(target).service).or_else(by_name)?;
        Some(snapshot.service(service).limits.clone())
    }

    /// What the local target runs, as its gatekeeper said last.
    pub fn own_runs(&self) -> Runs {
        *self.own_runs.lock()
    }

    /// Notes what the local target runs.
    pub fn set_own_runs(&self, runs: Runs) {
        *self.own_runs.lock() = runs;
    }

    /// Calls being served now.
    pub fn calls_open(&self) -> u64 {
        self.calls_open.load(Ordering::Acquire)
    }

    /// Counts a call as open until the guard is dropped.
    pub fn track_call(self: &Arc<Shared>) -> CallGuard {
        self.calls_open.fetch_add(1, Ordering::AcqRel);
        CallGuard { shared: self.clone() }
    }

    /// Whether no connection is open that calls come in on.
    pub fn has_no_connections(&self) -> bool {
        Arc::strong_count(&self.connections) == 1
    }

    /// Counts a connection as open until the result is dropped.
    pub fn track_connection(&self) -> Arc<()> {
        self.connections.clone()
    }

    /// The body of `/status`.
    pub fn status(&self) -> Status {
        let in_force = self.in_force();
        let spread = self.spread.lock().clone();
        Status {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            now: self.clock.now(),
            started: self.started,
            in_force: in_force.as_ref().map(|snapshot| snapshot.in_force.clone()),
            in_force_since: spread.in_force_since,
            newest_heard: spread.newest_heard,
            last_refusal: spread.last_refusal.map(|fault| fault.to_string()),
            role: spread.role,
            parent: spread.parent,
            platform_answers: spread.platform_answers,
            confirmed: spread.confirmed,
            ready: in_force.is_some() && !self.draining(),
            draining: self.draining(),
            calls_open: self.calls_open(),
        }
    }
}

/// Counts one call as open while it lives.
#[derive(Debug)]
pub struct CallGuard {
    shared: Arc<Shared>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.calls_open.fetch_sub(1, Ordering::AcqRel);
    }
}
