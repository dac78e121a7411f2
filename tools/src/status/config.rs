//! Command-line options of `sycamore-status`.

use crate::command_line::{self, CommandLine, no_arguments, usage};
use crate::fleet::{self, FleetOptions};
use getopts::Matches;
use std::time::Duration;
use sycamore_core::Result;

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Nodes to query.
    pub fleet: FleetOptions,
    /// Configuration version that the nodes should have in force. Defaults to the published version or, without a platform, to the
    /// newest version on any node.
    pub expected_version: Option<u64>,
    /// How long to wait until the version is in force everywhere.
    pub wait_timeout: Duration,
    /// List all nodes, not only those that lag.
    pub list_all: bool,
    pub format: Format,
}

/// Output format of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// A single JSON object.
    Json,
}

/// Returns the command-line definition.
pub fn command_line() -> CommandLine {
    let command_line =
        CommandLine::new("sycamore-status", "(--vms|--node|--platform) ... [options]");
    fleet::add_options(command_line)
        .with_value("version-in-force", "version to check for (default: the published one)", "N")
        .with_value("wait", "maximum time to wait until it is in force everywhere", "SECONDS")
        .with_flag("all", "list every node, not only those that lag")
        .with_value("format", "text (default) or json", "FORMAT")
}

impl Config {
    /// Parses the options defined by [`command_line()`].
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
