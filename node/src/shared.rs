//! State shared between the threads of a node.

use crate::calls::conn_state::ConnectionState;
use crate::calls::dialect::Dialect;
use crate::calls::link_use::LinkUse;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::output;
use crate::settings::Settings;
use futures_lite::future;
use parking_lot::{Mutex, RwLock};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use sycamore_core::call::note::OutgoingNote;
use sycamore_core::call::{Runs, StopPlan};
use sycamore_core::config::{ServiceLimits, Snapshot};
use sycamore_core::event::{Event, EventKind, EventRing};
use sycamore_core::member::VmState;
use sycamore_core::status::Status;
use sycamore_core::{Code, Fault, Name, Time};

/// State shared between the threads of a node. Each part has its own lock, which is never held
/// across an await point.
#[derive(Debug)]
pub struct Shared {
    /// Settings at startup. For settings that can be reloaded, see [`Shared::current_settings`].
    pub settings: Settings,
    /// Time source.
    pub clock: Clock,
    /// Header names used towards callers and the target.
    pub dialect: Dialect,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// What this node writes to other VMs.
    pub link_use: Arc<LinkUse>,
    /// Notes from the call path to other nodes, sent with the peer messages.
    pub notes: Queue<OutgoingNote>,
    /// Gatekeepers that the call path failed to reach or lost the connection to.
    pub lost_gates: Queue<SocketAddr>,
    current: RwLock<Arc<Settings>>,
    in_force: RwLock<Option<Arc<Snapshot>>>,
    members: RwLock<Arc<VmStates>>,
    events: Mutex<EventRing>,
    spread: Mutex<SpreadView>,
    draining: AtomicBool,
    drain_started: event_listener::Event,
    // In microseconds since the Unix epoch; `u64::MAX` before the shutdown starts.
    draining_since: AtomicU64,
    stop_plan: RwLock<Option<StopPlan>>,
    stop_planned: event_listener::Event,
    exiting: AtomicBool,
    exit_started: event_listener::Event,
    calls_open: AtomicU64,
    // Calls whose outcome is unknown because this node stops.
    calls_cut: AtomicU64,
    own_runs: Mutex<Runs>,
    target_busy: AtomicBool,
    // Each inbound call connection holds a clone; the strong count tracks open connections.
    connections: Arc<()>,
    started: Time,
}

/// Bounded queue between two components of the node. Items that do not fit are dropped; consumers
/// must tolerate the loss.
#[derive(Debug)]
pub struct Queue<T> {
    tx: async_channel::Sender<T>,
    rx: async_channel::Receiver<T>,
}

/// How long a draining node keeps idle connections open, so that requests already in transit
/// receive a response.
pub const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(1_500);

/// Capacity of the note queue.
const MAX_NOTES: usize = 4_096;

/// Capacity of the queue of lost gatekeepers.
const MAX_LOST_GATES: usize = 32;

impl<T> Queue<T> {
    fn new(most: usize) -> Queue<T> {
        let (tx, rx) = async_channel::bounded(most);
        Queue { tx, rx }
    }

    /// Enqueues an item. Returns false if the queue is full and the item was dropped.
    pub fn send(&self, item: T) -> bool {
        self.tx.try_send(item).is_ok()
    }

    /// Waits for the next item. Returns `None` if the queue is closed.
    pub async fn next(&self) -> Option<T> {
        self.rx.recv().await.ok()
    }
}

/// Known VM states; a VM without an entry counts as live.
pub type VmStates = indexmap::IndexMap<Name, VmState>;

/// Version distribution state reported on `/status`.
#[derive(Clone, Debug)]
pub struct SpreadView {
    /// Time at which the version in force was applied on this node.
    pub in_force_since: Option<Time>,
    /// Newest known version.
    pub newest_heard: u64,
    /// Reason for the most recent rejection of a version.
    pub last_rejection: Option<Fault>,
    /// Role of this node in version distribution.
    pub role: sycamore_core::status::Role,
    /// Peer that supplied the last version.
    pub parent: Option<Name>,
    /// Whether the platform responded to the last call.
    pub platform_reachable: Option<bool>,
    /// Whether a peer has confirmed the version in force.
    pub confirmed: bool,
}

