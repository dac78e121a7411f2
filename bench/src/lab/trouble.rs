//! Start and end of injected faults.

use super::mesh::TargetState;
use super::scenario::TroubleKind;
use super::world::World;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use sycamore_core::Name;
use sycamore_core::call::RateLimit;

/// Active faults that affect callers.
#[derive(Clone, Debug, Default)]
pub(super) struct Conditions {
    /// Share of callers that retry without backoff, and their additional retries.
    pub abuse: Option<(f64, u32)>,
    /// Share of callers that abandon their requests, and after which time.
    pub give_up: Option<(f64, Duration)>,
    // Nodes partitioned from all others, one list per fault.
    partitions: Vec<Vec<usize>>,
}

impl Conditions {
    pub(super) fn none() -> Conditions {
        Conditions::default()
    }

    /// Whether two nodes are partitioned from each other.
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.partitions.iter().any(|nodes| nodes.contains(&a) != nodes.contains(&b))
    }
}

impl World<'_> {
    /// Starts or ends a fault.
    pub(super) fn toggle_fault(&mut self, index: usize, starts: bool) {
        let what = self.cfg.troubles[index].what.clone();
        match what {
            // Scenario::zone_weights applies these.
            TroubleKind::Burst { .. } | TroubleKind::Shift { .. } => {}
            TroubleKind::Abuse { share, times } => {
                self.conditions.abuse = starts.then_some((share, times));
            }
            TroubleKind::GiveUp { share, after_ms } => {
                let after = Duration::from_millis(after_ms.into());
                self.conditions.give_up = starts.then_some((share, after));
            }
            TroubleKind::Slow { service, share, factor } => {
                let slow = if starts { factor } else { 1.0 };
                self.for_selected(&service, share, index, |world, node| {
                    world.nodes[node].target.faults.work_factor = slow;
                });
            }
            TroubleKind::Grey { service, share, errors } => {
                let errors = if starts { errors } else { 0.0 };
                self.for_selected(&service, share, index, |world, node| {
                    world.nodes[node].target.faults.error_share = errors;
                });
            }
            TroubleKind::Shed { service, share, part } => {
                let shed = if starts { part } else { 0.0 };
                self.for_selected(&service, share, index, |world, node| {
                    world.nodes[node].target.faults.reject_share = shed;
                });
            }
            TroubleKind::Mute { service, share, part } => {
                let mute = if starts { part } else { 0.0 };
                self.for_selected(&service, share, index, |world, node| {
                    world.nodes[node].target.faults.loss_share = mute;
                });
            }
            TroubleKind::Limited { service, share, per_s } => {
                let limit = starts.then_some(RateLimit { milli: (per_s * 1_000.0) as u64 });
                self.for_selected(&service, share, index, |world, node| {
                    world.nodes[node].target.faults.rate_limit = limit;
                });
            }
            TroubleKind::Partition { share } => {
                let nodes = self.select_nodes((0..self.nodes.len()).collect(), share, index);
                toggle(&mut self.conditions.partitions, nodes, starts);
            }
            TroubleKind::Leave { service, share } => {
                let state = if starts { TargetState::Draining } else { TargetState::Ready };
                self.for_selected(&service, share, index, |world, node| {
                    world.mesh.target_states[node] = state;
                });
                self.publish_targets();
            }
            TroubleKind::Lost { zone, share } => {
                self.toggle_vms(zone.as_ref(), share, index, starts)
            }
        }
    }

    /// Stops VMs with their nodes and targets, or restarts them.
    fn toggle_vms(&mut self, zone: Option<&Name>, share: f64, index: usize, starts: bool) {
        let zone = zone.map(|zone| self.zone_index(zone));
        let in_zone = |node: &usize| zone.is_none_or(|zone| self.mesh.sites[*node].zone == zone);
        let nodes = (0..self.nodes.len()).filter(in_zone).collect();
        for node in self.select_nodes(nodes, share, index) {
            self.mesh.target_states[node] =
                if starts { TargetState::Absent } else { TargetState::Ready };
            match starts {
                true => self.stop_vm(node),
                false => self.start_vm(node),
            }
        }
        self.publish_targets();
    }

    fn zone_index(&self, name: &Name) -> usize {
        self.mesh.zones.iter().position(|zone| zone == name).unwrap_or_default()
    }

    fn for_selected(
        &mut self,
        service: &Name,
        share: f64,
        index: usize,
        apply: impl Fn(&mut World<'_>, usize),
    ) {
        let number = self.cfg.services.keys().position(|known| known == service);
        let own = |node: &usize| Some(self.mesh.sites[*node].service) == number;
        let nodes = (0..self.nodes.len()).filter(own).collect();
        for node in self.select_nodes(nodes, share, index) {
            apply(self, node);
        }
    }

    /// Selects a share of the nodes, at least one. The selection depends only on the fault's index,
    /// so that its start and its end affect the same nodes.
    fn select_nodes(&self, mut nodes: Vec<usize>, share: f64, index: usize) -> Vec<usize> {
        let mut rng = Pcg64Mcg::seed_from_u64(index as u64);
        nodes.shuffle(&mut rng);
        let count = (nodes.len() as f64 * share).round().max(1.0) as usize;
        nodes.truncate(count);
        nodes
    }
}

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T, starts: bool) {
    match starts {
        true => list.push(item),
        false => list.retain(|other| *other != item),
    }
}
