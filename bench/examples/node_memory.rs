//! Measures the peak memory and the processor time of one node process at four levels of load.
//!
//! Usage: `node_memory PROGRAM [LEVEL...]`. The node is its own entry node: callers
//! open a connection per request, and one request in ten gets a response of 90 kB over a link of
//! 10 Mbit/s. Prints one line per level; runs all levels if none is named.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use sycamore_core::hash::Hash;

/// Address of the node's VM. Connections to it originate from 127.0.0.1, so that the gatekeeper
/// sends its responses over the link.
const NODE: &str = "127.77.0.2";
/// Size of a large response, in bytes.
const LARGE_BYTES: usize = 90_000;
/// Size of a small response, in bytes.
const SMALL_BYTES: usize = 400;
/// Duration of one level of load.
const LEVEL: Duration = Duration::from_secs(8);
/// Levels of load: name, callers, and the pause of a caller after each request.
const LEVELS: [(&str, usize, u64); 4] =
    [("calm", 20, 250), ("high", 300, 250), ("burst", 600, 50), ("calm after", 20, 250)];

/// Idle connections that are opened one after the other, after one request each.
const IDLE_CONNECTIONS: usize = 300;

type Error = Box<dyn std::error::Error>;

/// A node process, killed on drop.
struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Node {
    fn status_kb(&self, field: &str) -> Result<u64, Error> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix(field)).ok_or("no such field")?;
        Ok(line.split_whitespace().next().unwrap_or("0").parse()?)
    }

    /// User and system time, in clock ticks of 10 ms.
    fn cpu_ticks(&self) -> Result<u64, Error> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let fields: Vec<&str> = text.split_whitespace().collect();
        Ok(fields[13].parse::<u64>()? + fields[14].parse::<u64>()?)
    }

    fn reset_peak(&self) -> Result<(), Error> {
        Ok(std::fs::write(format!("/proc/{}/clear_refs", self.0.id()), "5")?)
    }
}

fn listen(serve: impl Fn(TcpStream) -> Option<()> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.77.0.3:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Reads a head and returns its request line.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut line = String::new();
    while reader.read_line(&mut line).ok()? > 2 {
        line.clear();
    }
    Some(first)
}

fn serve_target(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let body = vec![b'x'; LARGE_BYTES];
    while let Some(line) = read_head(&mut reader) {
        let (size, run) = match line.contains("/large") {
            true => (LARGE_BYTES, Duration::from_millis(60)),
            false => (SMALL_BYTES, Duration::from_millis(20)),
        };
        std::thread::sleep(run);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(&body[..size]).ok()?;
    }
    None
}

/// Serves the configuration; a blocking query for a change gets its answer after a second.
fn serve_platform(mut stream: TcpStream) -> Option<()> {
    let line = read_head(&mut BufReader::new(stream.try_clone().ok()?))?;
    let path = line.split(' ').nth(1)?.strip_prefix("/v1/kv/")?;
    let (key, query) = path.split_once('?').unwrap_or((path, ""));
    if query.contains("index=1") {
        std::thread::sleep(Duration::from_secs(1));
    }
    let preset = format!(
        r#"{{"name":"p","services":{{"s":{{"limits":{{"slots":9,"connections":40,"queue":100,
        "queue_wait_ms":1000}},"targets":[{{"vm":"a","region":"r","zone":"z","gate":"{NODE}:7001",
        "peers":"{NODE}:7002"}}]}}}},"routes":{{"all":{{"path_prefix":"/","service":"s",
        "idempotent":true,"deadline_ms":6000}}}}}}"#
    );
    let value = match key {
        "in-force" => {
            format!(r#"{{"version":1,"preset":"p","digest":"{}"}}"#, Hash::of(preset.as_bytes()))
        }
        "preset/p" => preset,
        "zones" => r#"{"zones":[{"region":"r","zone":"z"}]}"#.to_owned(),
        _ => format!(
            r#"{{"vms":[{{"vm":"a","region":"r","zone":"z","peers":"{NODE}:7002",
            "admin":"{NODE}:7003","state":"live"}}]}}"#
        ),
    };
    let size = value.len();
    let head = "HTTP/1.1 200 OK\r\nx-index: 1\r\nconnection: close\r\ncontent-length: ";
    stream.write_all(format!("{head}{size}\r\n\r\n{value}").as_bytes()).ok()
}

