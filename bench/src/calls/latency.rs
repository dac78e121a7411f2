//! What the path adds to a call: through a node or proxy, against straight to the target.

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

/// Calls a second while latency is measured.
const RATE: f64 = 300.0;
/// Calls a second while processor time is measured.
const BUSY_RATE: f64 = 4_000.0;
/// Calls before those that count.
pub(super) const WARM_UP: Duration = Duration::from_secs(1);
/// Calls that one call leads to, itself included, in the deep measurement.
const DEEP: u32 = 9;
/// Second number of the addresses of targets that call each other directly.
const DIRECT_NETWORK: u8 = 41;

/// One measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Calls that one call leads to, itself included.
    pub depth: u32,
    /// Share of the calls through the path that were answered without an error; the quantiles
    /// below are of those that were answered.
    pub answered: f64,
    /// Latency through the path.
    pub through: Quantiles,
    /// Latency straight to the target.
    pub direct: Quantiles,
    /// The difference of the quantiles, for each of the calls.
    pub added_per_call: Quantiles,
}

/// Quantiles of latency, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1,000.
    pub p999_ms: f64,
}

/// What one system was measured at.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// One call, and nine deep.
    pub measured: Vec<Measured>,
    /// Calls a second that one core of the nodes' or proxies' time carries: entry node and
    /// gatekeeper together.
    pub calls_per_second_per_core: f64,
    /// Memory of the largest node or proxy after the run.
    pub memory_kib: u64,
}

/// Measures one system for so long at each step.
pub fn measure(system: System, span: Duration, output: &Path) -> io::Result<Latency> {
    let mut cluster = Cluster::start(system, output)?;
    let _targets = start_direct_targets(&cluster.stack)?;
    let direct: Vec<SocketAddr> = direct_targets().iter().map(|target| target.address).collect();
    let mut measured = Vec::new();
    for depth in [1, DEEP] {
        measured.push(Measured::take(&cluster.entries(), &direct, depth, span)?);
    }
    let before = cluster.usage().1;
    let busy = run(&cluster.entries(), 1, BUSY_RATE, span)?;
    let (memory_kib, after) = cluster.usage();
    cluster.stack.stop();
    // The warm-up's calls took processor time too.
    let calls = busy.counts.answered as f64 + BUSY_RATE * WARM_UP.as_secs_f64();
    let calls_per_second_per_core = calls / (after - before).as_secs_f64();
    Ok(Latency { measured, calls_per_second_per_core, memory_kib })
}

/// Calls through `entries` for so long.
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

/// The same targets on other addresses, where each calls the next one itself.
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

impl Measured {
    /// Measures both ways at the same time, so that others who use the machine slow both alike.
    fn take(
        entries: &[SocketAddr],
        targets: &[SocketAddr],
        depth: u32,
        span: Duration,
    ) -> io::Result<Measured> {
        std::thread::scope(|scope| {
            let through = scope.spawn(|| run(entries, depth, RATE, span));
            let direct = run(targets, depth, RATE, span)?;
            let through = through.join().map_err(|_| io::Error::other("a thread failed"))??;
            Ok(Measured::new(depth, through, direct))
        })
    }

    fn new(depth: u32, through: Row, direct: Row) -> Measured {
        let counts = through.counts;
        let answered = (counts.answered - counts.errors) as f64 / counts.sent.max(1) as f64;
        let (through, direct) = (Quantiles::new(&through), Quantiles::new(&direct));
        let added = |through: f64, direct: f64| (through - direct) / f64::from(depth);
        let added_per_call = Quantiles {
            p50_ms: added(through.p50_ms, direct.p50_ms),
            p99_ms: added(through.p99_ms, direct.p99_ms),
            p999_ms: added(through.p999_ms, direct.p999_ms),
        };
        Measured { depth, answered, through, direct, added_per_call }
    }
}

impl Quantiles {
    fn new(row: &Row) -> Quantiles {
        Quantiles { p50_ms: row.p50_ms, p99_ms: row.p99_ms, p999_ms: row.p999_ms }
    }
}
