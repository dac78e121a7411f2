//! What callers asked and were told, a JSON line for each request.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// One request from its invocation to its final outcome. Times are in microseconds since the Unix
/// epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id, the same on each send.
    pub id: String,
    /// Its `Idempotency-Key`, the same on each send; only on requests that run at most once.
    pub key: Option<String>,
    /// Name of its class.
    pub class: String,
    /// When it was due, whether or not the caller was ready then.
    pub invoked_us: u64,
    /// When the caller stops waiting.
    pub deadline_us: u64,
    /// Every time that it was sent.
    pub sends: Vec<Send>,
    /// What the caller knows in the end.
    pub outcome: Outcome,
    /// Result code of the last refusal.
    pub code: Option<u16>,
    /// HTTP status of the last answer.
    pub status: Option<u16>,
    /// Size of the body of the final answer.
    pub bytes: u64,
    /// Whether that body is whole and belongs to this request. False without a final answer.
    pub body_correct: bool,
    /// When the caller knew.
    pub final_us: u64,
}

/// What a caller knows of its request in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It holds the target's answer.
    Answered,
    /// Every send was refused, or never went out.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing was said until well after the deadline.
    None,
}

/// One send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Send {
    /// The entry node.
    pub entry: SocketAddr,
    /// When it went out.
    pub at_us: u64,
    /// When its result was known.
    pub end_us: u64,
    /// How it ended.
    pub result: SendResult,
    /// Result code, if the node gave one.
    pub code: Option<u16>,
}

/// How one send of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendResult {
    /// An answer came whole.
    Answered,
    /// It was refused as not run.
    NotRun,
    /// The node doesn't know whether it ran.
    Unknown,
    /// It never went out: no connection could be made.
    NotSent,
    /// The connection broke before the head of an answer.
    Broken,
    /// The connection broke within the body of an answer.
    BodyCut,
    /// The caller gave up waiting.
    TimedOut,
}

/// A history file that several threads write to.
#[derive(Debug)]
pub struct History {
    file: Mutex<Option<BufWriter<File>>>,
}

impl History {
    /// A history that starts empty at `path`, or one that keeps nothing.
    pub fn new(path: Option<&Path>) -> std::io::Result<History> {
        let file = path.map(File::create).transpose()?;
        Ok(History { file: Mutex::new(file.map(BufWriter::new)) })
    }

    /// Adds a request whose outcome is final.
    pub fn push(&self, record: &Record) {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(file) = file.as_mut() {
            let mut buf = serde_json::to_vec(record).unwrap_or_default();
            buf.push(b'\n');
            // A full disk shows when the history is closed.
            let _ = file.write_all(&buf);
        }
    }

    /// Writes out what is buffered.
    pub fn close(self) -> std::io::Result<()> {
        let file = self.file.into_inner().unwrap_or_else(|e| e.into_inner());
        file.map_or(Ok(()), |mut file| file.flush())
    }
}

/// Reads a history file.
pub fn read(path: &Path) -> std::io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(path)?;
    let records: serde_json::Result<_> = text.lines().map(serde_json::from_str).collect();
    Ok(records?)
}

/// The time now, in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as u64
}