/// Sends one request on a connection of its own. Returns the size of a complete 200 response.
fn call(path: &str) -> Option<usize> {
    let mut stream = TcpStream::connect(format!("{NODE}:7000")).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut buf = Vec::new();
    stream.read_to_end(&mut buf).ok()?;
    buf.starts_with(b"HTTP/1.1 200").then_some(buf.len())
}

/// Opens a connection, sends one request and reads the response.
fn open_idle() -> Option<TcpStream> {
    let mut stream = TcpStream::connect(format!("{NODE}:7000")).ok()?;
    stream.write_all(b"GET /small HTTP/1.1\r\nhost: x\r\n\r\n").ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    read_head(&mut reader)?;
    reader.read_exact(&mut [0; SMALL_BYTES]).ok()?;
    Some(stream)
}

fn run_callers(count: usize, pause: Duration) -> u64 {
    let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let caller = |index: usize| {
        let (stop, done) = (stop.clone(), done.clone());
        std::thread::spawn(move || {
            std::thread::sleep(pause.mul_f64(index as f64 / count as f64));
            let mut number = index;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let path = if number % 10 == 0 { "/large" } else { "/small" };
                if call(path).is_some() {
                    done.fetch_add(1, Ordering::Relaxed);
                }
                std::thread::sleep(pause);
            }
        })
    };
    let callers: Vec<_> = (0..count).map(caller).collect();
    std::thread::sleep(LEVEL);
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    done.load(Ordering::Relaxed)
}

fn main() -> Result<(), Error> {
    let mut args = std::env::args().skip(1);
    let program = args.next().ok_or("usage: node_memory PROGRAM [LEVEL...]")?;
    let chosen: Vec<String> = args.collect();
    let (target, platform) = (listen(serve_target), listen(serve_platform));
    let settings = format!(
        r#"{{"vm":"a","region":"r","zone":"z","listen":{{"calls":"{NODE}:7000",
        "gate":"{NODE}:7001","peers":"{NODE}:7002","admin":"{NODE}:7003"}},
        "target_address":"{target}","platform_address":"{platform}",
        "limits":{{"threads":1,"link_mbps":10,"first_configuration_ms":500}},
        "log":{{"level":"error"}}}}"#
    );
    let file = std::env::temp_dir().join(format!("node-memory-{}.json", std::process::id()));
    std::fs::write(&file, settings)?;
    let child = Command::new(program)
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let node = Node(child);
    let start = Instant::now();
    while call("/small").is_none() {
        if start.elapsed() > Duration::from_secs(20) {
            return Err("the node does not serve".into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    std::fs::remove_file(&file)?;
    println!("started: resident {} kB", node.status_kb("VmRSS:")?);
    let before = node.status_kb("RssAnon:")?;
    let idle: Vec<_> = (0..IDLE_CONNECTIONS).filter_map(|_| open_idle()).collect();
    let each = (node.status_kb("RssAnon:")? - before) as f64 / idle.len() as f64;
    println!("idle: {each:.1} kB for each of {} connections", idle.len());
    drop(idle);
    let is_chosen = |name: &str| chosen.is_empty() || chosen.iter().any(|level| level == name);
    for (name, count, pause) in LEVELS.into_iter().filter(|(name, ..)| is_chosen(name)) {
        node.reset_peak()?;
        let ticks = node.cpu_ticks()?;
        let calls = run_callers(count, Duration::from_millis(pause));
        let (peak, now) = (node.status_kb("VmHWM:")?, node.status_kb("VmRSS:")?);
        let cpu_us = (node.cpu_ticks()? - ticks) * 10_000;
        println!(
            "{name}: peak {peak} kB, now {now} kB, {calls} calls, {} us of processor time each",
            cpu_us / calls.max(1)
        );
    }
    Ok(())
}
