//! `sycamore-demo`: runs a deployment under load and faults, and checks what came of it.
//! `scripts/demo.sh` builds everything and starts it.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use sycamore_bench::demo::plan::Demo;
use sycamore_bench::demo::report::Report;
use sycamore_bench::process;
use sycamore_bench::stack::{Claim, Stack};
use sycamore_standins::example::{self, COOPERATIVE, Deployment, FRANCHISE_OFFICE};

/// Exit code of a command line that is not valid.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_else(|| FRANCHISE_OFFICE.name.into());
    let found = [FRANCHISE_OFFICE, COOPERATIVE].into_iter().find(|found| found.name == name);
    let Some(deployment) = found else {
        eprintln!("Usage: scripts/demo.sh [franchise-office|cooperative]");
        return ExitCode::from(USAGE);
    };
    match run(deployment) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the demonstration did not finish: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(deployment: Deployment) -> io::Result<bool> {
    let output = PathBuf::from("target/demo");
    // Output of an earlier run would be taken for this one's.
    match std::fs::remove_dir_all(&output) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    process::end_on_signals()?;
    let stack = open(deployment, &output)?;
    let (evidence, seen) = Demo::new(stack).run()?;
    let report = Report::new(deployment.name, &evidence, seen.control_bytes());
    println!("\n{report}\ntime line: target/demo/timeline.svg");
    println!("{}", serde_json::to_string(&report)?);
    Ok(report.violations.none())
}

/// Opens the example, or the same deployment on other addresses if its own are in use by another
/// demonstration.
fn open(deployment: Deployment, output: &Path) -> io::Result<Stack> {
    let example = Path::new("examples").join(deployment.name);
    let claim = Claim::new(deployment)?;
    let found = claim.deployment;
    if found.network == deployment.network {
        return Ok(Stack::new(found, &example, output)?.with_claim(claim));
    }
    println!("addresses of the example are in use; 127.{}.0.0 is taken", found.network);
    let files = output.join("files");
    example::write(&found, &files)?;
    std::fs::copy(example.join("load.json"), files.join("load.json"))?;
    Ok(Stack::new(found, &files, output)?.with_claim(claim))
}
