//! Spread of versions and of the VM list over the fleet.
//!
//! [`Spread`] is the decider of one node. It is told what happens as an [`Input`] and answers with
//! [`Output`]s that an adapter, or a fleet in memory, carries out. It keeps every timer itself:
//! the adapter hands it [`Input::Wake`] at the time of the last [`Output::WakeAt`].

pub mod message;
pub mod port;

pub use message::{Delta, PeerMsg, Summary, Word};
pub use port::{Config, Input, Output, Peer, SourceCall, SourceReply, SourceValue};

use crate::Time;

/// The decider of one node for the spread of versions.
#[derive(Debug)]
pub struct Spread {
    cfg: Config,
    seed: u64,
}

impl Spread {
    /// A node that has not started. `seed` feeds its random choices.
    pub fn new(cfg: Config, seed: u64) -> Spread {
        Spread { cfg, seed }
    }

    /// Takes one input at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        let _ = (now, input, out, &self.cfg, self.seed);
    }
}
