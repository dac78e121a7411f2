//! Assignment of readers, relays and parent candidates. Every node computes the same assignment
//! from the VM lists and a hash, without coordination.
//!
//! Rendezvous hashing ranks the VMs of each zone. The first [`RELAYS_PER_ZONE`] are the zone's
//! relays; the others form a tree below them with [`FAN_OUT`] children per node. The zones of a
//! region are ranked the same way; the first VM of each of the first two zones is a reader of the
//! region.

use super::limits::{ASSUMED_ZONES, FAN_OUT, RELAYS_PER_ZONE};
use super::members::Members;
use super::port::{Config, Peer};
use crate::hash::rendezvous_score;
use crate::member::{Member, VmState};
use crate::place::Place;
use crate::status::Role;
use crate::{Name, Time};
use std::cmp::Reverse;

data! {
    /// A node's position in the distribution topology.
    pub struct Topology {
        pub role: Role,
        /// Index among the region's readers; `None` if the node is not a reader.
        pub reader: Option<usize>,
        /// Whether the node is in the region whose readers fetch bodies for all regions.
        pub home: bool,
        /// Rank in the zone, from zero.
        pub rank: usize,
        /// Number of live VMs in the zone.
        pub zone_vms: usize,
        /// Number of zones.
        pub zones: usize,
        /// Possible parents, in order of preference.
        pub parent_candidates: Vec<Peer>,
    }
}

impl Topology {
    /// The position of a node without VM lists.
    pub fn unknown() -> Topology {
        Topology {
            role: Role::Leaf,
            reader: None,
            home: false,
            rank: RELAYS_PER_ZONE,
            zone_vms: 0,
            zones: ASSUMED_ZONES,
            parent_candidates: Vec::new(),
        }
    }

    /// Computes the position of a node. `in_service` is false once the node is leaving.
    pub fn new(now: Time, cfg: &Config, members: &Members, in_service: bool) -> Topology {
        let ranking = Ranking { now, members };
        let order = ranking.ranked(&cfg.place.zone);
        let position = order.iter().position(|member| member.vm == cfg.vm);
        let own_score = rendezvous_score(cfg.place.zone.as_bytes(), cfg.vm.as_bytes());
        // A VM that is leaving or not listed yet gets a rank below the relays, since its peers do
        // not consider it as one.
        let rank = match position {
            Some(rank) if in_service => rank,
            _ => {
                let better = order.iter().filter(|m| ranking.score(m) > own_score).count();
                better.max(RELAYS_PER_ZONE)
            }
        };
        let home = home_region(cfg, members);
        let readers = ranking.readers(&cfg.place.region);
        let is_reader = |member: &&Member| member.vm == cfg.vm && in_service;
        let reader = readers.iter().position(is_reader);
        let home_readers = ranking.readers(&home);
        let is_home = home == cfg.place.region;
        let mut parent_candidates = match reader {
            Some(number) => reader_candidates(number, is_home, &readers, &home_readers),
            None if rank < RELAYS_PER_ZONE => {
                relay_candidates(rank, &order, &readers, &home_readers)
            }
            None => tree_candidates(rank, &order),
        };
        match reader {
            Some(_) => parent_candidates.extend(ranking.other_readers(&home, &cfg.place.region)),
            // Last resort before the platform: the highest-ranked VM of each zone in the region.
            None => parent_candidates.extend(ranking.best_of_each_zone(&cfg.place.region)),
        }
        let role = match reader {
            Some(_) => Role::RegionReader,
            None if rank < RELAYS_PER_ZONE => Role::ZoneRelay,
            None if RELAYS_PER_ZONE + rank * FAN_OUT < order.len() && position.is_some() => {
                Role::Relay
            }
            None => Role::Leaf,
        };
        Topology {
            role,
            reader,
            home: is_home,
            rank,
            zone_vms: order.len(),
            zones: members.zones().map_or(ASSUMED_ZONES, |zones| zones.zones.len().max(1)),
            parent_candidates: deduplicated(parent_candidates, &cfg.vm),
        }
    }
}

/// The region whose readers fetch bodies from the platform for all other regions.
pub fn home_region(cfg: &Config, members: &Members) -> Name {
    if let Some(region) = &cfg.platform_region {
        return region.clone();
    }
    let zones = members.zones().map(|zones| zones.zones.as_slice()).unwrap_or_default();
    let regions = zones.iter().map(|place| &place.region);
    let best = regions.max_by_key(|region| rendezvous_score(b"in-force", region.as_bytes()));
    best.unwrap_or(&cfg.place.region).clone()
}

