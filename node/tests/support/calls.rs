//! A test target, nodes on loopback sockets, and a raw HTTP/1.1 client.
#![allow(dead_code, reason = "each test file uses a part of it")]

use async_executor::Executor;
use rustix::net::sockopt;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use sycamore_core::Name;
use sycamore_core::config::{InForce, Preset, Snapshot};
use sycamore_core::hash::Hash;
use sycamore_node::calls::dialect::Dialect;
use sycamore_node::calls::{self, Calls, Listeners};
use sycamore_node::clock::Clock;
use sycamore_node::settings::Settings;
use sycamore_node::shared::Shared;

/// Timeout of waits in tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Send buffer of a target's connection once it has streamed a response.
const SEND_BUFFER_BYTES: usize = 65_536;

/// A target whose behaviour is selected by the request path. It logs each request it runs.
pub struct Target {
    pub address: SocketAddr,
    state: Arc<TargetState>,
}

#[derive(Default)]
struct TargetState {
    log: Mutex<Vec<String>>,
    connections: AtomicUsize,
    running: AtomicUsize,
    max_running: AtomicUsize,
    cancelled: AtomicUsize,
    released: AtomicU64,
    // Requests to `/head-cut`.
    head_cuts: AtomicUsize,
    // Requests to `/permit` that may complete.
    permits: AtomicUsize,
}

