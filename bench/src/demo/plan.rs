//! What a demonstration does, step by step.

use super::observer::{Observer, Seen, Watched};
use super::rules::{Evidence, Publication, Stop};
use crate::http;
use crate::process::{Launcher, Process};
use indexmap::IndexMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use sycamore_core::Name;
use sycamore_core::config::InForce;
use sycamore_core::hash::Hash;
use sycamore_node::settings::Settings;
use sycamore_standins::example::Deployment;
use sycamore_standins::platform::Faults;
use sycamore_standins::target::run_log;
use sycamore_tools::load::history::{self, now_us};

/// Requests a second.
const RATE: &str = "250";
/// How long requests go out, in seconds.
const LOAD_SECONDS: &str = "34";
/// Longest wait for all nodes to hold the first version.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Longest planned stop of one node.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Longest time that callers wait after the last request went out.
const LOAD_LIMIT: Duration = Duration::from_secs(12);
/// Pause between looks at whether to go on.
const POLL: Duration = Duration::from_millis(20);

/// The version that is in force at the start.
const FIRST_VERSION: u64 = 1;

/// Where a demonstration's files are.
#[derive(Clone, Debug)]
pub struct Paths {
    /// The deployment's example.
    pub example: PathBuf,
    /// Where output goes.
    pub output: PathBuf,
}

/// A deployment as it runs.
#[derive(Debug)]
pub struct Demo {
    deployment: Deployment,
    paths: Paths,
    launcher: Launcher,
    interrupted: Arc<AtomicBool>,
    settings: IndexMap<String, Settings>,
    nodes: IndexMap<String, Process>,
    platform: Option<Process>,
    targets: Option<Process>,
    evidence: Evidence,
    start: Instant,
}

impl Demo {
    /// Reads the settings of a deployment. `interrupted` ends the run early.
    pub fn new(
        deployment: Deployment,
        paths: Paths,
        interrupted: Arc<AtomicBool>,
    ) -> io::Result<Demo> {
        let launcher = Launcher::new(&paths.output)?;
        let mut settings = IndexMap::new();
        for vm in deployment.vms() {
            let path = paths.example.join("nodes").join(format!("{}.json", vm.name));
            settings.insert(vm.name, Settings::read(&path).map_err(io::Error::other)?);
        }
        Ok(Demo {
            deployment,
            paths,
            launcher,
            interrupted,
            settings,
            nodes: IndexMap::new(),
            platform: None,
            targets: None,
            evidence: Evidence::default(),
            start: Instant::now(),
        })
    }

    /// Runs it all and returns what is known of the run.
    pub fn run(mut self) -> io::Result<(Evidence, Seen)> {
        self.start_all()?;
        let observer = Observer::start(self.watched());
        self.wait_until_ready()?;
        let mut timeline = self.start_timeline()?;
        let mut load = self.start_load()?;
        self.start = Instant::now();
        self.disturb()?;
        if !self.wait_for(&mut load, LOAD_LIMIT)? {
            self.say("callers still wait; they are ended");
            load.terminate();
        }
        timeline.terminate();
        timeline.wait(STOP_LIMIT);
        let seen = observer.stop();
        self.stop_all();
        self.collect(seen)
    }

    fn start_all(&mut self) -> io::Result<()> {
        let published = self.path("published");
        let control = self.deployment.platform_control().to_string();
        let readers: Vec<String> =
            self.deployment.zones().iter().map(|zone| self.platform(zone.2)).collect();
        let mut args = vec!["--values", &published, "--control", &control];
        args.extend(readers.iter().flat_map(|address| ["--listen", address.as_str()]));
        self.platform = Some(self.launcher.start("standin-platform", &args, "platform.log")?);
        let targets = self.path("targets.json");
        let runs = self.output("runs.jsonl");
        let args = ["--targets", targets.as_str(), "--run-log", runs.as_str()];
        self.targets = Some(self.launcher.start("standin-target", &args, "targets.log")?);
        // Nodes whose platform isn't there yet would only try again later.
        self.pause(Duration::from_millis(200))?;
        for vm in self.settings.keys().cloned().collect::<Vec<_>>() {
            self.start_node(&vm)?;
        }
        Ok(())
    }

