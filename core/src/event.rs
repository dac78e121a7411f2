//! Changes of state that a node records for the time line.

use crate::{Code, Name, Time};
use std::collections::VecDeque;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        kebab_enum! {
            /// What changed.
            pub enum EventKind { $($(#[$doc])* $name,)* }
        }

        impl EventKind {
            /// Every kind.
            pub const ALL: &'static [EventKind] = &[$(EventKind::$name,)*];
        }
    };
}

kinds! {
    /// The process started.
    Started,
    /// A version was heard of for the first time.
    VersionHeard,
    /// A version was refused.
    VersionRefused,
    /// A version came into force on this node.
    VersionInForce,
    /// The platform stopped answering.
    SourceLost,
    /// The platform answers again.
    SourceBack,
    /// A relay was chosen as parent.
    ParentChosen,
    /// The parent stopped answering.
    ParentLost,
    /// The local target stopped answering.
    TargetLost,
    /// The local target answers again.
    TargetBack,
    /// A request was held off because it crashed targets.
    Quarantined,
    /// Homes of keys are moving to or from this node.
    HomesMoving,
    /// Every moved key has been released.
    HomesMoved,
    /// The node takes no new work.
    Draining,
    /// The last work has finished.
    Drained,
    /// The process was not running for a while.
    ClockGap,
    /// The settings file was read again; with a code it was refused.
    SettingsRead,
    /// The process stops.
    Stopped,
}

lenient_json! {
    /// One change of state.
    pub struct Event {
        /// When, in microseconds since the Unix epoch by this node's clock.
        pub at: Time,
        /// What changed.
        pub kind: EventKind,
        /// The version concerned.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<u64>,
        /// The peer or VM concerned.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub peer: Option<Name>,
        /// Number of the result code, for what failed or was refused.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub code: Option<u16>,
    }
}

impl EventKind {
    /// The kind's name in JSON, metrics and logs.
    pub fn name(self) -> String {
        let json = serde_json::to_value(self).unwrap_or_default();
        json.as_str().unwrap_or_default().to_owned()
    }
}

impl Event {
    /// An event with nothing but its time and kind.
    pub fn new(at: Time, kind: EventKind) -> Event {
        Event { at, kind, version: None, peer: None, code: None }
    }

    /// The same event with the code of its kind, if the kind is a failure by itself.
    pub fn with_default_code(self) -> Event {
        match self.kind {
            EventKind::TargetLost => self.with_code(Code::TargetUnreachable),
            EventKind::Quarantined => self.with_code(Code::Quarantined),
            EventKind::ClockGap => self.with_code(Code::ClockGap),
            _ => self,
        }
    }

    /// The same event with the version concerned.
    pub fn with_version(mut self, version: u64) -> Event {
        self.version = Some(version);
        self
    }

    /// The same event with the peer concerned.
    pub fn with_peer(mut self, peer: &Name) -> Event {
        self.peer = Some(peer.clone());
        self
    }

    /// The same event with the code of what failed.
    pub fn with_code(mut self, code: Code) -> Event {
        self.code = Some(code.number());
        self
    }
}

/// The last events of a process, oldest first, bounded.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    /// A ring that keeps the last `capacity` events.
    pub fn new(capacity: usize) -> EventRing {
        EventRing { events: VecDeque::with_capacity(capacity), capacity, dropped: 0 }
    }

    /// Adds an event and drops the oldest if the ring is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// The events kept, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// How many events were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
