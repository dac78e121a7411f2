//! Start rate of a cold target.
//!
//! A target whose caches are cold crashes above a certain rate of requests, and is cold again after
//! the crash. If the requests that it rejected return at once, a fleet that has started together
//! never recovers. The gatekeeper is the only sender to its target, so it can keep the rate without
//! coordination.

use super::start_log::{StartLog, StartRate};
use crate::call::RateLimit;
use crate::config::ServiceLimits;
use crate::event::ColdEvidence;
use crate::{Code, Time};
use std::time::Duration;

/// Interval over which starts of a cold target are counted. Longer than the second for which the
/// limit holds, since requests may be sent some time after their start.
const COLD_INTERVAL: Duration = Duration::from_millis(1_150);

/// Added to the time for which a target says that it stays cold: it states whole milliseconds, and
/// the requests that wait for the end start together.
const STATED_TIME_TOLERANCE: Duration = Duration::from_millis(50);

/// Maximum time between the start of a target and that of its gatekeeper, if they start together.
const MAX_START_GAP: Duration = Duration::from_millis(1_500);

/// Counts the starts at a target, and limits them while it is cold or states a limit.
#[derive(Debug)]
pub struct StartLimits {
    cold_duration: Duration,
    max_cold_starts: usize,
    state: Warmth,
    stated: Option<RateLimit>,
    // No request starts before this time.
    held_until: Time,
    // Also kept while no limit holds, so that one that begins counts what was sent before.
    log: StartLog,
    // Starts, also in the log, of requests that wait for a connection and may be sent at any time.
    connecting: Vec<Time>,
    // Whether an entry has listed the process that the state is about.
    is_listed: bool,
    // The target may have started again since the start that the state is about.
    is_uncertain: bool,
    // When the target was last asked for its state.
    probe_sent_at: Time,
    // What was last reported by `take_change`; `None` if the target was not cold.
    reported: Option<ColdTime>,
}

