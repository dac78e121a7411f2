//! History of requests and their outcomes, with one JSON line per request.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// One request with all of its attempts. Times are in microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Request ID, the same for all attempts.
    pub id: String,
    /// `Idempotency-Key` of an at-most-once request, the same for all attempts.
    pub key: Option<String>,
    /// Name of the request class.
    pub class: String,
    /// Scheduled send time, even if the first attempt started later.
    pub invoked_us: u64,
    /// Deadline of the request.
    pub deadline_us: u64,
    /// All attempts.
    pub sends: Vec<Send>,
    /// Final outcome.
    pub outcome: Outcome,
    /// Result code of the last attempt, if the node gave one.
    pub code: Option<u16>,
    /// HTTP status of the last response.
    pub status: Option<u16>,
    /// Body size of the final response.
    pub bytes: u64,
    /// Whether that body is complete and belongs to this request; false without a final response.
    pub body_correct: bool,
    /// Time of the final outcome.
    pub final_us: u64,
}

/// Final outcome of a request, as observed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target responded.
    Answered,
    /// Every attempt was refused or not sent.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No response within the grace period after the deadline.
    None,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Send {
    /// Address of the entry node.
    pub entry: SocketAddr,
    /// Start of the attempt.
    pub at_us: u64,
    /// End of the attempt.
    pub end_us: u64,
    pub result: SendResult,
    /// Result code, if the node gave one.
    pub code: Option<u16>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendResult {
    /// A complete response was received.
    Answered,
    /// The node refused the request without running it.
    NotRun,
    /// The node reported that the request may have run.
    Unknown,
    /// The request was not sent because no connection or permit was available.
    NotSent,
    /// The connection broke before the response headers.
    Broken,
    /// The connection broke within the response body.
    BodyCut,
    /// The caller timed out.
    TimedOut,
}

/// Writer of a history file, shared by several threads.
#[derive(Debug)]
pub struct History {
    file: Mutex<Option<BufWriter<File>>>,
}

impl History {
    /// Creates or truncates the file at `path`. Without a path, records are discarded.
    pub fn new(path: Option<&Path>) -> std::io::Result<History> {
        let file = path.map(File::create).transpose()?;
        Ok(History { file: Mutex::new(file.map(BufWriter::new)) })
    }

    /// Appends the record of a finished request.
    pub fn push(&self, record: &Record) {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(file) = file.as_mut() {
            let mut buf = serde_json::to_vec(record).unwrap_or_default();
            buf.push(b'\n');
            // Write errors are ignored here; closing the history reports errors of the final flush.
            let _ = file.write_all(&buf);
        }
    }

    /// Flushes buffered records.
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

/// Current time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as u64
}
