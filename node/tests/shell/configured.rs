//! A node configured by the mock platform.

use crate::process::{NodeProcess, settings};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use sycamore_core::hash::Hash;
use sycamore_standins::platform::{Platform, PlatformConfig, Store};

/// A preset with one service on the VM of [`settings`] and the given drain limit.
fn preset(gate: &Value, drain_ms: u32) -> String {
    let target = json!({"vm": "vm-1", "region": "alberta", "zone": "alberta-1", "gate": gate, "peers": "127.0.0.1:9"});
    let limits = json!({"drain_ms": drain_ms, "slots": 1, "queue_wait_ms": 60_000});
    let service = json!({"limits": limits, "targets": [target]});
    let route = json!({"path_prefix": "/", "service": "ledgers", "idempotent": true,
        "deadline_ms": 600_000});
    let preset = json!({"name": "ordinary", "services": {"ledgers": service},
        "routes": {"all": route}});
    preset.to_string()
}

/// Starts a platform with this preset in force as version 1, and one zone with one VM.
fn platform(preset: &str, settings: &Value) -> SocketAddr {
    let digest = Hash::of(preset.as_bytes());
    let in_force = json!({"version": 1, "preset": "ordinary", "digest": digest});
    let listen = &settings["listen"];
    let vm = json!({"vm": "vm-1", "region": "alberta", "zone": "alberta-1",
        "peers": listen["peers"], "admin": listen["admin"], "state": "live"});
    let mut store = Store::new();
    store.put("preset/ordinary", preset.to_owned().into());
    store.put("zones", r#"{"zones":[{"region":"alberta","zone":"alberta-1"}]}"#.into());
    store.put("vms/alberta-1", json!({"vms": [vm]}).to_string().into());
    store.put("in-force", in_force.to_string().into());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg =
        PlatformConfig { listen: vec![any], control: any, max_calls_per_second: 2_000, store };
    Platform::spawn(cfg).unwrap().readers[0]
}

/// Starts a node and waits until it is ready. Returns it with its settings.
fn ready_node(target: SocketAddr, drain_ms: u32) -> (NodeProcess, Value) {
    ready_node_with(settings(), target, drain_ms)
}

pub fn ready_node_with(settings: Value, target: SocketAddr, drain_ms: u32) -> (NodeProcess, Value) {
    let preset = preset(&settings["listen"]["gate"], drain_ms);
    ready_node_with_preset(settings, target, &preset)
}

fn ready_node_with_preset(
    mut settings: Value,
    target: SocketAddr,
    preset: &str,
) -> (NodeProcess, Value) {
    settings["platform_address"] = platform(preset, &settings).to_string().into();
    settings["target_address"] = target.to_string().into();
    let mut node = NodeProcess::start(&settings);
    let ready = |node: &NodeProcess| node.request("GET", "/ready").0.starts_with("HTTP/1.1 200");
    node.wait_until("the node is ready", ready);
    (node, settings)
}

#[test]
fn status_after_configuration() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, _) = ready_node(target.local_addr().unwrap(), 1_000);
    let status = node.json("/status");
    assert_eq!(status["in_force"]["version"], 1);
    assert_eq!(status["newest_heard"], 1);
    assert_eq!(status["platform_answers"], true);
    assert!(status["in_force_since"].as_u64() >= status["started"].as_u64(), "{status}");
    let metrics = node.request("GET", "/metrics").1;
    assert!(metrics.contains("\nsycamore_version_in_force 1\n"), "{metrics}");
    assert!(metrics.contains("\nsycamore_ready 1\n"), "{metrics}");
}

#[test]
fn drain_limit_passed() {
    // Guards against a graceful shutdown that cuts a call at the drain limit without reporting it.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut node, settings) = ready_node(target.local_addr().unwrap(), 1_000);
    let mut caller = TcpStream::connect(settings["listen"]["calls"].as_str().unwrap()).unwrap();
    caller.write_all(b"GET /season HTTP/1.1\r\nhost: ledgers\r\n\r\n").unwrap();
    // The target receives the request but never responds.
    let (mut upstream, _) = target.accept().unwrap();
    assert!(upstream.read(&mut [0; 1]).unwrap() > 0);
    node.signal(Signal::TERM);
    assert_eq!(node.wait().code(), Some(0));
    let log = node.log();
    let line = log.lines().find(|line| line.contains("kind=drained")).unwrap();
    assert!(line.contains("level=WARN") && line.contains("code=467"), "{log}");
}

