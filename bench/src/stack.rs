//! Runs a deployment as separate processes: the platform, nodes and targets.

use crate::http;
use crate::process::{Launcher, Process};
use indexmap::IndexMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use sycamore_core::Name;
use sycamore_core::config::InForce;
use sycamore_core::hash::Hash;
use sycamore_node::settings::Settings;
use sycamore_standins::example::Deployment;
use sycamore_standins::platform::Faults;
use sycamore_tools::load::history::now_us;

/// Timeout for all nodes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the planned stop of a node.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Polling interval.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the stand-ins to start listening before nodes connect.
const STANDIN_START_DELAY: Duration = Duration::from_millis(200);

/// A running deployment. Dropping it kills its processes.
#[derive(Debug)]
pub struct Stack {
    /// Definition of the deployment.
    pub deployment: Deployment,
    /// Settings of all nodes by VM, including nodes that are not running.
    pub settings: IndexMap<String, Settings>,
    /// Running nodes by VM.
    pub nodes: IndexMap<String, Process>,
    /// Launcher for additional programs.
    pub launcher: Launcher,
    files: PathBuf,
    output: PathBuf,
    standins: Vec<Process>,
    claim: Option<NetworkClaim>,
}

/// Maximum number of concurrent deployments on one machine, each on a separate network.
const MAX_CONCURRENT_DEPLOYMENTS: u8 = 8;

/// Port that is bound while a deployment's network is in use.
const CLAIM_PORT: u16 = 7082;

/// Exclusive use of a network until dropped.
#[derive(Debug)]
pub struct NetworkClaim {
    /// The deployment on the claimed network.
    pub deployment: Deployment,
    _listener: TcpListener,
}

impl NetworkClaim {
    /// Claims the deployment's own network, or the next one that is free.
    pub fn new(deployment: Deployment) -> io::Result<NetworkClaim> {
        let networks = deployment.network..deployment.network + MAX_CONCURRENT_DEPLOYMENTS;
        let mut candidates = networks.map(|network| Deployment { network, ..deployment });
        let claim = |deployment: Deployment| {
            let at = SocketAddr::new(deployment.platform_control().ip(), CLAIM_PORT);
            Some(NetworkClaim { deployment, _listener: TcpListener::bind(at).ok()? })
        };
        candidates.find_map(claim).ok_or(io::ErrorKind::AddrInUse.into())
    }
}

impl Stack {
    /// Reads the settings of a deployment from `files`, without starting any process. Output goes
    /// to the directory `output`.
    pub fn new(deployment: Deployment, files: &Path, output: &Path) -> io::Result<Stack> {
        let launcher = Launcher::new(output)?;
        let mut settings = IndexMap::new();
        for vm in deployment.vms() {
            let path = files.join("nodes").join(format!("{}.json", vm.name));
            settings.insert(vm.name, Settings::read(&path).map_err(io::Error::other)?);
        }
        Ok(Stack {
            deployment,
            settings,
            nodes: IndexMap::new(),
            launcher,
            files: files.to_path_buf(),
            output: output.to_path_buf(),
            standins: Vec::new(),
            claim: None,
        })
    }

    /// Holds a claim on the network until the stack is dropped.
    pub fn with_claim(mut self, claim: NetworkClaim) -> Stack {
        self.claim = Some(claim);
        self
    }

    /// Starts the platform and the targets.
    pub fn start_standins(&mut self) -> io::Result<()> {
        let published = self.file("published");
        let control = self.deployment.platform_control().to_string();
        let zones = self.deployment.zones();
        let readers: Vec<String> =
            zones.iter().map(|zone| self.deployment.platform_address(zone.2).to_string()).collect();
        let mut args = vec!["--values", &published, "--control", &control];
        args.extend(readers.iter().flat_map(|address| ["--listen", address.as_str()]));
        self.standins.push(self.launcher.start("standin-platform", &args, "platform.log")?);
        let targets = self.file("targets.json");
        let runs = self.output("runs.jsonl");
        let args = ["--targets", targets.as_str(), "--run-log", runs.as_str()];
        self.standins.push(self.launcher.start("standin-target", &args, "targets.log")?);
        std::thread::sleep(STANDIN_START_DELAY);
        Ok(())
    }

