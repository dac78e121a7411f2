//! Deployment under test: six targets in six zones, behind nodes or behind naive proxies.

use crate::http;
use crate::process::{Process, Usage};
use crate::stack::{NetworkClaim, Stack};
use indexmap::IndexMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use sycamore_core::config::Class;
use sycamore_standins::example::{self, Deployment, RouteRow, TARGET_PORT};
use sycamore_standins::target::Counts;
use sycamore_tools::load::mix::MixClass;

/// Proxy layer between callers and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum System {
    /// Sycamore nodes.
    Ours,
    /// Naive proxies.
    Naive,
}

impl System {
    /// All systems.
    pub const ALL: [System; 2] = [System::Ours, System::Naive];

    /// Name used in tables and JSON.
    pub fn name(self) -> &'static str {
        match self {
            System::Ours => "ours",
            System::Naive => "naive",
        }
    }
}

/// Concurrency limit of each target.
const SLOTS: u32 = 12;
const DEADLINE: Duration = Duration::from_secs(1);

/// Deployment used by the benchmarks.
pub const DEPLOYMENT: Deployment = Deployment {
    name: "bench",
    network: 40,
    regions: &["first", "second", "third"],
    services: &["work"],
    routes: &[
        RouteRow {
            name: "work",
            service: "work",
            idempotent: true,
            class: Class::Interactive,
            deadline_ms: DEADLINE.as_millis() as u32,
        },
        RouteRow {
            name: "once",
            service: "work",
            idempotent: false,
            class: Class::Interactive,
            deadline_ms: DEADLINE.as_millis() as u32,
        },
    ],
    slots: SLOTS,
    connections: 110,
};

/// A running system.
#[derive(Debug)]
pub struct Cluster {
    /// All processes except naive proxies.
    pub stack: Stack,
    proxies: Vec<Process>,
}

impl Cluster {
    /// Starts a system and writes its files to `output`.
    pub fn start(system: System, output: &Path) -> io::Result<Cluster> {
        let files = output.join("files");
        example::write(&DEPLOYMENT, &files)?;
        // Concurrent benchmarks would distort each other's results.
        let claim = NetworkClaim::new(DEPLOYMENT)?;
        if claim.deployment.network != DEPLOYMENT.network {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let stack = Stack::new(DEPLOYMENT, &files, output)?.with_claim(claim);
        let mut cluster = Cluster { stack, proxies: Vec::new() };
        cluster.stack.start_standins()?;
        match system {
            System::Ours => {
                cluster.stack.start_nodes()?;
                cluster.stack.wait_until_ready()?;
            }
            System::Naive => cluster.start_proxies()?,
        }
        Ok(cluster)
    }

    fn start_proxies(&mut self) -> io::Result<()> {
        let targets: Vec<String> =
            DEPLOYMENT.vms().iter().map(|vm| vm.socket_addr(TARGET_PORT).to_string()).collect();
        for entry in self.entries() {
            let listen = entry.to_string();
            let mut args = vec!["naive", "--listen", &listen];
            args.extend(targets.iter().flat_map(|target| ["--target", target.as_str()]));
            let log = format!("naive-{}.log", entry.ip());
            self.proxies.push(self.stack.launcher.start("sycamore-bench-calls", &args, &log)?);
        }
        std::thread::sleep(Duration::from_millis(200));
        Ok(())
    }

    /// Addresses for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.stack.settings.values().map(|settings| settings.listen.calls).collect()
    }

    /// Number of requests received by targets, including those they rejected.
    pub fn hits(&self) -> io::Result<u64> {
        let body = http::get(DEPLOYMENT.targets_control(), "/counts")?;
        let counts: IndexMap<String, Counts> = serde_json::from_slice(&body)?;
        Ok(counts.values().map(|counts| counts.runs + counts.beyond_slots).sum())
    }

    /// Largest resident memory of a node or proxy in KiB, and the total CPU time of all.
    pub fn usage(&self) -> (u64, Duration) {
        let usages: Vec<Usage> =
            self.stack.nodes.values().chain(&self.proxies).map(Process::usage).collect();
        let memory = usages.iter().map(|usage| usage.memory_kib).max().unwrap_or_default();
        (memory, usages.iter().map(|usage| usage.cpu_time).sum())
    }

    /// Stops the node or proxy of the first zone, and its target for the duration `downtime`.
    pub fn stop_zone(&mut self, downtime: Duration) -> io::Result<()> {
        let vm = DEPLOYMENT.vms().swap_remove(0).name;
        self.stack.control_target("crash", &vm, downtime.as_millis().to_string())?;
        self.stack.nodes.shift_remove(&vm);
        if !self.proxies.is_empty() {
            self.proxies.remove(0);
        }
        Ok(())
    }

    /// Restarts the node of the failed zone. Naive proxies are not restarted.
    pub fn restore_zone(&mut self, system: System) -> io::Result<()> {
        let vm = DEPLOYMENT.vms().swap_remove(0).name;
        match system {
            System::Ours => self.stack.start_node(&vm),
            System::Naive => Ok(()),
        }
    }
}

/// Traffic class for calls to the benchmark service.
pub fn class(name: &str, share: u32, work: Duration) -> MixClass {
    MixClass {
        name: name.into(),
        share,
        path: format!("/{name}"),
        at_most_once: name == "once",
        deadline_ms: DEADLINE.as_millis() as u64,
        request_bytes: 0,
        answer_bytes: 1_000,
        work_us: work.as_micros() as u64,
        chain: Vec::new(),
    }
}

/// Combined capacity of all targets, in calls per second.
pub fn capacity(work: Duration) -> f64 {
    f64::from(SLOTS) * DEPLOYMENT.vms().len() as f64 / work.as_secs_f64()
}
