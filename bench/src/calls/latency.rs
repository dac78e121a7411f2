//! Latency overhead of calls through a node or proxy, compared with direct calls to the target.

use super::cluster::{Cluster, DEPLOYMENT, System, class};
use crate::process::Process;
use crate::stack::Stack;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use sycamore_standins::example::TARGET_PORT;
use sycamore_standins::target::{TargetConfig, TargetsConfig};
use sycamore_tools::load::caller::RetryPolicy;
use sycamore_tools::load::history::History;
use sycamore_tools::load::mix::Mix;
use sycamore_tools::load::plan::Plan;
use sycamore_tools::load::summary::Row;

/// Calls per second for the latency measurement.
const RATE: f64 = 300.0;
/// Calls per second for the CPU time measurement.
const CPU_RATE: f64 = 4_000.0;
/// Duration of the load before measurement starts.
pub(super) const WARM_UP: Duration = Duration::from_secs(1);
/// Length of the call chain in the nested measurement.
const NESTED_DEPTH: u32 = 9;
/// Second octet of the addresses of targets that call each other directly.
const DIRECT_NETWORK: u8 = 41;

/// Latency at one depth.
#[derive(Clone, Debug, Serialize)]
pub struct DepthResult {
    /// Length of the call chain.
    pub depth: u32,
    /// Share of calls through the path that succeeded. The quantiles cover answered calls only.
    pub answered: f64,
    /// Latency through the path.
    pub through: Quantiles,
    /// Latency of direct calls.
    pub direct: Quantiles,
    /// Difference between the quantiles, divided by the depth.
    pub added_per_call: Quantiles,
}

/// Latency quantiles, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Results for one system.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// Results by depth.
    pub measured: Vec<DepthResult>,
    /// Calls per second per core of CPU time used by nodes or proxies, on both entry node and
    /// gatekeeper.
    pub calls_per_second_per_core: f64,
    /// Largest resident memory of a node or proxy after the run.
    pub memory_kib: u64,
}

/// Measures one system, running each step for `span`.
pub fn measure(system: System, span: Duration, output: &Path) -> io::Result<Latency> {
    let mut cluster = Cluster::start(system, output)?;
    let _targets = start_direct_targets(&cluster.stack)?;
    let direct: Vec<SocketAddr> = direct_targets().iter().map(|target| target.address).collect();
    let mut measured = Vec::new();
    for depth in [1, NESTED_DEPTH] {
        measured.push(DepthResult::measure(&cluster.entries(), &direct, depth, span)?);
    }
    let before = cluster.usage().1;
    let cpu_run = run(&cluster.entries(), 1, CPU_RATE, span)?;
    let (memory_kib, after) = cluster.usage();
    cluster.stack.stop();
    // CPU time includes the warm-up calls.
    let calls = cpu_run.counts.answered as f64 + CPU_RATE * WARM_UP.as_secs_f64();
    let calls_per_second_per_core = calls / (after - before).as_secs_f64();
    Ok(Latency { measured, calls_per_second_per_core, memory_kib })
}

/// Generates load on `entries` for `span`, after a warm-up.
pub(super) fn run(
    entries: &[SocketAddr],
    depth: u32,
    rate: f64,
    span: Duration,
) -> io::Result<Row> {
    let mut class = class("work", 1, Duration::ZERO);
    class.chain = vec![class.path.clone(); depth as usize - 1];
    let mut plan = Plan {
        mix: Mix { classes: vec![class] },
        entries: entries.to_vec(),
        rate,
        duration: WARM_UP,
        threads: 1,
        seed: 1,
        retry_policy: RetryPolicy::HonourRetryAfter,
    };
    let history = Arc::new(History::new(None)?);
    plan.run(&history);
    plan.duration = span;
    Ok(plan.run(&history).total())
}

/// Copies of the targets on separate addresses, where each calls the next one directly.
fn direct_targets() -> Vec<TargetConfig> {
    let mut deployment = DEPLOYMENT;
    deployment.network = DIRECT_NETWORK;
    let vms = deployment.vms();
    let address = |index: usize| vms[index % vms.len()].socket_addr(TARGET_PORT);
    let target = |index: usize| TargetConfig {
        vm: vms[index].name.clone(),
        address: address(index),
        calls: address(index + 1),
        slots: DEPLOYMENT.slots,
        connections: DEPLOYMENT.connections,
    };
    (0..vms.len()).map(target).collect()
}

fn start_direct_targets(stack: &Stack) -> io::Result<Process> {
    let mut deployment = DEPLOYMENT;
    deployment.network = DIRECT_NETWORK;
    let control = deployment.targets_control();
    let cfg = TargetsConfig { control, targets: direct_targets() };
    let file = stack.output("direct.json");
    std::fs::write(&file, serde_json::to_vec(&cfg)?)?;
    let targets = stack.launcher.start("standin-target", &["--targets", &file], "direct.log")?;
    std::thread::sleep(Duration::from_millis(200));
    Ok(targets)
}

impl DepthResult {
    /// Measures both paths concurrently, so that background load affects them equally.
    fn measure(
        entries: &[SocketAddr],
        targets: &[SocketAddr],
        depth: u32,
        span: Duration,
    ) -> io::Result<DepthResult> {
        std::thread::scope(|scope| {
            let through = scope.spawn(|| run(entries, depth, RATE, span));
            let direct = run(targets, depth, RATE, span)?;
            let through = through
                .join()
                .map_err(|_| io::Error::other("load generator thread panicked"))??;
            Ok(DepthResult::new(depth, through, direct))
        })
    }

    fn new(depth: u32, through: Row, direct: Row) -> DepthResult {
        let counts = through.counts;
        let answered = (counts.answered - counts.errors) as f64 / counts.sent.max(1) as f64;
        let (through, direct) = (Quantiles::new(&through), Quantiles::new(&direct));
        let added = |through: f64, direct: f64| (through - direct) / f64::from(depth);
        let added_per_call = Quantiles {
            p50_ms: added(through.p50_ms, direct.p50_ms),
            p99_ms: added(through.p99_ms, direct.p99_ms),
            p999_ms: added(through.p999_ms, direct.p999_ms),
        };
        DepthResult { depth, answered, through, direct, added_per_call }
    }
}

impl Quantiles {
    fn new(row: &Row) -> Quantiles {
        Quantiles { p50_ms: row.p50_ms, p99_ms: row.p99_ms, p999_ms: row.p999_ms }
    }
}
