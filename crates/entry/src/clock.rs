//! Detects suspension of the machine.
//!
//! A suspended machine resumes with all its state, and the monotonic clock does not count the time.
//! Without detection an instance would go on with an outdated list of replicas, grant more time
//! than a caller has left, and take its peers' outdated counts for current ones.

use std::cell::Cell;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A difference above this is a suspension; smaller ones come from the time between reading the two
/// clocks.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Measures the time for which the machine was suspended.
#[derive(Debug)]
pub struct SuspendDetector {
    /// Total suspension when it was last reported.
    reported: Cell<Duration>,
}

impl SuspendDetector {
    /// Starts detection now; earlier suspensions are not reported.
    pub fn new() -> Self {
        Self {
            reported: Cell::new(total_suspended()),
        }
    }

    /// Total time since boot for which the machine was suspended; meaningful as a difference of two
    /// readings.
    pub fn total_suspended(&self) -> Duration {
        total_suspended()
    }

    /// Time for which the machine was suspended since the last suspension was returned.
    pub fn unreported(&self) -> Duration {
        total_suspended().saturating_sub(self.reported.get())
    }

    /// Time for which the machine was suspended since the last suspension was returned, `None` if
    /// it was not.
    pub fn take_suspension(&self) -> Option<Duration> {
        let suspended = self.unreported();
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.reported.set(self.reported.get() + suspended);
        Some(suspended)
    }
}

impl Default for SuspendDetector {
    fn default() -> Self {
        Self::new()
    }
}

/// Total suspension since boot: the boot-time clock counts it, the monotonic clock does not.
fn total_suspended() -> Duration {
    read_clock(ClockId::Boottime).saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(id: ClockId) -> Duration {
    let t = clock_gettime(id);
    let seconds = u64::try_from(t.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(t.tv_nsec).unwrap_or(0))
}
