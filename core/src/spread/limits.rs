//! Intervals, waits and bounds of the spread.

use std::time::Duration;

/// Nodes below one relay in the tree of a zone.
pub const FAN_OUT: usize = 16;

/// Relays at the top of each zone, and readers of each region.
pub const RELAYS_PER_ZONE: usize = 2;

/// Nodes that one node sends notices to; more are turned away to another parent. Above
/// [`FAN_OUT`], since a relay takes the children of one that has died.
pub const MAX_CHILDREN: usize = 64;

/// How often a child asks its parent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The same between two regions, where traffic is paid by volume. A reader hears of versions from
/// the platform too, so that a silent parent costs it no more than [`BODY_READ_DELAY`].
pub const HEARTBEAT_INTERVAL_CROSS_REGION: Duration = Duration::from_secs(20);

/// The same while no list of the own zone is held: it comes with an answer.
pub const HEARTBEAT_INTERVAL_WITHOUT_LIST: Duration = Duration::from_millis(500);

/// Questions to a parent between two that also compare lists.
pub const LIST_COMPARE_EVERY: u32 = 4;

/// How long an answer to a ping or a pull may take.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a child that says nothing is sent notices.
pub const CHILD_LEASE: Duration = Duration::from_secs(8);

/// The same between two regions.
pub const CHILD_LEASE_CROSS_REGION: Duration = Duration::from_secs(80);

/// Parents asked at once by a node that has none.
pub const SEARCH_WIDTH: usize = 4;

/// Shortest pause between two questions to whoever a node without a list hears from.
pub const CONTACT_INTERVAL: Duration = Duration::from_millis(400);

/// Longest pause between two rounds of asking every possible parent.
pub const SEARCH_PAUSE: Duration = Duration::from_millis(800);

/// Random peers of the zone asked in each round by a node that has lost every possible parent.
pub const SEARCH_RANDOM_PEERS: usize = 3;

/// How often a node that is attached to its second choice tries its first one.
pub const PARENT_UPGRADE_INTERVAL: Duration = Duration::from_secs(10);

/// How often a node compares versions with a random peer.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(3);

/// One comparison in this many is with a peer of another zone of the region.
pub const CROSS_ZONE_COMPARE_EVERY: u32 = 4;

/// How long words are gathered before they are passed on together.
pub const REPORT_BATCH_DELAY: Duration = Duration::from_millis(50);

/// How long a changed word is repeated in answers.
pub const REPORT_REPEAT_PERIOD: Duration = Duration::from_secs(10);

/// Most words in one answer.
pub const MAX_REPORTS_PER_PONG: usize = 16;

/// Most words taken from one message.
pub const MAX_REPORTS_ACCEPTED: usize = 4_096;

/// How long a node's own word goes before a later entry in the platform's list, which lags.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// A wake this late means that the process was not running.
pub const CLOCK_GAP: Duration = Duration::from_secs(3);

/// How often a starting node puts off its limit while a peer names a version that it can't get:
/// a minute in all by default.
pub const JOIN_EXTENSIONS: u32 = 11;

/// Peers asked after a start: seeds, likely parents, others of the zone, others elsewhere.
pub const JOIN_SEEDS: usize = 4;
/// Likely parents asked after a start.
pub const JOIN_PARENTS: usize = 2;
/// Random peers of the own zone, and of other zones, asked after a start.
pub const JOIN_RANDOM: usize = 2;

/// Longest wait of a watch on the platform.
pub const WATCH_WAIT: Duration = Duration::from_secs(30);

/// The same of lists. A watch that ends without a change answers with the whole list.
pub const LIST_WAIT: Duration = Duration::from_secs(600);

/// The same of the key `in-force` within the platform's region, where calls cost little. A watch
/// whose answer was lost in an outage is made again that much sooner.
pub const WATCH_WAIT_HOME: Duration = Duration::from_secs(2);

/// How long after the end of its wait a call to the platform is given up.
pub const SOURCE_ANSWER_GRACE: Duration = Duration::from_secs(1);

/// The same for a body or a list, which may be as large as a value can be.
pub const SOURCE_ANSWER_GRACE_LARGE: Duration = Duration::from_secs(2);

