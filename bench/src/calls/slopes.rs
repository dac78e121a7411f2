//! What calls cost the nodes, over the rate and the depth: the slopes that docs/CAPACITY.md uses.

use super::cluster::{Cluster, System};
use super::latency;
use crate::fleet::slopes::Line;
use serde::Serialize;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Calls a second, one deep.
const RATES: [f64; 5] = [250.0, 500.0, 1_000.0, 2_000.0, 3_000.0];
/// Calls that one call leads to, itself included, at [`DEPTH_RATE`].
const DEPTHS: [u32; 5] = [1, 3, 5, 7, 9];
/// Calls a second while the depth grows.
const DEPTH_RATE: f64 = 100.0;

/// One size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Calls a second through the nodes, nested ones counted.
    pub calls_per_second: f64,
    /// Processor time of all nodes, in milliseconds for each second.
    pub cpu_ms_per_second: f64,
    /// Memory of the largest node, in KiB.
    pub memory_kib: u64,
}

/// The points of both series with the line of processor time through each.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// By the rate of calls, one deep.
    pub rates: Vec<Point>,
    /// By the depth of calls.
    pub depths: Vec<Point>,
    /// Milliseconds of processor time for each call, by the rate.
    pub by_rate: Line,
    /// The same by the depth.
    pub by_depth: Line,
}

/// Measures one system for so long at each size.
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
    let (by_rate, by_depth) = (line(&rates), line(&depths));
    Ok(Slopes { rates, depths, by_rate, by_depth })
}

fn point(cluster: &Cluster, depth: u32, rate: f64, span: Duration) -> io::Result<Point> {
    let before = cluster.usage().1;
    latency::run(&cluster.entries(), depth, rate, span)?;
    let (memory_kib, after) = cluster.usage();
    // The warm-up's calls took processor time too.
    let seconds = (span + latency::WARM_UP).as_secs_f64();
    let cpu_ms_per_second = (after - before).as_secs_f64() * 1_000.0 / seconds;
    let calls_per_second = rate * f64::from(depth);
    Ok(Point { calls_per_second, cpu_ms_per_second, memory_kib })
}

fn line(points: &[Point]) -> Line {
    let points: Vec<(f64, f64)> =
        points.iter().map(|point| (point.calls_per_second, point.cpu_ms_per_second)).collect();
    Line::fit(&points)
}
