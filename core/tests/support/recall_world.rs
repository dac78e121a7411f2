//! An entry node, two gatekeepers and the messages between them, with one request.

use super::once_arrival::once_arrival;
use super::orders::Model;
use super::support;
use std::collections::BTreeSet;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{self, AttemptEnd, Forward, RecallAction, RecallInput};
use sycamore_core::call::gatekeeper::{self, Gatekeeper, Output, RecallQuestion, RunEnd};
use sycamore_core::call::{AttemptId, CallKey, Entry, Outcome, RecallAnswer, RecallReply};
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const CALL: CallKey = CallKey(1);
const BLOCKER: CallKey = CallKey(0);
const VMS: [&str; 2] = ["a", "b"];

/// Time before and after a restart, with the other process running.
const RESTART: Duration = Duration::from_secs(5);
/// Longer than a recalled attempt is remembered.
const PAUSE: Duration = Duration::from_secs(200);
const TICK: Duration = Duration::from_secs(2);

/// A deliberate bug of the gatekeepers or of the entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// Recalled attempts are not remembered.
    TableForgets,
    /// A queued request is reported as not started but not removed.
    NotRemoved,
    /// A queued request is removed after the answer, not together with it.
    RemovedLater,
    /// Arrived attempts are not recorded.
    ArrivalForgotten,
    /// A new process answers for its predecessor.
    AgeIgnored,
    /// Recalled attempts expire during a clock gap.
    GapIgnored,
    /// The entry node moves the request without an answer.
    SilenceTaken,
    /// A request is sent once there is a connection, even if it was rejected meanwhile.
    RejectionMissed,
    /// A request that is asked about again after a break is reported as not started, but not removed.
    SecondAnswerUnchecked,
    /// The entry node moves the request when the connection breaks while a question is under way.
    BreakTaken,
}

/// How a gatekeeper gets the connections to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// One is idle whenever a request starts.
    Idle,
    /// A request that has a slot waits for one.
    Awaited,
}

impl Bug {
    pub const ALL: [Bug; 10] = [
        Bug::TableForgets,
        Bug::NotRemoved,
        Bug::RemovedLater,
        Bug::ArrivalForgotten,
        Bug::AgeIgnored,
        Bug::GapIgnored,
        Bug::SilenceTaken,
        Bug::RejectionMissed,
        Bug::SecondAnswerUnchecked,
        Bug::BreakTaken,
    ];
}

/// One step. A message that is never delivered is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Deliver(usize),
    /// Delivers a question and keeps a copy in transit.
    Repeat(usize),
    /// The recall delay has passed at the entry node.
    Due,
    /// The time for an answer has passed.
    NoAnswer,
    /// The time for a response that has been sent has passed.
    ResponseOverdue,
    /// The entry node sees that the connection of the attempt has broken.
    ConnectionLost,
    /// What the target of this gatekeeper runs ends.
    End(usize),
    /// This gatekeeper gets the connection that a request waits for, or waited for until it was
    /// rejected.
    Connect(usize),
    /// This gatekeeper can't connect to its target.
    ConnectFailed(usize),
    /// The time of a request that waits for a connection has passed.
    ConnectExpired(usize),
    Restart(usize),
    /// Both gatekeepers are suspended.
    Pause,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Request {
        gate: usize,
        attempt: u32,
    },
    Question {
        gate: usize,
        attempt: u32,
        number: u32,
        age: Duration,
    },
    Answer {
        gate: usize,
        attempt: u32,
        number: u32,
        answer: &'static str,
        removed: bool,
    },
    Response {
        attempt: u32,
        rejected: Option<Code>,
    },
    /// The entry node has closed the connection of an attempt.
    Closed {
        gate: usize,
        attempt: u32,
    },
}

struct Gate {
    gatekeeper: Gatekeeper,
    running: Option<CallKey>,
    connecting: Option<CallKey>,
    // Has a connection, and asks whether it may be sent.
    connected: Option<CallKey>,
    // Rejected while a connection for it was being opened.
    rejected_connecting: Option<CallKey>,
    queued: BTreeSet<CallKey>,
    recalled: BTreeSet<u32>,
}

