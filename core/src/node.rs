//! All decisions of one node behind one entry point, for harnesses that drive many nodes in one
//! thread.
//!
//! The process `sycamore-node` keeps its deciders under locks of their own and joins them in the
//! same way.

use crate::Time;
use crate::call::{Entry, Gatekeeper, entry, gatekeeper};
use crate::event::Event;
use crate::spread::{self, Spread};
use std::sync::Arc;

/// Something that happened to a node.
#[derive(Debug)]
pub enum Input<'a> {
    /// To the spread of versions.
    Spread(spread::Input),
    /// To a call at its entry node.
    Entry(entry::Input<'a>),
    /// To a call at its gatekeeper.
    Gate(gatekeeper::Input<'a>),
}

/// Something that a node wants done.
#[derive(Debug)]
pub enum Output {
    /// For the spread of versions; never a note, a version or a view for this node itself.
    Spread(spread::Output),
    /// For a call at its entry node.
    Entry(entry::Output),
    /// For a call at its gatekeeper; never a note or an event.
    Gate(gatekeeper::Output),
    /// Record a change of state of the call path.
    Event(Event),
}

/// The deciders of one node, joined: versions and views go from the spread to the calls, notes
/// both ways.
#[derive(Debug)]
pub struct Node {
    spread: Spread,
    entry: Entry,
    gate: Gatekeeper,
}

impl Node {
    /// A node whose process started at `now`. `seed` feeds all of its random choices.
    pub fn new(cfg: spread::Config, now: Time, seed: u64) -> Node {
        Node {
            entry: Entry::new(cfg.place.clone(), seed),
            gate: Gatekeeper::new(cfg.vm.clone(), now, seed),
            spread: Spread::new(cfg, seed),
        }
    }

    /// The spread's decider, to look at.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// Takes one input at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Spread(input) => self.handle_spread(now, input, out),
            Input::Entry(input) => self.handle_entry(now, input, out),
            Input::Gate(input) => self.handle_gate(now, input, out),
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
            self.handle_gate(now, gatekeeper::Input::Drain, out);
        }
    }

    fn dispatch_spread_output(&mut self, now: Time, output: spread::Output, out: &mut Vec<Output>) {
        match output {
            spread::Output::InForce(snapshot) => {
                // The gatekeeper first: it lets go of keys before anyone sends them elsewhere.
                self.handle_gate(now, gatekeeper::Input::Configure(snapshot.clone()), out);
                self.handle_entry(now, entry::Input::Configure(snapshot.clone()), out);
                out.push(Output::Spread(spread::Output::InForce(snapshot)));
            }
            spread::Output::Members(members) => {
                let members = Arc::new(members);
                self.handle_gate(now, gatekeeper::Input::View(members.clone()), out);
                self.handle_entry(now, entry::Input::View(members), out);
            }
            spread::Output::Note { from, note } => {
                let input = gatekeeper::Input::Note { from: &from, note: &note };
                self.handle_gate(now, input, out);
            }
            spread::Output::Confirmed => self.handle_gate(now, gatekeeper::Input::Confirm, out),
            other => out.push(Output::Spread(other)),
        }
    }

    fn handle_entry(&mut self, now: Time, input: entry::Input<'_>, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.entry.handle(now, input, &mut outputs);
        out.extend(outputs.into_iter().map(Output::Entry));
    }

    fn handle_gate(&mut self, now: Time, input: gatekeeper::Input<'_>, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.gate.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                gatekeeper::Output::Send(note) => {
                    self.handle_spread(now, spread::Input::Note(note), out);
                }
                gatekeeper::Output::Record(kind) => out.push(Output::Event(Event::new(now, kind))),
                other => out.push(Output::Gate(other)),
            }
        }
    }
}
