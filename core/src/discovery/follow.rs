//! When the store is listed, watched, and tried again.
//!
//! A list by stale reads costs the store a tenth. It may be seconds old and each page of another
//! age, so before it counts the entries that have changed since the oldest page are read, and the
//! document, of which the history holds every version whole.

use super::pace::Pace;
use super::port::{Call, Change, ReadError, Reply, Request};
use crate::Time;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Longest wait of a watch. A store whose answer to a watch was lost looks like one without
/// changes, so this bounds how long a node may stay behind after such a loss; each wait costs a
/// call.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(3_500);

/// Longest wait of a watch within [`RECOVERY_PERIOD`] of a failure.
///
/// A store that has lost its history may only say so when the wait of a watch is over.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(700);
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

/// How long after its wait a call is given up: hundreds of times the store's usual 4 ms, so that
/// one that is slow, or behind a link that is full, is still heard.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between an answer that brought changes and the next watch. Versions come as often as
/// every 60 ms, and each is read whole, over links that are paid by volume; targets come and go
/// in groups. What comes within the pause is read at once after it, within the 2.5 s that a change
/// may take.
const BATCH_DELAY: Duration = Duration::from_millis(700);

/// Shortest and longest pause after a failed call; drawn at random between half and the whole.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Longest pause of a node that others may read for: as many calls fail as there are such nodes.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_millis(3_000);

/// How long a node that others may read for waits for one of them before it reads the store: after
/// its reader was lost, after its start, after it has all that is in force, and while nothing is
/// published.
const READER_LOST_WAIT: Duration = Duration::from_millis(600);
const STARTUP_WAIT: Duration = Duration::from_millis(400);
const INFORMED_WAIT: Duration = Duration::from_millis(2_500);
const UNPUBLISHED_WAIT: Duration = Duration::from_millis(2_500);

/// Shortest time between two watches that bring nothing: guards against a store that answers
/// every watch at once, which would cost a call each round trip.
const MIN_EMPTY_WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Whether this node waits for another to read the store for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It may read for others, and reads at once.
    EligibleReader,
    /// Others read for it, if there are any.
    FollowerOnly,
}

/// The list under way.
#[derive(Debug)]
struct Listing {
    // Items of the pages that have come so far.
    pages: Vec<Change>,
    // Lowest revision of any page, then that of the entries read after it.
    revision: Option<u64>,
    stale: bool,
}

impl Listing {
    fn has_document(&self) -> bool {
        self.pages.iter().any(|change| matches!(change, Change::Published(_)))
    }
}

/// The store as this node follows it.
#[derive(Debug)]
pub struct StoreWatcher {
    pace: Pace,
    role: Role,
    state: State,
    listing: Option<Listing>,
    listed: bool,
    // A peer has told all that is in force.
    informed: bool,
    failures: u32,
    failed_at: Option<Time>,
    next_id: u64,
    called_at: Time,
    serves_followers: bool,
}

#[derive(Clone, Debug)]
enum State {
    Idle,
    // Make the call at this time.
    Scheduled(Request, Time),
    Pending(u64, Request),
}

impl StoreWatcher {
    /// Follows nothing yet.
    pub fn new(pace: Pace, role: Role) -> StoreWatcher {
        StoreWatcher {
            pace,
            role,
            state: State::Idle,
            listing: None,
            listed: false,
            informed: false,
            failures: 0,
            failed_at: None,
            next_id: 0,
            called_at: Time::ZERO,
            serves_followers: false,
        }
    }

    /// Whether the store has been read whole.
    pub fn has_listed(&self) -> bool {
        self.listed
    }

    /// Whether a list is under way or about to begin.
    pub fn is_listing(&self) -> bool {
        self.listing.is_some()
    }

    /// Lists the store at the start of the process, unless a peer tells what is in force before.
    pub fn start(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        let at = now + self.reader_wait(STARTUP_WAIT, rng);
        self.schedule_list(at, true);
    }

    /// A peer has told all that is in force: a node that others may read for lists the store only
    /// if none of them does so soon.
    pub fn on_peer_state(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        let first = !std::mem::replace(&mut self.informed, true);
        if first && self.role == Role::FollowerOnly && !self.listed && self.failed_at.is_none() {
            self.schedule_list(now + self.reader_wait(INFORMED_WAIT, rng), true);
        }
    }

    /// Another node reads the store for this one, and both hold the same.
    pub fn follow_reader(&mut self) {
        self.listed = true;
        self.stop();
    }

    /// Lists the store after another node was relied on, unless one reads for this one soon.
    pub fn resume(&mut self, now: Time, rng: &mut Pcg64Mcg) {
        let at = now + self.reader_wait(READER_LOST_WAIT, rng);
        self.schedule_list(at, true);
    }

    /// Makes no more calls; what is under way is not awaited.
    pub fn stop(&mut self) {
        self.state = State::Idle;
        self.listing = None;
    }

    /// Sets how often the store is asked: more often if others rely on this node. A long watch that
    /// is under way is not awaited then: until its end nothing could be said to them.
    pub fn set_serves_followers(&mut self, now: Time, serves_followers: bool) {
        let begins = serves_followers && !self.serves_followers;
        self.serves_followers = serves_followers;
        if let State::Pending(_, Request::Watch { revision, .. }) = self.state {
            if begins {
                self.schedule_watch(revision, now);
            }
        }
    }

    /// Whether the call with this id is the one under way.
    pub fn is_pending(&self, id: u64) -> bool {
        matches!(self.state, State::Pending(waiting, _) if waiting == id)
    }

    /// When a call is due.
    pub fn wake_at(&self) -> Option<Time> {
        match self.state {
            State::Scheduled(_, at) => Some(at),
            State::Idle | State::Pending(..) => None,
        }
    }

