//! Measures a simulated fleet against a polling baseline, and checks histories of random faults.

use cap::Cap;
use getopts::{Matches, Options};
use std::alloc::System;
use std::process::ExitCode;
use sycamore_bench::fleet::run::{Comparison, Disruption, Plan, compare};
use sycamore_bench::fleet::slopes::{self, Factor};
use sycamore_bench::fleet::workload::{CHANGES_PER_DAY, Size};
use sycamore_bench::fleet::{Setup, memory, table};
use sycamore_bench::history::trial::{Trial, TrialReport};
use sycamore_bench::links::Profile;
use sycamore_core::{Code, Fault, Result};

/// Tracks the allocated memory, excluding memory that is freed but still resident.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Exit code if nodes did not converge or a rule was violated.
const EXIT_FAILED: u8 = 1;

const USAGE: &str = "Usage: sycamore-fleet convergence|bytes|slopes|memory|history [options]

Simulates many nodes in one thread over in-memory links, in simulated time.
convergence and bytes measure the fleet and a polling baseline; the last line is JSON.
slopes varies one factor at a time and fits lines; with --out it writes the tables to a file.
memory measures a single node with presets of several sizes.
history runs small fleets with random faults and checks their histories against the rules.
Exit code: 0 success, 1 nodes did not converge or a rule was violated, 2 invalid command line.";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("sycamore-fleet: {fault}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(args: &[String]) -> Result<ExitCode> {
    let options = options();
    let matches = options.parse(args).map_err(usage_fault)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["convergence"] => compare_all(&matches, table::convergence),
        ["slopes"] => run_slopes(&matches),
        ["memory"] => run_memory(&matches),
        ["history"] => run_histories(&matches),
        ["bytes"] => compare_all(&matches, table::bytes),
        _ => Err(usage_fault("expected exactly one command; see --help")),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "sizes", "fleet sizes in nodes (18,200,1000)", "N,N");
    options.optopt("", "seed", "seed of all random choices (1)", "N");
    options.optopt("", "seeds", "history: number of seeds, starting at --seed (20)", "N");
    options.optflag("", "spread-only", "run nodes without the call path, to save memory");
    options.optflag("", "lossy", "history: links lose 1 message in 100");
    options.optflag("", "calls", "history: also submit requests and check their outcomes");
    options.optflag("", "print", "history: print all actions and records");
    options.optopt("", "versions", "versions to publish per measurement (20)", "N");
    options.optopt("", "changes", "changes per day (14000)", "N");
    options.optopt("", "out", "slopes: write the tables to this Markdown file", "FILE");
    options.optopt("", "links", "link profile: franchise or cooperative (franchise)", "NAME");
    options.optopt(
        "",
        "faults",
        "disruptions: none, all, or a list of rack,zone-cut,relays,zone,everything,source,regions; \
         all excludes regions, which simulates an hour (all)",
        "LIST",
    );
    options
}

fn compare_all(matches: &Matches, print: fn(&[Comparison])) -> Result<ExitCode> {
    let sizes = numbers(matches, "sizes", &[18, 200, 1_000])?;
    let plan = Plan::new(number(matches, "versions", 20)? as usize).with_changes_per_day(number(
        matches,
        "changes",
        CHANGES_PER_DAY,
    )?);
    let disruptions = disruptions(matches)?;
    let mut comparisons = Vec::new();
    for nodes in sizes {
        let setup = Setup::new(Size::of(nodes as usize), number(matches, "seed", 1)?)
            .with_profile(profile(matches)?)
            .with_memory(memory_in_use)
            .with_spread_only(matches.opt_present("spread-only"));
        eprintln!("{nodes} nodes ...");
        comparisons.push(compare(&setup, &plan, &disruptions));
    }
    print(&comparisons);
    table::json(&comparisons);
    let behind = |c: &Comparison| {
        c.fleet.figures.behind > 0
            || c.fleet.disruptions.iter().any(|disruption| disruption.behind > 0)
    };
    let failed = comparisons.iter().any(behind);
    Ok(if failed { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS })
}

