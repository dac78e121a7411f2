//! Schedules list and watch calls to the store, and their retries.
//!
//! A stale list costs the store about a tenth of a consistent one, but its pages may be seconds old
//! and of different ages. It is therefore completed by reading the entries changed since the oldest
//! page, and the current document, before it takes effect. A node that holds a version lists the
//! targets alone and puts them in force before it reads the document, which a slow link may need a
//! second for.
//!
//! The store's history holds each version whole. A watch that would bring several of them is given up,
//! and the changed entries and the current document are read instead, whose size does not grow with
//! the number of versions. Both are read at once, so that a node behind a full link waits for one round
//! trip.
//!
//! The response to a watch may be lost without an error. Once it is overdue, the changes are asked
//! for by another call beside it. Whichever is answered first counts, since the store may only be
//! slow.

mod catch_up;

use super::listing::{ListedFleet, Listing, Part};
use super::pace::{MAX_WAIT_JITTER_PERCENT, Pace, RESPONSE_TIMEOUT};
use super::port::{Call, Change, ReadError, Reply, Request};
use crate::Time;
use catch_up::SideDocument;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Longest wait of a watch within [`RECOVERY_PERIOD`] of a failure. A store that has compacted its
/// history may report it only when the watch ends.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(700);
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

/// Wait of the watch that follows an overdue one. It only asks for what has changed.
const CHECK_WAIT: Duration = Duration::from_millis(1);

/// Size of the largest response to any call: two values of the maximum size, Base64-encoded, plus
/// overhead.
const MAX_RESPONSE_BYTES: u64 = 4 * 1_048_576;

/// Size allowed for the entries in the response to a watch, beside one document.
const MAX_ENTRIES_BYTES: u64 = 65_536;

/// A response to a watch may hold several versions if the link carries it within this time.
const MAX_WATCH_TRANSFER: Duration = Duration::from_millis(100);

/// How often the delay for an overdue response doubles while none comes. The timeout of the call is
/// shorter from then on.
const MAX_OVERDUE_DOUBLINGS: u32 = 3;

/// Bounds of the exponential backoff after failed calls. The actual delay is 50 % to 100 % of it.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Longest backoff of nodes that rely on a reader. The number of calls that fail at once grows with
/// the number of these nodes.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_millis(3_000);

/// How long a node waits for a reader before it calls the store itself, after a stale list and after
/// its start.
const STALE_LIST_WAIT: Duration = Duration::from_millis(600);
const STARTUP_WAIT: Duration = Duration::from_millis(400);

/// Delay before a stale list is repeated while targets register.
const REGISTRATION_WAIT: Duration = Duration::from_millis(2_000);

/// Shortest interval between watches that return no changes. Limits the call rate if the store
/// responds to watches immediately.
const MIN_EMPTY_WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Whether this node waits for a reader before it calls the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// May read the store for others; calls it without waiting.
    EligibleReader,
    /// Relies on a reader of its region if there is one.
    FollowerOnly,
}

/// Whether the targets of a fleet that starts are still registering.
#[derive(Clone, Copy, Debug)]
enum Registration {
    Unknown,
    /// The number of targets on the last stale list.
    InProgress(usize),
    Complete,
}

/// Schedules the store calls of this node and interprets their results.
#[derive(Debug)]
pub struct StoreWatcher {
    pace: Pace,
    role: Role,
    state: State,
    listing: Option<Listing>,
    listed: bool,
    registration: Registration,
    // The first stale list had no version.
    started_unpublished: bool,
    // The full state was received from a peer.
    informed: bool,
    // Any version was received.
    holds_version: bool,
    failures: u32,
    failed_at: Option<Time>,
    next_id: u64,
    called_at: Time,
    // When the store last responded with all changes.
    responded_at: Option<Time>,
    // When the response to the pending watch counts as overdue.
    overdue_at: Option<Time>,
    // Consecutive overdue responses.
    overdue: u32,
    // Call for the same changes as the pending one. Its response is overdue.
    overdue_id: Option<u64>,
    // Document that is read beside changed entries.
    side_document: Option<SideDocument>,
    // When the current version was received.
    version_at: Option<Time>,
    serves_followers: bool,
    link_kbps: u64,
    // Estimated size of the current document, as transferred.
    document_bytes: u64,
}

#[derive(Clone, Debug)]
enum State {
    Idle,
    // Call to make at this time.
    Scheduled(Request, Time),
    Pending(u64, Request),
}

