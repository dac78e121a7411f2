//! Requests that have a slot of the target and have not been sent yet.

use super::{Gatekeeper, Output};
use crate::call::{CallKey, Outcome};
use crate::{Code, Time};

impl Gatekeeper {
    /// A request with a slot waits for a connection.
    pub(super) fn connecting(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.calls.get_mut(&call).filter(|entry| entry.running) else {
            return;
        };
        entry.connecting = true;
        let until = self.slots.latest_start(now, &entry.offer);
        self.slots.connecting(call);
        match self.refusal_code() {
            Some(code) => self.reject_unstarted(now, &[call], code, out),
            None => out.push(Output::Queue(call, until)),
        }
    }

    /// A request has its connection, or is sent a while after its start was counted. Nothing is output
    /// for a call that was rejected in the meantime.
    pub(super) fn connected(&mut self, now: Time, call: CallKey, out: &mut Vec<Output>) {
        if let Some(code) = self.refusal_code() {
            return self.reject_unstarted(now, &[call], code, out);
        }
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        entry.connecting = false;
        let once = entry.key.is_some();
        if self.slots.connected(now, call) {
            return out.push(Output::Run { call, once });
        }
        let code = self.slots.start_limits().rejection_code(now).unwrap_or(Code::QueueTimeout);
        self.reject_running_unsent(now, call, code, out);
    }

    /// Rejects a request that has a slot, was not sent and no longer counts as started.
    fn reject_running_unsent(
        &mut self,
        now: Time,
        call: CallKey,
        code: Code,
        out: &mut Vec<Output>,
    ) {
        self.slots.abandon(call);
        let Some(entry) = self.remove_unstarted(call) else {
            return;
        };
        let wait = self.slots.retry_after(now, &entry.offer);
        let outcome = Outcome::not_run(code, self.with_jitter(wait));
        let crashes = self.crashes_of(now, &entry);
        out.push(Output::Reject { call, outcome, crashes });
    }
}
