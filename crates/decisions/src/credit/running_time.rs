//! The running time of an instance, from which credit is minted.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time that is never given away later than this.
pub(super) const KEEPS: Duration = Duration::from_secs(10);

/// Time that an instance may give away, and what it is worth.
#[derive(Debug, Clone, Default)]
pub(super) struct RunningTime {
    since: Option<Instant>,
    /// Instances of the zone, with this one, and from when on.
    sizes: VecDeque<(Instant, u32)>,
}

impl RunningTime {
    /// Notes how many instances the zone has and from when on this one mints.
    pub(super) fn observe(&mut self, now: Instant, size: u32, since: Option<Instant>) {
        self.since = since.map(|at| at.min(now));
        let size = size.max(1);
        if self.sizes.back().is_none_or(|(_, last)| *last != size) {
            self.sizes.push_back((now, size));
        }
        while self
            .sizes
            .get(1)
            .is_some_and(|(from, _)| *from + KEEPS < now)
        {
            self.sizes.pop_front();
        }
    }

    /// The time that may still be given after `given`, and the largest size of the zone in it.
    ///
    /// By the size of now, the rest of a zone that has shrunk would mint once more what those that have
    /// left gave away.
    pub(super) fn ungiven(&self, now: Instant, given: Option<Instant>) -> Option<(Instant, u32)> {
        let from = self.since?.max(given.unwrap_or(self.since?));
        let from = from.max(now.checked_sub(KEEPS).unwrap_or(from));
        let first = self.sizes.partition_point(|(at, _)| *at <= from);
        let within = self.sizes.iter().skip(first.saturating_sub(1));
        let largest = within.map(|(_, size)| *size).max().unwrap_or(1);
        Some((from, largest))
    }
}
