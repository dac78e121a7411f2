//! `standin-target`: simulates several targets in one process for tests and demonstrations.

use getopts::Options;
use std::path::Path;
use std::process::ExitCode;
use sycamore_standins::command::{self, run_error, usage_error};
use sycamore_standins::target::Targets;
use sycamore_standins::target::run_log::RunLog;

fn main() -> ExitCode {
    match start() {
        Ok(targets) => {
            async_io::block_on(targets.run());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn start() -> Result<Targets, ExitCode> {
    let mut options = Options::new();
    options.optopt("t", "targets", "JSON file that configures the targets", "FILE");
    options.optopt("r", "run-log", "file for the run log (default: no log)", "FILE");
    let matches = command::parse(options, "Usage: standin-target --targets FILE [options]")?;
    let path =
        matches.opt_str("targets").ok_or_else(|| usage_error("--targets FILE is required"))?;
    let cfg = Targets::read(Path::new(&path)).map_err(run_error)?;
    let log = match matches.opt_str("run-log") {
        Some(path) => RunLog::create(Path::new(&path)).map_err(run_error)?,
        None => RunLog::discard(),
    };
    Targets::bind(cfg, log).map_err(run_error)
}
