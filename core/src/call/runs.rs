//! What a target runs, for the calls that its runs make.

use super::Terms;
use crate::config::Class;
use indexmap::IndexMap;

key! {
    /// Runs of one target that are alike to some run which is a repeat.
    #[derive(Default)]
    pub struct Runs {
        /// All of them.
        pub all: u32,
        /// Those of them that are repeats.
        pub repeats: u32,
    }

    /// What a gatekeeper can tell runs of different routes apart by.
    pub struct RunKind {
        class: Class,
        rank: u8,
        idempotent: bool,
    }
}

/// Runs by their kind, counted as they begin and end.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    by_kind: IndexMap<RunKind, Runs>,
}

impl RunKind {
    /// The kind of a run with these terms.
    pub fn of(terms: &Terms) -> RunKind {
        RunKind { class: terms.class, rank: terms.rank, idempotent: terms.idempotent }
    }
}

impl RunCounts {
    /// Nothing runs.
    pub fn new() -> RunCounts {
        RunCounts::default()
    }

    /// A run begins.
    pub fn begin(&mut self, kind: RunKind, repeat: bool) {
        let runs = self.by_kind.entry(kind).or_default();
        runs.all += 1;
        runs.repeats += u32::from(repeat);
    }

    /// It ends.
    pub fn end(&mut self, kind: RunKind, repeat: bool) {
        if let Some(runs) = self.by_kind.get_mut(&kind) {
            runs.all = runs.all.saturating_sub(1);
            runs.repeats = runs.repeats.saturating_sub(u32::from(repeat));
        }
    }

    /// The runs among which a nested call looks for the one that makes it.
    ///
    /// Only runs of the same kind as some repeat count: the share of repeats among all runs would
    /// be too low where most runs make no calls.
    pub fn kinds_with_repeats(&self) -> Runs {
        let repeated = self.by_kind.values().filter(|runs| runs.repeats > 0);
        repeated.fold(Runs::default(), |sum, runs| Runs {
            all: sum.all + runs.all,
            repeats: sum.repeats + runs.repeats,
        })
    }
}
