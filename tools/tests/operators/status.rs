//! Tests of `sycamore-status` against simulated admin ports.

use crate::fake_nodes::FakeNodes;
use crate::tool::{self, ToolOutput};
use indexmap::IndexMap;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use sycamore_standins::closed_port::ClosedPort;

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Status of a node without clock offset whose version came into force ten seconds ago.
fn node_status(index: usize, version: u64) -> Value {
    let now = now_us();
    let digest = "ab".repeat(32);
    let in_force = json!({"version": version, "preset": "ordinary", "digest": digest});
    json!({
        "vm": format!("vm-{index}"), "region": "hills", "zone": "h1",
        "now": now, "started": now - 60_000_000,
        "in_force": in_force, "in_force_since": now - 10_000_000,
        "newest_heard": version, "last_refusal": null, "role": "leaf", "parent": "vm-0",
        "platform_answers": null, "ready": true, "draining": false, "calls_open": 0
    })
}

fn start_nodes(statuses: Vec<Value>) -> FakeNodes {
    FakeNodes::start(statuses.len(), |index| {
        IndexMap::from([("/status".to_owned(), statuses[index].to_string())])
    })
}

fn run_status(addresses: &[SocketAddr], options: &[&str]) -> ToolOutput {
    let mut args: Vec<String> = options.iter().map(|&option| option.to_owned()).collect();
    for address in addresses {
        args.extend(["--node".to_owned(), address.to_string()]);
    }
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    tool::run(env!("CARGO_BIN_EXE_sycamore-status"), &args)
}

fn with_field(mut status: Value, field: &str, value: Value) -> Value {
    status[field] = value;
    status
}

#[test]
fn version_everywhere() {
    let fleet = start_nodes((0..3).map(|i| node_status(i, 4)).collect());
    let run = run_status(&fleet.addresses, &["--version-in-force", "4"]);
    assert_eq!(run.exit_code, Some(0), "{}{}", run.stdout, run.stderr);
    assert!(run.stdout.starts_with("version 4 is in force everywhere since"), "{}", run.stdout);
    assert!(run.stdout.contains("nodes: 3, holding 3, newer 0, lagging 0"), "{}", run.stdout);
}

#[test]
fn version_not_heard() {
    let fleet = start_nodes(vec![
        node_status(0, 4),
        with_field(node_status(1, 3), "platform_answers", false.into()),
    ]);
    let run = run_status(&fleet.addresses, &[]);
    assert_eq!(run.exit_code, Some(1));
    let line = "version 3, heard of no newer one, parent vm-0, platform does not answer";
    assert!(run.stdout.contains("version 4 is NOT in force everywhere"), "{}", run.stdout);
    assert!(run.stdout.contains(line), "{}", run.stdout);
}

#[test]
fn version_refused() {
    let fault = "E206: a limit is out of its range";
    let refusing = with_field(
        with_field(node_status(1, 3), "newest_heard", 4.into()),
        "last_refusal",
        fault.into(),
    );
    let fleet = start_nodes(vec![node_status(0, 3), refusing]);
    let run = run_status(&fleet.addresses, &["--version-in-force", "4", "--format", "json"]);
    assert_eq!(run.exit_code, Some(1));
    let report = run.json();
    assert_eq!(report["fleet"][0]["lag"]["why"], "not-heard");
    assert_eq!(report["fleet"][1]["lag"], json!({"why": "refused", "version": 3, "fault": fault}));
    assert_eq!(report["refusals"], json!([{"fault": fault, "nodes": 1}]));
    let text = run_status(&fleet.addresses, &["--version-in-force", "4"]).stdout;
    assert!(text.contains(&format!("\nrefused by 1 nodes: {fault}\n")), "{text}");
}

#[test]
fn version_fetching() {
    let fleet = start_nodes(vec![
        node_status(0, 4),
        with_field(node_status(1, 3), "newest_heard", 4.into()),
    ]);
    let run = run_status(&fleet.addresses, &[]);
    assert!(run.stdout.contains("fetching from vm-0"), "{}", run.stdout);
}

