//! Memory of one node's decider, alone with presets of several sizes.

use super::run::start_all;
use super::slopes::{Line, Options};
use super::workload::{CALLED_SERVICES, Size};
use super::{Fleet, Setup};
use serde::Serialize;
use std::time::Duration;

/// Sizes of the fleets that the presets are for.
const FLEET_SIZES: [usize; 4] = [1_000, 5_000, 10_000, 23_000];

/// The memory of one node at one size of the preset.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryPoint {
    /// Nodes that the preset is for.
    pub nodes: usize,
    /// Services in it.
    pub services: usize,
    /// KB of a node that needs every route, as a reader of the platform does.
    pub full_kb: f64,
    /// KB of a node with the usual scope that reads the platform itself, its worst case.
    pub usual_kb: f64,
}

/// Measures every size.
pub fn measure(options: &Options) -> Vec<MemoryPoint> {
    FLEET_SIZES.iter().map(|nodes| measure_point(Size::of(*nodes), options)).collect()
}

/// The growth of a full scope with the number of nodes.
pub fn fit_full_scope(points: &[MemoryPoint]) -> Line {
    let points: Vec<(f64, f64)> = points.iter().map(|p| (p.nodes as f64, p.full_kb)).collect();
    Line::fit(&points)
}

fn measure_point(size: Size, options: &Options) -> MemoryPoint {
    let Size { nodes, services, .. } = size;
    let full_kb = measure_node_kb(size, usize::MAX, options);
    let usual_kb = measure_node_kb(size, CALLED_SERVICES, options);
    MemoryPoint { nodes, services, full_kb, usual_kb }
}

/// Memory that one node takes from its start until it has a version in force and has settled.
fn measure_node_kb(preset: Size, called_services: usize, options: &Options) -> f64 {
    let one = Size { nodes: 1, services: 1, zones: 1, regions: 1 };
    let setup =
        Setup::new(one, options.seed).with_preset_of(preset).with_called_services(called_services);
    let mut fleet = Fleet::new(setup);
    let before = (options.memory)();
    start_all(&mut fleet);
    fleet.run_for(Duration::from_secs(60));
    (options.memory)().saturating_sub(before) as f64 / 1_024.0
}
