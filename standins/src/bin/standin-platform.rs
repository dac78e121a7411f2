//! `standin-platform`: simulates the platform's configuration service in tests and demonstrations.

use getopts::Options;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use sycamore_standins::command::{self, run_error, usage_error};
use sycamore_standins::platform::{Platform, PlatformConfig, Store};

/// Call limit of the users' platform.
const MAX_CALLS_PER_SECOND: u64 = 2_000;

fn main() -> ExitCode {
    match start() {
        Ok(platform) => {
            async_io::block_on(platform.run());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn start() -> Result<Platform, ExitCode> {
    let mut options = Options::new();
    options.optmulti("l", "listen", "address that serves reads; may be repeated", "IP:PORT");
    options.optopt("c", "control", "address of the control port", "IP:PORT");
    options.optopt("d", "values", "directory with the initial values", "DIRECTORY");
    options.optopt(
        "m",
        "max-calls-per-second",
        "further calls get status 429 (default: 2000)",
        "N",
    );
    let matches = command::parse(options, "Usage: standin-platform [options]")?;
    let listen: Result<Vec<SocketAddr>, _> =
        matches.opt_strs("listen").iter().map(|text| text.parse()).collect();
    let control = matches.opt_get_default("control", SocketAddr::from(([127, 0, 0, 1], 0)));
    let max_calls = matches.opt_get_default("max-calls-per-second", MAX_CALLS_PER_SECOND);
    let store = match matches.opt_str("values") {
        Some(directory) => Store::read_directory(Path::new(&directory)).map_err(run_error)?,
        None => Store::new(),
    };
    let cfg = PlatformConfig {
        listen: listen.map_err(usage_error)?,
        control: control.map_err(usage_error)?,
        max_calls_per_second: max_calls.map_err(usage_error)?,
        store,
    };
    Platform::bind(cfg).map_err(run_error)
}
