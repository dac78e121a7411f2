//! Trials: a small fleet under random faults from a seed, with its history.

use super::calls::{CallRecord, CallViolation, check_calls};
use super::{Record, Violation, check};
use crate::fleet::fault::{Action, Edition, nodes_in_zone};
use crate::fleet::platform::Health;
use crate::fleet::workload::Size;
use crate::fleet::{Fleet, Setup};
use crate::links::Profile;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use sycamore_core::event::Event;
use sycamore_core::member::VmState;

/// How long faults go on.
const TROUBLE: Duration = Duration::from_secs(180);

/// Longest fault: whatever began last is over so long after the heal.
const LONGEST_FAULT: Duration = Duration::from_secs(40);

/// How long a paused process does not run.
const PAUSE: Duration = Duration::from_secs(30);

/// Time between two new requests.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Within so long of the heal every running node holds what the newest of them holds.
const AGREEMENT: Duration = Duration::from_secs(10);

/// Within so long of a publication to a sound fleet every node holds it.
const CONVERGENCE: Duration = Duration::from_secs(3);

/// How a trial is put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Seed of the fleet, the faults and their times.
    pub seed: u64,
    /// Whether links lose messages too; a real link resends them.
    pub lossy: bool,
    /// Whether callers send requests meanwhile.
    pub called: bool,
}

/// What a trial came to.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The trial.
    pub trial: Trial,
    /// Rules broken by versions; empty for a sound history.
    pub violations: Vec<Violation>,
    /// Rules broken by calls; empty for a sound history.
    pub call_violations: Vec<CallViolation>,
    /// What happened to calls.
    pub calls: Vec<CallRecord>,
    /// Everything that was recorded.
    pub history: Vec<Record>,
    /// What the nodes recorded for the time line, with their numbers.
    pub events: Vec<(usize, Event)>,
    /// What was done, with its time.
    pub plan: Vec<(Duration, Action)>,
}

impl Trial {
    /// A trial over links that keep every message.
    pub fn new(seed: u64) -> Trial {
        Trial { seed, lossy: false, called: false }
    }

    /// The same trial over links that lose some.
    pub fn with_loss(mut self) -> Trial {
        self.lossy = true;
        self
    }

    /// The same trial with callers.
    pub fn with_calls(mut self) -> Trial {
        self.called = true;
        self
    }

    /// Runs the trial and checks its history.
    pub fn run(self) -> Finding {
        let mut planner = Planner::new(self.seed);
        let plan = planner.plan();
        let loss_ppm = if self.lossy { 10_000 } else { 0 };
        let profile = Profile::franchise().with_loss_and_jitter(loss_ppm, 20);
        let setup = Setup::new(planner.size, self.seed)
            .with_profile(profile)
            .with_called_services(planner.called_services)
            .with_record();
        let mut fleet = Fleet::new(setup);
        for (at, action) in &plan {
            fleet.plan(*at, action.clone());
        }
        if self.called {
            fleet.add_callers(CALL_PAUSE, TROUBLE + LONGEST_FAULT / 2);
        }
        fleet.run_for(TROUBLE + LONGEST_FAULT + AGREEMENT + CONVERGENCE * 2);
        fleet.record_calls();
        let history = fleet.history().to_vec();
        let events = fleet.events().to_vec();
        let calls = fleet.call_history().to_vec();
        let (violations, call_violations) = (check(&history), check_calls(&calls));
        Finding { trial: self, violations, call_violations, calls, history, events, plan }
    }
}

/// Draws a fleet and its faults.
struct Planner {
    rng: Pcg64Mcg,
    size: Size,
    called_services: usize,
    plan: Vec<(Duration, Action)>,
}

impl Planner {
    fn new(seed: u64) -> Planner {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let regions = rng.random_range(1..=3);
        let zones = regions * rng.random_range(1..=2);
        let nodes = zones * rng.random_range(2..=8);
        let services = rng.random_range(2..=nodes.min(9) / 2 + 1);
        let called_services = rng.random_range(1..=services);
        let size = Size { nodes, services, zones, regions };
        Planner { rng, size, called_services, plan: Vec::new() }
    }

    fn plan(&mut self) -> Vec<(Duration, Action)> {
        let all: Vec<usize> = (0..self.size.nodes).collect();
        self.add(Duration::ZERO, Action::Start(all.clone()));
        self.add_unlisted(&all);
        let mut at = Duration::from_millis(self.rng.random_range(0..15_000));
        while at < TROUBLE {
            self.add_random(at);
            at += Duration::from_millis(self.rng.random_range(1..6_000));
        }
        self.add_heal();
        std::mem::take(&mut self.plan)
    }

    /// The list misses VMs that run already.
    fn add_unlisted(&mut self, all: &[usize]) {
        let nodes = all.iter().copied().filter(|_| self.rng.random_bool(0.1)).collect::<Vec<_>>();
        let listed = self.span(5, 60);
        self.add(Duration::ZERO, Action::List(nodes.clone(), None));
        self.add(listed, Action::List(nodes, Some(VmState::Live)));
    }

    /// The list says late that VMs have gone, and later still that they are back.
    fn add_lagging(&mut self, at: Duration, nodes: &[usize]) {
        let state = [None, Some(VmState::Gone), Some(VmState::Leaving)].choose(&mut self.rng);
        let state = state.copied().flatten();
        let gone = at + self.span(0, 30);
        let back = gone + self.span(1, 30);
        self.add(gone, Action::List(nodes.to_vec(), state));
        self.add(
            back.min(TROUBLE + LONGEST_FAULT),
            Action::List(nodes.to_vec(), Some(VmState::Live)),
        );
    }

