//! Combines the state machines of one node behind a single entry point, for simulating many
//! nodes in one thread.
//!
//! The `sycamore-node` process connects the same state machines in the same way, but holds each
//! under its own lock.

use crate::Time;
use crate::call::{Entry, Gatekeeper, entry, gatekeeper};
use crate::event::Event;
use crate::spread::{self, Spread};
use std::sync::Arc;

/// An input to one of the node's state machines.
#[derive(Debug)]
pub enum Input<'a> {
    /// Input to version distribution.
    Spread(spread::Input),
    /// Input to the entry side of the call path.
    Entry(entry::Input<'a>),
    /// Input to the gatekeeper side of the call path.
    Gatekeeper(gatekeeper::Input<'a>),
}

/// An action requested by the node.
#[derive(Debug)]
pub enum Output {
    /// Action of version distribution. Member views, incoming notes and confirmations are handled
    /// internally and never appear here.
    Spread(spread::Output),
    /// Action of the entry side of the call path.
    Entry(entry::Output),
    /// Action of the gatekeeper side of the call path. Outgoing notes and events are handled
    /// internally and never appear here.
    Gatekeeper(gatekeeper::Output),
    /// Record a state change of the call path.
    Event(Event),
}

/// The connected state machines of one node. Snapshots and member views flow from version
/// distribution to the call path; notes flow in both directions.
#[derive(Debug)]
pub struct Node {
    spread: Spread,
    entry: Entry,
    gatekeeper: Gatekeeper,
}

impl Node {
    /// Creates a node whose process started at `now`. All random choices derive from `seed`.
    pub fn new(cfg: spread::Config, now: Time, seed: u64) -> Node {
        Node {
            entry: Entry::new(cfg.place.clone(), seed),
            gatekeeper: Gatekeeper::new(cfg.vm.clone(), now, seed),
            spread: Spread::new(cfg, seed),
        }
    }

    /// Read-only access to the version distribution state.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// Processes one input at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Spread(input) => self.handle_spread(now, input, out),
            Input::Entry(input) => self.handle_entry(now, input, out),
            Input::Gatekeeper(input) => self.handle_gatekeeper(now, input, out),
        }
    }

    fn handle_spread(&mut self, now: Time, input: spread::Input, out: &mut Vec<Output>) {
        let is_stop = input == spread::Input::Stop;
        let mut outputs = Vec::new();
        self.spread.handle(now, input, &mut outputs);
        for output in outputs {
            self.dispatch_spread_output(now, output, out);
        }
        if is_stop {
            self.handle_entry(now, entry::Input::Drain, out);
            self.handle_gatekeeper(now, gatekeeper::Input::Drain, out);
        }
    }

    fn dispatch_spread_output(&mut self, now: Time, output: spread::Output, out: &mut Vec<Output>) {
        match output {
            spread::Output::InForce(snapshot) => {
                // The gatekeeper must release its keys before the entry side routes them to new
                // homes.
                self.handle_gatekeeper(now, gatekeeper::Input::Configure(snapshot.clone()), out);
                self.handle_entry(now, entry::Input::Configure(snapshot.clone()), out);
                out.push(Output::Spread(spread::Output::InForce(snapshot)));
            }
            spread::Output::Members(members) => {
                let members = Arc::new(members);
                self.handle_gatekeeper(now, gatekeeper::Input::View(members.clone()), out);
                self.handle_entry(now, entry::Input::View(members), out);
            }
            spread::Output::Note { from, note } => {
                let input = gatekeeper::Input::Note { from: &from, note: &note };
                self.handle_gatekeeper(now, input, out);
            }
            spread::Output::Confirmed => {
                self.handle_gatekeeper(now, gatekeeper::Input::Confirm, out)
            }
            other => out.push(Output::Spread(other)),
        }
    }

    fn handle_entry(&mut self, now: Time, input: entry::Input<'_>, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.entry.handle(now, input, &mut outputs);
        out.extend(outputs.into_iter().map(Output::Entry));
    }

    fn handle_gatekeeper(
        &mut self,
        now: Time,
        input: gatekeeper::Input<'_>,
        out: &mut Vec<Output>,
    ) {
        let mut outputs = Vec::new();
        self.gatekeeper.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                gatekeeper::Output::Send(note) => {
                    self.handle_spread(now, spread::Input::Note(note), out);
                }
                gatekeeper::Output::Record(kind) => out.push(Output::Event(Event::new(now, kind))),
                other => out.push(Output::Gatekeeper(other)),
            }
        }
    }
}
