//! Spread of versions and of the VM list over the fleet.