/// The zones of a region in rank order.
pub fn zones_of(members: &Members, region: &Name) -> Vec<Place> {
    let zones = members.zones().map(|zones| zones.zones.as_slice()).unwrap_or_default();
    let mut places: Vec<Place> =
        zones.iter().filter(|place| place.region == *region).cloned().collect();
    places.sort_by_key(|place| Reverse(rendezvous_score(region.as_bytes(), place.zone.as_bytes())));
    places
}

struct Ranking<'a> {
    now: Time,
    members: &'a Members,
}

impl<'a> Ranking<'a> {
    fn score(&self, member: &Member) -> u64 {
        rendezvous_score(member.zone.as_bytes(), member.vm.as_bytes())
    }

    fn live(&self, zone: &Name) -> impl Iterator<Item = &'a Member> {
        let (now, members) = (self.now, self.members);
        let vms = members.list(zone).map(|list| list.vms.as_slice()).unwrap_or_default();
        vms.iter().filter(move |member| members.state(now, member) == VmState::Live)
    }

    /// The live VMs of a zone in rank order.
    fn ranked(&self, zone: &Name) -> Vec<&'a Member> {
        let mut vms: Vec<&Member> = self.live(zone).collect();
        vms.sort_by_cached_key(|member| (Reverse(self.score(member)), member.vm.clone()));
        vms
    }

    /// The highest-ranked live VM of a zone other than `excluded`.
    fn best_in_zone(&self, zone: &Name, excluded: Option<&Name>) -> Option<&'a Member> {
        let fits = |member: &&Member| Some(&member.vm) != excluded;
        self.live(zone)
            .filter(fits)
            .max_by_key(|member| (self.score(member), Reverse(member.vm.clone())))
    }

    fn readers(&self, region: &Name) -> Vec<&'a Member> {
        let zones = zones_of(self.members, region);
        let tops = zones.iter().filter_map(|place| self.best_in_zone(&place.zone, None));
        let mut readers: Vec<&Member> = tops.take(RELAYS_PER_ZONE).collect();
        if let [only] = readers[..] {
            readers.extend(self.best_in_zone(&only.zone, Some(&only.vm)));
        }
        readers
    }

    fn other_readers(&self, home: &Name, own: &Name) -> Vec<Peer> {
        let zones = self.members.zones().map(|zones| zones.zones.as_slice()).unwrap_or_default();
        let mut regions: Vec<&Name> = zones.iter().map(|place| &place.region).collect();
        regions.sort();
        regions.dedup();
        regions.retain(|region| *region != home && *region != own);
        regions.iter().filter_map(|region| self.readers(region).first().map(|m| peer(m))).collect()
    }

    fn best_of_each_zone(&self, region: &Name) -> Vec<Peer> {
        let zones = zones_of(self.members, region);
        zones.iter().filter_map(|place| self.best_in_zone(&place.zone, None)).map(peer).collect()
    }
}

fn reader_candidates(
    number: usize,
    home: bool,
    own: &[&Member],
    home_readers: &[&Member],
) -> Vec<Peer> {
    let (first, rest) = own.split_at(number);
    // Only the first reader of a region fetches bodies across regions; the second fetches from it.
    let others: &[&Member] = if home { rest } else { home_readers };
    first.iter().chain(others).map(|member| peer(member)).collect()
}

fn relay_candidates(
    rank: usize,
    order: &[&Member],
    readers: &[&Member],
    home_readers: &[&Member],
) -> Vec<Peer> {
    // The two relays of a zone prefer different readers, so that a single failed reader or network
    // partition leaves the zone one up-to-date relay.
    let (left, right) = readers.split_at(rank.min(readers.len()));
    let above = order.iter().take(rank);
    let all = right.iter().chain(left).chain(above).chain(home_readers);
    all.map(|member| peer(member)).collect()
}

fn tree_candidates(rank: usize, order: &[&Member]) -> Vec<Peer> {
    let parent = (rank - RELAYS_PER_ZONE) / FAN_OUT;
    let sibling = parent ^ 1;
    let grandparent = parent.saturating_sub(RELAYS_PER_ZONE) / FAN_OUT;
    let ranks = [parent, sibling, grandparent, 0, 1];
    let lower = ranks.into_iter().filter(|candidate| *candidate < rank);
    lower.filter_map(|candidate| order.get(candidate)).map(|member| peer(member)).collect()
}

/// Converts a listed member to a messaging endpoint.
pub fn peer(member: &Member) -> Peer {
    Peer { vm: member.vm.clone(), place: member.place(), address: member.peers }
}

fn deduplicated(peers: Vec<Peer>, own: &Name) -> Vec<Peer> {
    let mut kept: Vec<Peer> = Vec::with_capacity(peers.len());
    for peer in peers {
        if peer.vm != *own && !kept.contains(&peer) {
            kept.push(peer);
        }
    }
    kept
}