pub struct World {
    bug: Bug,
    connections: Connections,
    now: Time,
    entry: Entry,
    gates: [Gate; 2],
    messages: Vec<Message>,
    // Inputs of the entry node and of the gatekeepers; they determine the states.
    inputs: [Vec<String>; 3],
    current: Option<(u32, usize)>,
    asked: Option<u32>,
    questions: u32,
    overdue: bool,
    // The connection of the attempt has broken, and its end depends on the answer to a question.
    lost: bool,
    // Attempts that were asked about, and those of them that were asked about again after a break.
    asked_about: BTreeSet<u32>,
    asked_again: BTreeSet<u32>,
    finished: Option<Outcome>,
    runs: Vec<(u32, usize)>,
    not_started: BTreeSet<u32>,
    restarts: u32,
    pauses: u32,
    repeats: u32,
}

fn gate(started: Time) -> Gate {
    Gate {
        gatekeeper: Gatekeeper::new(name("unset"), started, 1),
        running: None,
        connecting: None,
        connected: None,
        rejected_connecting: None,
        queued: BTreeSet::new(),
        recalled: BTreeSet::new(),
    }
}

fn snapshot() -> std::sync::Arc<sycamore_core::config::Snapshot> {
    thread_local! {
        static SNAPSHOT: std::sync::Arc<sycamore_core::config::Snapshot> = support::snapshot(
            1,
            &VMS,
            r#"{"slots":1,"queue":8,"queue_wait_ms":30000}"#,
            r#"{"once":{"path_prefix":"/once","service":"s","idempotent":false,"once":"attempt",
            "max_attempts":3,"objective_ms":30000,"deadline_ms":60000}}"#,
        );
    }
    SNAPSHOT.with(Clone::clone)
}

fn attempt_key(attempt: u32) -> CallKey {
    CallKey(attempt.into())
}

impl World {
    /// The request has been sent to one of the two targets. Each has one slot, which is taken.
    pub fn new(bug: Bug, connections: Connections) -> World {
        let mut entry = Entry::new(Place { region: name("r"), zone: name("z") }, 7);
        let mut out = Vec::new();
        entry.handle(START, entry::Input::Configure(snapshot()), &mut out);
        let mut world = World {
            bug,
            connections,
            now: START,
            entry,
            gates: [gate(START), gate(START)],
            messages: Vec::new(),
            inputs: Default::default(),
            current: None,
            asked: None,
            questions: 0,
            overdue: false,
            lost: false,
            asked_about: BTreeSet::new(),
            asked_again: BTreeSet::new(),
            finished: None,
            runs: Vec::new(),
            not_started: BTreeSet::new(),
            restarts: 0,
            pauses: 0,
            repeats: 0,
        };
        for index in 0..VMS.len() {
            world.start_gatekeeper(index);
        }
        world.pass(RESTART);
        world.entry_input(entry::Input::Arrive(entry::Arrival::new(CALL, "", "/once")));
        world
    }

    fn start_gatekeeper(&mut self, index: usize) {
        self.gates[index] = gate(self.now);
        self.gates[index].gatekeeper = Gatekeeper::new(name(VMS[index]), self.now, 1);
        self.gate_input(index, gatekeeper::Input::Configure(snapshot()));
        let blocker = arrival(self.now, BLOCKER);
        self.gate_input(index, gatekeeper::Input::Arrive(blocker));
    }

