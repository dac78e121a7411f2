//! `sycamore-check`: would nodes accept this preset, and what does it change?

use std::process::ExitCode;
use sycamore_tools::check::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, check::run)
}