    fn start_node(&mut self, vm: &str) -> io::Result<()> {
        let settings = self.path(&format!("nodes/{vm}.json"));
        let args = ["--settings", settings.as_str()];
        let node = self.launcher.start("sycamore-node", &args, &format!("{vm}.log"))?;
        self.nodes.insert(vm.to_string(), node);
        Ok(())
    }

    fn start_load(&self) -> io::Result<Process> {
        let (mix, history) = (self.path("load.json"), self.output("history.jsonl"));
        let summary = self.output("load.json");
        let entries: Vec<String> =
            self.settings.values().map(|settings| settings.listen.calls.to_string()).collect();
        let mut args = vec!["--mix", &mix, "--history", &history, "--json", &summary];
        args.extend(["--rate", RATE, "--seconds", LOAD_SECONDS]);
        args.extend(entries.iter().flat_map(|address| ["--entry", address.as_str()]));
        self.launcher.start("sycamore-load", &args, "load.log")
    }

    /// The time line keeps looking, since a killed node takes its events with it.
    fn start_timeline(&self) -> io::Result<Process> {
        let lists: Vec<String> = self
            .deployment
            .zones()
            .iter()
            .map(|(_, zone, _)| self.path(&format!("published/vms/{zone}.json")))
            .collect();
        let output = self.output("timeline.svg");
        let mut args = vec!["--follow", "120", "--format", "svg", "--output", &output];
        args.extend(["--title", self.deployment.name]);
        args.extend(lists.iter().flat_map(|list| ["--vms", list.as_str()]));
        self.launcher.start("sycamore-timeline", &args, "timeline.log")
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        let mut waiting: Vec<SocketAddr> =
            self.settings.values().map(|settings| settings.listen.admin).collect();
        while !waiting.is_empty() {
            if Instant::now() >= end {
                let detail = format!("not ready after {START_LIMIT:?}: {waiting:?}");
                return Err(io::Error::other(detail));
            }
            waiting.retain(|admin| http::get(*admin, "/ready").is_err());
            self.pause(POLL)?;
        }
        self.say("every node holds the first version");
        Ok(())
    }

    /// The changes and faults, while load runs.
    fn disturb(&mut self) -> io::Result<()> {
        self.evidence.publications.push(Publication {
            version: FIRST_VERSION,
            at_us: now_us(),
            valid: true,
        });
        self.until(4)?;
        self.publish(2, "peak", "published/preset/peak.json", true)?;
        self.until(9)?;
        self.publish(3, "dangling", "refused/dangling.json", false)?;
        self.until(12)?;
        self.kill_and_restart(&self.vm(0, 1))?;
        self.until(20)?;
        let drained = self.vm(2, 0);
        self.drain(&drained)?;
        self.until(25)?;
        self.cut_zone(4)?;
        self.until(27)?;
        self.publish(4, "maintenance", "published/preset/maintenance.json", true)?;
        self.until(31)?;
        self.heal()
    }

    fn publish(&mut self, version: u64, preset: &str, file: &str, valid: bool) -> io::Result<()> {
        let body = std::fs::read(self.path(file))?;
        let name = Name::new(preset.to_string()).ok_or(io::ErrorKind::InvalidInput)?;
        let in_force = InForce { version, preset: name, digest: Hash::of(&body) };
        let control = self.deployment.platform_control();
        http::put(control, &format!("/v1/kv/preset/{preset}"), body.into())?;
        let at_us = now_us();
        http::put(control, "/v1/kv/in-force", serde_json::to_vec(&in_force)?.into())?;
        self.evidence.publications.push(Publication { version, at_us, valid });
        let what = if valid { "preset" } else { "invalid preset" };
        self.say(&format!("published version {version}, {what} {preset}"));
        Ok(())
    }

    fn kill_and_restart(&mut self, vm: &str) -> io::Result<()> {
        let at_us = now_us();
        // Dropping the process kills it.
        self.nodes.shift_remove(vm);
        self.say(&format!("killed {vm}"));
        self.pause(Duration::from_secs(2))?;
        self.start_node(vm)?;
        self.say(&format!("restarted {vm}"));
        let stop = self.stop_of(vm, at_us);
        self.evidence.kills.push(stop);
        Ok(())
    }

