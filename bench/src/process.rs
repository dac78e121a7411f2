//! Processes that a bench starts, and ends by their ids.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use rustix::process::{Pid, kill_process};
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(20);

/// Exit code after a signal.
const INTERRUPTED: i32 = 130;

/// Ids of the processes that were started here and have not been waited for.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// From now on Ctrl-C and SIGTERM kill, by their ids, all processes that were started here, and
/// then end this one. Without it a bench that is stopped would leave its processes behind.
pub fn end_on_signals() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    std::thread::spawn(move || {
        async_io::block_on(signals.next());
        // Held until the end, so that nothing more is started.
        let running = running();
        running.iter().for_each(|id| send_signal(*id, rustix::process::Signal::KILL));
        std::process::exit(INTERRUPTED);
    });
    Ok(())
}

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

fn send_signal(id: u32, signal: rustix::process::Signal) {
    if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        // One that has ended already needs no more.
        let _ = kill_process(pid, signal);
    }
}

/// A process that is killed if it still runs when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Starts the programs that were built together with this one.
#[derive(Clone, Debug)]
pub struct Launcher {
    programs: PathBuf,
    logs: PathBuf,
}

impl Launcher {
    /// A launcher that writes what the programs say to files in `logs`.
    pub fn new(logs: &Path) -> io::Result<Launcher> {
        std::fs::create_dir_all(logs)?;
        let own = std::env::current_exe()?;
        let directory = own.parent().unwrap_or(Path::new("."));
        // Cargo puts tests one directory below the programs.
        let is_test = directory.ends_with("deps");
        let programs = directory.parent().filter(|_| is_test).unwrap_or(directory).to_path_buf();
        Ok(Launcher { programs, logs: logs.to_path_buf() })
    }

    /// Starts a program; its output goes to the file `log`, after what is there.
    pub fn start(&self, program: &str, args: &[&str], log: &str) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(self.logs.join(log))?;
        let mut running = running();
        let child = Command::new(self.programs.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{program}: {e}")))?;
        running.insert(child.id());
        Ok(Process { child })
    }
}

impl Process {
    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        send_signal(self.child.id(), rustix::process::Signal::TERM);
    }

    /// Stops it from running, until [`Process::resume`].
    pub fn pause(&self) {
        send_signal(self.child.id(), rustix::process::Signal::STOP);
    }

    /// Lets it run again.
    pub fn resume(&self) {
        send_signal(self.child.id(), rustix::process::Signal::CONT);
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let mut running = running();
        // One that has ended already needs no more.
        let _ = self.child.kill();
        let _ = self.child.wait();
        running.remove(&self.child.id());
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        let mut running = running();
        let ended = !matches!(self.child.try_wait(), Ok(None));
        if ended {
            running.remove(&self.child.id());
        }
        ended
    }

    /// Waits for its end; returns false if it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while !self.ended() {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(POLL);
        }
        true
    }

    /// Exit code, if it has ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok()??.code()
    }

    /// Its resident memory in KiB, and the processor time that it has used.
    pub fn usage(&self) -> Usage {
        Usage::read(self.child.id()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory.
    pub memory_kib: u64,
    /// Processor time since its start.
    pub processor: Duration,
}

/// Length of a tick of processor time in `/proc`, the same on every Linux architecture.
const TICK: Duration = Duration::from_millis(10);

impl Usage {
    fn read(pid: u32) -> Option<Usage> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kib = memory.split_whitespace().next()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name, in brackets, may hold spaces; user and system time are fields 14 and 15.
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        let ticks = |field: usize| fields.get(field - 3)?.parse::<u32>().ok();
        Some(Usage { memory_kib, processor: TICK * (ticks(14)? + ticks(15)?) })
    }
}