    /// The call that is due, if one is.
    pub fn next_call(&mut self, now: Time) -> Option<Call> {
        let State::Scheduled(request, at) = &self.state else {
            return None;
        };
        if *at > now {
            return None;
        }
        let mut request = request.clone();
        let recovering = self.failed_at.is_some_and(|failed| now.since(failed) < RECOVERY_PERIOD);
        if let Request::Watch { wait, .. } = &mut request {
            let longest =
                if self.serves_followers { self.pace.max_watch_wait } else { MAX_WATCH_WAIT };
            *wait = if recovering { longest.min(RECOVERY_WATCH_WAIT) } else { longest };
        }
        self.next_id += 1;
        let id = self.next_id;
        let wait = match &request {
            Request::Watch { wait, .. } => *wait,
            Request::List { .. } | Request::Entries { .. } | Request::Document => Duration::ZERO,
        };
        self.called_at = now;
        self.state = State::Pending(id, request.clone());
        Some(Call { id, request, timeout: wait + RESPONSE_TIMEOUT })
    }

    /// Takes the end of the call under way. Returns what it brought, and whether that is
    /// everything there is.
    pub fn handle_result(
        &mut self,
        now: Time,
        result: Result<Reply, ReadError>,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, bool) {
        let State::Pending(_, request) = std::mem::replace(&mut self.state, State::Idle) else {
            return (Vec::new(), false);
        };
        match (result, request) {
            (Ok(reply), Request::List { .. }) => self.handle_page(now, reply, rng),
            (Ok(reply), Request::Entries { .. }) => self.handle_entries(now, reply),
            (Ok(reply), Request::Document) => self.handle_document(now, reply, rng),
            (Ok(reply), Request::Watch { revision, .. }) => {
                self.handle_changes(now, reply, revision)
            }
            (Err(ReadError::HistoryGone), _) => {
                self.schedule_list(now, false);
                (Vec::new(), false)
            }
            (Err(ReadError::Failed(_)), request) => {
                self.failed_at = Some(now);
                self.state = State::Scheduled(request, now + self.backoff(rng));
                (Vec::new(), false)
            }
        }
    }

    fn handle_changes(&mut self, now: Time, reply: Reply, watched: u64) -> (Vec<Change>, bool) {
        self.failures = 0;
        let quick = now.since(self.called_at) < MIN_EMPTY_WATCH_INTERVAL;
        let pause = match reply.changes.is_empty() {
            false if self.serves_followers => self.pace.batch_delay,
            false => BATCH_DELAY,
            true if quick => MIN_EMPTY_WATCH_INTERVAL,
            true => Duration::ZERO,
        };
        self.schedule_watch(reply.revision.max(watched), now + pause);
        (reply.changes, false)
    }

    fn handle_page(&mut self, now: Time, reply: Reply, rng: &mut Pcg64Mcg) -> (Vec<Change>, bool) {
        self.failures = 0;
        let Some(mut listing) = self.listing.take() else {
            return (Vec::new(), false);
        };
        listing.pages.extend(reply.changes);
        let revision = listing.revision.map_or(reply.revision, |oldest| oldest.min(reply.revision));
        listing.revision = Some(revision);
        let stale = listing.stale;
        if reply.next.is_none() && !stale {
            self.listed = true;
            self.schedule_watch(revision, now);
            return (listing.pages, true);
        }
        self.state = match reply.next {
            Some(after) => State::Scheduled(Request::List { after: Some(after), stale }, now),
            None => {
                let wait = match listing.has_document() {
                    true => Duration::ZERO,
                    false => self.reader_wait(UNPUBLISHED_WAIT, rng),
                };
                State::Scheduled(Request::Entries { revision }, now + wait)
            }
        };
        self.listing = Some(listing);
        (Vec::new(), false)
    }

    fn handle_entries(&mut self, now: Time, reply: Reply) -> (Vec<Change>, bool) {
        self.failures = 0;
        if let Some(listing) = &mut self.listing {
            listing.pages.extend(reply.changes);
            listing.revision = Some(reply.revision);
            self.state = State::Scheduled(Request::Document, now);
        }
        (Vec::new(), false)
    }

    fn handle_document(
        &mut self,
        now: Time,
        reply: Reply,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, bool) {
        self.failures = 0;
        let Some(mut listing) = self.listing.take() else {
            return (Vec::new(), false);
        };
        listing.pages.extend(reply.changes);
        self.listed = true;
        let wait = self.reader_wait(INFORMED_WAIT, rng);
        self.schedule_watch(listing.revision.unwrap_or_default(), now + wait);
        (listing.pages, true)
    }

    fn schedule_list(&mut self, at: Time, stale: bool) {
        self.listing = Some(Listing { pages: Vec::new(), revision: None, stale });
        self.state = State::Scheduled(Request::List { after: None, stale }, at);
    }

    fn schedule_watch(&mut self, revision: u64, at: Time) {
        self.state = State::Scheduled(Request::Watch { revision, wait: MAX_WATCH_WAIT }, at);
    }

    fn reader_wait(&self, wait: Duration, rng: &mut Pcg64Mcg) -> Duration {
        match self.role {
            Role::EligibleReader => Duration::ZERO,
            Role::FollowerOnly => wait * rng.random_range(100..=130) / 100,
        }
    }

    fn backoff(&mut self, rng: &mut Pcg64Mcg) -> Duration {
        let most = match self.role {
            Role::EligibleReader => MAX_BACKOFF,
            Role::FollowerOnly => MAX_FOLLOWER_BACKOFF,
        };
        let longest = (MIN_BACKOFF * (1 << self.failures.min(4))).min(most);
        self.failures += 1;
        longest * rng.random_range(50..=100) / 100
    }
}
