//! Runs real `sycamore-node` processes against an in-process mock platform that can simulate
//! faults.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use sycamore_core::hash::Hash;
use sycamore_core::status::{Events, Status};

/// Timeout of all waits.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Response behaviour of the mock platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Valid responses.
    Normal,
    /// Bytes that are not HTTP.
    NotHttp,
    /// Values that are not a publication.
    InvalidValue,
    /// Status 429.
    OverLimit,
    /// The current values, with this status line.
    StatusLine(&'static str),
    /// No response.
    NoResponse,
}

struct Values {
    index: u64,
    values: BTreeMap<String, (u64, String)>,
    mode: ResponseMode,
    calls: usize,
}

/// Mock key-value store with blocking queries.
#[derive(Clone)]
pub struct MockPlatform {
    pub address: SocketAddr,
    state: Arc<(Mutex<Values>, Condvar)>,
}

impl MockPlatform {
    pub fn new() -> MockPlatform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let values =
            Values { index: 0, values: BTreeMap::new(), mode: ResponseMode::Normal, calls: 0 };
        let platform =
            MockPlatform { address, state: Arc::new((Mutex::new(values), Condvar::new())) };
        let server = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = server.clone();
                std::thread::spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    pub fn set(&self, key: &str, value: &str) {
        let mut values = self.state.0.lock().unwrap();
        values.index += 1;
        let index = values.index;
        values.values.insert(key.into(), (index, value.into()));
        self.state.1.notify_all();
    }

    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    pub fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls
    }

    /// Publishes a preset with one service and one route under the given version.
    pub fn publish(&self, version: u64) {
        let body = format!(
            r#"{{"name":"ordinary","services":{{"roster":{{"limits":{{"slots":{}}},
            "targets":[{{"vm":"a-0","region":"r1","zone":"a","gate":"127.0.0.1:1","peers":"127.0.0.1:2"}}]}}}},
            "routes":{{"rosters":{{"path_prefix":"/rosters","service":"roster","idempotent":true}}}}}}"#,
            version % 100 + 1
        );
        self.set("preset/ordinary", &body);
        let digest = Hash::of(body.as_bytes());
        let text = format!(r#"{{"version":{version},"preset":"ordinary","digest":"{digest}"}}"#);
        self.set("in-force", &text);
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut line = String::new();
        BufReader::new(stream.try_clone().ok()?).read_line(&mut line).ok()?;
        let path = line.split(' ').nth(1)?.strip_prefix("/v1/kv/")?.to_owned();
        let (key, query) = path.split_once('?').unwrap_or((&path, ""));
        let field = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let after: u64 = field("index").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = field("wait").and_then(|text| text.trim_end_matches('s').parse().ok());
        let wait = Duration::from_secs(wait.unwrap_or(0));
        let (lock, changed) = &*self.state;
        let mut values = lock.lock().unwrap();
        values.calls += 1;
        let unchanged = |values: &mut Values| {
            let index = values.values.get(key).map_or(0, |(index, _)| *index);
            values.mode == ResponseMode::Normal && after > 0 && index <= after
        };
        values = changed.wait_timeout_while(values, wait, unchanged).unwrap().0;
        let reply = match values.mode {
            ResponseMode::Normal => match values.values.get(key) {
                Some((index, value)) => http_response("200 OK", *index, value),
                None => http_response("404 Not Found", 0, ""),
            },
            ResponseMode::NotHttp => "\u{1}\u{2}rubbish\r\n\r\n".repeat(100),
            ResponseMode::InvalidValue => {
                http_response("200 OK", values.index + 1_000, "<html>oops</html>")
            }
            ResponseMode::OverLimit => http_response("429 Too Many Requests", 0, ""),
            ResponseMode::StatusLine(line) => {
                let value = values.values.get(key).map_or("", |(_, value)| value);
                let reply = http_response("200 OK", values.index + 1_000, value);
                reply.replacen("HTTP/1.1 200 OK", line, 1)
            }
            ResponseMode::NoResponse => {
                drop(values);
                std::thread::sleep(WAIT_TIMEOUT);
                return None;
            }
        };
        drop(values);
        stream.write_all(reply.as_bytes()).ok()
    }
}

fn http_response(status: &str, index: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nx-index: {index}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
}

