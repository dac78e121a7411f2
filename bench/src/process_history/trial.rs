//! One trial: the processes, the faults of its plan, and what was recorded.

use super::callers::Callers;
use super::findings::{DEATH_ID, Findings};
use super::forwarder::{Forwarder, Port};
use super::plan::{self, Fault, Round};
use super::{DEPLOYMENT, FIRST_NETWORK, NETWORKS, classes};
use crate::demo::observer::{MonitoredNode, Observer};
use crate::demo::rules::{Evidence, Publication, Stop};
use crate::http;
use crate::process::Process;
use crate::stack::{POLL_INTERVAL, Stack};
use async_executor::LocalExecutor;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::Request;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_core::Name;
use sycamore_core::config::Preset;
use sycamore_core::member::{VmList, VmState};
use sycamore_core::status::Status;
use sycamore_node::settings::Settings;
use sycamore_standins::example::{self, Deployment};
use sycamore_standins::platform::{Counts, Faults};
use sycamore_standins::target::run_log;
use sycamore_tools::load::client::Pool;
use sycamore_tools::load::history::now_us;
use sycamore_tools::load::mix::Mix;

/// Limits that only a hanging process reaches, on a slow machine too.
const START_LIMIT: Duration = Duration::from_secs(60);
const END_LIMIT: Duration = Duration::from_secs(60);
/// Load before the first fault, and between two rounds.
const QUIET: Duration = Duration::from_millis(800);
/// Port whose owner may use a network of addresses.
const CLAIM_PORT: u16 = 7099;
/// What is added to the ports that nodes listen on; the forwarder takes their places.
const REAL_PORT_OFFSET: u16 = 100;
/// Presets that operators choose from.
const PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];

/// What a trial came to.
#[derive(Debug)]
pub struct Report {
    /// Rules broken.
    pub findings: Findings,
    /// Everything that was recorded.
    pub evidence: Evidence,
    /// How long after the last publication, and the end of the faults, every node showed it.
    pub settled: Duration,
    /// What was done, with its time.
    pub log: Vec<String>,
}

/// A trial under way.
struct Trial {
    stack: Stack,
    forwarder: Forwarder,
    evidence: Evidence,
    faults: Faults,
    version: u64,
    hanging: usize,
    deaths: usize,
    settled: Duration,
    start: Instant,
    log: Vec<String>,
    // Dropped last, once no process uses the addresses.
    _claim: TcpListener,
}

/// Runs the trial of a seed. Files go below `output`.
pub fn run(seed: u64, output: &Path) -> io::Result<Report> {
    let mut trial = Trial::new(seed, output)?;
    trial.begin()?;
    let observer = Observer::start(trial.watched());
    let entries = trial.stack.settings.values().map(|node| node.listen.calls).collect();
    let callers = Callers::start(Mix { classes: classes() }, entries, seed);
    let result = trial.disturb(&plan::rounds(seed)).and_then(|()| trial.settle());
    trial.evidence.records = callers.stop();
    trial.evidence.samples = observer.stop().samples;
    result?;
    trial.end()
}

/// The deployment on addresses that no other trial uses now, and what keeps others off them.
fn free_deployment(seed: u64) -> io::Result<(Deployment, TcpListener)> {
    let first = (seed % u64::from(NETWORKS)) as u8;
    let networks = (first..NETWORKS).chain(0..first).map(|network| FIRST_NETWORK + network);
    let mut candidates = networks.map(|network| Deployment { network, ..DEPLOYMENT });
    let claim = |found: Deployment| {
        let at = SocketAddr::new(found.platform_control().ip(), CLAIM_PORT);
        TcpListener::bind(at).ok().map(|claim| (found, claim))
    };
    candidates.find_map(claim).ok_or_else(|| io::ErrorKind::AddrInUse.into())
}

