//! Load pattern: kinds of request whose objectives differ by several times wait at one target, and
//! the kind with the latest start times would wait as long as any other does.
//!
//! Each kind that waits earns credit from the starts of others, and goes first once it has earned a
//! start.

use super::Offer;
use super::parking::Kind;
use std::collections::BTreeMap;

/// A credit of one start.
const START: u32 = 1_000_000;

/// Share of the starts that is divided among the kinds that wait, in units of `START`. No less than
/// the turn that bulk requests get in the queue.
const MIN_SHARE: u32 = START / 4;

/// A kind that could not use its credit, for lack of the link, doesn't save more than this.
const MAX_CREDIT: u32 = 2 * START;

/// Weight by class (gating, interactive, bulk) of rank 0; divided by the rank plus one.
const WEIGHT: [u32; 3] = [4_096, 2_048, 1_024];

/// Credit of the kinds that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    credits: BTreeMap<Kind, u32>,
}

impl Shares {
    /// Share of the starts that `kind` gets at least while these kinds wait, in units of `START`.
    fn share(kind: Kind, waiting: impl Iterator<Item = Kind>) -> u32 {
        let total: u64 = waiting.map(|kind| u64::from(kind.weight())).sum();
        let share = u64::from(MIN_SHARE) * u64::from(kind.weight()) / total.max(1);
        share.clamp(1, MIN_SHARE.into()) as u32
    }

    /// Number of starts of any kind per guaranteed start of a kind that arrives.
    pub(super) fn starts_per_turn(kind: Kind, waiting: impl Iterator<Item = Kind>) -> u32 {
        let others = waiting.filter(|other| *other != kind);
        START / Shares::share(kind, others.chain([kind]))
    }

    /// Records a start. Nested calls are no reason to let others go first.
    pub(super) fn record_start(
        &mut self,
        waiting: impl Iterator<Item = Kind> + Clone,
        offer: &Offer,
    ) {
        let started = Kind::of(offer);
        self.credits.retain(|kind, _| waiting.clone().any(|other| other == *kind));
        if offer.depth > 0 {
            return;
        }
        for kind in waiting.clone().filter(|kind| *kind != started) {
            let share = Shares::share(kind, waiting.clone());
            let credit = self.credits.entry(kind).or_default();
            *credit = (*credit + share).min(MAX_CREDIT);
        }
        if let Some(credit) = self.credits.get_mut(&started) {
            *credit = credit.saturating_sub(START);
        }
    }

    /// Kinds that have earned a start, the most urgent first.
    pub(super) fn owed(&self) -> impl Iterator<Item = Kind> {
        self.credits.iter().filter(|(_, credit)| **credit >= START).map(|(kind, _)| *kind)
    }
}

impl Kind {
    fn weight(self) -> u32 {
        (WEIGHT[self.class as usize] / (u32::from(self.rank) + 1)).max(1)
    }
}