    /// Everything is mended; then agreement, one more version and its convergence are due.
    fn add_heal(&mut self) {
        let healed = TROUBLE + LONGEST_FAULT;
        self.add(healed, Action::HealLinks);
        self.add(healed, Action::Platform(Health::Up));
        for node in 0..self.size.nodes {
            self.add(healed, Action::Silence(node, false));
            self.add(healed, Action::Lie(node, false));
        }
        let all = (0..self.size.nodes).collect();
        self.add(healed, Action::List(all, Some(VmState::Live)));
        self.add(healed, Action::StartStopped);
        self.add(healed, Action::DemandAgreement(AGREEMENT));
        let last = healed + AGREEMENT;
        self.add(last, Action::Publish(Edition::Change));
        self.add(last + CONVERGENCE, Action::DemandLastGood);
    }

    fn add_random(&mut self, at: Duration) {
        match self.rng.random_range(0..100) {
            0..30 => self.add(at, Action::Publish(Edition::Change)),
            30..34 => self.add(at, Action::Publish(Edition::Bad)),
            34..38 => self.add_race(at),
            38..43 => self.add_crossing(at),
            43..53 => self.add_kill(at),
            53..60 => self.add_pause(at),
            60..65 => self.add_silence(at),
            65..70 => self.add_lie(at),
            70..85 => self.add_cut(at),
            _ => self.add_outage(at),
        }
    }

    /// Two operators publish one version: at nearly the same moment, or one much later.
    fn add_race(&mut self, at: Duration) {
        let apart = if self.rng.random_bool(0.7) { 50 } else { 20_000 };
        let gap = Duration::from_millis(self.rng.random_range(0..apart));
        self.add(at, Action::Publish(Edition::Change));
        self.add(at + gap, Action::Publish(Edition::Rival));
        // The operators see the conflict and publish a version above both.
        let mended = at + gap + self.span(2, 10);
        self.add(mended, Action::Publish(Edition::Change));
    }

    /// Versions that follow so closely that their messages cross.
    fn add_crossing(&mut self, at: Duration) {
        for index in 0..self.rng.random_range(2..6) {
            let gap = Duration::from_millis(index * self.rng.random_range(1..40));
            self.add(at + gap, Action::Publish(Edition::Change));
        }
    }

    fn add_kill(&mut self, at: Duration) {
        let away = self.span(0, 20);
        match self.rng.random_range(0..10) {
            0..4 => {
                let node = self.node();
                self.add_lagging(at, &[node]);
                self.add(at, Action::Kill(vec![node]));
                self.add(at + away, Action::Start(vec![node]));
            }
            4..6 => {
                let zone = self.zone();
                let nodes = nodes_in_zone(&self.size, zone);
                self.add_lagging(at, &nodes);
                self.add(at, Action::Kill(nodes.clone()));
                self.add(at + away, Action::Start(nodes));
            }
            6..9 => {
                let region = self.rng.random_range(0..self.size.regions) as u16;
                self.add(at, Action::KillRelays(region, away));
            }
            _ => {
                let all: Vec<usize> = (0..self.size.nodes).collect();
                self.add(at, Action::Kill(all.clone()));
                self.add(at + away, Action::Start(all));
            }
        }
    }

    fn add_pause(&mut self, at: Duration) {
        let count = self.rng.random_range(1..=3);
        let nodes = (0..self.size.nodes).sample(&mut self.rng, count);
        self.add(at, Action::Pause(nodes, PAUSE));
    }

    fn add_silence(&mut self, at: Duration) {
        let node = self.node();
        self.add(at, Action::Silence(node, true));
        let until = at + self.span(5, 40);
        self.add(until, Action::Silence(node, false));
    }

    fn add_lie(&mut self, at: Duration) {
        let node = self.node();
        self.add(at, Action::Lie(node, true));
        let until = at + self.span(5, 40);
        self.add(until, Action::Lie(node, false));
    }

    fn add_cut(&mut self, at: Duration) {
        let zone = self.zone();
        let cuts = match self.rng.random_range(0..4) {
            0 => vec![Action::Cut(zone, None)],
            1 => vec![Action::CutZone(zone)],
            2 => vec![Action::CutZone(zone), Action::Cut(zone, None)],
            _ => {
                let other = self.rng.random_range(0..self.size.regions) as u16;
                vec![Action::CutRegions(zone % self.size.regions as u16, other)]
            }
        };
        for cut in cuts {
            self.add(at, cut);
        }
        let until = at + self.span(3, 40);
        self.add(until, Action::HealLinks);
    }

    fn add_outage(&mut self, at: Duration) {
        let changes = self.rng.random_range(1..12);
        let kinds = [
            Action::Platform(Health::Down),
            Action::Platform(Health::Refusing),
            Action::PlatformBack(0),
            Action::PlatformBack(changes),
        ];
        let outage = kinds.choose(&mut self.rng).cloned();
        self.add(at, outage.unwrap_or(Action::Platform(Health::Down)));
        let until = at + self.span(3, 40);
        self.add(until, Action::Platform(Health::Up));
    }

    fn add(&mut self, at: Duration, action: Action) {
        self.plan.push((at, action));
    }

    fn node(&mut self) -> usize {
        self.rng.random_range(0..self.size.nodes)
    }

    fn zone(&mut self) -> u16 {
        self.rng.random_range(0..self.size.zones) as u16
    }

    fn span(&mut self, from_s: u64, to_s: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_s * 1_000..to_s * 1_000))
    }
}

/// The seeds that the environment variable `SYCAMORE_SEEDS` names, separated by commas, or else
/// `usual`.
pub fn seeds(usual: &[u64]) -> Vec<u64> {
    let Ok(list) = std::env::var("SYCAMORE_SEEDS") else { return usual.to_vec() };
    list.split(',').filter_map(|seed| seed.trim().parse().ok()).collect()
}
