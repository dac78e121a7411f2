//! List of the store that is in progress.

use super::port::{Change, Reply};
use crate::Time;
use std::time::Duration;

/// What a stale list says about the fleet.
#[derive(Clone, Copy, Debug)]
pub struct ListedFleet {
    /// Whether it has this VM's own target. Readers announce themselves to nodes with a target only.
    pub has_own_target: bool,
    pub targets: usize,
    /// How long this node, if it is eligible as a reader, leaves it to others to read the rest of the
    /// list and to announce themselves. `None` if the fleet is too small for readers.
    pub reading_delay: Option<Duration>,
}

/// Which part of the state of the store the changes from a call cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Single changes.
    Changes,
    /// All targets. The document follows.
    Targets,
    /// The document and the evacuated zones, after all targets.
    Document,
    /// Single changes of targets, the document and the evacuated zones.
    CatchUp,
    /// A complete list.
    All,
}

impl Part {
    /// Whether the state of the store is completely known with it.
    pub fn completes(self) -> bool {
        matches!(self, Part::Document | Part::CatchUp | Part::All)
    }
}

/// List in progress.
#[derive(Debug)]
pub struct Listing {
    // Items of the pages received so far, then also the entries that have changed since.
    pub pages: Vec<Change>,
    // Lowest revision of any page, then that of the changed entries.
    pub revision: Option<u64>,
    pub stale: bool,
    // The document is not listed, since this node holds a version already. It is read at the end.
    pub targets_only: bool,
    // When the changed entries were read.
    pub entries_at: Option<Time>,
    // The targets have been put in force.
    pub targets_taken: bool,
}

impl Listing {
    /// Begins a list. Only a stale one is completed by reading the document.
    pub fn new(stale: bool, holds_version: bool) -> Listing {
        Listing {
            pages: Vec::new(),
            revision: None,
            stale,
            targets_only: stale && holds_version,
            entries_at: None,
            targets_taken: false,
        }
    }

    /// Begins to read what has changed since `revision`, up to which all targets are known.
    pub fn since(revision: u64) -> Listing {
        Listing { revision: Some(revision), targets_taken: true, ..Listing::new(true, true) }
    }

    pub fn add_page(&mut self, reply: Reply) -> Option<String> {
        self.pages.extend(reply.changes);
        let revision = self.revision.map_or(reply.revision, |oldest| oldest.min(reply.revision));
        self.revision = Some(revision);
        reply.next
    }

    /// Whether there is a version, listed or known before.
    pub fn has_document(&self) -> bool {
        self.targets_only || self.pages.iter().any(|change| matches!(change, Change::Published(_)))
    }

    /// Adds the entries that have changed since the oldest page.
    pub fn add_entries(&mut self, now: Time, reply: Reply) {
        self.pages.extend(reply.changes);
        self.revision = Some(reply.revision);
        self.entries_at = Some(now);
    }

    /// Takes the targets, all of which are known once their changes have been added.
    pub fn take_targets(&mut self) -> Vec<Change> {
        self.targets_taken = true;
        let is_target =
            |change: &Change| matches!(change, Change::Target { .. } | Change::Removed { .. });
        let (targets, others) = std::mem::take(&mut self.pages).into_iter().partition(is_target);
        self.pages = others;
        targets
    }

    /// Ends the list with the response that holds the document and the evacuated zones.
    pub fn finish(mut self, reply: Reply) -> (Vec<Change>, Part) {
        // The stale pages may contain evacuations that have ended.
        self.pages.retain(|change| !matches!(change, Change::Evacuation { .. }));
        self.pages.extend(reply.changes);
        (self.pages, if self.targets_taken { Part::Document } else { Part::All })
    }
}
