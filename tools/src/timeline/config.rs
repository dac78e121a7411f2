//! The command line of `sycamore-timeline`, parsed once.

use crate::command_line::{self, CommandLine, usage};
use crate::fleet::{self, FleetOptions};
use getopts::Matches;
use std::path::PathBuf;
use std::time::Duration;
use sycamore_core::Result;

/// Pause between two polls unless `--interval-ms` says otherwise.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Options that say nothing about the story of one request, which is text from files.
const OPTIONS_INVALID_WITH_REQUEST: [&str; 8] =
    ["save", "follow", "interval-ms", "format", "output", "title", "timeout-ms", "concurrency"];

/// Where events come from and what is drawn of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The nodes to ask; may be empty.
    pub fleet: FleetOptions,
    /// Files with events: answers of `/events`, or records that `--save` wrote.
    pub files: Vec<PathBuf>,
    /// Directory that records are read from and written to.
    pub record_dir: Option<PathBuf>,
    /// How long to poll the nodes; zero for once.
    pub follow_duration: Duration,
    /// Pause between two polls.
    pub poll_interval: Duration,
    /// Form of the time line.
    pub format: Format,
    /// File to write to; absent for standard output.
    pub output: Option<PathBuf>,
    /// Title of the picture.
    pub title: String,
    /// Id of the one request whose story is told from log files.
    pub request: Option<String>,
}

/// Form of the time line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One line an event.
    Text,
    /// One JSON object.
    Json,
    /// A picture.
    Svg,
}

/// The options of the tool.
pub fn command_line() -> CommandLine {
    let line =
        CommandLine::new("sycamore-timeline", "[EVENTS.json ... | --request ID LOG ...] [options]");
    fleet::add_options(line)
        .with_value("save", "read and keep records of processes in this directory", "DIR")
        .with_value("follow", "poll the nodes for this long; a signal ends it early", "SECONDS")
        .with_value("interval-ms", "pause between two polls (default 500)", "MS")
        .with_value("format", "text (default), json or svg", "FORMAT")
        .with_value("output", "write to this file instead of standard output", "FILE")
        .with_value("title", "title of the picture", "TEXT")
        .with_value("request", "tell the story of one request from nodes' log files", "ID")
}

impl Config {
    /// Takes the options of [`command_line()`].
    pub fn parse(matches: &Matches) -> Result<Config> {
        let fleet = FleetOptions::parse(matches)?;
        let files: Vec<_> = matches.free.iter().map(PathBuf::from).collect();
        let record_dir = matches.opt_str("save").map(PathBuf::from);
        if matches.opt_present("request") {
            check_request_options(matches, &fleet)?;
        }
        if fleet.is_empty() && files.is_empty() && record_dir.is_none() {
            return Err(usage("a file, --save, --vms, --node or --platform is required"));
        }
        let follow = command_line::value(matches, "follow")?;
        if follow.is_some() && fleet.is_empty() {
            return Err(usage("--follow needs --vms, --node or --platform"));
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
            title: matches.opt_str("title").unwrap_or_else(|| "sycamorescale".to_owned()),
        })
    }
}

/// Refuses options that would be passed over in silence.
fn check_request_options(matches: &Matches, fleet: &FleetOptions) -> Result<()> {
    if matches.free.is_empty() {
        return Err(usage("--request needs the nodes' log files"));
    }
    if !fleet.is_empty() {
        return Err(usage("--request reads log files only, no --vms, --node or --platform"));
    }
    match OPTIONS_INVALID_WITH_REQUEST.iter().find(|option| matches.opt_present(option)) {
        Some(option) => Err(usage(format!("--{option} has no effect beside --request"))),
        None => Ok(()),
    }
}
