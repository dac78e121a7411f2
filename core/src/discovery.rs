//! Discovery of targets through a key-value store.
//!
//! Targets register themselves in the store, and a published version names services without
//! targets. [`Discovery`] is the sans-I/O state machine of one node: it lists and watches the
//! store, and emits a new snapshot whenever the version or a target changes. It consumes [`Input`]s
//! and emits [`Output`]s that an adapter executes. [`Output::WakeAt`] requests an [`Input::Wake`]
//! at the given time.
//!
//! - `port`: input, output and configuration types
//! - `follow`: schedules list and watch calls, and retries; `catch_up` reads changes since a revision
//! - `listing`: a list in progress
//! - `registry`: registered targets
//! - `nested`: detects routes that serve nested calls
//! - `policy`: default limits for values that documents omit
//! - `relay`: one reader per region reads the store for the other nodes
//! - `announce`: announcements of a reader to the nodes of its region
//! - `peers`: messages to and from peers
//! - `pace`: timing of readers and followers, derived from the change bound
//! - `view`: version and targets of a node, and deltas between two views
//! - `offer`: offers of the current state to peers that may have lost it
//! - `progress`: events on what the node knows
//! - `rejoin`: recovery of the state from peers after a start while the store is unavailable

mod announce;
mod follow;
mod listing;
mod nested;
mod offer;
mod pace;
mod peers;
pub mod policy;
mod port;
mod progress;
mod registry;
mod rejoin;
mod relay;
mod view;

pub use pace::Pace;
pub use port::{
    Call, Change, Config, Input, Output, Publication, ReadError, Reply, Request, Status,
    TargetEntry, TargetState,
};
pub use registry::{RECOVERY_GRACE, Registry};

use crate::call::note::OutgoingNote;
use crate::config::{InForce, Snapshot, Target};
use crate::event::{Event, EventKind};
use crate::hash::Hash;
use crate::place::Link;
use crate::spread::PeerMsg;
use crate::spread::message::Summary;
use crate::{Code, Time};
use follow::{Role, StoreWatcher};
use listing::Part;
use offer::Offers;
use peers::send_output;
use progress::Progress;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rejoin::{FullState, Rejoin};
use relay::Relay;
use std::sync::Arc;
use view::View;

/// Discovery state machine of one node.
#[derive(Debug)]
pub struct Discovery {
    cfg: Config,
    pace: Pace,
    rng: Pcg64Mcg,
    watcher: StoreWatcher,
    registry: Registry,
    published: Option<Arc<Publication>>,
    // Last version rejected as too old, so that it is reported once.
    rejected_version: u64,
    // The store holds a version that is not valid.
    refused_version: bool,
    snapshot: Option<Arc<Snapshot>>,
    rejoin: Rejoin,
    offers: Offers,
    relay: Relay,
    progress: Progress,
    // Newest version and targets, compared by digest with those of other nodes.
    view: Arc<View>,
    // The view is from a stale list. It takes effect only once a reader confirms it.
    provisional: bool,
    // Cached full state, for peers that hold nothing or too old a version.
    full_state: Option<FullState>,
    snapshot_stale: bool,
    // The store has responded since the followers were last updated.
    broadcast_due: bool,
    // The state came from a peer and has to be confirmed by the candidate reader.
    resync_due: bool,
    // When the store last responded to the node that this one's state comes from: itself, its
    // reader, or the peer that sent it. `None` if that is unknown or too long ago.
    confirmed_at: Option<Time>,
    store_reachable: Option<bool>,
    last_input: Option<Time>,
}

