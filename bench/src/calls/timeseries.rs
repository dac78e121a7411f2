//! Share of calls answered in time over the course of a run.

use sycamore_tools::load::history::{Outcome, Record};

/// Length of a time bucket, in microseconds.
const BUCKET_US: u64 = 100_000;
/// Buckets per sliding window; a single bucket holds too few calls.
const WINDOW_BUCKETS: usize = 5;
/// Recovery threshold, relative to the share before the fault.
const RECOVERY_THRESHOLD: f64 = 0.95;

/// Calls due and calls answered in time, by time bucket.
#[derive(Clone, Debug)]
pub struct Timeseries {
    start_us: u64,
    buckets: Vec<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    due: u64,
    in_time: u64,
}

impl Timeseries {
    /// Groups calls by their start time.
    pub fn new(records: &[Record]) -> Timeseries {
        let start_us = records.iter().map(|record| record.invoked_us).min().unwrap_or_default();
        let mut buckets: Vec<Bucket> = Vec::new();
        for record in records {
            let index = ((record.invoked_us - start_us) / BUCKET_US) as usize;
            if index >= buckets.len() {
                buckets.resize(index + 1, Bucket::default());
            }
            buckets[index].due += 1;
            buckets[index].in_time += u64::from(in_time(record));
        }
        Timeseries { start_us, buckets }
    }

    /// Share of the calls due between two times that were answered in time.
    pub fn share(&self, from_us: u64, to_us: u64) -> f64 {
        // Only buckets that lie entirely within the interval.
        let first = from_us.saturating_sub(self.start_us).div_ceil(BUCKET_US) as usize;
        let end = (to_us.saturating_sub(self.start_us) / BUCKET_US) as usize;
        let end = end.min(self.buckets.len());
        share(&self.buckets[first.min(end)..end])
    }

    /// Time in milliseconds from `from_us` until the share answered in time reaches the recovery
    /// threshold over a full window; `None` if it does not before `end_us`.
    pub fn recovery_ms(&self, before: f64, from_us: u64, end_us: u64) -> Option<u64> {
        let first = from_us.saturating_sub(self.start_us).div_ceil(BUCKET_US) as usize;
        let last = (end_us.saturating_sub(self.start_us) / BUCKET_US) as usize;
        let last = last.min(self.buckets.len());
        let found = (first..last).find(|index| {
            let window = &self.buckets[*index..(*index + WINDOW_BUCKETS).min(last)];
            share(window) >= RECOVERY_THRESHOLD * before
        })?;
        let at_us = self.start_us + found as u64 * BUCKET_US;
        Some(at_us.saturating_sub(from_us) / 1_000)
    }
}

/// Whether the caller received a complete, successful response before its deadline.
pub fn in_time(record: &Record) -> bool {
    let success = record.status.is_some_and(|status| status < 400);
    let answered = record.outcome == Outcome::Answered && record.body_correct && success;
    answered && record.final_us <= record.deadline_us
}

fn share(buckets: &[Bucket]) -> f64 {
    let due: u64 = buckets.iter().map(|bucket| bucket.due).sum();
    let in_time: u64 = buckets.iter().map(|bucket| bucket.in_time).sum();
    if due == 0 { 0.0 } else { in_time as f64 / due as f64 }
}
