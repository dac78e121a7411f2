//! The command line of `sycamore-load`, parsed once.

use super::caller::RetryPolicy;
use super::mix::Mix;
use super::plan::Plan;
use crate::command_line::{self, CommandLine, usage};
use getopts::Matches;
use std::path::{Path, PathBuf};
use std::time::Duration;
use sycamore_core::Result;

/// Requests a second unless `--rate` says otherwise.
const DEFAULT_RATE: f64 = 100.0;
/// Highest rate.
const MAX_RATE: f64 = 1e6;
/// How long requests go out unless `--seconds` says otherwise.
const DEFAULT_SECONDS: f64 = 10.0;
/// Longest run, one day.
const MAX_SECONDS: f64 = 86_400.0;
/// Most threads.
const MAX_THREADS: usize = 64;

/// What to run, and where results go.
#[derive(Clone, Debug)]
pub struct Config {
    /// The run.
    pub plan: Plan,
    /// File for a JSON line a request.
    pub history: Option<PathBuf>,
    /// File for the summary in JSON.
    pub json: Option<PathBuf>,
}

/// The options of the tool. It exits with 1 if a request was lost or answered wrongly.
pub fn command_line() -> CommandLine {
    CommandLine::new("sycamore-load", "--mix FILE --entry IP:PORT [options]")
        .with_value("mix", "classes of requests, in JSON", "FILE")
        .with_values("entry", "`calls` address of an entry node; may be repeated", "IP:PORT")
        .with_value("rate", "requests a second (default 100)", "N")
        .with_value("seconds", "how long requests go out (default 10)", "N")
        .with_value("threads", "threads that make requests (default 1)", "N")
        .with_value("seed", "decides classes and entry nodes (default 1)", "N")
        .with_flag("impatient", "send again at once whatever a refusal says, and after failures")
        .with_value("history", "write a JSON line for each request to this file", "FILE")
        .with_value("json", "write the summary in JSON to this file", "FILE")
}

impl Config {
    /// Takes the options of [`command_line()`].
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
