//! Ages of events, by which instances tell each other when these were: their clocks differ.

use std::time::Duration;

use tokio::time::Instant;

/// A duration in whole milliseconds.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The time at which something happened that is so old at `now`.
pub fn time_before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
