//! What the call paths of two nodes tell each other besides calls.
//!
//! Notes may be lost, repeated or late: whoever waits for the effect of one asks again, and an
//! answer that belongs to no open question is ignored.

use super::{Fingerprint, RequestKey};
use crate::hash::Hash;
use crate::{Name, Time};

json! {
    /// The targets of a service as one version lists them; they decide where a key's home is.
    pub struct HomeList {
        /// First version with this list that its holder saw.
        pub version: u64,
        /// VMs of the targets, in the order of the document.
        pub vms: Vec<Name>,
    }

    /// Names a list.
    pub struct ListId {
        /// First version with this list that its holder saw.
        pub version: u64,
        /// Digest of the list.
        pub digest: Hash,
    }

    /// A VM that has not let go of keys yet.
    pub struct Unreleased {
        /// The VM.
        pub vm: Name,
        /// The list under which it was their home; absent if that isn't known, for any key.
        pub list: Option<HomeList>,
    }

    /// A note from one node's call path to another's.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Note {
        /// The sender is home of keys that the receiver may have been home of, and asks it to
        /// let go of them.
        AskRelease {
            /// Names the question; the answer repeats it.
            id: u64,
            /// The service.
            service: Name,
            /// Digest of the list of targets that makes the sender their home.
            list: Hash,
            /// The list that the sender held before; absent if it has just started.
            since: Option<ListId>,
        },
        /// The sender holds the same list as the asker and has let go of every key whose home is
        /// the asker. One of several parts.
        Released {
            /// The question that this answers.
            id: u64,
            /// Which part this is, from 0.
            part: u32,
            /// How many parts there are.
            parts: u32,
            /// Keys that ran or may have run.
            keys: Vec<RequestKey>,
            /// Keys minted before this time that are not named may have run all the same.
            fence: Time,
            /// Lists that the sender held before, for keys that passed through other homes.
            lists: Vec<HomeList>,
            /// Homes that the sender itself was still waiting for when it took the list up.
            unreleased: Vec<Unreleased>,
        },
        /// The sender's target stopped while it ran these requests.
        Suspect {
            /// Names the crash.
            crash: u64,
            /// What it ran.
            fingerprints: Vec<Fingerprint>,
        },
        /// The sender's target has answered a request that was suspected.
        Cleared {
            /// The request.
            fingerprint: Fingerprint,
        },
    }

    /// A note on its way out.
    pub struct OutgoingNote {
        /// VM of the node that the note is for.
        pub to: Name,
        /// The note.
        pub note: Note,
    }
}

impl HomeList {
    /// Digest over the set of VMs: equal for equal lists whatever their version and order.
    pub fn digest(&self) -> Hash {
        let mut vms: Vec<&Name> = self.vms.iter().collect();
        vms.sort();
        let mut buf = Vec::new();
        for vm in vms {
            buf.extend_from_slice(vm.as_bytes());
            buf.push(0);
        }
        Hash::of(&buf)
    }

    /// The list's name.
    pub fn id(&self) -> ListId {
        ListId { version: self.version, digest: self.digest() }
    }

    /// The home of a key.
    pub fn home_of(&self, key: RequestKey) -> Option<&Name> {
        HomeList::choose(&key.to_bytes(), self.vms.iter())
    }

    /// The home among some VMs by rendezvous hashing: a VM that joins or leaves moves only the
    /// keys that it wins.
    pub fn choose<'a>(subject: &[u8], vms: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
        vms.max_by_key(|vm| (crate::hash::score(subject, vm.as_bytes()), *vm))
    }
}
