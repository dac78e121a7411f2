//! Log lines on their way to standard output, bounded in number and never waited for.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::Record;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines that wait for a reader of standard output that is slow; more are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Lines of one second; more are dropped and counted. A node serves about a hundred calls a second
/// at the size aimed at, with three lines each.
const MAX_LINES_PER_SECOND: u64 = 400;

/// How long lines are gathered before they are written in one piece, and up to what size.
const BATCH_DELAY: Duration = Duration::from_millis(50);
const MAX_BATCH_BYTES: usize = 65_536;

/// How long the end of the process waits for lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes lines from a thread of its own.
///
/// Guards against a log that holds up calls: standard output is a pipe, and whoever writes into
/// one that nobody reads waits for ever. A line that does not fit is dropped; the next one that
/// is written is preceded by how many were.
pub struct NonBlockingWriter {
    format: FormatFunction,
    queue: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
    window: Mutex<RateWindow>,
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
    /// Starts the thread.
    pub fn new(format: FormatFunction) -> NonBlockingWriter {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(Counts::default());
        let written = counts.clone();
        std::thread::spawn(move || run_writer(&lines, &written));
        let window = Mutex::new(RateWindow { start: Instant::now(), lines: 0 });
        NonBlockingWriter { format, queue, counts, window }
    }

    fn within_rate_limit(&self) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window.start.elapsed() >= Duration::from_secs(1) {
            *window = RateWindow { start: Instant::now(), lines: 0 };
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_SECOND
    }
}

impl LogWriter for NonBlockingWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        // What went wrong is written whatever the volume.
        let is_severe = record.level() <= log::Level::Warn;
        if !self.within_rate_limit() && !is_severe {
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
        let has_pending_lines = || {
            let queued = self.counts.queued.load(Ordering::Relaxed);
            queued > self.counts.written.load(Ordering::Relaxed)
        };
        while has_pending_lines() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Info
    }
}

/// Writes until the process ends. Standard output that is closed loses the lines, and nothing
/// else: there is nowhere left to report it to.
fn run_writer(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        // More lines come within the pause than would be worth a wake each.
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
