//! One node reads the store for the others of its region.
//!
//! Where every node reads the store itself, the calls grow with the fleet, and each version goes
//! whole over every VM's link. A *reader* reads the store and tells its *followers* what has
//! changed. Nobody appoints it: a node with a wide link that reads the store announces itself to
//! the nodes of its region, the first in an order that all nodes share earliest, and whoever
//! follows nobody follows the first that it hears of.
//!
//! A reader speaks only when the store has answered it, so a follower that has heard nothing for
//! [`Pace::reader_timeout`] reads the store itself, whatever the reason. Each message names the whole of
//! what the reader holds by a digest; a follower that holds anything else asks for the difference.

use super::announce::{Announcements, region_rank};
use super::pace::Pace;
use super::port::{Config, Publication};
use super::view::{View, delta_between};
use crate::Time;
use crate::place::Link;
use crate::spread::PeerMsg;
use crate::spread::message::{Base, Pull, Summary};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Fewer targets than this are read for by nobody: their calls cost little, and one node less stands
/// between a node and the store.
const MIN_FLEET_TARGETS: usize = 32;

/// Narrowest link of a node that reads for others, in kbit/s: it must take the largest versions
/// several times a second.
const MIN_READER_KBPS: u64 = 100_000;

/// Rate of a link that the settings do not state, in kbit/s.
const DEFAULT_LINK_KBPS: u64 = 1_000_000;

/// Longest time that a reader's link may be filled by one change that it sends to all followers.
const MAX_LINK_BUSY: Duration = Duration::from_millis(500);

/// Bytes of resources that travel as one byte: lists of routes and targets repeat themselves.
const COMPRESSION_RATIO: u64 = 8;

/// Differences of up to this size, in bytes of their resources, are sent over any link.
const MIN_DELTA_LIMIT: u64 = 65_536;

/// Largest difference, in bytes of its resources, that fits into one message.
const MAX_DELTA_LIMIT: u64 = 4_194_304;

/// How often a follower says that it is still there, and for how long it is told things without.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(2);
const FOLLOWER_LEASE: Duration = Duration::from_secs(5);

/// How long a node reads the store at a reader's pace after it has announced itself.
const FOLLOWER_WAIT: Duration = Duration::from_secs(3);

/// How long an announcing node is waited for before another is heard.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an announcement is remembered while another node is followed.
const STANDBY_RETENTION: Duration = Duration::from_millis(1_500);

/// How long another reader is given to follow this one; longer than the time between two of its
/// announcements after twice this.
const COMPETITOR_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest time between two questions for a difference.
const RESYNC_INTERVAL: Duration = Duration::from_millis(150);

/// Versions from which a difference can be made.
const MAX_HISTORY: usize = 4;

/// Whom this node follows.
#[derive(Debug)]
struct Reader {
    address: SocketAddr,
    link: Link,
    store_answered_at: Time,
    renew_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    link: Link,
    until: Time,
}

/// A node that has announced itself and has been asked for what it holds.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddr,
    link: Link,
    since: Time,
}

/// What this node is to the other nodes of its region.
#[derive(Debug)]
pub struct Relay {
    pace: Pace,
    reader: Option<Reader>,
    candidate: Option<Candidate>,
    // Another node that has announced itself of late.
    standby: Option<Candidate>,
    resync_at: Time,
    followers: IndexMap<SocketAddr, Follower>,
    announcements: Announcements,
    // Another node that announces itself, and when it was first heard.
    competitor: Option<(SocketAddr, Time)>,
    followers_expected_until: Time,
    // The process is about to stop.
    leaving: bool,
    // When the store last answered this node.
    store_answered_at: Option<Time>,
    last_sent: Option<Arc<View>>,
    history: VecDeque<Arc<Publication>>,
}

/// A message to send.
#[derive(Debug)]
pub struct Outgoing {
    /// Address of the peer.
    pub to: SocketAddr,
    /// The link to it.
    pub link: Link,
    /// The message.
    pub msg: PeerMsg,
}

