//! Targets in trouble that send bytes without end, in a head or a body, until the node closes.

#[path = "support/calls.rs"]
mod support;

use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use support::*;

/// What the node may read of an endless response before it stops: its buffers, and what it discards of
/// a response that was cancelled.
const MAX_READ_BYTES: usize = 2 << 20;

/// Buffers of the sockets of a target and of a slow reader. The kernel otherwise takes megabytes in
/// the place of the node.
const SOCKET_BUFFER_BYTES: usize = 16_384;

/// A target that writes less than this at once pauses after each write.
const SLOW_WRITE_BYTES: usize = 1_024;

/// Bytes that a fast target writes at once.
const FAST_WRITE_BYTES: usize = 1 << 20;

/// Limit of the bytes that the node holds for one reader.
const READER_BUFFER_BYTES: usize = 128 << 10;

/// A target that answers each request with `begin`, and then with `filler` until its connection is
/// closed.
struct EndlessTarget {
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl EndlessTarget {
    fn new(begin: &'static str, filler: &'static str) -> EndlessTarget {
        EndlessTarget::with_writes(begin, filler, 4_096, Some(SOCKET_BUFFER_BYTES))
    }

    /// A target that sends faster than the node reads: from large buffers, in large writes.
    fn fast(begin: &'static str, filler: &'static str) -> EndlessTarget {
        EndlessTarget::with_writes(begin, filler, FAST_WRITE_BYTES, None)
    }

    /// A target that sends one filler every few milliseconds.
    fn slow(filler: &'static str) -> EndlessTarget {
        EndlessTarget::with_writes("", filler, filler.len(), Some(SOCKET_BUFFER_BYTES))
    }

    fn with_writes(
        begin: &'static str,
        filler: &'static str,
        write_bytes: usize,
        socket_buffer_bytes: Option<usize>,
    ) -> EndlessTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (runs, sent, closed) = Default::default();
        let target = EndlessTarget { address, runs, sent, closed };
        let (runs, sent) = (target.runs.clone(), target.sent.clone());
        let closed = target.closed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (runs, sent, closed) = (runs.clone(), sent.clone(), closed.clone());
                let mut stream = stream.unwrap();
                if let Some(bytes) = socket_buffer_bytes {
                    sockopt::set_socket_send_buffer_size(&stream, bytes).unwrap();
                }
                std::thread::spawn(move || {
                    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
                    while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {
                    }
                    runs.fetch_add(1, Ordering::SeqCst);
                    let filler = filler.repeat(write_bytes / filler.len());
                    let mut next = begin;
                    while stream.write_all(next.as_bytes()).is_ok() {
                        sent.fetch_add(next.len(), Ordering::SeqCst);
                        next = &filler;
                        if write_bytes < SLOW_WRITE_BYTES {
                            std::thread::sleep(Duration::from_millis(5));
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        target
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst) == self.runs.load(Ordering::SeqCst)
    }
}

/// What a target may send before it notices that the node has stopped reading: what the node reads,
/// and what the kernel holds for the node's sockets, which grows to its own limits.
fn max_sent() -> usize {
    let limit = |name: &str| -> usize {
        let text = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}")).unwrap();
        text.split_whitespace().last().unwrap().parse().unwrap()
    };
    // The kernel doubles the size of a buffer that is set.
    let set = 2 * 2 * SOCKET_BUFFER_BYTES;
    MAX_READ_BYTES + limit("tcp_rmem") + limit("tcp_wmem") + set
}

fn node_before(target: &EndlessTarget) -> Node {
    let limits = format!(r#"{{"reader_buffer_kb":{}}}"#, READER_BUFFER_BYTES >> 10);
    let node = Node::with_limits("a", Some(target.address), &limits);
    let preset = preset(r#"{"slots":4}"#, &[("a", node.gate)]);
    let once = r#""idempotent":false,"once":"attempt""#;
    node.configure(1, &preset.replace(r#""idempotent":false"#, once));
    node
}

/// Requests sent to two targets one after another.
const REQUESTS: usize = 160;

/// Connections that send without end at the same time.
const SENDERS: usize = 4;

const ENDLESS_HEADS: [(&str, &str); 4] = [
    ("HTTP/1.1 200 OK\r\nx-filler: ", "x"),
    ("HTTP/1.1 200 OK\r\n", "x-filler: x\r\n"),
    ("", "x"),
    ("", "\r\n"),
];

/// Guards against a head without end that is read into memory until the deadline, and against an
/// outcome that claims to know whether the request has run.
#[test]
fn endless_head_ends_as_unknown() {
    for (begin, filler) in ENDLESS_HEADS {
        let target = EndlessTarget::new(begin, filler);
        let node = node_before(&target);
        let response = call(node.entry, &get("/once"));
        let seen = (response.status, response.outcome(), response.complete);
        assert_eq!(seen, (502, "unknown", true), "{begin:?} {filler:?}: {response:?}");
        assert_eq!(target.runs.load(Ordering::SeqCst), 1, "{begin:?} {filler:?}: {response:?}");
        eventually("the target's connection is closed", || target.is_closed());
        assert!(target.sent() < max_sent(), "{begin:?} {filler:?}: {}", target.sent());
        eventually("no call is open", || node.shared.calls_open() == 0);
    }
}

/// Interim heads without fields, with as many as hyper accepts, and both in turn.
fn interim_heads() -> [&'static str; 3] {
    let short = "HTTP/1.1 102 Processing\r\n\r\n".to_owned();
    let long = format!("HTTP/1.1 103 Early Hints\r\n{}\r\n", "a: b\r\n".repeat(90));
    let mixed = format!("{short}{long}");
    [short.leak(), long.leak(), mixed.leak()]
}

/// Guards against interim heads without end that are read until the sender stops, and against an
/// outcome that claims to know whether the request has run.
#[test]
fn endless_interim_heads_are_cut() {
    for filler in interim_heads() {
        let target = EndlessTarget::fast("", filler);
        let node = node_before(&target);
        let response = call(node.entry, &get("/once"));
        assert_eq!((response.status, response.outcome()), (502, "unknown"), "{response:?}");
        assert_eq!(target.runs.load(Ordering::SeqCst), 1, "{response:?}");
        eventually("the target's connection is closed", || target.is_closed());
        assert!(target.sent() < max_sent(), "{}", target.sent());
        eventually("no call is open", || node.shared.calls_open() == 0);
    }
}

/// Guards against a connection that is kept for a target that sends interim heads slowly, after the
/// deadline of the request or after its caller has left.
#[test]
fn slow_interim_heads_end_with_request() {
    let deadline = "x-sycamore-deadline-ms: 300\r\n\r\n";
    for leaves_early in [false, true] {
        let target = EndlessTarget::slow(interim_heads()[0]);
        let node = node_before(&target);
        let caller =
            open(node.entry, &get("/once").replace("\r\n\r\n", &format!("\r\n{deadline}")));
        eventually("the target sends", || target.sent() > 0);
        match leaves_early {
            true => drop(caller),
            false => assert_eq!(read(&caller).outcome(), "unknown"),
        }
        eventually("the target's connection is closed", || target.is_closed());
        eventually("no call is open", || node.shared.calls_open() == 0);
    }
}

const WHOLE_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// Guards against a few interim heads before a response that are taken for endless ones.
#[test]
fn interim_heads_before_response() {
    let begin = format!("{}{WHOLE_RESPONSE}", interim_heads()[2].repeat(50));
    let target = EndlessTarget::new(begin.leak(), WHOLE_RESPONSE);
    let node = node_before(&target);
    let response = call(node.entry, &get("/once"));
    assert_eq!((response.status, response.text().as_str()), (200, "whole"));
}

/// Guards against requests that go on to a target whose responses are all endless.
#[test]
fn endless_target_is_avoided() {
    let (endless, sound) = (EndlessTarget::fast("", interim_heads()[2]), Target::new());
    let nodes = [("a", sound.address), ("b", endless.address)]
        .map(|(vm, address)| Node::new(vm, Some(address)));
    let preset = preset(r#"{"slots":4}"#, &[("a", nodes[0].gate), ("b", nodes[1].gate)]);
    nodes.iter().for_each(|node| node.configure(1, &preset));
    // Requests of one path would be held off as ones that crash targets.
    let is_answered = |number: &usize| {
        call(nodes[0].entry, &get(&format!("/idem/{number}"))).outcome() == "answered"
    };
    let answered = (0..REQUESTS).filter(is_answered).count();
    let runs = endless.runs.load(Ordering::SeqCst);
    assert!(runs < REQUESTS / 8, "{runs}");
    // The retry budget may leave a request without a second attempt.
    assert!(answered + runs >= REQUESTS, "{answered} answered, {runs} at the target");
}

/// Runs `load` until the node has answered some requests of other callers.
fn assert_others_answered(node: &Node, load: impl Fn() + Sync) {
    const OTHERS: usize = 50;
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| {
                while !done.load(Ordering::SeqCst) {
                    load();
                }
            });
        }
        // A caller without an answer fails by the timeout of its read.
        let statuses: Vec<_> = (0..OTHERS)
            .map(|_| {
                let entry = node.entry;
                std::thread::spawn(move || call(entry, &get("/none")).status).join()
            })
            .collect();
        done.store(true, Ordering::SeqCst);
        for status in statuses {
            assert_eq!(status.ok(), Some(404));
        }
    });
}

/// Guards against fast senders of interim heads that keep the threads of the node from all else.
#[test]
fn endless_interim_heads_leave_others_answered() {
    let target = EndlessTarget::fast("", interim_heads()[2]);
    let node = node_before(&target);
    assert_others_answered(&node, || {
        call(node.entry, &get("/once"));
    });
}

/// Guards against fast senders of a body that keep the threads of the node from all else.
#[test]
fn endless_bodies_leave_others_answered() {
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for filler in ["1\r\nx\r\n", "10\r\n0123456789abcdef\r\n"] {
        let target = EndlessTarget::fast(begin, filler);
        let node = node_before(&target);
        assert_others_answered(&node, || {
            let mut stream = open(node.entry, &get("/once"));
            let mut buf = vec![0; 1 << 16];
            for _ in 0..100 {
                if stream.read(&mut buf).unwrap_or(0) == 0 {
                    break;
                }
            }
        });
    }
}

/// Guards against a caller that sends requests without waiting for answers and keeps the threads of
/// the node from all else.
#[test]
fn endless_requests_leave_others_answered() {
    let target = EndlessTarget::new("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "x");
    let node = node_before(&target);
    assert_others_answered(&node, || {
        let stream = open(node.entry, "");
        let mut reader = stream.try_clone().unwrap();
        let drained = std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        let requests = get("/none").repeat(2_000);
        let _ = (&stream).write_all(requests.as_bytes());
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = drained.join();
    });
}

/// Guards against bytes after a response that are read without end, or that reach the next caller as
/// its response: further responses, and what may be the rest of a body with too small a length.
#[test]
fn endless_bytes_after_response() {
    let longer: &'static str = format!("{WHOLE_RESPONSE}x").leak();
    let cases = [(WHOLE_RESPONSE, WHOLE_RESPONSE, (200, "whole")), (longer, "x", (502, ""))];
    for (begin, filler, expected) in cases {
        let target = EndlessTarget::new(begin, filler);
        let node = node_before(&target);
        for _ in 0..3 {
            let response = call(node.entry, &get("/once"));
            assert_eq!((response.status, response.text().as_str()), expected);
            eventually("the target's connection is closed", || target.is_closed());
        }
        assert_eq!(target.runs.load(Ordering::SeqCst), 3);
        assert!(target.sent() < 3 * max_sent(), "{}", target.sent());
    }
}

/// Guards against a body that is no valid coding without end, and that looks complete to the caller.
#[test]
fn endless_chunk_header_is_cut() {
    let target = EndlessTarget::new("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "x");
    let node = node_before(&target);
    let response = call(node.entry, &get("/once"));
    assert!(response.status != 200 || !response.complete, "{response:?}");
    eventually("the target's connection is closed", || target.is_closed());
    assert!(target.sent() < max_sent(), "{}", target.sent());
}

/// Guards against a body without end that is read into the node's memory for a caller that reads
/// slowly, that goes on after the caller has left, or that looks complete to it.
#[test]
fn endless_body_is_bounded() {
    let heads = ["transfer-encoding: chunked", "connection: close"];
    for (head, filler) in heads.into_iter().zip(["8\r\n12345678\r\n", "x"]) {
        let begin: &'static str = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").leak();
        let target = EndlessTarget::new(begin, filler);
        let node = node_before(&target);
        let held = &node.shared.metrics.reader_buffered_bytes;
        let stop = Arc::new(AtomicBool::new(false));
        let reader = read_slowly(&node, stop.clone());
        eventually("the body has begun", || target.sent() > begin.len());
        for _ in 0..100 {
            assert!(held.get() <= 2 * READER_BUFFER_BYTES as i64, "{head}: {} held", held.get());
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(target.sent() < max_sent(), "{head}: {}", target.sent());
        stop.store(true, Ordering::SeqCst);
        let received = reader.join().unwrap();
        assert!(!received.ends_with(b"0\r\n\r\n"), "{head}: the body looks complete");
        eventually("the target's connection is closed", || target.is_closed());
        eventually("nothing is held for a reader that left", || held.get() == 0);
    }
}

/// Requests the body and reads some of it slowly until told to stop. Returns what it has read.
fn read_slowly(node: &Node, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<Vec<u8>> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    // Set before the connection is opened, since it bounds what the node's kernel buffers too.
    sockopt::set_socket_recv_buffer_size(&socket, SOCKET_BUFFER_BYTES).unwrap();
    connect(&socket, &node.entry).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.write_all(get("/idem").as_bytes()).unwrap();
    std::thread::spawn(move || {
        let (mut received, mut buf) = (Vec::new(), [0; 64]);
        while !stop.load(Ordering::SeqCst) {
            match stream.read(&mut buf) {
                Ok(count) if count > 0 => received.extend_from_slice(&buf[..count]),
                _ => break,
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        received
    })
}
