//! The link of a VM, which the answers of its target share with everything else.

use crate::Time;
use crate::config::Class;
use std::time::Duration;

/// Share of the link that answers may fill, in percent. The rest is left for requests, for
/// configuration, and for the headers of packets.
const USED_PERCENT: u64 = 85;

/// How far ahead of the link large answers are started. A run takes 100 to 200 ms, in which the
/// link would stand idle if the next one started only when it is free.
const AHEAD: Duration = Duration::from_millis(150);

/// Weight of the newest size in the running mean, as one part in so many.
const SIZE_WEIGHT: u64 = 8;

/// How far ahead of the link the bytes of large answers are handed over. A timer that fires a few
/// milliseconds late then leaves the link no idle time, and a small answer waits no longer behind
/// large ones than this and one piece of them.
const PIECE_AHEAD: Duration = Duration::from_millis(10);

/// Size assumed of a large answer before any has been seen.
const FIRST_SIZE: u64 = 64 * 1_024;

/// When the link will have sent what has been let in.
///
/// Guards against large answers that fill a narrow link: every other byte then waits behind them,
/// calls that requests wait for miss their deadlines, new connections time out, and the node
/// falls behind the configuration. Large answers are started only as fast as the link takes them;
/// all others are counted, so that the large ones get what is left.
///
/// Starting them at that pace is not enough: runs end in groups, and a group's bytes written at
/// once hold up what comes after them for as long as the link needs for all. So the bytes of large
/// answers are handed over in pieces, each when the one before has left.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    // Absent if the link is not known to be narrow.
    bytes_per_s: Option<u64>,
    // When what has been started will have left.
    free_at: Time,
    // When the bytes that have been handed over will have left.
    empty_at: Time,
    mean_size: u64,
}

impl Link {
    /// A link of this many kilobits a second; `None` for one that is not narrow.
    pub fn new(kbps: Option<u64>) -> Link {
        let bytes_per_s = kbps.map(|kbps| (kbps * 1_000 / 8 * USED_PERCENT / 100).max(1));
        let (free_at, empty_at) = (Time::ZERO, Time::ZERO);
        Link { bytes_per_s, free_at, empty_at, mean_size: FIRST_SIZE }
    }

    /// Whether a large answer may be started now.
    pub fn has_room(&self, now: Time) -> bool {
        self.bytes_per_s.is_none() || self.free_at <= now + AHEAD
    }

    /// How long a large answer waits for the link behind `before` others.
    pub fn wait(&self, now: Time, before: u32) -> Duration {
        let backlog = self.free_at.since(now).saturating_sub(AHEAD);
        backlog + self.time(self.mean_size) * before
    }

    /// A large answer is being made; its size is not known yet.
    pub fn reserve(&mut self, now: Time) {
        self.free_at = self.free_at.max(now) + self.time(self.mean_size);
    }

    /// When the next bytes of an answer may be handed over. Those of small answers go at once.
    pub fn piece(&mut self, now: Time, class: Class, bytes: u64) -> Time {
        if self.bytes_per_s.is_none() {
            return now;
        }
        let empty_at = self.empty_at.max(now);
        self.empty_at = empty_at + self.time(bytes);
        match class {
            Class::Bulk => now.max(empty_at - PIECE_AHEAD.min(empty_at.since(now))),
            Class::Gating | Class::Interactive => now,
        }
    }

    /// An answer of this many bytes has been given to the link; none if it does not use it.
    pub fn send(&mut self, now: Time, class: Class, bytes: u64) {
        if class == Class::Bulk {
            // What was reserved is used up now.
            self.free_at = self.free_at - self.time(self.mean_size).min(self.free_at.since(now));
            if bytes > 0 {
                self.mean_size = (self.mean_size * (SIZE_WEIGHT - 1) + bytes) / SIZE_WEIGHT;
            }
        }
        self.free_at = self.free_at.max(now) + self.time(bytes);
    }

    fn time(&self, bytes: u64) -> Duration {
        let rate = self.bytes_per_s.unwrap_or(u64::MAX);
        Duration::from_micros(bytes.saturating_mul(1_000_000) / rate)
    }
}
