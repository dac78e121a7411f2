//! Retry budget of a service at one entry node.

/// Retries that may be saved up; bounds the burst when a service starts to fail.
const MAX_SAVED: u64 = 10;

/// Retries that a service may use before any request was counted.
const FIRST_SAVED: u64 = 3;

/// Units of one retry, so that a share in percent adds up without fractions.
const RETRY: u64 = 100;

/// Retries allowed as a share of first attempts.
///
/// Guards against a retry storm: a failing service would otherwise be hit by each request as
/// often as its attempts allow, and be kept down by it. However many attempts a route allows, the
/// sum of retries stays under the share of first attempts plus what may be saved up.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: u64,
}

impl Budget {
    /// A budget with a few retries in it.
    pub fn new() -> Budget {
        Budget { saved: FIRST_SAVED * RETRY }
    }

    /// Counts a first attempt.
    pub fn count_first(&mut self, percent: u32) {
        self.saved = (self.saved + u64::from(percent)).min(MAX_SAVED * RETRY);
    }

    /// Takes one retry out. Returns false if there is none left.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= RETRY;
        if enough {
            self.saved -= RETRY;
        }
        enough
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
