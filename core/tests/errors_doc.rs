//! Checks that docs/ERRORS.md and the codes used by the programs agree.

use std::path::Path;
use sycamore_core::Code;
use sycamore_core::event::EventKind;

/// Rows of the tables in docs/ERRORS.md: number, meaning, operator action.
fn rows() -> Vec<[String; 3]> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let cells = |line: &str| -> Option<[String; 3]> {
        let inner = line.strip_prefix("| ")?.strip_suffix(" |")?;
        let cells: Vec<_> = inner.split(" | ").map(str::to_owned).collect();
        cells.try_into().ok()
    };
    page.lines().filter_map(cells).filter(|cells| cells[0] != "code").collect()
}

#[test]
fn page_lists_every_code() {
    let listed: Vec<_> =
        rows().into_iter().map(|[number, meaning, _]| format!("{number} {meaning}")).collect();
    let known: Vec<_> = Code::ALL.iter().map(|code| format!("{} {code}", code.number())).collect();
    assert_eq!(listed, known);
}

#[test]
fn page_has_action_for_every_code() {
    for [number, _, action] in rows() {
        assert!(action.len() > 5, "{number}: {action:?}");
    }
}

#[test]
fn numbers_round_trip() {
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
    }
    assert_eq!(Code::from_number(999), None);
}

/// Appends all source text below `dir`, except the definitions of codes and events.
fn append_sources(dir: &Path, text: &mut String) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if !path.ends_with("core/src/code.rs") && !path.ends_with("core/src/event.rs") {
            text.push_str(&std::fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn every_code_and_event_is_used() {
    // Guards against codes and events that are documented but never emitted, on which an alert
    // would never fire.
    let mut text = String::new();
    for folder in ["core/src", "node/src", "tools/src"] {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        append_sources(&root.join(folder), &mut text);
    }
    let used =
        |word: &str| text.split(word).skip(1).any(|rest| !rest.starts_with(char::is_alphanumeric));
    for code in Code::ALL {
        assert!(used(&format!("Code::{code:?}")), "no program gives {code:?}");
    }
    // The timeline renderer refers to every kind once, so a recorded kind occurs at least twice.
    for kind in EventKind::ALL {
        let count = text.matches(&format!("EventKind::{kind:?}")).count();
        assert!(count > 1, "no program records {kind:?}");
    }
}
