//! CPU time and memory of nodes by call rate and by depth; source of the slopes in
//! docs/CAPACITY.md.

use super::cluster::{Cluster, System};
use super::latency;
use crate::fleet::slopes::Line;
use serde::Serialize;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Call rates per second at a depth of one.
const RATES: [f64; 5] = [250.0, 500.0, 1_000.0, 2_000.0, 3_000.0];
/// Lengths of the call chain, measured at [`DEPTH_RATE`].
const DEPTHS: [u32; 5] = [1, 3, 5, 7, 9];
/// Calls per second for the measurement by depth.
const DEPTH_RATE: f64 = 100.0;

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Calls per second through the nodes, including nested calls.
    pub calls_per_second: f64,
    /// CPU time of all nodes, in milliseconds per second.
    pub cpu_ms_per_second: f64,
    /// Largest resident memory of a node, in KiB.
    pub memory_kib: u64,
}

/// Both series with a linear fit of CPU time for each.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// Points by call rate, at a depth of one.
    pub rates: Vec<Point>,
    /// Points by depth.
    pub depths: Vec<Point>,
    /// Linear fit by call rate; the slope is CPU milliseconds per call.
    pub by_rate: Line,
    /// Linear fit by depth.
    pub by_depth: Line,
}

/// Measures one system, running each point for `span`.
pub fn measure(system: System, span: Duration, output: &Path) -> io::Result<Slopes> {
    let mut cluster = Cluster::start(system, output)?;
    let mut rates = Vec::new();
    for rate in RATES {
        rates.push(point(&cluster, 1, rate, span)?);
    }
    let mut depths = Vec::new();
    for depth in DEPTHS {
        depths.push(point(&cluster, depth, DEPTH_RATE, span)?);
    }
    cluster.stack.stop();
    let (by_rate, by_depth) = (fit_line(&rates), fit_line(&depths));
    Ok(Slopes { rates, depths, by_rate, by_depth })
}

fn point(cluster: &Cluster, depth: u32, rate: f64, span: Duration) -> io::Result<Point> {
    let before = cluster.usage().1;
    latency::run(&cluster.entries(), depth, rate, span)?;
    let (memory_kib, after) = cluster.usage();
    // CPU time includes the warm-up calls.
    let seconds = (span + latency::WARM_UP).as_secs_f64();
    let cpu_ms_per_second = (after - before).as_secs_f64() * 1_000.0 / seconds;
    let calls_per_second = rate * f64::from(depth);
    Ok(Point { calls_per_second, cpu_ms_per_second, memory_kib })
}

fn fit_line(points: &[Point]) -> Line {
    let points: Vec<(f64, f64)> =
        points.iter().map(|point| (point.calls_per_second, point.cpu_ms_per_second)).collect();
    Line::fit(&points)
}
