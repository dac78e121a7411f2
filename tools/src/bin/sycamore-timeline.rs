//! `sycamore-timeline`: the events of all processes in one time line.

use std::process::ExitCode;
use sycamore_tools::timeline::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, timeline::run)
}
