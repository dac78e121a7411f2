//! `sycamore-load`: calls a deployment at a constant rate and writes down what callers are told.

use getopts::{Matches, Options};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::{Code, Fault, Result};
use sycamore_tools::load::history::History;
use sycamore_tools::load::mix::Mix;
use sycamore_tools::load::run::Plan;
use sycamore_tools::load::summary::Summary;

/// Exit code of a run that lost a request or was told a wrong answer.
const FAILED: u8 = 1;
/// Exit code of a command line or mix that is not valid.
const USAGE: u8 = 2;

/// The command line, parsed.
#[derive(Debug)]
struct Config {
    plan: Plan,
    history: Option<PathBuf>,
    json: Option<PathBuf>,
}

enum Command {
    Run(Box<Config>),
    Print(String),
}

fn main() -> ExitCode {
    match parse(std::env::args().skip(1)) {
        Ok(Command::Print(text)) => print(&text, ExitCode::SUCCESS),
        Ok(Command::Run(cfg)) => match run(&cfg) {
            Ok(summary) => print(&summary.to_string(), verdict(&summary)),
            Err(fault) => fail(&fault, FAILED),
        },
        Err(fault) => fail(&fault, USAGE),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("m", "mix", "classes of requests, in JSON", "FILE");
    options.optmulti("e", "entry", "`calls` address of an entry node; may be repeated", "IP:PORT");
    options.optopt("r", "rate", "requests a second; 100 by default", "N");
    options.optopt("s", "seconds", "how long requests go out; 10 by default", "N");
    options.optopt("t", "threads", "threads that make requests; 1 by default", "N");
    options.optopt("", "seed", "decides classes and entry nodes; 1 by default", "N");
    options.optopt("", "history", "where to write a JSON line for each request", "FILE");
    options.optopt("", "json", "where to write the summary in JSON", "FILE");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn parse(args: impl Iterator<Item = String>) -> Result<Command> {
    let options = options();
    let matches = options.parse(args).map_err(usage)?;
    if matches.opt_present("help") {
        let brief = "Usage: sycamore-load --mix FILE --entry IP:PORT [options]\n\n\
            Exit codes: 0 every request was answered, refused or declared unknown; 1 one was lost \
            or answered wrongly, or a file can't be written; 2 usage.";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!("sycamore-load {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("unexpected argument {extra:?}")));
    }
    let path = |name| matches.opt_str(name).map(PathBuf::from);
    let cfg = Config { plan: plan(&matches)?, history: path("history"), json: path("json") };
    Ok(Command::Run(Box::new(cfg)))
}

fn plan(matches: &Matches) -> Result<Plan> {
    let mix = matches.opt_str("mix").ok_or_else(|| usage("--mix FILE is required"))?;
    let entries: std::result::Result<Vec<SocketAddr>, _> =
        matches.opt_strs("entry").iter().map(|text| text.parse()).collect();
    let entries = entries.map_err(|e| usage(format!("--entry: {e}")))?;
    if entries.is_empty() {
        return Err(usage("--entry IP:PORT is required"));
    }
    let rate: f64 = number(matches, "rate", 100.0)?;
    let seconds: f64 = number(matches, "seconds", 10.0)?;
    if !(rate > 0.0 && rate <= 1e6 && (0.0..=86_400.0).contains(&seconds)) {
        return Err(usage("--rate is above 0 and at most 1000000, --seconds 0 to 86400"));
    }
    let threads = number(matches, "threads", 1)?;
    if !(1..=64).contains(&threads) {
        return Err(usage("--threads is 1 to 64"));
    }
    let duration = Duration::from_secs_f64(seconds);
    let seed = number(matches, "seed", 1)?;
    Ok(Plan { mix: Mix::read(Path::new(&mix))?, entries, rate, duration, threads, seed })
}

fn number<T: FromStr<Err: std::fmt::Display>>(
    matches: &Matches,
    name: &str,
    default: T,
) -> Result<T> {
    matches.opt_get_default(name, default).map_err(|e| usage(format!("--{name}: {e}")))
}

fn run(cfg: &Config) -> Result<Summary> {
    let failed = |e: std::io::Error| Fault::new(Code::OutputFailed).with_detail(e);
    let history = Arc::new(History::new(cfg.history.as_deref()).map_err(failed)?);
    let summary = cfg.plan.run(&history);
    if let Some(history) = Arc::into_inner(history) {
        history.close().map_err(failed)?;
    }
    if let Some(path) = &cfg.json {
        let text = serde_json::to_vec_pretty(&summary.rows()).unwrap_or_default();
        std::fs::write(path, text).map_err(failed)?;
    }
    Ok(summary)
}

fn verdict(summary: &Summary) -> ExitCode {
    let counts = summary.total().counts;
    let clean = counts.lost == 0 && counts.incorrect == 0;
    if clean { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
}

fn usage(detail: impl std::fmt::Display) -> Fault {
    Fault::new(Code::UsageInvalid).with_detail(detail)
}

fn print(text: &str, code: ExitCode) -> ExitCode {
    let written = std::io::stdout().write_all(text.as_bytes());
    if written.is_ok() { code } else { ExitCode::from(FAILED) }
}

fn fail(fault: &Fault, code: u8) -> ExitCode {
    // Standard error is the last place left to report to.
    let _ = writeln!(std::io::stderr(), "sycamore-load: {fault}");
    ExitCode::from(code)
}
