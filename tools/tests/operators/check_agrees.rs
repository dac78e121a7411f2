//! Compares the verdicts of `sycamore-check` and of a node on the same publications.

use crate::tool;
use serde_json::{Value, json};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::Duration;
use sycamore_core::hash::Hash;
use sycamore_node::app::App;
use sycamore_node::settings::Settings;
use sycamore_standins::platform::{Addresses, Platform, PlatformConfig, Store};

/// Maximum number of polls of a node, one per [`POLL_INTERVAL`], before the test fails.
const MAX_POLLS: u32 = 3_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Replacements in a valid preset, each with whether the result is invalid.
fn preset_edits() -> Vec<(&'static str, &'static str, bool)> {
    vec![
        (r#""slots":12"#, r#""slots":18"#, false),
        (r#""slots":12"#, r#""slots":0"#, true),
        (r#""slots":12"#, r#""slots":111"#, true),
        (r#""slots":12"#, r#""slots":12,"queue":100001"#, true),
        (r#""slots":12"#, r#""slots":12,"drain_ms":999"#, true),
        (r#""slots":12"#, r#""slots":12,"colour":1"#, true),
        (r#""slots":12"#, r#""slots":"12""#, true),
        (r#""vm":"b""#, r#""vm":"a""#, true),
        (r#""vm":"b""#, r#""vm":"two words""#, true),
        (r#""gate":"127.0.0.2:1""#, r#""gate":"nowhere""#, true),
        (r#""service":"roster""#, r#""service":"maps""#, true),
        (r#""path_prefix":"/crews""#, r#""path_prefix":"/rosters""#, true),
        (r#""path_prefix":"/crews""#, r#""path_prefix":"crews""#, true),
        (r#""idempotent":true"#, r#""idempotent":true,"max_attempts":0"#, true),
        (r#""idempotent":true"#, r#""idempotent":true,"class":"bulk""#, false),
        (r#""crews":"#, r#""rosters":"#, true),
        (r#""name":"ordinary""#, r#""name":"peak""#, true),
        ("]}}", "]}", true),
    ]
}

const PRESET: &str = r#"{"name":"ordinary","services":{"roster":{"limits":{"slots":12},"targets":[
{"vm":"a","region":"hills","zone":"h1","gate":"127.0.0.1:1","peers":"127.0.0.1:3"},
{"vm":"b","region":"hills","zone":"h1","gate":"127.0.0.2:1","peers":"127.0.0.2:3"}]}},"routes":{
"rosters":{"path_prefix":"/rosters","service":"roster","idempotent":true},
"crews":{"path_prefix":"/crews","service":"roster","idempotent":true}}}"#;

fn in_force(version: u64, preset: &str) -> String {
    let digest = Hash::of(preset.as_bytes());
    json!({"version": version, "preset": "ordinary", "digest": digest}).to_string()
}

fn http_request(address: SocketAddr, head: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let size = body.len();
    let head = format!("{head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    write!(stream, "{head}content-length: {size}\r\n\r\n{body}").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.split_once("\r\n\r\n")?.1.to_owned())
}

/// Returns four distinct free loopback addresses. All listeners stay open until the last is bound,
/// because the kernel may assign a released port again. No other test binds ports of this IP.
fn reserve_addresses() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.4:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

/// A platform and a node that run in this process.
struct Deployment {
    platform: Addresses,
    admin: SocketAddr,
}

impl Deployment {
    fn start() -> Deployment {
        let [calls, gate, peers, admin] = reserve_addresses();
        let vm = json!({"vm": "a", "region": "hills", "zone": "h1", "peers": peers,
            "admin": admin, "state": "live"});
        let mut store = Store::new();
        store.put("preset/ordinary", PRESET.into());
        store.put("in-force", in_force(1, PRESET).into());
        store.put("zones", r#"{"zones":[{"region":"hills","zone":"h1"}]}"#.into());
        store.put("vms/h1", json!({"vms": [vm]}).to_string().into());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let cfg =
            PlatformConfig { listen: vec![any], control: any, max_calls_per_second: 2_000, store };
        let platform = Platform::spawn(cfg).unwrap();
        let settings = json!({"vm": "a", "region": "hills", "zone": "h1",
            "listen": {"calls": calls, "gate": gate, "peers": peers, "admin": admin},
            "platform_address": platform.readers[0], "platform_region": "hills"});
        let settings = Settings::parse(settings.to_string().as_bytes()).unwrap();
        std::thread::spawn(move || App::new(settings).run().unwrap());
        let deployment = Deployment { platform, admin };
        deployment.wait_for_verdict(1);
        deployment
    }

    fn publish(&self, version: u64, preset: &str) {
        let control = self.platform.control;
        http_request(control, "PUT /v1/kv/preset/ordinary", preset).unwrap();
        http_request(control, "PUT /v1/kv/in-force", &in_force(version, preset)).unwrap();
    }

    /// Waits for the `version-in-force` or `version-refused` event of a version on the node.
    fn wait_for_verdict(&self, version: u64) -> Value {
        for _ in 0..MAX_POLLS {
            let body = http_request(self.admin, "GET /events", "").unwrap_or_default();
            let answer: Value = serde_json::from_str(&body).unwrap_or_default();
            let events = answer["events"].as_array().cloned().unwrap_or_default();
            let verdicts = ["version-in-force", "version-refused"];
            let is_verdict = |event: &Value| {
                event["version"] == version
                    && verdicts.iter().any(|verdict| event["kind"] == *verdict)
            };
            if let Some(event) = events.into_iter().find(is_verdict) {
                return event;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("version {version} neither came into force nor was refused");
    }
}

/// Runs the tool on a publication that follows version 1, and returns the codes of its findings.
fn run_check(dir: &Path, version: u64, preset: &str) -> Vec<u64> {
    let path = |name: &str| dir.join(name).display().to_string();
    fs::write(path("new.json"), preset).unwrap();
    fs::write(path("new-in-force.json"), in_force(version, preset)).unwrap();
    fs::write(path("old.json"), PRESET).unwrap();
    fs::write(path("old-in-force.json"), in_force(1, PRESET)).unwrap();
    let run = tool::run(
        env!("CARGO_BIN_EXE_sycamore-check"),
        &[
            &path("new.json"),
            "--in-force",
            &path("new-in-force.json"),
            "--previous",
            &path("old.json"),
            "--previous-in-force",
            &path("old-in-force.json"),
            "--format",
            "json",
        ],
    );
    let report = run.json();
    assert_eq!(run.exit_code, Some(if report["accepted"] == true { 0 } else { 1 }));
    let findings = report["findings"].as_array().unwrap();
    findings.iter().map(|finding| finding["code"].as_u64().unwrap()).collect()
}

#[test]
fn verdict_same_as_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start();
    for (index, (old, new, invalid)) in preset_edits().into_iter().enumerate() {
        let version = index as u64 + 2;
        let preset = PRESET.replacen(old, new, 1);
        let codes = run_check(dir.path(), version, &preset);
        assert_eq!(!codes.is_empty(), invalid, "{new}: {codes:?}");
        deployment.publish(version, &preset);
        let event = deployment.wait_for_verdict(version);
        assert_eq!(event["code"].as_u64(), codes.first().copied(), "{new}: {event}");
        let kind = if invalid { "version-refused" } else { "version-in-force" };
        assert_eq!(event["kind"], kind, "{new}");
    }
}
