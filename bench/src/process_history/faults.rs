//! Random faults from a seed, each with its end.

use super::FEWER;
use crate::demo::rules::{Evidence, Publication, Stop};
use crate::stack::{POLL, STOP_LIMIT, Stack};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::io;
use std::time::{Duration, Instant};
use sycamore_standins::platform;
use sycamore_tools::load::history::now_us;

/// Pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..700;
/// How long nodes stay away or paused, in milliseconds; some pauses outlast every deadline.
const AWAY_MS: std::ops::Range<u64> = 200..1_500;
const PAUSED_MS: std::ops::Range<u64> = 300..6_000;
/// How long the platform misbehaves, in milliseconds.
const PLATFORM_MS: std::ops::Range<u64> = 300..2_500;
/// Nodes away or paused at once; more than two zones are never without a node.
const MAX_AWAY: usize = 3;

/// What operators publish.
const PRESETS: [(&str, &str); 4] = [
    ("ordinary", "published/preset/ordinary.json"),
    ("peak", "published/preset/peak.json"),
    ("maintenance", "published/preset/maintenance.json"),
    (FEWER, "fewer.json"),
];

/// The faults of one history.
pub struct Faults<'a> {
    /// What was done, for people.
    pub log: Vec<String>,
    /// The newest valid version published.
    pub version: u64,
    stack: &'a mut Stack,
    evidence: &'a mut Evidence,
    rng: StdRng,
    start: Instant,
    ends: Vec<(Instant, End)>,
    published: u64,
}

/// How a fault ends.
#[derive(Clone, Debug)]
enum End {
    Restart { vm: String, at_us: u64 },
    Resume { vm: String, at_us: u64 },
    HealPlatform,
}

impl End {
    /// The node that is away until then.
    fn vm(&self) -> Option<&String> {
        match self {
            End::Restart { vm, .. } | End::Resume { vm, .. } => Some(vm),
            End::HealPlatform => None,
        }
    }
}

