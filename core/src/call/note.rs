//! What the call paths of two nodes tell each other besides calls.
//!
//! Notes may be lost, repeated or late: whoever waits for the effect of one asks again, and an
//! answer that belongs to no open question is ignored.

use super::{Fingerprint, RequestKey};
use crate::hash::Hash;
use crate::{Name, Time};
use indexmap::IndexSet;

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

    /// The sender is home of keys that the receiver may have been home of, and asks it to let go
    /// of them.
    pub struct ReleaseRequest {
        /// Names the question; the answer repeats it.
        pub id: u64,
        /// The service.
        pub service: Name,
        /// Digest of the list of targets that makes the sender their home.
        pub list: Hash,
        /// The list that the sender held before; absent if it has just started.
        pub since: Option<ListId>,
        /// Homes whose keys the sender has taken over, since they are leaving.
        pub left: Vec<Name>,
    }

    /// One of several parts of an answer to [`Note::AskRelease`]: the sender holds the same list
    /// as the asker and has let go of every key whose home is the asker.
    pub struct ReleaseResponse {
        /// The question that this answers.
        pub id: u64,
        /// Which part this is, from 0.
        pub part: u32,
        /// How many parts there are.
        pub parts: u32,
        /// Keys that ran or may have run.
        pub keys: Vec<RequestKey>,
        /// Keys minted before this time that are not named may have run all the same.
        pub fence: Time,
        /// Lists that the sender held before, for keys that passed through other homes.
        pub lists: Vec<HomeList>,
        /// Homes that the sender itself was still waiting for when it took the list up; of a
        /// sender that is leaving, all that it is waiting for.
        pub unreleased: Vec<Unreleased>,
        /// Whether the sender is leaving and has let go of every key, also of those whose home it
        /// is: they go to the next home in order.
        pub left: bool,
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
        /// The sender asks for keys.
        AskRelease(Box<ReleaseRequest>),
        /// The sender has let go of keys.
        Released(Box<ReleaseResponse>),
        /// The sender is leaving; whoever is next home of its keys may ask for them.
        Leaving,
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

    /// The home of a key when some VMs have left.
    pub fn home_excluding(&self, key: RequestKey, left: &IndexSet<Name>) -> Option<&Name> {
        let staying = self.vms.iter().filter(|vm| !left.contains(*vm));
        HomeList::choose(&key.to_bytes(), staying)
    }

    /// The first `count` homes of a key in order: each is the home if those before it have left.
    pub fn order<'a>(subject: &[u8], vms: &[&'a Name], count: usize) -> Vec<&'a Name> {
        let mut left: Vec<&Name> = vms.to_vec();
        let mut order = Vec::with_capacity(count);
        while order.len() < count {
            let Some(next) = HomeList::choose(subject, left.iter().copied()) else {
                break;
            };
            order.push(next);
            left.retain(|vm| *vm != next);
        }
        order
    }

    /// The home among some VMs by rendezvous hashing: a VM that joins or leaves moves only the
    /// keys that it wins.
    pub fn choose<'a>(subject: &[u8], vms: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
        vms.max_by_key(|vm| (crate::hash::rendezvous_score(subject, vm.as_bytes()), *vm))
    }
}
