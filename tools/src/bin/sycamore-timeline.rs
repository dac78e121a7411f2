//! `sycamore-timeline`: merges the events of all processes into one timeline.

use std::process::ExitCode;
use sycamore_tools::timeline::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, timeline::run)
}
