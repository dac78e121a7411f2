//! One reader per region reads the store for the other nodes.
//!
//! If every node read the store itself, the number of calls would grow with the fleet, and each
//! version would be transferred in full over every VM's link. Instead, a *reader* reads the store
//! and sends changes to its *followers*. Readers are not elected: nodes with a sufficiently fast
//! link that read the store announce themselves to the nodes of their region, those that rank first
//! in a shared order earliest, and a node without a reader follows the first one that it hears
//! from.
//!
//! A reader sends messages only after the store has responded to it. A follower that has received
//! none for [`Pace::check_age`] asks the store as well, and after [`Pace::reader_timeout`] relies on the
//! store alone until another reader announces itself, whatever the cause. Each
//! message carries a digest of the reader's full state; a follower with a different state requests a
//! delta.

use super::announce::{Announcements, region_rank};
use super::listing::ListedFleet;
use super::pace::Pace;
use super::port::{Change, Config, Publication, TargetEntry};
use super::view::{View, delta_between};
use crate::Time;
use crate::place::Link;
use crate::spread::PeerMsg;
use crate::spread::message::{Base, Delta, Pull, StoreMark, Summary};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Minimum number of targets for relaying. In smaller fleets every node reads the store itself: the
/// calls cost little, and there is no reader to fail.
const MIN_FLEET_TARGETS: usize = 32;

/// Minimum bandwidth of a reader's link in kbit/s. It must carry the largest versions several times
/// a second.
const MIN_READER_KBPS: u64 = 100_000;

/// Longest time for which sending one change to all followers may saturate a reader's link.
const MAX_LINK_BUSY: Duration = Duration::from_millis(500);

/// Assumed compression ratio of resources in transit.
const COMPRESSION_RATIO: u64 = 8;

/// Deltas up to this size are sent over any link, in uncompressed bytes.
const MIN_DELTA_LIMIT: u64 = 65_536;

/// Largest delta that fits into one message, in uncompressed bytes.
const MAX_DELTA_LIMIT: u64 = 4_194_304;

/// Interval at which a follower renews its lease, and duration of the lease.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(2);
const FOLLOWER_LEASE: Duration = Duration::from_secs(5);

/// How long a node reads the store at a reader's pace after an announcement while it has no
/// followers.
const FOLLOWER_WAIT: Duration = Duration::from_secs(3);

/// How long to wait for a candidate reader before another announcement is accepted.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a standby reader is remembered.
const STANDBY_RETENTION: Duration = Duration::from_millis(1_500);

/// Time given to a competing reader to follow this one. If it still announces itself after that,
/// and before twice that time, the lower-ranked of the two yields. Twice this must exceed the
/// interval between two announcements.
const COMPETITOR_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum interval between requests for a delta.
const RESYNC_INTERVAL: Duration = Duration::from_millis(150);

/// How long a delta that contains all targets, or a full state, is sent again. The age of the
/// store's response that it states is too low by as much.
pub const CACHED_DELTA_TTL: Duration = Duration::from_millis(100);

/// Number of versions kept as bases for deltas.
const MAX_HISTORY: usize = 4;

/// The reader that this node follows.
#[derive(Debug)]
struct Reader {
    address: SocketAddr,
    link: Link,
    store_responded_at: Time,
    renew_at: Time,
    // Revision of the store up to which this node has all changes; 0 if unknown.
    known_revision: u64,
    // Extends `Pace::check_age`.
    check_jitter_percent: u32,
    // The store has been asked since the reader was late.
    checked: bool,
}

impl Reader {
    /// Whether the store is to be asked once the reader is late.
    fn awaits_check(&self) -> bool {
        !self.checked && self.known_revision > 0
    }

    /// When the reader counts as late.
    fn check_at(&self, pace: &Pace) -> Time {
        self.store_responded_at + pace.check_age * self.check_jitter_percent / 100
    }
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    link: Link,
    until: Time,
}

/// A reader that has announced itself.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddr,
    link: Link,
    since: Time,
}

/// Delta that contains all targets.
#[derive(Debug)]
struct CachedDelta {
    base_version: u64,
    built_at: Time,
    delta: Arc<Delta>,
}

