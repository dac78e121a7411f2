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
const MAX_WAITING: usize = 1_024;

/// Lines of one second; more are dropped and counted. A node serves about a hundred calls a second
/// at the size aimed at, with three lines each.
const MAX_A_SECOND: u64 = 400;

/// How long lines are gathered before they are written in one piece, and up to what size.
const TOGETHER: Duration = Duration::from_millis(50);
const MAX_TOGETHER: usize = 65_536;

/// How long the end of the process waits for lines to be written.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Writes lines from a thread of its own.
///
/// Guards against a log that holds up calls: standard output is a pipe, and whoever writes into
/// one that nobody reads waits for ever. A line that does not fit is dropped; the next one that
/// is written is preceded by how many were.
pub struct Lines {
    format: FormatFunction,
    queue: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
    second: Mutex<Second>,
}

#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

#[derive(Debug)]
struct Second {
    start: Instant,
    lines: u64,
}

impl Lines {
    /// Starts the thread.
    pub fn new(format: FormatFunction) -> Lines {
        let (queue, lines) = sync_channel(MAX_WAITING);
        let counts = Arc::new(Counts::default());
        let written = counts.clone();
        std::thread::spawn(move || write_all(&lines, &written));
        let second = Mutex::new(Second { start: Instant::now(), lines: 0 });
        Lines { format, queue, counts, second }
    }

    fn fits(&self) -> bool {
        let Ok(mut second) = self.second.lock() else {
            return false;
        };
        if second.start.elapsed() >= Duration::from_secs(1) {
            *second = Second { start: Instant::now(), lines: 0 };
        }
        second.lines += 1;
        second.lines <= MAX_A_SECOND
    }
}

impl LogWriter for Lines {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        // What went wrong is written whatever the volume.
        let important = record.level() <= log::Level::Warn;
        if !self.fits() && !important {
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
        let until = Instant::now() + LAST_LINES;
        let waiting = || {
            let queued = self.counts.queued.load(Ordering::Relaxed);
            queued > self.counts.written.load(Ordering::Relaxed)
        };
        while waiting() && Instant::now() < until {
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
fn write_all(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        // More lines come within the pause than would be worth a wake each.
        std::thread::sleep(TOGETHER);
        let mut text = first;
        let mut count = 1;
        while let Some(line) = lines.try_recv().ok().filter(|_| text.len() < MAX_TOGETHER) {
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
