//! Times computed from numbers of other processes.

use std::time::Duration;

/// Longest time that is computed: a year, which stands for a time that never ends. Sums of such times and of the
/// clock don't overflow.
pub const MAX_TIME: Duration = Duration::from_hours(365 * 24);

/// A time of at most [`MAX_TIME`]; negative seconds and those that are no number are zero.
pub fn bounded_secs(seconds: f64) -> Duration {
    if seconds >= MAX_TIME.as_secs_f64() {
        return MAX_TIME;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
