//! Command-line options of `sycamore-timeline`.

use crate::command_line::{self, CommandLine, usage};
use crate::fleet::{self, FleetOptions};
use getopts::Matches;
use std::path::PathBuf;
use std::time::Duration;
use sycamore_core::Result;

/// Default of `--interval-ms`.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Options that have no effect on log files of nodes and are rejected with `--request` and
/// `--promises`.
const OPTIONS_INVALID_WITH_LOGS: [&str; 8] =
    ["save", "follow", "interval-ms", "format", "output", "title", "timeout-ms", "concurrency"];

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Nodes to query; may be empty.
    pub fleet: FleetOptions,
    /// Files with events: `/events` responses, or records written by `--save`.
    pub files: Vec<PathBuf>,
    /// Directory of saved records.
    pub record_dir: Option<PathBuf>,
    /// How long to poll the nodes; zero polls once.
    pub follow_duration: Duration,
    /// Delay between two polls.
    pub poll_interval: Duration,
    pub format: Format,
    /// File to write to; absent for standard output.
    pub output: Option<PathBuf>,
    /// Title of the SVG picture.
    pub title: String,
    /// Id of the request to trace in log files.
    pub request: Option<String>,
    /// Check the statements "not run" in log files, against these records of runs.
    pub promises: Option<Vec<PathBuf>>,
}

/// Output format of the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One line per event.
    Text,
    /// A single JSON object.
    Json,
    /// An SVG picture.
    Svg,
}

/// Returns the command-line definition.
pub fn command_line() -> CommandLine {
    let line = CommandLine::new(
        "sycamore-timeline",
        "[EVENTS.json ... | --request ID LOG ... | --promises LOG ...] [options]",
    );
    fleet::add_options(line)
        .with_value("save", "load and save process records in this directory", "DIR")
        .with_value("follow", "poll the nodes for this long, or until SIGTERM or SIGINT", "SECONDS")
        .with_value("interval-ms", "delay between two polls (default 500)", "MS")
        .with_value("format", "text (default), json or svg", "FORMAT")
        .with_value("output", "write to this file instead of standard output", "FILE")
        .with_value("title", "title of the picture", "TEXT")
        .with_value("request", "print the trace of one request from log files of nodes", "ID")
        .with_flag(
            "promises",
            "list requests in log files that were answered as not run and may have",
        )
        .with_values("runs", "with --promises: a file with a line for each run of a target", "FILE")
}

impl Config {
    /// Parses the options defined by [`command_line()`].
    pub fn parse(matches: &Matches) -> Result<Config> {
        let fleet = FleetOptions::parse(matches)?;
        let files: Vec<_> = matches.free.iter().map(PathBuf::from).collect();
        let record_dir = matches.opt_str("save").map(PathBuf::from);
        for mode in ["request", "promises"] {
            if matches.opt_present(mode) {
                check_log_options(matches, mode, &fleet)?;
            }
        }
        let checks_promises = matches.opt_present("promises");
        if checks_promises && matches.opt_present("request") {
            return Err(usage("--promises can't be combined with --request"));
        }
        if matches.opt_present("runs") && !checks_promises {
            return Err(usage("--runs requires --promises"));
        }
        let runs = matches.opt_strs("runs").into_iter().map(PathBuf::from).collect();
        if fleet.is_empty() && files.is_empty() && record_dir.is_none() {
            return Err(usage("a file, --save, --vms, --node or --platform is required"));
        }
        let follow = command_line::value(matches, "follow")?;
        if follow.is_some() && fleet.is_empty() {
            return Err(usage("--follow requires --vms, --node or --platform"));
        }
        let interval = command_line::value(matches, "interval-ms")?;
        let formats = [("text", Format::Text), ("json", Format::Json), ("svg", Format::Svg)];
        Ok(Config {
            fleet,
            files,
            record_dir,
            follow_duration: follow.map_or(Duration::ZERO, Duration::from_secs),
            poll_interval: interval.map_or(DEFAULT_POLL_INTERVAL, Duration::from_millis),
            format: command_line::choice(matches, "format", &formats)?,
            output: matches.opt_str("output").map(PathBuf::from),
            request: matches.opt_str("request"),
            promises: checks_promises.then_some(runs),
            title: matches.opt_str("title").unwrap_or_else(|| "sycamorescale".to_owned()),
        })
    }
}

/// Rejects options that a mode which reads log files would silently ignore.
fn check_log_options(matches: &Matches, mode: &str, fleet: &FleetOptions) -> Result<()> {
    if matches.free.is_empty() {
        return Err(usage(format!("--{mode} requires log files of nodes")));
    }
    if !fleet.is_empty() {
        return Err(usage(format!(
            "--{mode} reads log files only and excludes --vms, --node and --platform"
        )));
    }
    match OPTIONS_INVALID_WITH_LOGS.iter().find(|option| matches.opt_present(option)) {
        Some(option) => Err(usage(format!("--{option} can't be combined with --{mode}"))),
        None => Ok(()),
    }
}
