//! The part of a version that a node needs.

use crate::Name;
use std::collections::BTreeSet;

data! {
    /// A selection of services, including their limits, targets and routes.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Scope {
        All,
        /// The named services, whether or not the version contains them.
        Only(BTreeSet<Name>),
    }
}

impl Scope {
    /// Creates a scope from a list of services; `None` selects all.
    pub fn new(services: Option<&[Name]>) -> Scope {
        match services {
            Some(services) => Scope::Only(services.iter().cloned().collect()),
            None => Scope::All,
        }
    }

    /// The selected services, or `None` for all.
    pub fn services(&self) -> Option<Vec<Name>> {
        match self {
            Scope::All => None,
            Scope::Only(services) => Some(services.iter().cloned().collect()),
        }
    }

    pub fn covers(&self, service: &Name) -> bool {
        match self {
            Scope::All => true,
            Scope::Only(services) => services.contains(service),
        }
    }

    /// Whether this scope is a superset of `other`.
    pub fn includes(&self, other: &Scope) -> bool {
        match (self, other) {
            (Scope::All, _) => true,
            (Scope::Only(_), Scope::All) => false,
            (Scope::Only(ours), Scope::Only(theirs)) => theirs.is_subset(ours),
        }
    }
}