impl StoreWatcher {
    /// `link_kbps` is the bandwidth of the VM's link in kbit/s.
    pub fn new(pace: Pace, role: Role, link_kbps: u64) -> StoreWatcher {
        StoreWatcher {
            pace,
            role,
            state: State::Idle,
            listing: None,
            listed: false,
            registration: Registration::Unknown,
            started_unpublished: false,
            informed: false,
            holds_version: false,
            failures: 0,
            failed_at: None,
            next_id: 0,
            called_at: Time::ZERO,
            responded_at: None,
            overdue_at: None,
            overdue: 0,
            overdue_id: None,
            side_document: None,
            version_at: None,
            serves_followers: false,
            link_kbps,
            document_bytes: 0,
        }
    }

    /// Whether the state of the store is completely known, from a list or through a reader.
    pub fn has_listed(&self) -> bool {
        self.listed
    }

    /// Whether all targets are known, and at most the document is still to be read.
    pub fn knows_targets(&self) -> bool {
        self.listed || self.listing.as_ref().is_some_and(|listing| listing.targets_taken)
    }

    /// Called when a version was received from anywhere, with the pace for its document and the size
    /// of that.
    pub fn on_version(&mut self, now: Time, pace: Pace, document_bytes: u64) {
        self.holds_version = true;
        self.version_at = Some(now);
        (self.pace, self.document_bytes) = (pace, document_bytes);
    }

    /// Whether a list is in progress or scheduled.
    pub fn is_listing(&self) -> bool {
        self.listing.is_some()
    }

    /// Items of a stale list that has been read but not completed.
    pub fn stale_items(&self) -> Option<&[Change]> {
        match (&self.state, &self.listing) {
            (State::Scheduled(Request::Entries { .. }, _), Some(listing)) => Some(&listing.pages),
            _ => None,
        }
    }

    /// Whether a stale list that came too early is about to be repeated.
    pub fn is_repeating_list(&self) -> bool {
        matches!(self.state, State::Scheduled(Request::List { after: None, .. }, _))
            && matches!(self.registration, Registration::InProgress(_))
    }

    /// Schedules the initial list.
    pub fn start(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        let at = now + self.reader_wait(STARTUP_WAIT, rng);
        self.schedule_list(at, true);
    }

    /// Whether a peer has sent the full state.
    pub fn is_informed(&self) -> bool {
        self.informed
    }

    /// Called when a peer has sent the full state. A node that relies on a reader then postpones
    /// its first list to give one time to announce itself, but no longer than if it had lost its
    /// reader after the response of the store that the state rests on.
    pub fn on_peer_state(&mut self, now: Time, confirmed_at: Option<Time>, rng: &mut Pcg64Mcg) {
        let first = !std::mem::replace(&mut self.informed, true);
        if self.role == Role::EligibleReader || self.listed || self.failed_at.is_some() {
            return;
        }
        let lost_wait = self.reader_wait(self.pace.lost_wait, rng);
        let due = match confirmed_at {
            Some(confirmed_at) => confirmed_at + self.pace.reader_timeout + lost_wait,
            None => now + lost_wait,
        };
        let due = due.max(now);
        match &mut self.state {
            _ if first => {
                let at = due.min(now + self.reader_wait(self.pace.reader_wait, rng));
                self.schedule_list(at, true);
            }
            // The state is older now that an older one has been merged.
            State::Scheduled(Request::List { after: None, .. }, at) => *at = due.min(*at),
            _ => {}
        }
    }

    /// Stops calling the store: a reader serves this node, and both hold the same state.
    pub fn follow_reader(&mut self) {
        self.listed = true;
        self.stop();
    }

    /// Schedules a call after the reader was lost, leaving time for another reader to take over.
    ///
    /// `known` is the revision up to which this node has all changes, if known, and when the store
    /// responded with that. A node that can't become a reader then asks for the changes since; the
    /// others list, which tells how they rank.
    pub fn resume(&mut self, now: Time, known: Option<(u64, Time)>, rng: &mut Pcg64Mcg) {
        let at = now + self.reader_wait(self.pace.lost_wait, rng);
        match known.filter(|_| self.role == Role::FollowerOnly) {
            // The call that was made while the reader was late goes on.
            Some(_) if matches!(self.state, State::Pending(..)) => {}
            Some((revision, known_at)) => {
                let latest = (known_at + self.pace.latest_call_age).max(now);
                self.schedule_changes(now, revision, at.min(latest));
            }
            None => self.schedule_list(at, true),
        }
    }

    /// Stops calling the store and ignores the pending result.
    pub fn stop(&mut self) {
        self.state = State::Idle;
        self.listing = None;
        self.overdue_id = None;
        self.side_document = None;
    }

