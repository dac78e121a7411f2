//! Retry budgets of a fleet whose nodes restart or pause, serve calls in several shards, or list few targets.

#[path = "support/snapshot.rs"]
mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Input, Output};
use sycamore_core::call::{CallKey, Entry};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);

/// Fleet-wide limit per ten seconds, and the lower values that are configured because nodes do not
/// count at the same moments.
const ALLOWED_PERCENT: usize = 20;
const ALLOWED_RESERVE: usize = 172;
const CONFIGURED: (usize, usize) = (12, 103);

const NODES: usize = 66;
const WINDOW_MS: u64 = 10_000;

/// Interval of the requests of each node.
const REQUEST_INTERVAL_MS: u64 = 900;

fn snapshot(version: u64, targets: usize) -> Arc<Snapshot> {
    let vms: Vec<String> = (0..targets).map(|index| format!("t{index}")).collect();
    let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
    let (percent, reserve) = CONFIGURED;
    let limits = format!(r#"{{"retry_budget_percent":{percent},"retry_reserve":{reserve}}}"#);
    let routes = r#"{"r":{"path_prefix":"/r","service":"s","idempotent":true,"max_attempts":3,
        "deadline_ms":6000,"objective_ms":1000}}"#;
    support::snapshot(version, &vms, &limits, routes)
}

/// Entry nodes whose requests all targets reject after they have received them.
struct Fleet {
    entries: Vec<Entry>,
    shards: usize,
    now_ms: u64,
    next: u64,
    requests: Vec<u64>,
    retries: Vec<u64>,
    seed: u64,
}

impl Fleet {
    fn new(shards: usize) -> Fleet {
        let mut fleet = Fleet {
            entries: Vec::new(),
            shards,
            now_ms: 0,
            next: 0,
            requests: Vec::new(),
            retries: Vec::new(),
            seed: 0,
        };
        fleet.restart(snapshot(1, NODES));
        fleet
    }

    /// Starts the processes of all nodes.
    fn restart(&mut self, snapshot: Arc<Snapshot>) {
        self.entries.clear();
        for _ in 0..NODES * self.shards {
            self.seed += 1;
            let place = Place { region: name("r"), zone: name("z") };
            let entry = Entry::new(place, self.seed).with_shards(self.shards);
            self.entries.push(entry);
        }
        self.configure(&snapshot);
    }

    fn configure(&mut self, snapshot: &Arc<Snapshot>) {
        let now = self.now();
        for entry in &mut self.entries {
            entry.handle(now, Input::Configure(snapshot.clone()), &mut Vec::new());
        }
    }

    fn now(&self) -> Time {
        START + Duration::from_millis(self.now_ms)
    }

    /// A nested request, which may use the whole budget.
    fn request(&mut self, entry: usize) {
        self.next += 1;
        self.requests.push(self.now_ms);
        let call = CallKey(self.next);
        let now = self.now();
        let arrival = Arrival { depth: 1, ..Arrival::new(call, "", "/r") };
        let mut out = Vec::new();
        self.entries[entry].handle(now, Input::Arrive(arrival), &mut out);
        let mut forwards = 0;
        while let Some(Output::Forward(_)) = out.pop() {
            forwards += 1;
            let retry_after = Duration::from_millis(100);
            let code = Code::TargetRefused;
            let end = AttemptEnd::Rejected { code, retry_after, load: None, crashes: 0 };
            let input = Input::Attempt { call, end, replayable: true };
            self.entries[entry].handle(now, input, &mut out);
        }
        let retries = usize::saturating_sub(forwards, 1);
        self.retries.extend(std::iter::repeat_n(self.now_ms, retries));
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            for entry in 0..self.entries.len() {
                let interval = REQUEST_INTERVAL_MS * self.shards as u64;
                let phase = entry as u64 * interval / self.entries.len() as u64;
                if self.now_ms % interval == phase {
                    self.request(entry);
                }
            }
        }
    }

    /// Largest excess of the retries in any ten seconds over what is allowed for the requests in these,
    /// or in the ten seconds before.
    fn largest_excess(&self) -> i64 {
        let mut window: VecDeque<u64> = VecDeque::new();
        let mut largest = i64::MIN;
        for at in &self.retries {
            window.push_back(*at);
            while window.front().is_some_and(|first| first + WINDOW_MS <= *at) {
                window.pop_front();
            }
            let requests = |from: u64| {
                let range = from..from + WINDOW_MS;
                self.requests.iter().filter(|at| range.contains(at)).count()
            };
            let first = at.saturating_sub(WINDOW_MS - 1);
            let counted = requests(first).max(requests(first.saturating_sub(WINDOW_MS)));
            let allowed = counted * ALLOWED_PERCENT / 100 + ALLOWED_RESERVE;
            largest = largest.max(window.len() as i64 - allowed as i64);
        }
        largest
    }
}

/// Guards against budgets that start anew with all processes and together exceed the limit.
#[test]
fn retries_restart_of_all_nodes() {
    let mut fleet = Fleet::new(1);
    fleet.advance(20_000);
    fleet.restart(snapshot(1, NODES));
    fleet.advance(10_000);
    assert!(fleet.largest_excess() <= 0, "{}", fleet.largest_excess());
}

/// Guards against budgets that start anew twice within one window.
#[test]
fn retries_two_restarts_of_all_nodes() {
    let mut fleet = Fleet::new(1);
    fleet.advance(20_000);
    for _ in 0..2 {
        fleet.restart(snapshot(1, NODES));
        fleet.advance(3_000);
    }
    fleet.advance(10_000);
    assert!(fleet.largest_excess() <= 0, "{}", fleet.largest_excess());
}

/// Guards against retries that wait in paused gatekeepers and exceed the limit when they are sent
/// together with later ones.
#[test]
fn retries_pause_of_all_gatekeepers() {
    let mut fleet = Fleet::new(1);
    fleet.advance(30_000);
    let (paused_at, resumed_at) = (15_000, 18_000);
    let paused = |at: &&mut u64| (paused_at..resumed_at).contains(*at);
    fleet.retries.iter_mut().filter(paused).for_each(|at| *at = resumed_at);
    assert!(fleet.largest_excess() <= 0, "{}", fleet.largest_excess());
}

/// Guards against a reserve that each shard of a node has for itself.
#[test]
fn retries_in_shards() {
    let mut fleet = Fleet::new(4);
    fleet.advance(30_000);
    assert!(fleet.largest_excess() <= 0, "{}", fleet.largest_excess());
}

/// Guards against a reserve that few nodes seem to share because most targets are gone for some seconds.
#[test]
fn retries_while_few_targets_are_listed() {
    let mut fleet = Fleet::new(1);
    fleet.advance(20_000);
    fleet.configure(&snapshot(2, NODES / 10));
    fleet.advance(5_000);
    fleet.configure(&snapshot(3, NODES));
    fleet.advance(10_000);
    assert!(fleet.largest_excess() <= 0, "{}", fleet.largest_excess());
}

/// Guards against a fleet that has become smaller and never uses its reserve again.
#[test]
fn retries_after_scale_in() {
    let mut fleet = Fleet::new(1);
    fleet.advance(1_000);
    fleet.entries.truncate(6);
    fleet.configure(&snapshot(2, 6));
    fleet.advance(310_000);
    fleet.retries.clear();
    fleet.advance(WINDOW_MS);
    assert!(fleet.retries.len() >= CONFIGURED.1 * 80 / 100, "{}", fleet.retries.len());
}
