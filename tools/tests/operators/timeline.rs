//! Tests of `sycamore-timeline` with files and simulated admin ports.

use crate::fake_nodes::FakeNodes;
use crate::tool::{self, ToolOutput};
use indexmap::IndexMap;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const SECOND: u64 = 1_000_000;
const START: u64 = 1_700_000_000 * SECOND;

fn event(at: u64, kind: &str) -> Value {
    json!({"at": at, "kind": kind})
}

fn in_force(at: u64, version: u64) -> Value {
    json!({"at": at, "kind": "version-in-force", "version": version})
}

/// `/events` response of a process that started at `started`, sent at `now`.
fn events_body(vm: &str, started: u64, now: u64, events: &[Value]) -> Value {
    json!({"vm": vm, "region": "hills", "zone": "h1", "now": now, "started": started,
        "dropped": 0, "events": events})
}

fn run_timeline(args: &[&str]) -> ToolOutput {
    tool::run(env!("CARGO_BIN_EXE_sycamore-timeline"), args)
}

/// Merges these `/events` responses from files and returns the timeline as JSON.
fn merge_files(dir: &Path, answers: &[Value]) -> Value {
    let paths: Vec<_> = (0..answers.len()).map(|i| dir.join(format!("{i}.json"))).collect();
    for (path, answer) in paths.iter().zip(answers) {
        fs::write(path, answer.to_string()).unwrap();
    }
    let mut args: Vec<_> = paths.iter().map(|path| path.to_str().unwrap()).collect();
    args.extend(["--format", "json"]);
    let run = run_timeline(&args);
    assert_eq!(run.exit_code, Some(0), "{}", run.stderr);
    run.json()
}

#[test]
fn process_killed_and_restarted() {
    // A process killed with SIGKILL records no event. The kill is inferred from the start of
    // another process on the same VM without a recorded stop.
    let dir = tempfile::tempdir().unwrap();
    let first = [event(START, "started"), in_force(START + SECOND, 1)];
    let second = [event(START + 9 * SECOND, "started"), in_force(START + 10 * SECOND, 1)];
    let timeline = merge_files(
        dir.path(),
        &[
            events_body("a", START, START + 5 * SECOND, &first),
            events_body("a", START + 9 * SECOND, START + 20 * SECOND, &second),
        ],
    );
    let processes = &timeline["lanes"][0]["processes"];
    assert_eq!(processes[0]["end"], "killed");
    let band = json!([{"version": 1, "from": START + SECOND, "to": START + 5 * SECOND}]);
    assert_eq!(processes[0]["bands"], band);
    assert_eq!(processes[1]["end"], "running");
    // The late start of the second process does not count as a slow rollout of version 1.
    assert_eq!(timeline["versions"][0]["last"], START + SECOND);
}

#[test]
fn process_stopped() {
    let dir = tempfile::tempdir().unwrap();
    let stopped = [event(START, "started"), event(START + SECOND, "stopped")];
    let timeline = merge_files(dir.path(), &[events_body("a", START, START + SECOND, &stopped)]);
    assert_eq!(timeline["lanes"][0]["processes"][0]["end"], "stopped");
}

#[test]
fn process_stopped_between_polls() {
    // A node exits right after recording `stopped`, so polls may miss that event. A drained node
    // must still be shown as stopped, not as lost.
    let dir = tempfile::tempdir().unwrap();
    let drained = [event(START, "started"), event(START + SECOND, "draining")];
    let running = [event(START, "started")];
    let timeline = merge_files(
        dir.path(),
        &[
            events_body("a", START, START + SECOND, &drained),
            events_body("b", START, START + 60 * SECOND, &running),
        ],
    );
    assert_eq!(timeline["lanes"][0]["processes"][0]["end"], "stopped");
}

#[test]
fn process_unseen() {
    let dir = tempfile::tempdir().unwrap();
    let timeline = merge_files(
        dir.path(),
        &[
            events_body("a", START, START + SECOND, &[event(START, "started")]),
            events_body("b", START, START + 60 * SECOND, &[event(START, "started")]),
        ],
    );
    assert_eq!(timeline["lanes"][0]["processes"][0]["end"], "unseen");
    assert_eq!(timeline["lanes"][1]["processes"][0]["end"], "running");
}

