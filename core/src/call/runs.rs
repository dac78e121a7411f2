//! Counts of the running requests of a target, used to classify the nested calls that they make.

use super::Terms;
use crate::config::Class;
use indexmap::IndexMap;

key! {
    /// Running requests of one target, limited to kinds of request of which at least one is a
    /// repeat.
    #[derive(Default)]
    pub struct Runs {
        /// Number of running requests of these kinds.
        pub all: u32,
        /// Number of these that are repeats.
        pub repeats: u32,
    }

    /// The route properties by which a gatekeeper distinguishes running requests.
    pub struct RunKind {
        class: Class,
        rank: u8,
        idempotent: bool,
    }
}

/// Running requests by kind.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    by_kind: IndexMap<RunKind, Runs>,
}

impl RunKind {
    pub fn of(terms: &Terms) -> RunKind {
        RunKind { class: terms.class, rank: terms.rank, idempotent: terms.idempotent }
    }
}

impl RunCounts {
    pub fn new() -> RunCounts {
        RunCounts::default()
    }

    /// Records the start of a run.
    pub fn begin(&mut self, kind: RunKind, repeat: bool) {
        let runs = self.by_kind.entry(kind).or_default();
        runs.all += 1;
        runs.repeats += u32::from(repeat);
    }

    /// Records the end of a run.
    pub fn end(&mut self, kind: RunKind, repeat: bool) {
        if let Some(runs) = self.by_kind.get_mut(&kind) {
            runs.all = runs.all.saturating_sub(1);
            runs.repeats = runs.repeats.saturating_sub(u32::from(repeat));
        }
    }

    /// The running requests that may have made a nested call.
    ///
    /// Only kinds with at least one repeat are counted: among all running requests the share of
    /// repeats would be too low if most of them make no calls.
    pub fn kinds_with_repeats(&self) -> Runs {
        let repeated = self.by_kind.values().filter(|runs| runs.repeats > 0);
        repeated.fold(Runs::default(), |sum, runs| Runs {
            all: sum.all + runs.all,
            repeats: sum.repeats + runs.repeats,
        })
    }
}