    /// Shortens watches and delays while other nodes rely on this one. A pending long watch is
    /// replaced at once, since followers would get no update until its end.
    pub fn set_serves_followers(&mut self, now: Time, serves_followers: bool) {
        let begins = serves_followers && !self.serves_followers;
        self.serves_followers = serves_followers;
        if let State::Pending(_, Request::Watch { revision, .. }) = self.state {
            if begins {
                self.schedule_watch(revision, now);
            }
        }
    }

    /// Whether the result of this call is awaited. An overdue call no longer counts if it fails.
    pub fn awaits(&self, id: u64, succeeded: bool) -> bool {
        let State::Pending(pending, _) = &self.state else {
            return false;
        };
        *pending == id || succeeded && self.overdue_id == Some(id)
    }

    pub fn wake_at(&self) -> Option<Time> {
        match self.state {
            State::Scheduled(_, at) => Some(at),
            State::Pending(..) => self.overdue_at,
            State::Idle => None,
        }
    }

    /// Schedules a call beside the pending watch if its response is overdue. Returns the number of
    /// consecutive overdue responses then.
    pub fn check_overdue(&mut self, now: Time) -> Option<u32> {
        let &State::Pending(id, Request::Watch { revision, .. }) = &self.state else {
            return None;
        };
        self.overdue_at.take_if(|at| *at <= now)?;
        self.overdue += 1;
        self.overdue_id = Some(id);
        self.state = State::Scheduled(Request::Watch { revision, wait: CHECK_WAIT }, now);
        Some(self.overdue)
    }

    /// Revision of the store up to which all targets are known, right after a response that
    /// completes them.
    pub fn known_revision(&self) -> Option<u64> {
        match &self.state {
            State::Scheduled(Request::Watch { revision, .. }, _) => Some(*revision),
            State::Scheduled(Request::Document, _) | State::Pending(_, Request::Document) => {
                self.listing.as_ref().filter(|listing| listing.targets_taken)?.revision
            }
            _ => None,
        }
    }

    /// When the store last responded with all changes.
    pub fn responded_at(&self) -> Option<Time> {
        self.responded_at
    }

    /// Returns the call that is due, if any.
    pub fn next_call(&mut self, now: Time) -> Option<Call> {
        let State::Scheduled(request, at) = &self.state else {
            return None;
        };
        if *at > now {
            return None;
        }
        let mut request = request.clone();
        if let Request::Watch { wait, .. } = &mut request {
            *wait = (*wait).min(self.watch_wait(now));
        }
        self.next_id += 1;
        let id = self.next_id;
        let wait = match &request {
            Request::Watch { wait, .. } => *wait,
            Request::List { .. } | Request::Entries { .. } | Request::Document => Duration::ZERO,
        };
        self.called_at = now;
        let is_watch = matches!(request, Request::Watch { .. });
        let max_bytes = if is_watch { self.max_watch_bytes() } else { MAX_RESPONSE_BYTES };
        let allowed = self.pace.overdue_delay() * (1 << self.overdue.min(MAX_OVERDUE_DOUBLINGS));
        self.overdue_at = is_watch.then_some(now + wait + allowed);
        self.state = State::Pending(id, request.clone());
        let timeout = wait + RESPONSE_TIMEOUT + self.pace.document_time;
        Some(Call { id, request, timeout, max_bytes })
    }

    /// Size of a response to a watch beyond which the current document alone is read.
    fn max_watch_bytes(&self) -> u64 {
        let one_version = self.document_bytes * 3 / 2 + MAX_ENTRIES_BYTES;
        let quick = self.link_kbps * MAX_WATCH_TRANSFER.as_millis() as u64 / 8;
        one_version.max(quick).min(MAX_RESPONSE_BYTES)
    }

    /// Longest wait of a watch that starts now.
    fn watch_wait(&self, now: Time) -> Duration {
        let since_response = self.responded_at.map_or(Duration::ZERO, |at| now.since(at));
        let mut longest = self.pace.watch_wait(since_response);
        if self.serves_followers {
            let left = self.pace.max_watch_wait.saturating_sub(since_response);
            longest = longest.min(left.max(CHECK_WAIT));
        }
        if self.failed_at.is_some_and(|failed| now.since(failed) < RECOVERY_PERIOD) {
            longest = longest.min(RECOVERY_WATCH_WAIT);
        }
        longest
    }