impl Target {
    pub fn new() -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(TargetState::default());
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (state, stream) = (shared.clone(), stream.unwrap());
                state.connections.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || while state.serve(&stream).is_some() {});
            }
        });
        Target { address, state }
    }

    /// Request lines and bodies of the requests it ran.
    pub fn log(&self) -> Vec<String> {
        self.state.log.lock().unwrap().clone()
    }

    /// Number of requests it ran whose line or body contains `part`.
    pub fn run_count(&self, part: &str) -> usize {
        self.log().iter().filter(|line| line.contains(part)).count()
    }

    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    pub fn max_running(&self) -> usize {
        self.state.max_running.load(Ordering::SeqCst)
    }

    pub fn cancelled(&self) -> usize {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Lets one request to `/permit` complete.
    pub fn permit(&self) {
        self.state.permits.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets requests to `/released` complete.
    pub fn release(&self) {
        self.state.released.store(1, Ordering::SeqCst);
    }
}

impl TargetState {
    fn serve(&self, stream: &TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let (line, headers) = read_head(&mut reader)?;
        let size = headers.iter().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; size.map_or(0, |size| size.parse().unwrap())];
        reader.read_exact(&mut body).ok()?;
        if headers.iter().any(|line| line == "transfer-encoding: chunked") {
            body = read_chunks(&mut reader)?;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        self.log.lock().unwrap().push(format!("{line} {body}"));
        let now = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_running.fetch_max(now, Ordering::SeqCst);
        let done = self.respond(stream, &line, &headers, &body);
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn respond(
        &self,
        mut stream: &TcpStream,
        line: &str,
        headers: &[String],
        body: &str,
    ) -> Option<()> {
        let path = line.split(' ').nth(1)?;
        if path.contains("/hold") {
            while self.released.load(Ordering::SeqCst) == 0 {
                if is_closed(stream) {
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                    return None;
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        if path.contains("/permit") {
            let take = |permits: usize| permits.checked_sub(1);
            while self.permits.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_err() {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        if path.contains("/health-cold") {
            let head = "HTTP/1.1 200 OK\r\nx-sycamore-cold-ms: 60000\r\n";
            stream.write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes()).ok()?;
            return Some(());
        }
        if path.contains("/stated") {
            let stated = path.split_once('?').map_or("", |(_, query)| query);
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n";
            let pairs = stated.split('&').filter(|pair| !pair.is_empty());
            let lines: String = pairs.map(|pair| pair.replace('=', ": ") + "\r\n").collect();
            stream.write_all(format!("{head}{lines}\r\n").as_bytes()).ok()?;
            return Some(());
        }
        if path.contains("/break") {
            return None;
        }
        if path.contains("/fail") {
            let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\n";
            stream.write_all(format!("{head}failed").as_bytes()).ok()?;
            return Some(());
        }
        if path.contains("/foreign") {
            let head = "HTTP/1.1 200 OK\r\nx-sycamore-request-id: someone-else\r\n";
            let response = format!("{head}content-length: 6\r\n\r\nsecret");
            stream.write_all(response.as_bytes()).ok()?;
            return Some(());
        }
        if path.contains("/chunks-trailers") {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n";
            stream.write_all(format!("{head}5\r\nwhole\r\n").as_bytes()).ok()?;
            // Long enough for the preceding data to be forwarded.
            std::thread::sleep(Duration::from_millis(50));
            stream.write_all(b"0\r\nx-sum: 1\r\n\r\n").ok()?;
            return Some(());
        }
        if path.contains("/chunks-whole") {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            stream.write_all(format!("{head}5\r\nwhole\r\n0\r\n\r\n").as_bytes()).ok()?;
            return Some(());
        }
        if path.contains("/chunks-cut") {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            stream.write_all(format!("{head}4\r\nhalf\r\n").as_bytes()).ok()?;
            return None;
        }
        if path.contains("/head-cut") {
            // Two of four responses end inside their heads.
            let served = self.head_cuts.fetch_add(1, Ordering::SeqCst);
            let heads = ["HTTP/1.1 200", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n"];
            if served % 4 >= 2 {
                stream.write_all(heads[served % 2].as_bytes()).ok()?;
                return None;
            }
        }
        if path.contains("/rest") {
            // The length is too small.
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhalfrest").ok()?;
            return None;
        }
        if path.contains("/cut") {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf").ok()?;
            return None;
        }
        if path.contains("/stream") {
            let size: usize = path.rsplit('/').next()?.parse().ok()?;
            // Keeps the kernel from taking most of a response that nobody reads.
            sockopt::set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES).ok()?;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
            stream.write_all(head.as_bytes()).ok()?;
            let chunk = [b'x'; 10_000];
            let mut left = size;
            while left > 0 {
                let count = left.min(chunk.len());
                stream.write_all(&chunk[..count]).ok()?;
                left -= count;
            }
            return Some(());
        }
        let text = format!("{line}\n{}\n{body}", headers.join("\n"));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        Some(())
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let closed = stream.peek(&mut [0]).is_ok_and(|count| count == 0);
    stream.set_nonblocking(false).unwrap();
    closed
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    Some((first, lines))
}

fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// The call path of one node, without the spread.
pub struct Node {
    pub shared: Arc<Shared>,
    pub calls: Calls,
    pub entry: SocketAddr,
    pub gate: SocketAddr,
    _stop: async_channel::Sender<()>,
}

impl Node {
    pub fn new(vm: &str, target: Option<SocketAddr>) -> Node {
        Node::with_limits(vm, target, "{}")
    }

    pub fn with_limits(vm: &str, target: Option<SocketAddr>, limits: &str) -> Node {
        Node::with_gate_ip(vm, target, limits, "127.0.0.1")
    }

    /// A node whose gatekeeper listens on a different IP address than its caller socket.
    pub fn with_gate_ip(vm: &str, target: Option<SocketAddr>, limits: &str, gate_ip: &str) -> Node {
        Node::with_settings(vm, target, &format!(r#""limits":{limits}"#), gate_ip, Clock::new())
    }

    /// A node with limits, and with a clock of the test.
    pub fn with_clock(vm: &str, target: Option<SocketAddr>, limits: &str, clock: Clock) -> Node {
        let settings = format!(r#""limits":{limits}"#);
        Node::with_settings(vm, target, &settings, "127.0.0.1", clock)
    }

    /// A node with scheduling features, and with a clock of the test.
    pub fn with_scheduling(
        vm: &str,
        target: Option<SocketAddr>,
        scheduling: &str,
        clock: Clock,
    ) -> Node {
        let settings = format!(r#""limits":{{}},"scheduling":{scheduling}"#);
        Node::with_settings(vm, target, &settings, "127.0.0.1", clock)
    }

    fn with_settings(
        vm: &str,
        target: Option<SocketAddr>,
        settings: &str,
        gate_ip: &str,
        clock: Clock,
    ) -> Node {
        Node::start(&self::settings(vm, target, settings, gate_ip), clock)
    }

    /// A node that knows the service of its target before any configuration.
    pub fn with_service(vm: &str, target: SocketAddr, service: &str) -> Node {
        let settings = format!(r#""service":"{service}","limits":{{}}"#);
        Node::with_settings(vm, Some(target), &settings, "127.0.0.1", Clock::new())
    }

    /// A node whose gatekeeper parks up to this many requests.
    pub fn with_parking(vm: &str, target: SocketAddr, parked_requests: u32) -> Node {
        let scheduling = format!(r#"{{"parked_requests":{parked_requests}}}"#);
        Node::with_scheduling(vm, Some(target), &scheduling, Clock::new())
    }

    /// A node whose callers and target use these header names.
    pub fn with_dialect(vm: &str, target: SocketAddr, dialect: Dialect) -> Node {
        let text = settings(vm, Some(target), r#""limits":{}"#, "127.0.0.1");
        Node::start_with_dialect(&text, Clock::new(), dialect)
    }

    /// Starts a node with these settings.
    fn start(text: &str, clock: Clock) -> Node {
        Node::start_with_dialect(text, clock, Dialect::new())
    }

    fn start_with_dialect(text: &str, clock: Clock, dialect: Dialect) -> Node {
        let settings = Settings::parse(text.as_bytes()).unwrap();
        let listeners = Listeners::bind(&settings.listen).unwrap();
        let entry = listeners.calls.get_ref().local_addr().unwrap();
        let gate = listeners.gate.get_ref().local_addr().unwrap();
        let shared = Shared::with_dialect(settings, clock, dialect);
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        for _ in 0..2 {
            let (executor, stopped) = (executor.clone(), stopped.clone());
            std::thread::spawn(move || {
                futures_lite::future::block_on(executor.run(stopped.recv()))
            });
        }
        let calls = calls::start(shared.clone(), listeners, executor);
        Node { shared, calls, entry, gate, _stop: stop }
    }

    /// Puts a version into force.
    pub fn configure(&self, version: u64, preset: &str) {
        let preset: Preset = serde_json::from_str(preset).unwrap();
        let digest = Hash::of(b"body");
        let in_force = InForce { version, preset: preset.name.clone(), digest };
        self.shared.put_in_force(Snapshot::new(in_force, &preset).unwrap());
        self.calls.view_changed();
    }
}

/// The text of a settings file that ends with `fields`.
fn settings(vm: &str, target: Option<SocketAddr>, fields: &str, gate_ip: &str) -> String {
    let target = target.map_or("null".into(), |address| format!("\"{address}\""));
    format!(
        r#"{{"vm":"{vm}","region":"r","zone":"z","target_address":{target},
        "listen":{{"calls":"127.0.0.1:0","gate":"{gate_ip}:0","peers":"127.0.0.1:0",
        "admin":"127.0.0.1:0"}},"platform_address":"127.0.0.1:1",{fields}}}"#
    )
}

/// A preset with one service, the routes `/idem` and `/once`, and these targets.
pub fn preset(limits: &str, targets: &[(&str, SocketAddr)]) -> String {
    let target = |(vm, gate): &(&str, SocketAddr)| {
        format!(r#"{{"vm":"{vm}","region":"r","zone":"z","gate":"{gate}","peers":"127.0.0.1:9"}}"#)
    };
    let targets: Vec<String> = targets.iter().map(target).collect();
    format!(
        r#"{{"name":"ordinary","services":{{"s":{{"limits":{limits},"targets":[{}]}}}},
        "routes":{{"idem":{{"path_prefix":"/idem","service":"s","idempotent":true,
        "deadline_ms":5000,"max_attempts":4,"max_body_bytes":200000}},
        "once":{{"path_prefix":"/once","service":"s","idempotent":false,"deadline_ms":5000}}}}}}"#,
        targets.join(",")
    )
}

/// One configured node with one target.
pub fn single_node(limits: &str) -> (Target, Node) {
    let target = Target::new();
    let node = Node::new("a", Some(target.address));
    node.configure(1, &preset(limits, &[("a", node.gate)]));
    (target, node)
}

/// A response as received by the caller.
#[derive(Debug, Default)]
pub struct ClientResponse {
    pub status: u16,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl ClientResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.headers.iter().find_map(|line| line.strip_prefix(&prefix))
    }

    pub fn code(&self) -> Option<u16> {
        self.header("x-sycamore-code")?.parse().ok()
    }

    pub fn outcome(&self) -> &str {
        self.header("x-sycamore-outcome").unwrap_or("none")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Connects and sends raw bytes.
pub fn open(address: SocketAddr, raw: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(raw.as_bytes()).unwrap();
    stream
}

pub fn read(stream: &TcpStream) -> ClientResponse {
    let mut reader = BufReader::new(stream);
    let Some((line, headers)) = read_head(&mut reader) else {
        return ClientResponse::default();
    };
    let status = line.split(' ').nth(1).unwrap().parse().unwrap();
    let mut response = ClientResponse { status, headers, body: Vec::new(), complete: true };
    if matches!(status, 204 | 304) {
        return response;
    }
    if let Some(size) = response.header("content-length").map(|size| size.parse::<u64>().unwrap()) {
        let read = reader.take(size).read_to_end(&mut response.body);
        response.complete = read.is_ok_and(|count| count as u64 == size);
    } else if response.header("transfer-encoding") == Some("chunked") {
        let body = read_chunks(&mut reader);
        response.complete = body.is_some();
        response.body = body.unwrap_or_default();
    } else {
        // The body ends with the connection.
        response.complete = reader.read_to_end(&mut response.body).is_ok();
    }
    response
}

/// Sends one request and reads the response.
pub fn call(address: SocketAddr, raw: &str) -> ClientResponse {
    read(&open(address, raw))
}

/// A `GET` request for a path.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n")
}

/// A `POST` request with a key and a body.
pub fn keyed_post(path: &str, key: &str, body: &str) -> String {
    let size = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nidempotency-key: {key}\r\n\
         content-length: {size}\r\n\r\n{body}"
    )
}

/// A key created now.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Polls `condition` until it is true; fails the test after a timeout.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Forwards notes between nodes until the test ends, as the spread does.
pub fn forward_notes(nodes: &[&Node]) {
    let by_vm: Vec<(Name, Calls)> =
        nodes.iter().map(|node| (node.shared.settings.vm.clone(), node.calls.clone())).collect();
    for node in nodes {
        let (shared, by_vm) = (node.shared.clone(), by_vm.clone());
        std::thread::spawn(move || {
            futures_lite::future::block_on(async {
                while let Some(sent) = shared.notes.next().await {
                    let to = by_vm.iter().find(|(vm, _)| *vm == sent.to);
                    if let Some((_, calls)) = to {
                        calls.take_note(&shared.settings.vm, sent.note);
                    }
                }
            });
        });
    }
}
