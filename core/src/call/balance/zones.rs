//! Pooled view of the zones of a service.
//!
//! Load pattern: an entry node sends to a distant zone so rarely that most of its targets have no
//! recent load report. Such a target takes the pooled values of its zone instead of counting as one
//! without a queue.

use super::{Balancer, PickRequest};
use crate::Time;
use crate::call::Load;
use crate::config::Snapshot;
use crate::place::Place;
use std::time::Duration;

/// The newest report is weighted by the reciprocal of this in the moving averages of a zone.
const VIEW_EWMA_DIVISOR: u32 = 8;

/// How long a view is used after its newest report. Its weight decays over this time.
const VIEW_TTL: Duration = Duration::from_secs(3);

/// What load reports say about the targets of a service in one zone.
#[derive(Clone, Debug)]
pub(super) struct ZoneView {
    wait: Duration,
    // Mean wait that starts from zero and does not expire.
    usual_wait: Duration,
    reported_at: Option<Time>,
}

impl ZoneView {
    fn new() -> ZoneView {
        ZoneView { wait: Duration::ZERO, usual_wait: Duration::ZERO, reported_at: None }
    }

    /// Records the report of one target of the zone.
    pub(super) fn record(&mut self, now: Time, load: Load) {
        let newest = Duration::from_millis(load.wait_ms.into());
        self.wait = match self.age(now).is_some() {
            true => (self.wait * (VIEW_EWMA_DIVISOR - 1) + newest) / VIEW_EWMA_DIVISOR,
            false => newest,
        };
        self.usual_wait = (self.usual_wait * (VIEW_EWMA_DIVISOR - 1) + newest) / VIEW_EWMA_DIVISOR;
        self.reported_at = Some(now);
    }

    /// Age of the newest report, if the view is still used.
    fn age(&self, now: Time) -> Option<Duration> {
        let age = now.since(self.reported_at?);
        (age < VIEW_TTL).then_some(age)
    }

    /// Mean wait, which decays to `assumed` as the view ages.
    fn wait(&self, now: Time, assumed: Duration) -> Duration {
        let Some(age) = self.age(now) else {
            return assumed;
        };
        let (age_ms, ttl_ms) = (age.as_millis() as u32, VIEW_TTL.as_millis() as u32);
        (self.wait * (ttl_ms - age_ms) + assumed * age_ms) / ttl_ms
    }
}

impl Balancer {
    /// Assigns the targets of a configuration version to the zones of their services. The views of
    /// known zones are kept.
    pub(super) fn assign_zones(&mut self, snapshot: &Snapshot) {
        for (index, entry) in snapshot.targets().iter().enumerate() {
            let Place { zone, .. } = entry.target.place();
            let peer = &mut self.peers[index];
            let known = self.statistics[peer.service].zones.entry(zone);
            peer.zone = known.index();
            known.or_insert_with(ZoneView::new);
        }
    }

    /// Expected wait at a target: as it reported recently, or else the mean of its zone.
    ///
    /// A zone without a recent report counts like the zone of the entry node usually does. It is
    /// thus tried when waits in the own zone rise, which shows its waits.
    pub(super) fn expected_wait(&self, request: PickRequest<'_>, index: usize) -> Duration {
        let peer = &self.peers[index];
        let pooled = || {
            let zones = &self.statistics[peer.service].zones;
            let own = zones.get(&self.place.zone);
            let own = own.map_or(Duration::ZERO, |own| own.usual_wait);
            zones[peer.zone].wait(request.now, own)
        };
        peer.reported_wait(request.now, request.class).unwrap_or_else(pooled)
    }
}
