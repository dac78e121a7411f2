//! Scheduling and rate limiting of calls to the platform.
//!
//! Region readers watch the platform continuously. Any other node reads it only if it has lost all
//! parent candidates or has no VM list of its zone. The call rate of such nodes is limited to a
//! fixed budget divided by the number of nodes that may be in the same situation.

use super::Spread;
use super::backoff::jitter;
use super::limits::{
    CALLS_PER_READ, LIST_WAIT, ORPHAN_CALLS_PER_S, RELAY_CALLS_PER_S, RELAYS_PER_ZONE, WATCH_WAIT,
    WATCH_WAIT_HOME,
};
use super::port::Output;
use super::source::{BodyRead, CallPurpose};
use crate::place::Place;
use crate::{Code, Name, Time};
use std::time::Duration;

/// How a node may access the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// No access.
    None,
    /// Continuous watches.
    Reader,
    /// Reads within the call budget of zone relays.
    Relay,
    /// Reads within the call budget of all other nodes.
    Orphan,
}

/// A call that is due.
struct DueCall {
    purpose: CallPurpose,
    key: String,
    index: u64,
    wait: Duration,
}

impl DueCall {
    fn now(purpose: CallPurpose, key: impl Into<String>) -> DueCall {
        DueCall { purpose, key: key.into(), index: 0, wait: Duration::ZERO }
    }

    fn watch(purpose: CallPurpose, key: impl Into<String>, index: u64) -> DueCall {
        let max_wait = match purpose {
            CallPurpose::List(_) | CallPurpose::Zones => LIST_WAIT,
            CallPurpose::InForce | CallPurpose::Body | CallPurpose::Part(_) => WATCH_WAIT,
        };
        let wait = if index == 0 { Duration::ZERO } else { max_wait };
        DueCall { purpose, key: key.into(), index, wait }
    }
}

impl Spread {
    pub(super) fn access(&self, now: Time) -> Access {
        if self.topology.reader.is_some() {
            return Access::Reader;
        }
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        if !listed {
            let seeds_unresponsive = self.join.as_ref().is_none_or(|join| !join.is_waiting(now));
            return if seeds_unresponsive { Access::Orphan } else { Access::None };
        }
        let is_relay = self.topology.rank < RELAYS_PER_ZONE;
        if is_relay && (self.is_orphan() || self.lacks_zone_lists()) {
            return Access::Relay;
        }
        let needed = self.is_orphan() || !self.extra_zones.is_empty();
        if needed { Access::Orphan } else { Access::None }
    }

    /// Whether the zone or VM lists are incomplete. A zone relay needs them to determine the readers
    /// of its region.
    fn lacks_zone_lists(&self) -> bool {
        let lacks = |place: &Place| self.members.list(&place.zone).is_none();
        self.members.zones().is_none() || self.wanted_list_zones().iter().any(lacks)
    }

    /// Mean time between two calls of this node.
    ///
    /// Proportional to the number of nodes that may be in the same state, so that their combined
    /// call rate stays below the platform's limit.
    pub(super) fn call_interval(&self, access: Access) -> Duration {
        let zones = self.topology.zones as u32;
        let relays = zones * RELAYS_PER_ZONE as u32;
        let vms = match self.topology.zone_vms as u32 {
            0 => self.cfg.fleet_vms,
            zone_vms => zone_vms.saturating_mul(zones).max(self.cfg.fleet_vms),
        };
        match access {
            Access::None | Access::Reader => Duration::ZERO,
            Access::Relay => Duration::from_secs(1) * relays / RELAY_CALLS_PER_S,
            Access::Orphan => Duration::from_secs(1) * vms / ORPHAN_CALLS_PER_S,
        }
    }

    pub(super) fn source_wake(&self) -> Option<Time> {
        let overdue = self.source.next_overdue();
        let at = self.source.wake_at;
        overdue.into_iter().chain(at).min()
    }

    pub(super) fn tick_source(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(id) = self.source.overdue(now) {
            out.push(Output::DropSource(id));
            if let Some(call) = self.source.close(id) {
                self.source_failed(now, &call, Code::SourceUnreachable, out);
            }
        }
        let access = self.access(now);
        self.source.wake_at = match access {
            Access::None => {
                self.cancel_source_calls(out);
                self.join.as_ref().and_then(|join| join.waits_until())
            }
            Access::Reader => self.call_all_due(now, out),
            Access::Relay | Access::Orphan => self.call_within_budget(now, access, out),
        };
    }

    /// Cancels all calls once the node no longer needs the platform.
    fn cancel_source_calls(&mut self, out: &mut Vec<Output>) {
        let dropped = self.source.cancel_calls(|_| true);
        out.extend(dropped.into_iter().map(Output::DropSource));
        self.source.body_read = None;
        self.source.in_force.index = 0;
        self.source.next_budgeted_at = None;
    }

