//! Text for people that several tools write.

use std::fmt::Display;
use std::time::{Duration, UNIX_EPOCH};
use sycamore_core::Time;

/// A time as RFC 3339 text in UTC, to the millisecond.
pub fn format_utc(time: Time) -> impl Display {
    // Rounded down here: the formatter would print the microseconds cut off otherwise.
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(time.as_millis()))
}
