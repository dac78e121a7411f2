//! Merges the records of all processes into one timeline by this tool's clock.

use super::record::ProcessRecord;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_core::event::EventKind;
use sycamore_core::{Name, Time};

/// A process whose last response is older than this at the end of the timeline is `Unseen`.
const UNSEEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Merged timeline. All times are by this tool's clock.
#[derive(Debug, Serialize)]
pub struct Timeline {
    /// Start of the earliest process.
    pub start: Time,
    /// Time of the latest response of any process.
    pub end: Time,
    /// Rollout of each version.
    pub versions: Vec<VersionSpan>,
    /// One lane per VM, ordered by region and zone.
    pub lanes: Vec<Lane>,
}

/// Rollout of a version.
#[derive(Debug, Serialize)]
pub struct VersionSpan {
    pub version: u64,
    /// When it came into force on the first node.
    pub first: Time,
    /// When it came into force on the last node that was running at `first`. Nodes started later
    /// are not counted.
    pub last: Time,
    /// Number of nodes that were running at `first` and put the version into force.
    pub nodes: usize,
    /// Number of nodes that were running at `first`. Some may have skipped to a newer version.
    pub running: usize,
}

/// The processes of one VM.
#[derive(Debug, Serialize)]
pub struct Lane {
    pub region: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    pub vm: Name,
    /// Processes, oldest first.
    pub processes: Vec<Process>,
}

/// Lifetime and events of one process.
#[derive(Debug, Serialize)]
pub struct Process {
    pub started: Time,
    /// When it ended or last responded.
    pub ended: Time,
    pub end: ProcessEnd,
    /// Number of events evicted before they were read.
    pub dropped: u64,
    /// Maximum clock error in microseconds; null if the clock offset was never measured.
    pub error_us: Option<u64>,
    /// Versions in force, in chronological order.
    pub bands: Vec<VersionBand>,
    /// Events, oldest first.
    pub marks: Vec<EventMark>,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEnd {
    /// Still running at the end of the timeline.
    Running,
    /// Ended by a planned stop.
    Stopped,
    /// Replaced by another process of the VM without a recorded stop.
    Killed,
    /// No longer responds: killed, paused or disconnected.
    Unseen,
}

/// Period in which a version was in force on one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VersionBand {
    pub version: u64,
    pub from: Time,
    pub to: Time,
}

/// An event in the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EventMark {
    pub at: Time,
    pub kind: EventKind,
    /// The affected version.
    pub version: Option<u64>,
    /// The affected peer or VM.
    pub peer: Option<Name>,
    /// Number of the result code.
    pub code: Option<u16>,
}

impl Timeline {
    /// Merges records, which must be ordered by VM and start time.
    pub fn new<'a>(records: impl Iterator<Item = &'a ProcessRecord>) -> Timeline {
        let mut by_vm = BTreeMap::<_, Vec<&ProcessRecord>>::new();
        for record in records {
            by_vm.entry((&record.region, &record.zone, &record.vm)).or_default().push(record);
        }
        let all = || by_vm.values().flatten();
        let end = all().map(|r| r.to_local_clock(r.last_seen)).max().unwrap_or(Time::ZERO);
        let starts = all().map(|r| r.to_local_clock(r.started));
        let start = starts.min().unwrap_or(end);
        let lanes: Vec<_> = by_vm.values().filter_map(|records| build_lane(records, end)).collect();
        Timeline { start, end, versions: build_version_spans(&lanes), lanes }
    }

    /// Returns all events with their lanes, in chronological order.
    pub fn marks(&self) -> Vec<(&Lane, &EventMark)> {
        let marks_in_lane = |lane: &'_ Lane| lane.processes.iter().flat_map(|p| &p.marks).count();
        let mut marks = Vec::with_capacity(self.lanes.iter().map(marks_in_lane).sum());
        for lane in &self.lanes {
            let lane_marks = lane.processes.iter().flat_map(|process| &process.marks);
            marks.extend(lane_marks.map(|mark| (lane, mark)));
        }
        marks.sort_by_key(|(_, mark)| mark.at);
        marks
    }
}

