//! The link of a VM, which the answers of its target share with everything else.

use crate::Time;
use crate::config::Class;
use std::time::Duration;

/// Share of the link that answers may fill, in percent. The rest is left for requests, for
/// configuration, and for the headers of packets.
const RESPONSE_SHARE_PERCENT: u64 = 85;

/// Bytes that wait for the link while the target still runs others, beside one whole answer: what
/// keeps the link busy between two runs of different length.
const BACKLOG_MARGIN: Duration = Duration::from_millis(20);

/// How far ahead of the link the bytes of large answers are handed over. A timer that fires a few
/// milliseconds late then leaves the link no idle time, and a small answer waits no longer behind
/// large ones than this and one piece of them.
const WRITE_AHEAD: Duration = Duration::from_millis(10);

/// Weight of the newest size or time in the running mean, as one part in so many.
const WEIGHT: u32 = 8;

/// Size assumed of a large answer before any has been seen.
const INITIAL_SIZE: u64 = 64 * 1_024;

/// Time assumed from the start of a run to the first byte of its answer.
const INITIAL_TIME_TO_FIRST_BYTE: Duration = Duration::from_millis(150);

/// Weight of a longer time than the mean. A target that slows down as it fills up would otherwise
/// be let in more and more, and slow down further; so the mean stays near what a target takes that
/// is not full.
const SLOWER_WEIGHT: u32 = 64;

/// Longest such time that is believed: a target that stalls says nothing about the next run.
const MAX_TIME_TO_FIRST_BYTE: Duration = Duration::from_millis(500);

/// When the link will have sent what it has been given.
///
/// Paces large answers on a narrow link. Small messages are sent at once and counted, and large
/// ones get what is left; otherwise nested calls, new connections and configuration wait behind
/// them.
///
/// Starting them at that pace is not enough: runs end in groups, and a group's bytes written at
/// once hold up what comes after them for as long as the link needs for all. So the bytes of large
/// answers are handed over in pieces, each when the one before has left.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    // Absent if the link is not known to be narrow.
    bytes_per_s: Option<u64>,
    // When the bytes that have been handed over will have left.
    idle_at: Time,
    mean_size: u64,
    // Mean time from the start of a run to the first byte of its answer.
    time_to_first_byte: Duration,
}

impl LinkPacer {
    /// A link of this many kilobits a second; `None` for one that is not narrow.
    pub fn new(kbps: Option<u64>) -> LinkPacer {
        let bytes_per_s = kbps.map(|kbps| (kbps * 1_000 / 8 * RESPONSE_SHARE_PERCENT / 100).max(1));
        LinkPacer {
            bytes_per_s,
            idle_at: Time::ZERO,
            mean_size: INITIAL_SIZE,
            time_to_first_byte: INITIAL_TIME_TO_FIRST_BYTE,
        }
    }

    /// Bytes that a large answer is likely to have.
    pub fn expected_size(&self) -> u64 {
        self.mean_size
    }

    /// Whether a large answer may be started now, while those that run will have `expected_bytes` bytes.
    pub fn can_start(&self, now: Time, expected_bytes: u64) -> bool {
        self.bytes_per_s.is_none() || self.backlog(now, expected_bytes) <= self.max_backlog()
    }

    /// How long a large answer waits for the link behind `queued_ahead` others that wait.
    pub fn wait(&self, now: Time, expected_bytes: u64, queued_ahead: u32) -> Duration {
        let excess = self.backlog(now, expected_bytes).saturating_sub(self.max_backlog());
        excess + self.transmit_time(self.mean_size) * queued_ahead
    }

    /// When the next bytes of an answer may be handed over. Those of small answers go at once.
    pub fn schedule_write(&mut self, now: Time, class: Class, bytes: u64) -> Time {
        if self.bytes_per_s.is_none() {
            return now;
        }
        let idle_at = self.idle_at.max(now);
        self.idle_at = idle_at + self.transmit_time(bytes);
        match class {
            Class::Bulk => now.max(idle_at - WRITE_AHEAD.min(idle_at.since(now))),
            Class::Gating | Class::Interactive => now,
        }
    }

    /// The first byte of a large answer came this long after its start.
    pub fn record_first_byte(&mut self, time_to_first_byte: Duration) {
        let weight =
            if time_to_first_byte > self.time_to_first_byte { SLOWER_WEIGHT } else { WEIGHT };
        self.time_to_first_byte = (self.time_to_first_byte * (weight - 1)
            + time_to_first_byte.min(MAX_TIME_TO_FIRST_BYTE))
            / weight;
    }

    /// A large answer of this many bytes has been handed over whole.
    pub fn record_size(&mut self, bytes: u64) {
        let weight = u64::from(WEIGHT);
        self.mean_size = (self.mean_size * (weight - 1) + bytes) / weight;
    }

    /// What may be on its way to the link: as much as it sends until a run that starts now brings
    /// its first byte.
    fn max_backlog(&self) -> Duration {
        self.time_to_first_byte + BACKLOG_MARGIN + self.transmit_time(self.mean_size)
    }

    fn backlog(&self, now: Time, expected_bytes: u64) -> Duration {
        self.idle_at.since(now) + self.transmit_time(expected_bytes)
    }

    fn transmit_time(&self, bytes: u64) -> Duration {
        let rate = self.bytes_per_s.unwrap_or(u64::MAX);
        Duration::from_micros(bytes.saturating_mul(1_000_000) / rate)
    }
}