    /// Lets time pass while the gatekeepers run.
    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            for index in 0..VMS.len() {
                self.gate_input(index, gatekeeper::Input::Tick);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { gate, attempt } => self.request_arrives(gate, attempt),
            Message::Question { gate, attempt, number, age } => {
                let removed = self.bug != Bug::RemovedLater;
                let answer = self.answer(gate, attempt, age, removed);
                let removed = removed || answer != "not-started";
                self.messages.push(Message::Answer { gate, attempt, number, answer, removed });
            }
            Message::Answer { gate, attempt, number, answer, removed } => {
                if !removed {
                    self.ask_gatekeeper(gate, attempt, Duration::ZERO);
                }
                // The answer to an earlier message arrives at a connection that has been closed.
                if self.asked == Some(number) && self.current.is_some_and(|(now, _)| now == attempt)
                {
                    self.answered(Some(answer));
                }
            }
            Message::Response { attempt, rejected } => {
                if self.lost || self.current.is_none_or(|(current, _)| current != attempt) {
                    return;
                }
                let end = match rejected {
                    Some(code) => {
                        let retry_after = Duration::ZERO;
                        AttemptEnd::Rejected { code, retry_after, load: None, crashes: 0 }
                    }
                    None => AttemptEnd::ResponseStarted { load: None, waited: Duration::ZERO },
                };
                self.current = None;
                self.asked = None;
                self.attempt_input(end);
            }
            Message::Closed { gate, attempt } => {
                let call = attempt_key(attempt);
                let connecting = self.gates[gate].connecting.take_if(|held| *held == call);
                if self.gates[gate].queued.remove(&call) || connecting.is_some() {
                    self.gate_input(gate, gatekeeper::Input::Withdraw(call));
                } else if self.gates[gate].running == Some(call) {
                    self.gates[gate].running = None;
                    let end = RunEnd::Cancelled;
                    self.gate_input(gate, gatekeeper::Input::End { call, end });
                }
            }
        }
    }

    /// Sends a request that waited for a connection, unless it was rejected meanwhile.
    fn connect(&mut self, index: usize) {
        let gate = &mut self.gates[index];
        let rejected = gate.rejected_connecting.take();
        let Some(call) = gate.connecting.take().or(rejected) else { return };
        gate.connected = Some(call);
        self.gate_input(index, gatekeeper::Input::Connected(call));
        self.gates[index].connected = None;
        let is_sent = self.gates[index].running == Some(call);
        if !is_sent && rejected == Some(call) && self.bug == Bug::RejectionMissed {
            self.runs.push((call.0 as u32, index));
        }
    }

    fn request_arrives(&mut self, gate: usize, attempt: u32) {
        let arrival = arrival(self.now, attempt_key(attempt));
        let known = match self.bug {
            Bug::ArrivalForgotten => None,
            Bug::TableForgets if self.gates[gate].recalled.contains(&attempt) => None,
            _ => Some(AttemptId::new(b"id", attempt)),
        };
        let input = match known {
            Some(attempt) => gatekeeper::Input::ArriveAttempt { attempt, arrival },
            None => gatekeeper::Input::Arrive(arrival),
        };
        self.gate_input(gate, input);
    }

    fn answer(&mut self, gate: usize, attempt: u32, age: Duration, remove: bool) -> &'static str {
        if self.bug == Bug::SecondAnswerUnchecked && self.asked_again.contains(&attempt) {
            return "not-started";
        }
        let queued = self.gates[gate].queued.contains(&attempt_key(attempt));
        if queued && (self.bug == Bug::NotRemoved || !remove) {
            return "not-started";
        }
        let age = if self.bug == Bug::AgeIgnored { Duration::ZERO } else { age };
        self.ask_gatekeeper(gate, attempt, age).label()
    }

    fn ask_gatekeeper(&mut self, gate: usize, attempt: u32, age: Duration) -> RecallAnswer {
        self.inputs[gate + 1].push(format!("{:?} ask {attempt} {age:?}", self.now));
        let mut out = Vec::new();
        let question = RecallQuestion { attempt: AttemptId::new(b"id", attempt), age };
        let answer = self.gates[gate].gatekeeper.handle_recall(self.now, question, &mut out);
        if matches!(answer, RecallAnswer::NotStarted { .. }) {
            self.gates[gate].recalled.insert(attempt);
        }
        self.gate_outputs(gate, out);
        answer
    }

    fn gate_input(&mut self, index: usize, input: gatekeeper::Input<'_>) {
        if !matches!(input, gatekeeper::Input::Configure(_)) {
            self.inputs[index + 1].push(format!("{:?} {input:?}", self.now));
        }
        let mut out = Vec::new();
        self.gates[index].gatekeeper.handle(self.now, input, &mut out);
        self.gate_outputs(index, out);
    }

    fn gate_outputs(&mut self, index: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Run { call, .. } if self.must_connect(index, call) => {
                    self.gates[index].queued.remove(&call);
                    self.gates[index].connecting = Some(call);
                    self.gate_input(index, gatekeeper::Input::Connecting(call));
                }
                Output::Run { call, .. } => {
                    self.gates[index].queued.remove(&call);
                    self.gates[index].running = Some(call);
                    if call != BLOCKER {
                        self.runs.push((call.0 as u32, index));
                    }
                }
                Output::Queue(call, _) if self.gates[index].connecting == Some(call) => {}
                Output::Queue(call, _) => {
                    self.gates[index].queued.insert(call);
                }
                Output::Reject { call, outcome: Outcome::NotRun { code, .. }, .. } => {
                    let gate = &mut self.gates[index];
                    gate.queued.remove(&call);
                    if gate.connecting == Some(call) {
                        gate.rejected_connecting = gate.connecting.take();
                    }
                    let attempt = call.0 as u32;
                    self.messages.push(Message::Response { attempt, rejected: Some(code) });
                }
                Output::Reject { .. } => panic!("{output:?}"),
                _ => {}
            }
        }
    }

    /// Whether a request that has a slot waits for a connection.
    fn must_connect(&self, index: usize, call: CallKey) -> bool {
        let is_sent = call == BLOCKER || self.gates[index].connected == Some(call);
        self.connections == Connections::Awaited && !is_sent
    }

    fn entry_input(&mut self, input: entry::Input<'_>) {
        self.inputs[0].push(format!("{:?} {input:?}", self.now));
        let mut out = Vec::new();
        self.entry.handle(self.now, input, &mut out);
        for output in out {
            match output {
                entry::Output::Forward(forward) => self.forward(&forward),
                entry::Output::Finish { outcome, .. } => self.finished = Some(outcome),
            }
        }
    }

    fn forward(&mut self, forward: &Forward) {
        let gate = VMS.iter().position(|vm| forward.vm == name(vm)).unwrap();
        self.current = Some((forward.attempt, gate));
        self.messages.push(Message::Request { gate, attempt: forward.attempt });
    }

    fn attempt_input(&mut self, end: AttemptEnd) {
        self.entry_input(entry::Input::Attempt { call: CALL, end, replayable: true });
    }

    /// The entry node ends an attempt by itself and closes its connection.
    fn end_attempt(&mut self, end: AttemptEnd) {
        let Some((attempt, gate)) = self.current.take() else { return };
        if matches!(end, AttemptEnd::Rejected { .. }) {
            self.not_started.insert(attempt);
        }
        self.asked = None;
        self.overdue = false;
        if !std::mem::take(&mut self.lost) {
            self.messages.push(Message::Closed { gate, attempt });
        }
        self.attempt_input(end);
    }

    fn recall_input(&mut self, input: RecallInput) {
        self.inputs[0].push(format!("{:?} {input:?}", self.now));
        match self.entry.handle_recall(self.now, input) {
            Some(RecallAction::Ask { attempt, sent_at }) => {
                let Some((_, gate)) = self.current else { panic!("no attempt") };
                self.questions += 1;
                let (number, age) = (self.questions, self.now.since(sent_at));
                self.asked = Some(number);
                self.asked_about.insert(attempt);
                self.messages.push(Message::Question { gate, attempt, number, age });
            }
            Some(RecallAction::AwaitResponse(_)) => self.overdue = true,
            Some(RecallAction::End(end)) => self.end_attempt(end),
            None if self.lost => self.end_attempt(AttemptEnd::ConnectionLost),
            None => {}
        }
    }

    fn answered(&mut self, answer: Option<&'static str>) {
        let Some((attempt, _)) = self.current else { return };
        self.asked = None;
        let answer = match answer {
            Some("not-started") => Some(RecallAnswer::NotStarted { arrived: false }),
            Some("running") => Some(RecallAnswer::Running),
            Some("ended") => Some(RecallAnswer::Ended),
            None if self.bug == Bug::SilenceTaken => {
                Some(RecallAnswer::NotStarted { arrived: false })
            }
            _ => None,
        };
        let reply = answer.map(|answer| RecallReply { answer, load: None });
        self.recall_input(RecallInput::Answered { call: CALL, attempt, reply });
    }

    /// The gatekeeper that the current attempt was sent to.
    pub fn current_gate(&self) -> usize {
        self.current.unwrap().1
    }

    pub fn has_moved(&self) -> bool {
        self.runs.iter().any(|(attempt, _)| *attempt > 1)
    }

    /// Whether the request runs at another target, moved by the answer to a question that was asked
    /// after a break about an attempt that had been asked about before.
    pub fn has_moved_after_break(&self) -> bool {
        let is_after_break = |attempt: &u32| self.asked_again.contains(&(attempt - 1));
        self.runs.iter().any(|(attempt, _)| is_after_break(attempt))
    }

    pub fn is_lost(&self) -> bool {
        self.overdue && !self.runs.is_empty()
            || matches!(self.finished, Some(Outcome::Unknown { .. })) && !self.runs.is_empty()
    }

    pub fn is_not_run(&self) -> bool {
        matches!(self.finished, Some(Outcome::NotRun { .. }))
    }
}