/// Shortest pause between two readings of one VM list, which changes often in a storm.
pub const LIST_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest pause between two watches, should the platform answer them at once.
pub const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// First and longest pause of a reader between failed calls to the platform.
pub const READER_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

/// Longest pause of any other node between failed calls to the platform.
pub const ORPHAN_BACKOFF: Duration = Duration::from_secs(60);

/// The same as a multiple of the mean time between its calls, which grows with the fleet. In a
/// small fleet a node that nobody else can help soon tries again.
pub const ORPHAN_BACKOFF_INTERVALS: u32 = 4;

/// Calls that a reading may take at once: the key `in-force`, the body and its parts.
pub const CALLS_PER_READ: u32 = 8;

/// Calls a second that all zone relays together may make when they have lost every reader.
pub const RELAY_CALLS_PER_S: u32 = 250;

/// Calls a second that all other nodes together may make when they have lost every parent. With
/// the relays' and the readers' share this stays under half of the platform's 2,000 a second.
pub const ORPHAN_CALLS_PER_S: u32 = 300;

/// Zones assumed while the list of zones is not known.
pub const ASSUMED_ZONES: usize = 32;

/// How long a reader outside the platform's region waits for a body from the readers there before
/// it reads the body itself; twice as long for the second reader.
pub const BODY_READ_DELAY: Duration = Duration::from_millis(700);

/// Readings of a body that fails its digest before that is reported.
pub const DIGEST_FAILURES_BEFORE_REPORT: u32 = 3;

/// Publications found bad that are remembered, so that they are not read again.
pub const MAX_INVALID_PUBLICATIONS: usize = 16;

/// Neighbours whose last confirmed version is remembered.
pub const MAX_FLOORS: usize = 4_096;

/// VMs whose own word is remembered.
pub const MAX_REPORTED_VMS: usize = 65_536;

/// VMs taken in one list.
pub const MAX_LIST_VMS: usize = 50_000;

/// Questions that wait for an answer at once.
pub const MAX_PENDING_PINGS: usize = 256;

/// Hops of a node that has no path to a reader.
pub const NO_PATH: u8 = u8::MAX;

/// Most hops of a zone relay's parent. A relay hangs below a reader, or in need below another
/// relay that does; two relays that had lost their readers would otherwise hang below each other,
/// each content and neither reading the platform.
pub const RELAY_PARENT_HOPS: u8 = 1;

/// Most hops of a parent that is no upper: one of the zone that has found a way when all uppers
/// are lost. Bounded, so that nodes which hang below each other in a circle let go.
pub const FALLBACK_PARENT_HOPS: u8 = 4;

/// Most hops of a parent in another zone.
pub const CROSS_ZONE_PARENT_HOPS: u8 = 2;

/// How often the node's place is worked out again without a change of lists or words.
pub const TOPOLOGY_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest time to the next wake, so that no mistake in a timer can spin.
pub const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// How long a whole scope may take to come from a peer.
pub const FULL_PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Peers remembered as holders of the version being fetched.
pub const MAX_HOLDERS: usize = 8;

/// How often a new relay asks for what it lacks of the version in force.
pub const SCOPE_RETRY: Duration = Duration::from_secs(2);

/// Lists of VMs held at once.
pub const MAX_LISTS: usize = 256;

/// Random peers that a leaving node tells of it, besides its parent and children.
pub const ANNOUNCE_RANDOM: usize = 3;

/// Zones whose list is read because a note goes there.
pub const MAX_EXTRA_ZONES: usize = 64;

/// Dropped targets whose address is remembered.
pub const MAX_DROPPED: usize = 1_024;

/// Pause between two readings of the list of a zone that notes go to.
pub const EXTRA_ZONE_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// First and longest pause between readings of a body that fails its digest.
pub const DIGEST_FAILURE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));

/// How long a peer that sent wrong content, or nothing, is not taken as parent.
pub const BLOCK_DURATION: Duration = Duration::from_secs(30);

/// The same for one that can't serve the scope now, as a relay that is just becoming one.
pub const BLOCK_DURATION_MISSING: Duration = Duration::from_secs(3);

/// Peers distrusted at once.
pub const MAX_BLOCKED_PEERS: usize = 64;
