//! The command line of `sycamore-status`, parsed once.

use crate::command_line::{self, CommandLine, no_arguments, usage};
use crate::fleet::{self, FleetOptions};
use getopts::Matches;
use std::time::Duration;
use sycamore_core::Result;

/// What to ask whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The nodes.
    pub fleet: FleetOptions,
    /// The version that should be in force; absent for the one published, or without a platform
    /// for the newest that any node holds.
    pub expected_version: Option<u64>,
    /// How long to wait for it.
    pub wait_timeout: Duration,
    /// Whether to list every node rather than those that lag.
    pub list_all: bool,
    /// Form of the report.
    pub format: Format,
}

/// Form of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object.
    Json,
}

/// The options of the tool.
pub fn command_line() -> CommandLine {
    let line = CommandLine::new("sycamore-status", "(--vms|--node|--platform) ... [options]");
    fleet::add_options(line)
        .with_value("version-in-force", "version to ask for (default: the one published)", "N")
        .with_value("wait", "longest wait until it is in force everywhere", "SECONDS")
        .with_flag("all", "list every node, not only those that lag")
        .with_value("format", "text (default) or json", "FORMAT")
}

impl Config {
    /// Takes the options of [`command_line()`].
    pub fn parse(matches: &Matches) -> Result<Config> {
        no_arguments(matches)?;
        let fleet = FleetOptions::parse(matches)?;
        if fleet.is_empty() {
            return Err(usage("one of --vms, --node and --platform is required"));
        }
        let wait = command_line::value(matches, "wait")?;
        let formats = [("text", Format::Text), ("json", Format::Json)];
        Ok(Config {
            fleet,
            expected_version: command_line::value(matches, "version-in-force")?,
            wait_timeout: wait.map_or(Duration::ZERO, Duration::from_secs),
            list_all: matches.opt_present("all"),
            format: command_line::choice(matches, "format", &formats)?,
        })
    }
}
