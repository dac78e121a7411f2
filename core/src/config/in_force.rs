//! Which version is in force: the one key that operators race on, and the rule that no node goes
//! back.

use crate::hash::Hash;
use crate::{Code, Name};

json! {
    /// Value of the key `in-force`.
    #[derive(Hash)]
    pub struct InForce {
        /// Version; a publication with a higher version replaces the one in force.
        pub version: u64,
        /// The preset in force.
        pub preset: Name,
        /// Digest of the preset's body.
        pub digest: Hash,
    }
}

data! {
    /// The newest publication that this node knows to have been accepted anywhere; its own
    /// configuration never goes below it.
    #[derive(Default)]
    pub struct Floor {
        newest: Option<InForce>,
        conflict: Option<u64>,
    }

    /// What to do about a publication.
    pub enum Verdict {
        /// It is newer: fetch and check its body.
        Take,
        /// It is the one already known.
        Known,
        /// It is refused; the one in force stays.
        Refuse(Code),
    }
}

impl Floor {
    /// The newest publication accepted so far.
    pub fn newest(&self) -> Option<&InForce> {
        self.newest.as_ref()
    }

    /// The newest version accepted so far; zero if none.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Judges a publication against the newest one accepted.
    ///
    /// Guards against operators who publish two bodies under one version at the same time, which
    /// would split the fleet: the second body is refused on every node that holds the first, and
    /// a node that has seen both before it accepted either refuses both.
    pub fn judge(&mut self, seen: &InForce, pending: Option<&InForce>) -> Verdict {
        if let Some(newest) = &self.newest {
            if seen == newest {
                return Verdict::Known;
            }
            if seen.version < newest.version {
                return Verdict::Refuse(Code::VersionOlder);
            }
            if seen.version == newest.version {
                return Verdict::Refuse(Code::VersionConflict);
            }
        }
        if self.conflict == Some(seen.version) {
            return Verdict::Refuse(Code::VersionConflict);
        }
        match pending {
            Some(pending) if pending == seen => Verdict::Known,
            Some(pending) if pending.version == seen.version => {
                self.conflict = Some(seen.version);
                Verdict::Refuse(Code::VersionConflict)
            }
            Some(pending) if pending.version > seen.version => Verdict::Refuse(Code::VersionOlder),
            _ => Verdict::Take,
        }
    }

    /// Records that a publication has been checked whole and accepted. Older ones are ignored.
    pub fn accept(&mut self, accepted: InForce) {
        if accepted.version > self.version() {
            self.newest = Some(accepted);
        }
    }
}