    fn drain(&mut self, vm: &str) -> io::Result<()> {
        let at_us = now_us();
        let Some(mut node) = self.nodes.shift_remove(vm) else { return Ok(()) };
        node.terminate();
        self.say(&format!("asked {vm} to stop"));
        let ended = self.wait_for(&mut node, STOP_LIMIT)?;
        self.say(&format!("{vm} {}", if ended { "has stopped" } else { "did not stop" }));
        let stop = self.stop_of(vm, at_us);
        self.evidence.drains.push(stop);
        Ok(())
    }

    fn stop_of(&self, vm: &str, at_us: u64) -> Stop {
        let entry = self.settings[vm].listen.calls;
        Stop { vm: vm.to_string(), entry, at_us, until_us: now_us() }
    }

    fn cut_zone(&mut self, zone: usize) -> io::Result<()> {
        let (_, name, number) = self.deployment.zones()[zone].clone();
        let cut = vec![self.deployment.platform(number).ip()];
        self.set_faults(&Faults { cut, ..Faults::default() })?;
        self.say(&format!("cut zone {name} from the platform"));
        Ok(())
    }

    fn heal(&mut self) -> io::Result<()> {
        self.set_faults(&Faults::default())?;
        self.say("the cut zone reaches the platform again");
        Ok(())
    }

    fn set_faults(&self, faults: &Faults) -> io::Result<()> {
        let body = serde_json::to_vec(faults)?;
        http::put(self.deployment.platform_control(), "/faults", body.into()).map(|_| ())
    }

    /// Asks every process to stop and waits for them together.
    fn stop_all(&mut self) {
        self.nodes.values().for_each(Process::terminate);
        for (vm, node) in &mut self.nodes {
            if !node.wait(STOP_LIMIT) {
                eprintln!("{vm} did not stop; it is killed");
            }
        }
        self.nodes.clear();
        self.targets = None;
        self.platform = None;
    }

    fn collect(mut self, seen: Seen) -> io::Result<(Evidence, Seen)> {
        let output = &self.paths.output;
        self.evidence.records = history::read(&output.join("history.jsonl"))?;
        self.evidence.runs = run_log::read(&output.join("runs.jsonl"))?;
        self.evidence.samples = seen.samples.clone();
        let drained = |vm: &str| self.evidence.drains.iter().any(|stop| stop.vm == vm);
        let lasting = self.settings.keys().filter(|vm| !drained(vm)).cloned().collect();
        self.evidence.lasting = lasting;
        write_json(&output.join("samples.json"), &self.evidence.samples)?;
        Ok((self.evidence, seen))
    }

    /// Waits for the end of a process, at most `limit` after the load's last request.
    fn wait_for(&self, process: &mut Process, limit: Duration) -> io::Result<bool> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if process.ended() {
                return Ok(true);
            }
            self.pause(POLL)?;
        }
        Ok(false)
    }

    /// Waits until so many seconds after the start of the load.
    fn until(&self, seconds: u64) -> io::Result<()> {
        self.pause(Duration::from_secs(seconds).saturating_sub(self.start.elapsed()))
    }

    fn pause(&self, span: Duration) -> io::Result<()> {
        let end = Instant::now() + span;
        loop {
            if self.interrupted.load(Ordering::Acquire) {
                return Err(io::ErrorKind::Interrupted.into());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(POLL));
        }
    }

    fn say(&self, text: &str) {
        println!("{:>5.1} s  {text}", self.start.elapsed().as_secs_f64());
    }

    fn vm(&self, zone: usize, index: usize) -> String {
        let zone = &self.deployment.zones()[zone].1;
        let vms = self.deployment.vms();
        vms.into_iter().filter(|vm| vm.zone == *zone).nth(index).map_or(String::new(), |vm| vm.name)
    }

    fn watched(&self) -> Vec<Watched> {
        let watched = |(vm, settings): (&String, &Settings)| Watched {
            vm: vm.clone(),
            admin: settings.listen.admin,
        };
        self.settings.iter().map(watched).collect()
    }

    fn platform(&self, zone_number: u8) -> String {
        self.deployment.platform(zone_number).to_string()
    }

    fn path(&self, below: &str) -> String {
        self.paths.example.join(below).display().to_string()
    }

    fn output(&self, below: &str) -> String {
        self.paths.output.join(below).display().to_string()
    }
}

fn write_json<T: serde::Serialize>(path: &Path, content: &T) -> io::Result<()> {
    std::fs::write(path, serde_json::to_vec(content)?)
}