/// Makes a node listen behind the forwarder.
fn hide(files: &Path, vm: &str) -> io::Result<[Port; 2]> {
    let path = files.join("nodes").join(format!("{vm}.json"));
    let mut settings = Settings::read(&path).map_err(io::Error::other)?;
    let zone = settings.zone.clone();
    let hide = |address: &mut SocketAddr, introduces| {
        let known = *address;
        address.set_port(known.port() + REAL_PORT_OFFSET);
        Port { zone: zone.clone(), known, real: *address, introduces }
    };
    let listen = &mut settings.listen;
    let ports = [hide(&mut listen.gate, false), hide(&mut listen.peers, true)];
    std::fs::write(path, serde_json::to_vec_pretty(&settings)?)?;
    Ok(ports)
}

impl Trial {
    fn new(seed: u64, output: &Path) -> io::Result<Trial> {
        let (deployment, claim) = free_deployment(seed)?;
        let files = output.join("files");
        example::write(&deployment, &files)?;
        let mut ports = Vec::new();
        for vm in deployment.vms() {
            ports.extend(hide(&files, &vm.name)?);
        }
        Ok(Trial {
            stack: Stack::new(deployment, &files, output)?,
            forwarder: Forwarder::start(ports)?,
            evidence: Evidence::default(),
            faults: Faults::default(),
            version: 1,
            hanging: 0,
            deaths: 0,
            settled: Duration::ZERO,
            start: Instant::now(),
            log: Vec::new(),
            _claim: claim,
        })
    }

    fn begin(&mut self) -> io::Result<()> {
        self.stack.start_standins()?;
        self.record(1, true);
        for vm in self.vms() {
            self.start_node(&vm)?;
        }
        let admins: Vec<_> = self.watched().iter().map(|node| node.admin).collect();
        let ready = || admins.iter().all(|admin| http::get(*admin, "/ready").is_ok());
        wait_until(START_LIMIT, ready, "not all nodes became ready")
    }

    fn start_node(&mut self, vm: &str) -> io::Result<()> {
        self.stack.start_node(vm)?;
        let zone = self.stack.settings[vm].zone.clone();
        self.forwarder.place(self.stack.nodes[vm].id(), zone);
        Ok(())
    }

    fn disturb(&mut self, rounds: &[Round]) -> io::Result<()> {
        for round in rounds {
            std::thread::sleep(QUIET);
            let at = self.start.elapsed().as_secs_f64();
            self.log.push(format!("{at:>5.1} s  {:?} {:?}", round.span, round.faults));
            for fault in &round.faults {
                self.cause(*fault)?;
            }
            std::thread::sleep(round.span);
            for fault in &round.faults {
                self.end_fault(*fault)?;
            }
        }
        Ok(())
    }

