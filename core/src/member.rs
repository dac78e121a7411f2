//! Members of the fleet: the VMs that run a node.

use crate::{Name, place::Place};
use std::net::SocketAddr;

kebab_enum! {
    /// Lifecycle state of a VM.
    pub enum VmState {
        /// Accepts work.
        Live,
        /// Finishes its in-flight work and accepts no new work.
        Leaving,
        /// Stopped, or no longer listed by the platform.
        Gone,
    }
}

json! {
    /// A VM as listed by the platform. The list may be stale.
    pub struct Member {
        pub vm: Name,
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Address on which the node accepts messages from peers.
        pub peers: SocketAddr,
        /// Address of the node's admin port.
        pub admin: SocketAddr,
        /// State according to the platform. A state reported by the node itself takes precedence.
        pub state: VmState,
    }

    /// Value of the key `vms/<zone>`: the VMs of one availability zone, in any order.
    pub struct VmList {
        pub vms: Vec<Member>,
    }
}

impl Member {
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }
}
