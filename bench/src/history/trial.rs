//! Trials: a small fleet with random faults drawn from a seed, and the checks of its history.

use super::calls::{CallRecord, CallViolation, check_calls};
use super::{Record, Violation, check};
use crate::fleet::fault::{Action, PublicationKind, nodes_in_zone};
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

/// Time during which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(180);

/// Maximum duration of a fault. All faults are over this long after the last injection.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(40);

const PAUSE_DURATION: Duration = Duration::from_secs(30);

/// Interval between new requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time after the recovery within which all running nodes agree on the newest version.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after a publication within which every node of a healthy fleet holds it.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Parameters of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Seed of the fleet, the faults and their times.
    pub seed: u64,
    /// Whether links also lose messages, without retransmission.
    pub lossy: bool,
    /// Whether callers submit requests.
    pub sends_requests: bool,
}

/// Result of a trial.
#[derive(Clone, Debug)]
pub struct TrialReport {
    pub trial: Trial,
    /// Violations of the rules for versions.
    pub violations: Vec<Violation>,
    /// Violations of the rules for calls.
    pub call_violations: Vec<CallViolation>,
    /// Records of all calls.
    pub calls: Vec<CallRecord>,
    /// Records of the fleet.
    pub history: Vec<Record>,
    /// Events emitted by the nodes, with the node numbers.
    pub events: Vec<(usize, Event)>,
    /// Scheduled actions with their times.
    pub plan: Vec<(Duration, Action)>,
}

impl Trial {
    /// Creates a trial without message loss or callers.
    pub fn new(seed: u64) -> Trial {
        Trial { seed, lossy: false, sends_requests: false }
    }

    /// Adds message loss.
    pub fn with_loss(mut self) -> Trial {
        self.lossy = true;
        self
    }

    /// Adds callers.
    pub fn with_calls(mut self) -> Trial {
        self.sends_requests = true;
        self
    }

    /// Runs the trial and checks its histories.
    pub fn run(self) -> TrialReport {
        let mut planner = Planner::new(self.seed);
        let plan = planner.plan();
        let loss_ppm = if self.lossy { 10_000 } else { 0 };
        let profile = Profile::franchise().with_loss_and_jitter(loss_ppm, 20);
        let setup = Setup::new(planner.size, self.seed)
            .with_profile(profile)
            .with_called_services(planner.called_services)
            .with_history();
        let mut fleet = Fleet::new(setup);
        for (at, action) in &plan {
            fleet.schedule(*at, action.clone());
        }
        if self.sends_requests {
            fleet.add_callers(REQUEST_INTERVAL, FAULT_PERIOD + MAX_FAULT_DURATION / 2);
        }
        fleet.run_for(
            FAULT_PERIOD + MAX_FAULT_DURATION + AGREEMENT_TIMEOUT + CONVERGENCE_TIMEOUT * 2,
        );
        fleet.record_platform_peak();
        let history = fleet.history().to_vec();
        let events = fleet.events().to_vec();
        let calls = fleet.call_history().to_vec();
        let (violations, call_violations) = (check(&history), check_calls(&calls));
        TrialReport { trial: self, violations, call_violations, calls, history, events, plan }
    }
}