    /// Processes the result of the pending call. Returns the changes, and which part they cover.
    /// `evaluate` evaluates the items of a stale list.
    pub fn handle_result(
        &mut self,
        now: Time,
        result: Result<Reply, ReadError>,
        evaluate: impl Fn(&[Change]) -> ListedFleet,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, Part) {
        let State::Pending(_, request) = std::mem::replace(&mut self.state, State::Idle) else {
            return (Vec::new(), Part::Changes);
        };
        self.overdue_id = None;
        match (result, request) {
            (Ok(reply), Request::List { .. }) => self.handle_page(now, reply, evaluate, rng),
            (Ok(reply), Request::Entries { .. }) => self.handle_entries(now, reply, rng),
            (Ok(reply), Request::Document) => self.handle_document(now, reply, rng),
            (Ok(reply), Request::Watch { revision, .. }) => {
                self.handle_changes(now, reply, revision)
            }
            (Err(ReadError::HistoryGone), _)
            | (Err(ReadError::TooLarge), Request::Entries { .. }) => {
                self.schedule_list(now, false);
                (Vec::new(), Part::Changes)
            }
            (Err(ReadError::TooLarge), Request::Watch { revision, .. }) => {
                self.schedule_catch_up(revision, now);
                (Vec::new(), Part::Changes)
            }
            (Err(ReadError::Failed(_) | ReadError::TooLarge), request) => {
                self.failed_at = Some(now);
                let request = self.repeated_request(request);
                let catches_up = self.listing.as_ref().is_some_and(|listing| listing.targets_taken);
                self.side_document = catches_up.then_some(SideDocument::Due);
                self.state = State::Scheduled(request, now + self.backoff(now, rng));
                (Vec::new(), Part::Changes)
            }
        }
    }

    /// What to call after this call has failed. Targets in force are brought up to date before the
    /// document is asked for again, since a slow link may time out on it several times.
    fn repeated_request(&self, request: Request) -> Request {
        let listing = self.listing.as_ref().filter(|listing| listing.targets_taken);
        match (request, listing.and_then(|listing| listing.revision)) {
            (Request::Document, Some(revision)) => Request::Entries { revision },
            (request, _) => request,
        }
    }

    fn handle_changes(&mut self, now: Time, reply: Reply, watched: u64) -> (Vec<Change>, Part) {
        // The state of the store was read before its versions were transferred.
        let is_version = |change: &&Change| matches!(change, Change::Published(_));
        let versions = reply.changes.iter().filter(is_version).count() as u32;
        let read_at = now - self.pace.document_time * versions;
        self.record_complete(read_at.max(self.called_at));
        let quick = now.since(self.called_at) < MIN_EMPTY_WATCH_INTERVAL;
        let pause = match reply.changes.is_empty() {
            false if self.serves_followers => self.pace.batch_delay,
            false => self.pace.own_batch_delay,
            true if quick => MIN_EMPTY_WATCH_INTERVAL,
            true => Duration::ZERO,
        };
        self.schedule_watch(reply.revision.max(watched), now + pause);
        (reply.changes, Part::Changes)
    }

    fn handle_page(
        &mut self,
        now: Time,
        reply: Reply,
        evaluate: impl Fn(&[Change]) -> ListedFleet,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, Part) {
        self.failures = 0;
        let Some(mut listing) = self.listing.take() else {
            return (Vec::new(), Part::Changes);
        };
        let next = listing.add_page(reply);
        let revision = listing.revision.unwrap_or_default();
        let (stale, targets_only) = (listing.stale, listing.targets_only);
        if next.is_none() && !stale {
            self.listed = true;
            self.record_complete(now);
            self.schedule_watch(revision, now);
            return (listing.pages, Part::All);
        }
        self.state = match next {
            Some(after) => {
                State::Scheduled(Request::List { after: Some(after), stale, targets_only }, now)
            }
            None => {
                let has_document = listing.has_document();
                let fleet = evaluate(&listing.pages);
                if self.repeat_list(has_document, fleet) {
                    self.schedule_list(now + REGISTRATION_WAIT, true);
                    return (Vec::new(), Part::Changes);
                }
                let wait = match (self.role, fleet.reading_delay) {
                    (Role::EligibleReader, delay) => delay.unwrap_or_default(),
                    (Role::FollowerOnly, _) if !has_document => {
                        self.reader_wait(self.pace.reader_wait, rng)
                    }
                    (Role::FollowerOnly, Some(_)) if self.started_unpublished && !self.listed => {
                        self.reader_wait(STALE_LIST_WAIT, rng)
                    }
                    // A node that starts later has to serve soon, and one that has lost its reader
                    // has waited for another one already.
                    (Role::FollowerOnly, _) => Duration::ZERO,
                };
                State::Scheduled(Request::Entries { revision }, now + wait)
            }
        };
        self.listing = Some(listing);
        (Vec::new(), Part::Changes)
    }

