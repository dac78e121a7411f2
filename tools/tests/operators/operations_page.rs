//! Runs the commands of docs/OPERATIONS.md as they stand on the page.

use crate::fake_nodes::FakeNodes;
use indexmap::IndexMap;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");

/// The commands on the page that begin with `program`, with continued lines joined.
fn commands(program: &str) -> Vec<String> {
    let page = fs::read_to_string(format!("{ROOT}/docs/OPERATIONS.md")).unwrap();
    let joined = page.replace("\\\n", " ");
    let is_command = |line: &&str| line.starts_with("    ") && line.trim().starts_with(program);
    joined.lines().filter(is_command).map(|line| line.trim().to_owned()).collect()
}

fn spawn(dir: &Path, program: &str, command: &str) -> Child {
    let args = command.split_whitespace().skip(1);
    Command::new(program).args(args).current_dir(dir).stdout(Stdio::null()).spawn().unwrap()
}

fn exit_code(dir: &Path, program: &str, command: &str) -> Option<i32> {
    spawn(dir, program, command).wait().unwrap().code()
}

/// A directory with the published documents that the commands name.
fn published() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    let from = Path::new(ROOT).join("examples/franchise-office/published");
    fs::create_dir(dir.path().join("preset")).unwrap();
    for file in ["in-force.json", "preset/ordinary.json", "preset/peak.json"] {
        fs::copy(from.join(file), dir.path().join(file)).unwrap();
    }
    let in_force = dir.path().join("in-force-preset.json");
    fs::copy(from.join("preset/ordinary.json"), in_force).unwrap();
    dir
}

/// A node that holds version 4, and the platform that lists it.
fn fleet() -> (FakeNodes, FakeNodes) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
    let started = now - 60_000_000;
    let version = json!({"version": 4, "preset": "ordinary", "digest": "ab".repeat(32)});
    let status = json!({"vm": "a", "region": "hills", "zone": "h1", "now": now,
        "started": started, "in_force": version, "in_force_since": started, "newest_heard": 4,
        "last_refusal": null, "role": "leaf", "parent": null, "platform_answers": true,
        "ready": true, "draining": false, "calls_open": 0});
    let events = json!({"vm": "a", "region": "hills", "zone": "h1", "now": now,
        "started": started, "dropped": 0, "events": [{"at": started, "kind": "started"}]});
    let responses = |bodies: Vec<(&str, Value)>| -> IndexMap<String, String> {
        bodies.into_iter().map(|(path, body)| (path.to_owned(), body.to_string())).collect()
    };
    let node = FakeNodes::start(1, |_| {
        responses(vec![("/status", status.clone()), ("/events", events.clone())])
    });
    let vm = json!({"vm": "a", "region": "hills", "zone": "h1", "peers": "127.0.0.1:1",
        "admin": node.addresses[0], "state": "live"});
    let platform = FakeNodes::start(1, |_| {
        responses(vec![
            ("/v1/kv/zones", json!({"zones": [{"region": "hills", "zone": "h1"}]})),
            ("/v1/kv/vms/h1", json!({"vms": [vm]})),
            ("/v1/kv/in-force", version.clone()),
        ])
    });
    (node, platform)
}

#[test]
fn page_commands_of_check() {
    let dir = published();
    let commands = commands("sycamore-check");
    assert_eq!(commands.len(), 2);
    for command in commands {
        let code = exit_code(dir.path(), env!("CARGO_BIN_EXE_sycamore-check"), &command);
        assert_eq!(code, Some(0), "{command}");
    }
}

#[test]
fn page_commands_of_status() {
    let (_node, platform) = fleet();
    let commands = commands("sycamore-status");
    assert_eq!(commands.len(), 1);
    let command = commands[0].replace("IP:PORT", &platform.addresses[0].to_string());
    let dir = tempfile::tempdir().unwrap();
    let code = exit_code(dir.path(), env!("CARGO_BIN_EXE_sycamore-status"), &command);
    assert_eq!(code, Some(0), "{command}");
}

#[test]
fn page_command_of_promises() {
    let mut commands = commands("sycamore-timeline");
    commands.retain(|command| command.contains("--promises"));
    assert_eq!(commands.len(), 1);
    let dir = tempfile::tempdir().unwrap();
    for file in ["node.log", "runs.jsonl"] {
        fs::write(dir.path().join(file), "").unwrap();
    }
    let code = exit_code(dir.path(), env!("CARGO_BIN_EXE_sycamore-timeline"), &commands[0]);
    assert_eq!(code, Some(0), "{}", commands[0]);
}

#[test]
fn page_commands_of_timeline() {
    let (_node, platform) = fleet();
    // Commands with `--request` are covered by traces_match_operations_page, and the one with
    // `--promises` by page_command_of_promises.
    let reads_logs =
        |command: &String| ["--request", "--promises"].iter().any(|mode| command.contains(mode));
    let commands = commands("sycamore-timeline").into_iter();
    let commands: Vec<_> = commands.filter(|command| !reads_logs(command)).collect();
    assert_eq!(commands.len(), 2);
    for command in commands {
        let dir = tempfile::tempdir().unwrap();
        let with_address = command.replace("IP:PORT", &platform.addresses[0].to_string());
        let mut child = spawn(dir.path(), env!("CARGO_BIN_EXE_sycamore-timeline"), &with_address);
        if command.contains("--follow") {
            let records = dir.path().join("records");
            while fs::read_dir(&records).map_or(0, Iterator::count) == 0 {
                assert!(child.try_wait().unwrap().is_none(), "{command}: ended without a record");
                std::thread::sleep(Duration::from_millis(10));
            }
            kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
        }
        assert_eq!(child.wait().unwrap().code(), Some(0), "{command}");
        let picture = fs::read_to_string(dir.path().join("timeline.svg")).unwrap();
        assert!(picture.contains("started"), "{command}");
    }
}