/// Draws the fleet and its faults from a seed.
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
        self.add_missing_from_list(&all);
        let mut at = Duration::from_millis(self.rng.random_range(0..15_000));
        while at < FAULT_PERIOD {
            self.add_random(at);
            at += Duration::from_millis(self.rng.random_range(1..6_000));
        }
        self.add_recovery();
        std::mem::take(&mut self.plan)
    }

    /// Omits running VMs from the platform's lists for a while.
    fn add_missing_from_list(&mut self, all: &[usize]) {
        let nodes = all.iter().copied().filter(|_| self.rng.random_bool(0.1)).collect::<Vec<_>>();
        let listed = self.span(5, 60);
        self.add(Duration::ZERO, Action::SetListedState(nodes.clone(), None));
        self.add(listed, Action::SetListedState(nodes, Some(VmState::Live)));
    }

    /// Updates the platform's lists late: VMs disappear or change state some time after `at` and
    /// return later.
    fn add_late_listing(&mut self, at: Duration, nodes: &[usize]) {
        let state = [None, Some(VmState::Gone), Some(VmState::Leaving)].choose(&mut self.rng);
        let state = state.copied().flatten();
        let delisted_at = at + self.span(0, 30);
        let relisted_at = delisted_at + self.span(1, 30);
        self.add(delisted_at, Action::SetListedState(nodes.to_vec(), state));
        self.add(
            relisted_at.min(FAULT_PERIOD + MAX_FAULT_DURATION),
            Action::SetListedState(nodes.to_vec(), Some(VmState::Live)),
        );
    }

    /// Repairs everything, then requires agreement and the convergence of one more version.
    fn add_recovery(&mut self) {
        let recovered = FAULT_PERIOD + MAX_FAULT_DURATION;
        self.add(recovered, Action::HealLinks);
        self.add(recovered, Action::SetPlatformHealth(Health::Up));
        for node in 0..self.size.nodes {
            self.add(recovered, Action::SetUnresponsive(node, false));
            self.add(recovered, Action::SetCorrupting(node, false));
        }
        let all = (0..self.size.nodes).collect();
        self.add(recovered, Action::SetListedState(all, Some(VmState::Live)));
        self.add(recovered, Action::StartStopped);
        self.add(recovered, Action::CheckAgreementAfter(AGREEMENT_TIMEOUT));
        let last = recovered + AGREEMENT_TIMEOUT;
        self.add(last, Action::Publish(PublicationKind::Next));
        self.add(last + CONVERGENCE_TIMEOUT, Action::CheckLastValidVersion);
    }

    fn add_random(&mut self, at: Duration) {
        match self.rng.random_range(0..100) {
            0..30 => self.add(at, Action::Publish(PublicationKind::Next)),
            30..34 => self.add(at, Action::Publish(PublicationKind::Invalid)),
            34..38 => self.add_conflict(at),
            38..43 => self.add_version_burst(at),
            43..53 => self.add_kill(at),
            53..60 => self.add_pause(at),
            60..65 => self.add_unresponsive(at),
            65..70 => self.add_corruption(at),
            70..85 => self.add_partition(at),
            _ => self.add_outage(at),
        }
    }

    /// Two operators publish the same version with different content, shortly after each other or
    /// up to 20 s apart.
    fn add_conflict(&mut self, at: Duration) {
        let apart = if self.rng.random_bool(0.7) { 50 } else { 20_000 };
        let gap = Duration::from_millis(self.rng.random_range(0..apart));
        self.add(at, Action::Publish(PublicationKind::Next));
        self.add(at + gap, Action::Publish(PublicationKind::Conflicting));
        // The operators resolve the conflict by publishing a higher version.
        let resolved = at + gap + self.span(2, 10);
        self.add(resolved, Action::Publish(PublicationKind::Next));
    }

    /// Publishes versions in such quick succession that their messages overtake each other.
    fn add_version_burst(&mut self, at: Duration) {
        for index in 0..self.rng.random_range(2..6) {
            let gap = Duration::from_millis(index * self.rng.random_range(1..40));
            self.add(at + gap, Action::Publish(PublicationKind::Next));
        }
    }

    fn add_kill(&mut self, at: Duration) {
        let downtime = self.span(0, 20);
        match self.rng.random_range(0..10) {
            0..4 => {
                let node = self.node();
                self.add_late_listing(at, &[node]);
                self.add(at, Action::Kill(vec![node]));
                self.add(at + downtime, Action::Start(vec![node]));
            }
            4..6 => {
                let zone = self.zone();
                let nodes = nodes_in_zone(&self.size, zone);
                self.add_late_listing(at, &nodes);
                self.add(at, Action::Kill(nodes.clone()));
                self.add(at + downtime, Action::Start(nodes));
            }
            6..9 => {
                let region = self.rng.random_range(0..self.size.regions) as u16;
                self.add(at, Action::RestartRelays(region, downtime));
            }
            _ => {
                let all: Vec<usize> = (0..self.size.nodes).collect();
                self.add(at, Action::Kill(all.clone()));
                self.add(at + downtime, Action::Start(all));
            }
        }
    }

    fn add_pause(&mut self, at: Duration) {
        let count = self.rng.random_range(1..=3);
        let nodes = (0..self.size.nodes).sample(&mut self.rng, count);
        self.add(at, Action::Pause(nodes, PAUSE_DURATION));
    }

    fn add_unresponsive(&mut self, at: Duration) {
        let node = self.node();
        self.add(at, Action::SetUnresponsive(node, true));
        let until = at + self.span(5, 40);
        self.add(until, Action::SetUnresponsive(node, false));
    }

    fn add_corruption(&mut self, at: Duration) {
        let node = self.node();
        self.add(at, Action::SetCorrupting(node, true));
        let until = at + self.span(5, 40);
        self.add(until, Action::SetCorrupting(node, false));
    }

    fn add_partition(&mut self, at: Duration) {
        let zone = self.zone();
        let cuts = match self.rng.random_range(0..4) {
            0 => vec![Action::CutLink(zone, None)],
            1 => vec![Action::CutZone(zone)],
            2 => vec![Action::CutZone(zone), Action::CutLink(zone, None)],
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
            Action::SetPlatformHealth(Health::Down),
            Action::SetPlatformHealth(Health::Refusing),
            Action::RollBackPlatform(0),
            Action::RollBackPlatform(changes),
        ];
        let outage = kinds.choose(&mut self.rng).cloned();
        self.add(at, outage.unwrap_or(Action::SetPlatformHealth(Health::Down)));
        let until = at + self.span(3, 40);
        self.add(until, Action::SetPlatformHealth(Health::Up));
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

/// Seeds from the environment variable `SYCAMORE_SEEDS`, separated by commas, or `default` if it is
/// not set.
pub fn seeds(default: &[u64]) -> Vec<u64> {
    let Ok(list) = std::env::var("SYCAMORE_SEEDS") else { return default.to_vec() };
    list.split(',').filter_map(|seed| seed.trim().parse().ok()).collect()
}
