//! Command line of `sycamore-load`.

use super::caller::RetryPolicy;
use super::mix::Mix;
use super::plan::Plan;
use crate::command_line::{self, CommandLine, usage};
use getopts::Matches;
use std::path::{Path, PathBuf};
use std::time::Duration;
use sycamore_core::Result;

/// Default of `--rate`, in requests per second.
const DEFAULT_RATE: f64 = 100.0;
/// Maximum of `--rate`.
const MAX_RATE: f64 = 1e6;
/// Default of `--seconds`.
const DEFAULT_SECONDS: f64 = 10.0;
/// Maximum of `--seconds`: one day.
const MAX_SECONDS: f64 = 86_400.0;
/// Maximum of `--threads`.
const MAX_THREADS: usize = 64;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Config {
    /// The load to generate.
    pub plan: Plan,
    /// Output file for the history, with one JSON line per request.
    pub history: Option<PathBuf>,
    /// Output file for the JSON summary.
    pub json: Option<PathBuf>,
}

/// Defines the options of the tool, which exits with 1 if a request was lost or got an incorrect
/// response.
pub fn command_line() -> CommandLine {
    CommandLine::new("sycamore-load", "--mix FILE --entry IP:PORT [options]")
        .with_value("mix", "JSON file with the classes of requests", "FILE")
        .with_values("entry", "`calls` address of an entry node; may be repeated", "IP:PORT")
        .with_value("rate", "requests per second (default 100)", "N")
        .with_value("seconds", "duration of the load in seconds (default 10)", "N")
        .with_value("threads", "number of threads (default 1)", "N")
        .with_value("seed", "random seed (default 1)", "N")
        .with_flag("impatient", "retry immediately after refusals and server errors")
        .with_value("history", "write a JSON line for each request to this file", "FILE")
        .with_value("json", "write the summary in JSON to this file", "FILE")
}

impl Config {
    /// Parses the options defined by [`command_line()`].
    pub fn parse(matches: &Matches) -> Result<Config> {
        if let Some(extra) = matches.free.first() {
            return Err(usage(format!("unexpected argument {extra:?}")));
        }
        let path = |name| matches.opt_str(name).map(PathBuf::from);
        Ok(Config { plan: plan(matches)?, history: path("history"), json: path("json") })
    }
}

fn plan(matches: &Matches) -> Result<Plan> {
    let mix = matches.opt_str("mix").ok_or_else(|| usage("--mix FILE is required"))?;
    let entries = command_line::values(matches, "entry")?;
    if entries.is_empty() {
        return Err(usage("--entry IP:PORT is required"));
    }
    let rate = command_line::value(matches, "rate")?.unwrap_or(DEFAULT_RATE);
    if !(rate > 0.0 && rate <= MAX_RATE) {
        return Err(usage(format!("--rate: found {rate}, allowed above 0 to {MAX_RATE}")));
    }
    let seconds = command_line::value(matches, "seconds")?.unwrap_or(DEFAULT_SECONDS);
    if !(0.0..=MAX_SECONDS).contains(&seconds) {
        return Err(usage(format!("--seconds: found {seconds}, allowed 0 to {MAX_SECONDS}")));
    }
    let threads = command_line::value(matches, "threads")?.unwrap_or(1);
    if !(1..=MAX_THREADS).contains(&threads) {
        return Err(usage(format!("--threads: found {threads}, allowed 1 to {MAX_THREADS}")));
    }
    let seed = command_line::value(matches, "seed")?.unwrap_or(1);
    let duration = Duration::from_secs_f64(seconds);
    let mix = Mix::read(Path::new(&mix))?;
    let retry_policy = if matches.opt_present("impatient") {
        RetryPolicy::Immediate
    } else {
        RetryPolicy::HonourRetryAfter
    };
    Ok(Plan { mix, entries, rate, duration, threads, seed, retry_policy })
}
