//! Decides whether a request is retried, and on which target.

use super::Entry;
use crate::call::balance::PickRequest;
use crate::call::note::HomeList;
use crate::call::policy::Mechanism;
use crate::call::quarantine::MAX_CRASHES;
use crate::call::{CallKey, RequestKey};
use crate::config::{ServiceKey, Snapshot};
use crate::{Code, Name, Time};
use std::time::Duration;

/// Number of homes tried per key: the home and the next ones in rendezvous order.
const MAX_HOMES: usize = 3;

/// Minimum time left before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

impl Entry {
    /// Returns the target of the next attempt, or `None` if the request is not retried.
    pub(super) fn next_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        code: Code,
        replayable: bool,
    ) -> Option<Name> {
        let vm = self.choose_next(now, key, code, replayable)?;
        let call = self.calls.get(&key)?;
        self.fits_before_stop(now, call, &vm).then_some(vm)
    }

    fn choose_next(
        &mut self,
        now: Time,
        key: CallKey,
        code: Code,
        replayable: bool,
    ) -> Option<Name> {
        let call = self.calls.get(&key)?;
        let route = &call.snapshot.route(call.route).route;
        let time_left = self.run_by(call).since(now);
        if !replayable || time_left < MIN_ATTEMPT_TIME {
            return None;
        }
        if call.counted_attempts() >= route.max_attempts {
            // Rejections that cost no target any work do not count as attempts.
            let unused =
                call.key.is_none() && call.early_rejections + call.recalled == call.attempt;
            return unused.then(|| self.queue_at_nearest(now, key, code)).flatten();
        }
        match call.key {
            Some(request_key) => self.next_home(now, key, request_key, code),
            None => {
                let next = self.next_target(now, key, code);
                next.or_else(|| self.queue_at_nearest(now, key, code))
            }
        }
    }

    /// Selects a target to queue at when no target can respond within the objective. A gatekeeper
    /// that was full may be asked again, but not a target that has refused the request itself.
    fn queue_at_nearest(&mut self, now: Time, key: CallKey, code: Code) -> Option<Name> {
        let call = self.calls.get(&key)?;
        let overloaded = is_overload(code);
        let must_not_queue = call.terms.may_exceed_objective || call.possibly_run.is_some();
        if !overloaded || must_not_queue {
            return None;
        }
        let service = self.snapshot.as_ref()?.service_named(&call.service)?;
        let request = PickRequest::new(now, service, &call.terms)
            .with_tried(&call.refused_by)
            .with_regions(&call.terms.regions);
        let vm = self.balancer.pick_nearest(request)?;
        let call = self.calls.get_mut(&key)?;
        call.terms.may_exceed_objective = true;
        Some(vm)
    }

    /// Returns the next home for a request that may run only once.
    ///
    /// Such a request is retried only after a rejection that guarantees that it did not run: at its
    /// home under a newer configuration version, or at the next home if the current one is
    /// draining. The receiving node verifies that it is the home.
    fn next_home(
        &self,
        now: Time,
        key: CallKey,
        request_key: RequestKey,
        code: Code,
    ) -> Option<Name> {
        let call = self.calls.get(&key)?;
        let may_move = matches!(code, Code::NotHome | Code::Draining | Code::GatekeeperUnreachable);
        if call.possibly_run.is_some() || !may_move {
            return None;
        }
        let snapshot = self.snapshot.as_ref()?;
        let service = snapshot.service_named(&call.service)?;
        self.home_for(now, snapshot, service, request_key, &call.tried)
    }

    /// Returns the home of a key, or the next one in order if the home is draining. Returns `None`
    /// if all of them have stated that they are leaving: one whose gatekeeper has restarted would
    /// accept the request.
    pub(super) fn home_for(
        &self,
        now: Time,
        snapshot: &Snapshot,
        service: ServiceKey,
        key: RequestKey,
        tried: &[Name],
    ) -> Option<Name> {
        let subject = key.to_bytes();
        let targets = snapshot.service(service).targets.iter();
        let vms: Vec<&Name> = targets.map(|target| &snapshot.target(*target).target.vm).collect();
        let order = HomeList::order(&subject, &vms, MAX_HOMES);
        let mut untried =
            order.iter().filter(|vm| !tried.contains(vm) && !self.balancer.has_stated_leaving(vm));
        let not_draining = untried.clone().find(|vm| !self.balancer.is_draining(now, vm));
        not_draining.or_else(|| untried.next()).map(|vm| Name::clone(vm))
    }

    fn next_target(&mut self, now: Time, key: CallKey, code: Code) -> Option<Name> {
        let call = self.calls.get(&key)?;
        let spare_forwards = call.snapshot.route(call.route).route.spare_forwards;
        let kind = retry_kind(code, spare_forwards);
        let run_once = !call.terms.idempotent;
        if kind == RetryKind::Never || call.crashes >= MAX_CRASHES as u32 {
            return None;
        }
        // Without a key duplicates cannot be detected, so a request is retried only as long as it
        // certainly has not run.
        if run_once && call.possibly_run.is_some() {
            return None;
        }
        // The balancer tracks the targets of the current configuration version.
        let service = self.snapshot.as_ref()?.service_named(&call.service)?;
        let overloaded = is_overload(code);
        // A gatekeeper that stops says nothing about the load of the others, so its rejection does
        // not count.
        if overloaded && spare_forwards > 0 && call.overload_rejections >= spare_forwards {
            return None;
        }
        let request = PickRequest::new(now, service, &call.terms)
            .with_tried(&call.tried)
            .with_regions(&call.terms.regions);
        let vm = match overloaded && spare_forwards > 0 {
            // Skip overloaded targets, which would reject it as well. The caller may queue the
            // request instead.
            true => self.balancer.pick_available(request)?,
            false => self.balancer.pick(request)?,
        };
        let unbounded = !self.policy.is_enabled(Mechanism::RetryBudget);
        let allowed = kind == RetryKind::Free || unbounded || self.retries.try_take(now, call);
        allowed.then_some(vm)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RetryKind {
    // No target has worked on the request. The retry does not use the budget.
    Free,
    // The retry adds load to the service and uses the retry budget.
    Budgeted,
    // Another target would reject it for the same reason.
    Never,
}

/// Whether the request was rejected before any target worked on it.
pub(super) fn is_early_rejection(code: Code) -> bool {
    !matches!(code, Code::TargetRefused | Code::TargetReplaced | Code::TargetUnreachable)
}

/// Whether the target itself rejected the request, having received it without running it.
pub(super) fn reached_target(code: Code) -> bool {
    matches!(code, Code::TargetRefused | Code::TargetReplaced)
}

/// Whether the gatekeeper rejected the request because of the target's load.
pub(super) fn is_overload(code: Code) -> bool {
    matches!(code, Code::QueueFull | Code::QueueTimeout | Code::TargetCold | Code::TargetLimited)
}

fn retry_kind(code: Code, spare_forwards: u32) -> RetryKind {
    match code {
        Code::Draining
        | Code::ZoneEvacuated
        | Code::OutsideRegions
        | Code::NoTarget
        | Code::NotConfigured
        | Code::TooManyConnections
        | Code::GatekeeperUnreachable
        | Code::Recalled => RetryKind::Free,
        // The route allows other gatekeepers to be tried before the request is rejected.
        _ if is_overload(code) && spare_forwards > 0 => RetryKind::Free,
        Code::TargetUnreachable
        | Code::TargetRefused
        | Code::TargetReplaced
        | Code::QueueFull
        | Code::QueueTimeout
        | Code::TargetCold
        | Code::TargetLimited
        | Code::TargetFailed
        | Code::DrainCutCalls
        | Code::AnswerLost => RetryKind::Budgeted,
        _ => RetryKind::Never,
    }
}
