//! Memory of a single node for presets of several fleet sizes.

use super::run::start_all;
use super::slopes::{Line, Options};
use super::workload::{CALLED_SERVICES, Size};
use super::{Fleet, Setup};
use serde::Serialize;
use std::time::Duration;

/// Fleet sizes whose presets are measured.
const FLEET_SIZES: [usize; 4] = [1_000, 5_000, 10_000, 23_000];

/// Memory of one node for one preset size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryPoint {
    /// Fleet size that the preset is made for.
    pub nodes: usize,
    /// Services in the preset.
    pub services: usize,
    /// Memory in KB of a node whose scope covers every route.
    #[serde(rename = "full_kb")]
    pub full_scope_kb: f64,
    /// Memory in KB of a node with the default scope that reads the platform itself, which is the
    /// worst case.
    #[serde(rename = "usual_kb")]
    pub default_scope_kb: f64,
}

pub fn measure(options: &Options) -> Vec<MemoryPoint> {
    FLEET_SIZES.iter().map(|nodes| measure_point(Size::of(*nodes), options)).collect()
}

/// Fits the memory of a full scope against the fleet size.
pub fn fit_full_scope(points: &[MemoryPoint]) -> Line {
    let points: Vec<(f64, f64)> =
        points.iter().map(|p| (p.nodes as f64, p.full_scope_kb)).collect();
    Line::fit(&points)
}

fn measure_point(size: Size, options: &Options) -> MemoryPoint {
    let Size { nodes, services, .. } = size;
    let full_scope_kb = measure_node_kb(size, usize::MAX, options);
    let default_scope_kb = measure_node_kb(size, CALLED_SERVICES, options);
    MemoryPoint { nodes, services, full_scope_kb, default_scope_kb }
}

/// Measures the memory of a single node from its start until it has settled with a version in
/// force.
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
