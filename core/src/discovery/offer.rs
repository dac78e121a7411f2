//! Offers of the current state to peers that may have lost it.
//!
//! A process that starts while the store is unavailable knows only its seeds, which may have lost
//! their state too. Nodes that hold the state therefore offer it to peers that recently became
//! unreachable and, while the store fails, to random peers. Every node that has recovered makes
//! offers itself, so a single survivor suffices.
//!
//! An offer carries only the version and digest. A peer that has read the store ignores it.

use super::port::Config;
use super::view::View;
use crate::Time;
use crate::config::Target;
use crate::hash::Hash;
use crate::place::Link;
use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between rounds of offers.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Random peers per round, in addition to those that became unreachable.
const PEERS_PER_ROUND: usize = 4;

/// How long offers are sent to a peer after it became unreachable. Restarted processes are usually
/// back within two seconds.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(4);

/// Maximum number of unreachable peers tracked.
const MAX_LOST_PEERS: usize = 32;

/// Minimum interval between requests for offered state.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// Outgoing offers, and rate limits for requests in response to offers of others.
#[derive(Debug)]
pub struct Offers {
    lost_peers: IndexMap<SocketAddr, Time>,
    next_round_at: Time,
    // Also offer to random peers, since any of them may lack the state.
    random_offers: bool,
    next_pull_at: Time,
    // Digests of the states requested so far.
    pulled_digests: IndexSet<Hash>,
}

impl Offers {
    pub fn new() -> Offers {
        Offers {
            lost_peers: IndexMap::new(),
            next_round_at: Time::ZERO,
            random_offers: false,
            next_pull_at: Time::ZERO,
            pulled_digests: IndexSet::new(),
        }
    }

    /// Called when a peer's process is unreachable or its connection broke.
    pub fn peer_lost(&mut self, now: Time, address: SocketAddr) {
        if self.lost_peers.len() < MAX_LOST_PEERS || self.lost_peers.contains_key(&address) {
            self.lost_peers.insert(address, now + LOST_PEER_RETENTION);
        }
    }

    /// Called when the full state was sent to a peer.
    pub fn on_state_sent(&mut self, address: SocketAddr) {
        self.lost_peers.swap_remove(&address);
    }

    /// Enables offers to random peers, for while the store is unavailable or has not been read yet.
    pub fn set_random_offers(&mut self, random_offers: bool) {
        self.random_offers = random_offers;
    }

    pub fn wake_at(&self) -> Option<Time> {
        (self.random_offers || !self.lost_peers.is_empty()).then_some(self.next_round_at)
    }

    /// Returns the peers to send an offer to now.
    pub fn next_round(
        &mut self,
        now: Time,
        cfg: &Config,
        view: &View,
        rng: &mut Pcg64Mcg,
    ) -> Vec<(SocketAddr, Link)> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.lost_peers.retain(|_, until| *until > now);
        if !self.random_offers && self.lost_peers.is_empty() {
            return Vec::new();
        }
        self.next_round_at = now + ROUND_INTERVAL * rng.random_range(90..=110) / 100;
        let mut peers: Vec<&Target> = view
            .targets
            .values()
            .flatten()
            .filter(|target| target.peers != cfg.address && !target.leaving)
            .collect();
        let lost = peers.iter().filter(|target| self.lost_peers.contains_key(&target.peers));
        // Deduplicated by address: a random peer may also be an unreachable one.
        let mut chosen: IndexMap<SocketAddr, &Target> =
            lost.map(|target| (target.peers, *target)).collect();
        let drawn = if self.random_offers { PEERS_PER_ROUND } else { 0 };
        let (drawn, _) = peers.partial_shuffle(rng, drawn);
        chosen.extend(drawn.iter().map(|target| (target.peers, *target)));
        let link = |target: &Target| cfg.place.link_to(&target.place());
        chosen.into_iter().map(|(address, target)| (address, link(target))).collect()
    }

    /// Whether to request a newer version from a peer. Several peers may offer it at once; only one
    /// is asked.
    pub fn may_pull(&mut self, now: Time, digest: Hash) -> bool {
        let may = now >= self.next_pull_at;
        if may {
            self.next_pull_at = now + PULL_INTERVAL;
            self.pulled_digests.insert(digest);
        }
        may
    }

    /// Whether to request the same version with different targets.
    ///
    /// Each peer may know of different draining targets, so the states are merged. Each state is
    /// requested once.
    pub fn may_pull_same_version(&mut self, now: Time, digest: Hash) -> bool {
        !self.pulled_digests.contains(&digest) && self.may_pull(now, digest)
    }
}