impl Relay {
    /// Follows nobody and has no follower.
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
            store_answered_at: None,
            last_sent: None,
            history: VecDeque::new(),
        }
    }

    /// Whether another node reads for this one.
    pub fn is_follower(&self) -> bool {
        self.reader.is_some()
    }

    /// Whether the store is to be read so often that others can rely on it.
    pub fn serves_followers(&self, now: Time) -> bool {
        !self.followers.is_empty() || now < self.followers_expected_until
    }

    /// The store has answered.
    pub fn on_store_success(&mut self, now: Time) {
        self.store_answered_at = Some(now);
    }

    /// A version came into force, from which others may need a difference.
    pub fn record_version(&mut self, published: &Arc<Publication>) {
        if self.history.back().is_some_and(|newest| newest.version == published.version) {
            return;
        }
        self.history.push_back(published.clone());
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// When [`Relay::renew_lease`], [`Relay::announce`] or [`Relay::reader_timed_out`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.reader {
            Some(reader) => {
                Some(reader.renew_at.min(reader.store_answered_at + self.pace.reader_timeout))
            }
            None => self.announcements.wake_at(),
        }
    }

    /// Whether the reader has been silent for too long.
    pub fn reader_timed_out(&self, now: Time) -> bool {
        self.reader
            .as_ref()
            .is_some_and(|reader| now >= reader.store_answered_at + self.pace.reader_timeout)
    }

    /// Whether a message comes from the node that is followed or asked.
    pub fn is_upstream(&self, from: SocketAddr) -> bool {
        let reader = self.reader.as_ref().map(|reader| reader.address);
        reader.or(self.candidate.map(|candidate| candidate.address)) == Some(from)
    }

    /// Whether to take up what a node names: it is followed or asked, or reads the store and may do
    /// so for this one.
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

    /// Whether to give up reading for others, since another node of the region does so too.
    ///
    /// A node that has just started follows once it has been told of this reader. One that goes on
    /// announcing itself has followers, and the later of the two in the order of the region yields.
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

    /// Tells the reader that this node is still there, when that is due.
    pub fn renew_lease(&mut self, now: Time, view: &View) -> Option<Outgoing> {
        let reader = self.reader.as_mut().filter(|reader| now >= reader.renew_at)?;
        reader.renew_at = now + LEASE_RENEW_INTERVAL;
        Some(Outgoing { to: reader.address, link: reader.link, msg: delta_request(view) })
    }

    /// Names what is held to nodes of the region that do not follow this one.
    pub fn announce(&mut self, now: Time, cfg: &Config, view: &Arc<View>) -> Vec<Outgoing> {
        let below_threshold =
            view.targets.values().map(Vec::len).sum::<usize>() < MIN_FLEET_TARGETS;
        if below_threshold || !self.may_read(cfg) || self.is_follower() || !self.is_fresh(now) {
            self.announcements.stop();
            return Vec::new();
        }
        let delay = self.pace.announcement_delay(region_rank(cfg, view));
        let others = self
            .announcements
            .next_round(now, delay, cfg, view, |address| self.followers.contains_key(&address));
        if !others.is_empty() {
            self.followers_expected_until = now + FOLLOWER_WAIT;
            self.last_sent.get_or_insert_with(|| view.clone());
        }
        let age = self.store_age(now);
        let to_message = |(to, link)| Outgoing { to, link, msg: notice(view, age) };
        others.into_iter().map(to_message).collect()
    }

    /// The reader holds what this node holds. Returns whether it is followed from now on.
    pub fn mark_in_sync(&mut self, now: Time, summary: &Summary) -> bool {
        let Some(store_answered_at) = self.fresh_age(summary).map(|age| now - age) else {
            return false;
        };
        if let Some(reader) = &mut self.reader {
            reader.store_answered_at = reader.store_answered_at.max(store_answered_at);
            return false;
        }
        let Some(Candidate { address, link, .. }) = self.candidate.take() else {
            return false;
        };
        self.reader = Some(Reader { address, link, store_answered_at, renew_at: now });
        self.announcements.stop();
        self.followers_expected_until = now;
        true
    }

    /// Tells the followers, of which none is left then, to look for another reader.
    pub fn dismiss_followers(&mut self) -> Vec<Outgoing> {
        let to_message = |(to, follower): (SocketAddr, Follower)| Outgoing {
            to,
            link: follower.link,
            msg: PeerMsg::Missing(0),
        };
        std::mem::take(&mut self.followers).into_iter().map(to_message).collect()
    }

    /// Reads for nobody from now on: the process is about to stop.
    pub fn stop_serving(&mut self) -> Vec<Outgoing> {
        self.leaving = true;
        self.followers_expected_until = Time::ZERO;
        self.dismiss_followers()
    }

    /// Asks the reader for the difference to what it holds, though not at every message.
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

    /// The node that was asked or followed can't say what has changed. Returns whether it was
    /// followed.
    pub fn drop_reader(&mut self) -> bool {
        self.candidate = None;
        self.reader.take().is_some()
    }

    /// Turns to another node that has announced itself of late. Returns whether there is one.
    pub fn switch_to_standby(&mut self, now: Time) -> bool {
        let recent = |standby: &Candidate| now.since(standby.since) < STANDBY_RETENTION;
        self.candidate =
            self.standby.take().filter(recent).map(|standby| Candidate { since: now, ..standby });
        self.resync_at = now;
        self.candidate.is_some()
    }

    /// Answers a question: from a node that holds `base`.
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
        // Two nodes that ask each other at once must not follow each other.
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
            return notice(view, self.store_age(now));
        }
        let base_view = self.last_sent.as_ref().filter(|last_sent| last_sent.digest == base.digest);
        let max_size = self.max_delta_size(cfg);
        let base_version = self.find_version(base.version);
        let delta = delta_between(
            view,
            base,
            base_version,
            base_view.map(|last_sent| &**last_sent),
            max_size,
            self.store_age(now),
        );
        delta.map_or(PeerMsg::Missing(view.published.version), |delta| {
            PeerMsg::Delta(Arc::new(delta))
        })
    }

    /// What followers are told after the store has answered.
    pub fn update_followers(&mut self, now: Time, cfg: &Config, view: &Arc<View>) -> Vec<Outgoing> {
        self.followers.retain(|_, follower| follower.until > now);
        let last_sent = self.last_sent.replace(view.clone());
        if self.followers.is_empty() {
            return Vec::new();
        }
        let max_size = self.max_delta_size(cfg);
        let age = self.store_age(now);
        let changed =
            last_sent.filter(|last_sent| last_sent.digest != view.digest).and_then(|last_sent| {
                let base = Base { version: last_sent.published.version, digest: last_sent.digest };
                delta_between(
                    view,
                    &base,
                    self.find_version(base.version),
                    Some(&last_sent),
                    max_size,
                    age,
                )
            });
        let msg =
            changed.map_or_else(|| notice(view, age), |delta| PeerMsg::Delta(Arc::new(delta)));
        let to_message = |(to, follower): (&SocketAddr, &Follower)| Outgoing {
            to: *to,
            link: follower.link,
            msg: msg.clone(),
        };
        self.followers.iter().map(to_message).collect()
    }

    /// Whether this node's link takes every version whole beside its calls.
    pub fn may_read(&self, cfg: &Config) -> bool {
        !self.leaving && cfg.link_kbps.is_none_or(|kbps| kbps >= MIN_READER_KBPS)
    }

    fn store_age(&self, now: Time) -> Option<Duration> {
        self.store_answered_at.map(|store_answered_at| now.since(store_answered_at))
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.store_age(now).is_some_and(|age| age < self.pace.reader_timeout)
    }

    /// How long ago the store answered the sender, if that is recent enough to rely on.
    fn fresh_age(&self, summary: &Summary) -> Option<Duration> {
        let age = Duration::from_millis(summary.store_age_ms?.into());
        Some(age).filter(|age| *age < self.pace.reader_timeout)
    }

    /// Bytes of the resources of one difference that all followers may be sent at once.
    fn max_delta_size(&self, cfg: &Config) -> usize {
        let kbps = cfg.link_kbps.unwrap_or(DEFAULT_LINK_KBPS);
        let link_bytes = kbps * MAX_LINK_BUSY.as_millis() as u64 / 8;
        let each = link_bytes * COMPRESSION_RATIO / self.followers.len().max(1) as u64;
        each.clamp(MIN_DELTA_LIMIT, MAX_DELTA_LIMIT) as usize
    }

    fn find_version(&self, version: u64) -> Option<&Publication> {
        self.history.iter().find(|held| held.version == version).map(|held| &**held)
    }
}

/// Asks for the difference from what is held.
pub fn delta_request(view: &View) -> PeerMsg {
    let version = view.published.version;
    let base = Some(Base { version, digest: view.digest });
    PeerMsg::Pull(Box::new(Pull { version, base, scope: None }))
}

fn notice(view: &View, store_age: Option<Duration>) -> PeerMsg {
    PeerMsg::Notice(Box::new(view.summary(store_age)))
}
