//! Processing of platform replies, and assembly of preset bodies.

use super::limits::{
    BODY_READ_DELAY, DIGEST_FAILURE_BACKOFF, DIGEST_FAILURES_BEFORE_REPORT,
    EXTRA_ZONE_LIST_INTERVAL, LIST_READ_INTERVAL, MIN_WATCH_INTERVAL, ORPHAN_BACKOFF,
    ORPHAN_BACKOFF_INTERVALS, READER_BACKOFF,
};
use super::message::{Summary, ZoneList, ZonesList};
use super::port::{Output, Peer, SourceReply, SourceValue};
use super::source::{BodyRead, CallPurpose, OpenCall, Watch};
use super::store::Store;
use super::{Spread, VerifiedVersion};
use crate::config::{Decision, InForce, Preset, ResourceSet, Scope, Snapshot, resource, validate};
use crate::event::{Event, EventKind};
use crate::hash::Hash;
use crate::member::VmList;
use crate::place::{Place, Zones};
use crate::{Code, Fault, Result, Time};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

impl Spread {
    pub(super) fn handle_reply(&mut self, now: Time, reply: SourceReply, out: &mut Vec<Output>) {
        let Some(call) = self.source.close(reply.id) else { return };
        match reply.result {
            Ok(value) => {
                if self.source.reachable.replace(true) == Some(false) {
                    out.push(Output::Event(Event::new(now, EventKind::SourceBack)));
                    self.restart_list_watches(out);
                }
                self.handle_value(now, &call, value, out);
            }
            Err(code) => self.source_failed(now, &call, code, out),
        }
    }

    /// Restarts the watches on lists after an outage, which may have lost their responses
    /// unnoticed. Otherwise a change would go unseen until the long wait ends.
    fn restart_list_watches(&mut self, out: &mut Vec<Output>) {
        let is_list = |p: &CallPurpose| matches!(p, CallPurpose::List(_) | CallPurpose::Zones);
        let dropped = self.source.cancel_calls(is_list);
        out.extend(dropped.into_iter().map(Output::DropSource));
    }

    pub(super) fn source_failed(
        &mut self,
        now: Time,
        call: &OpenCall,
        code: Code,
        out: &mut Vec<Output>,
    ) {
        if self.source.reachable.replace(false) != Some(false) {
            out.push(Output::Event(Event::new(now, EventKind::SourceLost).with_code(code)));
        }
        let (first, reader) = READER_BACKOFF;
        let interval = self.call_interval(self.access(now));
        let longest = (interval * ORPHAN_BACKOFF_INTERVALS).clamp(reader, ORPHAN_BACKOFF);
        let rng = &mut self.rng;
        match &call.purpose {
            CallPurpose::InForce => self.source.in_force.fail(now, first, longest, rng),
            CallPurpose::Zones => self.source.zones.fail(now, first, longest, rng),
            CallPurpose::List(place) => {
                let watch = self.source.lists.entry(place.zone.clone()).or_default();
                watch.fail(now, first, longest, rng);
            }
            CallPurpose::Body | CallPurpose::Part(_) => {
                if let Some(body_read) = &mut self.source.body_read {
                    body_read.next_at = now + body_read.backoff.fail(first, longest, rng);
                }
            }
        }
    }

    fn handle_value(
        &mut self,
        now: Time,
        call: &OpenCall,
        value: SourceValue,
        out: &mut Vec<Output>,
    ) {
        match &call.purpose {
            CallPurpose::InForce => self.handle_in_force(now, call, value, out),
            CallPurpose::Body => self.handle_body(now, value.body, out),
            CallPurpose::Part(digest) => self.handle_part(now, *digest, value.body, out),
            CallPurpose::Zones => self.handle_source_zones(now, value),
            CallPurpose::List(place) => self.handle_source_list(now, place.clone(), value),
        }
    }

    fn handle_in_force(
        &mut self,
        now: Time,
        call: &OpenCall,
        value: SourceValue,
        out: &mut Vec<Output>,
    ) {
        let seen = match &value.body {
            None => None,
            Some(body) => match validate::parse_in_force(body) {
                Ok(seen) => Some(seen),
                Err(fault) => return self.refuse_unparsable(now, body, fault, out),
            },
        };
        let watch = &mut self.source.in_force;
        let index_regressed = value.index < watch.index;
        let changed = watch.record_response(now, call, value.index, &mut self.rng);
        let Some(seen) = seen else { return };
        if changed || self.newest_checked().is_none() {
            self.handle_publication(now, seen, index_regressed, out);
        }
    }

