//! Intervals, timeouts and size limits for version distribution.

use std::time::Duration;

/// Children of each relay in a zone's tree.
pub const FAN_OUT: usize = 16;

/// Relays of each zone, and readers of each region.
pub const RELAYS_PER_ZONE: usize = 2;

/// Maximum number of children of a node. Larger than [`FAN_OUT`] so that a relay can take over the
/// children of a failed one.
pub const MAX_CHILDREN: usize = 64;

/// Interval between pings to the parent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between pings to a parent in another region, where traffic is billed by volume. Readers
/// also learn of versions from the platform, so a silent parent delays them by at most
/// [`BODY_READ_DELAY`].
pub const HEARTBEAT_INTERVAL_CROSS_REGION: Duration = Duration::from_secs(20);

/// Interval between pings to the parent while the node has no VM list of its zone; answers deliver
/// the list.
pub const HEARTBEAT_INTERVAL_WITHOUT_LIST: Duration = Duration::from_millis(500);

/// One in this many pings to the parent also compares lists.
pub const LIST_COMPARE_EVERY: u32 = 4;

/// Timeout for the answer to a ping or a pull.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a ping after which a child no longer receives notices.
pub const CHILD_LEASE: Duration = Duration::from_secs(8);

/// [`CHILD_LEASE`] for a child in another region.
pub const CHILD_LEASE_CROSS_REGION: Duration = Duration::from_secs(80);

/// Candidates asked concurrently in a search round.
pub const SEARCH_WIDTH: usize = 4;

/// Minimum interval between pings to unknown senders while the node has no VM list.
pub const CONTACT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum pause between search rounds.
pub const SEARCH_PAUSE: Duration = Duration::from_millis(800);

/// Random peers of the zone asked in each search round once all candidates have failed.
pub const SEARCH_RANDOM_PEERS: usize = 3;

/// Interval between attempts to switch to a better parent.
pub const PARENT_UPGRADE_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between version comparisons with a random peer.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(3);

/// One in this many comparisons is with a peer in another zone, preferably of the same region.
pub const CROSS_ZONE_COMPARE_EVERY: u32 = 4;

/// Time during which state reports are collected before they are forwarded in one message.
pub const REPORT_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Time during which a changed state report is repeated in answers.
pub const REPORT_REPEAT_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of state reports in one answer.
pub const MAX_REPORTS_PER_PONG: usize = 16;

/// Maximum number of state reports processed from one message.
pub const MAX_REPORTS_ACCEPTED: usize = 4_096;

/// Time during which a node's own report takes precedence over newer platform lists, which lag
/// behind.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// Delay of a wake-up beyond which the process is assumed to have been paused.
pub const CLOCK_GAP: Duration = Duration::from_secs(3);

/// Maximum number of deadline extensions while a peer reports a version that cannot be fetched: a
/// minute in all with the default settings.
pub const MAX_JOIN_EXTENSIONS: u32 = 11;

/// Seeds asked in a join round.
pub const JOIN_SEEDS: usize = 4;
/// Parent candidates asked in a join round.
pub const JOIN_PARENTS: usize = 2;
/// Random peers asked in a join round, each from the own zone and from another.
pub const JOIN_RANDOM: usize = 2;

/// Maximum wait of a blocking read of the platform. A lost response is indistinguishable from a
/// platform without changes, so this bounds how long a node stays outdated after one; each wait
/// costs a call.
pub const WATCH_WAIT: Duration = Duration::from_secs(30);

/// [`WATCH_WAIT`] for lists, because a read that ends without a change returns the whole list.
pub const LIST_WAIT: Duration = Duration::from_secs(600);

/// [`WATCH_WAIT`] for the key `in-force` within the platform's region, where calls are cheap. A
/// short wait limits the delay if a response is lost in an outage.
pub const WATCH_WAIT_HOME: Duration = Duration::from_secs(2);

/// Time after the end of a call's wait before the call is abandoned.
pub const SOURCE_RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// [`SOURCE_RESPONSE_GRACE`] for bodies and lists, which can be large.
pub const SOURCE_RESPONSE_GRACE_LARGE: Duration = Duration::from_secs(2);

