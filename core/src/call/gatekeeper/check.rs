//! Whether a request may reach the target, before its load is looked at.

use super::{Arrival, COME_BACK_LATER, COME_BACK_QUARANTINED, COME_BACK_SOON, Call, Gatekeeper};
use crate::call::home::Right;
use crate::call::once::{KeptAnswer, Seen};
use crate::call::quarantine::MAX_CRASHES;
use crate::call::{MAX_CLOCK_SKEW, Outcome, RequestKey, Terms};
use crate::config::snapshot::RouteEntry;
use crate::{Code, Time};
use std::sync::Arc;
use std::time::Duration;

/// What a check comes to.
pub(super) enum Checked {
    Take(Terms, Option<RequestKey>),
    Replay(Arc<KeptAnswer>),
    Refuse(Outcome),
}

impl Gatekeeper {
    pub(super) fn check(&self, now: Time, arrival: &Arrival<'_>) -> Checked {
        let terms = match self.terms(now, arrival) {
            Ok(terms) => terms,
            Err(code) => return not_run(code, COME_BACK_SOON),
        };
        if !terms.is_keyed() {
            return self.check_load(now, arrival, terms, None);
        }
        let Some(key) = arrival.key.filter(|key| key.created_at() <= now + MAX_CLOCK_SKEW) else {
            return not_run(Code::KeyMissing, COME_BACK_LATER);
        };
        let Some(digest) = &arrival.digest else {
            return not_run(Code::RequestTooLarge, COME_BACK_LATER);
        };
        // What is known of the key goes before every reason for a refusal: a request that ran is
        // never called not run.
        match self.once.look_up(now, key, digest) {
            Seen::Answered(answer) => Checked::Replay(answer),
            Seen::InProgress => unknown(Code::KeyInProgress),
            Seen::Unknown => unknown(Code::KeyOutcomeUnknown),
            Seen::Reused => not_run(Code::KeyReused, COME_BACK_LATER),
            Seen::New => match self.check_right(key) {
                Some(refuse) => refuse,
                None => self.check_load(now, arrival, terms, Some(key)),
            },
        }
    }

    /// What is asked for: as the entry node says, except for keys, whose homes follow from the
    /// version that this node itself holds.
    ///
    /// The entry node's terms go first: it may hold a version that this node has not got yet, or
    /// the other way round.
    fn terms(&self, now: Time, arrival: &Arrival<'_>) -> Result<Terms, Code> {
        if let Some(told) = arrival.terms.as_ref().filter(|terms| !terms.is_keyed()) {
            let own = self.service_name.as_ref() == Some(&told.service);
            return if own { Ok(told.clone()) } else { Err(Code::NoTarget) };
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
        })
    }

    pub(super) fn check_right(&self, key: RequestKey) -> Option<Checked> {
        let right = self.homes.as_ref().map_or(Right::NotHome, |homes| homes.right(key));
        match right {
            Right::Unknown => Some(unknown(Code::KeyOutcomeUnknown)),
            Right::Left => Some(not_run(Code::Draining, COME_BACK_SOON)),
            Right::NotHome => Some(not_run(Code::NotHome, COME_BACK_SOON)),
            Right::Moving => Some(not_run(Code::HomeMoving, COME_BACK_SOON)),
            Right::Home if !self.confirmed => Some(not_run(Code::ClockGap, COME_BACK_SOON)),
            Right::Home => None,
        }
    }

    fn check_load(
        &self,
        now: Time,
        arrival: &Arrival<'_>,
        terms: Terms,
        key: Option<RequestKey>,
    ) -> Checked {
        if self.crashes(now, arrival) >= MAX_CRASHES as u32 {
            return not_run(Code::Quarantined, COME_BACK_QUARANTINED);
        }
        if self.draining || self.target_leaving {
            return not_run(Code::Draining, COME_BACK_SOON);
        }
        Checked::Take(terms, key)
    }

    pub(super) fn crashes(&self, now: Time, arrival: &Arrival<'_>) -> u32 {
        arrival.crashes.max(self.suspects.crashes(now, arrival.fingerprint) as u32)
    }

    pub(super) fn crashes_of(&self, now: Time, call: &Call) -> u32 {
        call.crashes.max(self.suspects.crashes(now, call.fingerprint) as u32)
    }
}

fn not_run(code: Code, retry_after: Duration) -> Checked {
    Checked::Refuse(Outcome::not_run(code, retry_after))
}

fn unknown(code: Code) -> Checked {
    Checked::Refuse(Outcome::Unknown { code })
}
