//! Runs over several seeds, and comparisons between policies.

use super::scenario::Scenario;
use super::tally::Tally;
use super::world::simulate;
use serde::Serialize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use sycamore_core::call::Policy;
use sycamore_core::call::policy::Mechanism;
use sycamore_core::{Code, Fault, Result};

/// Runs of one scenario under one policy over several seeds.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The scenario.
    pub scenario: Scenario,
    /// Policy under test.
    pub policy: Policy,
    /// First seed and number of seeds.
    pub seeds: (u64, u64),
    /// Number of parallel runs.
    pub jobs: usize,
}

/// Metric by which runs are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Earned worth, in percent of the maximum.
    Worth,
    /// Percentage of requests answered in time.
    InTime,
    /// Percentage of requests answered.
    Served,
    /// Megabytes sent between zones.
    CrossedMb,
    /// Repeated attempts at targets, in percent of first attempts.
    Repeats,
    /// Earned worth of the kind that is served worst, in percent of the maximum.
    WorstKind,
    /// Megabytes sent between regions.
    AcrossMb,
    /// Percentage of the waits during which a slot in the region stood free.
    FreeWaits,
    /// Requests refused again after they came back.
    RefusedAgain,
}

/// A mean with the half width of its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half width of the interval.
    pub half: f64,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Metric; 9] = [
        Metric::Worth,
        Metric::InTime,
        Metric::Served,
        Metric::CrossedMb,
        Metric::Repeats,
        Metric::WorstKind,
        Metric::AcrossMb,
        Metric::FreeWaits,
        Metric::RefusedAgain,
    ];

    /// Name and unit.
    pub fn title(self) -> &'static str {
        match self {
            Metric::Worth => "worth, %",
            Metric::InTime => "in time, %",
            Metric::Served => "answered, %",
            Metric::CrossedMb => "between zones, MB",
            Metric::Repeats => "repeats, %",
            Metric::WorstKind => "worst kind, %",
            Metric::AcrossMb => "between regions, MB",
            Metric::FreeWaits => "waits beside a free slot, %",
            Metric::RefusedAgain => "refused again",
        }
    }

    /// Value in a run.
    pub fn value_of(self, tally: &Tally) -> f64 {
        let total = tally.total();
        match self {
            Metric::Worth => 100.0 * total.worth(),
            Metric::InTime => 100.0 * total.in_time_share(),
            Metric::Served => 100.0 * total.served_share(),
            Metric::CrossedMb => tally.crossed_mb(),
            Metric::Repeats => tally.repeats_percent(),
            Metric::WorstKind => 100.0 * tally.worst_worth(),
            Metric::AcrossMb => tally.crossed.1 as f64 / 1e6,
            Metric::FreeWaits => tally.free_waits_percent(),
            Metric::RefusedAgain => tally.refused_again as f64,
        }
    }
}

impl Trial {
    /// Creates a trial with the default policy and seeds 1 to 3.
    pub fn new(scenario: Scenario) -> Trial {
        Trial { scenario, policy: Policy::new(), seeds: (1, 3), jobs: 1 }
    }

    /// Replaces the policy.
    pub fn with_policy(mut self, policy: Policy) -> Trial {
        self.policy = policy;
        self
    }

    /// Replaces the seeds with `count` seeds starting at `first`.
    pub fn with_seeds(mut self, first: u64, count: u64) -> Trial {
        self.seeds = (first, count);
        self
    }

    /// Sets the number of parallel runs, at least 1.
    pub fn with_jobs(mut self, jobs: usize) -> Trial {
        self.jobs = jobs.max(1);
        self
    }

    /// Runs every seed and calls `done` after each run. Results are ordered by seed.
    pub fn run(&self, mut done: impl FnMut(u64)) -> Result<Vec<Tally>> {
        let (first, count) = self.seeds;
        let next = AtomicUsize::new(0);
        let (tx, rx) = mpsc::channel();
        let mut results: Vec<Option<Result<Tally>>> = (0..count).map(|_| None).collect();
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.min(count as usize) {
                let (tx, next) = (tx.clone(), &next);
                scope.spawn(move || {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed) as u64;
                        if index >= count {
                            return;
                        }
                        let result = simulate(&self.scenario, &self.policy, first + index);
                        // Cannot fail: the receiver outlives the workers.
                        let _ = tx.send((index, result));
                    }
                });
            }
            drop(tx);
            for (index, result) in rx {
                done(first + index);
                results[index as usize] = Some(result);
            }
        });
        let missing =
            || Fault::new(Code::InputInvalid).with_detail("a simulation run produced no result");
        results.into_iter().map(|result| result.unwrap_or_else(|| Err(missing()))).collect()
    }
}

impl Estimate {
    /// Estimates the mean of `values`.
    pub fn mean_of(values: &[f64]) -> Estimate {
        let n = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / n;
        if values.len() < 2 {
            return Estimate { mean, half: f64::INFINITY };
        }
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0);
        Estimate { mean, half: t_quantile(values.len() - 1) * (variance / n).sqrt() }
    }

    /// Estimates the mean difference between runs paired by seed.
    pub fn paired(metric: Metric, before: &[Tally], after: &[Tally]) -> Estimate {
        let pairs = before.iter().zip(after);
        let differences: Vec<f64> =
            pairs.map(|(a, b)| metric.value_of(b) - metric.value_of(a)).collect();
        Estimate::mean_of(&differences)
    }

    /// Whether the confidence interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// 97.5 % quantile of Student's t-distribution.
fn t_quantile(degrees_of_freedom: usize) -> f64 {
    const QUANTILES: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
    match degrees_of_freedom {
        0 => f64::INFINITY,
        1..=10 => QUANTILES[degrees_of_freedom - 1],
        11..=20 => 2.15,
        21..=40 => 2.05,
        _ => 1.97,
    }
}

/// Effect of disabling one mechanism.
#[derive(Clone, Debug, Serialize)]
pub struct AblationRow {
    /// Disabled mechanism.
    pub part: Mechanism,
    /// Change in each metric, compared with the full policy.
    pub differences: Vec<Estimate>,
}

/// Runs a trial with the full policy, then with each of the mechanisms disabled in turn.
pub fn ablate(
    trial: &Trial,
    parts: &[Mechanism],
    mut done: impl FnMut(Mechanism),
) -> Result<Vec<AblationRow>> {
    let baseline = trial.run(|_| {})?;
    let mut rows = Vec::new();
    for &part in parts {
        let policy = trial.policy.clone().without(part);
        let without = trial.clone().with_policy(policy).run(|_| {})?;
        let difference = |metric| Estimate::paired(metric, &baseline, &without);
        rows.push(AblationRow { part, differences: Metric::ALL.map(difference).to_vec() });
        done(part);
    }
    Ok(rows)
}
