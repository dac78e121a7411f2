//! Reads what has changed since a known revision: by one watch, or where that would bring several
//! versions, by the changed entries and the current document at once.

use super::super::listing::{Listing, Part};
use super::super::pace::RESPONSE_TIMEOUT;
use super::super::port::{Call, Change, ReadError, Reply, Request};
use super::{CHECK_WAIT, MAX_RESPONSE_BYTES, State, StoreWatcher};
use crate::Time;
use rand_pcg::Pcg64Mcg;

/// Document that is read beside the pending read of changed entries.
#[derive(Debug)]
pub enum SideDocument {
    /// To be called for once the entries have been.
    Due,
    /// Called for, with the ID of the call.
    Pending(u64),
    /// Read before the entries.
    Read(Reply),
}

impl StoreWatcher {
    /// Asks for the changes since `revision` beside the reader, unless a call is in progress.
    pub fn check(&mut self, now: Time, revision: u64) {
        if matches!(self.state, State::Idle) {
            self.schedule_changes(now, revision, now);
        }
    }

    /// Whether the last response was complete, and the next call asks for later changes.
    pub fn is_up_to_date(&self) -> bool {
        matches!(self.state, State::Scheduled(Request::Watch { .. }, _))
            && self.overdue_id.is_none()
    }

    /// Returns the call for the document that is due beside the pending one, if any.
    pub fn next_side_call(&mut self, now: Time) -> Option<Call> {
        let reads_entries = matches!(self.state, State::Pending(_, Request::Entries { .. }));
        self.side_document.take_if(|side| reads_entries && matches!(side, SideDocument::Due))?;
        self.next_id += 1;
        let id = self.next_id;
        self.called_at = now;
        self.side_document = Some(SideDocument::Pending(id));
        let timeout = RESPONSE_TIMEOUT + self.pace.document_time;
        Some(Call { id, request: Request::Document, timeout, max_bytes: MAX_RESPONSE_BYTES })
    }

    /// Keeps the result of a call from [`StoreWatcher::next_side_call`] until the entries have been
    /// read. Returns any other result, and that of a call that is all that is left to wait for.
    pub fn keep_side_document(
        &mut self,
        id: u64,
        result: Result<Reply, ReadError>,
    ) -> Option<Result<Reply, ReadError>> {
        match self.side_document {
            Some(SideDocument::Pending(pending)) if pending == id => {
                self.side_document = result.ok().map(SideDocument::Read);
                None
            }
            _ => Some(result),
        }
    }

    /// Schedules a call for the changes since `revision`, of the kind that takes fewest round trips.
    pub(super) fn schedule_changes(&mut self, now: Time, revision: u64, at: Time) {
        let in_series =
            self.version_at.is_some_and(|received| now.since(received) < 2 * self.pace.check_age);
        match in_series && 2 * self.document_bytes > self.max_watch_bytes() {
            true => self.schedule_catch_up(revision, at),
            false => {
                self.listing = None;
                self.overdue_id = None;
                self.side_document = None;
                self.state = State::Scheduled(Request::Watch { revision, wait: CHECK_WAIT }, at);
            }
        }
    }

    /// Schedules the read of the entries that have changed since `revision`, and beside it that of
    /// the document.
    pub(super) fn schedule_catch_up(&mut self, revision: u64, at: Time) {
        self.overdue_id = None;
        self.listing = Some(Listing::since(revision));
        self.side_document = Some(SideDocument::Due);
        self.state = State::Scheduled(Request::Entries { revision }, at);
    }

    /// Ends a catch-up whose document was read before its entries.
    pub(super) fn finish_catch_up(
        &mut self,
        now: Time,
        mut targets: Vec<Change>,
        document: Reply,
        rng: &mut Pcg64Mcg,
    ) -> (Vec<Change>, Part) {
        let (changes, _) = self.handle_document(now, document, rng);
        targets.extend(changes);
        (targets, Part::CatchUp)
    }
}