#[test]
fn stop_refuses_connections_before_it_ends() {
    // Guards against connections accepted while the process exits. The caller of a signing request
    // would have to assume that it may have run.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut node, settings) = ready_node(target.local_addr().unwrap(), 60_000);
    let calls = settings["listen"]["calls"].as_str().unwrap();
    let mut caller = TcpStream::connect(calls).unwrap();
    caller.write_all(b"GET /season HTTP/1.1\r\nhost: ledgers\r\n\r\n").unwrap();
    let (mut upstream, _) = target.accept().unwrap();
    assert!(upstream.read(&mut [0; 1_000]).unwrap() > 0);
    node.signal(Signal::TERM);
    // The open call keeps the process from exiting on its own.
    node.wait_until("the node refuses connections", |_| TcpStream::connect(calls).is_err());
    upstream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole").unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();
    assert!(response.ends_with("whole"), "{response}");
    assert_eq!(node.wait().code(), Some(0));
}

/// Sends a request to the node and returns its connection.
fn send(settings: &Value, req: &str) -> TcpStream {
    let mut caller = TcpStream::connect(settings["listen"]["calls"].as_str().unwrap()).unwrap();
    caller.write_all(req.as_bytes()).unwrap();
    caller
}

/// Accepts a connection to the target and reads the beginning of its request.
fn accept_request(target: &TcpListener) -> TcpStream {
    let (mut upstream, _) = target.accept().unwrap();
    assert!(upstream.read(&mut [0; 1_000]).unwrap() > 0);
    upstream
}

/// Stops the node and returns what the caller has received when the node has ended.
fn stop(mut node: NodeProcess, mut caller: TcpStream) -> String {
    node.signal(Signal::TERM);
    assert_eq!(node.wait().code(), Some(0));
    let mut response = String::new();
    // Fails if the connection is reset; what was received before is kept.
    let _ = caller.read_to_string(&mut response);
    response
}

#[test]
fn stop_answers_call_at_silent_target() {
    // Guards against a stop that closes the connection of a call without an answer.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, settings) = ready_node(target.local_addr().unwrap(), 1_000);
    let caller = send(&settings, "GET /season HTTP/1.1\r\nhost: ledgers\r\n\r\n");
    let _upstream = accept_request(&target);
    let response = stop(node, caller);
    assert!(response.starts_with("HTTP/1.1 502 "), "{response:?}");
    assert!(response.contains("x-sycamore-outcome: unknown\r\n"), "{response}");
    assert!(response.contains("x-sycamore-code: 467\r\n"), "{response}");
}

/// Bytes that a target sends on one connection before it gives up, so that the test ends in any case,
/// and the most that it may send before the node closes: its limit, and what the sockets hold.
const GIVE_UP_BYTES: usize = 64 << 20;
const MAX_SENT_BYTES: usize = 32 << 20;

/// Answers each request with interim heads until the connection is closed, as fast as it can. Returns
/// the most that was sent on one connection.
fn send_interim_heads(target: TcpListener) -> Arc<AtomicUsize> {
    let short = "HTTP/1.1 102 Processing\r\n\r\n".repeat(20);
    let long = format!("HTTP/1.1 103 Early Hints\r\n{}\r\n", "a: b\r\n".repeat(90));
    let heads: Arc<str> = format!("{short}{long}").repeat(4_000).into();
    let most_sent = Arc::new(AtomicUsize::new(0));
    let recorded = most_sent.clone();
    std::thread::spawn(move || {
        loop {
            let mut upstream = accept_request(&target);
            let (heads, recorded) = (heads.clone(), recorded.clone());
            std::thread::spawn(move || {
                let mut sent = 0;
                while sent < GIVE_UP_BYTES && upstream.write_all(heads.as_bytes()).is_ok() {
                    sent += heads.len();
                    recorded.fetch_max(sent, Ordering::SeqCst);
                }
            });
        }
    });
    most_sent
}

