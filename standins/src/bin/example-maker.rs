//! `example-maker`: regenerates the files under `examples/`.

use getopts::Options;
use std::path::Path;
use std::process::ExitCode;
use sycamore_standins::command::{self, run_error};
use sycamore_standins::example::{COOPERATIVE, FRANCHISE_OFFICE, write};

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("d", "directory", "output directory (default: examples)", "DIRECTORY");
    let matches = match command::parse(options, "Usage: example-maker [options]") {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let directory = matches.opt_str("directory").unwrap_or_else(|| "examples".into());
    for deployment in [FRANCHISE_OFFICE, COOPERATIVE] {
        if let Err(e) = write(&deployment, &Path::new(&directory).join(deployment.name)) {
            return run_error(e);
        }
    }
    ExitCode::SUCCESS
}
