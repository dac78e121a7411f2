//! An entry node, a gatekeeper, its target and the connections between them, with one request that may
//! run once. The adapters of the nodes are modelled; the state machines are the product's.
//!
//! All attempts are sent to the same target, whatever the entry node chooses.

use super::once_arrival::once_arrival;
use super::orders::Model;
use super::support;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::entry::{self, AttemptEnd};
use sycamore_core::call::gatekeeper::{self, Gatekeeper, Output, RunEnd};
use sycamore_core::call::{CallKey, Entry, Outcome};
use sycamore_core::config::Snapshot;
use sycamore_core::place::Place;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const CALL: CallKey = CallKey(1);
const BLOCKER: CallKey = CallKey(0);
const RETRY_AFTER: Duration = Duration::ZERO;

/// A deliberate bug, one for each place that says that a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// A lost connection to the gatekeeper counts as a refusal.
    LossIsRefusal,
    /// At the deadline, a request that was sent counts as unsent.
    SentForgotten,
    /// A refusal without the request's id is believed on any connection.
    ListenerBelieved,
    /// Two attempts go over one connection to the target.
    PairedByRequest,
    /// A connection to the target that breaks counts as one that was never opened.
    BreakIsUnsent,
    /// A request without a decision is reported as refused, although it was sent.
    FallbackPromises,
    /// A request whose wait ends is reported as refused without asking the state machine.
    WaitEndsAlone,
    /// A target's own status reaches the caller.
    StatusPassedOn,
}

impl Bug {
    pub const ALL: [Bug; 8] = [
        Bug::LossIsRefusal,
        Bug::SentForgotten,
        Bug::ListenerBelieved,
        Bug::PairedByRequest,
        Bug::BreakIsUnsent,
        Bug::FallbackPromises,
        Bug::WaitEndsAlone,
        Bug::StatusPassedOn,
    ];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The entry node gets a connection and sends the attempt.
    Send,
    /// It gets none.
    ConnectFailed,
    /// The listener of the gatekeeper is at its limit.
    ListenerRefuses,
    /// Something refuses without an id on the connection that carries the attempt.
    StrayRefusal,
    /// The connection to the gatekeeper breaks.
    ConnectionLost,
    /// The deadline passes at the entry node.
    Expire,
    /// The attempt arrives at the gatekeeper.
    Arrive,
    /// The wait of a queued attempt ends.
    WaitEnds,
    /// The request that takes the slot ends.
    SlotFreed,
    /// The gatekeeper can't connect to the target.
    TargetUnreachable,
    /// The gatekeeper loses the state of an attempt that it has sent.
    StateLost,
    /// The target refuses the attempt, once or twice.
    Refuse { twice: bool },
    /// The target begins to run the attempt.
    Run,
    /// The target responds with success.
    Respond,
    /// The target responds with a status of its own that means "not run" to callers.
    RespondUnconfirmed,
    /// The target's connection breaks.
    TargetBreaks,
    /// The second response of a target arrives.
    SecondResponse,
    /// The gatekeeper's response arrives at the entry node.
    ResponseArrives,
}

/// A connection to the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Connection {
    carried: bool,
    // The attempt that awaits a response.
    awaiting: Option<u32>,
    // Second responses on their way.
    second_responses: u32,
}

/// What the target holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    attempt: u32,
    begun: bool,
    connection: usize,
}

/// How an attempt ended at the gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GateResponse {
    Refused(Code),
    Unknown(Code),
    Success,
    UnconfirmedStatus,
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    NotRun,
    Unknown,
    Success,
}

pub struct World {
    bug: Bug,
    entry: Entry,
    gatekeeper: Gatekeeper,
    // The attempt of the entry node, and whether it was sent.
    current: Option<(u32, bool)>,
    // Attempts on their way to the gatekeeper.
    in_transit: BTreeSet<u32>,
    queued: BTreeSet<u32>,
    held: Vec<Held>,
    connections: Vec<Connection>,
    responses: Vec<(u32, GateResponse)>,
    slot_taken: bool,
    refusals: u32,
    strays: u32,
    losses: u32,
    runs: Vec<u32>,
    history: Vec<Event>,
    pub answer: Option<Answer>,
}

