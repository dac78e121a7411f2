//! Command lines: the options that every tool has, and the exit codes that scripts rely on.

use getopts::{Matches, Options};
use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;
use sycamore_core::{Code, Fault, Result};

/// Exit code of a run whose answer is no: a document refused, a fleet behind, an output not
/// written.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code of a command line or input file that is not valid: the question was not answered.
pub const EXIT_USAGE: u8 = 2;

/// The options of one tool.
#[derive(Debug)]
pub struct CommandLine {
    name: &'static str,
    usage: &'static str,
    options: Options,
}

impl CommandLine {
    /// A command line with `--help` and `--version`. `usage` is what follows the name on the
    /// first line of the help.
    pub fn new(name: &'static str, usage: &'static str) -> CommandLine {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        CommandLine { name, usage, options }
    }

    /// The same with an option that takes a value and stands at most once.
    pub fn with_value(mut self, name: &str, help: &str, hint: &str) -> CommandLine {
        self.options.optopt("", name, help, hint);
        self
    }

    /// The same with an option that takes a value and may stand many times.
    pub fn with_values(mut self, name: &str, help: &str, hint: &str) -> CommandLine {
        self.options.optmulti("", name, help, hint);
        self
    }

    /// The same with an option that takes no value.
    pub fn with_flag(mut self, name: &str, help: &str) -> CommandLine {
        self.options.optflag("", name, help);
        self
    }

    /// Parses the process's arguments, runs the tool and turns its answer into an exit code.
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
                // Standard error is the last place left to report to.
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

/// The exit code for a run that ended with a failure.
fn exit_code(code: Code) -> u8 {
    match code {
        Code::UsageInvalid | Code::InputUnreadable | Code::InputInvalid => EXIT_USAGE,
        _ => EXIT_FAILURE,
    }
}

/// A command line that is not valid.
pub fn usage(detail: impl Display) -> Fault {
    Fault::new(Code::UsageInvalid).with_detail(detail)
}

/// Output that can't be written.
pub fn output_failed(detail: impl Display) -> Fault {
    Fault::new(Code::OutputFailed).with_detail(detail)
}

/// The value of an option, parsed; `None` if the option is absent.
pub fn value<T: FromStr>(matches: &Matches, option: &str) -> Result<Option<T>>
where
    T::Err: Display,
{
    matches.opt_str(option).map(|text| parse_value(option, &text)).transpose()
}

/// Every value of an option, parsed.
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

/// One of a closed set of values of an option; the first is the default.
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

/// Refuses arguments that are no option's value.
pub fn no_arguments(matches: &Matches) -> Result<()> {
    match matches.free.first() {
        Some(extra) => Err(usage(format!("unexpected argument {extra:?}"))),
        None => Ok(()),
    }
}
