//! Reading the platform, and the budget for it.
//!
//! Readers of a region watch the platform at all times. Any other node reads it only when it has
//! lost every possible parent, or holds no list of its zone, and then within a share of a budget
//! of calls a second that is divided by how many nodes may be doing the same.

use super::backoff::jitter;
use super::limits::{
    BODY_PATIENCE, CALLS_AHEAD, EXTRA_PAUSE, LIST_PAUSE, ORPHAN_BACKOFF, ORPHAN_BACKOFF_INTERVALS,
    ORPHAN_CALLS_PER_S, READER_BACKOFF, RELAY_CALLS_PER_S, TOP, TORN_BACKOFF, TORN_REPORTED,
    WATCH_PAUSE, WATCH_WAIT, WATCH_WAIT_HOME,
};
use super::message::{Summary, ZoneList, ZonesList};
use super::port::{Output, Peer, SourceReply, SourceValue};
use super::source::{OpenCall, Purpose, Reading, Watch};
use super::store::Store;
use super::{Checked, Spread};
use crate::config::{Content, InForce, Preset, Scope, Snapshot, Verdict, resource, validate};
use crate::event::{Event, EventKind};
use crate::hash::Hash;
use crate::member::VmList;
use crate::place::{Place, Zones};
use crate::{Code, Fault, Name, Result, Time};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// What a node may do at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// Nothing.
    None,
    /// Watch at all times.
    Reader,
    /// Read within the zone relays' share of the budget.
    Relay,
    /// Read within the other nodes' share of the budget.
    Orphan,
}

/// A call that is due.
struct Due {
    purpose: Purpose,
    key: String,
    index: u64,
    wait: Duration,
}

impl Due {
    fn now(purpose: Purpose, key: impl Into<String>) -> Due {
        Due { purpose, key: key.into(), index: 0, wait: Duration::ZERO }
    }

    fn watch(purpose: Purpose, key: impl Into<String>, index: u64) -> Due {
        let wait = if index == 0 { Duration::ZERO } else { WATCH_WAIT };
        Due { purpose, key: key.into(), index, wait }
    }
}

impl Spread {
    fn access(&self, now: Time) -> Access {
        if self.topology.reader.is_some() {
            return Access::Reader;
        }
        let listed = self.members.list(&self.cfg.place.zone).is_some();
        if !listed {
            let seeds_silent = self.join.as_ref().is_none_or(|join| !join.is_asking(now));
            return if seeds_silent { Access::Orphan } else { Access::None };
        }
        let is_relay = self.topology.rank < TOP;
        if is_relay && (self.is_orphan() || self.lacks_lists()) {
            return Access::Relay;
        }
        let needed = self.is_orphan() || !self.extra_zones.is_empty();
        if needed { Access::Orphan } else { Access::None }
    }

    /// A zone relay can't tell who its region's readers are before it holds these lists.
    fn lacks_lists(&self) -> bool {
        let lacks = |place: &Place| self.members.list(&place.zone).is_none();
        self.members.zones().is_none() || self.wanted_lists().iter().any(lacks)
    }