    /// Starts all nodes.
    pub fn start_nodes(&mut self) -> io::Result<()> {
        for vm in self.settings.keys().cloned().collect::<Vec<_>>() {
            self.start_node(&vm)?;
        }
        Ok(())
    }

    /// Starts one node.
    pub fn start_node(&mut self, vm: &str) -> io::Result<()> {
        let settings = self.file(&format!("nodes/{vm}.json"));
        let args = ["--settings", settings.as_str()];
        let node = self.launcher.start("sycamore-node", &args, &format!("{vm}.log"))?;
        self.nodes.insert(vm.to_string(), node);
        Ok(())
    }

    /// Waits until all nodes are ready to accept calls.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let mut waiting: Vec<_> =
            self.nodes.keys().map(|vm| self.settings[vm].listen.admin).collect();
        while !waiting.is_empty() {
            self.check_running()?;
            if Instant::now() >= end {
                let detail = format!("nodes not ready after {START_TIMEOUT:?}: {waiting:?}");
                return Err(io::Error::other(detail));
            }
            waiting.retain(|admin| http::get(*admin, "/ready").is_err());
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Fails if a process has exited. Otherwise another deployment on the same addresses could be
    /// mistaken for this one.
    fn check_running(&mut self) -> io::Result<()> {
        let any_exited =
            self.standins.iter_mut().chain(self.nodes.values_mut()).any(Process::has_exited);
        if any_exited {
            let logs = self.output.display();
            return Err(io::Error::other(format!(
                "a process exited unexpectedly; see the logs in {logs}"
            )));
        }
        Ok(())
    }

    /// Publishes a preset as a new version. Returns the time of publication in microseconds since
    /// the Unix epoch.
    pub fn publish(&self, version: u64, preset: &str, file: &str) -> io::Result<u64> {
        let body = std::fs::read(self.file(file))?;
        let name = Name::new(preset.to_string()).ok_or(io::ErrorKind::InvalidInput)?;
        let in_force = InForce { version, preset: name, digest: Hash::of(&body) };
        let control = self.deployment.platform_control();
        http::put(control, &format!("/v1/kv/preset/{preset}"), body.into())?;
        let at_us = now_us();
        http::put(control, "/v1/kv/in-force", serde_json::to_vec(&in_force)?.into())?;
        Ok(at_us)
    }

    /// Sets the faults injected by the platform.
    pub fn set_faults(&self, faults: &Faults) -> io::Result<()> {
        let body = serde_json::to_vec(faults)?;
        http::put(self.deployment.platform_control(), "/faults", body.into()).map(|_| ())
    }

    /// Sends a control request (`habits` or `crash`) to a target.
    pub fn control_target(&self, command: &str, vm: &str, body: String) -> io::Result<()> {
        let control = self.deployment.targets_control();
        http::put(control, &format!("/{command}/{vm}"), body.into()).map(|_| ())
    }

    /// Stops all nodes, then kills the stand-ins. Returns the VMs whose nodes did not stop in time
    /// and were killed.
    pub fn stop(&mut self) -> Vec<String> {
        self.nodes.values().for_each(Process::terminate);
        let mut killed = Vec::new();
        for (vm, node) in &mut self.nodes {
            if !node.wait(STOP_TIMEOUT) {
                killed.push(vm.clone());
            }
        }
        self.nodes.clear();
        self.standins.clear();
        killed
    }

    /// Path of a deployment file.
    pub fn file(&self, file_name: &str) -> String {
        self.files.join(file_name).display().to_string()
    }

    /// Path of an output file.
    pub fn output(&self, file_name: &str) -> String {
        self.output.join(file_name).display().to_string()
    }
}