    /// Reports a value that cannot be parsed, once. The version in force stays unchanged. The value
    /// is read again, because the response may have been broken and not the value.
    fn refuse_unparsable(&mut self, now: Time, body: &Bytes, fault: Fault, out: &mut Vec<Output>) {
        let (first, longest) = READER_BACKOFF;
        self.source.in_force.fail(now, first, longest, &mut self.rng);
        let hash = Hash::of(body);
        if self.source.last_unparsable.replace(hash) != Some(hash) {
            let event = Event::new(now, EventKind::VersionRefused).with_code(Code::SourceInvalid);
            out.push(Output::Event(event));
            out.push(Output::Rejected(
                Fault::new(Code::SourceInvalid).with_location("in-force").with_detail(fault),
            ));
        }
    }

    /// Decides whether to take a publication read from the platform.
    fn handle_publication(
        &mut self,
        now: Time,
        seen: InForce,
        index_regressed: bool,
        out: &mut Vec<Output>,
    ) {
        let pending = self.source.body_read.as_ref().map(|body_read| body_read.publication.clone());
        if self.newest_checked() == Some(&seen) || self.source.is_invalid(&seen) {
            return;
        }
        // The floor may be a version that this VM confirmed before a restart but does not hold now.
        let decision = match self.floor.newest() {
            Some(floor) if *floor == seen && pending.as_ref() != Some(&seen) => Decision::Fetch,
            _ => self.floor.evaluate(&seen, pending.as_ref()),
        };
        match decision {
            Decision::AlreadyKnown => {}
            Decision::Fetch => {
                self.observe_version(now, seen.version, None, out);
                self.start_body_read(now, seen);
            }
            Decision::Reject(code) => {
                if code == Code::VersionConflict
                    && pending.is_some_and(|pending| pending.version == seen.version)
                {
                    self.source.body_read = None;
                }
                let older = code == Code::VersionOlder && index_regressed;
                let code = if older { Code::SourceWentBack } else { code };
                self.report_rejected_once(now, &seen, None, Fault::new(code), out);
            }
        }
    }

    /// Reports a rejected publication, once.
    pub(super) fn report_rejected_once(
        &mut self,
        now: Time,
        seen: &InForce,
        from: Option<&Peer>,
        fault: Fault,
        out: &mut Vec<Output>,
    ) {
        if self.source.last_rejected.as_ref() == Some(seen) {
            return;
        }
        self.source.last_rejected = Some(seen.clone());
        let place = format!("version {} {}", seen.version, seen.digest);
        self.report_rejected(now, seen.version, from, fault.with_location(place), out);
    }

    /// Starts to read a body. Readers outside the platform's region first wait for a delta from the
    /// readers inside it, which avoids transferring the full body over a link billed by volume.
    fn start_body_read(&mut self, now: Time, publication: InForce) {
        let delay = match self.topology.reader {
            Some(number) if !self.topology.home && self.attach.parent().is_some() => {
                BODY_READ_DELAY * (number as u32 + 1)
            }
            _ => Duration::ZERO,
        };
        self.source.body_read = Some(BodyRead::new(publication, now + delay));
    }

    /// Reads the body of the version in force again to obtain resources outside the held scope.
    pub(super) fn reread_body(&mut self, now: Time, publication: InForce) {
        if self.source.body_read.is_none() {
            self.source.body_read = Some(BodyRead::new(publication, now));
        }
    }

    /// Cancels the read of a body that is no longer needed.
    pub(super) fn cancel_body_read(&mut self, checked: InForce, out: &mut Vec<Output>) {
        let body_read = self.source.body_read.as_ref();
        if body_read.is_some_and(|body_read| !body_read.publication.replaces(&checked)) {
            self.source.body_read = None;
            let dropped =
                self.source.cancel_calls(|p| matches!(p, CallPurpose::Body | CallPurpose::Part(_)));
            out.extend(dropped.into_iter().map(Output::DropSource));
        }
    }

    fn handle_body(&mut self, now: Time, body: Option<Bytes>, out: &mut Vec<Output>) {
        let Some(body_read) = &mut self.source.body_read else { return };
        let publication = body_read.publication.clone();
        let parsed = match &body {
            Some(body) => validate::parse_preset(body, &publication),
            None => Err(Fault::new(Code::DigestMismatch).with_detail("key has no value")),
        };
        match parsed {
            Ok(preset) => {
                body_read.preset = Some(preset);
                body_read.backoff.reset();
                body_read.next_at = now;
                self.finish_body_read(now, out);
            }
            Err(fault) => self.handle_invalid_body(now, fault, out),
        }
    }

    fn handle_part(&mut self, now: Time, digest: Hash, body: Option<Bytes>, out: &mut Vec<Output>) {
        let parsed = match body {
            Some(body) => validate::parse_part(&body, &digest).map(|_| body),
            None => Err(Fault::new(Code::DigestMismatch).with_detail("key has no value")),
        };
        match parsed {
            Ok(body) => {
                self.source.parts.insert(digest, body);
                self.finish_body_read(now, out);
            }
            Err(fault) => self.handle_invalid_body(now, fault, out),
        }
    }