impl Shared {
    /// Creates the state of a starting node.
    pub fn new(settings: Settings, clock: Clock) -> Arc<Shared> {
        Shared::with_dialect(settings, clock, Dialect::new())
    }

    /// Creates the state with custom header names for callers and the target.
    pub fn with_dialect(settings: Settings, clock: Clock, dialect: Dialect) -> Arc<Shared> {
        let started = clock.now();
        let events = Mutex::new(EventRing::new(settings.limits.event_ring));
        let shared = Arc::new(Shared {
            link_use: Arc::new(LinkUse::new(settings.listen.gate.ip())),
            current: RwLock::new(Arc::new(settings.clone())),
            settings,
            clock,
            dialect,
            metrics: Metrics::new(),
            notes: Queue::new(MAX_NOTES),
            lost_gates: Queue::new(MAX_LOST_GATES),
            in_force: RwLock::new(None),
            members: RwLock::new(Arc::new(VmStates::new())),
            events,
            spread: Mutex::new(SpreadView {
                in_force_since: None,
                newest_heard: 0,
                last_rejection: None,
                role: sycamore_core::status::Role::Leaf,
                parent: None,
                platform_reachable: None,
                confirmed: false,
            }),
            draining: AtomicBool::new(false),
            drain_started: event_listener::Event::new(),
            draining_since: AtomicU64::new(u64::MAX),
            stop_plan: RwLock::new(None),
            stop_planned: event_listener::Event::new(),
            exiting: AtomicBool::new(false),
            exit_started: event_listener::Event::new(),
            calls_open: AtomicU64::new(0),
            calls_cut: AtomicU64::new(0),
            own_runs: Mutex::new(Runs::default()),
            target_busy: AtomicBool::new(false),
            connections: Arc::new(()),
            started,
        });
        shared.record(Event::new(started, EventKind::Started));
        shared
    }

    /// Settings as last read. A running node applies changes of `service`, `seeds`, `zones` and
    /// `fleet_retries`; other changes apply after a restart.
    pub fn current_settings(&self) -> Arc<Settings> {
        self.current.read().clone()
    }

    /// Replaces the current settings. Returns whether they differ.
    pub fn update_settings(&self, settings: Settings) -> bool {
        let mut current = self.current.write();
        let differ = **current != settings;
        *current = Arc::new(settings);
        differ
    }

    /// The configuration in force; `None` before the first.
    pub fn in_force(&self) -> Option<Arc<Snapshot>> {
        self.in_force.read().clone()
    }

    /// Replaces the configuration in force. The snapshot is swapped as a whole, so no call sees a
    /// mix of versions. The caller decides whether it supersedes the current one.
    pub fn put_in_force(&self, snapshot: Arc<Snapshot>) {
        self.metrics.version_in_force.set(snapshot.version() as i64);
        *self.in_force.write() = Some(snapshot);
    }

    /// Known VM states.
    pub fn members(&self) -> Arc<VmStates> {
        self.members.read().clone()
    }

    /// Replaces the known VM states.
    pub fn set_members(&self, members: VmStates) {
        *self.members.write() = Arc::new(members);
    }

    /// Records an event: counts it, keeps it for `/events` and logs it.
    pub fn record(&self, event: Event) {
        self.metrics.count_event(&event);
        output::log_event(self.settings.vm.as_str(), &event);
        self.events.lock().push(event);
    }

    /// Kept events, and the number of dropped ones.
    pub fn events(&self) -> (Vec<Event>, u64) {
        let ring = self.events.lock();
        (ring.iter().cloned().collect(), ring.dropped())
    }

    /// Process start time.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Updates the version distribution state reported on `/status`.
    pub fn update_spread(&self, change: impl FnOnce(&mut SpreadView)) {
        change(&mut self.spread.lock());
    }

