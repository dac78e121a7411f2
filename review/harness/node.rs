//! Machines: starts the project's nodes with the command and the settings template of the deploy file.

use crate::net::{connect_from, read_body, read_head, send_signal};
use crate::Record;
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ports, the same on all machines.
pub const OUTBOUND: u16 = 18_629;
pub const INBOUND: u16 = 18_624;
pub const READY: u16 = 18_625;
pub const CONTROL: u16 = 18_620;
pub const APP: u16 = 18_628;
pub const STORE: u16 = 18_627;
/// The template has a fixed port for the metrics.
const METRICS: u16 = 7_601;

/// A network of loopback addresses, one for each machine.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
}

impl Network {
    /// Finds a network in which the ports of all machines are free.
    pub fn find(machines: u8) -> Option<Network> {
        let start = (std::process::id() % 200) as u8;
        let candidates = (0..200u8).map(|offset| Network { second: 20 + (start + offset) % 200 });
        let free = |network: &Network| {
            let ports = [OUTBOUND, INBOUND, READY, CONTROL, APP, STORE, METRICS];
            (0..=machines).all(|machine| {
                ports.iter().all(|port| {
                    TcpListener::bind(SocketAddrV4::new(network.ip(machine), *port)).is_ok()
                })
            })
        };
        candidates.into_iter().find(free)
    }

    /// Machine 0 is that of the store.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, 0, 10 + machine)
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), port)
    }
}

/// A machine on which a node runs.
#[derive(Clone, Debug)]
pub struct Machine {
    pub number: u8,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
}

/// Bounds of a site, as its settings state them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub converge_ms: u32,
    pub drain_ms: u32,
    pub grace_s: u32,
    pub retry_ratio: f64,
    pub retry_slack: u32,
    pub link_mbps: f64,
}

pub struct Fleet {
    pub network: Network,
    pub machines: Vec<Machine>,
    pub bounds: Bounds,
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    nodes: HashMap<u8, Child>,
}

impl Fleet {
    pub fn new(
        network: Network,
        machines: Vec<Machine>,
        bounds: Bounds,
        root: &Path,
        folder: &Path,
        record: &Record,
    ) -> Fleet {
        Fleet {
            network,
            machines,
            bounds,
            root: root.to_owned(),
            folder: folder.to_owned(),
            record: record.clone(),
            nodes: HashMap::new(),
        }
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        for machine in self.machines.clone() {
            self.start(&machine)?;
        }
        Ok(())
    }

    pub fn start(&mut self, machine: &Machine) -> Result<(), String> {
        let error = |e: std::io::Error| e.to_string();
        let template = std::fs::read_to_string(self.root.join("deploy/settings.template"));
        let settings = render(&template.map_err(error)?, &self.fields(machine))?;
        let path = self.folder.join(format!("boot-{}.json", machine.number));
        std::fs::write(&path, settings).map_err(error)?;
        let deploy = std::fs::read_to_string(self.root.join("deploy/system.toml")).map_err(error)?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or("no run command in deploy/system.toml")?.trim().trim_matches('"');
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let log = self.folder.join(format!("node-{}.log", machine.number));
        let log = File::options().create(true).append(true).open(log).map_err(error)?;
        let mut command = Command::new(program);
        command.args(words).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("SYCAMORESCALE_BOOT", &path).stdin(Stdio::null());
        command.stdout(log.try_clone().map_err(error)?).stderr(log);
        let child = command.spawn().map_err(error)?;
        self.record.line(&format!("node {} starts, process {}", machine.number, child.id()));
        self.nodes.insert(machine.number, child);
        Ok(())
    }

