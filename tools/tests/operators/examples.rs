//! Checks that the example documents of the demo are valid, and that those in `refused` are not.

use crate::tool;
use std::fs;
use std::path::{Path, PathBuf};
use sycamore_node::settings::Settings;

const DEPLOYMENTS: [&str; 2] = ["franchise-office", "cooperative"];

/// Returns the JSON files in a directory of a deployment.
fn json_files(deployment: &str, dir: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let entries = fs::read_dir(root.join(deployment).join(dir)).unwrap();
    let files: Vec<_> = entries.map(|entry| entry.unwrap().path()).collect();
    assert!(!files.is_empty(), "{deployment}/{dir}");
    files
}

fn check(file: &Path) -> tool::ToolOutput {
    tool::run(env!("CARGO_BIN_EXE_sycamore-check"), &[file.to_str().unwrap()])
}

#[test]
fn settings_valid() {
    for deployment in DEPLOYMENTS {
        let files = json_files(deployment, "nodes");
        assert_eq!(files.len(), 18, "{deployment}");
        for file in files {
            Settings::read(&file).unwrap();
        }
    }
}

#[test]
fn presets_accepted() {
    for deployment in DEPLOYMENTS {
        for file in json_files(deployment, "published/preset") {
            let run = check(&file);
            assert_eq!(run.exit_code, Some(0), "{}", run.stdout);
        }
    }
}

#[test]
fn invalid_presets_refused() {
    for deployment in DEPLOYMENTS {
        for file in json_files(deployment, "refused") {
            assert_eq!(check(&file).exit_code, Some(1), "{}", file.display());
        }
    }
}
