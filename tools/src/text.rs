//! Text formatting shared by the tools.

use std::fmt::Display;
use std::time::{Duration, UNIX_EPOCH};
use sycamore_core::Time;

/// Formats a time as RFC 3339 in UTC with millisecond precision.
pub fn format_utc(time: Time) -> impl Display {
    // Truncated to whole milliseconds before formatting, not by the formatter.
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(time.as_millis()))
}
