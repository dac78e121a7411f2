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
    /// The newest publication that this node knows to have been accepted, by itself now or by its
    /// VM before a restart; its configuration never goes below it.
    #[derive(Default)]
    pub struct VersionFloor {
        newest: Option<InForce>,
        conflict: Option<u64>,
    }

    /// What to do about a publication.
    pub enum Decision {
        /// It is newer: fetch and check its body.
        Fetch,
        /// It is the one already known.
        AlreadyKnown,
        /// It is refused; the one in force stays.
        Reject(Code),
    }
}

impl InForce {
    /// Whether this one replaces `other` when both were accepted somewhere: the higher version
    /// does, and of two bodies under one version the one with the higher digest.
    ///
    /// Orders publications by version, then by content, so that every node settles on the same one
    /// of two bodies published under one version.
    pub fn replaces(&self, other: &InForce) -> bool {
        (self.version, self.digest, &self.preset) > (other.version, other.digest, &other.preset)
    }
}

impl VersionFloor {
    /// The newest publication accepted so far.
    pub fn newest(&self) -> Option<&InForce> {
        self.newest.as_ref()
    }

    /// The newest version accepted so far; zero if none.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Judges a publication read from the platform against the newest one accepted and the one
    /// whose body is being read.
    ///
    /// Refuses a second body under a version that is held or pending.
    pub fn evaluate(&mut self, seen: &InForce, pending: Option<&InForce>) -> Decision {
        if let Some(newest) = &self.newest {
            if seen == newest {
                return Decision::AlreadyKnown;
            }
            if seen.version < newest.version {
                return Decision::Reject(Code::VersionOlder);
            }
            if seen.version == newest.version {
                return Decision::Reject(Code::VersionConflict);
            }
        }
        if self.conflict == Some(seen.version) {
            return Decision::Reject(Code::VersionConflict);
        }
        match pending {
            Some(pending) if pending == seen => Decision::AlreadyKnown,
            Some(pending) if pending.version == seen.version => {
                self.conflict = Some(seen.version);
                Decision::Reject(Code::VersionConflict)
            }
            Some(pending) if pending.version > seen.version => Decision::Reject(Code::VersionOlder),
            _ => Decision::Fetch,
        }
    }

    /// Judges a publication that a peer has accepted.
    pub fn evaluate_accepted(&self, seen: &InForce) -> Decision {
        match &self.newest {
            Some(newest) if seen == newest => Decision::AlreadyKnown,
            Some(newest) if seen.replaces(newest) => Decision::Fetch,
            Some(newest) if seen.version == newest.version => {
                Decision::Reject(Code::VersionConflict)
            }
            Some(_) => Decision::Reject(Code::VersionOlder),
            None => Decision::Fetch,
        }
    }

    /// Records that a publication has been checked whole and accepted. Older ones are ignored.
    pub fn accept(&mut self, accepted: InForce) {
        if self.newest.as_ref().is_none_or(|newest| accepted.replaces(newest)) {
            self.newest = Some(accepted);
        }
    }
}