/// Minimum interval between reads of the same list, which may change frequently.
pub const LIST_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum interval between blocking reads, in case the platform responds immediately.
pub const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Initial and maximum backoff of readers after failed calls to the platform.
pub const READER_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

/// Upper limit of the maximum backoff of all other nodes.
pub const ORPHAN_BACKOFF: Duration = Duration::from_secs(60);

/// Maximum backoff of all other nodes as a multiple of their mean call interval, which grows with
/// the fleet. Lets orphans in small fleets retry sooner.
pub const ORPHAN_BACKOFF_INTERVALS: u32 = 4;

/// Maximum number of consecutive calls for one version: the key `in-force`, the body and its parts.
pub const CALLS_PER_READ: u32 = 8;

/// Calls per second by all zone relays together when no reader is reachable.
pub const RELAY_CALLS_PER_S: u32 = 250;

/// Calls per second by all other nodes together when no parent is reachable. Together with readers
/// and relays, this stays below half of the platform's limit of 2,000 per second.
pub const ORPHAN_CALLS_PER_S: u32 = 300;

/// Number of zones assumed until the list of zones is known.
pub const ASSUMED_ZONES: usize = 32;

/// Time that the first reader outside the platform's region waits for a delta before it reads the
/// body itself; the second reader waits twice as long.
pub const BODY_READ_DELAY: Duration = Duration::from_millis(700);

/// Digest mismatches of a body before the failure is reported.
pub const DIGEST_FAILURES_BEFORE_REPORT: u32 = 3;

/// Invalid publications remembered so that they are not read again.
pub const MAX_INVALID_PUBLICATIONS: usize = 16;

/// Peers whose last confirmed version is remembered.
pub const MAX_FLOORS: usize = 4_096;

/// VMs whose state reports are stored.
pub const MAX_REPORTED_VMS: usize = 65_536;

/// Maximum number of VMs in a list received from a peer.
pub const MAX_LIST_VMS: usize = 50_000;

/// Maximum number of unanswered pings.
pub const MAX_PENDING_PINGS: usize = 256;

/// Hop count of a node without a path to a reader.
pub const NO_PATH: u8 = u8::MAX;

/// Maximum hop count of a zone relay's parent. Prevents two relays that have lost their readers
/// from attaching to each other without either reading the platform.
pub const RELAY_PARENT_HOPS: u8 = 1;

/// Maximum hop count of a parent that is not a candidate. The limit breaks cycles of nodes attached
/// to each other.
pub const FALLBACK_PARENT_HOPS: u8 = 4;

/// Maximum hop count of a parent in another zone.
pub const CROSS_ZONE_PARENT_HOPS: u8 = 2;

/// Interval at which the topology is recomputed if no list or report changes.
pub const TOPOLOGY_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum delay before the next wake-up; prevents a busy loop.
pub const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// Timeout for full content from a peer.
pub const FULL_PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of other peers remembered as holders of the version being fetched.
pub const MAX_HOLDERS: usize = 8;

/// Interval between attempts to fetch resources missing from the scope.
pub const SCOPE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of VM lists held.
pub const MAX_LISTS: usize = 256;

/// Random peers notified by a leaving node, besides its parent and children.
pub const ANNOUNCE_RANDOM_PEERS: usize = 3;

/// Maximum number of zones whose lists are read to deliver notes.
pub const MAX_EXTRA_ZONES: usize = 64;

/// Removed targets whose addresses are remembered.
pub const MAX_REMOVED_TARGETS: usize = 1_024;

/// Minimum interval between reads of the list of an extra zone.
pub const EXTRA_ZONE_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Initial and maximum backoff after a body fails its digest check.
pub const DIGEST_FAILURE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));

/// Time during which a peer that sent invalid content, or none, cannot become the parent.
pub const BLOCK_DURATION: Duration = Duration::from_secs(30);

/// [`BLOCK_DURATION`] for a peer that does not hold the requested scope yet, such as a new relay.
pub const BLOCK_DURATION_MISSING: Duration = Duration::from_secs(3);

/// Maximum number of blocked peers.
pub const MAX_BLOCKED_PEERS: usize = 64;
