//! Where requests may run: the regions of their route, evacuated zones, and starts of the target
//! that the configuration reports.

use super::{Arrival, Gatekeeper, Output, RETRY_AFTER_SHORT};
use crate::call::{CallKey, Outcome, TargetProcess, Terms};
use crate::config::{Target, TargetKey, allows_region};
use crate::member::VmState;
use crate::{Code, Name, Time};
use std::time::Duration;

/// A target that has not responded for this long counts as down once a connection to it breaks.
/// Connections that break between responses have other causes.
const SILENCE: Duration = Duration::from_millis(500);

/// Interval between probes of a target that does not respond to them.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What the configuration says about the target of this gatekeeper.
#[derive(Debug)]
pub(super) struct Placement {
    region: Option<Name>,
    evacuated: bool,
    cold: bool,
    process: TargetProcess,
}

impl Placement {
    pub(super) fn new() -> Placement {
        let process = TargetProcess { incarnation: None, started_ms: None };
        Placement { region: None, evacuated: false, cold: false, process }
    }

    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    pub(super) fn set_region(&mut self, region: Name) {
        self.region = Some(region);
    }
}

impl Gatekeeper {
    /// Applies the target's entry of a snapshot.
    pub(super) fn update_placement(&mut self, now: Time, target: &Target, out: &mut Vec<Output>) {
        let before = std::mem::replace(
            &mut self.placement,
            Placement {
                region: Some(target.region.clone()),
                evacuated: target.evacuated,
                cold: target.cold,
                process: TargetProcess::listed(target),
            },
        );
        let listed = TargetProcess::listed(target);
        if before.process.is_known() && before.process != listed {
            self.forget_statements(now, out);
        }
        let returned = before.evacuated && !target.evacuated;
        if listed.differs_from(&before.process) {
            self.is_probe_current = false;
            self.slots.start_limits_mut().process_listed(now);
            if !target.cold {
                self.slots.start_limits_mut().listed_warm();
            }
        } else if target.cold && !before.cold {
            // The first entry is of the process that was asked.
            self.is_probe_current &= !before.process.is_known();
            self.slots.start_limits_mut().listed_cold(now);
        }
        if returned {
            self.slots.start_limits_mut().evacuation_ended(now);
        }
        if target.evacuated && !before.evacuated {
            self.reject_waiting_requests(now, Code::ZoneEvacuated, out);
        }
    }

    /// Returns why the request may not run here, by the entry node's terms or by the configuration
    /// of this node, which may be newer.
    pub(super) fn check_placement(&self, arrival: &Arrival<'_>, terms: &Terms) -> Option<Code> {
        if self.placement.evacuated {
            return Some(Code::ZoneEvacuated);
        }
        let region = self.placement.region.as_ref()?;
        let snapshot = self.snapshot.as_ref().filter(|snapshot| snapshot.has_bound_routes());
        let route = snapshot.and_then(|snapshot| {
            Some(&snapshot.route(snapshot.route_for(arrival.host, arrival.path)?).route)
        });
        let allowed = allows_region(&terms.regions, region)
            && route.is_none_or(|route| route.allows_region(region));
        (!allowed).then_some(Code::OutsideRegions)
    }

    /// Asks the target whether it is cold, and since when, while this is not known for certain.
    pub(super) fn probe(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_due = now >= self.next_probe_at && !self.placement.evacuated;
        if is_due && self.slots.has_health_path() && self.slots.start_limits().needs_probe(now) {
            self.next_probe_at = now + PROBE_INTERVAL;
            self.is_probe_current = true;
            self.slots.start_limits_mut().probe_sent(now);
            out.push(Output::Probe);
        }
    }

    /// Whether the target has not responded recently although requests were sent to it.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        now.since(self.last_response_at) >= SILENCE
    }

    /// Records that the target itself rejected a request. A process that replaced the target does
    /// not count the request, and has just started if nothing else has responded.
    pub(super) fn record_rejection(&mut self, now: Time, call: CallKey, code: Code) {
        if code != Code::TargetReplaced {
            return self.slots.abandon(call);
        }
        self.slots.release(call);
        if self.is_silent(now) {
            self.is_probe_current = false;
            self.slots.start_limits_mut().process_rejected(now);
        }
    }

    /// Rejects all requests that wait for a slot or a connection.
    pub(super) fn reject_waiting_requests(&mut self, now: Time, code: Code, out: &mut Vec<Output>) {
        let waiting = self.calls.iter().filter(|(_, call)| call.is_unstarted());
        let waiting: Vec<CallKey> = waiting.map(|(key, _)| *key).collect();
        self.reject_unstarted(now, &waiting, code, out);
    }

    /// Rejects the parked requests if another target can take them.
    pub(super) fn reject_parked(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some((snapshot, service)) = self.snapshot.as_ref().zip(self.service) else {
            return;
        };
        let own = self.own_target(snapshot);
        let targets = snapshot.service(service).targets.iter();
        let takes_work = |target: &&TargetKey| {
            let target = &snapshot.target(**target).target;
            let not_live = self.members.get(&target.vm).is_some_and(|vm| *vm != VmState::Live);
            target.accepts_requests() && !not_live
        };
        let mut others = targets.filter(|target| Some(**target) != own).filter(takes_work);
        if others.next().is_some() {
            let parked = self.slots.withdraw_parked();
            self.reject_unstarted(now, &parked, Code::Draining, out);
        }
    }

    pub(super) fn reject_unstarted(
        &mut self,
        now: Time,
        calls: &[CallKey],
        code: Code,
        out: &mut Vec<Output>,
    ) {
        for call in calls.iter().copied() {
            let Some(entry) = self.withdraw(call) else { continue };
            let outcome = Outcome::not_run(code, RETRY_AFTER_SHORT);
            let crashes = self.crashes_of(now, &entry);
            out.push(Output::Reject { call, outcome, crashes });
        }
    }
}
