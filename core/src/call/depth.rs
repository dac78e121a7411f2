//! How deep the requests that come are nested, and the slots that are kept free for the deeper
//! ones.

use super::MAX_DEPTH;

/// Weight of the newest arrival in the running shares, as one part in so many.
const WEIGHT: u32 = 64;

/// Parts of a share; shares are counted in these.
const SHARE_SCALE: u32 = 1_024;

/// A smaller share of deeper requests than this keeps no slot free for them.
const MIN_SHARE: u32 = SHARE_SCALE / 64;

/// At most one slot in so many is kept free.
const MAX_RESERVED_DIVISOR: u32 = 4;

/// Which share of the arrivals is nested how deep.
#[derive(Clone, Copy, Debug, Default)]
pub struct NestingDepths {
    // Share of arrivals that are nested deeper than the index.
    deeper: [u32; MAX_DEPTH as usize],
}

impl NestingDepths {
    /// Nothing has come.
    pub fn new() -> NestingDepths {
        NestingDepths::default()
    }

    /// Counts an arrival. `depth` is how many calls wait for it.
    pub fn record(&mut self, depth: u8) {
        for (level, share) in self.deeper.iter_mut().enumerate() {
            let newest = if usize::from(depth) > level { SHARE_SCALE } else { 0 };
            *share = (*share * (WEIGHT - 1) + newest) / WEIGHT;
        }
    }

    /// Of so many slots, those that a request at this depth must leave free.
    ///
    /// Slots that requests of this depth must leave free for deeper calls: requests that hold every
    /// slot of a service which their own nested calls need would wait until their deadlines. None
    /// are kept where no deeper call has come.
    pub fn reserved_slots(&self, slots: u32, depth: u8) -> u32 {
        let deeper = self.deeper.get(usize::from(depth)).copied();
        if deeper.is_none_or(|share| share < MIN_SHARE) {
            return 0;
        }
        let wanted = (slots * self.deeper[0]).div_ceil(SHARE_SCALE);
        wanted.min(slots / MAX_RESERVED_DIVISOR).saturating_sub(depth.into())
    }
}
