//! Command line, exit codes, signals and log output of `sycamore-node`.

use crate::process::{NodeProcess, run, run_with_settings, settings};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::process::Output;

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test]
fn help_printed() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    for option in ["--settings", "--check-settings", "--help", "--version"] {
        assert!(stdout(&output).contains(option), "{option}");
    }
}

#[test]
fn version_printed() {
    let output = run(&["--version"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output), format!("sycamore-node {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn usage_refused() {
    for args in [&[][..], &["--colour"], &["--settings"], &["--settings", "a", "b"]] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(stderr(&output).starts_with("sycamore-node: E104: "), "{}", stderr(&output));
    }
}

#[test]
fn settings_unreadable() {
    let output = run(&["--settings", "/nonexistent/node.json"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("E101") && text.contains("/nonexistent/node.json"), "{text}");
}

#[test]
fn settings_checked() {
    let output = run_with_settings(&settings().to_string(), &["--check-settings"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "settings are valid\n");
}

#[test]
fn settings_refused_with_place() {
    let mut wrong = settings();
    wrong["limits"] = json!({"threads": 65});
    let output = run_with_settings(&wrong.to_string(), &["--check-settings"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("E102"), "{text}");
    assert!(text.contains("node.json: limits.threads: found 65, allowed 1 to 64"), "{text}");
}

#[test]
fn settings_not_json() {
    let output = run_with_settings("{\n\"vm\": vm-1}", &["--check-settings"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("E102") && text.contains("line 2 column 7"), "{text}");
}

#[test]
fn listen_address_taken() {
    let settings = settings();
    let address = settings["listen"]["peers"].as_str().unwrap();
    let _listener = TcpListener::bind(address).unwrap();
    let output = run_with_settings(&settings.to_string(), &[]);
    assert_eq!(output.status.code(), Some(1));
    let text = stderr(&output);
    assert!(text.contains("E103") && text.contains(address), "{text}");
}

#[test]
fn signal_ends_with_success() {
    for signal in [Signal::TERM, Signal::INT] {
        let mut node = NodeProcess::start(&settings());
        node.signal(signal);
        assert_eq!(node.wait().code(), Some(0), "{signal:?}");
        assert!(node.log().contains("kind=drained"), "{}", node.log());
    }
}

#[test]
fn drain_request_ends_with_success() {
    let mut node = NodeProcess::start(&settings());
    let (head, body) = node.request("POST", "/drain");
    assert!(head.starts_with("HTTP/1.1 202"), "{head}");
    assert_eq!(serde_json::from_str::<Value>(&body).unwrap()["draining"], true);
    assert_eq!(node.wait().code(), Some(0));
    assert!(node.log().contains("kind=stopped"), "{}", node.log());
}

/// Returns the log of a node whose VM name contains special characters.
fn log_lines(format: &str) -> Vec<String> {
    let mut settings = settings();
    settings["vm"] = r#"a"b\c=d"#.into();
    settings["log"] = json!({"format": format});
    let mut node = NodeProcess::start(&settings);
    node.signal(Signal::TERM);
    node.wait();
    node.log().lines().map(str::to_owned).collect()
}

#[test]
fn log_json_lines() {
    // Guards against unescaped quotes in a VM name, which would make log lines invalid JSON.
    let lines = log_lines("json");
    assert!(!lines.is_empty());
    for line in lines {
        let object: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(object["vm"], r#"a"b\c=d"#, "{line}");
        for field in ["time", "level", "kind", "at"] {
            assert!(!object[field].is_null(), "{field} in {line}");
        }
    }
}

#[test]
fn log_text_lines() {
    let lines = log_lines("text");
    assert!(!lines.is_empty());
    for line in lines {
        assert!(line.starts_with("time="), "{line}");
        assert!(line.contains(" level=") && line.contains(" kind="), "{line}");
        // Only values with special characters are quoted.
        assert!(line.contains(r#" vm="a\"b\\c=d""#), "{line}");
    }
}
