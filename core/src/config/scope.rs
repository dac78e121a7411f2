//! Which part of a version a node needs.

use crate::Name;
use std::collections::BTreeSet;

data! {
    /// A choice of services: their limits, their targets and the routes that lead to them.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Scope {
        /// Every service.
        All,
        /// These services, whether the version has them or not.
        Only(BTreeSet<Name>),
    }
}

impl Scope {
    /// The scope of these services; `None` for all.
    pub fn new(services: Option<&[Name]>) -> Scope {
        match services {
            Some(services) => Scope::Only(services.iter().cloned().collect()),
            None => Scope::All,
        }
    }

    /// The services named; `None` for all.
    pub fn services(&self) -> Option<Vec<Name>> {
        match self {
            Scope::All => None,
            Scope::Only(services) => Some(services.iter().cloned().collect()),
        }
    }

    /// Whether a service is in scope.
    pub fn covers(&self, service: &Name) -> bool {
        match self {
            Scope::All => true,
            Scope::Only(services) => services.contains(service),
        }
    }

    /// Whether everything in `other` is in this scope too.
    pub fn includes(&self, other: &Scope) -> bool {
        match (self, other) {
            (Scope::All, _) => true,
            (Scope::Only(_), Scope::All) => false,
            (Scope::Only(ours), Scope::Only(theirs)) => theirs.is_subset(ours),
        }
    }
}