#[test]
fn events_of_two_polls_once() {
    let dir = tempfile::tempdir().unwrap();
    let [a, b, c] = [0, 1, 2].map(|i| in_force(START + i * SECOND, i + 1));
    let timeline = merge_files(
        dir.path(),
        &[
            events_body("a", START, START + 2 * SECOND, &[a, b.clone()]),
            events_body("a", START, START + 3 * SECOND, &[b, c]),
        ],
    );
    let marks = timeline["lanes"][0]["processes"][0]["marks"].as_array().unwrap();
    let versions: Vec<_> = marks.iter().map(|mark| mark["version"].clone()).collect();
    assert_eq!(versions, [1, 2, 3]);
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

#[test]
fn clocks_skewed() {
    // Events must be merged by the tool's clock. With the clock of a VM an hour ahead, a version
    // would otherwise appear to take an hour to come into force.
    let hour = 3_600 * SECOND;
    let now = now_us();
    let node = |vm: &str, ahead: u64| {
        let started = now - 10 * SECOND + ahead;
        let node_events = [event(started, "started"), in_force(now - SECOND + ahead, 1)];
        events_body(vm, started, now + ahead, &node_events)
    };
    let bodies = [node("a", 0), node("b", hour)];
    let nodes =
        FakeNodes::start(2, |i| IndexMap::from([("/events".to_owned(), bodies[i].to_string())]));
    let [a, b] = [0, 1].map(|i| nodes.addresses[i].to_string());
    let run =
        run_timeline(&["--node", &a, "--node", &b, "--format", "json", "--timeout-ms", "10000"]);
    let timeline = run.json();
    let span = &timeline["versions"][0];
    let spread_us = span["last"].as_u64().unwrap() - span["first"].as_u64().unwrap();
    // A minute is far below the clock offset and far above the duration of the requests.
    assert!(spread_us < 60 * SECOND, "{spread_us}");
    assert_eq!(span["nodes"], 2);
}

#[test]
fn saved_events_outlive_process() {
    // Events saved with --save must survive the node and appear with those of its next process.
    let dir = tempfile::tempdir().unwrap();
    let save = dir.path().join("records");
    let save = save.to_str().unwrap();
    let body = |started: u64| {
        let node_events = [event(started, "started"), in_force(started + 1, 1)];
        events_body("a/b", started, started + SECOND, &node_events).to_string()
    };
    let nodes = FakeNodes::start(1, |_| IndexMap::from([("/events".to_owned(), body(START))]));
    let node = nodes.addresses[0].to_string();
    assert_eq!(run_timeline(&["--node", &node, "--save", save]).exit_code, Some(0));
    nodes.set_response(0, "/events", body(START + 60 * SECOND));
    assert_eq!(run_timeline(&["--node", &node, "--save", save]).exit_code, Some(0));
    drop(nodes);
    let run = run_timeline(&["--save", save, "--format", "json"]);
    let timeline = run.json();
    assert_eq!(timeline["lanes"][0]["processes"].as_array().unwrap().len(), 2, "{timeline}");
}

#[test]
fn follow_ends_by_itself() {
    let body = events_body("a", START, START + SECOND, &[event(START, "started")]).to_string();
    let nodes = FakeNodes::start(1, |_| IndexMap::from([("/events".to_owned(), body.clone())]));
    let node = nodes.addresses[0].to_string();
    let run = run_timeline(&["--node", &node, "--follow", "1", "--interval-ms", "50"]);
    assert_eq!(run.exit_code, Some(0));
    assert!(run.stdout.contains(" started\n"), "{}", run.stdout);
}

#[test]
fn follow_ended_by_signal() {
    // SIGTERM ends --follow early and must still write the picture.
    let body = events_body("a", START, START + SECOND, &[event(START, "started")]).to_string();
    let nodes = FakeNodes::start(1, |_| IndexMap::from([("/events".to_owned(), body.clone())]));
    let dir = tempfile::tempdir().unwrap();
    let (save, picture) = (dir.path().join("records"), dir.path().join("picture.svg"));
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_sycamore-timeline"))
        .args(["--node", &nodes.addresses[0].to_string(), "--follow", "3600", "--format", "svg"])
        .args(["--save", save.to_str().unwrap(), "--output", picture.to_str().unwrap()])
        .spawn()
        .unwrap();
    // The signal handler is installed before the first record is saved.
    while fs::read_dir(&save).map_or(0, Iterator::count) == 0 {
        assert!(
            child.try_wait().unwrap().is_none(),
            "sycamore-timeline exited before it saved a record"
        );
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(fs::read_to_string(picture).unwrap().contains("started"));
}

#[test]
fn picture_of_names_with_markup() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("a.json");
    let node_events =
        [event(START, "started"), in_force(START + 1, 1), event(START + 2, "clock-gap")];
    let answer = events_body("<a&\"b>", START, START + SECOND, &node_events);
    fs::write(&path, answer.to_string()).unwrap();
    let output = dir.path().join("a.svg");
    let args = [path.to_str().unwrap(), "--format", "svg", "--output", output.to_str().unwrap()];
    let run = run_timeline(&args);
    assert_eq!(run.exit_code, Some(0), "{}", run.stderr);
    let picture = fs::read_to_string(output).unwrap();
    assert!(picture.contains("&lt;a&amp;\"b&gt;"), "{picture}");
    assert!(picture.contains("clock gap"), "{picture}");
    assert!(
        !picture.contains("source lost"),
        "the legend lists an event that is not in the picture"
    );
}

#[test]
fn text_names_codes() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("a.json");
    let refused = json!({"at": START, "kind": "version-refused", "version": 3, "code": 204});
    fs::write(&path, events_body("a", START, START, &[refused]).to_string()).unwrap();
    let run = run_timeline(&[path.to_str().unwrap()]);
    let line = "version-refused version 3 E204: a route names a service that the document lacks";
    assert!(run.stdout.contains(line), "{}", run.stdout);
}

#[test]
fn file_not_valid() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("a.json");
    fs::write(&path, "{\"events\": 1}").unwrap();
    let run = run_timeline(&[path.to_str().unwrap()]);
    assert_eq!(run.exit_code, Some(2));
    assert!(run.stderr.contains("E506"), "{}", run.stderr);
}

#[test]
fn usage_refused() {
    for args in [&[][..], &["--follow", "1"], &["x.json", "--format", "png"]] {
        let run = run_timeline(args);
        assert_eq!(run.exit_code, Some(2), "{args:?}");
        assert!(run.stderr.contains("E104"), "{}", run.stderr);
    }
}