#[test]
fn version_split() {
    // Two documents in force under one version number must be reported, although every node holds
    // that version.
    let mut other = node_status(2, 4);
    other["in_force"]["digest"] = "cd".repeat(32).into();
    let fleet = start_nodes(vec![node_status(0, 4), node_status(1, 4), other]);
    let run = run_status(&fleet.addresses, &[]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("SPLIT: version 4 with digest cdcd"), "{}", run.stdout);
}

#[test]
fn version_superseded() {
    let fleet = start_nodes(vec![node_status(0, 5), node_status(1, 5)]);
    let run = run_status(&fleet.addresses, &["--version-in-force", "4"]);
    assert_eq!(run.exit_code, Some(0));
    assert!(run.stdout.contains("superseded everywhere"), "{}", run.stdout);
}

#[test]
fn version_none_yet() {
    let empty = with_field(
        with_field(node_status(0, 0), "in_force", Value::Null),
        "in_force_since",
        Value::Null,
    );
    let run = run_status(&start_nodes(vec![empty]).addresses, &[]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("no version is in force anywhere"), "{}", run.stdout);
}

#[test]
fn node_unreachable() {
    let closed_port = ClosedPort::new().unwrap();
    let closed_address = closed_port.address().unwrap();
    let fleet = start_nodes(vec![node_status(0, 4)]);
    let run = run_status(&[fleet.addresses[0], closed_address], &[]);
    assert_eq!(run.exit_code, Some(1));
    assert!(
        run.stdout.contains(&format!("E501: a node does not answer at {closed_address}/status"))
    );
}

#[test]
fn node_silent() {
    // The kernel accepts connections for a suspended process, so only a timeout of the tool ends
    // the request.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let run = run_status(&[silent.local_addr().unwrap()], &["--timeout-ms", "100"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("no response within 100 ms"), "{}", run.stdout);
}

