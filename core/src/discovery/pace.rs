//! Timing of store calls, readers and followers, derived from the change bound and from the time that
//! the current document takes over a narrow link.

use std::time::Duration;

/// Least time to recover from the loss of a reader: another reader lists the store and announces
/// itself, or the follower lists the store.
const FAILOVER_TIME: Duration = Duration::from_millis(1_200);

/// How long before it gives its reader up a follower asks the store as well.
const CHECK_LEAD: Duration = Duration::from_millis(250);

/// Allowance for delays of the store's response and of the update to followers.
const DELIVERY_MARGIN: Duration = Duration::from_millis(400);

/// Delay between a response with changes and the next watch, so that later changes are read in one
/// call.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// The same for a node that has no followers. Versions can follow each other every 60 ms, and each
/// is read as a whole, over links that are billed by volume.
const OWN_BATCH_DELAY: Duration = Duration::from_millis(700);
const MIN_OWN_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Bounds of [`Pace::reader_timeout`]: without regard to the document, and the shortest for any.
const MIN_READER_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_READER_TIMEOUT: Duration = Duration::from_millis(4_000);
const MIN_LARGE_READER_TIMEOUT: Duration = Duration::from_millis(800);

/// Bounds of [`Pace::lost_wait`].
const MIN_LOST_WAIT: Duration = Duration::from_millis(250);
const MAX_LOST_WAIT: Duration = Duration::from_millis(600);

/// Time to list the targets, to read the entries changed since, and to apply what was read, beside
/// the transfer of the document.
const READ_TIME: Duration = Duration::from_millis(400);

/// A document is assumed to get one part in this many of a link, beside calls.
const LINK_CONTENTION: u32 = 4;

/// Bandwidth assumed for the narrowest link of any follower, in kbit/s.
const NARROW_LINK_KBPS: u64 = 10_000;

/// Difference in reading delay between adjacent ranks, several times the latency of a message.
const READING_STEP: Duration = Duration::from_millis(10);

const MAX_READING_DELAY: Duration = Duration::from_millis(500);

/// Delay after which the response to a watch that is due counts as overdue: many times the usual
/// latency of the store.
const OVERDUE_DELAY: Duration = Duration::from_millis(250);

/// Time for the call after a lost one to be answered and its changes to be applied.
const CALL_TIME: Duration = Duration::from_millis(250);

/// Time allowed for the response to a read: hundreds of times the usual 4 ms, to leave room for a
/// slow store or a congested link.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bounds of [`Pace::watch_wait`]. Stores accept no longer wait.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(200);
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Waits for a reader are extended at random to at most this share, so that nodes which start
/// together do not call the store together.
pub const MAX_WAIT_JITTER_PERCENT: u32 = 130;

/// [`Pace::check_age`] is extended at random to at most this share, so that the followers of a reader
/// do not call the store together.
pub const MAX_CHECK_JITTER_PERCENT: u32 = 115;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long after the store last responded to its reader a follower relies on that reader.
    pub reader_timeout: Duration,
    /// Age of what a follower knows at which it asks the store itself, before jitter: its reader is
    /// late by then, and time is left to read the document and to repeat a call. A large document is
    /// left to the reader until that counts as lost.
    pub check_age: Duration,
    /// Age of what a node knows by which it has to call the store, for a response within the bound.
    pub latest_call_age: Duration,
    /// How long a node that has lost its reader waits for another one, before jitter.
    pub lost_wait: Duration,
    /// Longest time from the start of a call whose response is lost to the start of the next.
    pub max_call_interval: Duration,
    /// How long a node that has its state from elsewhere waits for a reader, before jitter.
    pub reader_wait: Duration,
    /// Longest wait of a reader's watch, from the last response on.
    pub max_watch_wait: Duration,
    /// Delay between a response with changes and the next watch of a reader.
    pub batch_delay: Duration,
    /// The same for a node without followers.
    pub own_batch_delay: Duration,
    /// Time that the document takes over this node's link beside calls.
    pub document_time: Duration,
}

