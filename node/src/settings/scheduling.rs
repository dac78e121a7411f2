//! Settings of the scheduling features, each of which is off by default.

use super::check_range;
use serde::{Deserialize, Serialize};
use sycamore_core::Result;
use sycamore_core::call::Policy;
use sycamore_core::call::policy::Mechanism;

/// Scheduling features of the call path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scheduling {
    /// Maximum number of requests parked at the gatekeeper; 0 to 100,000. 0 disables parking.
    pub parked_requests: u32,
    /// Whether attempts without a response are recalled from their gatekeepers.
    pub recall: bool,
    /// Whether the returns of rejected callers are spread over the expected duration of a shortage.
    pub spread_returns: bool,
    /// Whether requests are placed by the demand and the room of each zone.
    pub zone_flows: bool,
}

impl Scheduling {
    /// Checks the ranges of the fields.
    pub(super) fn check(&self) -> Result<()> {
        check_range("scheduling.parked_requests", self.parked_requests.into(), 0..=100_000)
    }

    /// The call path's policy with the enabled features.
    pub fn policy(&self) -> Policy {
        let features = [
            (Mechanism::Parking, self.parked_requests > 0),
            (Mechanism::Recall, self.recall),
            (Mechanism::SpreadReturns, self.spread_returns),
            (Mechanism::ZoneFlows, self.zone_flows),
        ];
        let disabled = features.into_iter().filter(|(_, enabled)| !enabled);
        let policy = Policy::new().with_parked_requests(self.parked_requests);
        disabled.fold(policy, |policy, (feature, _)| policy.without(feature))
    }
}
