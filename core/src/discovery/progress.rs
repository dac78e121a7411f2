//! What this node knows of the store and of its own target, recorded as events.

use super::port::{Call, Request};
use super::{Discovery, Output};
use crate::event::{Event, EventKind};
use crate::{Code, Name, Time};

kebab_enum! {
    /// What the entry of the local target says.
    pub enum EntryState {
        Ready,
        Leaving,
        /// Retained although the entry is missing.
        Missing,
    }
}

/// What was last recorded.
#[derive(Debug, Default)]
pub struct Progress {
    listing: bool,
    entry: Option<EntryState>,
    // The registry may have changed since.
    due: bool,
    // Node that the change came from; absent if it was the store.
    informant: Option<Name>,
    retained: usize,
}

impl Progress {
    /// Called when targets may have changed because of a message from `informant`, or of a response
    /// of the store.
    pub fn on_targets(&mut self, informant: Option<&Name>) {
        self.due = true;
        self.informant = informant.cloned();
    }

    /// Called when the list ended or is no longer needed. Returns whether one was in progress.
    pub fn end_list(&mut self) -> bool {
        std::mem::take(&mut self.listing)
    }
}

impl Discovery {
    /// Number of targets that are retained although their entries are missing.
    pub fn retained_targets(&self) -> usize {
        self.progress.retained
    }

    pub(super) fn record_store_status(
        &mut self,
        now: Time,
        responded: bool,
        out: &mut Vec<Output>,
    ) {
        if self.store_reachable.replace(responded) == Some(responded) {
            return;
        }
        let event = match responded {
            true => Event::new(now, EventKind::SourceBack),
            false => Event::new(now, EventKind::SourceLost).with_code(Code::SourceUnreachable),
        };
        out.push(Output::Event(event));
        out.push(Output::Status(self.status()));
    }

    /// Handles an overdue response. The store counts as lost once the next one is overdue too.
    pub(super) fn handle_overdue(&mut self, now: Time, overdue: u32, out: &mut Vec<Output>) {
        // Entries may have expired at any time since the last response.
        self.registry.on_store_failure(now, self.watcher.responded_at().unwrap_or(now));
        if overdue > 1 {
            return self.record_store_status(now, false, out);
        }
        let event = Event::new(now, EventKind::SourceOverdue);
        out.push(Output::Event(event.with_code(Code::SourceUnreachable)));
    }

    /// Records the first call of a list.
    pub(super) fn record_call(&mut self, now: Time, call: &Call, out: &mut Vec<Output>) {
        let is_list = matches!(call.request, Request::List { .. });
        if is_list && !std::mem::replace(&mut self.progress.listing, true) {
            out.push(Output::Event(Event::new(now, EventKind::SourceListing)));
        }
    }

    /// Records the end of a list.
    pub(super) fn record_listed(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.progress.end_list() {
            out.push(Output::Event(Event::new(now, EventKind::SourceListed)));
        }
    }

    /// Records what the local target's entry says if that has changed.
    pub(super) fn record_entry(&mut self, now: Time, out: &mut Vec<Output>) {
        if !std::mem::take(&mut self.progress.due) {
            return;
        }
        let informant = self.progress.informant.take();
        self.progress.retained = self.registry.missing().count();
        let entry = self.registry.entry_state(self.cfg.address.ip());
        if std::mem::replace(&mut self.progress.entry, entry) == entry {
            return;
        }
        let kind = match entry {
            Some(EntryState::Ready) => EventKind::EntryReady,
            Some(EntryState::Leaving) => EventKind::EntryLeaving,
            Some(EntryState::Missing) => EventKind::EntryMissing,
            None => EventKind::EntryGone,
        };
        let event = Event::new(now, kind);
        out.push(Output::Event(match &informant {
            Some(peer) => event.with_peer(peer),
            None => event,
        }));
    }
}