fn run_slopes(matches: &Matches) -> Result<ExitCode> {
    let versions = number(matches, "versions", 10)? as usize;
    let options =
        slopes::Options { versions, seed: number(matches, "seed", 1)?, memory: memory_in_use };
    let mut text = String::new();
    let mut all = Vec::new();
    for factor in Factor::ALL {
        eprintln!("{} ...", factor.name());
        let series = slopes::measure(factor, &options);
        let table = slopes::markdown(&series);
        println!("{table}");
        text += &table;
        text.push('\n');
        all.push(series);
    }
    if let Some(path) = matches.opt_str("out") {
        std::fs::write(&path, text)
            .map_err(|e| Fault::new(Code::OutputFailed).with_location(path).with_detail(e))?;
    }
    println!("{}", serde_json::json!({ "slopes": all }));
    Ok(ExitCode::SUCCESS)
}

fn run_memory(matches: &Matches) -> Result<ExitCode> {
    let options =
        slopes::Options { versions: 0, seed: number(matches, "seed", 1)?, memory: memory_in_use };
    let points = memory::measure(&options);
    println!("{:>7} {:>9} {:>14} {:>14}", "nodes", "services", "full scope KB", "default KB");
    for p in &points {
        println!(
            "{:>7} {:>9} {:>14.0} {:>14.0}",
            p.nodes, p.services, p.full_scope_kb, p.default_scope_kb
        );
    }
    let line = memory::fit_full_scope(&points);
    println!("{}", serde_json::json!({ "points": points, "full_scope": line }));
    Ok(ExitCode::SUCCESS)
}

fn run_histories(matches: &Matches) -> Result<ExitCode> {
    let first = number(matches, "seed", 1)?;
    let count = number(matches, "seeds", 20)?;
    let mut failed = 0;
    for seed in first..first + count {
        let (lossy, sends_requests) = (matches.opt_present("lossy"), matches.opt_present("calls"));
        let report = Trial { seed, lossy, sends_requests }.run();
        let passed = report.violations.is_empty() && report.call_violations.is_empty();
        failed += u64::from(!passed);
        print_report(&report, matches.opt_present("print"));
    }
    println!("{}", serde_json::json!({ "first": first, "seeds": count, "broken": failed }));
    Ok(if failed > 0 { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS })
}

fn print_report(report: &TrialReport, whole: bool) {
    let count = report.violations.len() + report.call_violations.len();
    if whole {
        report.calls.iter().for_each(|record| println!("{record:?}"));
        report.plan.iter().for_each(|(at, action)| println!("{at:?} {action:?}"));
        report.events.iter().for_each(|(node, event)| println!("node {node} {event:?}"));
        report.history.iter().for_each(|record| println!("{record:?}"));
    }
    if count > 0 {
        println!("seed {}: {count} violations", report.trial.seed);
        let shown = if whole { count } else { 3 };
        report.violations.iter().take(shown).for_each(|violation| println!("  {violation}"));
        let calls = report.call_violations.iter().take(shown);
        calls.for_each(|violation| println!("  {violation}"));
    }
}

fn disruptions(matches: &Matches) -> Result<Vec<Disruption>> {
    let list = matches.opt_str("faults").unwrap_or_else(|| "all".to_owned());
    match list.as_str() {
        "none" => Ok(Vec::new()),
        "all" => Ok(Disruption::SHORT.to_vec()),
        names => names.split(',').map(parse_disruption).collect(),
    }
}

fn parse_disruption(text: &str) -> Result<Disruption> {
    let found = Disruption::ALL.into_iter().find(|disruption| disruption.name() == text);
    found.ok_or_else(|| usage_fault(format!("--faults: unknown disruption {text}")))
}

fn profile(matches: &Matches) -> Result<Profile> {
    match matches.opt_str("links").as_deref() {
        None | Some("franchise") => Ok(Profile::franchise()),
        Some("cooperative") => Ok(Profile::cooperative()),
        Some(other) => Err(usage_fault(format!("--links: unknown link profile {other}"))),
    }
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    matches.opt_get_default(name, default).map_err(|e| usage_fault(format!("--{name}: {e}")))
}

fn numbers(matches: &Matches, name: &str, default: &[u64]) -> Result<Vec<u64>> {
    let Some(list) = matches.opt_str(name) else { return Ok(default.to_vec()) };
    let parse = |text: &str| text.parse().map_err(|e| usage_fault(format!("--{name}: {e}")));
    list.split(',').map(parse).collect()
}

fn memory_in_use() -> u64 {
    ALLOCATOR.allocated() as u64
}

fn usage_fault(detail: impl std::fmt::Display) -> Fault {
    Fault::new(Code::UsageInvalid).with_detail(detail)
}