fn snapshot() -> Arc<Snapshot> {
    thread_local! {
        static SNAPSHOT: Arc<Snapshot> = support::snapshot(
            1,
            &["a", "b", "c"],
            r#"{"slots":1,"queue":8,"queue_wait_ms":30000,"retry_budget_percent":100}"#,
            r#"{"once":{"path_prefix":"/once","service":"s","idempotent":false,"once":"attempt",
            "max_attempts":2,"objective_ms":30000,"deadline_ms":60000}}"#,
        );
    }
    SNAPSHOT.with(Clone::clone)
}

fn rejected(code: Code) -> AttemptEnd {
    AttemptEnd::Rejected { code, retry_after: RETRY_AFTER, load: None, crashes: 0 }
}

impl World {
    /// A request has arrived at the entry node. The slot of the target is taken if `slot_taken`.
    pub fn new(bug: Bug, slot_taken: bool) -> World {
        let mut world = World {
            bug,
            entry: Entry::new(Place { region: name("r"), zone: name("z") }, 7),
            gatekeeper: Gatekeeper::new(name("a"), START, 1),
            current: None,
            in_transit: BTreeSet::new(),
            queued: BTreeSet::new(),
            held: Vec::new(),
            connections: vec![Connection::default()],
            responses: Vec::new(),
            slot_taken,
            refusals: 0,
            strays: 0,
            losses: 0,
            runs: Vec::new(),
            history: Vec::new(),
            answer: None,
        };
        world.gate_input(gatekeeper::Input::Configure(snapshot()));
        if slot_taken {
            world.gate_input(gatekeeper::Input::Arrive(arrival(BLOCKER)));
        }
        world.entry_input(entry::Input::Configure(snapshot()));
        world.entry_input(entry::Input::Arrive(entry::Arrival::new(CALL, "", "/once")));
        world
    }

    fn second_response(&mut self) {
        let found = self.connections.iter().position(|c| c.second_responses > 0);
        let Some(index) = found else { return };
        self.connections[index].second_responses -= 1;
        match self.connections[index].awaiting {
            // It has the id of the request, which all attempts share.
            Some(attempt) => self.target_refused(attempt, index),
            // An idle connection is closed.
            None => self.connections[index] = Connection::default(),
        }
    }

    /// A response on a connection says that the target has not run the request.
    fn target_refused(&mut self, attempt: u32, connection: usize) {
        if self.connections[connection].awaiting.take() == Some(attempt) {
            self.end_run(attempt, RunEnd::Rejected(Code::TargetRefused));
        }
    }

    fn respond(&mut self, response: GateResponse) {
        let Some(Held { attempt, connection, .. }) = self.held.pop() else { return };
        // Its caller may have taken something else for the response.
        if self.connections[connection].awaiting.take() != Some(attempt) {
            return;
        }
        self.responses.push((attempt, response));
        let end = RunEnd::Answered { cached: None };
        self.gate_input(gatekeeper::Input::End { call: attempt_key(attempt), end });
    }

    fn response_arrives(&mut self, attempt: u32, response: GateResponse) {
        if self.current.is_none_or(|(current, _)| current != attempt) {
            return;
        }
        match response {
            GateResponse::Refused(code) => self.end_attempt(rejected(code)),
            GateResponse::Unknown(code) => {
                self.end_attempt(AttemptEnd::Failed { code, crashes: 0 })
            }
            GateResponse::Success => self.answer = Some(Answer::Success),
            GateResponse::UnconfirmedStatus => {
                let passed_on = self.bug == Bug::StatusPassedOn;
                self.answer = Some(if passed_on { Answer::NotRun } else { Answer::Unknown });
            }
        }
    }

    fn end_run(&mut self, attempt: u32, end: RunEnd) {
        self.gate_input(gatekeeper::Input::End { call: attempt_key(attempt), end });
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        self.current = None;
        self.entry_input(entry::Input::Attempt { call: CALL, end, replayable: true });
    }

    fn entry_input(&mut self, input: entry::Input<'_>) {
        let mut out = Vec::new();
        self.entry.handle(START, input, &mut out);
        for output in out {
            match output {
                entry::Output::Forward(forward) => self.current = Some((forward.attempt, false)),
                entry::Output::Finish { outcome, .. } => {
                    self.answer = Some(match outcome {
                        Outcome::NotRun { .. } => Answer::NotRun,
                        Outcome::Unknown { .. } | Outcome::Answered => Answer::Unknown,
                    });
                }
            }
        }
    }