impl Model for World {
    type Event = Event;

    fn apply(&mut self, event: Event) {
        match event {
            Event::Deliver(index) => {
                let message = self.messages.remove(index);
                self.deliver(message);
            }
            Event::Repeat(index) => {
                self.repeats += 1;
                self.deliver(self.messages[index].clone());
            }
            Event::Due => self.recall_input(RecallInput::Due(CALL)),
            Event::NoAnswer => self.answered(None),
            Event::ResponseOverdue => {
                let Some((attempt, _)) = self.current else { return };
                self.recall_input(RecallInput::ResponseOverdue { call: CALL, attempt });
            }
            Event::ConnectionLost => {
                let Some((attempt, gate)) = self.current else { return };
                let is_asked = self.asked.is_some();
                // Replaces a question under way; its answer no longer counts.
                self.asked = None;
                self.overdue = false;
                self.lost = true;
                self.messages.push(Message::Closed { gate, attempt });
                if is_asked && self.bug == Bug::BreakTaken {
                    let (code, retry_after) = (Code::Recalled, Duration::ZERO);
                    return self.end_attempt(AttemptEnd::Rejected {
                        code,
                        retry_after,
                        load: None,
                        crashes: 0,
                    });
                }
                let was_asked_about = self.asked_about.contains(&attempt);
                self.recall_input(RecallInput::ConnectionLost(CALL));
                if was_asked_about && self.asked.is_some() {
                    self.asked_again.insert(attempt);
                }
            }
            Event::End(index) => {
                let Some(call) = self.gates[index].running.take() else { return };
                let end = RunEnd::Answered { cached: None };
                if call != BLOCKER {
                    let attempt = call.0 as u32;
                    self.messages.push(Message::Response { attempt, rejected: None });
                }
                self.gate_input(index, gatekeeper::Input::End { call, end });
            }
            Event::Connect(index) => self.connect(index),
            Event::ConnectFailed(index) => {
                let Some(call) = self.gates[index].connecting.take() else { return };
                self.gate_input(index, gatekeeper::Input::End { call, end: RunEnd::NotSent });
            }
            Event::ConnectExpired(index) => {
                let Some(call) = self.gates[index].connecting else { return };
                self.gate_input(index, gatekeeper::Input::Expire(call));
            }
            Event::Restart(index) => {
                self.restarts += 1;
                self.pass(RESTART);
                // The kernel resets the connections of a process that ends.
                self.messages.retain(|message| {
                    !matches!(message, Message::Request { gate, .. } | Message::Closed { gate, .. }
                        if *gate == index)
                });
                self.inputs[index + 1].push(format!("restart at {:?}", self.now));
                self.start_gatekeeper(index);
                self.pass(RESTART);
            }
            Event::Pause => {
                self.pauses += 1;
                match self.bug {
                    Bug::GapIgnored => self.pass(PAUSE),
                    _ => self.now = self.now + PAUSE,
                }
            }
        }
    }