/// Role of this node in its region, and its relations to other nodes.
#[derive(Debug)]
pub struct Relay {
    pace: Pace,
    reader: Option<Reader>,
    candidate: Option<Candidate>,
    // Most recent reader to announce itself while another one was followed or pending.
    standby: Option<Candidate>,
    resync_at: Time,
    followers: IndexMap<SocketAddr, Follower>,
    announcements: Announcements,
    // Competing reader, and when its announcement was first received.
    competitor: Option<(SocketAddr, Time)>,
    followers_expected_until: Time,
    // The process is about to stop.
    leaving: bool,
    store_responded_at: Option<Time>,
    // Revision of the store up to which this node knew all targets then.
    store_revision: u64,
    last_sent: Option<Arc<View>>,
    cached_delta: Option<CachedDelta>,
    history: VecDeque<Arc<Publication>>,
}

/// Message to send to a peer.
#[derive(Debug)]
pub struct Outgoing {
    pub to: SocketAddr,
    pub link: Link,
    pub msg: PeerMsg,
}

impl Relay {
    pub fn new(pace: Pace) -> Relay {
        Relay {
            pace,
            reader: None,
            candidate: None,
            standby: None,
            resync_at: Time::ZERO,
            followers: IndexMap::new(),
            announcements: Announcements::new(),
            competitor: None,
            followers_expected_until: Time::ZERO,
            leaving: false,
            store_responded_at: None,
            store_revision: 0,
            last_sent: None,
            cached_delta: None,
            history: VecDeque::new(),
        }
    }

    /// Applies the pace for a new version.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// Whether this node follows a reader.
    pub fn is_follower(&self) -> bool {
        self.reader.is_some()
    }

    /// Whether this node has or expects followers, and must read the store at a reader's pace.
    pub fn serves_followers(&self, now: Time) -> bool {
        !self.followers.is_empty() || now < self.followers_expected_until
    }

    /// When the store last responded to this node or, if it follows one, to its reader.
    pub fn store_responded_at(&self) -> Option<Time> {
        let reader = self.reader.as_ref().map(|reader| reader.store_responded_at);
        reader.max(self.store_responded_at)
    }

    /// Records that the store has responded. All targets are known up to `revision`.
    pub fn on_store_success(&mut self, now: Time, revision: u64) {
        self.store_responded_at = Some(now);
        self.store_revision = revision;
        self.set_known_revision(revision);
    }