data! {
    /// From when on a target counts as cold, and why.
    #[derive(Copy)]
    pub struct ColdTime {
        pub since: Time,
        pub evidence: ColdEvidence,
    }

    /// A change of the time for which a target counts as cold.
    #[derive(Copy)]
    pub enum ColdChange {
        Cold {
            evidence: ColdEvidence,
            /// For how long it still counts as cold.
            left: Duration,
        },
        Warm,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Warmth {
    /// Does not respond. Cold from its first response on.
    Down,
    Cold(ColdTime),
    Warm,
}

impl ColdTime {
    /// Whether the target's start was observed, rather than assumed.
    fn is_observed(self) -> bool {
        !matches!(self.evidence, ColdEvidence::GatekeeperStarted | ColdEvidence::Evacuation)
    }
}

impl StartLimits {
    /// A target that is warm, without limits.
    pub fn new() -> StartLimits {
        StartLimits {
            cold_duration: Duration::ZERO,
            max_cold_starts: 0,
            state: Warmth::Warm,
            stated: None,
            held_until: Time::ZERO,
            log: StartLog::new(),
            connecting: Vec::new(),
            is_listed: false,
            is_uncertain: false,
            probe_sent_at: Time::ZERO,
            reported: None,
        }
    }

    pub fn set_limits(&mut self, limits: &ServiceLimits) {
        self.cold_duration = Duration::from_millis(limits.cold_ms.into());
        self.max_cold_starts = limits.cold_starts as usize;
    }

    /// Sets the rate that the target states; `None` if it states none.
    pub fn set_stated(&mut self, limit: Option<RateLimit>) {
        self.stated = limit;
    }

    /// Holds requests until a time. Most holds end earlier, so that this is no estimate of a wait.
    pub fn hold_until(&mut self, until: Time) {
        self.held_until = until;
    }

    pub fn is_held(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// When a request that was queued at this time could first have run: time for which requests are
    /// held is no sign of load.
    pub fn waits_since(&self, queued_at: Time) -> Time {
        queued_at.max(self.held_until)
    }

    /// The rate that the target states.
    pub fn stated(&self) -> Option<RateLimit> {
        self.stated
    }

    /// Records that the gatekeeper's process started at `started`. The target may have started
    /// together with it, or before and have got requests from an earlier process.
    pub fn gatekeeper_started(&mut self, started: Time) {
        self.log.begin(started);
        self.set_cold(started + MAX_START_GAP, ColdEvidence::GatekeeperStarted);
    }

    /// Treats the target as cold unless it reports otherwise: its zone was evacuated until now.
    pub fn evacuation_ended(&mut self, now: Time) {
        self.set_cold(now, ColdEvidence::Evacuation);
    }

    fn set_cold(&mut self, since: Time, evidence: ColdEvidence) {
        self.state = Warmth::Cold(ColdTime { since, evidence });
        self.is_uncertain = false;
    }

    /// Whether the target is cold only by presumption.
    pub fn is_presumed(&self, now: Time) -> bool {
        matches!(self.state, Warmth::Cold(cold) if !cold.is_observed()) && self.is_cold(now)
    }

    /// Whether to ask the target, whose statement may end, shorten or prolong the limit. A health
    /// request that had no response is repeated only within the limit.
    pub fn needs_probe(&self, now: Time) -> bool {
        let incomplete = self.log.is_incomplete(now, COLD_INTERVAL);
        let unclear =
            self.is_presumed(now) || (incomplete || self.is_uncertain) && self.is_cold(now);
        let repeated = self.probe_sent_at > now - COLD_INTERVAL;
        unclear && (!repeated || self.delay(now, 0).is_zero())
    }

    /// Records that the target is asked for its state, by a request that it may count.
    pub fn probe_sent(&mut self, now: Time) {
        self.probe_sent_at = now;
        self.record_start(now);
    }

    /// Records the target's own statement of how long it stays cold.
    pub fn probed(&mut self, now: Time, cold_left: Duration) {
        if self.state != Warmth::Down {
            let until = match cold_left.is_zero() {
                true => now,
                false => now + cold_left + STATED_TIME_TOLERANCE,
            };
            self.set_cold(until - self.cold_duration, ColdEvidence::Health);
            // The statement is younger than the question.
            let earliest_start = self.probe_sent_at + cold_left - self.cold_duration;
            self.log.ignore_unknown_before(earliest_start);
        }
    }

    /// Records that the target does not respond. What an earlier gatekeeper sent to its process counts
    /// no longer.
    pub fn target_down(&mut self, now: Time) {
        self.log.ignore_unknown_before(now);
        if std::mem::replace(&mut self.state, Warmth::Down) != Warmth::Down {
            self.is_listed = false;
        }
    }

    /// Records a response of the target. After an outage the target is asked: it may not have
    /// restarted, or the response may be an earlier process's.
    pub fn target_responded(&mut self, now: Time) {
        if self.state == Warmth::Down {
            self.set_cold(now, ColdEvidence::Response);
            self.is_uncertain = true;
        }
    }

    /// Records that the target's entry lists it as cold.
    pub fn listed_cold(&mut self, now: Time) {
        self.is_listed = true;
        if !self.is_known(now) {
            self.set_cold(now, ColdEvidence::Entry);
        }
    }

    /// Records that the target's entry lists another process than before. The first one after a
    /// start that was observed is taken for that start, until the target has been asked.
    pub fn process_listed(&mut self, now: Time) {
        let was_listed = std::mem::replace(&mut self.is_listed, true);
        if was_listed && self.state != Warmth::Down || !self.is_known(now) {
            return self.set_cold(now, ColdEvidence::Entry);
        }
        self.is_uncertain = true;
    }

    /// Records that the target's entry doesn't list it as cold: it may have been warm for long if the
    /// entry is late.
    pub fn listed_warm(&mut self) {
        self.is_uncertain = true;
    }

    /// Records that the target has rejected a request to another process. Known already, for all that
    /// the rejection says, while the target is cold after a start that was observed.
    pub fn process_rejected(&mut self, now: Time) {
        match self.is_known(now) {
            true => self.is_uncertain = true,
            false => {
                self.is_listed = false;
                self.set_cold(now, ColdEvidence::Rejection);
            }
        }
    }

    /// Whether the target is cold after a start that was observed, or does not respond.
    fn is_known(&self, now: Time) -> bool {
        match self.state {
            Warmth::Down => true,
            Warmth::Cold(cold) => cold.is_observed() && self.is_cold(now),
            Warmth::Warm => false,
        }
    }

    /// The change since the last call, if there is one. A target that does not respond is reported
    /// as such and not here.
    pub fn take_change(&mut self, now: Time) -> Option<ColdChange> {
        let current = match self.state {
            Warmth::Down => return None,
            Warmth::Cold(cold) if self.is_cold(now) => Some(cold),
            Warmth::Cold(_) | Warmth::Warm => None,
        };
        let before = std::mem::replace(&mut self.reported, current);
        match current {
            _ if before == current => None,
            None => Some(ColdChange::Warm),
            Some(ColdTime { since, evidence }) => {
                let left = (since + self.cold_duration).since(now);
                Some(ColdChange::Cold { evidence, left })
            }
        }
    }

    /// Number of requests started within the interval of the limit of a cold target.
    pub fn recent_starts(&self, now: Time) -> usize {
        self.log.count(now, COLD_INTERVAL)
    }

    pub fn is_cold(&self, now: Time) -> bool {
        let cold = match self.state {
            Warmth::Down => true,
            Warmth::Cold(cold) => now < cold.since + self.cold_duration,
            Warmth::Warm => false,
        };
        cold && !self.cold_duration.is_zero() && self.max_cold_starts > 0
    }

    /// Records that a request is being sent to the target.
    pub fn record_start(&mut self, now: Time) {
        self.log.record(now);
    }

    /// Removes the start at this time, whose request did not reach the target.
    pub fn withdraw_start(&mut self, started: Time) {
        self.log.withdraw(started);
    }

    /// Records that a started request waits for a connection: for the rate of a cold target it counts
    /// as sent now until it is.
    pub fn begin_connecting(&mut self, started: Time) {
        self.connecting.push(started);
    }

    /// Records that such a request waits no longer.
    pub fn end_connecting(&mut self, started: Time) {
        if let Some(index) = self.connecting.iter().position(|other| *other == started) {
            self.connecting.swap_remove(index);
        }
    }

    /// Returns the delay before a request may start that has `ahead` others before it.
    pub fn delay(&self, now: Time, ahead: usize) -> Duration {
        self.cold_delay(now, ahead).max(self.stated_delay(now, ahead))
    }

    /// Why the next request may not start now; `None` if it may.
    pub fn rejection_code(&self, now: Time) -> Option<Code> {
        let (cold, stated) = (self.cold_delay(now, 0), self.stated_delay(now, 0));
        match cold.max(stated).is_zero() {
            true => None,
            false if stated >= cold => Some(Code::TargetLimited),
            false => Some(Code::TargetCold),
        }
    }

    fn cold_delay(&self, now: Time, ahead: usize) -> Duration {
        if !self.is_cold(now) {
            return Duration::ZERO;
        }
        let rate = StartRate {
            count: self.max_cold_starts,
            interval: COLD_INTERVAL,
            counts_unknown: true,
        };
        // The others are counted by the log.
        let oldest = now - COLD_INTERVAL;
        let connecting = self.connecting.iter().filter(|started| **started <= oldest).count();
        let delay = self.log.delay(now, rate, ahead + connecting);
        match self.state {
            Warmth::Cold(cold) => delay.min((cold.since + self.cold_duration).since(now)),
            Warmth::Down | Warmth::Warm => delay,
        }
    }

    fn stated_delay(&self, now: Time, ahead: usize) -> Duration {
        let Some(limit) = self.stated else {
            return Duration::ZERO;
        };
        self.log.delay(now, StartRate::from_limit(limit), ahead)
    }
}

impl Default for StartLimits {
    fn default() -> StartLimits {
        StartLimits::new()
    }
}
