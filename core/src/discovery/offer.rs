//! What a node that knows the configuration offers to peers that may have lost it.
//!
//! A process that starts while the store is silent knows only its seeds, which may have ended too.
//! So nodes that hold the configuration offer it to peers just lost from sight and, while the store
//! fails, to random ones. Each node that takes an offer makes offers itself, so one survivor is
//! enough.
//!
//! An offer only names what is held. A peer that has read the store itself passes it over.

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

/// Time between two rounds of offers.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Peers that get an offer in one round, beside those lost from sight: one or two packets each.
const PEERS_PER_ROUND: usize = 4;

/// For how long a peer that was lost from sight gets offers. Its process is back within a second or
/// two where it is to return at all.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(4);

/// Peers lost from sight that are remembered at once.
const MAX_LOST_PEERS: usize = 32;

/// How long a node that has asked for what it was offered waits before it asks another.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// The offers of one node, and its questions after those of others.
#[derive(Debug)]
pub struct Offers {
    lost_peers: IndexMap<SocketAddr, Time>,
    next_round_at: Time,
    // Whether any peer may lack what is held, since the store does not answer.
    random_offers: bool,
    next_pull_at: Time,
    // What has been asked for, by its digest.
    pulled_digests: IndexSet<Hash>,
}

impl Offers {
    /// Offers nothing.
    pub fn new() -> Offers {
        Offers {
            lost_peers: IndexMap::new(),
            next_round_at: Time::ZERO,
            random_offers: false,
            next_pull_at: Time::ZERO,
            pulled_digests: IndexSet::new(),
        }
    }

    /// A peer's process could not be reached, or its connection broke.
    pub fn peer_lost(&mut self, now: Time, address: SocketAddr) {
        if self.lost_peers.len() < MAX_LOST_PEERS || self.lost_peers.contains_key(&address) {
            self.lost_peers.insert(address, now + LOST_PEER_RETENTION);
        }
    }

    /// A peer has asked, and has been given what is held.
    pub fn on_state_sent(&mut self, address: SocketAddr) {
        self.lost_peers.swap_remove(&address);
    }

    /// Whether the store is known to fail, so that any peer that starts lacks everything.
    pub fn set_random_offers(&mut self, random_offers: bool) {
        self.random_offers = random_offers;
    }

    /// When the next round is due.
    pub fn wake_at(&self) -> Option<Time> {
        (self.random_offers || !self.lost_peers.is_empty()).then_some(self.next_round_at)
    }

    /// Whom to make an offer now.
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
        // One offer each, however a peer was chosen.
        let mut chosen: IndexMap<SocketAddr, &Target> =
            lost.map(|target| (target.peers, *target)).collect();
        let drawn = if self.random_offers { PEERS_PER_ROUND } else { 0 };
        let (drawn, _) = peers.partial_shuffle(rng, drawn);
        chosen.extend(drawn.iter().map(|target| (target.peers, *target)));
        let link = |target: &Target| cfg.place.link_to(&target.place());
        chosen.into_iter().map(|(address, target)| (address, link(target))).collect()
    }

    /// Whether to ask a peer that offers a newer version. Several offer at once; one is asked.
    pub fn may_pull(&mut self, now: Time, digest: Hash) -> bool {
        let may = now >= self.next_pull_at;
        if may {
            self.next_pull_at = now + PULL_INTERVAL;
            self.pulled_digests.insert(digest);
        }
        may
    }

    /// Whether to ask a peer that offers the same version with other targets.
    ///
    /// Peers may know different targets to be leaving, and the merged state knows them all. Each
    /// state is asked for once.
    pub fn may_pull_same_version(&mut self, now: Time, digest: Hash) -> bool {
        !self.pulled_digests.contains(&digest) && self.may_pull(now, digest)
    }
}
