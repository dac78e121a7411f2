//! Tracks the nesting depth of requests to reserve slots for nested calls.

use super::MAX_DEPTH;

/// The newest arrival is weighted by the reciprocal of this in the moving averages.
const SHARE_EWMA_DIVISOR: u32 = 64;

/// Fixed-point scale of the shares.
const SHARE_SCALE: u32 = 1_024;

/// Slots are reserved only while the share of deeper arrivals is at least this.
const MIN_SHARE: u32 = SHARE_SCALE / 64;

/// The slots are divided by this to get the maximum number of reserved slots.
const MAX_RESERVED_DIVISOR: u32 = 4;

/// Distribution of nesting depths among recent arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct NestingDepths {
    // Moving average, by depth, of the share of arrivals that are nested more deeply.
    deeper: [u32; MAX_DEPTH as usize],
}

impl NestingDepths {
    pub fn new() -> NestingDepths {
        NestingDepths::default()
    }

    /// Records an arrival. `depth` is the number of calls that wait for it.
    pub fn record(&mut self, depth: u8) {
        for (level, share) in self.deeper.iter_mut().enumerate() {
            let newest = if usize::from(depth) > level { SHARE_SCALE } else { 0 };
            *share = (*share * (SHARE_EWMA_DIVISOR - 1) + newest) / SHARE_EWMA_DIVISOR;
        }
    }

    /// Returns how many of `slots` a request at this depth must leave free for deeper calls.
    ///
    /// Without reserved slots, requests could occupy all slots of a service that their own nested
    /// calls need, and wait until their deadlines. No slots are reserved unless deeper calls have
    /// arrived.
    pub fn reserved_slots(&self, slots: u32, depth: u8) -> u32 {
        let deeper = self.deeper.get(usize::from(depth)).copied();
        if deeper.is_none_or(|share| share < MIN_SHARE) {
            return 0;
        }
        // Slots in proportion to the share of nested arrivals, less one for each level of nesting.
        let wanted = (slots * self.deeper[0]).div_ceil(SHARE_SCALE);
        wanted.min(slots / MAX_RESERVED_DIVISOR).saturating_sub(depth.into())
    }
}
