//! Sum of amounts that were recorded within about the last second.

use crate::Time;

const BUCKETS: u64 = 10;

/// Width of a bucket in microseconds.
const BUCKET_US: u64 = 100_000;

/// Amounts by the tenth of a second in which they were recorded.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentSum {
    buckets: [u64; BUCKETS as usize],
    // Number of the newest bucket, counted from the epoch.
    newest: u64,
}

impl RecentSum {
    pub fn new() -> RecentSum {
        RecentSum::default()
    }

    pub fn add(&mut self, now: Time, amount: u64) {
        let number = now.0 / BUCKET_US;
        let passed = number.saturating_sub(self.newest).min(BUCKETS);
        for skipped in 0..passed {
            self.buckets[((number - skipped) % BUCKETS) as usize] = 0;
        }
        self.newest = self.newest.max(number);
        let bucket = &mut self.buckets[(self.newest % BUCKETS) as usize];
        *bucket = bucket.saturating_add(amount);
    }

    /// Mean amount per second. The newest bucket is not complete, so that the interval is shorter
    /// than a second by up to a tenth.
    pub fn per_second(&self, now: Time) -> u64 {
        let number = now.0 / BUCKET_US;
        let oldest = (number + 1).saturating_sub(BUCKETS);
        let first = (self.newest + 1).saturating_sub(BUCKETS).max(oldest);
        let kept = first..=self.newest;
        let sum: u64 = kept.map(|number| self.buckets[(number % BUCKETS) as usize]).sum();
        let interval = (BUCKETS - 1) * BUCKET_US + now.0 % BUCKET_US;
        (u128::from(sum) * u128::from(BUCKETS * BUCKET_US) / u128::from(interval)) as u64
    }
}
