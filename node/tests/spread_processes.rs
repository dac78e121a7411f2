//! Version distribution between real processes, with faulty peers and a faulty platform.

#[path = "support/processes.rs"]
mod processes;

use processes::{
    MockPlatform, Node, ResponseMode, all_have_version, publish_vm_lists, start_fleet, vms,
    wait_for,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use sycamore_core::Code;

#[test]
fn restart_while_platform_is_down() {
    // Guards against a node that cannot recover the configuration from its peers after a restart
    // while the platform is down.
    let platform = MockPlatform::new();
    let (vms, mut nodes) = start_fleet(0, &platform);
    platform.publish(2);
    wait_for("version 2 in force", || all_have_version(&nodes, 2));
    platform.set_response_mode(ResponseMode::NoResponse);
    drop(nodes.pop());
    nodes.push(Node::start(&vms[2], &platform, &[nodes[0].peers()]));
    wait_for("version 2 in force after the restart", || all_have_version(&nodes, 2));
    assert!(nodes[2].status().unwrap().confirmed);
    platform.set_response_mode(ResponseMode::Normal);
    platform.publish(3);
    wait_for("version 3 in force", || all_have_version(&nodes, 3));
}

#[test]
fn invalid_bytes_from_peer() {
    // Guards against invalid or incomplete data on the peer port crashing the node, exhausting its
    // memory or blocking version updates.
    let platform = MockPlatform::new();
    let (_, mut nodes) = start_fleet(1, &platform);
    let before_kb = nodes[0].resident_kb();
    let mut open_streams = Vec::new();
    for number in 0..200u32 {
        let mut stream = TcpStream::connect(nodes[0].peers()).unwrap();
        let invalid: Vec<u8> = match number % 4 {
            0 => b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(20),
            // Announces one segment of 2^31 words.
            1 => [0, 0, 0, 0, 0, 0, 0, 0x80].to_vec(),
            2 => vec![0, 0, 0, 0, 255, 0, 0, 0, 1, 2, 3],
            _ => Vec::new(),
        };
        // The node may have closed the connection already.
        let _ = stream.write_all(&invalid);
        open_streams.push(stream);
    }
    platform.publish(2);
    wait_for("version 2 in force", || all_have_version(&nodes, 2));
    assert!(nodes[0].is_running());
    let growth_kb = nodes[0].resident_kb().saturating_sub(before_kb);
    assert!(growth_kb < 32_768, "resident memory grew by {growth_kb} KB");
}

#[test]
fn unresponsive_peer() {
    // Guards against a node waiting indefinitely for peers that accept connections but never
    // respond.
    let platform = MockPlatform::new();
    let mut vms = vms(2, &[("a-0", "r1", "a"), ("a-1", "r1", "a"), ("a-2", "r1", "a")]);
    let unresponsive: Vec<TcpListener> = [0, 1]
        .map(|number| TcpListener::bind(SocketAddr::new(vms[number].ip, 7_002)).unwrap())
        .into();
    publish_vm_lists(&platform, &vms);
    platform.publish(1);
    let seeds: Vec<SocketAddr> = unresponsive.iter().map(|l| l.local_addr().unwrap()).collect();
    let nodes = [Node::start(&vms.remove(2), &platform, &seeds)];
    wait_for("version 1 in force", || all_have_version(&nodes, 1));
    assert!(!nodes[0].status().unwrap().confirmed, "no peer has confirmed the version");
    platform.publish(2);
    wait_for("version 2 in force", || all_have_version(&nodes, 2));
}

#[test]
fn faulty_platform_responses() {
    // Guards against platform failures changing the version in force or blocking later versions.
    let platform = MockPlatform::new();
    let (_, nodes) = start_fleet(3, &platform);
    let mut version = 1;
    for mode in [
        ResponseMode::NotHttp,
        ResponseMode::InvalidValue,
        ResponseMode::OverLimit,
        ResponseMode::NoResponse,
    ] {
        let calls = platform.calls();
        platform.set_response_mode(mode);
        wait_for("more calls to the platform", || platform.calls() >= calls + 4);
        assert!(all_have_version(&nodes, version), "{mode:?} changed the version");
        platform.set_response_mode(ResponseMode::Normal);
        version += 1;
        platform.publish(version);
        wait_for("the next version in force", || all_have_version(&nodes, version));
    }
    let codes: Vec<u16> =
        nodes.iter().flat_map(|node| node.events().events).filter_map(|event| event.code).collect();
    for code in [Code::SourceOverLimit, Code::SourceUnreachable, Code::SourceInvalid] {
        assert!(codes.contains(&code.number()), "{code:?} was not recorded: {codes:?}");
    }
}
