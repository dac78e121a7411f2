//! Histories over real processes: callers and operators go on while nodes are killed, paused and
//! stopped, targets crash, and the platform is cut off, silent, stale or down. What callers were
//! told, what targets ran and what nodes showed is checked afterwards by [`rules`].
//!
//! [`rules`]: crate::demo::rules

mod faults;

use crate::demo::observer::{Observer, Watched};
use crate::demo::rules::{Evidence, Publication, Violations};
use crate::stack::{POLL, Stack, on_free_network};
use faults::Faults;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_core::config::{Class, Preset};
use sycamore_core::status::Status;
use sycamore_standins::example::{self, Deployment, RouteRow};
use sycamore_standins::target::run_log;
use sycamore_tools::load::caller::Resend;
use sycamore_tools::load::history::{self, History, now_us};
use sycamore_tools::load::mix::{Mix, MixClass};
use sycamore_tools::load::plan::Plan;

/// Calls a second.
const RATE: f64 = 120.0;
/// Deadline of calls.
const DEADLINE_MS: u32 = 4_000;
/// Longest wait for the last version on every node once all faults are over; far above what it
/// takes, so that a slow machine gives the same verdict.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(40);

/// Twelve VMs: a service for lookups and one for signings in each of six zones.
const DEPLOYMENT: Deployment = Deployment {
    name: "process-history",
    network: 60,
    regions: &["first", "second", "third"],
    services: &["lookup", "signing"],
    routes: &[
        route("lookups", "lookup", true, Class::Interactive),
        route("ledgers", "lookup", true, Class::Bulk),
        route("signings", "signing", false, Class::Interactive),
        route("records", "signing", true, Class::Gating),
    ],
    slots: 12,
    connections: 110,
};

const fn route(
    name: &'static str,
    service: &'static str,
    idempotent: bool,
    class: Class,
) -> RouteRow {
    RouteRow { name, service, idempotent, class, deadline_ms: DEADLINE_MS }
}

/// A history to make.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Decides calls and faults.
    pub seed: u64,
    /// How long faults go on.
    pub span: Duration,
    /// Where files go.
    pub output: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Broken rules.
    pub violations: Violations,
    /// Calls made.
    pub calls: usize,
    /// The faults, in the order of time.
    pub faults: Vec<String>,
}

impl Trial {
    /// Makes the history and checks it.
    pub fn run(&self) -> io::Result<Finding> {
        let mut stack = self.open()?;
        stack.start_standins()?;
        let mut evidence = Evidence::default();
        evidence.publications.push(Publication { version: 1, at_us: now_us(), valid: true });
        stack.start_nodes()?;
        let observer = Observer::start(watched(&stack));
        stack.wait_until_ready(|| Ok(()))?;
        let (records, runs) = (stack.output("history.jsonl"), stack.output("runs.jsonl"));
        let history = Arc::new(History::new(Some(Path::new(&records)))?);
        let plan = self.plan(&stack);
        let mut faults = Faults::new(self.seed, &mut stack, &mut evidence);
        std::thread::scope(|scope| {
            scope.spawn(|| plan.run(&history));
            faults.run(self.span)?;
            faults.heal()
        })?;
        let (log, version) = (faults.log, faults.version);
        if let Some(history) = Arc::into_inner(history) {
            history.close()?;
        }
        wait_for_version(&stack, version);
        evidence.samples = observer.stop().samples;
        stack.stop();
        evidence.lasting = stack.settings.keys().cloned().collect();
        evidence.records = history::read(Path::new(&records))?;
        evidence.runs = run_log::read(Path::new(&runs))?;
        let violations = Violations::find(&evidence);
        Ok(Finding { violations, calls: evidence.records.len(), faults: log })
    }

    fn open(&self) -> io::Result<Stack> {
        let deployment = on_free_network(DEPLOYMENT)?;
        let files = self.output.join("files");
        example::write(&deployment, &files)?;
        write_fewer(&files)?;
        Stack::new(deployment, &files, &self.output)
    }

    fn plan(&self, stack: &Stack) -> Plan {
        let settings = stack.settings.values();
        Plan {
            mix: Mix {
                classes: vec![
                    class("lookups", 4, 1_000, &["/records"]),
                    class("signings", 4, 300, &["/lookups"]),
                    class("ledgers", 1, 300_000, &[]),
                ],
            },
            entries: settings.map(|settings| settings.listen.calls).collect(),
            rate: RATE,
            duration: self.span,
            threads: 1,
            seed: self.seed,
            resend: Resend::AsTold,
        }
    }
}

/// Name of the preset whose signings have one target less, so that homes of keys move.
const FEWER: &str = "fewer";

fn write_fewer(files: &Path) -> io::Result<()> {
    let body = std::fs::read(files.join("published/preset/ordinary.json"))?;
    let mut preset: Preset = serde_json::from_slice(&body)?;
    preset.name = example::to_name(FEWER);
    if let Some((_, service)) = preset.services.last_mut() {
        service.targets.pop();
    }
    std::fs::write(files.join("fewer.json"), serde_json::to_vec(&preset)?)
}

fn class(name: &str, share: u32, answer_bytes: usize, chain: &[&str]) -> MixClass {
    MixClass {
        name: name.into(),
        share,
        path: format!("/{name}"),
        at_most_once: name == "signings",
        deadline_ms: DEADLINE_MS.into(),
        request_bytes: 0,
        answer_bytes,
        work_us: 5_000,
        chain: chain.iter().map(|path| path.to_string()).collect(),
    }
}

fn watched(stack: &Stack) -> Vec<Watched> {
    let settings = stack.settings.iter();
    settings.map(|(vm, cfg)| Watched { vm: vm.clone(), admin: cfg.listen.admin }).collect()
}

/// Waits until every node shows the version, or the limit has passed; the check tells which.
fn wait_for_version(stack: &Stack, version: u64) {
    let end = Instant::now() + CONVERGENCE_LIMIT;
    let shows = |admin| {
        let body = crate::http::get(admin, "/status").ok()?;
        let status: Status = serde_json::from_slice(&body).ok()?;
        Some(status.in_force?.version >= version)
    };
    let behind = || {
        let mut admins = stack.settings.values().map(|settings| settings.listen.admin);
        admins.any(|admin| shows(admin) != Some(true))
    };
    while behind() && Instant::now() < end {
        std::thread::sleep(POLL);
    }
}
