//! `example-maker`: writes the files under `examples/` anew.

use getopts::Options;
use std::path::Path;
use std::process::ExitCode;
use sycamore_standins::command::{self, failed};
use sycamore_standins::example::{COOPERATIVE, Deployment, FRANCHISE_OFFICE, files};

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("d", "directory", "where they go; examples by default", "DIRECTORY");
    let matches = match command::parse(options, "Usage: example-maker [options]") {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let directory = matches.opt_str("directory").unwrap_or_else(|| "examples".into());
    for deployment in [FRANCHISE_OFFICE, COOPERATIVE] {
        if let Err(e) = write(Path::new(&directory), &deployment) {
            return failed(e);
        }
    }
    ExitCode::SUCCESS
}

fn write(directory: &Path, deployment: &Deployment) -> std::io::Result<()> {
    for file in files(deployment) {
        let path = directory.join(deployment.name).join(&file.path);
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent)?;
        }
        std::fs::write(path, file.text)?;
    }
    Ok(())
}