    fn call_all_due(&mut self, now: Time, out: &mut Vec<Output>) -> Option<Time> {
        let (due, next) = self.due_calls(now, Access::Reader);
        for call in due {
            self.call(now, call, out);
        }
        next
    }

    fn call_within_budget(
        &mut self,
        now: Time,
        access: Access,
        out: &mut Vec<Output>,
    ) -> Option<Time> {
        let (due, next) = self.due_calls(now, access);
        let Some(call) = due.into_iter().next() else {
            self.source.next_budgeted_at = self.source.next_budgeted_at.filter(|at| now < *at);
            return next;
        };
        let interval = self.call_interval(access);
        // The first call gets full jitter, because many nodes tend to lose their parents, or see
        // their watches return, at the same time. A preset body and its parts are only useful
        // together, so they are read without pauses in between. The pause afterwards and the
        // initial jitter are extended accordingly.
        let calls = if call.purpose.precedes_body_read() { CALLS_PER_READ } else { 1 };
        let first = now + jitter(interval * calls, &mut self.rng);
        let at = *self.source.next_budgeted_at.get_or_insert(first);
        let ahead = at.since(now) <= interval * CALLS_PER_READ;
        let follows = self.source.may_follow_up && call.purpose.reads_body() && ahead;
        if now < at && !follows {
            return Some(at);
        }
        self.source.may_follow_up = call.purpose.precedes_body_read() && call.wait.is_zero();
        self.source.may_follow_up |= call.purpose.reads_body();
        self.call(now, call, out);
        let pause = interval / 2 + jitter(interval, &mut self.rng);
        let next = at.max(now) + pause;
        self.source.next_budgeted_at = Some(next);
        Some(next)
    }

    fn call(&mut self, now: Time, due: DueCall, out: &mut Vec<Output>) {
        let Some(key) = Name::new(due.key) else { return };
        let call = self.source.open(now, due.purpose, key, (due.index, due.wait));
        out.push(Output::ReadSource(call));
    }

    /// Returns the calls that are due, most urgent first, and the time of the next one.
    fn due_calls(&self, now: Time, access: Access) -> (Vec<DueCall>, Option<Time>) {
        let mut due = Vec::new();
        let mut next: Option<Time> = None;
        let mut add = |at: Time, call: DueCall| {
            if self.source.is_open(&call.purpose) {
                return;
            }
            if at <= now {
                due.push(call);
            } else {
                next = Some(next.map_or(at, |next| next.min(at)));
            }
        };
        let own = &self.cfg.place;
        let list = |place: &Place| format!("vms/{}", place.zone);
        let list_at =
            |place: &Place| self.source.lists.get(&place.zone).map_or(Time::ZERO, |w| w.next_at);
        if self.members.list(&own.zone).is_none() {
            add(list_at(own), DueCall::now(CallPurpose::List(own.clone()), list(own)));
        }
        let reads = access == Access::Reader || self.is_orphan();
        if let Some(body_read) =
            self.source.body_read.as_ref().filter(|_| !self.source.reads_body())
        {
            add(body_read.next_at, self.next_reading_call(body_read));
        }
        if reads {
            let watch = &self.source.in_force;
            let mut call = DueCall::watch(CallPurpose::InForce, "in-force", watch.index);
            if access == Access::Reader && self.topology.home {
                call.wait = call.wait.min(WATCH_WAIT_HOME);
            }
            add(watch.next_at, call);
        }
        // While the platform is unreachable, polling a single key is enough to detect its recovery.
        let unreachable = self.source.reachable == Some(false) && reads;
        let reads_lists = matches!(access, Access::Reader | Access::Relay);
        if reads_lists && !unreachable {
            let watch = &self.source.zones;
            let index = if access == Access::Reader { watch.index } else { 0 };
            if index > 0 || self.members.zones().is_none() {
                add(watch.next_at, DueCall::watch(CallPurpose::Zones, "zones", index));
            }
            for place in self.wanted_list_zones() {
                let held = self.members.list(&place.zone).is_some();
                let watched = access == Access::Reader && place.region == own.region;
                if watched {
                    let index = self.source.lists.get(&place.zone).map_or(0, |w| w.index);
                    add(
                        list_at(&place),
                        DueCall::watch(CallPurpose::List(place.clone()), list(&place), index),
                    );
                } else if !held && place != *own {
                    add(
                        list_at(&place),
                        DueCall::now(CallPurpose::List(place.clone()), list(&place)),
                    );
                }
            }
        }
        for place in &self.extra_zones {
            add(list_at(place), DueCall::now(CallPurpose::List(place.clone()), list(place)));
        }
        (due, next)
    }

    fn next_reading_call(&self, body_read: &BodyRead) -> DueCall {
        match self.source.missing_part() {
            Some(part) => DueCall::now(CallPurpose::Part(part.digest), part.key.as_str()),
            None => {
                DueCall::now(CallPurpose::Body, format!("preset/{}", body_read.publication.preset))
            }
        }
    }
}