#[test]
fn endless_interim_heads_leave_node_ready() {
    // Guards against a target that keeps the only thread of its node from all else: from the
    // readiness probe, from other callers and from a stop.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings["limits"]["threads"] = 1.into();
    let (mut node, settings) = ready_node_with(settings, target.local_addr().unwrap(), 60_000);
    let most_sent = send_interim_heads(target);
    let callers: Vec<TcpStream> =
        (0..4).map(|_| send(&settings, "GET /season HTTP/1.1\r\nhost: ledgers\r\n\r\n")).collect();
    for _ in 0..20 {
        let (head, _) = node.request("GET", "/ready");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    for mut caller in callers {
        let mut status = [0; 12];
        caller.read_exact(&mut status).unwrap();
        assert!(status.starts_with(b"HTTP/1.1 50"), "{status:?}");
    }
    node.signal(Signal::TERM);
    assert_eq!(node.wait().code(), Some(0));
    let most_sent = most_sent.load(Ordering::SeqCst);
    assert!(most_sent < MAX_SENT_BYTES, "{most_sent}");
}

/// Sends bytes without end on each connection, of another kind on each one.
fn send_endless(target: TcpListener) {
    const ENDLESS: [(&str, &str); 6] = [
        ("", "\x01z"),
        ("HTTP/1.1 200 OK\r\n", "x-filler: x\r\n"),
        ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n", "x"),
    ];
    std::thread::spawn(move || {
        for (stream, (begin, filler)) in target.incoming().zip(ENDLESS.into_iter().cycle()) {
            std::thread::spawn(move || {
                let mut stream = stream.unwrap();
                let _ = stream.read(&mut [0; 1_000]);
                let filler = filler.repeat(65_536 / filler.len());
                let mut next = begin;
                while stream.write_all(next.as_bytes()).is_ok() {
                    next = &filler;
                }
            });
        }
    });
}

/// Guards against a node that keeps the bytes of many targets' endless heads and bodies in memory, for
/// callers that read slowly, fast or not at all.
#[test]
fn endless_responses_leave_memory_bounded() {
    const CALLERS: usize = 48;
    // What a node may use, docs/CAPACITY.md.
    const MAX_MEMORY_KB: u64 = 32 * 1_024;
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = target.local_addr().unwrap();
    send_endless(target);
    let settings = settings();
    let preset =
        preset(&settings["listen"]["gate"], 1_000).replace(r#""slots":1"#, r#""slots":64"#);
    let (node, settings) = ready_node_with_preset(settings, address, &preset);
    let req = "GET /season HTTP/1.1\r\nhost: ledgers\r\nconnection: close\r\n\
               x-sycamore-deadline-ms: 3000\r\n\r\n";
    let end = Instant::now() + Duration::from_secs(4);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let mut caller = send(&settings, req);
            let pause = Duration::from_millis([0, 5, 100][number % 3]);
            std::thread::spawn(move || {
                let mut buf = vec![0; 16_384];
                while Instant::now() < end && caller.read(&mut buf).is_ok_and(|count| count > 0) {
                    std::thread::sleep(pause);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let memory_kb = node.peak_memory_kb();
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} KB");
    assert!(node.request("GET", "/ready").0.starts_with("HTTP/1.1 200"));
}

#[test]
fn stop_answers_queued_call() {
    // Guards against a stop that leaves a call that never started without an answer, or calls its
    // outcome unknown.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut node, settings) = ready_node(target.local_addr().unwrap(), 1_000);
    let _running = send(&settings, "GET /season HTTP/1.1\r\nhost: ledgers\r\n\r\n");
    let _upstream = accept_request(&target);
    let caller = send(&settings, "GET /queued HTTP/1.1\r\nhost: ledgers\r\n\r\n");
    let queued =
        |node: &NodeProcess| node.request("GET", "/metrics").1.contains("\nsycamore_queued 1\n");
    node.wait_until("the second call is queued", queued);
    let response = stop(node, caller);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    assert!(response.contains("x-sycamore-outcome: not-run\r\n"), "{response}");
}

#[test]
fn stop_answers_call_with_unread_body() {
    // Guards against a stop that leaves a call whose body is still being read without an answer.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut node, settings) = ready_node(target.local_addr().unwrap(), 1_000);
    let head = "POST /season HTTP/1.1\r\nhost: ledgers\r\ncontent-length: 10\r\n\r\n";
    let caller = send(&settings, &format!("{head}half"));
    node.wait_until("the call is open", |node| node.json("/status")["calls_open"] == 1);
    let response = stop(node, caller);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    assert!(response.contains("x-sycamore-outcome: not-run\r\n"), "{response}");
}

#[test]
fn stop_before_kill() {
    // Guards against a stop that goes by the service's limit alone, and is cut when the process is
    // killed. The service's limit here is longer than the test may take.
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings["limits"]["stop_timeout_s"] = 1.5.into();
    let target_address = target.local_addr().unwrap();
    let (node, settings) = ready_node_with(settings, target_address, 3_600_000);
    let caller = send(&settings, "GET /season HTTP/1.1\r\nhost: ledgers\r\n\r\n");
    let _upstream = accept_request(&target);
    let response = stop(node, caller);
    assert!(response.starts_with("HTTP/1.1 502 "), "{response:?}");
}

/// Guards against changes of state that are missing from the log of a node under load.
#[test]
fn log_keeps_state_changes_under_load() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut node, settings) = ready_node(target.local_addr().unwrap(), 1_000);
    // Requests that run out of time are logged in several lines each.
    let req = "GET /season HTTP/1.1\r\nhost: ledgers\r\nx-sycamore-deadline-ms: 1\r\n\r\n";
    let _callers: Vec<_> = (0..40).map(|_| send(&settings, &req.repeat(100))).collect();
    let drops_lines = |node: &NodeProcess| node.log().contains("lines-dropped");
    node.wait_until("lines are dropped", drops_lines);
    node.signal(Signal::TERM);
    node.wait();
    let log = node.log();
    for kind in ["draining", "drained", "stopped"] {
        assert!(log.contains(&format!("kind={kind}")), "{kind}");
    }
}
