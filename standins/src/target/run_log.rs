//! Log of the requests that targets ran, used to verify the outcomes that callers observed.

use super::Target;
use super::request::Call;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// One line of the run log: the start or the end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Number of the run within its process.
    pub run: u64,
    /// Time in microseconds since the Unix epoch.
    pub at_us: u64,
    pub vm: String,
    /// Request ID.
    pub id: String,
    /// Idempotency key of the request, if any.
    pub key: Option<String>,
    #[serde(rename = "mark")]
    pub event: RunEvent,
}

/// An event in the lifecycle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// The run started.
    Start,
    /// The response was sent completely.
    Completed,
    /// The run ended before its response was complete.
    #[serde(rename = "cut")]
    Aborted,
}

/// Writer of a run log. Clones share the file.
#[derive(Clone, Debug)]
pub struct RunLog {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    file: Option<File>,
    runs: u64,
}

impl RunLog {
    /// Creates or truncates the log file at `path`.
    pub fn create(path: &Path) -> std::io::Result<RunLog> {
        Ok(RunLog::new(Some(File::create(path)?)))
    }

    /// Creates a log that discards its events.
    pub fn discard() -> RunLog {
        RunLog::new(None)
    }

    fn new(file: Option<File>) -> RunLog {
        RunLog { inner: Arc::new(Mutex::new(Inner { file, runs: 0 })) }
    }

    fn next_run(&self) -> u64 {
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.runs += 1;
        inner.runs
    }

    /// Writes one line without buffering, so that it survives a kill of this process.
    fn write(&self, line: &Line) {
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(file) = &mut inner.file {
            let mut buf = serde_json::to_vec(line).unwrap_or_default();
            buf.push(b'\n');
            let _ = file.write_all(&buf);
        }
    }
}

/// A run in progress, which holds a slot until it is dropped.
#[derive(Debug)]
pub struct Run {
    target: Rc<Target>,
    line: Line,
    completed: bool,
}

impl Run {
    /// Records the start of a run that has taken a slot.
    pub(super) fn start(target: Rc<Target>, call: &Call) -> Run {
        let text = |buf: &bytes::Bytes| String::from_utf8_lossy(buf).into_owned();
        let line = Line {
            run: target.log.next_run(),
            at_us: now_us(),
            vm: target.cfg.vm.clone(),
            id: text(&call.id),
            key: call.key.as_ref().map(text),
            event: RunEvent::Start,
        };
        target.log.write(&line);
        Run { target, line, completed: false }
    }

    /// Completes a run whose response has been sent.
    pub(super) fn finish(mut self) {
        self.completed = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.line.event = if self.completed { RunEvent::Completed } else { RunEvent::Aborted };
        self.line.at_us = now_us();
        self.target.log.write(&self.line);
        self.target.state.borrow_mut().free_slot();
    }
}

/// Reads a run log. Skips lines that can't be parsed, such as a last line truncated by a kill.
pub fn read(path: &Path) -> std::io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}

fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as u64
}
