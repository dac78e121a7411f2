//! Announcements of a node that reads the store to the nodes that could follow it.

use super::port::Config;
use super::view::View;
use crate::Time;
use crate::config::Target;
use crate::hash::rendezvous_score;
use crate::place::Link;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Announcements sent at once, and the pause after them: each may be answered by a question for
/// all that is held.
const BATCH_SIZE: usize = 16;
const BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two announcements to one node that does not follow.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Whom this node has told that it reads the store.
#[derive(Debug)]
pub struct Announcements {
    // None while another node reads for this one.
    next_round_at: Option<Time>,
    announced_at: IndexMap<SocketAddr, Time>,
    // Nodes that have announced themselves.
    replies: Vec<(SocketAddr, Link)>,
}

impl Announcements {
    /// Has told nobody.
    pub fn new() -> Announcements {
        Announcements { next_round_at: None, announced_at: IndexMap::new(), replies: Vec::new() }
    }

    /// Announces nothing any more.
    pub fn stop(&mut self) {
        self.next_round_at = None;
        self.announced_at.clear();
        self.replies.clear();
    }

    /// When the next round is due.
    pub fn wake_at(&self) -> Option<Time> {
        self.next_round_at
    }

    /// Tells a node at once, whether it is known or not.
    pub fn queue_reply(&mut self, now: Time, address: SocketAddr, link: Link) {
        self.replies.push((address, link));
        self.next_round_at = self.next_round_at.map(|next| next.min(now));
    }

    /// Whom to tell now. The first round is `delay` after the first call.
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

/// The other nodes of the region.
fn region_peers<'a>(cfg: &'a Config, view: &'a View) -> impl Iterator<Item = &'a Target> {
    view.targets
        .values()
        .flatten()
        .filter(|target| target.region == cfg.place.region && target.peers != cfg.address)
}

/// How many nodes come before this one in the order of its region.
pub fn region_rank(cfg: &Config, view: &View) -> usize {
    let before = |target: &&Target| !target.leaving && cfg.ranks_before(&target.peers);
    region_peers(cfg, view).filter(before).count()
}

impl Config {
    /// Whether the node at `other` comes before this one in the order that the nodes of a region
    /// share.
    pub fn ranks_before(&self, other: &SocketAddr) -> bool {
        let rank = |address: &SocketAddr| {
            rendezvous_score(self.place.region.as_bytes(), address.to_string().as_bytes())
        };
        (rank(other), other) > (rank(&self.address), &self.address)
    }
}
