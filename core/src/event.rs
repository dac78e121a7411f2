//! State change events that a node records for the timeline.

use crate::{Code, Name, Time};
use std::collections::VecDeque;
use std::time::Duration;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        kebab_enum! {
            pub enum EventKind { $($(#[$doc])* $name,)* }
        }

        impl EventKind {
            pub const ALL: &'static [EventKind] = &[$(EventKind::$name,)*];
        }
    };
}

kinds! {
    /// The process started.
    Started,
    /// The node learned of a version for the first time.
    VersionHeard,
    /// A version was rejected.
    VersionRefused,
    /// A version was put into force on this node.
    VersionInForce,
    /// The platform's response to a call is overdue.
    SourceOverdue,
    /// The platform stopped responding.
    SourceLost,
    /// The platform responds again.
    SourceBack,
    /// The node began to read all entries from the platform.
    SourceListing,
    /// All entries and the document have been read from the platform.
    SourceListed,
    /// A relay was selected as parent.
    ParentChosen,
    /// The parent is late. The platform is asked as well.
    ParentOverdue,
    /// The parent stopped responding.
    ParentLost,
    /// The local target stopped responding.
    TargetLost,
    /// The local target responds again.
    TargetBack,
    /// The local target states a rate limit.
    TargetLimited,
    /// The local target no longer states a rate limit.
    TargetUnlimited,
    /// The local target states that it is leaving.
    TargetLeaving,
    /// The local target counts as cold from now on, or for another time than before.
    TargetCold,
    /// The local target no longer counts as cold.
    TargetWarm,
    /// The local target's entry lists it as accepting requests.
    EntryReady,
    /// The local target's entry lists it as leaving.
    EntryLeaving,
    /// The local target's entry is missing. The target is retained, since entries of live targets
    /// expire while the platform is unavailable.
    EntryMissing,
    /// The local target has no entry.
    EntryGone,
    /// A request was quarantined because it crashed targets.
    Quarantined,
    /// Request keys are being rehomed to or from this node.
    HomesMoving,
    /// All rehomed keys have been released.
    HomesMoved,
    /// The node stopped accepting new work.
    Draining,
    /// All in-flight work has finished.
    Drained,
    /// The process was suspended, for example by a VM pause.
    ClockGap,
    /// The settings file was reloaded. A code is set if the new settings were rejected.
    SettingsRead,
    /// The process is stopping.
    Stopped,
}

kebab_enum! {
    /// Why a target counts as cold.
    pub enum ColdEvidence {
        /// The gatekeeper's process has started, and its target may have started with it.
        GatekeeperStarted,
        /// The target has responded for the first time after an outage.
        Response,
        /// The target's entry lists it as cold, or another process.
        Entry,
        /// The target rejected a request to its previous process.
        Rejection,
        /// The target's zone was evacuated.
        Evacuation,
        /// The target's response to a health request.
        Health,
    }
}

lenient_json! {
    /// A state change.
    pub struct Event {
        /// Microseconds since the Unix epoch by this node's clock.
        pub at: Time,
        pub kind: EventKind,
        /// The affected version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<u64>,
        /// The affected peer or VM.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub peer: Option<Name>,
        /// Result code number of a failure or rejection.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub code: Option<u16>,
        /// Number of calls that were still open.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub calls: Option<u64>,
        /// Why the target counts as cold.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub evidence: Option<ColdEvidence>,
        /// For how long the target still counts as cold, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub left_ms: Option<u64>,
    }
}

impl EventKind {
    /// Name used in JSON, metrics and logs.
    pub fn name(self) -> String {
        let json = serde_json::to_value(self).unwrap_or_default();
        json.as_str().unwrap_or_default().to_owned()
    }
}

impl Event {
    pub fn new(at: Time, kind: EventKind) -> Event {
        Event {
            at,
            kind,
            version: None,
            peer: None,
            code: None,
            calls: None,
            evidence: None,
            left_ms: None,
        }
    }

    /// Sets the code implied by the kind, if the kind always denotes a failure.
    pub fn with_default_code(self) -> Event {
        match self.kind {
            EventKind::TargetLost => self.with_code(Code::TargetUnreachable),
            EventKind::Quarantined => self.with_code(Code::Quarantined),
            EventKind::ClockGap => self.with_code(Code::ClockGap),
            _ => self,
        }
    }

    pub fn with_version(mut self, version: u64) -> Event {
        self.version = Some(version);
        self
    }

    pub fn with_peer(mut self, peer: &Name) -> Event {
        self.peer = Some(peer.clone());
        self
    }

    pub fn with_code(mut self, code: Code) -> Event {
        self.code = Some(code.number());
        self
    }

    pub fn with_calls(mut self, calls: u64) -> Event {
        self.calls = Some(calls);
        self
    }

    /// Sets why the target counts as cold, and for how long it still does.
    pub fn with_cold_time(mut self, evidence: ColdEvidence, left: Duration) -> Event {
        self.evidence = Some(evidence);
        self.left_ms = Some(left.as_millis() as u64);
        self
    }
}

/// Bounded ring buffer of the most recent events, oldest first.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    pub fn new(capacity: usize) -> EventRing {
        EventRing { events: VecDeque::with_capacity(capacity), capacity, dropped: 0 }
    }

    /// Appends an event, evicting the oldest if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Iterates over the retained events, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Number of events evicted since the process started.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
