//! Child processes of benchmarks, and their cleanup.

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

/// Interval for polling whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Exit code after SIGINT or SIGTERM.
const EXIT_INTERRUPTED: i32 = 130;

/// Ids of child processes that have not been reaped.
static CHILD_IDS: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Installs a handler that kills all child processes on SIGINT or SIGTERM and then exits, so that
/// an interrupted benchmark leaves no processes behind.
pub fn kill_children_on_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    std::thread::spawn(move || {
        async_io::block_on(signals.next());
        // The lock is held until exit, so that no further processes are started.
        let child_ids = lock_child_ids();
        child_ids.iter().for_each(|id| send_signal(*id, rustix::process::Signal::KILL));
        std::process::exit(EXIT_INTERRUPTED);
    });
    Ok(())
}

fn lock_child_ids() -> MutexGuard<'static, BTreeSet<u32>> {
    CHILD_IDS.lock().unwrap_or_else(|e| e.into_inner())
}

fn send_signal(id: u32, signal: rustix::process::Signal) {
    if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        // Fails only if the process has already exited.
        let _ = kill_process(pid, signal);
    }
}

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Starts programs from the build directory of the current executable.
#[derive(Clone, Debug)]
pub struct Launcher {
    programs: PathBuf,
    logs: PathBuf,
}

impl Launcher {
    /// Creates a launcher that writes the programs' output to files in `logs`.
    pub fn new(logs: &Path) -> io::Result<Launcher> {
        std::fs::create_dir_all(logs)?;
        let own = std::env::current_exe()?;
        let directory = own.parent().unwrap_or(Path::new("."));
        // Cargo places test executables in a subdirectory of the programs' directory.
        let is_test = directory.ends_with("deps");
        let programs = directory.parent().filter(|_| is_test).unwrap_or(directory).to_path_buf();
        Ok(Launcher { programs, logs: logs.to_path_buf() })
    }

    /// Starts a program and appends its output to the file `log`.
    pub fn start(&self, program: &str, args: &[&str], log: &str) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(self.logs.join(log))?;
        let mut child_ids = lock_child_ids();
        let child = Command::new(self.programs.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{program}: {e}")))?;
        child_ids.insert(child.id());
        Ok(Process { child })
    }
}

impl Process {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        send_signal(self.child.id(), rustix::process::Signal::TERM);
    }

    /// Suspends the process until [`Process::resume`].
    pub fn pause(&self) {
        send_signal(self.child.id(), rustix::process::Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        send_signal(self.child.id(), rustix::process::Signal::CONT);
    }

    /// Kills the process and waits for it.
    pub fn kill(&mut self) {
        let mut child_ids = lock_child_ids();
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        child_ids.remove(&self.child.id());
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let mut child_ids = lock_child_ids();
        let exited = !matches!(self.child.try_wait(), Ok(None));
        if exited {
            child_ids.remove(&self.child.id());
        }
        exited
    }

    /// Waits for the process to exit. Returns false if it is still running after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while !self.has_exited() {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Exit code, if the process has exited and was not terminated by a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok()??.code()
    }

    /// Current resource usage; zero if it cannot be read.
    pub fn usage(&self) -> Usage {
        Usage::read(self.child.id()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory.
    pub memory_kib: u64,
    /// CPU time since the process started.
    pub cpu_time: Duration,
}

/// Unit of CPU time in `/proc`, which is the same on all Linux architectures.
const CLOCK_TICK: Duration = Duration::from_millis(10);

impl Usage {
    fn read(pid: u32) -> Option<Usage> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kib = memory.split_whitespace().next()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The command name, in parentheses, may contain spaces. User and system time are fields 14
        // and 15.
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        let ticks = |field: usize| fields.get(field - 3)?.parse::<u32>().ok();
        Some(Usage { memory_kib, cpu_time: CLOCK_TICK * (ticks(14)? + ticks(15)?) })
    }
}
