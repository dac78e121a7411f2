//! Data written by operators and by the platform itself: versions, zones and VM lists.

use super::Fleet;
use super::fault::{PublicationKind, nodes_in_zone};
use super::workload::{name, zone_name};
use bytes::Bytes;
use sycamore_core::Name;
use sycamore_core::member::{Member, VmList};
use sycamore_core::place::Place;

impl Fleet {
    pub(super) fn publish_places(&mut self) {
        let size = self.setup.size;
        let places: Vec<Place> = (0..size.zones).map(|zone| size.place(zone as u16)).collect();
        let zones = serde_json::json!({ "zones": places });
        self.put(name("zones".to_owned()), encode(&zones));
        (0..size.zones as u16).for_each(|zone| self.publish_list(zone));
    }

    pub(super) fn publish_list(&mut self, zone: u16) {
        let size = self.setup.size;
        let mut list = VmList { vms: Vec::new() };
        for node in nodes_in_zone(&size, zone) {
            if let Some(state) = self.listed_states[node] {
                list.vms.push(Member { state, ..size.member(node) });
            }
        }
        self.put(name(format!("vms/{}", zone_name(zone))), encode(&list));
    }

    pub(super) fn put(&mut self, key: Name, value: Bytes) {
        self.platform.put(key, value);
    }

    pub(super) fn publish(&mut self, kind: PublicationKind) {
        let (publication, valid) = match kind {
            PublicationKind::First => (self.workload.publish(), true),
            PublicationKind::Next => (self.workload.publish_change(), true),
            PublicationKind::Invalid => (self.workload.publish_invalid(), false),
            PublicationKind::Conflicting => (self.workload.publish_conflicting(), true),
        };
        let now = self.links.now();
        let version = publication.in_force.version;
        if kind != PublicationKind::Conflicting && valid {
            self.last_valid_version = version;
            self.convergence.record_published(version, now);
        }
        self.min_update_bytes += publication.min_update_bytes;
        if self.setup.record_history {
            self.record_published(&publication, valid);
        }
        for (key, value) in publication.values {
            self.put(key, value);
        }
        self.answer_watches();
    }
}

fn encode<T: serde::Serialize>(content: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(content).unwrap_or_default())
}
