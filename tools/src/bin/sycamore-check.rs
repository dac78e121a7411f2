//! `sycamore-check`: validates a preset as nodes do, and compares it with the preset in force.

use std::process::ExitCode;
use sycamore_tools::check::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, check::run)
}
