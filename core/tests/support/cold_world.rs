//! A target with cold starts, its gatekeeper, and steady load, in simulated time.

use super::support::{self, name};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::gatekeeper::{Input, Output, RunEnd, TICK};
use sycamore_core::call::{CallKey, Gatekeeper, Statement};
use sycamore_core::config::Snapshot;

const START: Time = Time(1_700_000_000_000_000);

/// How long the target is cold after a start.
pub const COLD_MS: u64 = 3_000;

/// Starts in a second that the gatekeeper allows, and requests in a second that the target tolerates.
const COLD_STARTS: u64 = 17;
pub const ALLOWED: usize = 19;

const RUN_MS: u64 = 80;
const REQUEST_INTERVAL_MS: u64 = 8;
const TIMEOUT_MS: u64 = 1_500;

/// When an entry of a new process reaches the gatekeeper.
const ENTRY_DELAY_MS: u64 = 150;

/// How long a crashed target is down.
pub const DOWN_MS: u64 = 400;

/// From the start of the gatekeeper to its first version, and from a probe to its response.
const VERSION_DELAY_MS: u64 = 60;
const PROBE_DELAY_MS: u64 = 3;

/// After this time between its slot and its connection, a request asks again whether it may be sent.
const LATE_SEND_MS: u64 = 100;

#[derive(Clone, Copy)]
struct Process {
    number: u64,
    id: u64,
    started: u64,
    cold_until: u64,
}

/// What a call waits for.
#[derive(Clone, Copy)]
enum Stage {
    Connecting {
        until: u64,
    },
    /// Its slot was granted at `granted`; it is sent once sends are not paused.
    Sending {
        granted: u64,
    },
    Running {
        until: u64,
        process: u64,
    },
}

pub struct World {
    gatekeeper: Option<Gatekeeper>,
    now: u64,
    process: Process,
    up: bool,
    // Whether the gatekeeper has seen the end of the previous process, and from when on it can know
    // the current one.
    end_seen: bool,
    told_at: u64,
    answers_probes: bool,
    connection_delay: u64,
    sends_paused_until: u64,
    calls: u64,
    stages: IndexMap<CallKey, Stage>,
    // What reached a cold process, with its number, health requests included, and the requests that
    // reached any process.
    cold_arrivals: Vec<(u64, u64)>,
    arrivals: Vec<u64>,
    version: u64,
    configure_at: Option<u64>,
    probe_answer_at: Option<u64>,
    gatekeeper_starts_at: Option<u64>,
    target_returns_at: Option<(u64, bool)>,
}

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

impl World {
    /// A warm target whose gatekeeper has run for a while.
    pub fn new() -> World {
        let process = Process { number: 1, id: 1, started: 1, cold_until: 0 };
        let mut world = World {
            gatekeeper: None,
            now: 0,
            process,
            up: true,
            end_seen: false,
            told_at: 0,
            answers_probes: true,
            connection_delay: 0,
            sends_paused_until: 0,
            calls: 0,
            stages: IndexMap::new(),
            cold_arrivals: Vec::new(),
            arrivals: Vec::new(),
            version: 0,
            configure_at: None,
            probe_answer_at: None,
            gatekeeper_starts_at: Some(0),
            target_returns_at: None,
        };
        world.advance(5_000);
        world
    }

    pub fn set_connection_delay(&mut self, ms: u64) {
        self.connection_delay = ms;
    }

    pub fn set_answers_probes(&mut self, answers: bool) {
        self.answers_probes = answers;
    }

    /// Requests that get a slot are sent this much later at most.
    pub fn pause_sends(&mut self, ms: u64) {
        self.sends_paused_until = self.now + ms;
    }

    pub fn crash_target(&mut self) {
        self.up = false;
        self.target_returns_at = None;
        let running: Vec<CallKey> = self.running().collect();
        self.end_seen = !running.is_empty();
        for call in running {
            self.stages.swap_remove(&call);
            let end = RunEnd::Broken { target_gone: true };
            self.input(Input::End { call, end });
        }
    }

    /// Starts the next process of the target.
    pub fn return_target(&mut self, new_id: bool) {
        let Process { number, id, .. } = self.process;
        let (number, id) = (number + 1, id + u64::from(new_id));
        let cold_until = self.now + COLD_MS;
        self.process = Process { number, id, started: self.now, cold_until };
        self.up = true;
        self.target_returns_at = None;
        let entry_at = self.now + ENTRY_DELAY_MS;
        self.told_at = if self.end_seen { self.now } else { entry_at };
        self.configure_at = Some(entry_at);
    }

    /// The target crashes, and returns after a while.
    pub fn restart_target(&mut self, new_id: bool) {
        self.crash_target();
        self.target_returns_at = Some((self.now + DOWN_MS, new_id));
    }

    /// The target restarts between two requests: its gatekeeper learns of it by its entry alone.
    pub fn restart_target_unnoticed(&mut self, new_id: bool) {
        let running: Vec<CallKey> = self.running().collect();
        for call in running {
            self.stages.swap_remove(&call);
            self.input(Input::End { call, end: RunEnd::Answered { cached: None } });
        }
        self.end_seen = false;
        self.return_target(new_id);
    }

    /// Kills the gatekeeper's process, and starts it again after a while.
    pub fn restart_gatekeeper(&mut self, ms: u64) {
        self.gatekeeper = None;
        self.stages.clear();
        (self.configure_at, self.probe_answer_at) = (None, None);
        self.gatekeeper_starts_at = Some(self.now + ms);
    }

