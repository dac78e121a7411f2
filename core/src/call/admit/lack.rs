//! Load pattern: a lack of capacity that lasts for seconds, during which callers that are refused
//! come back after a moment and are refused again.

use crate::Time;
use std::time::Duration;

/// A lack of capacity ends when nothing has been refused for this long.
const END: Duration = Duration::from_secs(1);

/// The current lack of capacity for parked requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lack {
    since: Time,
    refused_at: Time,
}

impl Lack {
    /// Records a refusal. Returns the time after which the request may be retried: a lack is
    /// expected to last as long again as it has lasted, and at least for `least`.
    pub(super) fn record_refusal(&mut self, now: Time, least: Duration) -> Duration {
        if now.since(self.refused_at) > END {
            self.since = now;
        }
        self.refused_at = now;
        now.since(self.since).max(least)
    }

    /// How long the lack has lasted.
    pub(super) fn duration(&self, now: Time) -> Duration {
        match now.since(self.refused_at) > END {
            true => Duration::ZERO,
            false => now.since(self.since),
        }
    }
}
