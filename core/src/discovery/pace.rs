//! How often a reader reads the store, and how long its followers rely on it.

use std::time::Duration;

/// What a follower needs after its reader has lapsed: another reader lists the store and announces
/// itself, or the follower lists the store.
const FAILOVER_TIME: Duration = Duration::from_millis(1_200);

/// Delay of an answer of the store, and of the message that follows it, beyond the usual.
const DELIVERY_MARGIN: Duration = Duration::from_millis(400);

/// Pause between an answer that brought changes and the next watch: what comes meanwhile is read
/// in one call.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// Shortest and longest time that a reader may be silent.
const MIN_READER_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_READER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time between the first announcements of two neighbours in the order of a region: several times
/// the way of a message.
const ANNOUNCEMENT_STEP: Duration = Duration::from_millis(10);

/// Longest delay of a first announcement.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

/// Times of readers and followers, derived from the bound that they keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long a reader may be silent.
    pub reader_timeout: Duration,
    /// Longest wait of a reader's watch.
    pub max_watch_wait: Duration,
    /// Pause between an answer that brought changes and the next watch.
    pub batch_delay: Duration,
}

impl Pace {
    /// The slowest pace at which a change is in force within `bound` though a reader fails just
    /// before it.
    pub fn for_bound(bound: Duration) -> Pace {
        let reader_timeout =
            bound.saturating_sub(FAILOVER_TIME).clamp(MIN_READER_TIMEOUT, MAX_READER_TIMEOUT);
        Pace {
            reader_timeout,
            max_watch_wait: reader_timeout - BATCH_DELAY - DELIVERY_MARGIN,
            batch_delay: BATCH_DELAY,
        }
    }

    /// How long the node at this position in the order of its region waits for those before it.
    pub fn announcement_delay(&self, rank: usize) -> Duration {
        (ANNOUNCEMENT_STEP * rank as u32).min(MAX_ANNOUNCEMENT_DELAY)
    }
}
