//! Trial results as tables and JSON.

use super::bound::Bound;
use super::scenario::Scenario;
use super::tally::{Counts, Tally};
use super::trial::{AblationRow, Estimate, Metric};
use serde::Serialize;
use std::fmt::Write;

/// Results of a trial.
#[derive(Debug, Serialize)]
pub struct Report<'a> {
    /// Scenario name.
    pub scenario: &'a str,
    /// Number of nodes.
    pub nodes: usize,
    /// First seed and number of seeds.
    pub seeds: (u64, u64),
    /// One result per seed.
    pub runs: &'a [Tally],
    /// Bounds of the scenario, ignoring its faults.
    pub bound: &'a Bound,
}

/// Formats a table of the outcomes by kind of request, averaged over seeds.
pub fn runs_table(scenario: &Scenario, runs: &[Tally], bound: &Bound) -> String {
    let mut text =
        format!("{} ({} nodes, {} seeds)\n\n", scenario.name, scenario.nodes(), runs.len());
    let _ = writeln!(text, "| requests | asked | in time | late | refused | failed | worth |");
    let _ = writeln!(text, "|---|---:|---:|---:|---:|---:|---:|");
    for name in scenario.kinds.keys() {
        let counts: Vec<Counts> =
            runs.iter().filter_map(|run| run.kinds.get(name).copied()).collect();
        if !counts.is_empty() {
            text.push_str(&row(name.as_str(), &counts));
        }
    }
    let totals: Vec<Counts> = runs.iter().map(Tally::total).collect();
    text.push_str(&row("all", &totals));
    let nested =
        mean(runs, |run| 100.0 * run.nested.1 as f64 / (run.nested.0 + run.nested.1).max(1) as f64);
    let _ = writeln!(text);
    let _ = writeln!(text, "nested calls without a response: {nested:.2} %");
    let _ =
        writeln!(text, "repeated attempts at targets: {:.2} %", mean(runs, Tally::repeats_percent));
    let _ = writeln!(text, "rejections: {:.0}", mean(runs, |run| run.refusals as f64));
    let _ = writeln!(
        text,
        "refused again after a retry by the caller: {:.0}",
        mean(runs, |run| run.refused_again as f64)
    );
    let _ = writeln!(
        text,
        "waits: {:.0}, beside a free slot in the region {:.2} %",
        mean(runs, |run| run.all_waits().0 as f64),
        mean(runs, Tally::free_waits_percent)
    );
    for name in scenario.kinds.keys() {
        let waits = |run: &Tally| run.waits.get(name).copied().unwrap_or_default();
        let (all, beside) =
            (mean(runs, |run| waits(run).0 as f64), mean(runs, |run| waits(run).1 as f64));
        let _ = writeln!(text, "  {name}: {all:.0}, {:.2} %", 100.0 * beside / all.max(1.0));
    }
    let (within_region, between_regions) = (
        mean(runs, |run| run.crossed.0 as f64 / 1e6),
        mean(runs, |run| run.crossed.1 as f64 / 1e6),
    );
    let _ = writeln!(
        text,
        "MB between zones {:.2}, lower bound {:.2}; of these between regions {between_regions:.2}, lower bound {:.2}",
        within_region + between_regions,
        bound.crossed_mb,
        bound.across_mb
    );
    text
}

fn mean(runs: &[Tally], value: impl Fn(&Tally) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / runs.len().max(1) as f64
}

fn row(name: &str, counts: &[Counts]) -> String {
    let n = counts.len() as f64;
    let asked = counts.iter().map(|counts| counts.asked as f64).sum::<f64>() / n;
    let share = |value: fn(&Counts) -> u64| {
        let sum: f64 = counts.iter().map(|of| value(of) as f64 / of.asked.max(1) as f64).sum();
        100.0 * sum / n
    };
    let worth = counts.iter().map(Counts::worth).sum::<f64>() / n;
    format!(
        "| {name} | {asked:.0} | {:.1} % | {:.1} % | {:.1} % | {:.1} % | {worth:.3} |\n",
        share(|of| of.in_time),
        share(|of| of.late),
        share(|of| of.refused),
        share(|of| of.failed),
    )
}

/// Formats a matrix of the kilobytes sent from zone (row) to zone (column) in a run.
pub fn traffic_table(scenario: &Scenario, runs: &[Tally]) -> String {
    let zones: Vec<&str> = scenario.zones.keys().map(|zone| zone.as_str()).collect();
    let mut text = format!("| kB from, to | {} |\n", zones.join(" | "));
    let _ = writeln!(text, "|---|{}", "---:|".repeat(zones.len()));
    for (from, name) in zones.iter().enumerate() {
        let cell = |to: usize| format!("{:.0}", mean(runs, |run| run.bytes[from][to] as f64 / 1e3));
        let cells: Vec<String> = (0..zones.len()).map(cell).collect();
        let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
    }
    text
}

/// Formats a table comparing runs paired by seed.
pub fn comparison_table(before: &[Tally], after: &[Tally]) -> String {
    let mut text = String::from("| metric | before | after | difference | significant |\n");
    text.push_str("|---|---:|---:|---:|---|\n");
    for metric in Metric::ALL {
        let of = |runs: &[Tally]| mean(runs, |run| metric.value_of(run));
        let difference = Estimate::paired(metric, before, after);
        let significant = if difference.is_significant() { "yes" } else { "no" };
        let _ = writeln!(
            text,
            "| {} | {:.2} | {:.2} | {} | {significant} |",
            metric.title(),
            of(before),
            of(after),
            format_estimate(&difference),
        );
    }
    text
}

/// Formats a table of the change in each metric when a mechanism is disabled.
pub fn ablation_table(scenario: &Scenario, rows: &[AblationRow]) -> String {
    let titles: Vec<&str> = Metric::ALL.iter().map(|metric| metric.title()).collect();
    let mut text = format!("{}\n\n| without | {} |\n", scenario.name, titles.join(" | "));
    let _ = writeln!(text, "|---|{}", "---:|".repeat(titles.len()));
    for row in rows {
        let cells: Vec<String> = row.differences.iter().map(format_estimate).collect();
        let part = serde_json::to_string(&row.part).unwrap_or_default();
        let _ = writeln!(text, "| {} | {} |", part.trim_matches('"'), cells.join(" | "));
    }
    text
}

fn format_estimate(estimate: &Estimate) -> String {
    format!("{:+.2} ± {:.2}", estimate.mean, estimate.half)
}

/// Formats a table of the bounds of a scenario.
pub fn bounds_table(bound: &Bound) -> String {
    let mut text = String::from(
        "| service | slots needed | slots | max served | min crossing zones, kB/s | regions, kB/s |\n",
    );
    text.push_str("|---|---:|---:|---:|---:|---:|\n");
    for (name, service) in &bound.services {
        let _ = writeln!(
            text,
            "| {name} | {:.1} | {:.0} | {:.1} % | {:.1} | {:.1} |",
            service.needed,
            service.slots,
            100.0 * service.served,
            service.crossing / 1e3,
            service.across / 1e3,
        );
    }
    let _ = writeln!(
        text,
        "\nminimum between zones over the run: {:.2} MB, of these between regions {:.2} MB",
        bound.crossed_mb, bound.across_mb
    );
    text
}
