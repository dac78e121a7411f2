//! Timing of store calls, readers and followers, derived from the change bound.

use std::time::Duration;

/// Time to recover from the loss of a reader: another reader lists the store and announces itself,
/// or the follower lists the store.
const FAILOVER_TIME: Duration = Duration::from_millis(1_200);

/// Allowance for delays of the store's response and of the update to followers.
const DELIVERY_MARGIN: Duration = Duration::from_millis(400);

/// Delay between a response with changes and the next watch, so that later changes are read in one
/// call.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// Bounds of [`Pace::reader_timeout`].
const MIN_READER_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_READER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Difference in reading delay between adjacent ranks, several times the latency of a message.
const READING_STEP: Duration = Duration::from_millis(10);

const MAX_READING_DELAY: Duration = Duration::from_millis(500);

/// Delay after which the response to a watch that is due counts as overdue: many times the usual
/// latency of the store.
pub const OVERDUE_DELAY: Duration = Duration::from_millis(250);

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long after the store last responded to its reader a follower relies on that reader.
    pub reader_timeout: Duration,
    /// Longest time from the start of a call whose response is lost to the start of the next.
    pub max_call_interval: Duration,
    /// How long a node that has its state from elsewhere waits for a reader, before jitter.
    pub reader_wait: Duration,
    /// Longest wait of a reader's watch.
    pub max_watch_wait: Duration,
    /// Delay between a response with changes and the next watch.
    pub batch_delay: Duration,
}

impl Pace {
    /// The slowest timing at which a change takes effect within `bound` even if a reader fails just
    /// before it.
    pub fn for_bound(bound: Duration) -> Pace {
        let reader_timeout =
            bound.saturating_sub(FAILOVER_TIME).clamp(MIN_READER_TIMEOUT, MAX_READER_TIMEOUT);
        Pace {
            reader_timeout,
            reader_wait: reader_timeout * 100 / MAX_WAIT_JITTER_PERCENT,
            max_call_interval: bound.saturating_sub(CALL_TIME),
            max_watch_wait: reader_timeout - BATCH_DELAY - DELIVERY_MARGIN,
            batch_delay: BATCH_DELAY,
        }
    }

    /// How long a watch waits that starts this long after the store's last response.
    ///
    /// A lost response can't be told from a store without changes until it is overdue. The next call
    /// then has to bring in time what has changed since the last response.
    pub fn watch_wait(&self, since_response: Duration) -> Duration {
        let left = self.max_call_interval.saturating_sub(OVERDUE_DELAY + since_response);
        left.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
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
