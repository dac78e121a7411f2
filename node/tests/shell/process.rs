//! Helper that runs a `sycamore-node` process with its own ports and settings.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Gives each node of a test process its own address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Timeout of all waits; exceeding it fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running node; killed on drop.
pub struct NodeProcess {
    child: Child,
    dir: TempDir,
    /// Address of the admin server.
    pub admin: SocketAddr,
}

/// Valid settings with addresses that are unique among concurrent tests on this machine.
pub fn settings() -> Value {
    let pid = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let ip = format!("127.{}.{}.{host}", 64 + (pid >> 8) % 64, pid % 256);
    json!({
        "vm": "vm-1", "region": "alberta", "zone": "alberta-1",
        "listen": {
            "calls": format!("{ip}:7000"), "gate": format!("{ip}:7001"),
            "peers": format!("{ip}:7002"), "admin": format!("{ip}:7003")
        },
        // Nothing listens on this address: the platform is down.
        "platform_address": format!("{ip}:7009")
    })
}

/// Runs the binary to completion.
pub fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sycamore-node")).args(args).output().unwrap()
}

/// Runs the binary to completion with the given settings file content.
pub fn run_with_settings(text: &str, args: &[&str]) -> Output {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("node.json");
    fs::write(&path, text).unwrap();
    run(&[&["--settings", path.to_str().unwrap()], args].concat())
}

impl NodeProcess {
    /// Starts a node and waits until its admin port accepts connections.
    pub fn start(settings: &Value) -> NodeProcess {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("node.json");
        fs::write(&path, settings.to_string()).unwrap();
        let log = File::create(dir.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_sycamore-node"))
            .args(["--settings", path.to_str().unwrap()])
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        let admin = settings["listen"]["admin"].as_str().unwrap().parse().unwrap();
        let mut node = NodeProcess { child, dir, admin };
        node.wait_until("the node listens", |_| TcpStream::connect(admin).is_ok());
        node
    }

    /// Largest size of its memory so far.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Waits until `condition` holds. Fails if the process exits first or [`WAIT_TIMEOUT`] has
    /// passed.
    pub fn wait_until(&mut self, what: &str, condition: impl Fn(&NodeProcess) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            let runs = self.child.try_wait().unwrap().is_none();
            assert!(
                runs && start.elapsed() < WAIT_TIMEOUT,
                "waiting until {what}: process exited or timed out\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Log output so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap()
    }

    fn log_path(&self) -> PathBuf {
        self.dir.path().join("log")
    }

    /// Connects to the admin port.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// Sends raw bytes to the admin port and reads until the connection closes.
    pub fn send(&self, buf: &[u8]) -> String {
        let mut stream = self.connect();
        // The node may close the connection before reading the entire request.
        let _ = stream.write_all(buf);
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends a request and returns the head and body of the response.
    pub fn request(&self, method: &str, path: &str) -> (String, String) {
        let head = format!("{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        let response = self.send(head.as_bytes());
        let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
        (head.to_owned(), body.to_owned())
    }

    /// Sends a GET request and parses the JSON body of the response.
    pub fn json(&self, path: &str) -> Value {
        serde_json::from_str(&self.request("GET", path).1).unwrap()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
