//! Running time of an instance, from which credit accrues.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Running time older than this is never given away.
pub(super) const MAX_AGE: Duration = Duration::from_secs(10);

/// Running time that an instance may still give away, with the sizes of its zone during that time.
#[derive(Debug, Clone, Default)]
pub(super) struct RunningTime {
    /// Start of accrual; `None` while the instance accrues no credit.
    since: Option<Instant>,
    /// Size of the zone, this instance included, and the time from which it applied.
    sizes: VecDeque<(Instant, u32)>,
}

impl RunningTime {
    /// Records the size of the zone and the time since which this instance accrues credit.
    pub(super) fn observe(&mut self, now: Instant, size: u32, since: Option<Instant>) {
        self.since = since.map(|at| at.min(now));
        let size = size.max(1);
        if self.sizes.back().is_none_or(|(_, last)| *last != size) {
            self.sizes.push_back((now, size));
        }
        while self
            .sizes
            .get(1)
            .is_some_and(|(from, _)| *from + MAX_AGE < now)
        {
            self.sizes.pop_front();
        }
    }

    /// Returns the start of the time that may still be given away, where all time before
    /// `given_until` has been given, and the largest size of the zone since that start.
    ///
    /// With the current size instead, the rest of a zone that has shrunk would accrue again what
    /// the departed instances gave away.
    pub(super) fn available(
        &self,
        now: Instant,
        given_until: Option<Instant>,
    ) -> Option<(Instant, u32)> {
        let from = self.since?.max(given_until.unwrap_or(self.since?));
        let from = from.max(now.checked_sub(MAX_AGE).unwrap_or(from));
        let first = self.sizes.partition_point(|(at, _)| *at <= from);
        let within = self.sizes.iter().skip(first.saturating_sub(1));
        let largest = within.map(|(_, size)| *size).max().unwrap_or(1);
        Some((from, largest))
    }
}
