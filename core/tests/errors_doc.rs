//! docs/ERRORS.md against the codes that the programs use.

use std::path::Path;
use sycamore_core::Code;

/// Rows of the page's tables: number, meaning, what to do.
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
fn page_says_what_to_do() {
    for [number, _, action] in rows() {
        assert!(action.len() > 5, "{number}: {action:?}");
    }
}

#[test]
fn numbers_read_back() {
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
    }
    assert_eq!(Code::from_number(999), None);
}
