//! Paces responses on the network link of a VM, which they share with all other traffic.
//!
//! Either a fixed share of the link is left to other traffic, or that is measured: what the node writes
//! to other VMs counts, so that bulk responses get what is left.

use super::recent_sum::RecentSum;
use crate::Time;
use crate::config::Class;
use std::time::Duration;

/// Percentage of the link available to responses. The rest is left for requests, configuration and
/// packet headers.
const RESPONSE_SHARE_PERCENT: u64 = 85;

/// Percentage of the link available to responses if the use by small ones is measured. Packet headers
/// take 4 percent of it.
const MEASURED_SHARE_PERCENT: u64 = 95;

/// Part of the link that is left to bulk responses in estimates, whatever small responses use.
const MIN_BULK_DIVISOR: u64 = 4;

/// A spare rate below this part of the whole is an error of the measurement: responses are discrete.
const MIN_SPARE_DIVISOR: u64 = 16;

/// Additional backlog that keeps the link busy between runs of different length.
const BACKLOG_MARGIN: Duration = Duration::from_millis(20);

/// How far ahead of the link bulk writes are scheduled. Covers timers that fire a few milliseconds
/// late, and bounds how long small responses wait behind bulk data.
const WRITE_AHEAD: Duration = Duration::from_millis(10);

/// Bytes of other traffic count this many times: its messages are small and come in bursts, and their
/// packet headers, acknowledgements and new connections are not counted.
const OTHER_TRAFFIC_WEIGHT: u64 = 2;

/// Most bytes of scheduled responses that are expected to be written.
const MAX_UNWRITTEN_BYTES: u64 = 262_144;

/// The newest sample contributes 1/n to the moving average.
const WEIGHT: u32 = 8;

/// Size assumed for bulk responses until one has been measured.
const INITIAL_SIZE: u64 = 64 * 1_024;

/// Time to first byte assumed until one has been measured.
const INITIAL_TIME_TO_FIRST_BYTE: Duration = Duration::from_millis(150);

/// Weight of samples above the average. Kept low so that a target that slows down under load is not
/// given an even larger backlog.
const SLOWER_WEIGHT: u32 = 64;

/// Upper bound of a sample. Stalls of the target do not predict the next run.
const MAX_TIME_TO_FIRST_BYTE: Duration = Duration::from_millis(500);

/// Paces bulk responses on a narrow link.
///
/// Small messages are sent immediately and only accounted for; bulk responses get the remaining
/// bandwidth. Otherwise nested calls, new connections and configuration would queue behind them.
///
/// Limiting how many bulk responses start is not sufficient, because runs may finish at the same
/// time. Their bytes are therefore written in pieces, each scheduled when the previous one has
/// left.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    // Absent if the link is not limited.
    bytes_per_s: Option<u64>,
    kbps: Option<u64>,
    // Bytes of small responses, and of what else the node has written.
    small: RecentSum,
    // Bytes of scheduled responses that have not been recorded as written.
    unwritten: u64,
    // Whether waits allow for the small responses measured, in place of a fixed share.
    measures_share: bool,
    // When all scheduled bytes will have been transmitted.
    idle_at: Time,
    mean_size: u64,
    // Mean time from the start of a run to the first byte of its response.
    time_to_first_byte: Duration,
}

impl LinkPacer {
    /// Creates a pacer for a link of `kbps` kilobits per second, or `None` if it is not limited.
    pub fn new(kbps: Option<u64>) -> LinkPacer {
        let bytes_per_s = kbps.map(|kbps| response_rate(kbps, RESPONSE_SHARE_PERCENT));
        LinkPacer {
            bytes_per_s,
            kbps,
            small: RecentSum::new(),
            unwritten: 0,
            measures_share: false,
            idle_at: Time::ZERO,
            mean_size: INITIAL_SIZE,
            time_to_first_byte: INITIAL_TIME_TO_FIRST_BYTE,
        }
    }

    /// Sets whether bulk responses get what small ones leave, instead of a fixed share.
    pub fn with_measured_share(self, measures_share: bool) -> LinkPacer {
        let percent = match measures_share {
            true => MEASURED_SHARE_PERCENT,
            false => RESPONSE_SHARE_PERCENT,
        };
        let bytes_per_s = self.kbps.map(|kbps| response_rate(kbps, percent));
        LinkPacer { bytes_per_s, measures_share, ..self }
    }

