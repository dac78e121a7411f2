//! A small deployment on loopback addresses: the project's own nodes as processes, and stand-ins of
//! the store and of backends.

use crate::backend::{Backend, Behaviour};
use crate::store::Store;
use std::fs::File;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const REGION: &str = "alberta";

/// How long the document says that backends are cold, and what they tolerate meanwhile; of the site file
/// pbfo-mesh-now-grown, as the other bounds are.
pub const COLD_S: f64 = 3.0;
pub const COLD_PER_S: f64 = 6.9;

/// Bounds of the rule FAILBACK, of the same file.
pub const COLD_OVER: f64 = 1.5;
pub const COLD_SLACK: f64 = 8.0;

/// Time after a start from which on a machine is in touch: more than `contact_ms`.
pub const IN_TOUCH: Duration = Duration::from_secs(5);

/// Ports of a machine, the same on all of them.
#[derive(Clone, Copy)]
pub enum Port {
    Outbound = 18_829,
    Inbound = 18_824,
    Ready = 18_825,
    Control = 18_820,
    App = 18_828,
    Store = 18_827,
    /// Reserves the addresses of a run.
    Reservation = 18_800,
}

/// Addresses of a run: one for each machine.
#[derive(Clone, Copy)]
pub struct Network {
    third: u8,
}

impl Network {
    /// Reserves addresses that no other run uses, until the process ends.
    pub fn reserve() -> io::Result<Network> {
        let first = (std::process::id() % 250) as u8;
        let reserve = |third: u8| {
            let at = (Ipv4Addr::new(127, 88, third, 9), Port::Reservation as u16);
            TcpListener::bind(at).ok().map(|reservation| {
                std::mem::forget(reservation);
                Network { third }
            })
        };
        (first..250).chain(0..first).find_map(reserve).ok_or(io::ErrorKind::AddrInUse.into())
    }

    pub fn at(&self, machine: usize, port: Port) -> SocketAddr {
        (Ipv4Addr::new(127, 88, self.third, 10 + machine as u8), port as u16).into()
    }

    pub fn store(&self) -> SocketAddr {
        (Ipv4Addr::new(127, 88, self.third, 8), Port::Store as u16).into()
    }
}

/// A machine: its zone and the service of its backend.
#[derive(Clone, Copy)]
pub struct Machine {
    pub zone: &'static str,
    pub service: &'static str,
}

/// The processes of the project. They end when this is dropped.
pub struct Fleet {
    pub processes: Vec<Child>,
    folder: PathBuf,
}

