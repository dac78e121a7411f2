//! `sycamore-status`: reports whether a version is in force on every node, and which nodes lag.

use std::process::ExitCode;
use sycamore_tools::status::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, status::run)
}