    /// Expected size of a bulk response in bytes.
    pub fn expected_size(&self) -> u64 {
        self.mean_size
    }

    /// Whether a bulk response may start while running ones are expected to send `expected_bytes`
    /// more.
    pub fn can_start(&self, now: Time, expected_bytes: u64) -> bool {
        self.bytes_per_s.is_none() || self.backlog(now, expected_bytes) <= self.max_backlog()
    }

    /// Expected wait of a bulk response behind `queued_ahead` other queued ones.
    pub fn wait(&self, now: Time, expected_bytes: u64, queued_ahead: u32) -> Duration {
        let excess = self.backlog(now, expected_bytes).saturating_sub(self.max_backlog());
        excess + self.expected_transmit_time(now).saturating_mul(queued_ahead)
    }

    /// Time that the link needs for a bulk response beside the small ones of the last second.
    pub fn expected_transmit_time(&self, now: Time) -> Duration {
        match self.bulk_rate(now) {
            Some(rate) => Duration::from_micros(self.mean_size.saturating_mul(1_000_000) / rate),
            None => Duration::ZERO,
        }
    }

    /// Mean time between bulk responses that use what is left beside small ones and `bulk_bytes`
    /// per second; `None` if nothing is left.
    pub fn spare_interval(&self, now: Time, bulk_bytes: u64) -> Option<Duration> {
        let Some(rate) = self.bulk_rate(now) else {
            return Some(Duration::ZERO);
        };
        let left = rate.saturating_sub(bulk_bytes);
        if left < rate / MIN_SPARE_DIVISOR {
            return None;
        }
        let interval = self.mean_size.saturating_mul(1_000_000).checked_div(left)?;
        Some(Duration::from_micros(interval))
    }

    /// Bytes per second left to bulk responses; `None` if the link is not limited.
    fn bulk_rate(&self, now: Time) -> Option<u64> {
        let rate = self.bytes_per_s?;
        let small = if self.measures_share { self.small.per_second(now) } else { 0 };
        Some(rate.saturating_sub(small).max(rate / MIN_BULK_DIVISOR).max(1))
    }

    /// Returns when the next bytes of a response may be written. Immediate unless they are bulk.
    pub fn schedule_write(&mut self, now: Time, class: Class, bytes: u64) -> Time {
        if self.bytes_per_s.is_none() {
            return now;
        }
        let idle_at = self.idle_at.max(now);
        self.idle_at = idle_at + self.transmit_time(bytes);
        // What is never written, since its reader has left, must not hide other traffic for long.
        self.unwritten = (self.unwritten + bytes).min(MAX_UNWRITTEN_BYTES);
        match class {
            Class::Bulk => now.max(idle_at - WRITE_AHEAD.min(idle_at.since(now))),
            Class::Gating | Class::Interactive => {
                self.small.add(now, bytes);
                now
            }
        }
    }

    /// Records bytes that the node has written over the link. Those that are not of responses it has
    /// scheduled, such as forwarded requests and the heads of responses, use the link as well.
    pub fn record_written(&mut self, now: Time, bytes: u64) {
        if !self.measures_share {
            return;
        }
        let scheduled = bytes.min(self.unwritten);
        self.unwritten -= scheduled;
        let others = (bytes - scheduled) * OTHER_TRAFFIC_WEIGHT;
        self.idle_at = self.idle_at.max(now) + self.transmit_time(others);
        self.small.add(now, others);
    }

    /// Records the time to first byte of a bulk response.
    pub fn record_first_byte(&mut self, time_to_first_byte: Duration) {
        let weight =
            if time_to_first_byte > self.time_to_first_byte { SLOWER_WEIGHT } else { WEIGHT };
        self.time_to_first_byte = (self.time_to_first_byte * (weight - 1)
            + time_to_first_byte.min(MAX_TIME_TO_FIRST_BYTE))
            / weight;
    }

    /// Records the size of a completed bulk response.
    pub fn record_size(&mut self, bytes: u64) {
        let weight = u64::from(WEIGHT);
        self.mean_size = (self.mean_size * (weight - 1) + bytes) / weight;
    }

    /// Maximum backlog: what the link transmits until a run that starts now sends its first byte.
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

/// Bytes per second of a percentage of a link.
fn response_rate(kbps: u64, percent: u64) -> u64 {
    (kbps * 1_000 / 8 * percent / 100).max(1)
}
