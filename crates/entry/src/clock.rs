//! A clock that notices that the machine was suspended.
//!
//! A suspended machine wakes with all that it knew before, and the steady clock does not count the
//! time. Without this an instance would go on with an old list of replicas, hand out more time
//! than a caller has left, and take its peers' old counts for new ones.

use std::cell::Cell;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A difference above this is a suspension; below it is the time between reading both clocks.
const NOTICEABLE: Duration = Duration::from_millis(100);

/// Time that passed while the machine stood still.
#[derive(Debug)]
pub struct SuspendDetector {
    seen: Cell<Duration>,
}

impl SuspendDetector {
    /// Starts to watch.
    pub fn new() -> Self {
        Self {
            seen: Cell::new(suspended()),
        }
    }

    /// How long the machine was suspended in all; compare two readings.
    pub fn total_suspended(&self) -> Duration {
        suspended()
    }

    /// How long the machine was suspended since the last call, if it was.
    pub fn take_suspension(&self) -> Option<Duration> {
        let now = suspended();
        let slept = now.saturating_sub(self.seen.get());
        if slept < NOTICEABLE {
            return None;
        }
        self.seen.set(now);
        Some(slept)
    }
}

impl Default for SuspendDetector {
    fn default() -> Self {
        Self::new()
    }
}

fn suspended() -> Duration {
    reading(ClockId::Boottime).saturating_sub(reading(ClockId::Monotonic))
}

fn reading(id: ClockId) -> Duration {
    let t = clock_gettime(id);
    let seconds = u64::try_from(t.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(t.tv_nsec).unwrap_or(0))
}
