//! What is kept of one process: its events over all polls, and how its clock differs.

use crate::client::Reply;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use sycamore_core::event::Event;
use sycamore_core::status::Events;
use sycamore_core::{Name, Time};

/// Events kept of one process, which bounds the memory of a long run.
const MAX_EVENTS_PER_PROCESS: usize = 100_000;

/// Names a process: a VM's node is another process after each restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId {
    /// The VM.
    pub vm: Name,
    /// When the process started, by its own clock.
    pub started: Time,
}

/// What is kept of one process. All times in it are by the process's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessRecord {
    /// The VM.
    pub vm: Name,
    /// Region of the VM.
    pub region: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// When the process started.
    pub started: Time,
    /// When it last answered.
    pub last_seen: Time,
    /// Events that were lost before they were read, or no longer fitted here.
    pub dropped: u64,
    /// What its clock differs by; null if it was never asked by this tool.
    pub skew: Option<ClockSkew>,
    /// Its events, oldest first.
    pub events: Vec<Event>,
}

/// What a process's clock differs by, measured by one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockSkew {
    /// This tool's clock less the process's, in microseconds.
    pub offset_us: i64,
    /// Round trip of the exchange, in microseconds. The offset is right to within half of it.
    pub round_trip_us: u64,
}

impl ClockSkew {
    /// Measures by an exchange: the process's clock read `now` half-way through it, when this
    /// tool's clock read `at`.
    pub fn new(local_time: Time, process_time: Time, round_trip: Duration) -> ClockSkew {
        let round_trip_us = u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX);
        ClockSkew { offset_us: local_time.0.wrapping_sub(process_time.0) as i64, round_trip_us }
    }
}

impl ProcessRecord {
    /// The record of a process whose clock is taken as right.
    pub fn new(events: Events) -> ProcessRecord {
        ProcessRecord {
            vm: events.vm,
            region: events.region,
            zone: events.zone,
            started: events.started,
            last_seen: events.now,
            dropped: events.dropped,
            skew: None,
            events: events.events,
        }
    }

    /// The record of a process that this tool asked.
    pub fn from_reply(reply: Reply<Events>) -> ProcessRecord {
        let skew = ClockSkew::new(reply.midpoint, reply.body.now, reply.round_trip);
        ProcessRecord { skew: Some(skew), ..ProcessRecord::new(reply.body) }
    }

    /// Which process it is.
    pub fn id(&self) -> ProcessId {
        ProcessId { vm: self.vm.clone(), started: self.started }
    }

    /// A time of the process by this tool's clock.
    pub fn to_local_clock(&self, time: Time) -> Time {
        let offset_us = self.skew.map_or(0, |skew| skew.offset_us);
        Time(time.0.saturating_add_signed(offset_us))
    }

    /// Adds what another record of the same process knows.
    pub fn merge(&mut self, other: ProcessRecord) {
        self.last_seen = self.last_seen.max(other.last_seen);
        self.dropped = self.dropped.max(other.dropped);
        // The exchange with the shortest round trip measured the clock best.
        let skews = self.skew.into_iter().chain(other.skew);
        self.skew = skews.min_by_key(|skew| skew.round_trip_us);
        for event in other.events {
            self.insert_event(event);
        }
        let excess = self.events.len().saturating_sub(MAX_EVENTS_PER_PROCESS);
        self.dropped += excess as u64;
        self.events.drain(..excess);
    }

    fn insert_event(&mut self, event: Event) {
        let not_earlier = |other: &&Event| other.at >= event.at;
        let duplicate =
            self.events.iter().rev().take_while(not_earlier).any(|other| *other == event);
        if !duplicate {
            let index = self.events.partition_point(|other| other.at <= event.at);
            self.events.insert(index, event);
        }
    }
}
