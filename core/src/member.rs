//! Members of the fleet: the VMs that run a node.

use crate::{Name, place::Place};
use std::net::SocketAddr;

kebab_enum! {
    /// What is known of a VM.
    pub enum VmState {
        /// It takes work.
        Live,
        /// It finishes what it has and takes no new work.
        Leaving,
        /// It has stopped, or the platform no longer lists it.
        Gone,
    }
}

json! {
    /// A VM in the platform's list, which lags behind the fleet.
    pub struct Member {
        /// Name of the VM.
        pub vm: Name,
        /// Region of the VM.
        pub region: Name,
        /// Availability zone of the VM.
        pub zone: Name,
        /// Address on which its node takes messages from peers.
        pub peers: SocketAddr,
        /// Address of its node's admin port.
        pub admin: SocketAddr,
        /// Its state; what the node itself says goes before the list.
        pub state: VmState,
    }

    /// Value of the key `vms/<zone>`: the VMs of one availability zone.
    pub struct VmList {
        /// The VMs, in any order.
        pub vms: Vec<Member>,
    }
}

impl Member {
    /// Where the VM is.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }
}
