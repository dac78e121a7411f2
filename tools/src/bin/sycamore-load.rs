//! `sycamore-load`: calls a deployment at a constant rate and writes down what callers are told.

use std::process::ExitCode;
use sycamore_tools::load::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, load::run)
}
