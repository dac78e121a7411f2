//! The rules that need a trial's plan find planted faults.

use sycamore_bench::demo::rules::{Evidence, Stop};
use sycamore_bench::process_history::findings::Findings;
use sycamore_standins::target::run_log::{Line, RunEvent};

const SECOND_US: u64 = 1_000_000;

fn start(run: u64, vm: &str, id: &str, at_us: u64) -> Line {
    Line { run, at_us, vm: vm.into(), id: id.into(), key: None, event: RunEvent::Start }
}

/// A request of death that crashed two targets, and a planned stop of six seconds.
fn clean() -> Evidence {
    let entry = "127.0.0.1:7000".parse().unwrap();
    let stop = Stop { vm: "a".into(), entry, at_us: 0, until_us: 6 * SECOND_US };
    Evidence {
        runs: vec![start(1, "b", "death-1", 0), start(2, "c", "death-1", 1), start(3, "a", "x", 9)],
        drains: vec![stop],
        ..Evidence::default()
    }
}

fn find(line: Line) -> Findings {
    let mut evidence = clean();
    evidence.runs.push(line);
    Findings::find(&evidence, 0)
}

#[test]
fn find_nothing() {
    assert!(Findings::find(&clean(), 0).none());
    assert!(find(start(4, "d", "death-2", 5)).none(), "another request");
    assert!(find(start(4, "a", "y", 7 * SECOND_US)).none(), "after the restart");
}

#[test]
fn find_third_crash() {
    let expected = Findings { third_crash: 1, ..Findings::default() };
    assert_eq!(find(start(4, "d", "death-1", 2)), expected);
}

#[test]
fn find_late_work() {
    let expected = Findings { late_work: 1, ..Findings::default() };
    assert_eq!(find(start(4, "a", "y", 4 * SECOND_US)), expected);
}

#[test]
fn find_hanging() {
    assert!(!Findings::find(&clean(), 1).none());
}
