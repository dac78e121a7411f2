//! Announcements of a reader to the nodes of its region that could follow it.

use super::port::Config;
use super::view::View;
use crate::Time;
use crate::config::Target;
use crate::hash::rendezvous_score;
use crate::place::Link;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of announcements per round, and the interval after a full round. Each recipient
/// may reply with a request for the full state.
const BATCH_SIZE: usize = 16;
const BATCH_INTERVAL: Duration = Duration::from_millis(40);

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

    /// Returns the nodes to announce to now. The first round is due `delay` after the first call.
    pub fn next_round(
        &mut self,
        now: Time,
        delay: Duration,
        cfg: &Config,
        view: &View,
        follows: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(SocketAddr, Link)> {
        let next = *self.next_round_at.get_or_insert(now + delay);
        if now < next {
            return Vec::new();
        }
        self.announced_at.retain(|_, at| now.since(*at) < REANNOUNCE_INTERVAL);
        let due = |target: &&Target| {
            !follows(target.peers) && !self.announced_at.contains_key(&target.peers)
        };
        let others = region_peers(cfg, view).filter(due).take(BATCH_SIZE);
        let link = |target: &Target| cfg.place.link_to(&target.place());
        let mut others: Vec<_> = others.map(|target| (target.peers, link(target))).collect();
        let pause =
            if others.len() == BATCH_SIZE { BATCH_INTERVAL } else { REANNOUNCE_INTERVAL / 4 };
        others.append(&mut self.replies);
        self.announced_at.extend(others.iter().map(|(address, _)| (*address, now)));
        self.next_round_at = Some(now + pause);
        others
    }
}

fn region_peers<'a>(cfg: &'a Config, view: &'a View) -> impl Iterator<Item = &'a Target> {
    view.targets
        .values()
        .flatten()
        .filter(|target| target.region == cfg.place.region && target.peers != cfg.address)
}

/// Number of live nodes that rank before this one in its region.
pub fn region_rank(cfg: &Config, view: &View) -> usize {
    let before = |target: &&Target| !target.leaving && cfg.ranks_before(&target.peers);
    region_peers(cfg, view).filter(before).count()
}

impl Config {
    /// Whether the node at `other` ranks before this one in the order shared by all nodes of the
    /// region.
    pub fn ranks_before(&self, other: &SocketAddr) -> bool {
        let rank = |address: &SocketAddr| {
            rendezvous_score(self.place.region.as_bytes(), address.to_string().as_bytes())
        };
        (rank(other), other) > (rank(&self.address), &self.address)
    }
}