impl Fleet {
    pub fn start(network: &Network, machines: &[Machine], link_mbps: f64) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Fleet { processes: Vec::new(), folder };
        for number in 0..machines.len() {
            let process = fleet.start_process(network, machines, number, link_mbps)?;
            fleet.processes.push(process);
        }
        Ok(fleet)
    }

    fn start_process(
        &self,
        network: &Network,
        machines: &[Machine],
        number: usize,
        link_mbps: f64,
    ) -> io::Result<Child> {
        let settings = self.folder.join(format!("settings-{number}.json"));
        std::fs::write(&settings, render_settings(network, machines, number, link_mbps)?)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{number}.log")))?;
        Command::new(run_command()?)
            .env("SYCAMORESCALE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Starts the process of a machine again, after the earlier one has ended.
    pub fn restart(
        &mut self,
        network: &Network,
        machines: &[Machine],
        number: usize,
        link_mbps: f64,
    ) -> io::Result<()> {
        self.processes[number] = self.start_process(network, machines, number, link_mbps)?;
        Ok(())
    }

    /// Changes the settings file of a machine: its seeds come in the reverse order.
    pub fn change_settings(&self, network: &Network, number: usize) -> io::Result<()> {
        let path = self.folder.join(format!("settings-{number}.json"));
        let seed = |seed| format!("\"{}\"", network.at(seed, Port::Control));
        let before = [seed(0), seed(1), seed(2)].join(",");
        let after = [seed(2), seed(1), seed(0)].join(",");
        let text = std::fs::read_to_string(&path)?;
        match text.contains(&before) {
            true => std::fs::write(&path, text.replace(&before, &after)),
            false => Err(io::Error::other("the settings have no seeds")),
        }
    }

    /// Sends a signal to a process that this run has started.
    pub fn signal(&self, number: usize, signal: &str) -> io::Result<()> {
        let command = format!("kill -s {signal} {}", self.processes[number].id());
        Command::new("sh").args(["-c", &command]).status().map(|_| ())
    }

    pub fn wait_ready(&self, network: &Network) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..self.processes.len()).all(|number| is_ready(network, number)) {
            if Instant::now() > until {
                return Err(io::Error::other("the nodes are not ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Numbers of the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let ended = |process: &mut Child| !matches!(process.try_wait(), Ok(None));
        let processes = self.processes.iter_mut().enumerate();
        processes.filter_map(|(number, process)| ended(process).then_some(number)).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn is_ready(network: &Network, number: usize) -> bool {
    let ask = || -> io::Result<bool> {
        let at = network.at(number, Port::Ready);
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        (&stream).write_all(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")?;
        let head = crate::http::read_head(&mut io::BufReader::new(&stream))?;
        Ok(head.unwrap_or_default().status() == 200)
    };
    ask().unwrap_or(false)
}

/// The program that the deploy file names.
fn run_command() -> io::Result<PathBuf> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let program = line.and_then(|rest| rest.split(['"', ' ']).next());
    program.map(PathBuf::from).ok_or(io::Error::other("deploy/system.toml has no run line"))
}

/// Fills in the template of the settings, as the platform does.
fn render_settings(
    network: &Network,
    machines: &[Machine],
    number: usize,
    link_mbps: f64,
) -> io::Result<String> {
    let Machine { zone, service } = machines[number];
    let at = |port| network.at(number, port).to_string();
    let mut zones: Vec<&str> = machines.iter().map(|machine| machine.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"{REGION}\"")).collect();
    let seeds: Vec<String> = (0..machines.len().min(3))
        .map(|seed| format!("\"{}\"", network.at(seed, Port::Control)))
        .collect();
    let mut text = std::fs::read_to_string(Path::new("deploy/settings.template"))?
        .replace("{{#seed_addrs}}{{.|json}}{{,}}{{/seed_addrs}}", &seeds.join(","))
        .replace("{{#bounds.grace_s}}", "")
        .replace("{{/bounds.grace_s}}", "")
        .replace("{{#bounds.cold_over}}", "")
        .replace("{{/bounds.cold_over}}", "");
    let quoted = |text: &str| format!("\"{text}\"");
    let values = [
        ("node", quoted(&format!("machine-{number}"))),
        ("region", quoted(REGION)),
        ("zone", quoted(zone)),
        ("service", quoted(service)),
        ("bind_ip", network.at(number, Port::App).ip().to_string()),
        ("listen.outbound", quoted(&at(Port::Outbound))),
        ("listen.inbound", quoted(&at(Port::Inbound))),
        ("listen.control", quoted(&at(Port::Control))),
        ("listen.ready", quoted(&at(Port::Ready))),
        ("app_addr", quoted(&at(Port::App))),
        ("platform.addr", quoted(&network.store().to_string())),
        ("zones", format!("{{{}}}", zones.join(","))),
        ("bounds.retry_ratio", "0.2".to_owned()),
        ("bounds.retry_slack", "194".to_owned()),
        ("bounds.converge_ms", "3000".to_owned()),
        ("bounds.drain_ms", "3000".to_owned()),
        ("bounds.grace_s", "6".to_owned()),
        ("bounds.cold_over", COLD_OVER.to_string()),
        ("bounds.cold_slack", COLD_SLACK.to_string()),
        ("limits.link_mbps", format!("{link_mbps:.1}")),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), &value);
        text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
    }
    match text.contains("{{") {
        true => Err(io::Error::other(format!("a placeholder has no value: {text}"))),
        false => Ok(text),
    }
}

/// A route of the operators' document.
pub struct Route {
    pub prefix: String,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub attempts: u32,
}

pub const HOST: &str = "desk.example";

/// Publishes a version. Returns the size of the document.
pub fn publish(store: &Store, version: u64, routes: &[Route], services: &[&str]) -> usize {
    let rule = |route: &Route| {
        let Route { prefix, kind, service, timeout_ms, attempts } = route;
        let name = prefix.replace('/', "");
        format!(
            "{{\"name\":\"r-{name}\",\"kind\":\"{kind}\",\"slo_ms\":600,\"priority\":1,\
             \"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeout_ms\":{timeout_ms},\"attempts\":{attempts}}}}}"
        )
    };
    let rules: Vec<String> = routes.iter().map(rule).collect();
    let cluster = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":520,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_s\":{COLD_S},\"cold_per_s\":{COLD_PER_S}}}"
        )
    };
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    let document = format!(
        "{{\"version\":{version},\"base_rev\":0,\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    );
    store.put("op/config", &document);
    document.len()
}

/// A deployment with a backend and a node on each machine.
pub struct World {
    pub store: Store,
    pub network: Network,
    pub fleet: Fleet,
    pub backends: Vec<Backend>,
    /// Size of the operators' document.
    pub document_bytes: usize,
}

impl World {
    /// Starts everything, and waits until all nodes are ready and in touch.
    pub fn start(
        machines: &[Machine],
        routes: &[Route],
        (slots, link_mbps): (u32, f64),
        behaviour: &Behaviour,
    ) -> io::Result<World> {
        let (store, network) = (Store::default(), Network::reserve()?);
        let mut services: Vec<&str> = machines.iter().map(|machine| machine.service).collect();
        services.sort_unstable();
        services.dedup();
        let document_bytes = publish(&store, 1, routes, &services);
        store.serve(network.store())?;
        let mut backends = Vec::new();
        for (number, Machine { zone, service }) in machines.iter().enumerate() {
            let address = network.at(number, Port::App);
            let name = format!("{service}-{number}");
            let place = (*service, *zone);
            backends.push(Backend::start(name, place, address, slots, &store, behaviour.clone())?);
        }
        let fleet = Fleet::start(&network, machines, link_mbps)?;
        fleet.wait_ready(&network)?;
        std::thread::sleep(IN_TOUCH);
        Ok(World { store, network, fleet, backends, document_bytes })
    }

    /// Fails if a node has ended by itself.
    pub fn check_running(&mut self) -> io::Result<()> {
        match self.fleet.ended() {
            ended if ended.is_empty() => Ok(()),
            ended => Err(io::Error::other(format!("nodes that ended: {ended:?}"))),
        }
    }
}

/// Log of a run: what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn log(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {line}", self.started.elapsed().as_secs_f64());
    }
}
