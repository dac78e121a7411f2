//! Hedging: sends a second attempt of a slow idempotent request. The first response wins.

mod budget;

pub(super) use budget::HedgeBudget;

use super::{ActiveAttempt, AttemptEnd, Entry, Output};
use crate::call::CallKey;
use crate::call::balance::PickRequest;
use crate::{Name, Time};

impl Entry {
    /// Sends a hedge for a slow attempt if a healthy target has capacity and the retry budget
    /// allows it. Otherwise the adapter asks again while the attempt remains without a response.
    pub(super) fn hedge(&mut self, now: Time, key: CallKey, out: &mut Vec<Output>) {
        let Some(vm) = self.hedge_target(now, key) else {
            return;
        };
        let hedge = self.start(now, key, &vm, true);
        if let Some(forward) = &hedge {
            self.hedges.charge(forward.terms.class);
        }
        out.extend(hedge.map(Output::Forward));
    }

    fn hedge_target(&mut self, now: Time, key: CallKey) -> Option<Name> {
        let call = self.calls.get(&key)?;
        let route = &call.snapshot.route(call.route).route;
        // The attempt in progress may crash its target as well. A hedge would take the request to
        // another one before that is known.
        let may_crash = call.crashes > 0;
        let single = call.hedge.is_none() && call.primary.is_some();
        let eligible = call.terms.idempotent && single && !may_crash;
        if !eligible
            || call.counted_attempts() >= route.max_attempts
            || !self.hedges.is_available(call.terms.class)
        {
            return None;
        }
        let service = self.snapshot.as_ref()?.service_named(&call.service)?;
        let request = PickRequest::new(now, service, &call.terms)
            .with_tried(&call.tried)
            .with_regions(&call.terms.regions);
        let silent_for = now.since(call.primary.as_ref()?.sent_at);
        let vm = self.balancer.pick_for_hedge(request, silent_for)?;
        let call = self.calls.get(&key)?;
        let allowed =
            self.fits_before_stop(now, call, &vm) && self.retries.try_take_hedge(now, call);
        allowed.then_some(vm)
    }

    pub(super) fn primary_ended(&mut self, now: Time, key: CallKey, end: AttemptEnd) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let primary = std::mem::replace(&mut call.primary, call.hedge.take());
        if matches!(end, AttemptEnd::LostToHedge) {
            self.hedges.record_win(call.terms.class);
        }
        self.finish_attempt(now, key, primary, Some(end));
    }

    pub(super) fn hedge_ended(&mut self, now: Time, key: CallKey, end: Option<AttemptEnd>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let hedge = call.hedge.take();
        self.finish_attempt(now, key, hedge, end);
    }

    /// Records the end of the primary or the hedge while the other attempt continues.
    fn finish_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        ended: Option<ActiveAttempt>,
        end: Option<AttemptEnd>,
    ) {
        let Some(ended) = ended else {
            return;
        };
        self.balancer.request_finished(&ended.vm);
        if let Some(end) = end {
            self.record_end(now, key, &ended, end);
        }
    }
}
