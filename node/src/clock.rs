//! The clock port: the system's clock in production, one that is set by hand in tests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use sycamore_core::Time;

/// Where a process takes the time from.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The wall clock as it was at the start, carried on by the monotonic clock.
    System {
        /// Wall clock at the start.
        start: Time,
        /// Monotonic clock at the start.
        origin: Instant,
    },
    /// A clock that stands still until it is advanced; in microseconds since the Unix epoch.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// The system's clock.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::System { start: Time::ZERO + wall, origin: Instant::now() }
    }

    /// A clock that stands at `start` until [`Clock::advance`].
    pub fn manual(start: Time) -> Clock {
        Clock::Manual(Arc::new(AtomicU64::new(start.0)))
    }

    /// The time now.
    pub fn now(&self) -> Time {
        match self {
            Clock::System { start, origin } => *start + origin.elapsed(),
            Clock::Manual(now) => Time(now.load(Ordering::Relaxed)),
        }
    }

    /// Moves a manual clock on; a system clock ignores it.
    pub fn advance(&self, span: Duration) {
        if let Clock::Manual(now) = self {
            now.fetch_add(span.as_micros() as u64, Ordering::Relaxed);
        }
    }

    /// Waits until `at`.
    pub async fn sleep_until(&self, at: Time) {
        match self {
            Clock::System { .. } => {
                async_io::Timer::after(at.since(self.now())).await;
            }
            Clock::Manual(_) => {
                while self.now() < at {
                    futures_lite::future::yield_now().await;
                }
            }
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