    /// Whether the node is draining.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Starts the graceful shutdown. Returns false if it had already started.
    pub fn start_draining(&self) -> bool {
        let first = !self.draining.swap(true, Ordering::AcqRel);
        if first {
            self.draining_since.store(self.clock.now().0, Ordering::Release);
            self.drain_started.notify(usize::MAX);
            self.record(Event::new(self.clock.now(), EventKind::Draining));
        }
        first
    }

    /// Waits until the graceful shutdown starts.
    pub async fn drain_started(&self) {
        while !self.draining() {
            // Registers the listener before checking again, so that no notification is missed.
            let started = self.drain_started.listen();
            if !self.draining() {
                started.await;
            }
        }
    }

    /// The times of the graceful shutdown; `None` before it.
    pub fn stop_plan(&self) -> Option<StopPlan> {
        *self.stop_plan.read()
    }

    /// Replaces the times of the graceful shutdown. Returns whether they differ.
    pub fn set_stop_plan(&self, plan: StopPlan) -> bool {
        let differs = self.stop_plan.write().replace(plan) != Some(plan);
        if differs {
            self.stop_planned.notify(usize::MAX);
        }
        differs
    }

    /// Starts the last part of the graceful shutdown, in which no connection is accepted.
    pub fn start_exit(&self) {
        self.exiting.store(true, Ordering::Release);
        self.exit_started.notify(usize::MAX);
    }

    /// Waits until no connection may be accepted any more.
    pub async fn exit_started(&self) {
        let exit_started = async {
            while !self.exiting.load(Ordering::Acquire) {
                // Registered before the check, so that no notification is missed.
                let started = self.exit_started.listen();
                if !self.exiting.load(Ordering::Acquire) {
                    started.await;
                }
            }
        };
        future::or(exit_started, self.stop_reached(|plan| plan.run_by)).await;
    }

    /// Waits until this time of the graceful shutdown.
    async fn stop_reached(&self, at: impl Fn(StopPlan) -> Time) {
        loop {
            // Registered before the check, so that no change is missed.
            let planned = self.stop_planned.listen();
            let Some(at) = self.stop_plan().map(&at) else {
                planned.await;
                continue;
            };
            if at <= self.clock.now() {
                return;
            }
            future::or(planned, self.clock.sleep_until(at)).await;
        }
    }

    /// Returns `None` if the deadline passes first, or if the process stops and open calls have to
    /// be answered.
    pub async fn with_deadline<T>(
        &self,
        deadline: Time,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let timeout =
            future::or(self.clock.sleep_until(deadline), self.stop_reached(|plan| plan.answer_by));
        let timeout = async {
            timeout.await;
            None
        };
        future::or(async { Some(work.await) }, timeout).await
    }

    /// Code of a call that has ended at this deadline, or `stopped` if it ended because this node
    /// stops.
    pub fn expiry_code(&self, deadline: Time, stopped: Code) -> Code {
        let now = self.clock.now();
        let by_stop = |plan: StopPlan| plan.answer_by <= now.min(deadline);
        if self.stop_plan().is_some_and(by_stop) { stopped } else { Code::DeadlinePassed }
    }

    /// Waits until `until`, or until requests that wait can no longer run because the process stops.
    pub async fn sleep_while_waiting(&self, until: Time) {
        future::or(self.clock.sleep_until(until), self.stop_reached(|plan| plan.run_by)).await;
    }

    /// Until when a target may work on a request with this deadline.
    pub fn run_by(&self, deadline: Time) -> Time {
        self.stop_plan().map_or(deadline, |plan| plan.run_by.min(deadline))
    }

    /// Whether this node stops and has to answer its open calls.
    pub fn must_answer(&self) -> bool {
        self.stop_plan().is_some_and(|plan| plan.answer_by <= self.clock.now())
    }

    /// Counts a call whose outcome is unknown because this node stops.
    pub fn count_cut_call(&self) {
        self.calls_cut.fetch_add(1, Ordering::AcqRel);
    }

