//! Callers that read their responses slowly.

#[path = "support/calls.rs"]
mod support;

use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use support::*;

const READERS: usize = 200;
/// Bound for one connection.
const BOUND_BYTES: i64 = 128 << 10;
/// Receive buffer of a reader. The kernel otherwise takes most of a response in its place.
const RECEIVE_BUFFER_BYTES: usize = 4_096;

/// Requests a response of 2 MB from the gatekeeper, which reads ahead of the link, and reads a byte
/// at a time until told to stop.
fn read_slowly(node: &Node, number: usize, stop: Arc<AtomicBool>) {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    // Set before the connection is opened, since it bounds what the node's kernel buffers too.
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).unwrap();
    connect(&socket, &node.gate).unwrap();
    let mut stream = TcpStream::from(socket);
    let head = format!(
        "GET /idem/stream/2000000 HTTP/1.1\r\nhost: t\r\nx-sycamore-request-id: r{number}\r\n\
         x-sycamore-deadline-ms: 60000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    std::thread::spawn(move || {
        let mut byte = [0];
        while !stop.load(Ordering::Relaxed) && stream.read(&mut byte).is_ok_and(|count| count > 0) {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}

/// Guards against a node that reads the responses of slow readers into its own memory, and against
/// slow readers that keep others from being served.
#[test]
fn slow_readers_are_bounded() {
    let target = Target::new();
    let limits = r#"{"reader_buffer_kb":128,"link_mbps":10}"#;
    // Responses to an IP address other than the gatekeeper's are sent over the link.
    let node = Node::with_gate_ip("a", Some(target.address), limits, "127.0.0.2");
    let slots = r#"{"slots":250,"connections":300,"queue":300,"warm_up_ms":0}"#;
    let plain = preset(slots, &[("a", node.gate)]);
    let bulk = plain.replace(r#""idempotent":true"#, r#""idempotent":true,"class":"bulk""#);
    let quick = r#""quick":{"path_prefix":"/quick","service":"s","idempotent":true},"once""#;
    node.configure(1, &bulk.replace(r#""once""#, quick));
    let metrics = &node.shared.metrics;
    let held = &metrics.reader_buffered_bytes;
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..READERS {
        read_slowly(&node, number, stop.clone());
    }
    // The gatekeeper starts only as many of them as the link can carry.
    eventually("responses are held for slow readers", || held.get() >= 3 * BOUND_BYTES);
    for _ in 0..20 {
        let response = call(node.entry, &get("/quick"));
        assert_eq!((response.status, response.complete), (200, true));
        let (now, started) = (held.get(), target.run_count("/idem/stream") as i64);
        assert!(now <= started * BOUND_BYTES, "{now} bytes held for {started} readers");
        std::thread::sleep(Duration::from_millis(20));
    }
    // The rest of each response is still in the target.
    assert!(metrics.in_flight.get() > 0);
    stop.store(true, Ordering::Relaxed);
    eventually("nothing is held for readers that left", || held.get() == 0);
}

/// Guards against a count of held bytes that drifts, which would stop the read-ahead for good.
#[test]
fn held_bytes_return_to_zero() {
    let (_target, node) = single_node("{}");
    let held = &node.shared.metrics.reader_buffered_bytes;
    for path in ["/idem/stream/300000", "/idem/chunks-whole", "/idem/cut", "/idem"] {
        call(node.entry, &get(path));
        eventually("nothing is held", || held.get() == 0);
    }
}
