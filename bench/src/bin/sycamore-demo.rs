//! `sycamore-demo`: runs a deployment under load and faults and verifies the results.
//! `scripts/demo.sh` builds the programs and runs it.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use sycamore_bench::demo::plan::Demo;
use sycamore_bench::demo::report::Report;
use sycamore_bench::process;
use sycamore_bench::stack::{NetworkClaim, Stack};
use sycamore_standins::example::{self, COOPERATIVE, Deployment, FRANCHISE_OFFICE};

/// Exit code for an invalid command line.
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
            eprintln!("demo failed: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(deployment: Deployment) -> io::Result<bool> {
    let output = PathBuf::from("target/demo");
    // Stale output from an earlier run would be attributed to this one.
    match std::fs::remove_dir_all(&output) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    process::kill_children_on_signal()?;
    let stack = open_stack(deployment, &output)?;
    let (evidence, observations) = Demo::new(stack).run()?;
    let report = Report::new(deployment.name, &evidence, observations.control_bytes());
    println!("\n{report}\ntimeline: target/demo/timeline.svg");
    println!("{}", serde_json::to_string(&report)?);
    Ok(report.violations.is_empty())
}

/// Opens the example deployment, on a different network if another demo is using its addresses.
fn open_stack(deployment: Deployment, output: &Path) -> io::Result<Stack> {
    let example = Path::new("examples").join(deployment.name);
    let claim = NetworkClaim::new(deployment)?;
    let found = claim.deployment;
    if found.network == deployment.network {
        return Ok(Stack::new(found, &example, output)?.with_claim(claim));
    }
    println!("example addresses are in use; using 127.{}.0.0 instead", found.network);
    let files = output.join("files");
    example::write(&found, &files)?;
    std::fs::copy(example.join("load.json"), files.join("load.json"))?;
    Ok(Stack::new(found, &files, output)?.with_claim(claim))
}