impl Pace {
    /// The slowest timing at which a change takes effect within `bound` even if a reader fails just
    /// before it.
    pub fn for_bound(bound: Duration) -> Pace {
        Pace::for_document(bound, 0, NARROW_LINK_KBPS)
    }

    /// The same for a document of `document_bytes` as transferred, and a link of `link_kbps`.
    pub fn for_document(bound: Duration, document_bytes: u64, link_kbps: u64) -> Pace {
        let document_time = transfer_time(document_bytes, link_kbps);
        let reader_timeout = reader_timeout(bound, document_time);
        // Followers with narrower links than this node's rely on it for a shorter time.
        let narrow_timeout = reader_timeout
            .min(self::reader_timeout(bound, transfer_time(document_bytes, NARROW_LINK_KBPS)));
        let batch_delay = BATCH_DELAY.min(narrow_timeout * 2 / 5);
        let delivery_margin = DELIVERY_MARGIN.min(narrow_timeout / 3);
        let may_check = narrow_timeout >= MIN_READER_TIMEOUT;
        let check_age = if may_check { narrow_timeout - CHECK_LEAD } else { reader_timeout };
        let left = bound.saturating_sub(reader_timeout + READ_TIME + document_time);
        let latest_call_age = bound.saturating_sub(READ_TIME + document_time);
        Pace {
            reader_timeout,
            check_age,
            latest_call_age,
            lost_wait: (left * 100 / MAX_WAIT_JITTER_PERCENT).clamp(MIN_LOST_WAIT, MAX_LOST_WAIT),
            reader_wait: reader_timeout * 100 / MAX_WAIT_JITTER_PERCENT,
            // A lost response is rare; the link is assumed to be free then.
            max_call_interval: bound.saturating_sub(CALL_TIME + document_time / LINK_CONTENTION),
            max_watch_wait: check_age.min(narrow_timeout) - delivery_margin,
            batch_delay,
            own_batch_delay: latest_call_age.clamp(MIN_OWN_BATCH_DELAY, OWN_BATCH_DELAY),
            document_time,
        }
    }

    /// How long a watch waits that starts this long after the store's last response.
    ///
    /// A lost response can't be told from a store without changes until it is overdue. The next call
    /// then has to bring in time what has changed since the last response.
    pub fn watch_wait(&self, since_response: Duration) -> Duration {
        let left = self.max_call_interval.saturating_sub(self.overdue_delay() + since_response);
        left.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
    }

    /// Delay after which the response to a watch that is due counts as overdue, with time for a
    /// document over a free link.
    pub fn overdue_delay(&self) -> Duration {
        OVERDUE_DELAY + self.document_time / LINK_CONTENTION
    }

    /// Longest time without an input. A longer gap means that the process was paused, since every
    /// call times out or is repeated sooner.
    pub fn max_silence(&self) -> Duration {
        self.max_call_interval + 2 * RESPONSE_TIMEOUT
    }

    /// How long the node with this rank waits before it reads the store for its region, so that
    /// nodes that rank before it announce themselves first.
    pub fn reading_delay(&self, rank: usize) -> Duration {
        (READING_STEP * rank as u32).min(MAX_READING_DELAY)
    }
}

/// Time that a document takes over a link beside calls.
fn transfer_time(document_bytes: u64, link_kbps: u64) -> Duration {
    Duration::from_millis(document_bytes * 8 / link_kbps.max(1)) * LINK_CONTENTION
}

/// How long a follower relies on its reader, so that it has time left to read the document.
fn reader_timeout(bound: Duration, document_time: Duration) -> Duration {
    let usual = bound.saturating_sub(FAILOVER_TIME).clamp(MIN_READER_TIMEOUT, MAX_READER_TIMEOUT);
    let lost_wait = MIN_LOST_WAIT * MAX_WAIT_JITTER_PERCENT / 100;
    let left = bound.saturating_sub(lost_wait + READ_TIME + document_time);
    left.clamp(MIN_LARGE_READER_TIMEOUT, usual)
}
