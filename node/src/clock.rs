//! Clock abstraction: system clocks in production, a manually advanced clock in tests.

use event_listener::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use sycamore_core::Time;

/// Maximum lead of the wall clock before [`SystemClock`] follows it. Smaller differences are left
/// to the time synchronisation daemon.
const MAX_WALL_CLOCK_LEAD: Duration = Duration::from_millis(250);

/// Time source of a process. Clones share the same clock.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The system's clocks.
    System(Arc<SystemClock>),
    /// Boot-time clock, anchored to the wall clock at process start.
    Steady(SteadyClock),
    /// A clock that changes only through [`Clock::advance`].
    Manual(Arc<ManualClock>),
}

/// A monotonic clock anchored to the wall clock at process start. Never goes backwards.
#[derive(Debug)]
pub struct SystemClock {
    start: Time,
    origin: Instant,
    // Lead of the wall clock over the monotonic clock, in microseconds.
    ahead_us: AtomicU64,
}

/// A clock that ignores wall clock steps and includes time during which the VM was suspended.
///
/// Guards against deadlines that all expire at once when the wall clock is stepped forward. Use
/// [`SystemClock`] where request keys carry wall clock timestamps.
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

/// A manually advanced clock for tests.
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

    /// Follows the wall clock forward when it leads by more than [`MAX_WALL_CLOCK_LEAD`], and never
    /// backwards.
    ///
    /// The monotonic clock stops while a VM is suspended. Without this correction, the node would
    /// stay behind all others and reject new keys as minted in the future.
    fn now(&self) -> Time {
        let monotonic_now = self.start + self.origin.elapsed();
        let ahead = Duration::from_micros(self.ahead_us.load(Ordering::Relaxed));
        let now = monotonic_now + ahead;
        let wall = wall_clock();
        if wall.since(now) <= MAX_WALL_CLOCK_LEAD {
            return now;
        }
        // `fetch_max` keeps the largest value if several threads detect the step concurrently.
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

    /// A system clock anchored as if the wall clock had read `start` at process start.
    pub fn starting_at(start: Time) -> Clock {
        Clock::System(Arc::new(SystemClock::starting_at(start)))
    }

    /// A [`SteadyClock`] anchored to the current wall clock.
    pub fn steady() -> Clock {
        Clock::Steady(SteadyClock { start: wall_clock(), origin: since_boot() })
    }

    /// A manual clock that starts at `start`.
    pub fn manual(start: Time) -> Clock {
        let now_us = AtomicU64::new(start.0);
        Clock::Manual(Arc::new(ManualClock { now_us, advanced: Event::new() }))
    }

    /// The current time.
    pub fn now(&self) -> Time {
        match self {
            Clock::System(clock) => clock.now(),
            Clock::Steady(clock) => clock.now(),
            Clock::Manual(clock) => Time(clock.now_us.load(Ordering::SeqCst)),
        }
    }

    /// Advances a manual clock; other clocks ignore it.
    pub fn advance(&self, span: Duration) {
        if let Clock::Manual(clock) = self {
            clock.now_us.fetch_add(span.as_micros() as u64, Ordering::SeqCst);
            clock.advanced.notify(usize::MAX);
        }
    }

    pub async fn sleep_until(&self, at: Time) {
        match self {
            Clock::System(_) | Clock::Steady(_) => {
                async_io::Timer::after(at.since(self.now())).await;
            }
            Clock::Manual(clock) => loop {
                // Registers the listener before checking the time, so that no advance is missed.
                let advanced = clock.advanced.listen();
                if self.now() >= at {
                    return;
                }
                advanced.await;
            },
        }
    }

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