    fn gate_input(&mut self, input: gatekeeper::Input<'_>) {
        let mut out = Vec::new();
        self.gatekeeper.handle(START, input, &mut out);
        self.gate_outputs(out);
    }

    fn gate_outputs(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Run { call, .. } if call != BLOCKER => self.send_to_target(call),
                Output::Queue(call, _) => {
                    self.queued.insert(call.0 as u32);
                }
                Output::Reject { call, outcome, .. } => {
                    let attempt = call.0 as u32;
                    self.queued.remove(&attempt);
                    let response = match outcome {
                        Outcome::NotRun { code, .. } => GateResponse::Refused(code),
                        Outcome::Unknown { code } => GateResponse::Unknown(code),
                        Outcome::Answered => panic!("{outcome:?}"),
                    };
                    self.responses.push((attempt, response));
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt over a connection that has carried none, or over any with the bug.
    fn send_to_target(&mut self, call: CallKey) {
        let attempt = call.0 as u32;
        self.queued.remove(&attempt);
        let may_reuse = self.bug == Bug::PairedByRequest;
        let is_usable = |c: &Connection| c.awaiting.is_none() && (may_reuse || !c.carried);
        let connection = self.connections.iter().position(is_usable).unwrap_or_else(|| {
            self.connections.push(Connection::default());
            self.connections.len() - 1
        });
        let used = &mut self.connections[connection];
        (used.carried, used.awaiting) = (true, Some(attempt));
        self.held.push(Held { attempt, begun: false, connection });
    }

    pub fn runs(&self) -> usize {
        self.runs.len()
    }
}

impl Model for World {
    type Event = Event;

    fn apply(&mut self, event: Event) {
        self.history.push(event);
        match event {
            Event::Send => {
                let Some((attempt, sent)) = &mut self.current else { return };
                *sent = true;
                self.in_transit.insert(*attempt);
            }
            Event::ConnectFailed => self.end_attempt(AttemptEnd::NotSent),
            Event::ListenerRefuses => self.end_attempt(rejected(Code::TooManyConnections)),
            Event::StrayRefusal => {
                self.strays += 1;
                self.end_attempt(match self.bug {
                    Bug::ListenerBelieved => rejected(Code::TooManyConnections),
                    _ => AttemptEnd::ConnectionLost,
                });
            }
            Event::ConnectionLost => {
                self.losses += 1;
                self.end_attempt(match self.bug {
                    Bug::LossIsRefusal => rejected(Code::GatekeeperUnreachable),
                    _ => AttemptEnd::ConnectionLost,
                });
            }
            Event::Expire => {
                let sent = self.current.take().is_some_and(|(_, sent)| sent);
                let sent = sent && self.bug != Bug::SentForgotten;
                self.entry_input(entry::Input::Expire { call: CALL, sent });
            }
            Event::Arrive => {
                let Some(attempt) = self.in_transit.pop_first() else { return };
                self.gate_input(gatekeeper::Input::Arrive(arrival(attempt_key(attempt))));
            }
            Event::WaitEnds => {
                let Some(attempt) = self.queued.first().copied() else { return };
                match self.bug {
                    Bug::WaitEndsAlone => {
                        self.responses.push((attempt, GateResponse::Refused(Code::QueueTimeout)));
                    }
                    _ => self.gate_input(gatekeeper::Input::Expire(attempt_key(attempt))),
                }
            }
            Event::SlotFreed => {
                self.slot_taken = false;
                let end = RunEnd::Answered { cached: None };
                self.gate_input(gatekeeper::Input::End { call: BLOCKER, end });
            }
            Event::TargetUnreachable => {
                let Some(Held { attempt, connection, .. }) = self.held.pop() else { return };
                self.connections[connection] = Connection::default();
                self.end_run(attempt, RunEnd::NotSent);
            }
            Event::StateLost => {
                // Its target goes on.
                let Some(held) = self.held.last().copied() else { return };
                let call = attempt_key(held.attempt);
                let mut out = Vec::new();
                let end = RunEnd::Cancelled;
                self.gatekeeper.handle(START, gatekeeper::Input::End { call, end }, &mut out);
                let response = match self.bug {
                    Bug::FallbackPromises => GateResponse::Refused(Code::QueueTimeout),
                    _ => GateResponse::Unknown(Code::TargetFailed),
                };
                self.connections[held.connection].awaiting = None;
                self.responses.push((held.attempt, response));
                self.gate_outputs(out);
            }
            Event::Refuse { twice } => {
                self.refusals += 1;
                let Some(Held { attempt, connection, .. }) = self.held.pop() else { return };
                self.connections[connection].second_responses += u32::from(twice);
                self.target_refused(attempt, connection);
            }
            Event::Run => {
                let Some(held) = self.held.last_mut() else { return };
                held.begun = true;
                self.runs.push(held.attempt);
            }
            Event::Respond => self.respond(GateResponse::Success),
            Event::RespondUnconfirmed => self.respond(GateResponse::UnconfirmedStatus),
            Event::TargetBreaks => {
                let Some(Held { attempt, connection, begun }) = self.held.pop() else { return };
                let is_awaited = self.connections[connection].awaiting == Some(attempt);
                self.connections[connection] = Connection::default();
                if is_awaited {
                    self.end_run(
                        attempt,
                        match self.bug {
                            Bug::BreakIsUnsent if begun => RunEnd::NotSent,
                            _ => RunEnd::Broken { target_gone: false },
                        },
                    );
                }
            }
            Event::SecondResponse => self.second_response(),
            Event::ResponseArrives => {
                let (attempt, response) = self.responses.remove(0);
                self.response_arrives(attempt, response);
            }
        }
    }

    fn possible_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let mut offer = |possible: bool, event: Event| events.extend(possible.then_some(event));
        let current = self.current.filter(|_| self.answer.is_none());
        let is_unsent = current.is_some_and(|(_, sent)| !sent);
        let is_sent = current.is_some_and(|(_, sent)| sent);
        offer(is_unsent, Event::Send);
        offer(is_unsent, Event::ConnectFailed);
        offer(is_unsent, Event::ListenerRefuses);
        offer(is_sent && self.strays == 0, Event::StrayRefusal);
        offer(is_sent && self.losses == 0, Event::ConnectionLost);
        offer(current.is_some(), Event::Expire);
        offer(!self.in_transit.is_empty(), Event::Arrive);
        offer(!self.queued.is_empty(), Event::WaitEnds);
        offer(self.slot_taken, Event::SlotFreed);
        let held = self.held.last();
        let is_waiting = held.is_some_and(|held| !held.begun);
        let is_running = held.is_some_and(|held| held.begun);
        offer(is_waiting, Event::TargetUnreachable);
        offer(held.is_some(), Event::StateLost);
        for twice in [false, true] {
            offer(is_waiting && self.refusals < 2, Event::Refuse { twice });
        }
        offer(is_waiting, Event::Run);
        offer(is_running, Event::Respond);
        offer(is_running, Event::RespondUnconfirmed);
        offer(held.is_some(), Event::TargetBreaks);
        offer(self.connections.iter().any(|c| c.second_responses > 0), Event::SecondResponse);
        offer(!self.responses.is_empty(), Event::ResponseArrives);
        events
    }

    /// Names what is open and all events but those that only change what is named.
    fn state_key(&self) -> String {
        let decisive = |event: &&Event| !matches!(event, Event::Send | Event::Run);
        let history: Vec<&Event> = self.history.iter().filter(decisive).collect();
        let World { current, in_transit, queued, held, connections, responses, runs, .. } = self;
        format!(
            "{current:?} {in_transit:?} {queued:?} {held:?} {connections:?} {responses:?} {runs:?} \
             {:?} {history:?}",
            self.answer
        )
    }

    fn violation(&self) -> Option<String> {
        if self.runs.len() > 1 {
            return Some(format!("runs {:?}", self.runs));
        }
        let is_broken = self.answer == Some(Answer::NotRun) && !self.runs.is_empty();
        is_broken.then(|| format!("answered as not run, and ran as attempt {:?}", self.runs))
    }
}

fn attempt_key(attempt: u32) -> CallKey {
    CallKey(attempt.into())
}

fn arrival(call: CallKey) -> gatekeeper::Arrival<'static> {
    once_arrival(START, call, &snapshot())
}