    /// Requests that have reached the target.
    pub fn arrivals(&self) -> &[u64] {
        &self.arrivals
    }

    /// Most requests that a cold process got within a second, since its start could be known.
    pub fn most_in_a_second(&self) -> usize {
        let count = |(first, process): &(u64, u64)| {
            let same = self.cold_arrivals.iter().filter(|(_, other)| other == process);
            same.filter(|(at, _)| (*first..first + 1_000).contains(at)).count()
        };
        self.cold_arrivals.iter().map(count).max().unwrap_or(0)
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            self.step();
        }
    }

    fn step(&mut self) {
        if let Some((_, new_id)) = self.target_returns_at.take_if(|(due, _)| *due <= self.now) {
            self.return_target(new_id);
        }
        if self.gatekeeper_starts_at.take_if(|due| *due <= self.now).is_some() {
            let gatekeeper = Gatekeeper::new(name("a"), at(self.now), self.now);
            self.gatekeeper = Some(gatekeeper);
            self.configure_at = Some(self.now + VERSION_DELAY_MS);
        }
        if self.gatekeeper.is_none() {
            return;
        }
        if self.configure_at.take_if(|due| *due <= self.now).is_some() {
            self.version += 1;
            let snapshot = self.snapshot();
            self.input(Input::Configure(snapshot));
        }
        if self.probe_answer_at.take_if(|due| *due <= self.now).is_some()
            && self.up
            && self.answers_probes
        {
            let left = self.process.cold_until.saturating_sub(self.now);
            let cold_left = Some(Duration::from_millis(left));
            self.input(Input::Probed { cold_left, statement: Statement::default() });
        }
        if self.now % TICK.as_millis() as u64 == 0 {
            self.input(Input::Tick);
        }
        if self.now % REQUEST_INTERVAL_MS == 0 {
            self.arrive();
        }
        self.progress();
    }

    /// Moves each call on whose time has come.
    fn progress(&mut self) {
        let stages: Vec<_> = self.stages.iter().map(|(call, stage)| (*call, *stage)).collect();
        for (call, stage) in stages {
            match stage {
                Stage::Connecting { until } if until <= self.now => {
                    self.input(Input::Connected(call));
                }
                Stage::Sending { granted } if self.sends_paused_until <= self.now => {
                    self.send(call, granted);
                }
                Stage::Running { until, process }
                    if until <= self.now && process == self.process.number =>
                {
                    self.stages.swap_remove(&call);
                    self.input(Input::End { call, end: RunEnd::Answered { cached: None } });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, call: CallKey, granted: u64) {
        if !self.up {
            self.end_seen = true;
            self.stages.swap_remove(&call);
            return self.input(Input::End { call, end: RunEnd::NotSent });
        }
        if granted + LATE_SEND_MS < self.now {
            return self.input(Input::Connected(call));
        }
        self.record_arrival();
        let stage = Stage::Running { until: self.now + RUN_MS, process: self.process.number };
        self.stages.insert(call, stage);
    }

    fn record_arrival(&mut self) {
        let Process { number, cold_until, .. } = self.process;
        self.arrivals.push(self.now);
        if self.now < cold_until && self.now >= self.told_at {
            self.cold_arrivals.push((self.now, number));
        }
    }

    fn running(&self) -> impl Iterator<Item = CallKey> {
        let running =
            self.stages.iter().filter(|(_, stage)| matches!(stage, Stage::Running { .. }));
        running.map(|(call, _)| *call)
    }

    fn arrive(&mut self) {
        self.calls += 1;
        let call = CallKey(self.calls);
        let arrival = support::arrival(call, "/r", at(self.now + TIMEOUT_MS));
        self.input(Input::Arrive(arrival));
    }

    fn input(&mut self, input: Input<'_>) {
        let mut out = Vec::new();
        if let Some(gatekeeper) = &mut self.gatekeeper {
            gatekeeper.handle(at(self.now), input, &mut out);
        }
        for output in out {
            match output {
                Output::Run { call, .. } => self.run(call),
                Output::Reject { call, .. } => {
                    self.stages.swap_remove(&call);
                }
                Output::Probe if !self.up => self.input(Input::ProbeRefused),
                Output::Probe => {
                    self.record_arrival();
                    self.arrivals.pop();
                    self.probe_answer_at = Some(self.now + PROBE_DELAY_MS);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, call: CallKey) {
        let known = self.stages.contains_key(&call);
        if self.connection_delay == 0 || known {
            self.stages.insert(call, Stage::Sending { granted: self.now });
            return;
        }
        self.input(Input::Connecting(call));
        let until = self.now + self.connection_delay;
        self.stages.insert(call, Stage::Connecting { until });
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        let Process { id, started, cold_until, .. } = self.process;
        let cold = self.now < cold_until;
        let limits = format!(
            r#"{{"slots":9,"queue":64,"queue_wait_ms":3000,"cold_ms":{COLD_MS},
            "cold_starts":{COLD_STARTS},"health_path":"/health"}}"#
        );
        let target = format!(
            r#"{{"vm":"a","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9",
            "incarnation":"i-{id}","started_ms":{started},"cold":{cold}}}"#
        );
        let services = format!(r#"{{"s":{{"limits":{limits},"targets":[{target}]}}}}"#);
        let routes = r#"{"r":{"path_prefix":"/r","service":"s","idempotent":true}}"#;
        support::version(self.version, &services, routes)
    }
}
