//! One node reads the store for many of its region.
//!
//! Where every node reads the store itself, the calls grow with the fleet, and each version goes
//! whole over every VM's link, which a storm of large versions fills where it is narrow. A *reader*
//! reads the store and tells its *followers* what has changed. Nobody appoints it: a node asks those
//! before it in an order that all nodes share, and follows the first that reads the store itself
//! and has heard from it just now.
//!
//! Guards against a follower that stays behind because its reader does: a reader speaks only when
//! the store has answered it, so that its silence for [`LAPSE`] means that the follower reads the
//! store itself again, whatever the reason. What a reader says names the whole of what it holds by
//! a digest; a follower that holds anything else asks for the difference.

use super::port::{Config, Publication};
use super::view::{View, difference};
use crate::Time;
use crate::config::Target;
use crate::hash::score;
use crate::place::Link;
use crate::spread::PeerMsg;
use crate::spread::message::{Base, Pull};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Fewer targets than this are read for by nobody: their calls cost little, and one node less stands
/// between a node and the store.
const MIN_FLEET: usize = 32;

/// Narrowest link of a node that reads for others, in kbit/s: it must take the largest versions
/// several times a second.
const MIN_READER_KBPS: u64 = 100_000;

/// How long a reader may be silent. Together with the list that follows it leaves a third of the
/// 2.5 s within which a change must be in force.
pub const LAPSE: Duration = Duration::from_millis(1_600);

/// How old the store's last answer may be for a node to read for others: the longest time between
/// two answers, [`Follow`](super::follow::Follow) pausing and waiting, is 1.0 s.
const FRESH: Duration = Duration::from_millis(1_500);

/// How often a follower says that it is still there, and for how long it is told things without.
const RENEW: Duration = Duration::from_secs(2);
const FOLLOWER_LEASE: Duration = Duration::from_secs(5);

/// How long a node that may be asked reads the store at a reader's pace.
const EXPECT_FOLLOWERS: Duration = Duration::from_secs(5);

/// How long an asked node is waited for, and the pause after all have been asked in vain.
const ASK_WAIT: Duration = Duration::from_millis(300);
const ROUND_PAUSE: Duration = Duration::from_secs(4);

/// Shortest time between two questions for a difference.
const RESYNC_PAUSE: Duration = Duration::from_millis(150);

/// Followers of one reader: it sends each difference to all of them. Those turned away follow the
/// next in order.
const MAX_FOLLOWERS: usize = 64;

/// Versions from which a difference can be made.
const HISTORY: usize = 4;

/// Whom this node follows.
#[derive(Debug)]
struct Reader {
    address: SocketAddr,
    link: Link,
    heard: Time,
    renew_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    link: Link,
    until: Time,
}

/// A node that is asked whether it reads for others.
#[derive(Clone, Copy, Debug)]
struct Asked {
    address: SocketAddr,
    link: Link,
}

/// What this node is to the other nodes of its region.
#[derive(Debug)]
pub struct Relay {
    reader: Option<Reader>,
    asked: Option<Asked>,
    // Of the present round.
    asked_before: usize,
    ask_at: Time,
    resync_at: Time,
    followers: IndexMap<SocketAddr, Follower>,
    expected_until: Time,
    // When the store last answered this node.
    proof: Option<Time>,
    told: Option<Arc<View>>,
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
    pub fn new() -> Relay {
        Relay {
            reader: None,
            asked: None,
            asked_before: 0,
            ask_at: Time::ZERO,
            resync_at: Time::ZERO,
            followers: IndexMap::new(),
            expected_until: Time::ZERO,
            proof: None,
            told: None,
            history: VecDeque::new(),
        }
    }

    /// Whether another node reads for this one.
    pub fn is_follower(&self) -> bool {
        self.reader.is_some()
    }

    /// Whether the store is to be read so often that others can rely on it.
    pub fn reads_for_others(&self, now: Time) -> bool {
        !self.followers.is_empty() || now < self.expected_until
    }

    /// The store has answered.
    pub fn store_answers(&mut self, now: Time) {
        self.proof = Some(now);
    }

