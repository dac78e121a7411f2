//! Time series of goodput, and detection of recovery.

use sycamore_bench::calls::timeseries::Timeseries;
use sycamore_tools::load::history::{Outcome, Record};

/// A call that is due `due_ms` after the start of the run.
fn record(due_ms: u64, in_time: bool) -> Record {
    let invoked_us = 1_000_000 + due_ms * 1_000;
    Record {
        id: String::new(),
        key: None,
        class: String::new(),
        invoked_us,
        deadline_us: invoked_us + 1_000,
        sends: Vec::new(),
        outcome: if in_time { Outcome::Answered } else { Outcome::NotRun },
        code: None,
        status: Some(200),
        bytes: 0,
        body_correct: true,
        final_us: invoked_us + 500,
    }
}

/// Calls every 10 ms for 4 s; those due between 1 s and 2 s are not answered in time.
fn outage() -> Timeseries {
    let due = (0..400).map(|index| index * 10);
    let records: Vec<Record> = due.map(|ms| record(ms, !(1_000..2_000).contains(&ms))).collect();
    Timeseries::new(&records)
}

#[test]
fn share_before_and_during() {
    let series = outage();
    assert_eq!(series.share(1_000_000, 2_000_000), 1.0);
    assert_eq!(series.share(2_000_000, 3_000_000), 0.0);
    assert_eq!(series.share(1_000_000, 3_000_000), 0.5);
}

#[test]
fn recovery_during_and_after() {
    let series = outage();
    assert_eq!(series.recovery_ms(1.0, 2_000_000, 5_000_000), Some(1_000));
    assert_eq!(series.recovery_ms(1.0, 3_000_000, 5_000_000), Some(0));
    assert_eq!(series.recovery_ms(1.0, 2_000_000, 2_900_000), None);
}
