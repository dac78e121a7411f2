//! Limits the number of hedges that an entry node sends.
//!
//! A hedge that wins has found a slow or unresponsive target, so most of its cost is refunded. If
//! the whole service is slow, primaries win and hedges are limited to a small share of first
//! attempts.

use crate::config::Class;

const HEDGE_COST: u32 = 100;

/// Credit added by each first attempt.
const FIRST_ATTEMPT_CREDIT: u32 = 4;

/// Credit returned when a hedge receives its response before the primary.
const WIN_REFUND: u32 = 95;

const MAX_BALANCE: u32 = 300;

/// Hedge budgets of one entry node, by class.
#[derive(Debug)]
pub(in crate::call::entry) struct HedgeBudget {
    balances: [u32; 3],
}

impl HedgeBudget {
    pub(in crate::call::entry) fn new() -> HedgeBudget {
        HedgeBudget { balances: [MAX_BALANCE; 3] }
    }

    pub(in crate::call::entry) fn record_first_attempt(&mut self, class: Class) {
        self.add(class, FIRST_ATTEMPT_CREDIT);
    }

    pub(in crate::call::entry) fn record_win(&mut self, class: Class) {
        self.add(class, WIN_REFUND);
    }

    pub(in crate::call::entry) fn is_available(&self, class: Class) -> bool {
        self.balances[class as usize] >= HEDGE_COST
    }

    pub(in crate::call::entry) fn charge(&mut self, class: Class) {
        let balance = &mut self.balances[class as usize];
        *balance = balance.saturating_sub(HEDGE_COST);
    }

    fn add(&mut self, class: Class, credit: u32) {
        let balance = &mut self.balances[class as usize];
        *balance = (*balance + credit).min(MAX_BALANCE);
    }
}
