//! Parameters of a simulated fleet.

use super::measure;
use super::workload::{CALLED_SERVICES, Size};
use crate::links::Profile;

/// Parameters of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    pub size: Size,
    /// Size of the fleet that the preset is made for. Differs from `size` when measuring the memory
    /// of a few nodes with a large preset.
    pub preset_size: Size,
    pub profile: Profile,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of services that a target calls besides its own.
    pub called_services: usize,
    /// Returns the memory in use, in bytes.
    pub memory: fn() -> u64,
    /// Runs nodes without the call path and its notes, to save memory.
    pub spread_only: bool,
    /// Records a history and compares every configuration in force with the published one.
    pub record_history: bool,
}

impl Setup {
    /// Uses the links of the Franchise Office and the default scope, without a history.
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

    /// Sets the link profile.
    pub fn with_profile(mut self, profile: Profile) -> Setup {
        self.profile = profile;
        self
    }

    /// Uses the preset of a fleet of another size.
    pub fn with_preset_of(mut self, size: Size) -> Setup {
        self.preset_size = size;
        self
    }

    /// Sets the number of called services, and thereby the scope of a node.
    pub fn with_called_services(mut self, called_services: usize) -> Setup {
        self.called_services = called_services;
        self
    }

    /// Replaces the function that returns the memory in use.
    pub fn with_memory(mut self, memory: fn() -> u64) -> Setup {
        self.memory = memory;
        self
    }

    /// Enables or disables the call path.
    pub fn with_spread_only(mut self, spread_only: bool) -> Setup {
        self.spread_only = spread_only;
        self
    }

    /// Enables recording of a history.
    pub fn with_history(mut self) -> Setup {
        self.record_history = true;
        self
    }
}
