//! What the target of this gatekeeper states about itself.
//!
//! A restarted gatekeeper knows nothing, while the entry nodes that have passed on the target's
//! responses still do. Until the target responds, the gatekeeper keeps the lowest limit that they
//! send with their requests.

use super::{Gatekeeper, Output};
use crate::call::{CallKey, Outcome, RateLimit, StatedLimit, Statement, TargetStatements};
use crate::event::EventKind;
use crate::{Code, Time};

/// Statements, and where the limit is from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Statements {
    holding: TargetStatements,
    // When the target last stated a limit.
    limited_at: Time,
    // Whether this gatekeeper has received a response of the target's process.
    has_response: bool,
}

impl Statements {
    /// Takes over that the target is leaving.
    pub(super) fn set_leaving(&mut self) {
        self.holding.leaving = true;
    }
}

impl Gatekeeper {
    /// The statements of the target that hold.
    pub fn statements(&self) -> TargetStatements {
        self.statements.holding
    }

    pub(super) fn record_statement(
        &mut self,
        now: Time,
        call: CallKey,
        ran: bool,
        statement: Statement,
        out: &mut Vec<Output>,
    ) {
        let Some(sent_at) = self.slots.sent_at(call) else {
            return;
        };
        match statement.limit {
            StatedLimit::Limit(limit) => self.record_limit(now, limit, out),
            // A rejection need not come from the part of the target that states limits, and a
            // response to an earlier request may be older than the limit.
            StatedLimit::Absent if ran && self.may_lift(sent_at) => self.set_limit(now, None, out),
            StatedLimit::Absent | StatedLimit::Unreadable => {}
        }
        self.statements.has_response |= ran;
        self.record_pace(now, statement);
        self.record_leaving(now, statement, out);
    }

    pub(super) fn record_probe_statement(
        &mut self,
        now: Time,
        statement: Statement,
        out: &mut Vec<Output>,
    ) {
        if let StatedLimit::Limit(limit) = statement.limit {
            self.record_limit(now, limit, out);
        }
        self.record_pace(now, statement);
        self.record_leaving(now, statement, out);
    }

    fn record_pace(&mut self, now: Time, statement: Statement) {
        if let Some(pace) = statement.pace {
            self.slots.record_pace(now, pace);
        }
    }

    /// Takes over the limit known to an entry node while the target has not responded yet.
    pub(super) fn record_known_limit(
        &mut self,
        now: Time,
        limit: Option<RateLimit>,
        out: &mut Vec<Output>,
    ) {
        let Some(limit) = limit.filter(|_| !self.statements.has_response) else {
            return;
        };
        let lowest = self.statements.holding.limit.map_or(limit, |known| known.min(limit));
        self.set_limit(now, Some(lowest), out);
    }

    /// Forgets the statements of a process that has ended.
    pub(super) fn forget_statements(&mut self, now: Time, out: &mut Vec<Output>) {
        self.set_limit(now, None, out);
        self.statements = Statements::default();
    }

    fn may_lift(&self, sent_at: Time) -> bool {
        !self.statements.has_response || sent_at >= self.statements.limited_at
    }

    fn record_limit(&mut self, now: Time, limit: RateLimit, out: &mut Vec<Output>) {
        self.statements.limited_at = now;
        self.statements.has_response = true;
        self.set_limit(now, Some(limit), out);
    }

    fn set_limit(&mut self, now: Time, limit: Option<RateLimit>, out: &mut Vec<Output>) {
        let before = std::mem::replace(&mut self.statements.holding.limit, limit);
        if before == limit {
            return;
        }
        self.slots.start_limits_mut().set_stated(limit);
        match (before, limit) {
            (None, Some(_)) => out.push(Output::Record(EventKind::TargetLimited)),
            (Some(_), None) => out.push(Output::Record(EventKind::TargetUnlimited)),
            _ => {}
        }
        self.reject_hopeless(now, out);
    }

    /// Rejects the queued requests that the limit leaves no time for.
    fn reject_hopeless(&mut self, now: Time, out: &mut Vec<Output>) {
        for call in self.slots.withdraw_hopeless(now) {
            let Some(entry) = self.remove_unstarted(call) else { continue };
            let wait = self.slots.retry_after(now, &entry.offer);
            let outcome = Outcome::not_run(Code::TargetLimited, self.with_jitter(wait));
            let crashes = self.crashes_of(now, &entry);
            out.push(Output::Reject { call, outcome, crashes });
        }
    }

    fn record_leaving(&mut self, now: Time, statement: Statement, out: &mut Vec<Output>) {
        let known = &mut self.statements.holding.leaving;
        if statement.leaving && !std::mem::replace(known, true) {
            out.push(Output::Record(EventKind::TargetLeaving));
            self.reject_waiting_requests(now, Code::Draining, out);
        }
    }
}
