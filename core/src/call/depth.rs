//! Tracks the nesting depth of requests, and reserves slots for nested calls where they need them.
//!
//! Nested calls go first in the queue, which suffices unless the runs that hold the slots wait for
//! calls to the same service. Such calls wait until their deadlines; slots are reserved from then
//! on. Elsewhere a reserved slot would be idle for most of the time.

use super::MAX_DEPTH;
use crate::Time;
use std::time::Duration;

/// The newest arrival is weighted by the reciprocal of this in the moving averages.
const SHARE_EWMA_DIVISOR: u32 = 64;

/// Fixed-point scale of the shares.
const SHARE_SCALE: u32 = 1_024;

/// Slots are reserved only while the share of deeper arrivals is at least this.
const MIN_SHARE: u32 = SHARE_SCALE / 64;

/// The newest wait of a nested call is weighted by the reciprocal of this in the moving average.
const WAIT_EWMA_DIVISOR: u32 = 16;

/// Slots are reserved once nested calls wait for this share of the time that they have.
const MAX_WAIT_SHARE: u32 = SHARE_SCALE / 4;

/// How long slots stay reserved.
const RESERVATION_TIME: Duration = Duration::from_secs(60);

/// The slots are divided by this to get the maximum number of reserved slots.
const MAX_RESERVED_DIVISOR: u32 = 4;

/// Distribution of nesting depths among recent arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct NestingDepths {
    // Moving average, by depth, of the share of arrivals that are nested more deeply.
    deeper: [u32; MAX_DEPTH as usize],
    // Moving average of the share of their time that nested calls wait.
    wait_share: u32,
    reserved_until: Time,
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

    /// Records that a nested call has waited for this part of the time that it had.
    pub fn record_wait(&mut self, now: Time, waited: Duration, allowed: Duration) {
        let share = waited.as_micros() * u128::from(SHARE_SCALE) / allowed.as_micros().max(1);
        let newest = share.min(SHARE_SCALE.into()) as u32;
        self.wait_share = (self.wait_share * (WAIT_EWMA_DIVISOR - 1) + newest) / WAIT_EWMA_DIVISOR;
        if self.wait_share >= MAX_WAIT_SHARE {
            self.reserved_until = now + RESERVATION_TIME;
        }
    }

    /// Returns how many of `slots` a request at this depth must leave to deeper calls.
    ///
    /// Without reserved slots, requests could occupy all slots of a service that their own nested
    /// calls need, and wait until their deadlines. No slots are reserved unless deeper calls have
    /// arrived and had to wait.
    pub fn reserved_slots(&self, now: Time, slots: u32, depth: u8) -> u32 {
        if now >= self.reserved_until {
            return 0;
        }
        let deeper = self.deeper.get(usize::from(depth)).copied();
        if deeper.is_none_or(|share| share < MIN_SHARE) {
            return 0;
        }
        // Slots in proportion to the share of nested arrivals, less one for each level of nesting.
        let wanted = (slots * self.deeper[0]).div_ceil(SHARE_SCALE);
        wanted.min(slots / MAX_RESERVED_DIVISOR).saturating_sub(depth.into())
    }
}
