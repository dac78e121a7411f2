//! Retry budget of a service at one entry node.

use crate::Time;
use std::time::Duration;

/// Retries that may be saved up; bounds the burst when a service starts to fail.
const MAX_SAVED: u64 = 10;

/// Retries that a service may use before any request was counted.
const FIRST_SAVED: u64 = 3;

/// Units of one retry, so that a share in percent adds up without fractions.
const RETRY: u64 = 100;

/// Span over which a fleet-wide budget holds, and how many steps it is counted in.
const WINDOW: Duration = Duration::from_secs(10);
const STEPS: usize = 5;

/// Retries allowed as a share of first attempts.
///
/// Limits retries to a share of first attempts plus a small saved-up reserve, however many attempts
/// a route allows, so that retries can't keep a failing service down.
#[derive(Clone, Copy, Debug)]
pub enum Budget {
    /// Unused retries are saved up, within a bound for this node alone.
    Saved(u64),
    /// The sum over all nodes is bounded in each window: see [`Window`].
    Window(Window),
}

/// A budget that holds over the fleet in each span of `WINDOW` without a message between nodes:
/// every node uses at most its share of the first attempts that it has itself counted, and its
/// part of a fixed reserve.
///
/// Retries are counted over one step more than first attempts, so that the bound holds in every
/// window wherever it starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    first: [u64; STEPS + 1],
    retries: [u64; STEPS + 1],
    step: u64,
    // Units that this node may use whatever it has counted.
    reserve: u64,
}

/// How much of a service's retries a node may use.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Share of first attempts, in percent.
    pub percent: u32,
    /// Retries of the whole fleet beside the share, in each window; absent for a budget of this
    /// node alone.
    pub reserve: Option<u32>,
    /// Nodes that share the reserve.
    pub nodes: u32,
}

impl Budget {
    /// A budget with a few retries in it.
    pub fn new() -> Budget {
        Budget::Saved(FIRST_SAVED * RETRY)
    }

    /// Counts a first attempt.
    pub fn count_first(&mut self, now: Time, allowance: Allowance) {
        self.adopt(allowance);
        match self {
            Budget::Saved(saved) => {
                *saved = (*saved + u64::from(allowance.percent)).min(MAX_SAVED * RETRY);
            }
            Budget::Window(window) => {
                window.allow(allowance);
                window.count_first(now, allowance.percent);
            }
        }
    }

    /// Counts a request that has come, as a first attempt or as a repeat.
    pub fn count(&mut self, now: Time, allowance: Allowance, repeat: bool) {
        match repeat {
            true => self.count_repeat(now, allowance),
            false => self.count_first(now, allowance),
        }
    }

    /// Counts a repeat that was not this node's to refuse, as the call of a run that is made
    /// again: it uses up one retry, whether there is one left or not.
    pub fn count_repeat(&mut self, now: Time, allowance: Allowance) {
        self.adopt(allowance);
        match self {
            Budget::Saved(saved) => *saved = saved.saturating_sub(RETRY),
            Budget::Window(window) => {
                window.allow(allowance);
                window.use_one(now);
            }
        }
    }

    /// Whether a retry is left.
    pub fn has_one(&mut self, now: Time) -> bool {
        match self {
            Budget::Saved(saved) => *saved >= RETRY,
            Budget::Window(window) => window.has_one(now),
        }
    }

    /// Takes one retry out. Returns false if there is none left.
    pub fn take(&mut self, now: Time) -> bool {
        let enough = self.has_one(now);
        if enough {
            match self {
                Budget::Saved(saved) => *saved -= RETRY,
                Budget::Window(window) => window.use_one(now),
            }
        }
        enough
    }

    /// Begins anew where the kind of budget has changed.
    fn adopt(&mut self, allowance: Allowance) {
        match (&*self, allowance.reserve) {
            (Budget::Saved(_), Some(_)) => *self = Budget::Window(Window::default()),
            (Budget::Window(_), None) => *self = Budget::new(),
            (Budget::Saved(_), None) | (Budget::Window(_), Some(_)) => {}
        }
    }
}

impl Window {
    /// Takes up this node's part of the reserve.
    fn allow(&mut self, allowance: Allowance) {
        let reserve = u64::from(allowance.reserve.unwrap_or(0));
        self.reserve = reserve * RETRY / u64::from(allowance.nodes.max(1));
    }

    fn count_first(&mut self, now: Time, percent: u32) {
        self.turn(now);
        self.first[0] += u64::from(percent);
    }

    fn has_one(&mut self, now: Time) -> bool {
        self.turn(now);
        let allowed = self.reserve + self.first[..STEPS].iter().sum::<u64>();
        self.retries.iter().sum::<u64>() + RETRY <= allowed
    }

    fn use_one(&mut self, now: Time) {
        self.turn(now);
        self.retries[0] += RETRY;
    }

    /// Drops the steps that are over.
    fn turn(&mut self, now: Time) {
        let length = WINDOW.as_micros() as u64 / STEPS as u64;
        let step = now.0 / length;
        let passed = step.saturating_sub(self.step).min(STEPS as u64 + 1) as usize;
        for counts in [&mut self.first, &mut self.retries] {
            counts.rotate_right(passed % (STEPS + 1));
            counts[..passed].fill(0);
        }
        self.step = self.step.max(step);
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
