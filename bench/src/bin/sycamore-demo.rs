//! `sycamore-demo`: runs a deployment under load and faults, and checks what came of it.
//! `scripts/demo.sh` builds everything and starts it.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use sycamore_bench::demo::plan::Demo;
use sycamore_bench::demo::report::Report;
use sycamore_bench::stack::Stack;
use sycamore_standins::example::{self, COOPERATIVE, Deployment, FRANCHISE_OFFICE};

/// Demonstrations of one deployment that can run on one machine at once.
const MAX_AT_ONCE: u8 = 8;

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
    let interrupted = watch_signals()?;
    let stack = open(deployment, &output)?;
    let (evidence, seen) = Demo::new(stack, interrupted).run()?;
    let report = Report::new(deployment.name, &evidence, seen.control_bytes());
    println!("\n{report}\ntime line: target/demo/timeline.svg");
    println!("{}", serde_json::to_string(&report)?);
    Ok(report.violations.none())
}

/// Opens the example, or the same deployment on other addresses if its own are in use by another
/// demonstration.
fn open(deployment: Deployment, output: &Path) -> io::Result<Stack> {
    let example = Path::new("examples").join(deployment.name);
    let networks = deployment.network..deployment.network + MAX_AT_ONCE;
    let candidates = networks.map(|network| Deployment { network, ..deployment });
    let free = |found: &Deployment| TcpListener::bind(found.platform_control()).is_ok();
    let Some(found) = candidates.into_iter().find(free) else {
        return Err(io::ErrorKind::AddrInUse.into());
    };
    if found.network == deployment.network {
        return Stack::new(found, &example, output);
    }
    println!("addresses of the example are in use; 127.{}.0.0 is taken", found.network);
    let files = output.join("files");
    example::write(&found, &files)?;
    std::fs::copy(example.join("load.json"), files.join("load.json"))?;
    Stack::new(found, &files, output)
}

/// Is set at Ctrl-C or SIGTERM, so that the run ends and drops, and so kills, what it started.
fn watch_signals() -> io::Result<Arc<AtomicBool>> {
    let interrupted = Arc::new(AtomicBool::new(false));
    let set = interrupted.clone();
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    std::thread::spawn(move || {
        async_io::block_on(signals.next());
        set.store(true, Ordering::Release);
    });
    Ok(interrupted)
}
