//! Command line of the node; runs [`sycamore_node::app::App`].

use getopts::Options;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use sycamore_core::{Code, Fault, Result};
use sycamore_node::app::App;
use sycamore_node::output;
use sycamore_node::settings::Settings;

/// Exit code if the node fails to start or run.
const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;

/// Parsed command line arguments.
#[derive(Debug)]
struct Args {
    settings: PathBuf,
    check_only: bool,
}

enum Command {
    Run(Args),
    Print(String),
}

fn main() -> ExitCode {
    match parse(std::env::args().skip(1)) {
        Ok(Command::Print(text)) => print(&text),
        Ok(Command::Run(args)) => match Settings::read(&args.settings) {
            Ok(_) if args.check_only => print("settings are valid\n"),
            Ok(settings) => run(settings),
            Err(fault) => fail(&fault, EXIT_USAGE),
        },
        Err(fault) => fail(&fault, EXIT_USAGE),
    }
}

fn run(settings: Settings) -> ExitCode {
    let result = output::start(&settings.log).and_then(|_log| App::new(settings).run());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&fault, EXIT_FAILURE),
    }
}

fn parse(args: impl Iterator<Item = String>) -> Result<Command> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file in JSON", "FILE");
    options.optflag("", "check-settings", "check the settings file and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(args).map_err(usage_error)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(options.usage("Usage: sycamore-node --settings FILE")));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!("sycamore-node {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(extra) = matches.free.first() {
        return Err(usage_error(format!("unexpected argument {extra:?}")));
    }
    let settings =
        matches.opt_str("settings").ok_or_else(|| usage_error("--settings FILE is required"))?;
    let check_only = matches.opt_present("check-settings");
    Ok(Command::Run(Args { settings: settings.into(), check_only }))
}

fn usage_error(detail: impl std::fmt::Display) -> Fault {
    Fault::new(Code::UsageInvalid).with_detail(detail)
}

fn print(text: &str) -> ExitCode {
    let written = std::io::stdout().write_all(text.as_bytes());
    if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) }
}

fn fail(fault: &Fault, code: u8) -> ExitCode {
    // A failed write to standard error cannot be reported anywhere else.
    let _ = writeln!(std::io::stderr(), "sycamore-node: {fault}");
    ExitCode::from(code)
}
