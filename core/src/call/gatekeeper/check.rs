//! Checks on an arriving request that do not depend on load: route, key, quarantine and draining.

use super::{
    Arrival, Call, Gatekeeper, RETRY_AFTER_LONG, RETRY_AFTER_QUARANTINED, RETRY_AFTER_SHORT,
};
use crate::call::home::RunPermission;
use crate::call::once::{CachedResponse, KeyStatus};
use crate::call::quarantine::MAX_CRASHES;
use crate::call::{MAX_CLOCK_SKEW, Outcome, RequestKey, Terms};
use crate::config::snapshot::RouteEntry;
use crate::{Code, Time};
use std::sync::Arc;
use std::time::Duration;

pub(super) enum CheckResult {
    Accept(Terms, Option<RequestKey>),
    Replay(Arc<CachedResponse>),
    Reject(Outcome),
}

impl Gatekeeper {
    pub(super) fn check(&self, now: Time, arrival: &Arrival<'_>) -> CheckResult {
        let terms = match self.terms(now, arrival) {
            Ok(terms) => terms,
            Err(code) => return not_run(code, RETRY_AFTER_SHORT),
        };
        if !terms.is_keyed() {
            return self.check_availability(now, arrival, terms, None);
        }
        let Some(key) = arrival.key.filter(|key| key.created_at() <= now + MAX_CLOCK_SKEW) else {
            return not_run(Code::KeyMissing, RETRY_AFTER_LONG);
        };
        let Some(digest) = &arrival.digest else {
            return not_run(Code::RequestTooLarge, RETRY_AFTER_LONG);
        };
        // The state of the key takes precedence over every reason for a rejection: a request that
        // ran must never be reported as not run.
        match self.idempotency.look_up(now, key, digest) {
            KeyStatus::Answered(response) => CheckResult::Replay(response),
            KeyStatus::InProgress => unknown(Code::KeyInProgress),
            KeyStatus::Unknown => unknown(Code::KeyOutcomeUnknown),
            KeyStatus::Reused => not_run(Code::KeyReused, RETRY_AFTER_LONG),
            KeyStatus::New => match self.check_permission(key) {
                Some(rejection) => rejection,
                None => self.check_availability(now, arrival, terms, Some(key)),
            },
        }
    }

    /// The terms of a request. The entry node's terms take precedence, because the two nodes may
    /// hold different versions. Keyed requests are the exception: their homes are derived from the
    /// version that this node holds, and so are their terms.
    fn terms(&self, now: Time, arrival: &Arrival<'_>) -> Result<Terms, Code> {
        if let Some(forwarded) = arrival.terms.as_ref().filter(|terms| !terms.is_keyed()) {
            let own = self.service_name.as_ref() == Some(&forwarded.service);
            return if own { Ok(forwarded.clone()) } else { Err(Code::NoTarget) };
        }
        let snapshot = self.snapshot.as_ref().ok_or(Code::NotConfigured)?;
        let route = snapshot.route_for(arrival.host, arrival.path);
        let route = route.map(|route| snapshot.route(route));
        let own = |entry: &&RouteEntry| {
            let parts = entry.split.iter().map(|(service, _)| *service);
            parts.chain([entry.service]).any(|service| Some(service) == self.service)
        };
        let entry = route.filter(own).ok_or(Code::NoTarget)?;
        let service = self.service.ok_or(Code::NoTarget)?;
        Ok(Terms {
            service: snapshot.service(service).name.clone(),
            idempotent: entry.route.idempotent,
            once: entry.route.once,
            class: entry.route.class,
            rank: entry.route.rank,
            objective: now + Duration::from_millis(entry.route.objective_ms.into()),
            may_exceed_objective: true,
            repeat: false,
            regions: entry.route.regions.clone(),
        })
    }

    pub(super) fn check_permission(&self, key: RequestKey) -> Option<CheckResult> {
        let permission =
            self.homes.as_ref().map_or(RunPermission::NotHome, |homes| homes.permission(key));
        match permission {
            RunPermission::Unknown => Some(unknown(Code::KeyOutcomeUnknown)),
            RunPermission::Draining => Some(not_run(Code::Draining, RETRY_AFTER_SHORT)),
            RunPermission::NotHome => Some(not_run(Code::NotHome, RETRY_AFTER_SHORT)),
            RunPermission::Moving => Some(not_run(Code::HomeMoving, RETRY_AFTER_SHORT)),
            RunPermission::Home if !self.confirmed => {
                Some(not_run(Code::ClockGap, RETRY_AFTER_SHORT))
            }
            RunPermission::Home => None,
        }
    }

    fn check_availability(
        &self,
        now: Time,
        arrival: &Arrival<'_>,
        terms: Terms,
        key: Option<RequestKey>,
    ) -> CheckResult {
        if self.crashes(now, arrival) >= MAX_CRASHES as u32 {
            return not_run(Code::Quarantined, RETRY_AFTER_QUARANTINED);
        }
        if self.draining || self.target_leaving || self.statements().leaving {
            return not_run(Code::Draining, RETRY_AFTER_SHORT);
        }
        if let Some(code) = self.check_placement(arrival, &terms) {
            return not_run(code, RETRY_AFTER_SHORT);
        }
        CheckResult::Accept(terms, key)
    }

    pub(super) fn crashes(&self, now: Time, arrival: &Arrival<'_>) -> u32 {
        arrival.crashes.max(self.suspects.crashes(now, arrival.fingerprint) as u32)
    }

    pub(super) fn crashes_of(&self, now: Time, call: &Call) -> u32 {
        call.crashes.max(self.suspects.crashes(now, call.fingerprint) as u32)
    }
}

fn not_run(code: Code, retry_after: Duration) -> CheckResult {
    CheckResult::Reject(Outcome::not_run(code, retry_after))
}

fn unknown(code: Code) -> CheckResult {
    CheckResult::Reject(Outcome::Unknown { code })
}
