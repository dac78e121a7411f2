//! Detects a standing queue, which means that the target is overloaded and not just busy for a
//! moment (Nichols and Jacobson, Controlling Queue Delay, 2012).
//!
//! A burst may wait as long as its responses are still in time: the queue drains by itself. A
//! standing queue only adds its delay to every request, and the longer runs among them miss their
//! objective, so it is kept just long enough to keep the slots busy.

use crate::Time;
use std::time::Duration;

/// A queue that has not been empty for this long is standing, until it stays empty for as long.
const INTERVAL: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Default)]
pub struct StandingQueue {
    is_standing: bool,
    is_empty: bool,
    // When the queue last became empty, or ceased to be.
    changed_at: Time,
}

impl StandingQueue {
    pub fn new() -> StandingQueue {
        StandingQueue { is_standing: false, is_empty: true, changed_at: Time::ZERO }
    }

    /// Records the number of queued requests.
    pub fn record(&mut self, now: Time, queued: u32) {
        let is_empty = queued == 0;
        if is_empty != self.is_empty {
            self.is_empty = is_empty;
            self.changed_at = now;
        } else if now.since(self.changed_at) >= INTERVAL {
            self.is_standing = !is_empty;
        }
    }

    pub fn is_standing(&self) -> bool {
        self.is_standing
    }
}
