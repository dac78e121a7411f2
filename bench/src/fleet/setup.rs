//! What a fleet in memory is made of.

use super::measure;
use super::workload::{CALLED_SERVICES, Size};
use crate::links::Profile;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its size.
    pub size: Size,
    /// The size of the fleet that the preset is for; the same, unless the memory of a few nodes
    /// with a large preset is measured.
    pub preset_size: Size,
    /// Its links.
    pub profile: Profile,
    /// Seed of every random choice.
    pub seed: u64,
    /// Services that a target calls besides its own.
    pub called_services: usize,
    /// Tells the memory in use, in bytes.
    pub memory: fn() -> u64,
    /// Whether nodes are without the deciders of the call path, and so without the notes that
    /// these send.
    pub spread_only: bool,
    /// Whether a history is recorded and every configuration held against what was published.
    pub record_history: bool,
}

impl Setup {
    /// A fleet of the Franchise Office's links with the usual scope, without a record.
    pub fn new(size: Size, seed: u64) -> Setup {
        let profile = Profile::franchise();
        Setup {
            size,
            preset_size: size,
            profile,
            seed,
            called_services: CALLED_SERVICES,
            memory: measure::resident_bytes,
            spread_only: false,
            record_history: false,
        }
    }

    /// The same with these links.
    pub fn with_profile(mut self, profile: Profile) -> Setup {
        self.profile = profile;
        self
    }

    /// The same with the preset of another fleet.
    pub fn with_preset_of(mut self, size: Size) -> Setup {
        self.preset_size = size;
        self
    }

    /// The same with another scope.
    pub fn with_called_services(mut self, called_services: usize) -> Setup {
        self.called_services = called_services;
        self
    }

    /// The same with a better gauge of the memory in use.
    pub fn with_memory(mut self, memory: fn() -> u64) -> Setup {
        self.memory = memory;
        self
    }

    /// The same with or without the call path.
    pub fn with_spread_only(mut self, spread_only: bool) -> Setup {
        self.spread_only = spread_only;
        self
    }

    /// The same with a record.
    pub fn with_history(mut self) -> Setup {
        self.record_history = true;
        self
    }
}
