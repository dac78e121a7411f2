//! Announcements of a reader to the nodes of its region that could follow it.

use super::port::{Config, TargetEntry, TargetState};
use super::view::View;
use crate::Time;
use crate::config::Target;
use crate::hash::rendezvous_score;
use crate::place::Link;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval after a round that left nodes without an announcement.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Share of the link that announcements may fill, and the bytes of one with its new connection and
/// the reply.
const LINK_SHARE_PERCENT: u64 = 10;
const ANNOUNCEMENT_BYTES: u64 = 1_500;

/// Minimum number of announcements per round.
const MIN_BATCH_SIZE: usize = 16;

/// Interval between announcements to the same node while it does not follow.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Schedule of the announcements of this node.
#[derive(Debug)]
pub struct Announcements {
    // `None` while this node follows a reader.
    next_round_at: Option<Time>,
    announced_at: IndexMap<SocketAddr, Time>,
    // Competing readers to announce to out of turn.
    replies: Vec<(SocketAddr, Link)>,
}

impl Announcements {
    pub fn new() -> Announcements {
        Announcements { next_round_at: None, announced_at: IndexMap::new(), replies: Vec::new() }
    }

    /// Cancels all pending announcements.
    pub fn stop(&mut self) {
        self.next_round_at = None;
        self.announced_at.clear();
        self.replies.clear();
    }

    pub fn wake_at(&self) -> Option<Time> {
        self.next_round_at
    }

    /// Queues an immediate announcement to `address`, even if it is not a known target.
    pub fn queue_reply(&mut self, now: Time, address: SocketAddr, link: Link) {
        self.replies.push((address, link));
        self.next_round_at = self.next_round_at.map(|next| next.min(now));
    }

    /// Returns the nodes to announce to now, those that would be the next readers first.
    pub fn next_round(
        &mut self,
        now: Time,
        cfg: &Config,
        view: &View,
        follows: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(SocketAddr, Link)> {
        if now < *self.next_round_at.get_or_insert(now) {
            return Vec::new();
        }
        self.announced_at.retain(|_, at| now.since(*at) < REANNOUNCE_INTERVAL);
        let due = |target: &&Target| {
            !follows(target.peers) && !self.announced_at.contains_key(&target.peers)
        };
        let mut due: Vec<&Target> = region_peers(cfg, view).filter(due).collect();
        due.sort_by_cached_key(|target| Reverse(cfg.region_score(&target.peers)));
        let link = |target: &Target| cfg.place.link_to(&target.place());
        let batch_size = batch_size(cfg);
        let others = due.into_iter().take(batch_size);
        let mut others: Vec<_> = others.map(|target| (target.peers, link(target))).collect();
        let pause =
            if others.len() == batch_size { BATCH_INTERVAL } else { REANNOUNCE_INTERVAL / 4 };
        others.append(&mut self.replies);
        self.announced_at.extend(others.iter().map(|(address, _)| (*address, now)));
        self.next_round_at = Some(now + pause);
        others
    }
}

/// Number of announcements per round that the link of this node carries.
fn batch_size(cfg: &Config) -> usize {
    let bytes = cfg.link_bandwidth() * BATCH_INTERVAL.as_millis() as u64 / 8;
    let batch = bytes * LINK_SHARE_PERCENT / 100 / ANNOUNCEMENT_BYTES;
    (batch as usize).max(MIN_BATCH_SIZE)
}

fn region_peers<'a>(cfg: &'a Config, view: &'a View) -> impl Iterator<Item = &'a Target> {
    view.targets
        .values()
        .flatten()
        .filter(|target| target.region == cfg.place.region && target.peers != cfg.address)
}

/// Number of nodes beside these targets that rank before this one in its region.
pub fn region_rank(cfg: &Config, entries: &[&TargetEntry]) -> usize {
    let peers = |entry: &TargetEntry| SocketAddr::new(entry.address.ip(), cfg.peers_port);
    let before = |entry: &&&TargetEntry| {
        entry.place.region == cfg.place.region
            && entry.state == TargetState::Ready
            && peers(entry) != cfg.address
            && cfg.ranks_before(&peers(entry))
    };
    entries.iter().filter(before).count()
}

impl Config {
    /// Whether the node at `other` ranks before this one in the order shared by all nodes of the
    /// region.
    pub fn ranks_before(&self, other: &SocketAddr) -> bool {
        (self.region_score(other), other) > (self.region_score(&self.address), &self.address)
    }

    /// Position of a node in that order; the highest comes first.
    fn region_score(&self, address: &SocketAddr) -> u64 {
        rendezvous_score(self.place.region.as_bytes(), address.to_string().as_bytes())
    }
}