    fn fields(&self, machine: &Machine) -> HashMap<&'static str, Value> {
        let text = |value: String| Value::Text(value);
        let at = |port: u16| self.network.at(machine.number, port).to_string();
        let zones: Vec<String> = self
            .machines
            .iter()
            .map(|other| format!("\"{}\":\"{}\"", other.zone, other.region))
            .collect();
        let seeds = self.machines.iter().take(3);
        let seeds: Vec<String> =
            seeds.map(|seed| self.network.at(seed.number, CONTROL).to_string()).collect();
        let mut zones = zones;
        zones.sort();
        zones.dedup();
        HashMap::from([
            ("node", text(format!("sidecar-{}-{}", machine.zone, machine.number))),
            ("region", text(machine.region.to_owned())),
            ("zone", text(machine.zone.to_owned())),
            ("service", text(machine.service.to_owned())),
            ("bind_ip", text(self.network.ip(machine.number).to_string())),
            ("listen.outbound", text(at(OUTBOUND))),
            ("listen.inbound", text(at(INBOUND))),
            ("listen.control", text(at(CONTROL))),
            ("listen.ready", text(at(READY))),
            ("app_addr", text(at(APP))),
            ("platform.addr", text(self.network.at(0, STORE).to_string())),
            ("zones", Value::Raw(format!("{{{}}}", zones.join(",")))),
            ("seed_addrs", Value::List(seeds)),
            ("bounds.retry_ratio", Value::Raw(self.bounds.retry_ratio.to_string())),
            ("bounds.retry_slack", Value::Raw(self.bounds.retry_slack.to_string())),
            ("bounds.converge_ms", Value::Raw(self.bounds.converge_ms.to_string())),
            ("bounds.drain_ms", Value::Raw(self.bounds.drain_ms.to_string())),
            ("bounds.grace_s", Value::Raw(self.bounds.grace_s.to_string())),
            ("limits.link_mbps", Value::Raw(format!("{:.1}", self.bounds.link_mbps))),
        ])
    }

    pub fn pid(&self, machine: u8) -> Option<u32> {
        self.nodes.get(&machine).map(Child::id)
    }

    pub fn signal(&self, machine: u8, signal: i32) {
        if let Some(pid) = self.pid(machine) {
            self.record.line(&format!("node {machine} gets signal {signal}"));
            send_signal(pid, signal);
        }
    }

    /// How a process ended, if it has.
    pub fn ended(&mut self, machine: u8) -> Option<String> {
        let child = self.nodes.get_mut(&machine)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Processor time that a process has used, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self, machine: u8) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.pid(machine)?)).ok()?;
        let rest = text.rsplit_once(')')?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
    }

    pub fn is_ready(&self, machine: u8) -> bool {
        is_ready(self.network, machine)
    }

    pub fn wait_ready(&self, at_most: Duration) -> bool {
        let until = Instant::now() + at_most;
        while Instant::now() < until {
            if self.nodes.keys().all(|machine| self.is_ready(*machine)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Asks a node for readiness as the platform does.
pub fn is_ready(network: Network, machine: u8) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut stream = connect_from(network.ip(0), network.at(machine, READY))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?.unwrap_or_default();
        let _ = read_body(&mut reader, &head, true);
        Ok(head.status())
    };
    ask().is_ok_and(|status| status == 200)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, mut child) in self.nodes.drain() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

enum Value {
    Text(String),
    Raw(String),
    List(Vec<String>),
}

/// Fills in the template as DEPLOY.md describes it, as far as the project's template uses it.
fn render(template: &str, fields: &HashMap<&'static str, Value>) -> Result<String, String> {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let (tag, after) = after.split_once("}}").ok_or("a placeholder is not closed")?;
        rest = after;
        if let Some(name) = tag.strip_prefix('#') {
            let end = format!("{{{{/{name}}}}}");
            let (inner, after) = rest.split_once(&end).ok_or("a section is not closed")?;
            rest = after;
            match fields.get(name) {
                Some(Value::List(entries)) => {
                    let last = entries.len().saturating_sub(1);
                    for (index, entry) in entries.iter().enumerate() {
                        let comma = if index < last { "," } else { "" };
                        let text = inner.replace("{{.|json}}", &format!("\"{entry}\""));
                        out.push_str(&text.replace("{{,}}", comma));
                    }
                }
                Some(_) => out.push_str(&render(inner, fields)?),
                None => {}
            }
            continue;
        }
        let (name, json) = match tag.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (tag, false),
        };
        match fields.get(name) {
            Some(Value::Text(text)) if json => out.push_str(&format!("\"{text}\"")),
            Some(Value::Text(text) | Value::Raw(text)) => out.push_str(text),
            Some(Value::List(_)) | None if json => out.push_str("null"),
            _ => return Err(format!("no value for {tag}")),
        }
    }
    out.push_str(rest);
    Ok(out)
}
