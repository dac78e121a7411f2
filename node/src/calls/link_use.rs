//! Counts what this node writes to other VMs.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes written to other VMs, over the link that responses are paced for.
#[derive(Debug)]
pub struct LinkUse {
    own_ip: IpAddr,
    written: Arc<AtomicU64>,
}

impl LinkUse {
    pub fn new(own_ip: IpAddr) -> LinkUse {
        LinkUse { own_ip, written: Arc::default() }
    }

    /// Counter of the bytes written to `peer`; `None` if they do not use the link.
    pub fn counter(&self, peer: IpAddr) -> Option<Arc<AtomicU64>> {
        (peer != self.own_ip).then(|| self.written.clone())
    }

    /// Returns the bytes written since the last call.
    pub fn take(&self) -> u64 {
        self.written.swap(0, Ordering::Relaxed)
    }
}