impl Discovery {
    /// Creates a node that has not started. `seed` initializes its random number generator.
    pub fn new(cfg: Config, seed: u64) -> Discovery {
        let pace = Pace::for_bound(cfg.change_bound);
        let relay = Relay::new(pace);
        let role = if relay.may_read(&cfg) { Role::EligibleReader } else { Role::FollowerOnly };
        let link_kbps = cfg.link_bandwidth();
        Discovery {
            rng: Pcg64Mcg::seed_from_u64(seed),
            watcher: StoreWatcher::new(pace, role, link_kbps),
            registry: Registry::new(),
            published: None,
            rejected_version: 0,
            refused_version: false,
            snapshot: None,
            rejoin: Rejoin::new(),
            offers: Offers::new(),
            relay,
            progress: Progress::default(),
            view: Arc::new(View::unpublished()),
            provisional: false,
            full_state: None,
            snapshot_stale: false,
            broadcast_due: false,
            resync_due: false,
            confirmed_at: None,
            store_reachable: None,
            last_input: None,
            cfg,
            pace,
        }
    }

    /// Processes one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.detect_clock_gap(now, out);
        match input {
            Input::Start => {
                self.watcher.start(now, &mut self.rng);
                self.rejoin.start(now, &mut self.rng);
            }
            Input::Reply { id, result } => self.handle_reply(now, id, result, out),
            Input::Peer { from, msg } => self.handle_message(now, &from, msg, out),
            Input::Note(note) => self.send_note(&note, out),
            Input::PeerLost(gate) => self.handle_peer_lost(now, gate),
            Input::Seeds(seeds) => self.cfg.seeds = seeds,
            Input::Leaving => out.extend(self.relay.stop_serving().into_iter().map(send_output)),
            Input::Wake => {}
        }
        self.advance(now, out);
    }

    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// When the store last responded to the node that this one's state comes from: itself, its
    /// reader, or the peer that sent it.
    pub fn store_responded_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        self.confirmed_at = self.confirmed_at.max(self.relay.store_responded_at());
        if self.relay.reader_timed_out(now) {
            self.abandon_reader(now, Some(Code::PeerUnreachable), out);
        }
        if let Some(revision) = self.relay.take_overdue_check(now) {
            self.watcher.check(now, revision);
            out.push(Output::Event(Event::new(now, EventKind::ParentOverdue)));
        }
        if let Some(overdue) = self.watcher.check_overdue(now) {
            // What a follower knows of the store comes from its reader.
            if !self.relay.is_follower() {
                self.handle_overdue(now, overdue, out);
            }
        }
        self.watcher.set_serves_followers(now, self.relay.serves_followers(now));
        if let Some(call) = self.watcher.next_call(now) {
            self.record_call(now, &call, out);
            out.push(Output::Read(call));
        }
        out.extend(self.watcher.next_side_call(now).map(Output::Read));
        if self.registry.expire_missing(now) {
            self.progress.on_targets(None);
            self.snapshot_stale = true;
        }
        self.record_entry(now, out);
        if std::mem::take(&mut self.snapshot_stale) {
            self.rebuild_snapshot(now, out);
        }
        self.query_peers(now, out);
        self.send_offers(now, out);
        self.send_relay_messages(now, out);
        let offers = self.published.as_ref().and_then(|_| self.offers.wake_at());
        let wakes = [
            self.watcher.wake_at(),
            self.registry.wake_at(),
            self.rejoin.wake_at(),
            offers,
            self.relay.wake_at(),
        ];
        if let Some(wake) = wakes.into_iter().flatten().min() {
            out.push(Output::WakeAt(wake));
        }
    }

    /// Reports that the process was paused. No other action is needed: the pending store call has
    /// timed out by then and is retried.
    fn detect_clock_gap(&mut self, now: Time, out: &mut Vec<Output>) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.since(last) > self.pace.max_silence() {
            out.push(Output::Event(Event::new(now, EventKind::ClockGap).with_default_code()));
        }
    }

    fn handle_reply(
        &mut self,
        now: Time,
        id: u64,
        result: Result<Reply, ReadError>,
        out: &mut Vec<Output>,
    ) {
        let responded = !matches!(result, Err(ReadError::Failed(_)));
        let Some(result) = self.watcher.keep_side_document(id, result) else {
            return;
        };
        if !self.watcher.awaits(id, responded) {
            return;
        }
        if !responded && self.relay.is_follower() {
            // The reader may only be late. If it is lost, the store is asked again.
            return self.watcher.stop();
        }
        match responded {
            true => self.registry.on_store_success(now),
            false => self.registry.on_store_failure(now, self.possible_failure(now)),
        }
        self.record_store_status(now, responded, out);
        let evaluate = |items: &[Change]| self.relay.evaluate_list(&self.cfg, items);
        let (changes, part) = self.watcher.handle_result(now, result, evaluate, &mut self.rng);
        let listed = part.completes();
        let is_target = |change: &Change| !matches!(change, Change::Published(_));
        let (targets, publications): (Vec<_>, Vec<_>) = changes.into_iter().partition(is_target);
        if part != Part::Changes || !targets.is_empty() {
            self.progress.on_targets(None);
        }
        self.snapshot_stale |= match part {
            Part::All => self.registry.apply_list(now, targets),
            Part::Targets => self.registry.apply_targets(now, targets),
            Part::Document => self.registry.apply_evacuations(&targets),
            Part::Changes => self.registry.apply_changes(now, targets),
            Part::CatchUp => {
                let evacuated = self.registry.apply_evacuations(&targets);
                self.registry.apply_changes(now, targets) || evacuated
            }
        };
        if let Some(revision) = self.watcher.known_revision().filter(|_| responded) {
            self.registry.set_revision(revision);
        }
        // The completed list replaces the view of the stale one, also if it changes no target.
        self.snapshot_stale |= listed && self.provisional;
        if self.watcher.is_repeating_list() {
            // The store responds, and peers that start too know no more.
            self.rejoin.postpone(now);
        }
        self.update_provisional_view(now);
        // A partial list does not prove freshness. Neither does a registry with missing entries:
        // nodes that stayed connected to the store may know that those targets are gone.
        if responded && !self.watcher.is_listing() && !self.registry.has_missing() {
            let responded_at = self.watcher.responded_at().unwrap_or(now);
            self.relay.on_store_success(responded_at, self.registry.revision());
            self.broadcast_due = true;
        }
        for publication in publications {
            self.handle_publication(now, publication, out);
        }
        if listed {
            self.record_listed(now, out);
        }
        if self.relay.is_follower() && self.watcher.is_up_to_date() {
            self.watcher.stop();
        }
    }

    /// Since when the store may have been failing, for a call that has failed.
    ///
    /// Before its first call has ended a node knows only when a peer's state was confirmed: an outage
    /// may have begun at any time since. Later, a single failed call proves none.
    fn possible_failure(&self, now: Time) -> Time {
        match self.store_reachable {
            Some(_) => now,
            None => self.confirmed_at.unwrap_or(now),
        }
    }

    /// Takes the view of a stale list that has just been read, so that a reader with the same view
    /// can be followed without completing the list.
    fn update_provisional_view(&mut self, now: Time) {
        let Some(items) = self.watcher.stale_items() else {
            return;
        };
        let published = items.iter().rev().find_map(|item| match item {
            Change::Published(Ok(published)) => Some(published.clone()),
            _ => None,
        });
        // A list without the document adds the targets to the version held.
        let published = published.or_else(|| self.published.clone());
        let published = published.unwrap_or_else(|| Arc::new(Publication::none()));
        if published.version < self.view.published.version {
            return;
        }
        let mut registry = Registry::new();
        registry.apply_list(now, items.to_vec());
        let listed = registry.targets(&self.cfg, &published);
        self.view = Arc::new(View::new(published, &listed));
        self.provisional = true;
        // A reader completes the list with less traffic than a peer that sends everything.
        self.rejoin.postpone(now);
        self.resync_due |= self.relay.has_upstream();
    }

    /// Makes a view that a reader has confirmed the state of this node.
    fn adopt_view(&mut self, now: Time, view: Arc<View>, summary: &Summary, out: &mut Vec<Output>) {
        let revision = summary.store_revision;
        let targets = view.targets.iter();
        let entries = targets.flat_map(|(service, listed)| {
            let entry = |target: &Target| rejoin::target_entry(service, target, revision);
            listed.iter().map(move |target| (target.vm.clone(), entry(target)))
        });
        self.registry.replace_from_reader(entries.collect());
        self.accept_version(now, view.published.clone(), out);
        self.snapshot_stale = true;
        self.provisional = false;
    }

    fn status(&self) -> Status {
        Status {
            newest: self.published.as_ref().map_or(0, |published| published.version),
            store_reachable: self.store_reachable,
        }
    }

    fn handle_publication(&mut self, now: Time, change: Change, out: &mut Vec<Output>) {
        let published = match change {
            Change::Published(Ok(published)) => published,
            Change::Published(Err(fault)) => {
                let code = fault.code;
                out.push(Output::Rejected(fault));
                self.refused_version = true;
                let event = Event::new(now, EventKind::VersionRefused);
                return out.push(Output::Event(event.with_code(code)));
            }
            Change::Target { .. } | Change::Removed { .. } | Change::Evacuation { .. } => return,
        };
        self.accept_version(now, published, out);
    }

    /// Accepts a version from any source if it is newer than the current one.
    fn accept_version(&mut self, now: Time, published: Arc<Publication>, out: &mut Vec<Output>) {
        let version = published.version;
        let held = self.published.as_ref().map_or(0, |held| held.version);
        if version < held && self.rejected_version != version {
            self.rejected_version = version;
            let event = Event::new(now, EventKind::VersionRefused).with_version(version);
            return out.push(Output::Event(event.with_code(Code::VersionOlder)));
        }
        if version <= held {
            return;
        }
        let document_bytes = published.transfer_bytes();
        let pace =
            Pace::for_document(self.cfg.change_bound, document_bytes, self.cfg.link_bandwidth());
        self.pace = pace;
        self.relay.set_pace(pace);
        self.watcher.on_version(now, pace, document_bytes);
        self.published = Some(published);
        self.snapshot_stale = true;
        out.push(Output::Event(Event::new(now, EventKind::VersionHeard).with_version(version)));
    }

    fn rebuild_snapshot(&mut self, now: Time, out: &mut Vec<Output>) {
        let published = self.published.clone().unwrap_or_else(|| Arc::new(Publication::none()));
        let listed = self.registry.targets(&self.cfg, &published);
        self.view = Arc::new(View::new(published.clone(), &listed));
        self.provisional = false;
        self.full_state = None;
        self.relay.record_version(&published);
        if self.published.is_none() {
            return;
        }
        let mut preset = published.preset.clone();
        for target in listed {
            if let Some(service) = preset.services.get_mut(&target.service) {
                service.targets.push(target.target);
            }
        }
        let name = published.preset.name.clone();
        // Versions are identified by number alone, so the digest carries no information.
        let in_force = InForce { version: published.version, preset: name, digest: Hash::of(b"") };
        match Snapshot::new(in_force, &preset) {
            Ok(snapshot) => {
                let before = self.snapshot.replace(snapshot.clone());
                let version = snapshot.version();
                if before.is_none_or(|before| before.version() < version) {
                    let event = Event::new(now, EventKind::VersionInForce).with_version(version);
                    out.push(Output::Event(event));
                }
                out.push(Output::InForce(snapshot));
                out.push(Output::Status(self.status()));
            }
            Err(fault) => out.push(Output::Rejected(fault)),
        }
    }

    fn send_note(&self, note: &OutgoingNote, out: &mut Vec<Output>) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        if let Some(key) = snapshot.target_on(&note.to) {
            let target = &snapshot.target(key).target;
            let link = self.cfg.place.link_to(&target.place());
            let msg = PeerMsg::Note(note.note.clone());
            out.push(Output::Send { to: target.peers, link, msg });
        }
    }

    /// Whether this node has to take a version from its peers, since that of the store is not valid.
    fn has_only_refused_version(&self) -> bool {
        self.refused_version && self.published.is_none()
    }

    fn query_peers(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.watcher.has_listed() && !self.has_only_refused_version() {
            return self.rejoin.stop();
        }
        if let Some(to) = self.rejoin.next_seed(now, &self.cfg.seeds, &mut self.rng) {
            let msg = rejoin::full_state_request(self.published.as_ref().map(|held| held.version));
            out.push(Output::Send { to, link: Link::Region, msg });
        }
    }
}
