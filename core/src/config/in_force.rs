//! The version in force, and the rule that a node never reverts to an older version.

use crate::hash::Hash;
use crate::{Code, Name};

json! {
    /// Value of the key `in-force`.
    #[derive(Hash)]
    pub struct InForce {
        /// A publication with a higher version replaces the one in force.
        pub version: u64,
        pub preset: Name,
        /// Digest of the preset's body.
        pub digest: Hash,
    }
}

data! {
    /// The newest publication known to have been accepted on this VM, including before a restart.
    /// The configuration never reverts to an older version.
    #[derive(Default)]
    pub struct VersionFloor {
        newest: Option<InForce>,
        conflict: Option<u64>,
    }

    /// Decision about a publication.
    pub enum Decision {
        /// The publication is newer: fetch and validate its body.
        Fetch,
        /// The publication is already known.
        AlreadyKnown,
        /// The publication is rejected; the version in force is kept.
        Reject(Code),
    }
}

impl InForce {
    /// Whether this publication takes precedence over `other`.
    ///
    /// Publications are ordered by version, then by digest, so that all nodes converge on the same
    /// body if two bodies are published under one version.
    pub fn replaces(&self, other: &InForce) -> bool {
        (self.version, self.digest, &self.preset) > (other.version, other.digest, &other.preset)
    }
}

impl VersionFloor {
    pub fn newest(&self) -> Option<&InForce> {
        self.newest.as_ref()
    }

    /// The newest accepted version, or zero if there is none.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Evaluates a publication read from the platform against the newest accepted one and the one
    /// whose body is being fetched (`pending`).
    ///
    /// Rejects a second body under an accepted or pending version.
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

    /// Evaluates a publication that a peer has already accepted.
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

    /// Records a fully validated and accepted publication. Older publications are ignored.
    pub fn accept(&mut self, accepted: InForce) {
        if self.newest.as_ref().is_none_or(|newest| accepted.replaces(newest)) {
            self.newest = Some(accepted);
        }
    }
}
