//! Command line of `sycamore-lab`: output and error messages.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sycamore-lab")).args(args).output().unwrap()
}

fn example(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/lab");
    folder.join(name).display().to_string()
}

fn text(buf: &[u8]) -> String {
    String::from_utf8(buf.to_vec()).unwrap()
}

/// Temporary file, removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, content: &str) -> TempFile {
        let name = format!("sycamore-lab-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content).unwrap();
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn help_names_every_command() {
    let output = lab(&["--help"]);
    assert!(output.status.success());
    for command in ["run", "compare", "ablate", "bound", "--seeds", "--without", "--set", "--svg"] {
        assert!(text(&output.stdout).contains(command), "{command}");
    }
}

#[test]
fn bound_prints_a_table() {
    let output = lab(&["bound", &example("uneven.json")]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("| desk |"), "{}", text(&output.stdout));
}

#[test]
fn run_prints_json_and_draws() {
    let plot = TempFile::new("run.svg", "");
    let svg = plot.0.display().to_string();
    let args = ["run", &example("ordinary.json"), "--seeds", "1..2", "--json", "--svg", &svg];
    let output = lab(&args);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["runs"].as_array().map(Vec::len), Some(1));
    assert!(std::fs::read_to_string(&plot.0).unwrap().contains("</svg>"));
}

#[test]
fn scenario_invalid_reports_field_and_range() {
    let scenario = std::fs::read_to_string(example("uneven.json")).unwrap();
    let invalid =
        TempFile::new("wrong.json", &scenario.replace(r#""share": 0.7"#, r#""share": 7"#));
    let output = lab(&["run", &invalid.0.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = text(&output.stderr);
    assert!(stderr.contains("kinds.lookup.calls[0].share"), "{stderr}");
    assert!(stderr.contains("allowed: 0 to 1"), "{stderr}");
}

#[test]
fn usage_unknown_mechanism_lists_known() {
    let output = lab(&["run", &example("uneven.json"), "--without", "everything"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("in-time-first"), "{}", text(&output.stderr));
}

#[test]
fn run_deployments_for_some_seconds() {
    for name in ["collection", "fonts"] {
        let scenario = example(&format!("{name}.json"));
        let output = lab(&["run", &scenario, "--seeds", "1..2", "--seconds", "5", "--json"]);
        assert!(output.status.success(), "{}", text(&output.stderr));
        let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(report["scenario"], name);
        // Before the first fault, nearly everything is answered.
        let kinds = report["runs"][0]["kinds"].as_object().unwrap();
        assert_eq!(kinds.len(), 3, "{kinds:?}");
        for (kind, counts) in kinds {
            let of = |field: &str| counts[field].as_u64().unwrap();
            assert!(of("asked") > 100, "{kind}: {counts}");
            assert!((of("in_time") + of("late")) * 10 > of("asked") * 8, "{kind}: {counts}");
        }
    }
}

#[test]
fn run_seconds_shorter_than_warm_up_is_rejected() {
    let output = lab(&["run", &example("fonts.json"), "--seconds", "2"]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = text(&output.stderr);
    assert!(stderr.contains("warm_up_s") && stderr.contains("found 3"), "{stderr}");
}
