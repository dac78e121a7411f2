//! When the store is listed, watched, and tried again.

use super::port::{Call, Change, ReadError, Reply, Request};
use crate::Time;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Longest wait of a watch. A store whose answer to a watch was lost looks like one without
/// changes, so this bounds how long a node may stay behind after such a loss; each wait costs a
/// call.
pub const WATCH_WAIT: Duration = Duration::from_millis(3_500);

/// Longest wait of a watch within [`SETTLING`] of a failure.
///
/// Guards against a store that has dropped its history and taken a watch just before: it says so
/// only when the wait is over, and the node misses what changed until then.
const SETTLING_WAIT: Duration = Duration::from_millis(700);
const SETTLING: Duration = Duration::from_secs(2);

/// How long after its wait a call is given up: hundreds of times the store's usual 4 ms, so that
/// one that is slow, or behind a link that is full, is still heard.
pub const ANSWER_WAIT: Duration = Duration::from_millis(1_500);

/// Pause between an answer that brought changes and the next watch. Versions come as often as
/// every 60 ms, and each is read whole, over links that are paid by volume; targets come and go
/// in groups. What comes within the pause is read at once after it, within the 2.5 s that a change
/// may take.
const PAUSE: Duration = Duration::from_millis(700);

/// The same two for a node that reads for others: they rely on hearing from it.
const READER_WAIT: Duration = Duration::from_millis(500);
const READER_PAUSE: Duration = Duration::from_millis(500);

/// Shortest and longest pause after a failed call; drawn at random between half and the whole.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Shortest time between two watches that bring nothing: guards against a store that answers
/// every watch at once, which would cost a call each round trip.
const EMPTY_PAUSE: Duration = Duration::from_millis(300);

/// The store as this node follows it.
#[derive(Debug)]
pub struct Follow {
    state: State,
    // Items of the pages that have come so far.
    pages: Vec<Change>,
    // Revision before the first page: what changes while the pages are read is watched after.
    first_revision: Option<u64>,
    listed: bool,
    failures: u32,
    failed_at: Option<Time>,
    next_id: u64,
    watch_since: Time,
    for_others: bool,
}

#[derive(Clone, Debug)]
enum State {
    Off,
    // Make the call at this time.
    Due(Request, Time),
    Waiting(u64, Request),
}

impl Follow {
    /// Follows nothing yet.
    pub fn new() -> Follow {
        Follow {
            state: State::Off,
            pages: Vec::new(),
            first_revision: None,
            listed: false,
            failures: 0,
            failed_at: None,
            next_id: 0,
            watch_since: Time::ZERO,
            for_others: false,
        }
    }

    /// Whether the store has been read whole.
    pub fn has_listed(&self) -> bool {
        self.listed
    }

    /// Starts to list.
    pub fn start(&mut self, now: Time) {
        self.list(now);
    }

    /// Makes no more calls; what is under way is not awaited.
    pub fn stop(&mut self) {
        self.state = State::Off;
    }

    /// Sets how often the store is asked: more often if others rely on this node. A long watch that
    /// is under way is not awaited then: until its end nothing could be said to them.
    pub fn read_for_others(&mut self, now: Time, for_others: bool) {
        let begins = for_others && !self.for_others;
        self.for_others = for_others;
        if let State::Waiting(_, Request::Watch { revision, .. }) = self.state {
            if begins {
                self.watch(revision, now);
            }
        }
    }

    /// Whether the call with this id is the one under way.
    pub fn awaits(&self, id: u64) -> bool {
        matches!(self.state, State::Waiting(waiting, _) if waiting == id)
    }

    /// When a call is due.
    pub fn wake_at(&self) -> Option<Time> {
        match self.state {
            State::Due(_, at) => Some(at),
            State::Off | State::Waiting(..) => None,
        }
    }

    /// The call that is due, if one is.
    pub fn next_call(&mut self, now: Time) -> Option<Call> {
        let State::Due(request, at) = &self.state else {
            return None;
        };
        if *at > now {
            return None;
        }
        let mut request = request.clone();
        let settling = self.failed_at.is_some_and(|failed| now.since(failed) < SETTLING);
        if let Request::Watch { wait, .. } = &mut request {
            *wait = match (self.for_others, settling) {
                (true, _) => READER_WAIT,
                (false, true) => SETTLING_WAIT,
                (false, false) => WATCH_WAIT,
            };
        }
        self.next_id += 1;
        let id = self.next_id;
        let wait = match &request {
            Request::Watch { wait, .. } => *wait,
            Request::List { .. } => Duration::ZERO,
        };
        self.watch_since = now;
        self.state = State::Waiting(id, request.clone());
        Some(Call { id, request, timeout: wait + ANSWER_WAIT })
    }

    /// Takes the end of the call under way. Returns what it brought, and whether that is
    /// everything there is.
    pub fn take(
        &mut self,
        now: Time,
        result: Result<Reply, ReadError>,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, bool) {
        let State::Waiting(_, request) = std::mem::replace(&mut self.state, State::Off) else {
            return (Vec::new(), false);
        };
        match (result, request) {
            (Ok(reply), Request::List { .. }) => self.take_page(now, reply),
            (Ok(reply), Request::Watch { revision, .. }) => {
                self.failures = 0;
                let quick = now.since(self.watch_since) < EMPTY_PAUSE;
                let pause = match reply.changes.is_empty() {
                    false if self.for_others => READER_PAUSE,
                    false => PAUSE,
                    true if quick => EMPTY_PAUSE,
                    true => Duration::ZERO,
                };
                self.watch(reply.revision.max(revision), now + pause);
                (reply.changes, false)
            }
            (Err(ReadError::HistoryGone), _) => {
                self.list(now);
                (Vec::new(), false)
            }
            (Err(ReadError::Failed(_)), request) => {
                self.failed_at = Some(now);
                self.state = State::Due(request, now + self.backoff(rng));
                (Vec::new(), false)
            }
        }
    }

    fn take_page(&mut self, now: Time, reply: Reply) -> (Vec<Change>, bool) {
        self.failures = 0;
        self.pages.extend(reply.changes);
        let revision = *self.first_revision.get_or_insert(reply.revision);
        if let Some(after) = reply.next {
            self.state = State::Due(Request::List { after: Some(after) }, now);
            return (Vec::new(), false);
        }
        self.listed = true;
        self.watch(revision, now);
        (std::mem::take(&mut self.pages), true)
    }

    fn list(&mut self, now: Time) {
        self.pages.clear();
        self.first_revision = None;
        self.state = State::Due(Request::List { after: None }, now);
    }

    fn watch(&mut self, revision: u64, at: Time) {
        self.state = State::Due(Request::Watch { revision, wait: WATCH_WAIT }, at);
    }

    fn backoff(&mut self, rng: &mut Pcg64Mcg) -> Duration {
        let longest = (MIN_BACKOFF * (1 << self.failures.min(4))).min(MAX_BACKOFF);
        self.failures += 1;
        longest * rng.random_range(50..=100) / 100
    }
}
