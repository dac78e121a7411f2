//! How many second attempts an entry node may start while the first goes on.
//!
//! A second attempt that is answered first has found a target that was slow or silent, and may be
//! followed by another. Where everything is slow the first attempts win, and what is left is a
//! small share of first attempts.

use crate::config::Class;

/// What one hedge costs.
const HEDGE_COST: u32 = 100;

/// What a first attempt adds.
const FIRST_ATTEMPT_CREDIT: u32 = 4;

/// What is given back for a hedge that was answered first.
const WIN_REFUND: u32 = 95;

/// Most that is saved up.
const MAX_BALANCE: u32 = 300;

/// The allowances of one entry node, by class.
#[derive(Debug)]
pub(in crate::call::entry) struct HedgeBudget {
    balances: [u32; 3],
}

impl HedgeBudget {
    /// An allowance for a few.
    pub(in crate::call::entry) fn new() -> HedgeBudget {
        HedgeBudget { balances: [MAX_BALANCE; 3] }
    }

    /// Counts a first attempt.
    pub(in crate::call::entry) fn record_first_attempt(&mut self, class: Class) {
        self.add(class, FIRST_ATTEMPT_CREDIT);
    }

    /// Counts a hedge that was answered before the first attempt.
    pub(in crate::call::entry) fn record_win(&mut self, class: Class) {
        self.add(class, WIN_REFUND);
    }

    /// Whether there is enough for one.
    pub(in crate::call::entry) fn is_available(&self, class: Class) -> bool {
        self.balances[class as usize] >= HEDGE_COST
    }

    /// Takes one.
    pub(in crate::call::entry) fn charge(&mut self, class: Class) {
        let balance = &mut self.balances[class as usize];
        *balance = balance.saturating_sub(HEDGE_COST);
    }

    fn add(&mut self, class: Class, credit: u32) {
        let balance = &mut self.balances[class as usize];
        *balance = (*balance + credit).min(MAX_BALANCE);
    }
}
