//! `sycamore-lab`: simulates load on the call path's decision logic and measures the effect of each
//! mechanism.

use getopts::{Matches, Options};
use std::path::PathBuf;
use std::process::ExitCode;
use sycamore_bench::lab::report::{self, Report};
use sycamore_bench::lab::trial::{self, Trial};
use sycamore_bench::lab::{Scenario, Tally, bound, plot};
use sycamore_core::call::Policy;
use sycamore_core::call::policy::Mechanism;
use sycamore_core::{Code, Fault, Result};

/// Exit code for an invalid command line or scenario.
const EXIT_USAGE: u8 = 2;

const BRIEF: &str = "Usage: sycamore-lab run|compare|ablate|bound SCENARIO... [options]

Simulates scenarios (examples/lab/*.json) in virtual time with the decision logic of the nodes.
run      results seen by callers, averaged over the seeds; --svg plots the first seed
compare  compares the default policy with --without and --set on the same seeds
ablate   disables each mechanism in turn on the same seeds
bound    lower bound of traffic between zones and upper bound of goodput
Tables go to standard output, progress to standard error. Runs with the same seed are identical.
Exit code: 0 success, 2 invalid command line or scenario.";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("sycamore-lab: {fault}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Parsed command line.
struct Config {
    scenarios: Vec<PathBuf>,
    policy: Policy,
    seeds: (u64, u64),
    // Mechanisms to disable in turn.
    parts: Vec<Mechanism>,
    jobs: usize,
    seconds: Option<f64>,
    json: bool,
    svg: Option<PathBuf>,
}

fn run(args: &[String]) -> Result<()> {
    let options = options();
    let matches = options.parse(args).map_err(usage)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return Ok(());
    }
    let Some((command, files)) = matches.free.split_first() else {
        return Err(usage("missing command; see --help"));
    };
    let cfg = Config::new(&matches, files)?;
    for path in &cfg.scenarios {
        let mut scenario = Scenario::read(path)?;
        if let Some(seconds) = cfg.seconds {
            scenario.shorten(seconds)?;
        }
        match command.as_str() {
            "run" => simulate(&cfg, scenario)?,
            "compare" => compare(&cfg, scenario)?,
            "ablate" => ablate(&cfg, scenario)?,
            "bound" => print!("{}", report::bounds_table(&bound::bound(&scenario))),
            other => return Err(usage(format!("unknown command {other}; see --help"))),
        }
    }
    Ok(())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "seeds", "range of seeds, end exclusive (default: 1..4)", "A..B");
    options.optmulti("", "without", "disable a mechanism; may be repeated", "NAME");
    options.optmulti("", "only", "ablate: disable only this mechanism; may be repeated", "NAME");
    options.optmulti(
        "",
        "set",
        "override a policy value, such as late-wait-percent=300; may be repeated",
        "NAME=N",
    );
    options.optopt("", "jobs", "number of parallel runs (default: half of the CPUs)", "N");
    options.optopt("", "seconds", "end each run after this many seconds of modelled time", "S");
    options.optflag("", "json", "run: print JSON");
    options.optopt("", "svg", "run: write a plot to this file", "FILE");
    options
}

impl Config {
    fn new(matches: &Matches, files: &[String]) -> Result<Config> {
        if files.is_empty() {
            return Err(usage("missing scenario file; see --help"));
        }
        let mut policy = Policy::new();
        for name in matches.opt_strs("without") {
            policy = policy.without(parse_mechanism(&name)?);
        }
        for text in matches.opt_strs("set") {
            let (name, value) =
                text.split_once('=').ok_or_else(|| usage("--set requires NAME=N"))?;
            let value: u64 = value.parse().map_err(usage)?;
            policy = policy.with_value(name, value).ok_or_else(|| {
                usage(format!(
                    "unknown policy value {name}; expected one of {}",
                    Policy::VALUES.join(", ")
                ))
            })?;
        }
        let mut parts = matches
            .opt_strs("only")
            .iter()
            .map(|name| parse_mechanism(name))
            .collect::<Result<Vec<_>>>()?;
        if parts.is_empty() {
            parts = Mechanism::ALL.to_vec();
        }
        let default_jobs =
            std::thread::available_parallelism().map_or(1, |all| all.get().div_ceil(2));
        let jobs = matches.opt_get_default("jobs", default_jobs).map_err(usage)?;
        Ok(Config {
            scenarios: files.iter().map(PathBuf::from).collect(),
            policy,
            seeds: parse_seeds(&matches.opt_str("seeds").unwrap_or_else(|| "1..4".to_owned()))?,
            parts,
            jobs,
            seconds: matches.opt_get("seconds").map_err(usage)?,
            json: matches.opt_present("json"),
            svg: matches.opt_str("svg").map(PathBuf::from),
        })
    }

    fn trial(&self, scenario: Scenario) -> Trial {
        Trial::new(scenario).with_seeds(self.seeds.0, self.seeds.1).with_jobs(self.jobs)
    }
}

/// Parses a seed range into the first seed and the count.
fn parse_seeds(text: &str) -> Result<(u64, u64)> {
    let invalid = || usage(format!("--seeds {text}: expected a non-empty range such as 1..4"));
    let (first, end) = text.split_once("..").ok_or_else(invalid)?;
    let (first, end): (u64, u64) =
        (first.parse().map_err(|_| invalid())?, end.parse().map_err(|_| invalid())?);
    if first < end { Ok((first, end - first)) } else { Err(invalid()) }
}

fn parse_mechanism(name: &str) -> Result<Mechanism> {
    serde_json::from_value(name.into()).map_err(|_| {
        let label = |part: &Mechanism| serde_json::to_string(part).unwrap_or_default();
        let known: Vec<String> = Mechanism::ALL.iter().map(label).collect();
        usage(format!("unknown mechanism {name}; expected one of {}", known.join(", ")))
    })
}

fn simulate(cfg: &Config, scenario: Scenario) -> Result<()> {
    let trial = cfg.trial(scenario).with_policy(cfg.policy.clone());
    let runs = trial.run(progress(&trial.scenario))?;
    let scenario = &trial.scenario;
    let bound = bound::bound(scenario);
    if let (Some(path), Some(first)) = (&cfg.svg, runs.first()) {
        plot::draw(scenario, first, path)?;
    }
    if cfg.json {
        return print_json(&Report {
            scenario: &scenario.name,
            nodes: scenario.nodes(),
            seeds: cfg.seeds,
            runs: &runs,
            bound: &bound,
        });
    }
    println!("{}", report::runs_table(scenario, &runs, &bound));
    print!("{}", report::traffic_table(scenario, &runs));
    Ok(())
}

fn print_json(report: &Report<'_>) -> Result<()> {
    let text = serde_json::to_string(report).map_err(|e| {
        Fault::new(Code::OutputFailed).with_location("standard output").with_detail(e)
    })?;
    println!("{text}");
    Ok(())
}

fn compare(cfg: &Config, scenario: Scenario) -> Result<()> {
    let baseline = cfg.trial(scenario);
    let before: Vec<Tally> = baseline.run(progress(&baseline.scenario))?;
    let changed = baseline.clone().with_policy(cfg.policy.clone());
    let after = changed.run(progress(&baseline.scenario))?;
    println!("{}\n\n{}", baseline.scenario.name, report::comparison_table(&before, &after));
    Ok(())
}

fn ablate(cfg: &Config, scenario: Scenario) -> Result<()> {
    let trial = cfg.trial(scenario).with_policy(cfg.policy.clone());
    let rows = trial::ablate(&trial, &cfg.parts, |part| {
        eprintln!("{}: without {part:?}", trial.scenario.name)
    })?;
    println!("{}", report::ablation_table(&trial.scenario, &rows));
    Ok(())
}

fn progress(scenario: &Scenario) -> impl FnMut(u64) {
    let name = scenario.name.clone();
    move |seed| eprintln!("{name}: seed {seed} done")
}

fn usage(detail: impl std::fmt::Display) -> Fault {
    Fault::new(Code::UsageInvalid).with_location("command line").with_detail(detail)
}