    /// Limits how long a peer may take to read the response of a call. During the graceful shutdown
    /// only the exit does.
    pub fn limit_connection(&self, conn: &ConnectionState, deadline: Time) {
        if self.stop_plan().is_none() {
            conn.set_deadline(deadline);
        }
    }

    /// Whether this node has been draining for long enough for callers to have learned of it.
    pub fn is_notice_over(&self) -> bool {
        let since = Time(self.draining_since.load(Ordering::Acquire));
        self.draining() && self.clock.now() >= since + DRAIN_NOTICE_PERIOD
    }

    /// Number of calls whose outcome is unknown because this node stops.
    pub fn calls_cut(&self) -> u64 {
        self.calls_cut.load(Ordering::Acquire)
    }

    /// Whether requests from callers are accepted. A draining node accepts them for a configured
    /// time, since callers learn of the shutdown with a delay.
    pub fn accepts_calls(&self) -> bool {
        self.within_drain_period(self.settings.limits.serve_while_leaving_ms)
    }

    /// Whether requests forwarded by other nodes are accepted.
    pub fn accepts_forwards(&self) -> bool {
        self.within_drain_period(self.settings.limits.run_while_leaving_ms)
    }

    fn within_drain_period(&self, ms: u64) -> bool {
        let since = Time(self.draining_since.load(Ordering::Acquire));
        !self.draining() || self.clock.now() < self.run_by(since + Duration::from_millis(ms))
    }

    /// Limits of the local target's service; `None` if unknown.
    pub fn own_limits(&self) -> Option<ServiceLimits> {
        let snapshot = self.in_force()?;
        let by_name = || snapshot.service_named(self.current_settings().service.as_ref()?);
        let listed = snapshot.target_on(&self.settings.vm);
        let service = listed.map(|target| snapshot.target(target).service).or_else(by_name)?;
        Some(snapshot.service(service).limits.clone())
    }

    /// Work running on the local target, as last reported by its gatekeeper.
    pub fn own_runs(&self) -> Runs {
        *self.own_runs.lock()
    }

    /// Updates the work running on the local target.
    pub fn set_own_runs(&self, runs: Runs) {
        *self.own_runs.lock() = runs;
    }

    /// Updates whether the local target is running requests.
    pub fn set_target_busy(&self, busy: bool) {
        self.target_busy.store(busy, Ordering::Release);
    }

    /// Whether a draining node accepts nested calls of requests that its target runs or may still be
    /// given.
    pub fn accepts_nested_calls(&self) -> bool {
        let may_run = self.accepts_forwards() || self.target_busy.load(Ordering::Acquire);
        self.accepts_calls() && may_run
    }

    /// Number of calls in progress.
    pub fn calls_open(&self) -> u64 {
        self.calls_open.load(Ordering::Acquire)
    }

    /// Counts a call as in progress until the guard is dropped.
    pub fn track_call(self: &Arc<Shared>) -> OpenCallGuard {
        self.calls_open.fetch_add(1, Ordering::AcqRel);
        OpenCallGuard { shared: self.clone() }
    }

    /// Whether no inbound call connection is open.
    pub fn has_no_connections(&self) -> bool {
        Arc::strong_count(&self.connections) == 1
    }

    /// Counts a connection as open until the returned handle is dropped.
    pub fn track_connection(&self) -> Arc<()> {
        self.connections.clone()
    }

    /// Builds the response body of `/status`.
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
            last_refusal: spread.last_rejection.map(|fault| fault.to_string()),
            role: spread.role,
            parent: spread.parent,
            platform_answers: spread.platform_reachable,
            confirmed: spread.confirmed,
            ready: in_force.is_some() && !self.draining(),
            draining: self.draining(),
            calls_open: self.calls_open(),
        }
    }
}

/// Counts one call as in progress while it exists.
#[derive(Debug)]
pub struct OpenCallGuard {
    shared: Arc<Shared>,
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.shared.calls_open.fetch_sub(1, Ordering::AcqRel);
    }
}