impl<'a> Faults<'a> {
    /// Faults for a deployment that runs.
    pub fn new(seed: u64, stack: &'a mut Stack, evidence: &'a mut Evidence) -> Faults<'a> {
        Faults {
            log: Vec::new(),
            version: 1,
            stack,
            evidence,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            ends: Vec::new(),
            published: 1,
        }
    }

    /// Makes faults for so long.
    pub fn run(&mut self, span: Duration) -> io::Result<()> {
        let mut next = Instant::now();
        while self.start.elapsed() < span {
            self.end_due(Instant::now())?;
            if Instant::now() >= next {
                self.make_one()?;
                next = Instant::now() + self.span(PAUSE_MS);
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    /// Ends every fault.
    pub fn heal(&mut self) -> io::Result<()> {
        for (_, end) in std::mem::take(&mut self.ends) {
            self.end(end)?;
        }
        self.stack.set_faults(&platform::Faults::default())
    }

    fn make_one(&mut self) -> io::Result<()> {
        match self.rng.random_range(0..12) {
            0 | 1 => self.kill(),
            2 | 3 => self.pause(),
            4 => self.crash_target(),
            5 => self.drain(),
            6 => self.kill_zone(),
            7 => self.break_platform(),
            8 => self.publish_invalid(),
            _ => self.publish(),
        }
    }

    fn kill(&mut self) -> io::Result<()> {
        let Some(vm) = self.pick_node() else { return Ok(()) };
        self.say(&format!("kill {vm}"));
        // Dropping the process kills it.
        self.stack.nodes.shift_remove(&vm);
        let end = End::Restart { vm, at_us: now_us() };
        self.end_after(AWAY_MS, end);
        Ok(())
    }

    fn kill_zone(&mut self) -> io::Result<()> {
        let Some(first) = self.pick_node() else { return Ok(()) };
        let zone = self.stack.settings[&first].zone.clone();
        let nodes = self.stack.nodes.keys();
        let in_zone = |vm: &&String| self.stack.settings[*vm].zone == zone && !self.away(vm);
        let vms: Vec<String> = nodes.filter(in_zone).cloned().collect();
        self.say(&format!("kill zone {zone}"));
        for vm in vms {
            self.stack.nodes.shift_remove(&vm);
            let end = End::Restart { vm, at_us: now_us() };
            self.end_after(AWAY_MS, end);
        }
        Ok(())
    }

    fn pause(&mut self) -> io::Result<()> {
        let Some(vm) = self.pick_node() else { return Ok(()) };
        self.say(&format!("pause {vm}"));
        self.stack.nodes[&vm].pause();
        let end = End::Resume { vm, at_us: now_us() };
        self.end_after(PAUSED_MS, end);
        Ok(())
    }

    fn crash_target(&mut self) -> io::Result<()> {
        let Some(vm) = self.pick_node() else { return Ok(()) };
        let away = self.rng.random_range(AWAY_MS);
        self.say(&format!("crash target on {vm} for {away} ms"));
        let at_us = now_us();
        self.stack.drive_target("crash", &vm, away.to_string())?;
        let stop = Stop { until_us: at_us + away * 1_000, ..self.stop_of(&vm, at_us) };
        self.evidence.kills.push(stop);
        Ok(())
    }

    /// A planned stop, while nothing else is wrong: what another fault cuts is not the stop's.
    fn drain(&mut self) -> io::Result<()> {
        self.heal()?;
        let Some(vm) = self.pick_node() else { return Ok(()) };
        let Some(mut node) = self.stack.nodes.shift_remove(&vm) else { return Ok(()) };
        self.say(&format!("stop {vm}"));
        let at_us = now_us();
        node.terminate();
        if !node.wait(STOP_LIMIT) {
            self.say(&format!("{vm} did not stop and is killed"));
        }
        let stop = self.stop_of(&vm, at_us);
        // What a target crash in the second before the stop cut is not the stop's either.
        if self.evidence.kills.iter().all(|kill| kill.until_us + 1_000_000 < at_us) {
            self.evidence.drains.push(stop.clone());
        }
        // The key table of the stopped node is gone like that of a killed one.
        self.evidence.kills.push(stop);
        self.stack.start_node(&vm)
    }

    fn break_platform(&mut self) -> io::Result<()> {
        let zones = self.stack.deployment.zones();
        let zone = zones[self.rng.random_range(0..zones.len())].2;
        let older = self.rng.random_range(0..4);
        let mut faults = platform::Faults::default();
        match self.rng.random_range(0..5) {
            0 => faults.down = true,
            1 => faults.silent = true,
            2 => faults.rubbish = true,
            3 => faults.cut = vec![self.stack.deployment.platform(zone).ip()],
            _ => faults.as_of = Some(self.index()?.saturating_sub(older)),
        }
        self.say(&format!("platform {faults:?}"));
        self.stack.set_faults(&faults)?;
        self.end_after(PLATFORM_MS, End::HealPlatform);
        Ok(())
    }

    fn publish(&mut self) -> io::Result<()> {
        let (preset, file) = *PRESETS.choose(&mut self.rng).unwrap_or(&PRESETS[0]);
        self.published += 1;
        self.version = self.published;
        self.say(&format!("publish {} {preset}", self.published));
        let at_us = self.stack.publish(self.published, preset, file)?;
        let publication = Publication { version: self.published, at_us, valid: true };
        self.evidence.publications.push(publication);
        Ok(())
    }

    fn publish_invalid(&mut self) -> io::Result<()> {
        self.published += 1;
        self.say(&format!("publish {} dangling", self.published));
        let at_us = self.stack.publish(self.published, "dangling", "refused/dangling.json")?;
        let publication = Publication { version: self.published, at_us, valid: false };
        self.evidence.publications.push(publication);
        // An invalid version stays the newest until a valid one follows.
        self.publish()
    }

    fn end_due(&mut self, now: Instant) -> io::Result<()> {
        while let Some(index) = self.ends.iter().position(|(at, _)| *at <= now) {
            let (_, end) = self.ends.swap_remove(index);
            self.end(end)?;
        }
        Ok(())
    }

    fn end(&mut self, end: End) -> io::Result<()> {
        match end {
            End::Restart { vm, at_us } => {
                self.say(&format!("restart {vm}"));
                self.stack.start_node(&vm)?;
                let stop = self.stop_of(&vm, at_us);
                self.evidence.kills.push(stop);
            }
            End::Resume { vm, at_us } => {
                self.say(&format!("resume {vm}"));
                self.stack.nodes[&vm].resume();
                let stop = self.stop_of(&vm, at_us);
                self.evidence.pauses.push(stop.clone());
                self.evidence.kills.push(stop);
            }
            End::HealPlatform => {
                self.say("platform heals");
                self.stack.set_faults(&platform::Faults::default())?;
            }
        }
        Ok(())
    }

    fn end_after(&mut self, range: std::ops::Range<u64>, end: End) {
        let at = Instant::now() + self.span(range);
        self.ends.push((at, end));
    }

    fn span(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// A node that runs, if enough others do.
    fn pick_node(&mut self) -> Option<String> {
        if self.ends.iter().filter(|(_, end)| end.vm().is_some()).count() >= MAX_AWAY {
            return None;
        }
        let running: Vec<String> =
            self.stack.nodes.keys().filter(|vm| !self.away(vm)).cloned().collect();
        running.choose(&mut self.rng).cloned()
    }

    fn away(&self, vm: &String) -> bool {
        self.ends.iter().any(|(_, end)| end.vm() == Some(vm))
    }

    fn stop_of(&self, vm: &str, at_us: u64) -> Stop {
        let entry = self.stack.settings[vm].listen.calls;
        Stop { vm: vm.to_string(), entry, at_us, until_us: now_us() }
    }

    /// Index of the platform's last change.
    fn index(&self) -> io::Result<u64> {
        let body = crate::http::get(self.stack.deployment.platform_control(), "/counts")?;
        let counts: platform::Counts = serde_json::from_slice(&body)?;
        Ok(counts.index)
    }

    fn say(&mut self, text: &str) {
        self.log.push(format!("{:>6.2} s  {text}", self.start.elapsed().as_secs_f64()));
    }
}