    /// Whether to repeat a stale list: after a start, as long as targets register and this VM's own
    /// one has not.
    fn repeat_list(&mut self, has_document: bool, fleet: ListedFleet) -> bool {
        let before = std::mem::replace(&mut self.registration, Registration::Complete);
        let in_progress = match before {
            // If this process has started before the first version, so have others.
            Registration::Unknown => {
                self.started_unpublished = !has_document;
                !has_document
            }
            Registration::InProgress(targets) => fleet.targets > targets,
            Registration::Complete => false,
        };
        let repeat = in_progress && !self.listed && !fleet.has_own_target;
        if repeat {
            self.registration = Registration::InProgress(fleet.targets);
        }
        repeat
    }

    fn handle_entries(
        &mut self,
        now: Time,
        reply: Reply,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, Part) {
        self.failures = 0;
        let Some(listing) = &mut self.listing else {
            return (Vec::new(), Part::Changes);
        };
        let update = listing.targets_taken;
        let side_document = self.side_document.take();
        // A document that was called for together with the entries may be as old as that call.
        let read_at = if side_document.is_some() { self.called_at } else { now };
        listing.add_entries(read_at, reply);
        let targets = if update { listing.take_targets() } else { Vec::new() };
        self.state = match side_document {
            Some(SideDocument::Read(document)) => {
                return self.finish_catch_up(now, targets, document, rng);
            }
            Some(SideDocument::Pending(id)) => State::Pending(id, Request::Document),
            Some(SideDocument::Due) | None => State::Scheduled(Request::Document, now),
        };
        if update {
            return (targets, Part::Changes);
        }
        // Without a version nothing can be served, and the targets take effect with the first one.
        match self.holds_version {
            true => (listing.take_targets(), Part::Targets),
            false => (Vec::new(), Part::Changes),
        }
    }

    fn handle_document(
        &mut self,
        now: Time,
        reply: Reply,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, Part) {
        let Some(listing) = self.listing.take() else {
            return (Vec::new(), Part::Changes);
        };
        let entries_at = listing.entries_at.unwrap_or(now);
        self.record_complete(entries_at);
        self.listed = true;
        let wait = match self.role {
            Role::EligibleReader => Duration::ZERO,
            // The targets are as fresh as the state of a reader that the store answered when it
            // answered the read of the entries.
            Role::FollowerOnly => self.pace.check_age * rng.random_range(75..=100) / 100,
        };
        let watch_at = (entries_at + wait).max(now);
        // A document that was read beside the entries may be the older of the two.
        let revision = listing.revision.unwrap_or_default().min(reply.revision);
        self.schedule_watch(revision, watch_at);
        listing.finish(reply)
    }

    /// Records a response after which no change up to it is unknown.
    fn record_complete(&mut self, now: Time) {
        self.failures = 0;
        self.overdue = 0;
        self.responded_at = Some(now);
    }

    fn schedule_list(&mut self, at: Time, stale: bool) {
        self.overdue_id = None;
        self.side_document = None;
        let listing = Listing::new(stale, self.holds_version);
        let targets_only = listing.targets_only;
        self.listing = Some(listing);
        self.state = State::Scheduled(Request::List { after: None, stale, targets_only }, at);
    }

    fn schedule_watch(&mut self, revision: u64, at: Time) {
        self.state = State::Scheduled(Request::Watch { revision, wait: Duration::MAX }, at);
    }

    fn reader_wait(&self, wait: Duration, rng: &mut Pcg64Mcg) -> Duration {
        match self.role {
            Role::EligibleReader => Duration::ZERO,
            Role::FollowerOnly => wait * rng.random_range(100..=MAX_WAIT_JITTER_PERCENT) / 100,
        }
    }

    fn backoff(&mut self, now: Time, rng: &mut Pcg64Mcg) -> Duration {
        let most = match self.role {
            Role::EligibleReader => MAX_BACKOFF,
            Role::FollowerOnly => MAX_FOLLOWER_BACKOFF,
        };
        let longest = (MIN_BACKOFF * (1 << self.failures.min(4))).min(most);
        self.failures += 1;
        let left = self.pace.max_call_interval.saturating_sub(now.since(self.called_at));
        (longest * rng.random_range(50..=100) / 100).min(left)
    }
}
