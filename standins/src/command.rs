//! What the command lines of the stand-ins have in common.

use getopts::{Matches, Options};
use std::io::Write;
use std::process::ExitCode;

/// Exit code of a command line that is not valid.
const EXIT_USAGE: u8 = 2;

/// Parses the arguments. `Err` holds the exit code after `--help` or a mistake.
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

/// Says what is wrong with the command line.
pub fn usage_error(detail: impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "{detail}");
    ExitCode::from(EXIT_USAGE)
}

/// Says why the run failed.
pub fn run_error(detail: impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "{detail}");
    ExitCode::FAILURE
}
