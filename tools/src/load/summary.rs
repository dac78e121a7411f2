//! Outcome counts and latencies by request class, as a table and as JSON.

use super::history::{Outcome, Record};
use super::mix::Mix;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome counts and latencies of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    classes: Vec<ClassSummary>,
}

/// Outcome counts and latencies of one class.
#[derive(Clone, Debug)]
pub struct ClassSummary {
    name: String,
    counts: Counts,
    /// Latency of answered requests since their scheduled time, in microseconds.
    latency: Histogram<u64>,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests started.
    pub sent: u64,
    /// Requests answered by a target.
    pub answered: u64,
    /// Answered requests with an error status.
    pub errors: u64,
    /// Requests answered correctly before the deadline.
    pub in_time: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Answered requests with an incomplete or wrong body.
    pub incorrect: u64,
    /// Retries.
    pub resends: u64,
}

/// One row of the table, or one object of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Class name, or `all` for the total.
    pub class: String,
    /// Outcome counts.
    #[serde(flatten)]
    pub counts: Counts,
    /// Median latency of answered requests.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Maximum latency.
    pub max_ms: f64,
}

impl Summary {
    /// Creates an empty summary.
    pub fn new(mix: &Mix) -> Summary {
        let classes = mix.classes.iter().map(|class| ClassSummary::new(&class.name)).collect();
        Summary { classes }
    }

    /// Records a request of the class with the index `class`.
    pub fn record_request(&mut self, class: usize, record: &Record) {
        self.classes[class].record_request(record);
    }

    /// Adds the results of another thread with the same mix.
    pub fn merge(&mut self, other: &Summary) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            class.merge(other);
        }
    }

    /// Returns a row for each class, followed by the total.
    pub fn rows(&self) -> Vec<Row> {
        let mut all = ClassSummary::new("all");
        for class in &self.classes {
            all.merge(class);
        }
        self.classes.iter().chain([&all]).map(ClassSummary::row).collect()
    }

    /// Returns the total of all classes.
    pub fn total(&self) -> Row {
        self.rows().pop().unwrap_or_else(|| ClassSummary::new("all").row())
    }
}

impl ClassSummary {
    fn new(name: &str) -> ClassSummary {
        let latency =
            Histogram::new(SIGNIFICANT_DIGITS).expect("number of significant digits must be valid");
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
                // An auto-resizing histogram accepts any value.
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
        // An auto-resizing histogram accepts any other histogram.
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
