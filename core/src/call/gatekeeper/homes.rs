//! Updates of the homes of keys, from new versions and from notes of other gatekeepers.

use super::{Gatekeeper, Output};
use crate::call::home::Homes;
use crate::call::note::{HomeList, Note, ReleaseRequest};
use crate::config::Snapshot;
use crate::event::EventKind;
use crate::{Name, Time};

impl Gatekeeper {
    /// Applies the home list of a snapshot. A gatekeeper that is no longer listed still responds
    /// for keys whose home it was.
    pub(super) fn update_homes(&mut self, now: Time, snapshot: &Snapshot) {
        let own = self.service.map(|service| snapshot.service(service).name.clone());
        let before = self.homes.as_ref().map(|homes| homes.service().clone());
        let Some(name) = own.or(before) else {
            return;
        };
        let list = home_list(snapshot, &name);
        if self.homes.as_ref().is_none_or(|homes| *homes.service() != name) {
            self.homes = Some(self.initial_homes(now, &name, &list));
        }
        if let Some(homes) = &mut self.homes {
            homes.apply_list(now, list);
            if self.draining {
                homes.leave();
            }
        }
    }

    /// Creates the homes of a service whose target this VM becomes for the first time since the
    /// process started. If an earlier version is known, keys are taken over from its targets.
    fn initial_homes(&self, now: Time, name: &Name, list: &HomeList) -> Homes {
        let started = if self.homes.is_none() { self.started } else { now };
        let vm = self.vm.clone();
        match &self.snapshot {
            Some(before) => Homes::joining(started, vm, name.clone(), home_list(before, name)),
            None => Homes::new(started, vm, name.clone(), list.clone()),
        }
    }

    pub(super) fn handle_note(
        &mut self,
        now: Time,
        from: &Name,
        note: &Note,
        out: &mut Vec<Output>,
    ) {
        match note {
            Note::AskRelease(request) => self.release(from, request, out),
            Note::Released(response) => {
                let applied = self
                    .homes
                    .as_mut()
                    .is_some_and(|homes| homes.apply_response(now, from, response));
                if applied {
                    self.idempotency.import(now, &response.keys);
                }
            }
            Note::Leaving => {
                if let Some(homes) = &mut self.homes {
                    homes.peer_leaving(now, from);
                }
            }
            Note::Suspect { crash, fingerprints } => {
                self.record_crash(now, *crash, fingerprints, out);
            }
            Note::Cleared { fingerprint } => {
                self.suspects.clear(*fingerprint);
            }
            Note::TargetLeaving(listed) => self.witness_leaving(listed),
            Note::AskTargetLeaving(listed) => self.answer_question(listed, out),
            Note::KnownTargetLeaving { leaving } => self.record_answer(now, *leaving, out),
        }
    }

    fn release(&mut self, from: &Name, request: &ReleaseRequest, out: &mut Vec<Output>) {
        let Some(homes) = &mut self.homes else {
            return;
        };
        if !homes.may_release(&request.service, &request.list) {
            return;
        }
        if request.since.is_none() {
            homes.peer_restarted(from);
        }
        let departed = request.left.iter().cloned().collect();
        let keys = self.idempotency.keys_that_ran(|key| homes.hands_over(from, &departed, key));
        let notes = homes.release(from, request, &keys, self.idempotency.evicted_until());
        out.extend(notes.into_iter().map(Output::Send));
    }

    pub(super) fn poll_homes(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(homes) = &mut self.homes else {
            return;
        };
        if !homes.moving() && !self.moving {
            return;
        }
        homes.update_members(now, &self.members);
        let mut notes = Vec::new();
        homes.tick(now, &mut notes);
        out.extend(notes.into_iter().map(Output::Send));
        let moving = homes.moving();
        if moving != self.moving {
            self.moving = moving;
            let kind = if moving { EventKind::HomesMoving } else { EventKind::HomesMoved };
            out.push(Output::Record(kind));
        }
    }
}

fn home_list(snapshot: &Snapshot, name: &Name) -> HomeList {
    let service = snapshot.services().iter().find(|service| service.name == *name);
    let targets = service.map(|service| service.targets.as_slice()).unwrap_or_default();
    let vms = targets.iter().map(|target| snapshot.target(*target).target.vm.clone()).collect();
    HomeList { version: snapshot.version(), vms }
}