    /// A digest mismatch means that the body was replaced during the read, so it is read again. Any
    /// other fault marks the publication as invalid.
    fn handle_invalid_body(&mut self, now: Time, fault: Fault, out: &mut Vec<Output>) {
        let Some(body_read) = &mut self.source.body_read else { return };
        let publication = body_read.publication.clone();
        if fault.code != Code::DigestMismatch {
            self.source.body_read = None;
            self.source.mark_invalid(publication.clone());
            self.report_rejected(now, publication.version, None, fault, out);
            return;
        }
        let (first, longest) = DIGEST_FAILURE_BACKOFF;
        body_read.next_at = now + body_read.backoff.fail(first, longest, &mut self.rng);
        if body_read.backoff.failures() == DIGEST_FAILURES_BEFORE_REPORT {
            self.report_rejected(now, publication.version, None, fault, out);
        }
    }

    /// Assembles the preset once all parts have been read.
    fn finish_body_read(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(body_read) = &self.source.body_read else { return };
        let Some(preset) = &body_read.preset else { return };
        if self.source.missing_part().is_some() {
            return;
        }
        let publication = body_read.publication.clone();
        let preset = preset.clone();
        match self.check_preset(&publication, preset) {
            Ok(checked) => {
                self.source.body_read = None;
                self.accept_version(now, checked, out);
            }
            Err(fault) => self.handle_invalid_body(now, fault, out),
        }
    }

    fn check_preset(
        &mut self,
        publication: &InForce,
        mut preset: Preset,
    ) -> Result<VerifiedVersion> {
        let refs = std::mem::take(&mut preset.parts);
        for part in &refs {
            if let Some(body) = self.source.parts.get(&part.digest) {
                validate::add_part(&mut preset, validate::parse_part(body, &part.digest)?)?;
            }
        }
        validate::preset(&preset)?;
        self.source.parts.retain(|digest, _| refs.iter().any(|part| part.digest == *digest));
        let mut content = ResourceSet::new(resource::split_preset(&preset))?;
        // Parsed documents take several times the memory of the retained resources.
        drop(preset);
        if let Some(held) = &self.in_force {
            content.share_bodies(held.content());
        }
        let manifest_digest = content.manifest(&Scope::All).digest();
        let scope = self.wanted_scope();
        content.retain_scope(&scope);
        let snapshot =
            Snapshot::from_resources(publication.clone(), &content.in_scope(&self.scope))?;
        let summary = Summary {
            in_force: publication.clone(),
            manifest_digest,
            store_age_ms: None,
            store_revision: 0,
        };
        Ok(VerifiedVersion { store: Store::new(summary, scope, content), snapshot, from: None })
    }

    fn handle_source_zones(&mut self, now: Time, value: SourceValue) {
        let watch = &mut self.source.zones;
        watch.index = value.index;
        watch.next_at = now + LIST_READ_INTERVAL;
        watch.backoff.reset();
        let parsed = value.body.and_then(|body| serde_json::from_slice::<Zones>(&body).ok());
        let Some(zones) = parsed else { return };
        let list = ZonesList { index: value.index, zones: zones.zones };
        if self.members.update_zones(Arc::new(list)) {
            self.invalidate_topology();
        }
    }

    fn handle_source_list(&mut self, now: Time, place: Place, value: SourceValue) {
        let extra = self.extra_zones.contains(&place);
        let watch = self.source.lists.entry(place.zone.clone()).or_default();
        watch.index = value.index;
        watch.next_at = now + if extra { EXTRA_ZONE_LIST_INTERVAL } else { LIST_READ_INTERVAL };
        watch.backoff.reset();
        let parsed = value.body.and_then(|body| serde_json::from_slice::<VmList>(&body).ok());
        let Some(list) = parsed else { return };
        let list = ZoneList { place, index: value.index, vms: list.vms };
        if self.members.update_list(now, Arc::new(list)) {
            self.invalidate_topology();
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
        self.next_at = now + self.backoff.fail(first, longest, rng);
    }

    /// Records a response and schedules the next call. Returns whether the index changed.
    ///
    /// Backs off if an unchanged value is returned early, in case the platform does not block.
    fn record_response(
        &mut self,
        now: Time,
        call: &OpenCall,
        index: u64,
        rng: &mut rand_pcg::Pcg64Mcg,
    ) -> bool {
        let changed = index != self.index;
        self.index = index;
        if !changed && now.since(call.started_at) < call.wait / 2 || index == 0 {
            self.fail(now, READER_BACKOFF.0, READER_BACKOFF.1, rng);
        } else {
            self.backoff.reset();
            self.next_at = now + MIN_WATCH_INTERVAL;
        }
        changed
    }
}
