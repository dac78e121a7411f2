//! Sets of keys that a home may have to release.

use crate::Name;
use crate::call::note::{HomeList, Unreleased};
use crate::hash::Hash;
use std::sync::Arc;

/// A set of keys that another home may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum KeyScope {
    // All keys.
    All,
    // Keys whose home under the list is any other gatekeeper. This is not limited to keys whose
    // home is the VM in question, which may have taken over keys of a home that left.
    List(Arc<HomeList>, Hash),
    // No key yet: the VM is leaving and has been asked for its keys.
    Leaving,
}

impl KeyScope {
    pub(super) fn from_list(list: Option<&HomeList>) -> KeyScope {
        match list {
            Some(list) => KeyScope::List(Arc::new(list.clone()), list.digest()),
            None => KeyScope::All,
        }
    }

    pub(super) fn to_unreleased(&self, vm: &Name) -> Option<Unreleased> {
        let list = match self {
            KeyScope::All => None,
            KeyScope::List(list, _) => Some(HomeList::clone(list)),
            KeyScope::Leaving => return None,
        };
        Some(Unreleased { vm: vm.clone(), list })
    }
}
