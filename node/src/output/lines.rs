//! Non-blocking, rate-limited writer of log lines to standard output.

use crate::calls::trace::REQUEST_LOG_TARGET;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::Record;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of queued lines; excess lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Maximum number of queued lines at which another line about a request is queued. The rest of the
/// queue is reserved for state changes.
const MAX_QUEUED_BEFORE_REQUEST: u64 = 768;

/// Maximum number of lines per second about requests, and about state changes; excess lines below
/// warning level are dropped and counted. A node is built for about a hundred calls per second,
/// with three lines each.
const MAX_LINES_PER_SECOND: u64 = 400;

/// Delay for collecting lines into a single write, and the maximum size of a batch.
const BATCH_DELAY: Duration = Duration::from_millis(50);
const MAX_BATCH_BYTES: usize = 65_536;

/// Maximum time to wait for queued lines at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes log lines from a background thread.
///
/// Guards against calls that block on logging: a write to a pipe whose reader has stalled never
/// returns. Lines that do not fit the queue are dropped, and their number is written before the
/// next line.
pub struct NonBlockingWriter {
    format: FormatFunction,
    queue: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
    requests: Mutex<RateWindow>,
    state_changes: Mutex<RateWindow>,
}

#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

#[derive(Debug)]
struct RateWindow {
    start: Instant,
    lines: u64,
}

impl NonBlockingWriter {
    /// Starts the writer thread.
    pub fn new(format: FormatFunction) -> NonBlockingWriter {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(Counts::default());
        let written = counts.clone();
        std::thread::spawn(move || run_writer(&lines, &written));
        let (requests, state_changes) = (RateWindow::new(), RateWindow::new());
        NonBlockingWriter { format, queue, counts, requests, state_changes }
    }

    /// Whether a line with this target may be queued. Lines about requests neither use up the rate
    /// nor the whole queue of those about state changes.
    fn may_queue(&self, target: &str, level: log::Level) -> bool {
        let is_request = target == REQUEST_LOG_TARGET;
        let window = if is_request { &self.requests } else { &self.state_changes };
        // Warnings and errors count against the rate, but are not subject to it.
        let in_rate = window.lock().is_ok_and(|mut window| window.count_line());
        let has_room = !is_request || self.counts.pending() < MAX_QUEUED_BEFORE_REQUEST;
        has_room && (in_rate || level <= log::Level::Warn)
    }
}

impl Counts {
    /// Number of lines queued and not yet written.
    fn pending(&self) -> u64 {
        let written = self.written.load(Ordering::Relaxed);
        self.queued.load(Ordering::Relaxed).saturating_sub(written)
    }
}

impl RateWindow {
    fn new() -> Mutex<RateWindow> {
        Mutex::new(RateWindow { start: Instant::now(), lines: 0 })
    }

    /// Counts a line. Returns whether it is within the rate.
    fn count_line(&mut self) -> bool {
        if self.start.elapsed() >= Duration::from_secs(1) {
            *self = RateWindow { start: Instant::now(), lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}

impl LogWriter for NonBlockingWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if !self.may_queue(record.target(), record.level()) {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        match self.queue.try_send(line) {
            Ok(()) => self.counts.queued.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.counts.dropped.fetch_add(1, Ordering::Relaxed),
        };
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.counts.pending() > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Info
    }
}

/// Writes queued lines until the process exits. Write errors are ignored, since there is nowhere
/// left to report them.
fn run_writer(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        // Batches lines to save a wake-up per line.
        std::thread::sleep(BATCH_DELAY);
        let mut text = first;
        let mut count = 1;
        while let Some(line) = lines.try_recv().ok().filter(|_| text.len() < MAX_BATCH_BYTES) {
            text.extend_from_slice(&line);
            count += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "{{\"lines-dropped\":{dropped}}}");
        }
        let _ = out.write_all(&text);
        let _ = out.flush();
        counts.written.fetch_add(count, Ordering::Relaxed);
    }
}