/// VM of a node.
#[derive(Clone, Debug)]
pub struct Vm {
    pub name: String,
    pub region: String,
    pub zone: String,
    pub ip: IpAddr,
}

/// Creates the VMs of a test. Each has an address that is unique among concurrent test processes.
pub fn vms(test: u8, names: &[(&str, &str, &str)]) -> Vec<Vm> {
    let pid = std::process::id();
    let vm = |(number, (name, region, zone)): (usize, &(&str, &str, &str))| Vm {
        name: (*name).into(),
        region: (*region).into(),
        zone: (*zone).into(),
        ip: IpAddr::V4(Ipv4Addr::new(
            127,
            64 + (pid >> 8 & 63) as u8,
            (pid & 255) as u8,
            test * 16 + number as u8 + 1,
        )),
    };
    names.iter().enumerate().map(vm).collect()
}

/// Publishes the VM and zone lists.
pub fn publish_vm_lists(platform: &MockPlatform, vms: &[Vm]) {
    let mut zones: Vec<(&str, &str)> =
        vms.iter().map(|vm| (vm.region.as_str(), vm.zone.as_str())).collect();
    zones.sort();
    zones.dedup();
    let place =
        |(region, zone): &(&str, &str)| format!(r#"{{"region":"{region}","zone":"{zone}"}}"#);
    let places: Vec<String> = zones.iter().map(place).collect();
    for (_, zone) in &zones {
        let members = vms.iter().filter(|vm| vm.zone == *zone).map(|vm| {
            let Vm { name, region, zone, ip } = vm;
            format!(
                r#"{{"vm":"{name}","region":"{region}","zone":"{zone}","peers":"{ip}:7002",
                "admin":"{ip}:7003","state":"live"}}"#
            )
        });
        let members: Vec<String> = members.collect();
        platform.set(&format!("vms/{zone}"), &format!(r#"{{"vms":[{}]}}"#, members.join(",")));
    }
    platform.set("zones", &format!(r#"{{"zones":[{}]}}"#, places.join(",")));
}

/// A running node; killed on drop.
pub struct Node {
    pub vm: Vm,
    child: Child,
    settings: PathBuf,
}

impl Node {
    pub fn start(vm: &Vm, platform: &MockPlatform, seeds: &[SocketAddr]) -> Node {
        let Vm { name, region, zone, ip } = vm;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"{{"vm":"{name}","region":"{region}","zone":"{zone}","listen":{{"calls":"{ip}:7000",
            "gate":"{ip}:7001","peers":"{ip}:7002","admin":"{ip}:7003"}},
            "platform_address":"{}","platform_region":"r1","seeds":[{}],
            "limits":{{"fleet_vms":10,"first_configuration_ms":3000}}}}"#,
            platform.address,
            seeds.join(",")
        );
        let file = format!("sycamore-spread-{}-{ip}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_sycamore-node"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Node { vm: vm.clone(), child, settings }
    }

    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.vm.ip, 7_002)
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let mut stream = TcpStream::connect((self.vm.ip, 7_003)).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
    }

    pub fn status(&self) -> Option<Status> {
        self.get("/status")
    }

    pub fn events(&self) -> Events {
        self.get("/events").unwrap()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        let status = self.status();
        status.and_then(|status| status.in_force).map_or(0, |in_force| in_force.version)
    }

    /// Resident set size in KB.
    pub fn resident_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Whether this version is in force on all nodes.
pub fn all_have_version(nodes: &[Node], version: u64) -> bool {
    nodes.iter().all(|node| node.version() == version)
}

/// Starts nodes in two regions and waits until version 1 is in force on them.
pub fn start_fleet(test: u8, platform: &MockPlatform) -> (Vec<Vm>, Vec<Node>) {
    let vms = vms(test, &[("a-0", "r1", "a"), ("a-1", "r1", "a"), ("b-0", "r2", "b")]);
    publish_vm_lists(platform, &vms);
    platform.publish(1);
    let nodes: Vec<Node> = vms.iter().map(|vm| Node::start(vm, platform, &[])).collect();
    wait_for("version 1 in force", || all_have_version(&nodes, 1));
    (vms, nodes)
}

/// Waits until `done` returns true. Fails after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
