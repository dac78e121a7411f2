//! `sycamore-process-history`: histories over real processes under random faults, from seeds.

use getopts::Options;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use sycamore_bench::process_history::Trial;

/// Exit code of a command line that is not valid.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed; 1 by default", "N");
    options.optopt("", "seeds", "how many seeds; 1 by default", "N");
    options.optopt("", "seconds", "how long faults go on; 15 by default", "N");
    options.optflag("", "print", "print the faults of each seed");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if !matches.opt_present("help") => matches,
        _ => {
            eprintln!("{}", options.usage("Usage: sycamore-process-history [options]"));
            return ExitCode::from(USAGE);
        }
    };
    let number = |name, default| matches.opt_get_default(name, default);
    let (Ok(first), Ok(seeds), Ok(seconds)) =
        (number("seed", 1), number("seeds", 1), number("seconds", 15))
    else {
        eprintln!("--seed, --seeds and --seconds are whole numbers");
        return ExitCode::from(USAGE);
    };
    let print = matches.opt_present("print");
    let sound = (first..first + seeds).filter(|seed| match run(*seed, seconds, print) {
        Ok(sound) => sound,
        Err(e) => {
            eprintln!("seed {seed} did not finish: {e}");
            false
        }
    });
    let sound = sound.count() as u64;
    println!("{sound} of {seeds} seeds broke no rule");
    if sound == seeds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run(seed: u64, seconds: u64, print: bool) -> io::Result<bool> {
    let output = Path::new("target/process-history").join(seed.to_string());
    let trial = Trial { seed, span: Duration::from_secs(seconds), output };
    let finding = trial.run()?;
    let violations = serde_json::to_string(&finding.violations)?;
    println!("seed {seed}: {} calls, {violations}", finding.calls);
    if print {
        finding.faults.iter().for_each(|fault| println!("  {fault}"));
    }
    Ok(finding.violations.none())
}
