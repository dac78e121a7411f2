//! Starts a small deployment of the project's own programs on loopback addresses, with stand-ins of the
//! store, the backends and the clients, and plays one case of the review.
//!
//! Usage: harness CASE ROOT RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod backend;
mod born;
mod client;
mod endless;
mod net;
mod node;
mod store;
mod weights;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run: one line for what was sent, answered and run, with the time in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

fn main() {
    std::process::exit(match run() {
        Ok(broken) => i32::from(broken),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            2
        }
    });
}

fn run() -> Result<bool, String> {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        return Err("usage: harness CASE ROOT RECORD".to_owned());
    };
    let root = std::fs::canonicalize(root).map_err(|e| e.to_string())?;
    let record = Record::create(Path::new(record)).map_err(|e| e.to_string())?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let result = match case.as_str() {
        "endless" => endless::play(&root, &folder, &record, trouble),
        "born" => born::play(&root, &folder, &record, trouble),
        "weights" => weights::play(&root, &folder, &record, trouble),
        other => Err(format!("no case {other}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    let broken = result?;
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}
