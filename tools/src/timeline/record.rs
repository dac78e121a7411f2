//! Events of one process from all polls, and the offset of its clock.

use crate::client::Reply;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use sycamore_core::event::Event;
use sycamore_core::status::Events;
use sycamore_core::{Name, Time};

/// Maximum number of events kept per process, to bound memory.
const MAX_EVENTS_PER_PROCESS: usize = 100_000;

/// Identifies a process. Each restart of a node on a VM is a new process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId {
    pub vm: Name,
    /// Start time by the clock of the process.
    pub started: Time,
}

/// Recorded state of one process. All times are by the clock of the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessRecord {
    pub vm: Name,
    pub region: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Start time of the process.
    pub started: Time,
    /// Time of its most recent response.
    pub last_seen: Time,
    /// Number of events evicted before they were read, or beyond the limit of this record.
    pub dropped: u64,
    /// Clock offset; null if this tool has never queried the process.
    pub skew: Option<ClockSkew>,
    /// Events, oldest first.
    pub events: Vec<Event>,
}

/// Clock offset of a process, measured by one HTTP exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockSkew {
    /// This tool's clock minus the clock of the process, in microseconds.
    pub offset_us: i64,
    /// Round-trip time in microseconds. The error of the offset is at most half of it.
    pub round_trip_us: u64,
}

impl ClockSkew {
    /// Computes the offset from an exchange. The clock of the process showed `process_time` when
    /// this tool's clock showed `local_time`, the midpoint of the exchange.
    pub fn new(local_time: Time, process_time: Time, round_trip: Duration) -> ClockSkew {
        let round_trip_us = u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX);
        ClockSkew { offset_us: local_time.0.wrapping_sub(process_time.0) as i64, round_trip_us }
    }
}

impl ProcessRecord {
    /// Creates a record without a clock offset.
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

    /// Creates a record from a response to this tool, with the measured clock offset.
    pub fn from_reply(reply: Reply<Events>) -> ProcessRecord {
        let skew = ClockSkew::new(reply.midpoint, reply.body.now, reply.round_trip);
        ProcessRecord { skew: Some(skew), ..ProcessRecord::new(reply.body) }
    }

    pub fn id(&self) -> ProcessId {
        ProcessId { vm: self.vm.clone(), started: self.started }
    }

    /// Converts a timestamp of the process to this tool's clock.
    pub fn to_local_clock(&self, time: Time) -> Time {
        let offset_us = self.skew.map_or(0, |skew| skew.offset_us);
        Time(time.0.saturating_add_signed(offset_us))
    }

    /// Merges another record of the same process into this one.
    pub fn merge(&mut self, other: ProcessRecord) {
        self.last_seen = self.last_seen.max(other.last_seen);
        self.dropped = self.dropped.max(other.dropped);
        // A shorter round trip gives a more accurate offset.
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
