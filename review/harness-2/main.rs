//! Cases of the second review that can't be put as a day of the bench.
//!
//! Usage: `review-2 CASE FOLDER`, in the repository root. Writes FOLDER/record.txt. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod backend;
mod cold;
mod crashing;
mod evacuated;
mod http;
mod silent;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "silent" => silent::run(Path::new(folder), trouble),
        "evacuated" => evacuated::run(Path::new(folder), trouble),
        "cold" => cold::run(Path::new(folder), trouble),
        "crashing" => crashing::run(Path::new(folder), trouble),
        _ => Err(std::io::Error::other(format!("no case {case}"))),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("review-2: {e}");
            ExitCode::from(2)
        }
    }
}
