//! The clock port: the system's clocks in production, one that is set by hand in tests.

use event_listener::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use sycamore_core::Time;

/// How far the wall clock may be ahead before it is followed. Smaller differences are left to the
/// daemon that sets the wall clock.
const MAX_WALL_CLOCK_LEAD: Duration = Duration::from_millis(250);

/// Where a process takes the time from. Clones show the same time.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The system's clocks.
    System(Arc<SystemClock>),
    /// The time since the VM's start, carried on from the wall clock as it was at the start.
    Steady(SteadyClock),
    /// A clock that stands still until it is advanced.
    Manual(Arc<ManualClock>),
}

/// The wall clock as it was at the start, carried on by the monotonic clock, so that it never goes
/// back.
#[derive(Debug)]
pub struct SystemClock {
    start: Time,
    origin: Instant,
    // By how much the wall clock has run ahead of the monotonic one, in microseconds.
    ahead_us: AtomicU64,
}

/// A clock that no step of the wall clock moves, and that counts the time during which the VM was
/// suspended.
///
/// Guards against deadlines that pass all at once when the wall clock is set forward by seconds:
/// every call under way would be ended. Where requests are known by keys that carry the time of
/// their making, [`SystemClock`] follows the wall clock instead.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    start: Time,
    origin: Duration,
}

impl SteadyClock {
    fn now(self) -> Time {
        self.start + since_boot().saturating_sub(self.origin)
    }
}

/// A clock set by hand.
#[derive(Debug)]
pub struct ManualClock {
    // Microseconds since the Unix epoch.
    now_us: AtomicU64,
    advanced: Event,
}

impl SystemClock {
    fn starting_at(start: Time) -> SystemClock {
        SystemClock { start, origin: Instant::now(), ahead_us: AtomicU64::new(0) }
    }

    /// Guards against a VM that was suspended: its monotonic clock stood still meanwhile, and the
    /// node would stay behind all others and refuse new keys as minted in the future. The wall
    /// clock is followed forwards when it is ahead by more than [`MAX_WALL_CLOCK_LEAD`], and never backwards.
    fn now(&self) -> Time {
        let monotonic_now = self.start + self.origin.elapsed();
        let ahead = Duration::from_micros(self.ahead_us.load(Ordering::Relaxed));
        let now = monotonic_now + ahead;
        let wall = wall_clock();
        if wall.since(now) <= MAX_WALL_CLOCK_LEAD {
            return now;
        }
        // The largest wins if several threads see the step at once.
        let ahead_us = wall.0 - monotonic_now.0;
        let ahead_us = self.ahead_us.fetch_max(ahead_us, Ordering::Relaxed).max(ahead_us);
        monotonic_now + Duration::from_micros(ahead_us)
    }
}

impl Clock {
    /// The system's clocks.
    pub fn new() -> Clock {
        Clock::starting_at(wall_clock())
    }

    /// The system's clocks, as if the wall clock had read `start` when the process started.
    pub fn starting_at(start: Time) -> Clock {
        Clock::System(Arc::new(SystemClock::starting_at(start)))
    }

    /// A clock that follows no step of the wall clock.
    pub fn steady() -> Clock {
        Clock::Steady(SteadyClock { start: wall_clock(), origin: since_boot() })
    }

    /// A clock that stands at `start` until [`Clock::advance`].
    pub fn manual(start: Time) -> Clock {
        let now_us = AtomicU64::new(start.0);
        Clock::Manual(Arc::new(ManualClock { now_us, advanced: Event::new() }))
    }

    /// The time now.
    pub fn now(&self) -> Time {
        match self {
            Clock::System(clock) => clock.now(),
            Clock::Steady(clock) => clock.now(),
            Clock::Manual(clock) => Time(clock.now_us.load(Ordering::SeqCst)),
        }
    }

    /// Moves a manual clock on; the system's clocks ignore it.
    pub fn advance(&self, span: Duration) {
        if let Clock::Manual(clock) = self {
            clock.now_us.fetch_add(span.as_micros() as u64, Ordering::SeqCst);
            clock.advanced.notify(usize::MAX);
        }
    }

    /// Waits until `at`.
    pub async fn sleep_until(&self, at: Time) {
        match self {
            Clock::System(_) | Clock::Steady(_) => {
                async_io::Timer::after(at.since(self.now())).await;
            }
            Clock::Manual(clock) => loop {
                // Listens before it looks, so that no advance falls between the two.
                let advanced = clock.advanced.listen();
                if self.now() >= at {
                    return;
                }
                advanced.await;
            },
        }
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Duration) {
        self.sleep_until(self.now() + span).await;
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

fn since_boot() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

fn wall_clock() -> Time {
    Time::ZERO + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
