//! Tests of `sycamore-check` with files.

use crate::tool::{self, ToolOutput};
use std::fs;
use sycamore_core::hash::Hash;
use tempfile::TempDir;

const PRESET: &str = r#"{"name":"ordinary",
"services":{"roster":{"limits":{"slots":12},"targets":[
{"vm":"a","region":"hills","zone":"h1","gate":"127.0.0.1:1","peers":"127.0.0.1:9"},
{"vm":"b","region":"hills","zone":"h2","gate":"127.0.0.2:1","peers":"127.0.0.1:9"}]}},
"routes":{"rosters":{"path_prefix":"/rosters","service":"roster","idempotent":true}}}"#;

/// A temporary directory with input files of the tool.
struct TestDir(TempDir);

impl TestDir {
    fn new(preset: &str) -> TestDir {
        TestDir(tempfile::tempdir().unwrap()).with_file("new.json", preset)
    }

    fn with_file(self, name: &str, content: &str) -> TestDir {
        fs::write(self.path(name), content).unwrap();
        self
    }

    fn with_publication(self, name: &str, version: u64, preset: &str) -> TestDir {
        let digest = Hash::of(preset.as_bytes());
        let json = format!(r#"{{"version":{version},"preset":"ordinary","digest":"{digest}"}}"#);
        self.with_file(name, &json)
    }

    fn path(&self, name: &str) -> String {
        self.0.path().join(name).display().to_string()
    }

    /// Runs the tool. File names in arguments are replaced by paths in the directory.
    fn check(&self, args: &[&str]) -> ToolOutput {
        let args: Vec<_> = args.iter().map(|arg| self.resolve_argument(arg)).collect();
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        tool::run(env!("CARGO_BIN_EXE_sycamore-check"), &args)
    }

    fn resolve_argument(&self, arg: &str) -> String {
        match arg.split_once('=') {
            Some((key, file)) => format!("{key}={}", self.path(file)),
            None if arg.ends_with(".json") => self.path(arg),
            None => arg.to_owned(),
        }
    }
}

#[test]
fn preset_accepted() {
    let run = TestDir::new(PRESET).check(&["new.json", "--publish-version", "7"]);
    assert_eq!(run.exit_code, Some(0), "{}", run.stderr);
    let digest = Hash::of(PRESET.as_bytes());
    let value = format!(r#"{{"version":7,"preset":"ordinary","digest":"{digest}"}}"#);
    assert!(run.stdout.starts_with("accepted\n"), "{}", run.stdout);
    assert!(run.stdout.contains(&value), "{}", run.stdout);
}

#[test]
fn preset_refused_with_every_failure() {
    let preset = PRESET
        .replace(r#""slots":12"#, r#""slots":0"#)
        .replace(r#""vm":"b""#, r#""vm":"a""#)
        .replace(r#""service":"roster""#, r#""service":"maps""#);
    let dir = TestDir::new(&preset);
    let run = dir.check(&["new.json", "--format", "json"]);
    assert_eq!(run.exit_code, Some(1));
    let found: Vec<_> = run.json()["findings"]
        .as_array()
        .unwrap()
        .iter()
        .map(|finding| (finding["code"].clone(), finding["path"].clone()))
        .collect();
    let expected = [
        (206.into(), "services.roster.limits.slots".into()),
        (208.into(), "services.roster.targets[1].vm".into()),
        (204.into(), "routes.rosters.service".into()),
    ];
    assert_eq!(found, expected);
    let text = dir.check(&["new.json"]).stdout;
    let file = dir.path("new.json");
    let line = format!(
        "E206: a limit is out of its range at {file}: services.roster.limits.slots: found 0, \
         allowed 1 to 10000"
    );
    assert!(text.contains(&line), "{text}");
}

#[test]
fn preset_not_json() {
    let run = TestDir::new("{\"name\": ordinary}").check(&["new.json"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E201"), "{}", run.stdout);
    assert!(run.stdout.contains("line 1 column 10"), "{}", run.stdout);
}

#[test]
fn preset_too_large() {
    let padded = format!("{PRESET}{}", " ".repeat(1_000_000));
    let run = TestDir::new(&padded).check(&["new.json"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E202"), "{}", run.stdout);
}

#[test]
fn preset_unreadable() {
    let run = TestDir::new(PRESET).check(&["missing.json"]);
    assert_eq!(run.exit_code, Some(2));
    assert!(run.stderr.contains("E505"), "{}", run.stderr);
}

#[test]
fn usage_refused() {
    let dir = TestDir::new(PRESET);
    for args in [
        &["new.json", "--colour"][..],
        &[],
        &["new.json", "new.json"],
        &["new.json", "--format", "xml"],
        &["new.json", "--publish-version", "-1"],
        &["new.json", "--previous-in-force", "new.json"],
        &["new.json", "--part", "new.json"],
    ] {
        let run = dir.check(args);
        assert_eq!(run.exit_code, Some(2), "{args:?}");
        assert!(run.stderr.contains("E104"), "{args:?}: {}", run.stderr);
    }
}

#[test]
fn help_and_version() {
    let dir = TestDir::new(PRESET);
    let help = dir.check(&["--help"]);
    assert_eq!(help.exit_code, Some(0));
    assert!(help.stdout.contains("--previous-in-force"), "{}", help.stdout);
    let version = dir.check(&["--version"]);
    assert_eq!(version.exit_code, Some(0));
    assert!(version.stdout.starts_with("sycamore-check "), "{}", version.stdout);
}

#[test]
fn publication_other_body() {
    // A preset edited after its in-force value was prepared must be refused before it is published.
    let edited = PRESET.replace("/rosters", "/crews");
    let dir = TestDir::new(&edited).with_publication("in-force.json", 2, PRESET);
    let run = dir.check(&["new.json", "--in-force", "in-force.json"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E203"), "{}", run.stdout);
}

/// Checks `preset` as version `version`, with [`PRESET`] as the previous version 5.
fn check_after_version_5(preset: &str, version: u64) -> ToolOutput {
    TestDir::new(preset)
        .with_file("old.json", PRESET)
        .with_publication("new-in-force.json", version, preset)
        .with_publication("old-in-force.json", 5, PRESET)
        .check(&[
            "new.json",
            "--in-force",
            "new-in-force.json",
            "--previous",
            "old.json",
            "--previous-in-force",
            "old-in-force.json",
        ])
}

#[test]
fn version_newer_accepted() {
    assert_eq!(check_after_version_5(PRESET, 6).exit_code, Some(0));
}

#[test]
fn version_older_refused() {
    let run = check_after_version_5(PRESET, 4);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E210"), "{}", run.stdout);
    assert!(run.stdout.contains("found 4, allowed from 6"), "{}", run.stdout);
}

#[test]
fn version_claimed_by_other_body_refused() {
    let run = check_after_version_5(&PRESET.replace("/rosters", "/crews"), 5);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E209"), "{}", run.stdout);
}

#[test]
fn version_in_force_already() {
    let run = check_after_version_5(PRESET, 5);
    assert_eq!(run.exit_code, Some(0));
    assert!(run.stdout.contains("in force already"), "{}", run.stdout);
}

#[test]
fn version_zero_refused() {
    let dir = TestDir::new(PRESET).with_publication("in-force.json", 0, PRESET);
    let run = dir.check(&["new.json", "--in-force", "in-force.json"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E206"), "{}", run.stdout);
}

#[test]
fn version_next_printed() {
    let dir = TestDir::new(&PRESET.replace("/rosters", "/crews"))
        .with_file("old.json", PRESET)
        .with_publication("old-in-force.json", 5, PRESET);
    let args = ["new.json", "--previous", "old.json", "--previous-in-force", "old-in-force.json"];
    let run = dir.check(&args);
    assert!(run.stdout.contains(r#"{"version":6,"preset":"ordinary""#), "{}", run.stdout);
}

#[test]
fn difference_of_services_and_routes() {
    let new = PRESET
        .replace(r#""slots":12"#, r#""slots":18"#)
        .replace("127.0.0.1:1", "127.0.0.9:1")
        .replace(r#""vm":"b""#, r#""vm":"c""#)
        .replace(
            r#""routes":{"#,
            r#""routes":{"maps":{"path_prefix":"/maps","service":"roster","idempotent":true},"#,
        );
    let dir = TestDir::new(&new).with_file("old.json", PRESET);
    let run = dir.check(&["new.json", "--previous", "old.json", "--format", "json"]);
    assert_eq!(run.exit_code, Some(0));
    let difference = &run.json()["difference"];
    let service = &difference["services"][0];
    assert_eq!(service["limits"][0]["before"], 12);
    assert_eq!(service["limits"][0]["after"], 18);
    assert_eq!(service["targets_added"][0]["vm"], "c");
    assert_eq!(service["targets_removed"][0]["vm"], "b");
    assert_eq!(service["targets_moved"][0]["fields"][0]["field"], "gate");
    let routes = difference["routes"].as_array().unwrap();
    assert_eq!(routes.len(), 1, "{routes:?}");
    assert_eq!((&routes[0]["name"], &routes[0]["change"]), (&"maps".into(), &"added".into()));
    // Replacing one of two targets moves about half of the keys off the removed target, and under
    // rendezvous hashing about half of the others to the new one.
    let moved = service["moved_keys_percent"].as_f64().unwrap();
    assert!(moved > 30.0 && moved < 80.0, "{moved}");
}

#[test]
fn difference_none() {
    let dir = TestDir::new(PRESET).with_file("old.json", PRESET);
    let run = dir.check(&["new.json", "--previous", "old.json"]);
    assert!(run.stdout.contains("changes: none"), "{}", run.stdout);
}

const PART: &str = r#"{"services":{"maps":{"targets":[
{"vm":"m","region":"hills","zone":"h1","gate":"127.0.0.3:1","peers":"127.0.0.1:9"}]}}}"#;

fn preset_with_part() -> String {
    let part = format!(r#""parts":[{{"key":"part/maps","digest":"{}"}}],"#, part_digest());
    PRESET.replace(r#""services":"#, &format!(r#"{part}"services":"#))
}

fn part_digest() -> Hash {
    Hash::of(PART.as_bytes())
}

#[test]
fn part_accepted() {
    let dir = TestDir::new(&preset_with_part()).with_file("maps.json", PART);
    let run = dir.check(&["new.json", "--part", "part/maps=maps.json"]);
    assert_eq!(run.exit_code, Some(0), "{}{}", run.stdout, run.stderr);
    assert!(run.stdout.contains("2 services, 1 routes, 3 targets"), "{}", run.stdout);
}

#[test]
fn part_missing() {
    let run = TestDir::new(&preset_with_part()).check(&["new.json"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E212"), "{}", run.stdout);
    assert!(run.stdout.contains("parts[0].key: part/maps"), "{}", run.stdout);
}

#[test]
fn part_of_other_content() {
    let dir = TestDir::new(&preset_with_part()).with_file("maps.json", "{}");
    let run = dir.check(&["new.json", "--part", "part/maps=maps.json"]);
    assert_eq!(run.exit_code, Some(1));
    assert!(run.stdout.contains("E203"), "{}", run.stdout);
}

#[test]
fn part_not_named() {
    let dir = TestDir::new(PRESET).with_file("maps.json", PART);
    let run = dir.check(&["new.json", "--part", "part/maps=maps.json"]);
    assert_eq!(run.exit_code, Some(2));
}