    /// Mean time between two calls of this node.
    ///
    /// Guards against a storm: when a zone, or everything, has lost its readers at once, every
    /// node is right to read the platform, and together they would go over its limit, after which
    /// it answers nobody. The time grows with the number of nodes that may be in the same state,
    /// so that their calls together stay within their share, whoever else is alive.
    fn interval(&self, access: Access) -> Duration {
        let zones = self.topology.zones as u32;
        let relays = zones * TOP as u32;
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
                self.leave_source(out);
                self.join.as_ref().and_then(|join| join.asks_until())
            }
            Access::Reader => self.call_all_due(now, out),
            Access::Relay | Access::Orphan => self.call_within_budget(now, access, out),
        };
    }

    /// A node that has found a parent again gives up its calls.
    fn leave_source(&mut self, out: &mut Vec<Output>) {
        let dropped = self.source.drop_calls(|_| true);
        out.extend(dropped.into_iter().map(Output::DropSource));
        self.source.reading = None;
        self.source.in_force.index = 0;
        self.source.budget_at = None;
    }

    fn call_all_due(&mut self, now: Time, out: &mut Vec<Output>) -> Option<Time> {
        let (due, next) = self.due(now, Access::Reader);
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
        let (due, next) = self.due(now, access);
        let Some(call) = due.into_iter().next() else {
            self.source.budget_at = self.source.budget_at.filter(|at| now < *at);
            self.source.follows &= self.source.budget_at.is_some();
            return next;
        };
        let interval = self.interval(access);
        // Full jitter on the first call after a while: nodes that lost their parents lost them
        // together, and nodes whose watches waited hear of a version in one instant.
        let first = now + jitter(interval, &mut self.rng);
        let at = *self.source.budget_at.get_or_insert(first);
        // What follows on a call goes at once, and the pause after it is as much longer: a body
        // without its parts helps nobody.
        let follows = self.source.follows && call.purpose.is_reading();
        let ahead = at.since(now) <= interval * CALLS_AHEAD;
        if now < at && !(follows && ahead) {
            return Some(at);
        }
        self.source.follows = true;
        self.call(now, call, out);
        let pause = interval / 2 + jitter(interval, &mut self.rng);
        let next = at.max(now) + pause;
        self.source.budget_at = Some(next);
        Some(next)
    }

    fn call(&mut self, now: Time, due: Due, out: &mut Vec<Output>) {
        let Some(key) = Name::new(due.key) else { return };
        let call = self.source.open(now, due.purpose, key, (due.index, due.wait));
        out.push(Output::ReadSource(call));
    }

    /// The calls that are due, most urgent first, and when the next one will be.
    fn due(&self, now: Time, access: Access) -> (Vec<Due>, Option<Time>) {
        let mut due = Vec::new();
        let mut next: Option<Time> = None;
        let mut add = |at: Time, call: Due| {
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
            |place: &Place| self.source.lists.get(&place.zone).map_or(Time::ZERO, |w| w.at);
        if self.members.list(&own.zone).is_none() {
            add(list_at(own), Due::now(Purpose::List(own.clone()), list(own)));
        }
        let reads = access == Access::Reader || self.is_orphan();
        if reads {
            let watch = &self.source.in_force;
            let mut call = Due::watch(Purpose::InForce, "in-force", watch.index);
            if access == Access::Reader && self.topology.home {
                call.wait = call.wait.min(WATCH_WAIT_HOME);
            }
            add(watch.at, call);
        }
        if let Some(reading) = self.source.reading.as_ref().filter(|_| !self.source.is_reading()) {
            add(reading.at, self.next_of(reading));
        }
        // While the platform does not answer, one key is enough to find out when it does again.
        let silent = self.source.answers == Some(false) && reads;
        let relays = matches!(access, Access::Reader | Access::Relay);
        if relays && !silent {
            let watch = &self.source.zones;
            let index = if access == Access::Reader { watch.index } else { 0 };
            if index > 0 || self.members.zones().is_none() {
                add(watch.at, Due::watch(Purpose::Zones, "zones", index));
            }
            for place in self.wanted_lists() {
                let held = self.members.list(&place.zone).is_some();
                let watched = access == Access::Reader && place.region == own.region;
                if watched {
                    let index = self.source.lists.get(&place.zone).map_or(0, |w| w.index);
                    add(
                        list_at(&place),
                        Due::watch(Purpose::List(place.clone()), list(&place), index),
                    );
                } else if !held && place != *own {
                    add(list_at(&place), Due::now(Purpose::List(place.clone()), list(&place)));
                }
            }
        }
        for place in &self.extra_zones {
            add(list_at(place), Due::now(Purpose::List(place.clone()), list(place)));
        }
        (due, next)
    }

    fn next_of(&self, reading: &Reading) -> Due {
        match self.source.missing_part() {
            Some(part) => Due::now(Purpose::Part(part.digest), part.key.as_str()),
            None => Due::now(Purpose::Body, format!("preset/{}", reading.publication.preset)),
        }
    }

    pub(super) fn take_reply(&mut self, now: Time, reply: SourceReply, out: &mut Vec<Output>) {
        let Some(call) = self.source.close(reply.id) else { return };
        match reply.result {
            Ok(value) => {
                if self.source.answers.replace(true) == Some(false) {
                    out.push(Output::Event(Event::new(now, EventKind::SourceBack)));
                }
                self.take_value(now, &call, value, out);
            }
            Err(code) => self.source_failed(now, &call, code, out),
        }
    }

    fn source_failed(&mut self, now: Time, call: &OpenCall, code: Code, out: &mut Vec<Output>) {
        if self.source.answers.replace(false) != Some(false) {
            out.push(Output::Event(Event::new(now, EventKind::SourceLost).with_code(code)));
        }
        let (first, reader) = READER_BACKOFF;
        let interval = self.interval(self.access(now));
        let longest = (interval * ORPHAN_BACKOFF_INTERVALS).clamp(reader, ORPHAN_BACKOFF);
        let rng = &mut self.rng;
        match &call.purpose {
            Purpose::InForce => self.source.in_force.fail(now, first, longest, rng),
            Purpose::Zones => self.source.zones.fail(now, first, longest, rng),
            Purpose::List(place) => {
                let watch = self.source.lists.entry(place.zone.clone()).or_default();
                watch.fail(now, first, longest, rng);
            }
            Purpose::Body | Purpose::Part(_) => {
                if let Some(reading) = &mut self.source.reading {
                    reading.at = now + reading.backoff.fail(first, longest, rng);
                }
            }
        }
    }

    fn take_value(
        &mut self,
        now: Time,
        call: &OpenCall,
        value: SourceValue,
        out: &mut Vec<Output>,
    ) {
        match &call.purpose {
            Purpose::InForce => self.take_in_force(now, call, value, out),
            Purpose::Body => self.take_body(now, value.body, out),
            Purpose::Part(digest) => self.take_part(now, *digest, value.body, out),
            Purpose::Zones => self.take_source_zones(now, value),
            Purpose::List(place) => self.take_source_list(now, place.clone(), value),
        }
    }

    fn take_in_force(
        &mut self,
        now: Time,
        call: &OpenCall,
        value: SourceValue,
        out: &mut Vec<Output>,
    ) {
        let watch = &mut self.source.in_force;
        let went_back = value.index < watch.index;
        let changed = watch.answered(now, call, value.index, &mut self.rng);
        let Some(body) = value.body else { return };
        if !changed && self.newest_checked().is_some() {
            return;
        }
        match validate::parse_in_force(&body) {
            Ok(seen) => self.take_publication(now, seen, went_back, out),
            Err(fault) => self.report_rubbish(now, &body, fault, out),
        }
    }

    /// Reports a value that is not understood, once. What is in force stays.
    fn report_rubbish(&mut self, now: Time, body: &Bytes, fault: Fault, out: &mut Vec<Output>) {
        let hash = Hash::of(body);
        if self.source.rubbish.replace(hash) != Some(hash) {
            let event = Event::new(now, EventKind::VersionRefused).with_code(Code::SourceInvalid);
            out.push(Output::Event(event));
            out.push(Output::Refused(
                Fault::new(Code::SourceInvalid).with_place("in-force").with_detail(fault),
            ));
        }
    }

    /// Judges a publication read from the platform.
    fn take_publication(
        &mut self,
        now: Time,
        seen: InForce,
        went_back: bool,
        out: &mut Vec<Output>,
    ) {
        let pending = self.source.reading.as_ref().map(|reading| reading.publication.clone());
        if self.newest_checked() == Some(&seen) || self.source.is_bad(&seen) {
            return;
        }
        // The floor may be a version that this VM had before a restart and does not hold now.
        let verdict = match self.floor.newest() {
            Some(floor) if *floor == seen && pending.as_ref() != Some(&seen) => Verdict::Take,
            _ => self.floor.judge(&seen, pending.as_ref()),
        };
        match verdict {
            Verdict::Known => {}
            Verdict::Take => {
                self.hear_of(now, seen.version, None, out);
                self.begin_reading(now, seen);
            }
            Verdict::Refuse(code) => {
                if code == Code::VersionConflict
                    && pending.is_some_and(|pending| pending.version == seen.version)
                {
                    self.source.reading = None;
                }
                let older = code == Code::VersionOlder && went_back;
                let code = if older { Code::SourceWentBack } else { code };
                self.refuse_once(now, &seen, None, Fault::new(code), out);
            }
        }
    }

    /// Reports that a publication is refused, once.
    pub(super) fn refuse_once(
        &mut self,
        now: Time,
        seen: &InForce,
        from: Option<&Peer>,
        fault: Fault,
        out: &mut Vec<Output>,
    ) {
        if self.source.refused.as_ref() == Some(seen) {
            return;
        }
        self.source.refused = Some(seen.clone());
        let place = format!("version {} {}", seen.version, seen.digest);
        self.refuse(now, seen.version, from, fault.with_place(place), out);
    }

    /// Starts to read a body. Readers outside the platform's region first leave those inside it
    /// time to send the difference, which spares a whole body over a link that is paid by volume.
    fn begin_reading(&mut self, now: Time, publication: InForce) {
        let patience = match self.topology.reader {
            Some(number) if !self.topology.home && self.attach.parent().is_some() => {
                BODY_PATIENCE * (number as u32 + 1)
            }
            _ => Duration::ZERO,
        };
        self.source.reading = Some(Reading::new(publication, now + patience));
    }

    /// Reads the body of the version in force again, for the part outside the scope held so far.
    pub(super) fn read_again(&mut self, now: Time, publication: InForce) {
        if self.source.reading.is_none() {
            self.source.reading = Some(Reading::new(publication, now));
        }
    }

    /// Stops reading a body that is no longer needed.
    pub(super) fn stop_reading(&mut self, checked: InForce, out: &mut Vec<Output>) {
        let reading = self.source.reading.as_ref();
        if reading.is_some_and(|reading| !reading.publication.replaces(&checked)) {
            self.source.reading = None;
            let dropped = self.source.drop_calls(|p| matches!(p, Purpose::Body | Purpose::Part(_)));
            out.extend(dropped.into_iter().map(Output::DropSource));
        }
    }

    fn take_body(&mut self, now: Time, body: Option<Bytes>, out: &mut Vec<Output>) {
        let Some(reading) = &mut self.source.reading else { return };
        let publication = reading.publication.clone();
        let parsed = match &body {
            Some(body) => validate::parse_preset(body, &publication),
            None => Err(Fault::new(Code::DigestMismatch).with_detail("no value")),
        };
        match parsed {
            Ok(preset) => {
                reading.preset = Some(preset);
                reading.backoff.reset();
                reading.at = now;
                self.finish_reading(now, out);
            }
            Err(fault) => self.body_refused(now, fault, out),
        }
    }

    fn take_part(&mut self, now: Time, digest: Hash, body: Option<Bytes>, out: &mut Vec<Output>) {
        let parsed = match &body {
            Some(body) => validate::parse_part(body, &digest),
            None => Err(Fault::new(Code::DigestMismatch).with_detail("no value")),
        };
        match parsed {
            Ok(part) => {
                self.source.parts.insert(digest, Arc::new(part));
                self.finish_reading(now, out);
            }
            Err(fault) => self.body_refused(now, fault, out),
        }
    }

    /// A body that fails its digest was read across a publish: it is read again, and never used
    /// beside another. Any other fault is in what was published.
    fn body_refused(&mut self, now: Time, fault: Fault, out: &mut Vec<Output>) {
        let Some(reading) = &mut self.source.reading else { return };
        let publication = reading.publication.clone();
        if fault.code != Code::DigestMismatch {
            self.source.reading = None;
            self.source.mark_bad(publication.clone());
            self.refuse(now, publication.version, None, fault, out);
            return;
        }
        let (first, longest) = TORN_BACKOFF;
        reading.at = now + reading.backoff.fail(first, longest, &mut self.rng);
        if reading.backoff.failures() == TORN_REPORTED {
            self.refuse(now, publication.version, None, fault, out);
        }
    }

    /// Puts the preset together once all of its parts have come.
    fn finish_reading(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(reading) = &self.source.reading else { return };
        let Some(preset) = &reading.preset else { return };
        if self.source.missing_part().is_some() {
            return;
        }
        let publication = reading.publication.clone();
        let preset = preset.clone();
        match self.check_preset(&publication, preset) {
            Ok(checked) => {
                self.source.reading = None;
                self.offer(now, checked, out);
            }
            Err(fault) => self.body_refused(now, fault, out),
        }
    }

    fn check_preset(&mut self, publication: &InForce, mut preset: Preset) -> Result<Checked> {
        let refs = std::mem::take(&mut preset.parts);
        for part in &refs {
            if let Some(part) = self.source.parts.get(&part.digest) {
                validate::add_part(&mut preset, part.as_ref().clone())?;
            }
        }
        validate::preset(&preset)?;
        self.source.parts.retain(|digest, _| refs.iter().any(|part| part.digest == *digest));
        let mut content = Content::new(resource::split(&preset))?;
        let whole = content.manifest(&Scope::All).digest();
        let scope = self.wanted_scope();
        content.keep(&scope);
        let snapshot = Snapshot::from_resources(publication.clone(), &content.within(&self.scope))?;
        let summary = Summary { in_force: publication.clone(), whole };
        Ok(Checked { store: Store::new(summary, scope, content), snapshot, from: None })
    }

    fn take_source_zones(&mut self, now: Time, value: SourceValue) {
        let watch = &mut self.source.zones;
        watch.index = value.index;
        watch.at = now + LIST_PAUSE;
        watch.backoff.reset();
        let parsed = value.body.and_then(|body| serde_json::from_slice::<Zones>(&body).ok());
        let Some(zones) = parsed else { return };
        let list = ZonesList { index: value.index, zones: zones.zones };
        if self.members.take_zones(Arc::new(list)) {
            self.lists_changed();
        }
    }

    fn take_source_list(&mut self, now: Time, place: Place, value: SourceValue) {
        let extra = self.extra_zones.contains(&place);
        let watch = self.source.lists.entry(place.zone.clone()).or_default();
        watch.index = value.index;
        watch.at = now + if extra { EXTRA_PAUSE } else { LIST_PAUSE };
        watch.backoff.reset();
        let parsed = value.body.and_then(|body| serde_json::from_slice::<VmList>(&body).ok());
        let Some(list) = parsed else { return };
        let list = ZoneList { place, index: value.index, vms: list.vms };
        if self.members.take_list(now, Arc::new(list)) {
            self.lists_changed();
        }
    }
}

impl Watch {
    fn fail(
        &mut self,
        now: Time,
        first: Duration,
        longest: Duration,
        rng: &mut rand_pcg::Pcg64Mcg,
    ) {
        self.at = now + self.backoff.fail(first, longest, rng);
    }

    /// Takes note of an answer. Returns whether the index changed.
    ///
    /// Guards against a platform that answers a watch at once though nothing has changed: the
    /// watch would be made again without a pause and use up the limit of calls.
    fn answered(
        &mut self,
        now: Time,
        call: &OpenCall,
        index: u64,
        rng: &mut rand_pcg::Pcg64Mcg,
    ) -> bool {
        let changed = index != self.index;
        self.index = index;
        if !changed && now.since(call.began) < call.wait / 2 || index == 0 {
            self.fail(now, READER_BACKOFF.0, READER_BACKOFF.1, rng);
        } else {
            self.backoff.reset();
            self.at = now + WATCH_PAUSE;
        }
        changed
    }
}