    /// Keeps a version as a base for deltas.
    pub fn record_version(&mut self, published: &Arc<Publication>) {
        if self.history.back().is_some_and(|newest| newest.version == published.version) {
            return;
        }
        self.history.push_back(published.clone());
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// When [`Relay::renew_lease`], [`Relay::announce`] or [`Relay::reader_timed_out`] is next due.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.reader {
            Some(reader) => {
                let timeout = reader.store_responded_at + self.pace.reader_timeout;
                let check =
                    if reader.awaits_check() { reader.check_at(&self.pace) } else { timeout };
                Some(reader.renew_at.min(timeout).min(check))
            }
            None => self.announcements.wake_at(),
        }
    }

    /// Whether this node follows a reader or is about to.
    pub fn has_upstream(&self) -> bool {
        self.reader.is_some() || self.candidate.is_some()
    }

    pub fn reader_timed_out(&self, now: Time) -> bool {
        self.reader
            .as_ref()
            .is_some_and(|reader| now >= reader.store_responded_at + self.pace.reader_timeout)
    }

    /// Returns the revision from which on to ask the store for changes, once when the reader is late.
    pub fn take_overdue_check(&mut self, now: Time) -> Option<u64> {
        let reader = self.reader.as_mut()?;
        if !reader.awaits_check() || now < reader.check_at(&self.pace) {
            return None;
        }
        reader.checked = true;
        Some(reader.known_revision)
    }

    /// Revision of the store up to which this node, which follows a reader, has all changes.
    pub fn known_revision(&self) -> Option<u64> {
        self.reader.as_ref().map(|reader| reader.known_revision).filter(|revision| *revision > 0)
    }

    /// Records that this node has all changes up to `revision`.
    pub fn set_known_revision(&mut self, revision: u64) {
        if let Some(reader) = &mut self.reader {
            reader.known_revision = reader.known_revision.max(revision);
        }
    }

    /// Whether `from` is the reader of this node, or the candidate reader if it has none.
    pub fn is_upstream(&self, from: SocketAddr) -> bool {
        let reader = self.reader.as_ref().map(|reader| reader.address);
        reader.or(self.candidate.map(|candidate| candidate.address)) == Some(from)
    }

    /// Whether to act on a notice as a follower. A fresh notice from another reader of the region
    /// may make it the candidate.
    pub fn accept_notice(
        &mut self,
        now: Time,
        cfg: &Config,
        (from, link): (SocketAddr, Link),
        summary: &Summary,
    ) -> bool {
        let is_reader = self.fresh_age(summary).is_some();
        if self.is_upstream(from) || link == Link::CrossRegion || !is_reader {
            return self.is_upstream(from) && is_reader;
        }
        let awaits_candidate =
            self.candidate.is_some_and(|candidate| now.since(candidate.since) < CANDIDATE_TIMEOUT);
        if self.reader.is_some() || awaits_candidate {
            self.standby = Some(Candidate { address: from, link, since: now });
            return false;
        }
        if !self.followers.is_empty() && !self.should_yield_to(now, cfg, from, link) {
            return false;
        }
        self.candidate = Some(Candidate { address: from, link, since: now });
        true
    }

    /// Whether to yield to another reader of the region.
    ///
    /// A node that has just started follows this reader once it receives its announcement. One that
    /// continues to announce itself has followers of its own; the lower-ranked of the two then
    /// yields.
    fn should_yield_to(&mut self, now: Time, cfg: &Config, from: SocketAddr, link: Link) -> bool {
        match self.competitor {
            Some((competitor, since))
                if competitor == from && now.since(since) < COMPETITOR_TIMEOUT =>
            {
                false
            }
            Some((competitor, since))
                if competitor == from && now.since(since) < 2 * COMPETITOR_TIMEOUT =>
            {
                cfg.ranks_before(&from)
            }
            _ => {
                self.competitor = Some((from, now));
                self.announcements.queue_reply(now, from, link);
                false
            }
        }
    }

    /// Returns the lease renewal to send to the reader, if it is due.
    pub fn renew_lease(&mut self, now: Time, view: &View) -> Option<Outgoing> {
        let reader = self.reader.as_mut().filter(|reader| now >= reader.renew_at)?;
        reader.renew_at = now + LEASE_RENEW_INTERVAL;
        Some(Outgoing { to: reader.address, link: reader.link, msg: delta_request(view) })
    }

    /// Returns the announcements to send now to nodes of the region that do not follow this one. A
    /// node that lists the store announces itself afterwards, in the order of the region.
    pub fn announce(
        &mut self,
        now: Time,
        cfg: &Config,
        view: &Arc<View>,
        is_listing: bool,
    ) -> Vec<Outgoing> {
        let below_threshold =
            view.targets.values().map(Vec::len).sum::<usize>() < MIN_FLEET_TARGETS;
        let may_serve = self.may_read(cfg) && !self.is_follower() && !is_listing;
        if below_threshold || !may_serve || !self.is_fresh(now) {
            self.announcements.stop();
            return Vec::new();
        }
        let others = self
            .announcements
            .next_round(now, cfg, view, |address| self.followers.contains_key(&address));
        if !others.is_empty() {
            self.followers_expected_until = now + FOLLOWER_WAIT;
            self.last_sent.get_or_insert_with(|| view.clone());
        }
        let mark = self.store_mark(now);
        let to_message = |(to, link)| Outgoing { to, link, msg: notice(view, mark) };
        others.into_iter().map(to_message).collect()
    }

    /// Records that this node and the sender of the summary hold the same state. Returns whether
    /// this node starts to follow the candidate.
    pub fn mark_in_sync(
        &mut self,
        now: Time,
        summary: &Summary,
        check_jitter_percent: u32,
    ) -> bool {
        let Some(store_responded_at) = self.fresh_age(summary).map(|age| now - age) else {
            return false;
        };
        if let Some(reader) = &mut self.reader {
            reader.checked &= store_responded_at <= reader.store_responded_at;
            reader.store_responded_at = reader.store_responded_at.max(store_responded_at);
            return false;
        }
        let Some(Candidate { address, link, .. }) = self.candidate.take() else {
            return false;
        };
        self.reader = Some(Reader {
            address,
            link,
            store_responded_at,
            renew_at: now,
            known_revision: 0,
            check_jitter_percent,
            checked: false,
        });
        self.announcements.stop();
        self.followers_expected_until = now;
        true
    }

    /// Removes all followers and tells them to find another reader.
    pub fn dismiss_followers(&mut self) -> Vec<Outgoing> {
        let to_message = |(to, follower): (SocketAddr, Follower)| Outgoing {
            to,
            link: follower.link,
            msg: PeerMsg::Missing(0),
        };
        std::mem::take(&mut self.followers).into_iter().map(to_message).collect()
    }

    /// Stops serving followers before the process stops.
    pub fn stop_serving(&mut self) -> Vec<Outgoing> {
        self.leaving = true;
        self.followers_expected_until = Time::ZERO;
        self.dismiss_followers()
    }

    /// Returns a rate-limited resync request to the reader or candidate.
    pub fn resync(&mut self, now: Time, msg: PeerMsg) -> Option<Outgoing> {
        if now < self.resync_at {
            return None;
        }
        self.resync_at = now + RESYNC_INTERVAL;
        let reader = self.reader.as_ref().map(|reader| (reader.address, reader.link));
        let (to, link) =
            reader.or(self.candidate.map(|candidate| (candidate.address, candidate.link)))?;
        Some(Outgoing { to, link, msg })
    }

    /// Lets the next resync request be sent at once.
    pub fn allow_resync(&mut self, now: Time) {
        self.resync_at = now;
    }

    /// Drops the reader and the candidate. Returns whether a reader was followed.
    pub fn drop_reader(&mut self) -> bool {
        self.candidate = None;
        self.reader.take().is_some()
    }

    /// Makes the standby reader the candidate if its announcement is recent. Returns whether there
    /// is one.
    pub fn switch_to_standby(&mut self, now: Time) -> bool {
        let recent = |standby: &Candidate| now.since(standby.since) < STANDBY_RETENTION;
        self.candidate =
            self.standby.take().filter(recent).map(|standby| Candidate { since: now, ..standby });
        self.resync_at = now;
        self.candidate.is_some()
    }

    /// Answers a request for a delta from `base`, and registers the sender as a follower.
    pub fn handle_pull(
        &mut self,
        now: Time,
        cfg: &Config,
        from: (SocketAddr, Link),
        base: &Base,
        view: Option<&Arc<View>>,
    ) -> PeerMsg {
        let not_serving = PeerMsg::Missing(0);
        if !self.may_read(cfg) || self.is_follower() {
            return not_serving;
        }
        let Some(view) = view.filter(|_| self.is_fresh(now)) else {
            return not_serving;
        };
        // Two nodes that send requests to each other must not follow each other.
        if self.candidate.is_some_and(|candidate| candidate.address == from.0) {
            if cfg.ranks_before(&from.0) {
                return not_serving;
            }
            self.candidate = None;
        }
        let follower = Follower { link: from.1, until: now + FOLLOWER_LEASE };
        self.followers.insert(from.0, follower);
        self.last_sent.get_or_insert_with(|| view.clone());
        if base.digest == view.digest {
            return notice(view, self.store_mark(now));
        }
        let delta = self.delta_for(now, cfg, base, view);
        delta.map_or(PeerMsg::Missing(view.published.version), PeerMsg::Delta)
    }

    /// Returns the delta from `base`, or `None` if it can't be made or is too large.
    ///
    /// A delta from targets that this node does not know contains all targets, and is the same for
    /// all such bases of a version. It is built and encoded once for the nodes that start together.
    fn delta_for(
        &mut self,
        now: Time,
        cfg: &Config,
        base: &Base,
        view: &Arc<View>,
    ) -> Option<Arc<Delta>> {
        let max_size = self.max_delta_size(cfg);
        let base_version = self.find_version(base.version);
        let mark = self.store_mark(now);
        if let Some(base_view) =
            self.last_sent.as_ref().filter(|last_sent| last_sent.digest == base.digest)
        {
            return delta_between(view, base, base_version, Some(base_view), max_size, mark)
                .map(Arc::new);
        }
        let is_current = |cached: &&CachedDelta| {
            cached.delta.digest == view.digest
                && cached.base_version == base.version
                && now.since(cached.built_at) < CACHED_DELTA_TTL
        };
        if let Some(cached) = self.cached_delta.as_ref().filter(is_current) {
            return Some(cached.delta.clone());
        }
        let unknown = Base { version: base.version, digest: view.digest };
        let delta = Arc::new(delta_between(view, &unknown, base_version, None, max_size, mark)?);
        let cached =
            CachedDelta { base_version: base.version, built_at: now, delta: delta.clone() };
        self.cached_delta = Some(cached);
        Some(delta)
    }

    /// Returns the updates to send to followers after the store has responded.
    pub fn update_followers(&mut self, now: Time, cfg: &Config, view: &Arc<View>) -> Vec<Outgoing> {
        self.followers.retain(|_, follower| follower.until > now);
        let last_sent = self.last_sent.replace(view.clone());
        if self.followers.is_empty() {
            return Vec::new();
        }
        let max_size = self.max_delta_size(cfg);
        let mark = self.store_mark(now);
        let changed =
            last_sent.filter(|last_sent| last_sent.digest != view.digest).and_then(|last_sent| {
                let base = Base { version: last_sent.published.version, digest: last_sent.digest };
                delta_between(
                    view,
                    &base,
                    self.find_version(base.version),
                    Some(&last_sent),
                    max_size,
                    mark,
                )
            });
        let msg =
            changed.map_or_else(|| notice(view, mark), |delta| PeerMsg::Delta(Arc::new(delta)));
        let to_message = |(to, follower): (&SocketAddr, &Follower)| Outgoing {
            to: *to,
            link: follower.link,
            msg: msg.clone(),
        };
        self.followers.iter().map(to_message).collect()
    }

    /// Evaluates the items of a stale list.
    pub fn evaluate_list(&self, cfg: &Config, items: &[Change]) -> ListedFleet {
        let entries: Vec<&TargetEntry> = items
            .iter()
            .filter_map(|item| match item {
                Change::Target { entry, .. } => entry.as_ref(),
                Change::Published(_) | Change::Evacuation { .. } | Change::Removed { .. } => None,
            })
            .collect();
        let is_own = |entry: &&TargetEntry| entry.address.ip() == cfg.address.ip();
        let has_own_target = entries.iter().any(is_own);
        let has_readers = entries.len() >= MIN_FLEET_TARGETS;
        let reading_delay =
            has_readers.then(|| self.pace.reading_delay(region_rank(cfg, &entries)));
        ListedFleet { has_own_target, targets: entries.len(), reading_delay }
    }

    /// Whether this node may act as a reader: it is not stopping, and its link has the bandwidth.
    pub fn may_read(&self, cfg: &Config) -> bool {
        !self.leaving && cfg.link_kbps.is_none_or(|kbps| kbps >= MIN_READER_KBPS)
    }

    fn store_mark(&self, now: Time) -> StoreMark {
        StoreMark { age: self.store_age(now), revision: self.store_revision }
    }

    fn store_age(&self, now: Time) -> Option<Duration> {
        self.store_responded_at.map(|store_responded_at| now.since(store_responded_at))
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.store_age(now).is_some_and(|age| age < self.pace.reader_timeout)
    }

    /// Age of the store's last response to the sender, if recent enough to rely on.
    fn fresh_age(&self, summary: &Summary) -> Option<Duration> {
        let age = Duration::from_millis(summary.store_age_ms?.into());
        Some(age).filter(|age| *age < self.pace.reader_timeout)
    }

    /// Maximum uncompressed size of a delta that can be sent to all followers at once.
    pub fn max_delta_size(&self, cfg: &Config) -> usize {
        let link_bytes = cfg.link_bandwidth() * MAX_LINK_BUSY.as_millis() as u64 / 8;
        let each = link_bytes * COMPRESSION_RATIO / self.followers.len().max(1) as u64;
        each.clamp(MIN_DELTA_LIMIT, MAX_DELTA_LIMIT) as usize
    }

    fn find_version(&self, version: u64) -> Option<&Publication> {
        self.history.iter().find(|held| held.version == version).map(|held| &**held)
    }
}

/// Request for the delta from `view`.
pub fn delta_request(view: &View) -> PeerMsg {
    let version = view.published.version;
    let base = Some(Base { version, digest: view.digest });
    PeerMsg::Pull(Box::new(Pull { version, base, scope: None }))
}

fn notice(view: &View, mark: StoreMark) -> PeerMsg {
    PeerMsg::Notice(Box::new(view.summary(mark)))
}
