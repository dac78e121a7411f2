//! `sycamore-load`: sends requests to a deployment at a constant rate and records their outcomes.

use std::process::ExitCode;
use sycamore_tools::load::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, load::run)
}