    fn cause(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill { vm, target } => {
                let vm = self.vm(vm);
                // Dropping the process kills it.
                self.stack.nodes.shift_remove(&vm);
                if target {
                    self.stack.control_target("crash", &vm, "300".into())?;
                }
                Ok(())
            }
            Fault::Pause { vm } => {
                self.node(vm).into_iter().for_each(Process::pause);
                Ok(())
            }
            Fault::CutZone { zone } => {
                self.forwarder.isolate(self.zone(zone));
                Ok(())
            }
            Fault::CutPlatform { zone } => {
                let deployment = &self.stack.deployment;
                let number = deployment.zones()[zone].2;
                self.faults.blocked.push(deployment.platform_address(number).ip());
                self.stack.set_faults(&self.faults)
            }
            Fault::Down => self.with_faults(|faults| faults.down = true),
            Fault::Silent => self.with_faults(|faults| faults.unresponsive = true),
            Fault::Rubbish => self.with_faults(|faults| faults.malformed = true),
            Fault::Back { changes } => {
                let control = self.stack.deployment.platform_control();
                let counts: Counts = serde_json::from_slice(&http::get(control, "/counts")?)?;
                let index = counts.index.saturating_sub(changes);
                self.with_faults(|faults| faults.as_of = Some(index))
            }
            Fault::Unlisted { vm } => self.list(vm, VmState::Gone),
            Fault::Publish { preset } => self.publish_next(PRESETS[preset], |_| {}),
            Fault::Move { zone } => {
                let zone = self.zone(zone);
                self.publish_next("moved", |preset| {
                    for service in preset.services.values_mut() {
                        service.targets.retain(|target| target.zone != zone);
                    }
                })
            }
            Fault::Invalid => self.publish_invalid(),
            Fault::Conflict => {
                self.publish_next("peak", |_| {})?;
                self.version -= 1;
                self.publish_next("maintenance", |_| {})
            }
            Fault::Crossing => {
                self.version += 1;
                self.publish_next("peak", |_| {})?;
                self.version -= 2;
                self.publish_next("maintenance", |_| {})?;
                self.version += 1;
                Ok(())
            }
            Fault::Death => self.send_death(),
            Fault::Drain { vm } => self.drain(vm),
        }
    }

    /// Undoes a fault, if that needs anything.
    fn end_fault(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill { vm, .. } | Fault::Drain { vm } => {
                let vm = self.vm(vm);
                if self.stack.nodes.contains_key(&vm) { Ok(()) } else { self.start_node(&vm) }
            }
            Fault::Pause { vm } => {
                self.node(vm).into_iter().for_each(Process::resume);
                Ok(())
            }
            Fault::CutZone { .. } => {
                self.forwarder.heal();
                Ok(())
            }
            Fault::Unlisted { vm } => self.list(vm, VmState::Live),
            _ => self.with_faults(|faults| *faults = Faults::default()),
        }
    }

    fn with_faults(&mut self, change: impl FnOnce(&mut Faults)) -> io::Result<()> {
        let before = self.faults.clone();
        change(&mut self.faults);
        if self.faults == before { Ok(()) } else { self.stack.set_faults(&self.faults) }
    }

    fn list(&self, vm: usize, state: VmState) -> io::Result<()> {
        let (vm, zone) = (self.vm(vm), self.stack.settings[vm].zone.clone());
        let file = self.stack.file(&format!("published/vms/{zone}.json"));
        let mut list: VmList = serde_json::from_slice(&std::fs::read(file)?)?;
        let listed = list.vms.iter_mut().find(|listed| listed.vm.as_str() == vm);
        listed.into_iter().for_each(|listed| listed.state = state);
        let control = self.stack.deployment.platform_control();
        let body = serde_json::to_vec(&list)?;
        http::put(control, &format!("/v1/kv/vms/{zone}"), body.into()).map(|_| ())
    }

    /// Publishes the next version: a preset with a change.
    fn publish_next(&mut self, name: &str, change: impl FnOnce(&mut Preset)) -> io::Result<()> {
        let base = if PRESETS.contains(&name) { name } else { PRESETS[0] };
        let file = self.stack.file(&format!("published/preset/{base}.json"));
        let mut preset: Preset = serde_json::from_slice(&std::fs::read(file)?)?;
        preset.name = Name::new(name.to_string()).ok_or(io::ErrorKind::InvalidInput)?;
        change(&mut preset);
        std::fs::write(self.stack.file("next.json"), serde_json::to_vec(&preset)?)?;
        self.version += 1;
        self.record(self.version, true);
        self.stack.publish(self.version, name, "next.json").map(|_| ())
    }

    fn publish_invalid(&mut self) -> io::Result<()> {
        self.version += 1;
        self.record(self.version, false);
        self.stack.publish(self.version, "dangling", "refused/dangling.json").map(|_| ())
    }

    fn record(&mut self, version: u64, valid: bool) {
        let publication = Publication { version, at_us: now_us(), valid };
        self.evidence.publications.push(publication);
    }

    /// Asks a node to stop while long calls run on its target, and waits for its end.
    fn drain(&mut self, vm: usize) -> io::Result<()> {
        let vm = self.vm(vm);
        let Some(mut node) = self.stack.nodes.shift_remove(&vm) else { return Ok(()) };
        let at_us = now_us();
        node.terminate();
        let ended = node.wait(END_LIMIT);
        self.hanging += usize::from(!ended || node.exit_code() != Some(0));
        let entry = self.stack.settings[&vm].listen.calls;
        self.evidence.drains.push(Stop { vm, entry, at_us, until_us: now_us() });
        Ok(())
    }

    /// Sends the same request through every node that runs, under an id of its own each time, so
    /// that the targets' log tells how many targets each send has crashed.
    fn send_death(&mut self) -> io::Result<()> {
        for settings in self.stack.settings.values() {
            self.deaths += 1;
            let req = Request::get("/contracts/1?crash=1")
                .header("host", "sycamore")
                .header("x-sycamore-request-id", format!("{DEATH_ID}{}", self.deaths))
                .header("x-sycamore-deadline-ms", "1000");
            let req = req.body(Full::new(Bytes::new())).map_err(io::Error::other)?;
            let executor = Rc::new(LocalExecutor::new());
            let pool = Pool::new(settings.listen.calls, executor.clone());
            let timeout = async {
                async_io::Timer::after(Duration::from_secs(1)).await;
            };
            let send = async {
                // What the caller is told doesn't matter here.
                let _ = pool.send(req).await;
            };
            future::block_on(executor.run(future::or(send, timeout)));
        }
        Ok(())
    }

    /// Publishes a last version, with every fault healed, and waits until every node shows it.
    fn settle(&mut self) -> io::Result<()> {
        self.publish_next(PRESETS[0], |_| {})?;
        let (admins, last): (Vec<_>, u64) =
            (self.watched().iter().map(|node| node.admin).collect(), self.version);
        let shows = |admin: &SocketAddr| {
            let body = http::get(*admin, "/status").ok();
            let status = body.and_then(|body| serde_json::from_slice::<Status>(&body).ok());
            status.and_then(|status| status.in_force).is_some_and(|shown| shown.version >= last)
        };
        let published = Instant::now();
        // The rules count it if some node never shows it.
        let _ = wait_until(END_LIMIT, || admins.iter().all(shows), "");
        self.settled = published.elapsed();
        std::thread::sleep(QUIET);
        Ok(())
    }

    fn end(mut self) -> io::Result<Report> {
        self.evidence.expected_vms = self.vms();
        for node in self.stack.nodes.values() {
            node.terminate();
        }
        for node in self.stack.nodes.values_mut() {
            self.hanging += usize::from(!node.wait(END_LIMIT) || node.exit_code() != Some(0));
        }
        self.evidence.runs = run_log::read(Path::new(&self.stack.output("runs.jsonl")))?;
        let findings = Findings::find(&self.evidence, self.hanging);
        let Trial { evidence, settled, log, .. } = self;
        Ok(Report { findings, evidence, settled, log })
    }

    fn vms(&self) -> Vec<String> {
        self.stack.settings.keys().cloned().collect()
    }

    fn vm(&self, index: usize) -> String {
        self.stack.settings.get_index(index).map_or(String::new(), |(vm, _)| vm.clone())
    }

    fn node(&self, vm: usize) -> Option<&Process> {
        self.stack.nodes.get(&self.vm(vm))
    }

    fn zone(&self, index: usize) -> Name {
        let mut zones: Vec<&Name> = self.stack.settings.values().map(|node| &node.zone).collect();
        zones.dedup();
        zones[index].clone()
    }

    fn watched(&self) -> Vec<MonitoredNode> {
        let nodes = self.stack.settings.iter();
        nodes.map(|(vm, node)| MonitoredNode { vm: vm.clone(), admin: node.listen.admin }).collect()
    }
}

fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool, detail: &str) -> io::Result<()> {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return Err(io::Error::new(io::ErrorKind::TimedOut, detail));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
