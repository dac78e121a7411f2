//! Command-line parsing and exit codes shared by the stand-in programs.

use getopts::{Matches, Options};
use std::io::Write;
use std::process::ExitCode;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Parses the process arguments. Returns the exit code as `Err` after `--help` or an invalid
/// argument.
pub fn parse(mut options: Options, brief: &str) -> Result<Matches, ExitCode> {
    options.optflag("h", "help", "print this help");
    match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") => {
            let _ = std::io::stdout().write_all(options.usage(brief).as_bytes());
            Err(ExitCode::SUCCESS)
        }
        Ok(matches) => Ok(matches),
        Err(e) => Err(usage_error(e)),
    }
}

/// Prints a command-line error to standard error and returns its exit code.
pub fn usage_error(detail: impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "{detail}");
    ExitCode::from(EXIT_USAGE)
}

/// Prints a runtime error to standard error and returns its exit code.
pub fn run_error(detail: impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "{detail}");
    ExitCode::FAILURE
}
