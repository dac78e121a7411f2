//! Command-line parsing and exit codes shared by the tools.

use getopts::{Matches, Options};
use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;
use sycamore_core::{Code, Fault, Result};

/// Exit code for a negative result, such as a rejected document or a fleet that lags behind, and
/// for output that could not be written.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line or input file.
pub const EXIT_USAGE: u8 = 2;

/// Command-line definition of a tool.
#[derive(Debug)]
pub struct CommandLine {
    name: &'static str,
    usage: &'static str,
    options: Options,
}

impl CommandLine {
    /// Creates a command line with `--help` and `--version`. `usage` follows the program name in
    /// the first line of the help text.
    pub fn new(name: &'static str, usage: &'static str) -> CommandLine {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        CommandLine { name, usage, options }
    }

    /// Adds an option that takes a value and may be given once.
    pub fn with_value(mut self, name: &str, help: &str, hint: &str) -> CommandLine {
        self.options.optopt("", name, help, hint);
        self
    }

    /// Adds an option that takes a value and may be repeated.
    pub fn with_values(mut self, name: &str, help: &str, hint: &str) -> CommandLine {
        self.options.optmulti("", name, help, hint);
        self
    }

    /// Adds an option without a value.
    pub fn with_flag(mut self, name: &str, help: &str) -> CommandLine {
        self.options.optflag("", name, help);
        self
    }

    /// Parses the process arguments, runs the tool and maps its result to an exit code.
    pub fn run<C>(
        &self,
        parse: impl FnOnce(&Matches) -> Result<C>,
        tool: impl FnOnce(&C, &mut dyn Write) -> Result<bool>,
    ) -> ExitCode {
        let mut stdout = std::io::stdout().lock();
        match self.execute(parse, tool, &mut stdout) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(EXIT_FAILURE),
            Err(fault) => {
                // A failed write to standard error can't be reported anywhere.
                let _ = writeln!(std::io::stderr(), "{}: {fault}", self.name);
                ExitCode::from(exit_code(fault.code))
            }
        }
    }

    fn execute<C>(
        &self,
        parse: impl FnOnce(&Matches) -> Result<C>,
        tool: impl FnOnce(&C, &mut dyn Write) -> Result<bool>,
        stdout: &mut dyn Write,
    ) -> Result<bool> {
        let matches = self.options.parse(std::env::args().skip(1)).map_err(usage)?;
        let text = if matches.opt_present("help") {
            self.options.usage(&format!("Usage: {} {}", self.name, self.usage))
        } else if matches.opt_present("version") {
            format!("{} {}\n", self.name, env!("CARGO_PKG_VERSION"))
        } else {
            return tool(&parse(&matches)?, stdout);
        };
        stdout.write_all(text.as_bytes()).map_err(output_failed)?;
        Ok(true)
    }
}

/// Maps an error code to an exit code.
fn exit_code(code: Code) -> u8 {
    match code {
        Code::UsageInvalid | Code::InputUnreadable | Code::InputInvalid => EXIT_USAGE,
        _ => EXIT_FAILURE,
    }
}

/// Error for an invalid command line.
pub fn usage(detail: impl Display) -> Fault {
    Fault::new(Code::UsageInvalid).with_detail(detail)
}

/// Error for output that could not be written.
pub fn output_failed(detail: impl Display) -> Fault {
    Fault::new(Code::OutputFailed).with_detail(detail)
}

/// Parses the value of an option. Returns `None` if the option is absent.
pub fn value<T: FromStr>(matches: &Matches, option: &str) -> Result<Option<T>>
where
    T::Err: Display,
{
    matches.opt_str(option).map(|text| parse_value(option, &text)).transpose()
}

/// Parses all values of a repeatable option.
pub fn values<T: FromStr>(matches: &Matches, option: &str) -> Result<Vec<T>>
where
    T::Err: Display,
{
    matches.opt_strs(option).iter().map(|text| parse_value(option, text)).collect()
}

fn parse_value<T: FromStr>(option: &str, text: &str) -> Result<T>
where
    T::Err: Display,
{
    text.parse().map_err(|e| usage(format!("--{option}: found {text:?}: {e}")))
}

/// Parses an option with a fixed set of values. The first choice is the default.
pub fn choice<T: Copy>(matches: &Matches, option: &str, choices: &[(&str, T)]) -> Result<T> {
    let Some(text) = matches.opt_str(option) else {
        return Ok(choices[0].1);
    };
    let found = choices.iter().find(|(name, _)| *name == text);
    found.map(|(_, choice)| *choice).ok_or_else(|| {
        let allowed: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        usage(format!("--{option}: found {text:?}, allowed {}", allowed.join(", ")))
    })
}

/// Rejects positional arguments.
pub fn no_arguments(matches: &Matches) -> Result<()> {
    match matches.free.first() {
        Some(extra) => Err(usage(format!("unexpected argument {extra:?}"))),
        None => Ok(()),
    }
}
