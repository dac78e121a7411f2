//! What callers measured: counts and latencies by class, as a table and as JSON.

use super::history::{Outcome, Record};
use super::mix::Mix;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// Significant digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    classes: Vec<ClassSummary>,
}

/// Counts and latencies of one class.
#[derive(Clone, Debug)]
pub struct ClassSummary {
    name: String,
    counts: Counts,
    /// Latency of answered requests from when they were due, in microseconds.
    latency: Histogram<u64>,
}

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests made.
    pub sent: u64,
    /// Answered by a target.
    pub answered: u64,
    /// Of those, with a status that says that the target failed.
    pub errors: u64,
    /// Answered whole, correct, without error and before the deadline.
    pub in_time: u64,
    /// Not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Without any outcome.
    pub lost: u64,
    /// Answered with what isn't the whole answer to the request.
    pub incorrect: u64,
    /// Sends after the first.
    pub resends: u64,
}

/// One row of the table, or one object of the JSON form.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the class, or `all`.
    pub class: String,
    /// Outcomes.
    #[serde(flatten)]
    pub counts: Counts,
    /// Median latency of answered requests.
    pub p50_ms: f64,
    /// 99 in 100 answered requests took at most this.
    pub p99_ms: f64,
    /// 999 in 1,000 answered requests took at most this.
    pub p999_ms: f64,
    /// Longest latency of answered requests.
    pub max_ms: f64,
}

impl Summary {
    /// A summary of no request.
    pub fn new(mix: &Mix) -> Summary {
        let classes = mix.classes.iter().map(|class| ClassSummary::new(&class.name)).collect();
        Summary { classes }
    }

    /// Adds a request of the class with this index.
    pub fn record_request(&mut self, class: usize, record: &Record) {
        self.classes[class].record_request(record);
    }

    /// Adds what another thread measured of the same mix.
    pub fn merge(&mut self, other: &Summary) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            class.merge(other);
        }
    }

    /// A row for each class, and one for all of them.
    pub fn rows(&self) -> Vec<Row> {
        let mut all = ClassSummary::new("all");
        for class in &self.classes {
            all.merge(class);
        }
        self.classes.iter().chain([&all]).map(ClassSummary::row).collect()
    }

    /// The row over all classes.
    pub fn total(&self) -> Row {
        self.rows().pop().unwrap_or_else(|| ClassSummary::new("all").row())
    }
}

impl ClassSummary {
    fn new(name: &str) -> ClassSummary {
        let latency = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
        ClassSummary { name: name.to_string(), counts: Counts::default(), latency }
    }

    fn record_request(&mut self, record: &Record) {
        let counts = &mut self.counts;
        counts.sent += 1;
        counts.resends += record.sends.len().saturating_sub(1) as u64;
        match record.outcome {
            Outcome::Answered => {
                counts.answered += 1;
                let error = record.status.is_none_or(|status| status >= 400);
                let in_time = record.final_us <= record.deadline_us;
                let in_time = in_time && record.body_correct && !error;
                counts.errors += u64::from(error);
                counts.in_time += u64::from(in_time);
                counts.incorrect += u64::from(!record.body_correct);
                // A histogram that grows by itself takes any value.
                let _ = self.latency.record(record.final_us.saturating_sub(record.invoked_us));
            }
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
            Outcome::None => counts.lost += 1,
        }
    }

    fn merge(&mut self, other: &ClassSummary) {
        let (counts, others) = (&mut self.counts, &other.counts);
        counts.sent += others.sent;
        counts.answered += others.answered;
        counts.errors += others.errors;
        counts.in_time += others.in_time;
        counts.not_run += others.not_run;
        counts.unknown += others.unknown;
        counts.lost += others.lost;
        counts.incorrect += others.incorrect;
        counts.resends += others.resends;
        // A histogram that grows by itself takes any other.
        let _ = self.latency.add(&other.latency);
    }

    fn row(&self) -> Row {
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Row {
            class: self.name.clone(),
            counts: self.counts,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            max_ms: ms(1.0),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<22}{:>8}{:>9}{:>7}", "class", "sent", "answered", "errors")?;
        write!(
            f,
            "{:>8}{:>8}{:>6}{:>10}{:>8}",
            "not run", "unknown", "lost", "incorrect", "resends"
        )?;
        writeln!(f, "{:>9}{:>9}{:>10}{:>9}", "p50 ms", "p99 ms", "p99.9 ms", "max ms")?;
        for row in self.rows() {
            let counts = row.counts;
            write!(f, "{:<22}{:>8}", row.class, counts.sent)?;
            write!(f, "{:>9}{:>7}", counts.answered, counts.errors)?;
            write!(f, "{:>8}{:>8}{:>8}", counts.in_time, counts.not_run, counts.unknown)?;
            write!(f, "{:>6}{:>10}{:>8}", counts.lost, counts.incorrect, counts.resends)?;
            write!(f, "{:>9.2}{:>9.2}", row.p50_ms, row.p99_ms)?;
            writeln!(f, "{:>10.2}{:>9.2}", row.p999_ms, row.max_ms)?;
        }
        Ok(())
    }
}
