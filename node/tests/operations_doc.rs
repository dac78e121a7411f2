//! Checks that docs/OPERATIONS.md matches the exported metrics and events.

use std::path::Path;
use sycamore_core::event::EventKind;
use sycamore_node::metrics::Metrics;

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    std::fs::read_to_string(path).unwrap()
}

/// First column of the table whose header line starts with `head`.
fn first_cells(head: &str) -> Vec<String> {
    let page = page();
    let table = page.lines().skip_while(|line| !line.starts_with(head)).skip(2);
    let cell = |line: &str| Some(line.strip_prefix("| `")?.split_once('`')?.0.to_owned());
    table.map_while(cell).collect()
}

#[test]
fn page_lists_every_metric() {
    assert_eq!(first_cells("| metric |"), Metrics::new().names());
}

#[test]
fn page_lists_every_event() {
    let kinds: Vec<_> = EventKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(first_cells("| event |"), kinds);
}

#[test]
fn alarms_use_known_metrics_and_events() {
    let names = Metrics::new().names().to_vec();
    let kinds: Vec<_> = EventKind::ALL.iter().map(|kind| kind.name()).collect();
    let page = page();
    let alarms = page.split("### Alarms").nth(1).unwrap().split("### Metrics").next().unwrap();
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let used = alarms.split(|c| !is_name(c)).filter(|word| word.starts_with("sycamore_"));
    for name in used {
        assert!(names.iter().any(|known| known == name), "{name}");
    }
    for kind in alarms.split("kind=\"").skip(1).filter_map(|rest| rest.split('"').next()) {
        assert!(kinds.iter().any(|known| known == kind), "{kind}");
    }
}