fn build_lane(records: &[&ProcessRecord], end: Time) -> Option<Lane> {
    let first = records.first()?;
    let next = records.iter().skip(1).map(|record| Some(record.to_local_clock(record.started)));
    let next = next.chain([None]);
    Some(Lane {
        region: first.region.clone(),
        zone: first.zone.clone(),
        vm: first.vm.clone(),
        processes: records.iter().zip(next).map(|(r, next)| build_process(r, next, end)).collect(),
    })
}

fn build_process(record: &ProcessRecord, next_start: Option<Time>, end: Time) -> Process {
    let last_seen = record.to_local_clock(record.last_seen);
    let stop = record.events.iter().rev().find(|event| event.kind == EventKind::Stopped);
    let unseen = end.since(last_seen) > UNSEEN_TIMEOUT;
    let (ended, end_kind) = match (stop, next_start) {
        (Some(stop), _) => (record.to_local_clock(stop.at), ProcessEnd::Stopped),
        // A process exits right after recording `Stopped`, so a poll rarely reads that event.
        (None, next) if is_draining(record) && (next.is_some() || unseen) => {
            (last_seen, ProcessEnd::Stopped)
        }
        (None, Some(next)) => (last_seen.min(next), ProcessEnd::Killed),
        (None, None) if unseen => (last_seen, ProcessEnd::Unseen),
        (None, None) => (end, ProcessEnd::Running),
    };
    Process {
        started: record.to_local_clock(record.started),
        ended,
        end: end_kind,
        dropped: record.dropped,
        error_us: record.skew.map(|skew| skew.round_trip_us / 2),
        bands: build_bands(record, ended),
        marks: build_marks(record),
    }
}

/// Returns whether a planned stop has begun.
fn is_draining(record: &ProcessRecord) -> bool {
    record.events.iter().any(|event| event.kind == EventKind::Draining)
}

fn build_marks(record: &ProcessRecord) -> Vec<EventMark> {
    let mark = |event: &sycamore_core::event::Event| EventMark {
        at: record.to_local_clock(event.at),
        kind: event.kind,
        version: event.version,
        peer: event.peer.clone(),
        code: event.code,
    };
    record.events.iter().map(mark).collect()
}

fn build_bands(record: &ProcessRecord, ended: Time) -> Vec<VersionBand> {
    let mut bands: Vec<VersionBand> = Vec::new();
    for event in record.events.iter().filter(|event| event.kind == EventKind::VersionInForce) {
        let from = record.to_local_clock(event.at);
        if let Some(last) = bands.last_mut() {
            last.to = from;
        }
        bands.push(VersionBand { version: event.version.unwrap_or(0), from, to: ended });
    }
    bands
}

fn build_version_spans(lanes: &[Lane]) -> Vec<VersionSpan> {
    let processes = || lanes.iter().flat_map(|lane| &lane.processes);
    let mut first = BTreeMap::<u64, Time>::new();
    for band in processes().flat_map(|process| &process.bands) {
        let earliest = first.entry(band.version).or_insert(band.from);
        *earliest = band.from.min(*earliest);
    }
    let span = |(version, first): (u64, Time)| {
        let is_running = |process: &&Process| process.started <= first && process.ended >= first;
        let running: Vec<_> = processes().filter(is_running).collect();
        let took_at = running.iter().filter_map(|process| {
            process.bands.iter().find(|band| band.version == version).map(|band| band.from)
        });
        let took_at: Vec<_> = took_at.collect();
        let last = took_at.iter().copied().max().unwrap_or(first);
        VersionSpan { version, first, last, nodes: took_at.len(), running: running.len() }
    };
    first.into_iter().map(span).collect()
}
