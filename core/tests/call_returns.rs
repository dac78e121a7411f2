//! Retry-After during a shortage of room: callers with few retries, and a service that rejects most of
//! what it gets for some seconds.

#[path = "support/snapshot.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{Arrival, AttemptEnd, Forward, Input, Output};
use sycamore_core::call::policy::Mechanism;
use sycamore_core::call::{CallKey, Entry, Outcome, Policy};
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const SHORTAGE: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(4);
const RETRIES: u32 = 2;

/// During the shortage, a request finds room once in this time, if its response is in time.
const ROOM_INTERVAL: Duration = Duration::from_millis(60);

#[derive(Clone, Copy)]
struct Caller {
    started: Time,
    retries_left: u32,
}

struct Replay {
    entry: Entry,
    now: Time,
    calls: u64,
    room_at: Time,
    in_time: u32,
    late: u32,
    lost: u32,
    // Attempts of callers in each 100 ms after the end of the shortage.
    attempts: BTreeMap<u128, u32>,
}

impl Replay {
    fn new(policy: Policy) -> Replay {
        let place = Place { region: name("r"), zone: name("z") };
        let route = r#"{"get":{"path_prefix":"/get","service":"s","idempotent":true,
            "max_attempts":1,"objective_ms":600,"deadline_ms":4000}}"#;
        let snapshot = support::snapshot(1, &["a/r/z", "b/r/z"], "{}", route);
        let mut entry = Entry::new(place, 7).with_policy(policy);
        entry.handle(START, Input::Configure(snapshot), &mut Vec::new());
        let attempts = BTreeMap::new();
        Replay {
            entry,
            now: START,
            calls: 0,
            room_at: START,
            in_time: 0,
            late: 0,
            lost: 0,
            attempts,
        }
    }

    /// Runs callers that arrive every 10 ms, from one second before the shortage to one second after
    /// it.
    fn run(mut self) -> Replay {
        let arrivals = (0..500u64).map(|index| {
            let started = START + Duration::from_millis(10 * index);
            ((started, index), Caller { started, retries_left: RETRIES })
        });
        let mut due: BTreeMap<(Time, u64), Caller> = arrivals.collect();
        while let Some(((now, index), caller)) = due.pop_first() {
            self.now = now;
            if let Some((at, caller)) = self.attempt(caller) {
                due.insert((at, index), caller);
            }
        }
        self
    }

    /// Sends one attempt. Returns when the caller returns, if it does.
    fn attempt(&mut self, caller: Caller) -> Option<(Time, Caller)> {
        self.calls += 1;
        let since_end = self.now.since(START + Duration::from_secs(1) + SHORTAGE);
        if !since_end.is_zero() {
            *self.attempts.entry(since_end.as_millis() / 100).or_default() += 1;
        }
        let timeout = (caller.started + DEADLINE).since(self.now);
        let arrival =
            Arrival { timeout: Some(timeout), ..Arrival::new(CallKey(self.calls), "", "/get") };
        let output = self.input(Input::Arrive(arrival));
        let Some(Output::Forward(forward)) = output else { panic!("{output:?}") };
        if !self.has_room(caller) {
            return self.reject(&forward, caller, timeout);
        }
        self.room_at = self.now + ROOM_INTERVAL;
        self.serve(&forward, caller);
        None
    }

    fn has_room(&self, caller: Caller) -> bool {
        let since = self.now.since(START + Duration::from_secs(1));
        let is_short = !since.is_zero() && since < SHORTAGE;
        !is_short || (self.now >= self.room_at && self.is_in_time(caller))
    }

    fn is_in_time(&self, caller: Caller) -> bool {
        self.now.since(caller.started) + RUN_TIME <= OBJECTIVE
    }

    fn serve(&mut self, forward: &Forward, caller: Caller) {
        let end = AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO };
        self.input(Input::Attempt { call: forward.call, end, replayable: true });
        self.input(Input::Close(forward.call));
        match self.is_in_time(caller) {
            true => self.in_time += 1,
            false => self.late += 1,
        }
    }

    fn reject(
        &mut self,
        forward: &Forward,
        caller: Caller,
        left: Duration,
    ) -> Option<(Time, Caller)> {
        let retry_after = Duration::from_millis(60);
        let end =
            AttemptEnd::Rejected { code: Code::QueueFull, retry_after, load: None, crashes: 0 };
        let mut output =
            self.input(Input::Attempt { call: forward.call, end: end.clone(), replayable: true });
        while let Some(Output::Forward(next)) = output {
            output =
                self.input(Input::Attempt { call: next.call, end: end.clone(), replayable: true });
        }
        let Some(Output::Finish { outcome: Outcome::NotRun { retry_after, .. }, .. }) = output
        else {
            panic!("{output:?}");
        };
        if caller.retries_left == 0 {
            self.lost += 1;
            return None;
        }
        let wait = retry_after.min(left / 3);
        Some((self.now + wait, Caller { retries_left: caller.retries_left - 1, ..caller }))
    }

    fn input(&mut self, input: Input<'_>) -> Option<Output> {
        let mut out = Vec::new();
        self.entry.handle(self.now, input, &mut out);
        out.pop()
    }
}

fn replay(policy: Policy) -> Replay {
    Replay::new(policy).run()
}

#[test]
fn returns_outlast_shortage() {
    // Guards against callers that use up their retries in the first moments of a shortage.
    let (with, without) =
        (replay(Policy::new()), replay(Policy::new().without(Mechanism::SpreadReturns)));
    assert!(without.lost > 120, "{} lost", without.lost);
    assert!(with.lost * 2 < without.lost, "{} lost, {} without", with.lost, without.lost);
    let served = (with.in_time, without.in_time);
    assert!(served.0 * 10 >= served.1 * 9, "in time {} and {} without", served.0, served.1);
}

#[test]
fn returns_spread_after_shortage() {
    // Guards against callers that return together when a shortage ends.
    let attempts = replay(Policy::new()).attempts;
    let most = attempts.values().max().copied().unwrap_or_default();
    assert!(most <= 30, "{most} attempts in 100 ms, where 10 new callers arrive: {attempts:?}");
}

#[test]
fn returns_at_once_without_shortage() {
    // Guards against callers that wait although the service has room again at once.
    let mut replay = Replay::new(Policy::new());
    let started = START;
    for _ in 0..20 {
        replay.attempt(Caller { started: replay.now, retries_left: RETRIES });
        replay.now = replay.now + Duration::from_millis(10);
    }
    replay.now = START + Duration::from_millis(1_010);
    replay.room_at = replay.now + ROOM_INTERVAL;
    let caller = Caller { started, retries_left: 1 };
    let (at, _) = replay.attempt(caller).expect("rejected");
    assert!(at.since(replay.now) < Duration::from_millis(100), "{:?}", at.since(replay.now));
}