#[test]
fn node_response_malformed() {
    let fleet = FakeNodes::start(1, |_| IndexMap::from([("/status".to_owned(), "{}".to_owned())]));
    let run = run_status(&fleet.addresses, &[]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E504"), "{}", run.stdout);
}

#[test]
fn node_of_a_later_release() {
    // Unknown fields must be accepted, or every upgraded node would be shown as unreachable during
    // a rolling upgrade.
    let run = run_status(
        &start_nodes(vec![with_field(node_status(0, 4), "colour", 1.into())]).addresses,
        &[],
    );
    assert_eq!(run.exit_code, Some(0), "{}", run.stdout);
}

#[test]
fn node_list_cut_short() {
    let late = (1..100).map(|i| node_status(i, 3));
    let fleet = start_nodes(std::iter::once(node_status(0, 4)).chain(late).collect());
    let text = run_status(&fleet.addresses, &[]).stdout;
    assert!(text.contains("lagging 99") && text.contains("and 59 more"), "{text}");
    assert_eq!(run_status(&fleet.addresses, &["--all"]).stdout.matches(" in h1 at ").count(), 100);
}

#[test]
fn node_leaving_does_not_count() {
    let leaving = with_field(node_status(1, 3), "draining", true.into());
    let run = run_status(&start_nodes(vec![node_status(0, 4), leaving]).addresses, &[]);
    assert_eq!(run.exit_code, Some(0));
    assert!(run.stdout.contains("leaving 1"), "{}", run.stdout);
}

#[test]
fn node_clock_an_hour_ahead() {
    // Times of a node must be converted to the tool's clock, or this one would be in the future.
    let hour = Duration::from_secs(3_600).as_micros() as u64;
    let mut ahead = node_status(0, 4);
    for field in ["now", "in_force_since"] {
        ahead[field] = (ahead[field].as_u64().unwrap() + hour).into();
    }
    let run = run_status(&start_nodes(vec![ahead]).addresses, &["--format", "json"]);
    let since = run.json()["everywhere_since"].as_u64().unwrap();
    assert!(since < now_us(), "{since}");
}

#[test]
fn platform_names_version_and_nodes() {
    let nodes = start_nodes(vec![node_status(0, 4), node_status(1, 4)]);
    let members: Vec<_> = nodes
        .addresses
        .iter()
        .enumerate()
        .map(|(index, admin)| {
            json!({"vm": format!("vm-{index}"), "region": "hills", "zone": "h1",
                "peers": "127.0.0.1:1", "admin": admin, "state": "live"})
        })
        .collect();
    let gone = json!({"vm": "vm-9", "region": "hills", "zone": "h1",
        "peers": "127.0.0.1:1", "admin": "127.0.0.1:1", "state": "gone"});
    let vms = [members, vec![gone]].concat();
    let list = json!({"vms": vms});
    let published = json!({"version": 5, "preset": "peak", "digest": "ab".repeat(32)});
    let platform = FakeNodes::start(1, |_| {
        let zones = json!({"zones": [{"region": "hills", "zone": "h1"}]});
        IndexMap::from([
            ("/v1/kv/zones".to_owned(), zones.to_string()),
            ("/v1/kv/vms/h1".to_owned(), list.to_string()),
            ("/v1/kv/in-force".to_owned(), published.to_string()),
        ])
    });
    let run = run_status(&[], &["--platform", &platform.addresses[0].to_string()]);
    assert_eq!(run.exit_code, Some(1), "{}", run.stderr);
    assert!(run.stdout.contains("version 5 is NOT in force everywhere"), "{}", run.stdout);
    assert!(run.stdout.contains("nodes: 2"), "{}", run.stdout);
}

#[test]
fn wait_until_everywhere() {
    let nodes = start_nodes(vec![node_status(0, 4), node_status(1, 3)]);
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| run_status(&nodes.addresses, &["--wait", "60"]));
        std::thread::sleep(Duration::from_millis(50));
        nodes.set_response(1, "/status", node_status(1, 4).to_string());
        let run = waiting.join().unwrap();
        assert_eq!(run.exit_code, Some(0), "{}", run.stdout);
    });
}

#[test]
fn usage_refused() {
    for options in [&[][..], &["--node", "nowhere"], &["--concurrency", "0"], &["extra"]] {
        let run = run_status(&[], options);
        assert_eq!(run.exit_code, Some(2), "{options:?}");
        assert!(run.stderr.contains("E104"), "{}", run.stderr);
    }
}

/// Queries 300 nodes and `silent` more that accept connections without responding. The duration is
/// printed but not checked, so that the tests do not depend on the speed of the machine.
fn query_300_nodes(silent: usize) -> ToolOutput {
    let fleet = start_nodes((0..300).map(|i| node_status(i, 4)).collect());
    let silent: Vec<_> = (0..silent).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let mut addresses = fleet.addresses.clone();
    let position = |index: usize| index * 300 / silent.len().max(1);
    for (index, listener) in silent.iter().enumerate() {
        addresses.insert(position(index), listener.local_addr().unwrap());
    }
    let start = std::time::Instant::now();
    let run = run_status(&addresses, &["--timeout-ms", "10000"]);
    println!("300 nodes and {} silent ones: {:?}", silent.len(), start.elapsed());
    run
}

#[test]
fn fleet_of_hundreds() {
    let run = query_300_nodes(0);
    assert_eq!(run.exit_code, Some(0), "{}", run.stdout);
    assert!(run.stdout.contains("nodes: 300, holding 300"), "{}", run.stdout);
}

#[test]
fn fleet_of_hundreds_with_silent_nodes() {
    let run = query_300_nodes(20);
    assert_eq!(run.exit_code, Some(1), "{}", run.stdout);
    assert!(run.stdout.contains("nodes: 320, holding 300, newer 0, lagging 20"), "{}", run.stdout);
}
