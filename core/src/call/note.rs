//! Messages between the call paths of two nodes, other than calls.
//!
//! Notes may be lost, duplicated or delayed. A sender that depends on the effect of a note repeats
//! it, and a response that matches no open request is ignored.

use super::{Fingerprint, RequestKey, TargetProcess};
use crate::hash::Hash;
use crate::{Name, Time};
use indexmap::IndexSet;

json! {
    /// The targets of a service in one version; they determine the home of each key.
    pub struct HomeList {
        /// First version with this list that its holder saw.
        pub version: u64,
        /// VMs of the targets, in the order of the document.
        pub vms: Vec<Name>,
    }

    /// Identifies a list.
    pub struct ListId {
        /// First version with this list that its holder saw.
        pub version: u64,
        /// Digest of the list.
        pub digest: Hash,
    }

    /// Asks a VM that may have been the home of some keys to release them to the sender, which is
    /// their home now.
    pub struct ReleaseRequest {
        /// Request id, repeated in the response.
        pub id: u64,
        pub service: Name,
        /// Digest of the list that makes the sender the home of the keys.
        pub list: Hash,
        /// The previous list of the sender; absent if it has just started.
        pub since: Option<ListId>,
        /// Leaving VMs whose keys the sender has taken over.
        pub left: Vec<Name>,
    }

    /// One part of the response to [`Note::AskRelease`]: the sender has the same list as the
    /// requester and has released every key whose home is the requester.
    pub struct ReleaseResponse {
        /// Id of the request.
        pub id: u64,
        /// Index of this part, from 0.
        pub part: u32,
        /// Number of parts.
        pub parts: u32,
        /// Keys that ran or may have run at the sender.
        pub keys: Vec<RequestKey>,
        /// Keys created before this time may have run even if they are not listed.
        pub fence: Time,
        /// Previous lists of the sender, for keys that have passed through other homes.
        pub lists: Vec<HomeList>,
        /// VMs that the sender was still waiting for when it applied the list; if it is leaving,
        /// all VMs that it is still waiting for.
        pub unreleased: Vec<Unreleased>,
        /// Whether the sender is leaving and has released every key, including those whose home it
        /// is: they move to the next home in rendezvous order.
        pub left: bool,
    }

    /// A VM that has not released its keys yet.
    pub struct Unreleased {
        pub vm: Name,
        /// The list under which the VM was the home of the keys; absent if unknown, which covers
        /// all keys.
        pub list: Option<HomeList>,
    }

    /// A target's process as listed by the version in force.
    pub struct ListedProcess {
        pub vm: Name,
        pub process: TargetProcess,
    }

    /// A message from one node's call path to another's.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Note {
        /// Requests keys.
        AskRelease(Box<ReleaseRequest>),
        /// Releases keys.
        Released(Box<ReleaseResponse>),
        /// The sender is leaving; the next home of its keys may request them.
        Leaving,
        /// The sender's target crashed while it ran these requests.
        Suspect {
            /// Crash id.
            crash: u64,
            /// Requests that the target was running.
            fingerprints: Vec<Fingerprint>,
        },
        /// The sender's target has responded to a suspected request.
        Cleared {
            fingerprint: Fingerprint,
        },
        /// The sender's target states that it is leaving. Kept for the sender, whose process may
        /// restart.
        TargetLeaving(Box<ListedProcess>),
        /// The sender has started and asks whether its target has stated that it is leaving.
        AskTargetLeaving(Box<ListedProcess>),
        /// The response to [`Note::AskTargetLeaving`].
        KnownTargetLeaving {
            leaving: bool,
        },
    }

    /// A note to send.
    pub struct OutgoingNote {
        /// Destination VM.
        pub to: Name,
        pub note: Note,
    }
}

impl HomeList {
    /// Digest of the set of VMs, independent of version and order.
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

    pub fn id(&self) -> ListId {
        ListId { version: self.version, digest: self.digest() }
    }

    pub fn home_of(&self, key: RequestKey) -> Option<&Name> {
        HomeList::choose(&key.to_bytes(), self.vms.iter())
    }

    /// The home of a key if the VMs in `left` are excluded.
    pub fn home_excluding(&self, key: RequestKey, left: &IndexSet<Name>) -> Option<&Name> {
        let staying = self.vms.iter().filter(|vm| !left.contains(*vm));
        HomeList::choose(&key.to_bytes(), staying)
    }

    /// The first `count` homes of a key in rendezvous order: each is the home if those before it
    /// are excluded.
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

    /// Chooses the home among `vms` by rendezvous hashing: a VM that joins or leaves moves only the
    /// keys whose home it becomes or was.
    pub fn choose<'a>(subject: &[u8], vms: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
        vms.max_by_key(|vm| (crate::hash::rendezvous_score(subject, vm.as_bytes()), *vm))
    }
}
