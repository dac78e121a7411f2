//! Tests of `sycamore-timeline --request`, which traces one request through the logs of nodes.

use crate::tool::{self, ToolOutput};
use std::fs;
use std::path::{Path, PathBuf};

fn log_files() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    let mut paths: Vec<_> = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

fn trace_request(request: &str, logs: &[PathBuf]) -> ToolOutput {
    let mut args = vec!["--request", request];
    args.extend(logs.iter().map(|path| path.to_str().unwrap()));
    tool::run(env!("CARGO_BIN_EXE_sycamore-timeline"), &args)
}

#[test]
fn traces_match_operations_page() {
    // The examples in docs/OPERATIONS.md must match the output of the tool.
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    for request in ["7b38e582ca4db52c", "7565b72d7289ea75", "32a37fb5b99758df"] {
        let run = trace_request(request, &log_files());
        assert_eq!(run.exit_code, Some(0), "{}", run.stderr);
        let indented_output: String =
            run.stdout.lines().map(|line| format!("    {line}\n")).collect();
        assert!(page.contains(&indented_output), "{indented_output}");
    }
}

#[test]
fn lines_of_several_nodes_in_order() {
    // Text before the JSON object and lines of other requests are ignored.
    let dir = tempfile::tempdir().unwrap();
    let line = |time: &str, vm: &str, request: &str, rest: &str| {
        format!(r#"0.5 {vm} {{"time":"{time}","vm":"{vm}","request":"{request}",{rest}}}"#)
    };
    let entry = [
        line(
            "2026-01-01T00:00:00.100Z",
            "a",
            "r1",
            r#""step":"forwarded","attempt":1,"target":"t""#,
        ),
        line("2026-01-01T00:00:00.300Z", "a", "r1", r#""step":"answered","status":200"#),
        line("2026-01-01T00:00:00.310Z", "a", "r12", r#""step":"answered","status":500"#),
    ];
    let gate =
        [line("2026-01-01T00:00:00.200Z", "b", "r1", r#""step":"gate-run","load":"1/2/0/0""#)];
    let paths = [dir.path().join("a.log"), dir.path().join("b.log")];
    fs::write(&paths[0], entry.join("\n")).unwrap();
    fs::write(&paths[1], gate.join("\n")).unwrap();
    let run = trace_request("r1", &paths);
    let steps: Vec<&str> = run.stdout.lines().collect();
    assert_eq!(steps.len(), 5, "{}", run.stdout);
    assert!(steps[2].contains("runs at the target"), "{}", run.stdout);
    assert_eq!(steps[4], "cause: the target's answer, status 200");
}

#[test]
fn request_unknown_and_usage() {
    let run = trace_request("nobody", &log_files());
    assert_eq!(run.stdout, "no line about nobody\n");
    assert_ne!(run.exit_code, Some(0));
    let run = tool::run(env!("CARGO_BIN_EXE_sycamore-timeline"), &["--request", "x"]);
    assert!(run.stderr.contains("log files"), "{}", run.stderr);
}

#[test]
fn request_options_without_effect_are_refused() {
    // Options that do not apply to `--request` must be rejected rather than silently ignored.
    for (option, value) in [("--format", "json"), ("--output", "story"), ("--node", "127.0.0.1:1")]
    {
        let args = ["--request", "r1", "nodes.log", option, value];
        let run = tool::run(env!("CARGO_BIN_EXE_sycamore-timeline"), &args);
        assert_eq!(run.exit_code, Some(2), "{}", run.stderr);
        assert!(run.stderr.contains(option), "{}", run.stderr);
    }
}