    fn possible_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, message) in self.messages.iter().enumerate() {
            // Equal messages are interchangeable.
            if self.messages[..index].contains(message) {
                continue;
            }
            events.push(Event::Deliver(index));
            if matches!(message, Message::Question { .. }) && self.repeats == 0 {
                events.push(Event::Repeat(index));
            }
        }
        if self.current.is_some() {
            if self.asked.is_none() && !self.overdue && !self.lost {
                events.push(Event::Due);
            }
            if self.asked.is_some() {
                events.push(Event::NoAnswer);
            }
            if self.overdue {
                events.push(Event::ResponseOverdue);
            }
            if !self.lost {
                events.push(Event::ConnectionLost);
            }
        }
        let busy = |index: &usize| self.gates[*index].running.is_some();
        events.extend((0..VMS.len()).filter(busy).map(Event::End));
        for (index, gate) in self.gates.iter().enumerate() {
            if gate.connecting.is_some() {
                events.extend([Event::ConnectFailed(index), Event::ConnectExpired(index)]);
            }
            if gate.connecting.or(gate.rejected_connecting).is_some() {
                events.push(Event::Connect(index));
            }
        }
        if self.restarts == 0 {
            events.extend((0..VMS.len()).map(Event::Restart));
        }
        if self.pauses == 0 {
            events.push(Event::Pause);
        }
        events
    }

    /// Identifies the state: the inputs of each state machine and what is in transit.
    fn state_key(&self) -> String {
        let mut messages = self.messages.clone();
        messages.sort();
        let World { now, current, asked, overdue, lost, runs, inputs, .. } = self;
        let mut runs = runs.clone();
        runs.sort_unstable();
        format!("{now:?} {current:?} {asked:?} {overdue} {lost} {runs:?} {inputs:?} {messages:?}")
    }

    fn violation(&self) -> Option<String> {
        if self.runs.len() > 1 {
            return Some(format!("runs {:?}", self.runs));
        }
        if let Some(run) = self.runs.iter().find(|(attempt, _)| self.not_started.contains(attempt))
        {
            return Some(format!("{run:?} ran after it was reported as not started"));
        }
        if self.is_not_run() && !self.runs.is_empty() {
            return Some(format!("{:?} although {:?}", self.finished, self.runs));
        }
        let queued = self.gates.iter().flat_map(|gate| &gate.queued);
        let running = self.gates.iter().filter_map(|gate| gate.running.as_ref());
        let connecting = self.gates.iter().filter_map(|gate| gate.connecting.as_ref());
        let held = queued.chain(running).chain(connecting);
        let holders = held.filter(|call| **call != BLOCKER).count();
        if holders > 1 {
            return Some(format!("{holders} holders"));
        }
        self.gates.iter().find_map(|gate| {
            let used = gate.running.iter().chain(&gate.connecting).count();
            let counted = gate.gatekeeper.load(self.now).in_flight as usize;
            (used != counted).then(|| format!("{counted} slots in use instead of {used}"))
        })
    }
}

fn arrival(now: Time, call: CallKey) -> gatekeeper::Arrival<'static> {
    once_arrival(now, call, &snapshot())
}