    /// A version came into force, from which others may need a difference.
    pub fn remember(&mut self, published: &Arc<Publication>) {
        if self.history.back().is_some_and(|newest| newest.version == published.version) {
            return;
        }
        self.history.push_back(published.clone());
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// When [`Relay::seek`] or [`Relay::lapses`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.reader {
            Some(reader) => Some(reader.renew_at.min(reader.heard + LAPSE)),
            None if self.followers.is_empty() => Some(self.ask_at),
            None => None,
        }
    }

    /// Whether the reader has been silent for too long.
    pub fn lapses(&self, now: Time) -> bool {
        self.reader.as_ref().is_some_and(|reader| now >= reader.heard + LAPSE)
    }

    /// Whether a message comes from the node that is followed or asked.
    pub fn listens_to(&self, from: SocketAddr) -> bool {
        let reader = self.reader.as_ref().map(|reader| reader.address);
        reader.or(self.asked.map(|asked| asked.address)) == Some(from)
    }

    /// Asks the next node in order, if this one follows none, or renews.
    pub fn seek(&mut self, now: Time, cfg: &Config, view: &View) -> Option<Outgoing> {
        if let Some(reader) = &mut self.reader {
            if now < reader.renew_at {
                return None;
            }
            reader.renew_at = now + RENEW;
            let (to, link) = (reader.address, reader.link);
            return Some(Outgoing { to, link, msg: question(view) });
        }
        // A reader stays one: its followers would have to find another.
        if now < self.ask_at || !self.followers.is_empty() {
            return None;
        }
        // Nodes that have started together have not all read the store yet.
        if self.ask_at == Time::ZERO {
            self.ask_at = now + ASK_WAIT;
            return None;
        }
        self.asked = None;
        let order = order(cfg, view);
        let Some(Asked { address, link }) = order.get(self.asked_before).copied() else {
            self.asked_before = 0;
            self.ask_at = now + ROUND_PAUSE;
            return None;
        };
        self.asked_before += 1;
        self.ask_at = now + ASK_WAIT;
        self.asked = Some(Asked { address, link });
        Some(Outgoing { to: address, link, msg: question(view) })
    }

    /// The reader holds what this node holds. Returns whether it is followed from now on.
    pub fn in_step(&mut self, now: Time) -> bool {
        if let Some(reader) = &mut self.reader {
            reader.heard = now;
            return false;
        }
        let Some(Asked { address, link }) = self.asked.take() else {
            return false;
        };
        self.asked_before = 0;
        self.reader = Some(Reader { address, link, heard: now, renew_at: now + RENEW });
        self.followers.clear();
        self.expected_until = now;
        true
    }

    /// Asks the reader for the difference to what it holds, though not at every message.
    pub fn resync(&mut self, now: Time, view: &View) -> Option<Outgoing> {
        if now < self.resync_at {
            return None;
        }
        self.resync_at = now + RESYNC_PAUSE;
        let reader = self.reader.as_ref().map(|reader| (reader.address, reader.link));
        let (to, link) = reader.or(self.asked.map(|asked| (asked.address, asked.link)))?;
        Some(Outgoing { to, link, msg: question(view) })
    }

    /// The node that was asked or followed can't say what has changed. Returns whether it was
    /// followed.
    pub fn let_go(&mut self, now: Time, cfg: &Config) -> bool {
        self.asked = None;
        self.ask_at = now;
        let followed = self.reader.take().is_some();
        if followed && may_read(cfg) {
            self.expected_until = now + EXPECT_FOLLOWERS;
        }
        followed
    }

    /// Answers a question: from a node that holds `base`.
    pub fn answer(
        &mut self,
        now: Time,
        cfg: &Config,
        from: (SocketAddr, Link),
        base: &Base,
        view: Option<&Arc<View>>,
    ) -> PeerMsg {
        let nobody = PeerMsg::Missing(0);
        if !may_read(cfg) || self.is_follower() {
            return nobody;
        }
        self.expected_until = now + EXPECT_FOLLOWERS;
        let fresh = self.proof.is_some_and(|proof| now.since(proof) < FRESH);
        let room = self.followers.contains_key(&from.0) || self.followers.len() < MAX_FOLLOWERS;
        let Some(view) = view.filter(|_| fresh && room) else {
            return nobody;
        };
        let follower = Follower { link: from.1, until: now + FOLLOWER_LEASE };
        self.followers.insert(from.0, follower);
        self.told.get_or_insert_with(|| view.clone());
        if base.digest == view.digest {
            return notice(view);
        }
        let known = self.told.as_ref().filter(|told| told.digest == base.digest);
        let delta = difference(view, base, self.version(base.version), known.map(|told| &**told));
        delta.map_or(PeerMsg::Missing(view.published.version), |delta| {
            PeerMsg::Delta(Arc::new(delta))
        })
    }

    /// What followers are told after the store has answered.
    pub fn tell(&mut self, now: Time, view: &Arc<View>) -> Vec<Outgoing> {
        self.followers.retain(|_, follower| follower.until > now);
        let told = self.told.replace(view.clone());
        if self.followers.is_empty() {
            return Vec::new();
        }
        let changed = told.filter(|told| told.digest != view.digest).and_then(|told| {
            let base = Base { version: told.published.version, digest: told.digest };
            difference(view, &base, self.version(base.version), Some(&told))
        });
        let msg = changed.map_or_else(|| notice(view), |delta| PeerMsg::Delta(Arc::new(delta)));
        let send = |(to, follower): (&SocketAddr, &Follower)| Outgoing {
            to: *to,
            link: follower.link,
            msg: msg.clone(),
        };
        self.followers.iter().map(send).collect()
    }

    fn version(&self, version: u64) -> Option<&Publication> {
        self.history.iter().find(|held| held.version == version).map(|held| &**held)
    }
}

/// Whether this node's link takes every version whole beside its calls.
fn may_read(cfg: &Config) -> bool {
    cfg.link_kbps.is_none_or(|kbps| kbps >= MIN_READER_KBPS)
}

/// Nodes to ask, first the one that all others ask first. A node that may read itself asks only
/// those before it, so that no two follow each other.
fn order(cfg: &Config, view: &View) -> Vec<Asked> {
    if view.targets.values().map(Vec::len).sum::<usize>() < MIN_FLEET {
        return Vec::new();
    }
    let rank =
        |address: &SocketAddr| score(cfg.place.region.as_bytes(), address.to_string().as_bytes());
    let own = rank(&cfg.address);
    let near = view.targets.values().flatten().filter(|target| {
        target.region == cfg.place.region && !target.leaving && target.peers != cfg.address
    });
    let candidate = |target: &Target| {
        let asked = Asked { address: target.peers, link: cfg.place.link_to(&target.place()) };
        (rank(&target.peers), asked)
    };
    let mut ranked: Vec<(u64, Asked)> = near.map(candidate).collect();
    ranked.retain(|(rank, _)| !may_read(cfg) || *rank > own);
    ranked.sort_by_key(|(rank, asked)| (std::cmp::Reverse(*rank), asked.address));
    ranked.into_iter().map(|(_, asked)| asked).collect()
}

fn question(view: &View) -> PeerMsg {
    let version = view.published.version;
    let base = Some(Base { version, digest: view.digest });
    PeerMsg::Pull(Box::new(Pull { version, base, scope: None }))
}

fn notice(view: &View) -> PeerMsg {
    PeerMsg::Notice(Box::new(view.summary()))
}
