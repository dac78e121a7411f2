//! `sycamore-status`: is a version in force everywhere, since when, and who lags and why?

use std::process::ExitCode;
use sycamore_tools::status::{self, Config, config};

fn main() -> ExitCode {
    config::command_line().run(Config::parse, status::run)
}
